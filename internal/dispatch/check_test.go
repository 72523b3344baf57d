package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/scheduling"
	"pollenlead/internal/worker"
)

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
	is.True(!unasked.vacant())
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
	is.True(!w.drainInstance(i))
	is.True(!w.drainInstance(&waveInstance{phase: scheduling.MaintenanceDraining, worker: "new"}))
	d.applyReport(d.agent("w0"), worker.Report{ClockMillis: 1}, bootclock.Now())
	is.True(w.drainInstance(i))
	d.agent("w1").contacted = false
	i.worker = "w1"
	is.True(!w.drainInstance(i))
	d.fencedAt -= storeContactTimeout + 2*leaseDuration // no lease can be valid any more
	is.True(w.drainInstance(i))
}
