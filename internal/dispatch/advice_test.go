package dispatch

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/fleet"
	"pollenlead/internal/worker"
)

// oneGoodWorker is an advice service whose policy allows one worker.
type oneGoodWorker struct{ id string }

func (o oneGoodWorker) Advise(_ context.Context, _ string, workers []string) (worker.Advice, error) {
	a := worker.Advice{Tickets: map[string]string{}, Validity: time.Minute}
	if slices.Contains(workers, o.id) {
		a.Tickets[o.id] = "ticket"
	}
	return a, nil
}

// TestAdviceReachesEveryWorker guards against a step that waits until an empty answer expires, or longer, because the
// worker that may run it was not among the first that the advice service was asked about.
func TestAdviceReachesEveryWorker(t *testing.T) {
	for n := range 40 {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			d := newFixture(40)
			defer d.stop()
			d.Advisor = oneGoodWorker{fmt.Sprintf("w%d", n)}
			d.queues["queue"] = &fleet.Queue{Name: "queue", Attempts: 1, Stretch: 1, Advice: &fleet.AdvicePolicy{}}
			j := d.addJob("0011223344556677", fleet.Step{Count: 1, Need: fleet.Resources{CPUMilli: 1000}})
			await(t, d, func() bool {
				d.mu.Unlock()
				d.place()
				d.mu.Lock()
				return len(j.Task(0, 0, 0).Runs) == 1
			})
			is.Equal(j.Task(0, 0, 0).Runs[0].Worker, fmt.Sprintf("w%d", n))
			is.Equal(j.Task(0, 0, 0).Runs[0].Ticket, "ticket")
		})
	}
}
