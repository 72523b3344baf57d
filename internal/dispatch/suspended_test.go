package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"pollenlead/internal/store"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

// TestJobWithUnreadableProgressIsSuspended guards against tasks that start again after they were done because a new
// leader cannot read the progress of their job, and against the same for a job whose tasks still run.
func TestJobWithUnreadableProgressIsSuspended(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	d.Workers = &unresponsiveWorkers{}
	d.loaded = false
	const id = "0011223344556677"
	d.applyJobRecord(0, store.Record{
		Key: workload.SubmissionKey(id), Value: []byte(`{"queue":"queue","pool":"pool","spec":{"Steps":[{"Count":1}]}}`),
	})
	progress := map[string]store.Record{}
	d.applyProgressRecord(store.Record{Key: workload.ProgressKey(id), Value: []byte("\x00")}, progress)
	d.restore(progress)
	for range 3 {
		d.tick()
		d.place()
	}
	is.Equal(len(d.agent("w0").runs), 0)
	d.applyReport(d.agent("w0"), worker.Report{
		Ended: []worker.End{{Number: 1, Task: id + ".0.0.0", Run: 1, Kind: worker.EndDone}},
	}, 0)
	is.Equal(d.jobs[id].State, workload.StateRunning)
	is.Equal(len(d.agent("w0").runs), 0)
	is.Equal(len(d.changed), 0) // the stored progress is not overwritten
}
