package dispatch

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/store"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

const unreadJob = "0011223344556677"

// newUnreadFixture returns a dispatcher with two workers whose tail of the only partition of jobs is behind.
func newUnreadFixture() *Dispatcher {
	d := newFixture(2)
	d.Workers = &unresponsiveWorkers{}
	d.JobPartitions = 1
	d.jobsReadAt = []time.Duration{bootclock.Now() - time.Second}
	return d
}

// readJob applies the submission of unreadJob as the tail does.
func readJob(t *testing.T, d *Dispatcher, spec fleet.JobSpec) *job {
	t.Helper()
	value, err := json.Marshal(workload.Submission{
		Queue: "queue", Pool: "pool", Team: "team", AtMillis: time.Now().UnixMilli(), Spec: &spec,
	})
	if err != nil {
		t.Fatal(err)
	}
	d.applyJobRecord(0, store.Record{Key: workload.SubmissionKey(unreadJob), Value: value})
	return d.jobs[unreadJob]
}

// commitAll stores everything that waits to be stored.
func commitAll(d *Dispatcher) {
	for b := d.collectBatch(); b != nil; b = d.collectBatch() {
		d.applyCommitted(b)
	}
}

// TestDoneTaskOfUnreadJobIsNotStartedAgain guards against the acknowledgement of an end before its job has been read:
// an earlier leader started the task without storing the assignment, and all tasks of the job would run again.
func TestDoneTaskOfUnreadJobIsNotStartedAgain(t *testing.T) {
	is := is.New(t)
	d := newUnreadFixture()
	defer d.stop()
	w := d.agent("w0")
	d.applyReport(w, worker.Report{ClockMillis: 1, Ended: []worker.End{
		{Number: 1, Task: workload.TaskName(unreadJob, 0, 0, 0), Run: 1, Kind: worker.EndDone},
	}}, bootclock.Now())
	commitAll(d)
	is.Equal(w.storedEnd, int64(0)) // the worker would forget the end
	is.True(!w.vacant())            // nor may its instance be moved

	j := readJob(t, d, fleet.JobSpec{Steps: []fleet.Step{{Count: 2, Need: oneTask.Need}}})
	d.place()
	is.True(j.Task(0, 0, 0).Done)
	is.Equal(len(j.Task(0, 0, 0).Runs), 0)
	is.Equal(len(j.Task(0, 0, 1).Runs), 1)
	commitAll(d)
	is.Equal(w.storedEnd, int64(1))
}

// TestRunOfUnreadJobIsNotStartedTwice guards against a second run beside one that an earlier leader started without
// storing it, while the job has not been read.
func TestRunOfUnreadJobIsNotStartedTwice(t *testing.T) {
	is := is.New(t)
	d := newUnreadFixture()
	defer d.stop()
	w := d.agent("w0")
	d.applyReport(w, worker.Report{ClockMillis: 1, Running: []worker.Running{
		{Task: workload.TaskName(unreadJob, 0, 0, 0), Run: 1},
	}}, bootclock.Now())
	is.Equal(len(w.strayStops), 0)

	j := readJob(t, d, fleet.JobSpec{Steps: []fleet.Step{oneTask}})
	d.place()
	is.Equal(len(j.Task(0, 0, 0).Runs), 1)
	is.Equal(j.Task(0, 0, 0).Runs[0].Worker, "w0")
	is.Equal(j.Task(0, 0, 0).Runs[0].Number, 1)
}

// TestEndOfRemovedJobIsAcknowledged guards against ends and runs of jobs that no longer exist being kept for ever.
func TestEndOfRemovedJobIsAcknowledged(t *testing.T) {
	is := is.New(t)
	d := newUnreadFixture()
	defer d.stop()
	w := d.agent("w0")
	report := worker.Report{
		ClockMillis: 1,
		Ended:       []worker.End{{Number: 1, Task: workload.TaskName(unreadJob, 0, 0, 0), Run: 1, Kind: worker.EndDone}},
		Running:     []worker.Running{{Task: workload.TaskName(unreadJob, 0, 0, 1), Run: 1}},
	}
	d.applyReport(w, report, bootclock.Now())
	d.tailContact(0, bootclock.Now())
	d.tick()
	commitAll(d)
	is.Equal(w.storedEnd, int64(1))
	d.applyReport(w, report, bootclock.Now())
	is.Equal(len(w.strayStops), 1)
}

// TestEndOfOccurrenceThatIsNotDueIsKept guards against the loss of an end in an occurrence that an earlier leader,
// whose clock was ahead, had begun.
func TestEndOfOccurrenceThatIsNotDueIsKept(t *testing.T) {
	is := is.New(t)
	d := newUnreadFixture()
	defer d.stop()
	d.jobsReadAt[0] = bootclock.Now() + time.Hour
	due := time.Now().Add(time.Hour)
	j := readJob(t, d, fleet.JobSpec{Steps: []fleet.Step{oneTask}, Times: 1, FirstAt: due})
	w := d.agent("w0")
	d.applyReport(w, worker.Report{ClockMillis: 1, Ended: []worker.End{
		{Number: 1, Task: workload.TaskName(unreadJob, 0, 0, 0), Run: 1, Kind: worker.EndDone},
	}}, bootclock.Now())
	commitAll(d)
	is.Equal(w.storedEnd, int64(0))

	j.Spec.FirstAt = time.Now()
	d.tick()
	is.Equal(j.State, workload.StateDone)
	commitAll(d)
	is.Equal(w.storedEnd, int64(1))
}

// TestRunOfAnUnreadJobOutlastsTheEntry guards against a second run of a task beside one that its worker has listed
// before the job was read: the worker's entry expired meanwhile, for example with an outage of the store.
func TestRunOfAnUnreadJobOutlastsTheEntry(t *testing.T) {
	is := is.New(t)
	d := newUnreadFixture()
	defer d.stop()
	a := d.agent("w0")
	task := workload.TaskName(unreadJob, 0, 0, 0)
	d.applyReport(a, worker.Report{ClockMillis: 1, Incarnation: 1, Running: []worker.Running{{Task: task, Run: 1}}}, bootclock.Now())
	is.Equal(len(a.unclaimedRuns), 1)
	a.renewing = false
	d.removeEntry("w0")
	d.tick()
	j := readJob(t, d, fleet.JobSpec{Steps: []fleet.Step{oneTask}})
	d.place()
	runs := j.Task(0, 0, 0).Runs
	is.Equal(len(runs), 1)
	is.Equal(runs[0].Worker, "w0")
}
