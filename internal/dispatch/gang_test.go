package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

// newGangFixture returns a dispatcher with a gang of four on four workers, whose starts wait for the store.
func newGangFixture(t *testing.T) (*Dispatcher, []*workload.Run) {
	t.Helper()
	d := newFixture(4)
	d.Workers = &unresponsiveWorkers{}
	t.Cleanup(d.stop)
	for i := range d.agents {
		d.agents[i].clockAt = d.bootStart
	}
	j := d.addJob("0011223344556677", fleet.Step{
		Count: 4, Gang: true, Checkpoints: true, MaxPerWorker: 1, Need: fleet.Resources{CPUMilli: 1000},
	})
	d.place()
	return d, gangRuns(t, j)
}

func gangRuns(t *testing.T, j *job) []*workload.Run {
	t.Helper()
	var runs []*workload.Run
	j.EachTask(func(task *workload.Task) {
		if len(task.Runs) != 1 {
			t.Fatalf("%d runs of a member", len(task.Runs))
		}
		runs = append(runs, task.Runs[0])
	})
	return runs
}

// TestInterruptedGangStartsFromOneCheckpoint guards against a gang that is interrupted by the crash of one worker and
// whose members are started again from different checkpoints. They ended alone without end, and the job was never done.
func TestInterruptedGangStartsFromOneCheckpoint(t *testing.T) {
	is := is.New(t)
	d, runs := newGangFixture(t)
	values := []string{"a", "b", "c", "d"}
	d.mu.Lock()
	for n, r := range runs {
		r.Stored, r.Released, r.Phase = true, true, workload.RunActive
		a := d.agent(r.Worker)
		d.updateRun(r, &worker.Running{Task: r.Task.Name(), Run: 1, Checkpoint: values[n], Percent: 40}, d.now(), d.now())
		if n > 0 {
			d.applyEnd(a, worker.End{
				Number: 1, Task: r.Task.Name(), Run: 1, Kind: worker.EndGangMemberEnded, Checkpoint: values[n],
			})
		}
	}
	d.dropLostRun(d.agent(runs[0].Worker), runs[0])
	d.mu.Unlock()
	d.place()
	started := map[string]int{}
	for _, r := range gangRuns(t, d.jobs["0011223344556677"]) {
		is.Equal(r.Number, 2)
		_, s, ok := d.nextStart(d.agent(r.Worker), r, false)
		is.True(ok)
		started[s.Checkpoint]++
	}
	is.Equal(started, map[string]int{"d": 4}) // the value that was saved last
}

// TestRefusedGangMemberStopsTheOthers guards against members of a gang that hold their room and then end alone, because
// one of them was refused.
func TestRefusedGangMemberStopsTheOthers(t *testing.T) {
	is := is.New(t)
	d, runs := newGangFixture(t)
	for _, r := range runs {
		r.Stored, r.Released = true, true
	}
	runs[1].Phase = workload.RunActive
	d.applyStartOutcome(d.agent(runs[0].Worker), runs[0], &worker.RefusedError{Reason: worker.RefusedRoom}, false)
	d.mu.Lock()
	defer d.mu.Unlock()
	is.Equal(len(runs[0].Task.Runs), 0)
	for _, r := range runs[1:] {
		is.Equal(r.Phase, workload.RunStopping)
	}
}

// TestMemberOfAnEndedGangIsNotStarted guards against a start of one member after another one has ended: a new leader
// repeats a start that its predecessor may not have sent.
func TestMemberOfAnEndedGangIsNotStarted(t *testing.T) {
	is := is.New(t)
	d, runs := newGangFixture(t)
	for _, r := range runs {
		r.Stored, r.Released, r.Inherited = true, true, true
	}
	d.applyReport(d.agent(runs[3].Worker), worker.Report{ClockMillis: 1, Ended: []worker.End{
		{Number: 1, Task: runs[3].Task.Name(), Run: 1, Kind: worker.EndGangTimeout},
	}}, bootclock.Now())
	_, _, ok := d.nextStart(d.agent(runs[0].Worker), runs[0], false)
	is.True(!ok)
	d.mu.Lock()
	defer d.mu.Unlock()
	is.Equal(runs[0].Phase, workload.RunStopping) // the earlier leader's start may still be carried out
}

// TestGangStartsUnstoredAsAWhole guards against members of a gang that start before they are stored although another
// one must not, so that they wait for it in vain.
func TestGangStartsUnstoredAsAWhole(t *testing.T) {
	is := is.New(t)
	d, runs := newGangFixture(t)
	for _, r := range runs[1:] {
		d.storedWorkers[r.Worker] = "pool"
	}
	long := bootclock.Now() - unstoredStartDelay - time.Millisecond
	d.releaseUnstored(long)
	for _, r := range runs {
		is.True(!r.Released)
	}
	d.storedWorkers[runs[0].Worker] = "pool"
	d.releaseUnstored(long)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range runs {
		is.True(r.Released)
	}
}

// TestGangOfALostStartIsStopped guards against members of a gang that hold their room and then end alone, because the
// start of one was lost with the former life of its worker.
func TestGangOfALostStartIsStopped(t *testing.T) {
	for _, name := range []string{"worker restarted", "worker crashed"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, runs := newGangFixture(t)
			a := d.agent(runs[0].Worker)
			a.incarnation, a.entry.Incarnation = 1, 1
			for _, r := range runs {
				r.Stored, r.Released, r.Phase = true, true, workload.RunActive
			}
			runs[0].Phase, runs[0].Incarnation = workload.RunAssigned, 1
			d.ordersInFlight[runs[0]] = true
			if name == "worker restarted" {
				d.restart(a)
			} else {
				d.mu.Lock()
				d.applyMissing(a, bootclock.Now(), "its instance is down")
				d.mu.Unlock()
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			is.Equal(len(runs[0].Task.Runs), 0)
			for _, r := range runs[1:] {
				is.Equal(r.Phase, workload.RunStopping)
			}
		})
	}
}
