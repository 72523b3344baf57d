package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/fleet"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

// deadWorkers answer nothing.
type deadWorkers struct{ calls atomic.Int64 }

func (w *deadWorkers) Start(context.Context, worker.Address, worker.Start) (int64, error) {
	w.calls.Add(1)
	return 0, worker.ErrUnknown
}

func (w *deadWorkers) Stop(context.Context, worker.Address, string, int, int64) error {
	w.calls.Add(1)
	return worker.ErrUnknown
}

func (w *deadWorkers) Pace(context.Context, worker.Address, string, int, int, int64) error {
	return worker.ErrUnknown
}

func (w *deadWorkers) Hold(context.Context, worker.Address, worker.Hold) (worker.Report, error) {
	return worker.Report{}, worker.ErrUnknown
}

// TestStopEndsWithTheRun guards against stop orders that repeat without a pause after the lease of a dead worker has expired: they
// took all the processor time of the leader.
func TestStopEndsWithTheRun(t *testing.T) {
	is := is.New(t)
	workers := &deadWorkers{}
	d := newFixture(1)
	d.Workers = workers
	defer d.stop()
	j := d.addJob("0011223344556677", fleet.Step{Count: 1, Need: fleet.Resources{CPUMilli: 1000}})
	d.place()
	run := j.Task(0, 0, 0).Runs[0]
	run.Stored, run.Phase = true, workload.RunActive
	d.mu.Lock()
	d.stopRun(run, "test")
	d.lose(d.agent("w0"), "its lease has expired")
	d.mu.Unlock()
	deadline := time.Now().Add(5 * time.Second)
	for {
		d.mu.Lock()
		left := len(d.sending)
		d.mu.Unlock()
		if left == 0 {
			break
		}
		is.True(time.Now().Before(deadline)) // the order ends when the run has gone
		time.Sleep(time.Millisecond)
	}
	calls := workers.calls.Load()
	time.Sleep(50 * time.Millisecond)
	d.mu.Lock()
	is.Equal(len(d.sending), 0)
	d.mu.Unlock()
	is.Equal(workers.calls.Load(), calls)
}
