package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/scheduling"
	"pollenlead/internal/store"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

// TestNewLeaderAsksThePoolThatTheQueueLeftBefore guards against a second start of a task whose queue has been moved to
// another pool: an earlier leader started the task in the former pool without storing the assignment.
func TestNewLeaderAsksThePoolThatTheQueueLeftBefore(t *testing.T) {
	is := is.New(t)
	earlier := newFixture(1)
	earlier.agent("w0").entry.Pool = "former"
	job := earlier.addJob(unreadJob, oneTask)
	job.Pool = "former"
	earlier.markChanged(job)
	stored := map[string]store.Record{}
	b := earlier.collectBatch()
	earlier.applyCommitted(b)
	earlier.stop()

	d := newFixture(2)
	d.Workers = &unresponsiveWorkers{}
	defer d.stop()
	for _, r := range b.records() {
		d.applyProgressRecord(r, stored)
	}
	d.restoreWorkers()
	former := d.agent("w0")
	former.entry.Pool, former.contacted = "former", false
	j := d.addJob(unreadJob, oneTask) // the queue leads to another pool now
	d.place()
	is.Equal(len(j.Task(0, 0, 0).Runs), 0)

	d.applyReport(former, worker.Report{ClockMillis: 1, Ended: []worker.End{
		{Number: 1, Task: workload.TaskName(unreadJob, 0, 0, 0), Run: 1, Kind: worker.EndDone},
	}}, bootclock.Now())
	d.place()
	is.Equal(j.State, workload.StateDone)
}

// TestUnstoredStartsNeedStoredQueuePools guards against an unstored start in a pool in which the next leader would not
// look for runs of the job.
func TestUnstoredStartsNeedStoredQueuePools(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	d.Workers = &unresponsiveWorkers{}
	defer d.stop()
	d.storedWorkers["w0"] = "pool"
	delete(d.storedQueuePools, "queue")
	j := d.addJob(unreadJob, oneTask)
	d.place()
	long := bootclock.Now() - unstoredStartDelay - time.Millisecond
	d.releaseUnstored(long)
	run := j.Task(0, 0, 0).Runs[0]
	is.True(!run.Released)
	d.storedQueuePools["queue"] = []string{"pool"}
	d.releaseUnstored(long)
	is.True(run.Released)
}

// TestWorkerWithUnstoredEndsStaysInTheStoredSet guards against a next leader that does not ask a worker whose entry is
// missing and which lists ends that are not stored.
func TestWorkerWithUnstoredEndsStaysInTheStoredSet(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	d.storedWorkers["w0"] = "pool"
	w := d.agent("w0")
	w.entry, w.renewing, w.seenEnd = nil, false, 1
	d.expireLeases()
	is.Equal(d.workerSet()["w0"], "pool")
	w.storedEnd = 1
	_, stored := d.workerSet()["w0"]
	is.True(!stored)
}

// TestWorkerRemovedByAnUnansweredAppendGetsNoUnstoredStart guards against an unstored start at a worker that the next
// leader does not ask, because the append that took it out of the stored set was carried out and its answer lost.
func TestWorkerRemovedByAnUnansweredAppendGetsNoUnstoredStart(t *testing.T) {
	is := is.New(t)
	d := newFixture(2)
	d.Workers = &unresponsiveWorkers{}
	defer d.stop()
	d.storedWorkers = map[string]string{"w0": "pool", "w1": "pool"}
	entry := d.agent("w0").entry
	d.agent("w0").entry = nil
	b := d.collectBatch()
	is.Equal(b.workers, map[string]string{"w1": "pool"})

	d.agent("w0").entry = entry // it is listed again before the append has an answer
	d.agent("w1").cordoned = true
	j := d.addJob(unreadJob, oneTask)
	d.place()
	d.releaseUnstored(bootclock.Now() - unstoredStartDelay - time.Millisecond)
	run := j.Task(0, 0, 0).Runs[0]
	is.Equal(run.Worker, "w0")
	is.True(!run.Released)
}

// TestWorkerWithMoreEndsIsNotChecked guards against a new leader that starts tasks although a worker has listed only
// the first of its ends. A task whose end followed ran again.
func TestWorkerWithMoreEndsIsNotChecked(t *testing.T) {
	is := is.New(t)
	d := newFixture(2)
	defer d.stop()
	j := d.addJob("0011223344556677", fleet.Step{Count: 2, Need: oneTask.Need})
	unasked := d.agent("w1")
	unasked.unchecked, unasked.contacted = true, false
	d.storedWorkers["w1"] = "pool"
	report := worker.Report{ClockMillis: 1, Incarnation: 1, Ended: doneEnd(1, j.Task(0, 0, 0).Name()), MoreEnds: true}
	d.applyReport(unasked, report, bootclock.Now())
	d.place()
	is.Equal(len(j.Task(0, 0, 1).Runs), 0)
	d.applyCommitted(d.collectBatch())
	is.True(!unasked.vacant()) // the stored end is not the last one
	report.Ended, report.MoreEnds = doneEnd(2, j.Task(0, 0, 1).Name()), false
	d.applyReport(unasked, report, bootclock.Now())
	d.place()
	is.True(j.State.Ended())
	d.applyCommitted(d.collectBatch())
	is.True(unasked.vacant())
}

// TestWorkerIsReadBeforeItsMaintenance guards against a new leader that orders the maintenance of an instance whose
// worker has not answered it. The order ended runs that were not stored, and the only record of those that were done.
func TestWorkerIsReadBeforeItsMaintenance(t *testing.T) {
	is := is.New(t)
	d := newFixture(2)
	defer d.stop()
	w := newInstanceDriver(d)
	d.agent("w0").contacted = false
	i := &waveInstance{phase: scheduling.MaintenanceDraining, worker: "w0"}
	is.True(!w.drainInstance(i, time.Minute))
	is.True(!w.drainInstance(&waveInstance{phase: scheduling.MaintenanceDraining, worker: "new"}, time.Minute))
	d.applyReport(d.agent("w0"), worker.Report{ClockMillis: 1}, bootclock.Now())
	is.True(w.drainInstance(i, time.Minute))
	d.agent("w1").contacted = false
	i.worker = "w1"
	is.True(!w.drainInstance(i, time.Minute))
	d.fencedAt -= storeContactTimeout + 2*leaseDuration // no lease can be valid any more
	is.True(w.drainInstance(i, time.Minute))
}

// TestInheritedRunWaitsForAConfirmedIncarnation guards against a stored run that a leader starts again although it is
// separated from the store: its successor may have acknowledged the end of the run before the worker started again
// under its ID.
func TestInheritedRunWaitsForAConfirmedIncarnation(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	d.Workers = &unresponsiveWorkers{}
	defer d.stop()
	j := d.addJob(unreadJob, oneTask)
	run := j.Task(0, 0, 0).Assign("w0", 1, d.now())
	run.Stored, run.Released, run.Inherited = true, true, true
	d.attach(run)
	sent := func() bool {
		d.dirty["pool"] = true
		d.place()
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.ordersInFlight[run]
	}
	d.applyReport(d.agent("w0"), worker.Report{ClockMillis: 1, Incarnation: 2}, bootclock.Now())
	is.True(!sent())
	d.recordStoreContact(bootclock.Now()) // nobody else had begun to lead when the worker answered
	is.True(sent())
}
