package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

// pacedWorkers passes on the pace orders that it receives.
type pacedWorkers struct {
	unresponsiveWorkers
	percent chan int
}

func (w *pacedWorkers) SetPace(_ context.Context, _ worker.Address, _ string, _, percent int, _ int64) error {
	w.percent <- percent
	return nil
}

// TestFillerIsPaced guards against filler work that keeps a serving task over its latency target.
func TestFillerIsPaced(t *testing.T) {
	is := is.New(t)
	workers := &pacedWorkers{percent: make(chan int, 1)}
	d := newFixture(1)
	d.Workers = workers
	defer d.stop()
	serving := d.addJob("0011223344556677", fleet.Step{Count: 1, LongRunning: true, LatencyTarget: 100 * time.Millisecond})
	filler := d.addJob("7766554433221100", fleet.Step{
		Count: 1, LongRunning: true, Filler: true, Need: fleet.Resources{CPUMilli: 64000},
	})
	d.place()
	for _, j := range []*job{serving, filler} {
		is.Equal(len(j.Task(0, 0, 0).Runs), 1) // filler needs no free processors
		j.Task(0, 0, 0).Runs[0].Released, j.Task(0, 0, 0).Runs[0].Phase = true, workload.RunActive
	}
	d.applyReport(d.agent("w0"), worker.Report{ClockMillis: 1, Running: []worker.Running{
		{Task: serving.Task(0, 0, 0).Name(), Run: 1, Percent: 100, Load: 150},
		{Task: filler.Task(0, 0, 0).Name(), Run: 1, Percent: 100},
	}}, bootclock.Now())
	is.Equal(<-workers.percent, 10)
}

// TestPaceOfTheFormerLifeIsForgotten guards against filler work that is slowed down on a restarted worker because of
// what the serving tasks of its former life needed.
func TestPaceOfTheFormerLifeIsForgotten(t *testing.T) {
	is := is.New(t)
	d, a, _ := newLiveFixture(t, &liveWorkers{})
	a.pace, a.pacedAt = 10, d.now()
	d.restart(a)
	is.Equal(a.pace, fullPace)
	is.True(a.pacedAt.IsZero())
}
