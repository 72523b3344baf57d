package allotment

import (
	"context"
	"errors"
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pollenlead/internal/record"
	"pollenlead/internal/statemachine"
)

// TestMain sets a fixed seed for rapid, so that CI repeats the same checks. The flags -rapid.seed and -rapid.checks
// override the defaults.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "100", "rapid.nofailfile": "true"} {
		if !set[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// Guards invariant P4 on the side of the holder: whatever is released, not sent or unresolved, there are never more
// permits than units and slots that the applied state grants to this holder.
func TestPermitsAreCovered(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f, clock := newFake(is.New(t)), &manualClock{}
		f.setEnd(time.Hour)
		f.openDelay = 0
		f.ledger.cfg.Clock, f.ledger.leases.cfg.Clock = clock, clock
		f.apply("other", record.Op{SessionOpen: &record.SessionOpen{}})
		p := proposer{ledger: f.ledger, results: make(chan result, 1)}
		var permits []*Permit // excludes released permits and those whose work has ended
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			permits = randomStep(rt, f, clock, &p, permits)
			checkPermits(rt, f, permits)
		}
	})
}

// manualClock advances only when a test sets it.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time                       { return c.now }
func (c *manualClock) After(time.Duration) <-chan time.Time { return nil }

// randomStep performs a random operation on the ledger and returns the permits whose work may still run.
func randomStep(rt *rapid.T, f *fake, clock *manualClock, p *proposer, permits []*Permit) []*Permit {
	team := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "team")
	n := rapid.IntRange(0, 6).Draw(rt, "n")
	switch rapid.IntRange(0, 9).Draw(rt, "step") {
	case 0, 1:
		if c := f.ledger.Candidates("p"); len(c) > 0 {
			if permit, err := f.ledger.Acquire(team, c[n%len(c)].Instance); err == nil {
				return append(permits, permit)
			}
		}
	case 2:
		if len(permits) > 0 && !abandoned(f, permits[n%len(permits)]) {
			permits[n%len(permits)].Release()
			return append(permits[:n%len(permits):n%len(permits)], permits[n%len(permits)+1:]...)
		}
	case 3:
		f.ledger.SetQueued(team, "p", n)
	case 4:
		f.apply("other", record.Op{Demand: &record.Demand{
			Teams: []record.ResourceDemand{{Name: team, Wanted: n}}, Pools: []record.ResourceDemand{{Name: "p", Wanted: n}},
		}})
	case 5:
		f.mu.Lock()
		f.submitErr = []error{nil, errNotSent, errors.New("unresolved")}[n%3]
		late := f.unapplied
		f.unapplied = nil
		f.mu.Unlock()
		if p.unresolved != nil && len(late) > 0 {
			f.apply("me", late...)
		}
	case 6:
		if len(permits) > 0 {
			p := permits[n%len(permits)]
			p.Abandon(nil)
			if p.lease == nil { // no work started under the permit, so it is freed at once
				return slices.Delete(slices.Clone(permits), n%len(permits), n%len(permits)+1)
			}
		}
	case 7, 8:
		if len(permits) > 0 {
			p := permits[n%len(permits)]
			f.Worker(p.Instance, "", 0).(*fakeWorker).closeErr = []error{nil, errors.New("no answer")}[n%2]
			// No lease is requested for an abandoned permit.
			if !abandoned(f, p) {
				if id, err := p.Lease(context.Background()); err == nil && n == 0 {
					p.LeaseRefused(context.Background(), id)
				}
			}
		}
		return settleLeases(f, permits)
	default:
		clock.now = clock.now.Add(time.Duration(n) * 100 * time.Millisecond)
		p.step(context.Background())
		if p.pending && !p.settled && p.unresolved == nil {
			p.handleResult(<-p.results)
		}
	}
	return permits
}

// abandoned reports whether the permit was abandoned and its work may still run.
func abandoned(f *fake, p *Permit) bool {
	for w := range f.ledger.leases.retired {
		if slices.Contains(w.abandoned, p) {
			return true
		}
	}
	return false
}

// settleLeases performs one iteration of the lease manager's loop and returns the permits whose work may still run.
func settleLeases(f *fake, permits []*Permit) []*Permit {
	closing, freed := f.ledger.leases.collectEnded()
	for _, p := range freed {
		p.freeCapacity()
	}
	for _, w := range closing {
		f.ledger.leases.close(context.Background(), w)
	}
	return slices.DeleteFunc(slices.Clone(permits), func(p *Permit) bool { return slices.Contains(freed, p) })
}

// checkPermits fails the test if there are more permits than granted units or slots, or if a lease in use was closed.
func checkPermits(rt *rapid.T, f *fake, permits []*Permit) {
	teams, instances := map[string]int{}, map[string]int{}
	for _, p := range permits {
		if w := p.lease; w != nil && w.permits > 0 && slices.Contains(f.workers[p.Instance].closed, w.id) {
			rt.Fatalf("the lease of %d permits was closed", w.permits)
		}
		teams[p.Team]++
		instances[p.Instance]++
	}
	f.View(func(s *statemachine.State) {
		for team, n := range teams {
			if held := s.TeamUnits("me", team); n > held {
				rt.Fatalf("%d permits of team %s, %d units held", n, team, held)
			}
		}
		for id, n := range instances {
			if held := s.InstanceSlots("me", id); n > held {
				rt.Fatalf("%d permits on %s, %d slots held", n, id, held)
			}
		}
	})
}
