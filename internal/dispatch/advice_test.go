package dispatch

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
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

// numberedTickets is an advice service that allows every worker and numbers its answers. Before an answer it calls
// asked.
type numberedTickets struct {
	asked   func()
	answers atomic.Int64
}

func (n *numberedTickets) Advise(_ context.Context, _ string, workers []string) (worker.Advice, error) {
	a := worker.Advice{Tickets: map[string]string{}, Validity: time.Minute}
	number := n.answers.Add(1)
	if n.asked != nil && number == 1 {
		n.asked()
	}
	for _, id := range workers {
		a.Tickets[id] = fmt.Sprint(number)
	}
	return a, nil
}

// TestTicketOfTheFormerLifeIsNotUsed guards against starts that a worker refuses because their ticket was issued for
// its former life: it was kept for other tasks of the step, was under way, or belonged to a run that waited for the
// store.
func TestTicketOfTheFormerLifeIsNotUsed(t *testing.T) {
	for _, name := range []string{"kept", "under way", "waiting", "forgotten worker"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newFixture(1)
			defer d.stop()
			a := d.agent("w0")
			a.entry.Incarnation = 1
			d.applyReport(a, worker.Report{ClockMillis: 1, Incarnation: 1}, bootclock.Now())
			restart := func() {
				d.useNextEntry(a)
				d.restart(a)
			}
			service := &numberedTickets{}
			if name == "under way" {
				service.asked = restart
			}
			d.Advisor = service
			d.queues["queue"] = &fleet.Queue{Name: "queue", Attempts: 1, Stretch: 1, Advice: &fleet.AdvicePolicy{}}
			j := d.addJob("0011223344556677", fleet.Step{Count: 2, MaxPerWorker: 1, Need: fleet.Resources{CPUMilli: 1000}})
			assigned := func() (run *workload.Run) {
				await(t, d, func() bool {
					d.dirty["pool"] = true
					d.mu.Unlock()
					d.place()
					d.mu.Lock()
					for _, r := range a.runs {
						run = r
					}
					return run != nil
				})
				return run
			}
			run := assigned()
			if name == "under way" {
				is.Equal(run.Ticket, "2")
				return
			}
			is.Equal(run.Ticket, "1")
			switch name {
			case "kept":
				d.dropRun(a, run)
				restart()
			case "waiting":
				restart()
				is.Equal(len(a.runs), 0)
			case "forgotten worker":
				d.dropRun(a, run)
				entry := a.entry
				a.entry, a.renewing = nil, false
				d.expireLeases()
				a = d.agent("w0")
				a.entry, a.renewing = entry, true
				restart()
			}
			is.Equal(j.Task(0, 0, 0).LostAt, time.Time{})
			is.Equal(assigned().Ticket, "2")
		})
	}
}
