package allotment

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/record"
	"pollenlead/internal/statemachine"
)

// acquire acquires n permits on any instances with free slots.
func acquire(is *is.I, l *Ledger, team string, n int) []*Permit {
	var permits []*Permit
	for range n {
		candidates := l.Candidates("p")
		free := slices.IndexFunc(candidates, func(c Candidate) bool { return c.Used < c.Held })
		is.True(free >= 0)
		p, err := l.Acquire(team, candidates[free].Instance)
		is.NoErr(err)
		permits = append(permits, p)
	}
	return permits
}

// Guards against more permits than units or slots, permits under an expired lease, and a repeated release that frees a
// unit twice.
func TestAcquireIsBounded(t *testing.T) {
	withFakeClock(t, func(t *testing.T, is *is.I, f *fake) {
		l := f.ledger
		permits := acquire(is, l, "a", 4)
		_, err := l.Acquire("b", permits[0].Instance)
		is.True(errors.Is(err, ErrNoSlot))
		acquire(is, l, "b", 2)
		is.True(!l.HasTeamUnit("b"))
		_, err = l.Acquire("b", "w-2")
		is.True(errors.Is(err, ErrNoTeamUnit))
		is.Equal(l.Usage().RunningByTeam, map[string]int{"a": 4, "b": 2})

		l.SetQueued("a", "p", 1)
		changed := l.Changed()
		permits[0].Release()
		permits[0].Release()
		<-changed
		is.Equal(l.Usage().RunningByPool["p"], 5)
		time.Sleep(10 * time.Second)
		_, err = l.Acquire("a", "w-2")
		is.True(errors.Is(err, ErrLeaseExpired))
		is.Equal(l.MaxConnections("w-1"), 4*16)
		is.Equal(l.MaxConnections("w-2"), 4*8)
	})
}

// Guards against using units of a proposed release before the release is known to have had no effect.
func TestPendingReleaseIsNotSpent(t *testing.T) {
	for name, submitErr := range map[string]error{"not sent": errNotSent, "unresolved": errors.New("unresolved")} {
		t.Run(name, func(t *testing.T) {
			withFakeClock(t, func(t *testing.T, is *is.I, f *fake) {
				l := f.ledger
				ctx := context.Background()
				f.submitErr = submitErr
				f.apply("other", record.Op{SessionOpen: &record.SessionOpen{}},
					record.Op{Demand: &record.Demand{Teams: []record.ResourceDemand{{Name: "a", Wanted: 6}}}})
				p := proposer{ledger: l, results: make(chan result, 1)}
				p.step(ctx)
				is.True(!l.HasTeamUnit("a")) // all six are proposed for release
				p.handleResult(<-p.results)
				p.step(ctx)
				is.Equal(l.HasTeamUnit("a"), submitErr == errNotSent)
				if submitErr == errNotSent {
					return
				}
				f.apply("other", record.Op{SessionRenew: &record.SessionRenew{}})
				p.step(ctx)
				is.True(!l.HasTeamUnit("a")) // a record of another holder resolves nothing
				f.submitErr = nil
				f.apply("me", f.unapplied...)
				p.step(ctx)
				is.True(!l.HasTeamUnit("a"))
				is.True(!p.pending)
				f.View(func(s *statemachine.State) { is.Equal(s.TeamUnits("other", "a"), 6) })
			})
		})
	}
}

// Guards against more than 5 proposals per second, against proposals without a change of demand, and against a demand
// that is never proposed.
func TestRunProposesDemand(t *testing.T) {
	withFakeClock(t, func(t *testing.T, is *is.I, f *fake) {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- f.ledger.Run(ctx) }()
		wanted := func() (n int) {
			f.View(func(s *statemachine.State) { n = s.Allotment("me").Teams["a"].Wanted })
			return n
		}
		for n := range 100 {
			f.ledger.SetQueued("a", "p", n)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		is.Equal(wanted(), 99)
		f.ledger.SetQueued("a", "p", 0)
		time.Sleep(500 * time.Millisecond)
		is.Equal(wanted(), 99) // the drop in demand is shorter than demandHoldWindow
		time.Sleep(3 * time.Second)
		is.Equal(wanted(), 0)
		count := len(f.submits)
		time.Sleep(time.Minute)
		is.Equal(len(f.submits), count)
		for n := 1; n < count; n++ {
			is.True(f.submits[n].Sub(f.submits[n-1]) >= proposeInterval)
		}
		cancel()
		is.True(errors.Is(<-done, context.Canceled))
	})
}

// Guards against assigning the unit of an adopted job to other work while its task runs, before and after its permit is
// acquired.
func TestAdoptedJobKeepsItsUnit(t *testing.T) {
	withFakeClock(t, func(t *testing.T, is *is.I, f *fake) {
		f.apply("other", record.Op{SessionOpen: &record.SessionOpen{}})
		f.apply("me", record.Op{Release: &record.Release{Teams: []record.TeamUnits{{Name: "a", Units: 6}},
			Slots: []record.InstanceSlots{{Instance: "w-1", Slots: 4}, {Instance: "w-2", Slots: 4}}}})
		var instance string
		f.View(func(s *statemachine.State) {
			for id := range s.Allotment("other").Slots {
				instance = id
			}
		})
		outcomes := f.apply("other", record.Op{JobAccept: &record.JobAccept{Job: "j", Team: "a", KeyID: "k", Service: "s"}},
			record.Op{JobStart: &record.JobStart{Job: "j", Attempt: 1, Instance: instance}},
			record.Op{SessionClose: &record.SessionClose{}})
		is.True(outcomes[1].Accepted)
		f.ledger.refresh(false)
		is.Equal(f.ledger.teams["a"].free(), 5)
		p := f.ledger.AcquireStarted("a", instance)
		is.Equal(f.ledger.teams["a"].free(), 5)
		is.Equal(p.Address != "", true)
		acquire(is, f.ledger, "a", 5)
		is.True(!f.ledger.HasTeamUnit("a"))
		gone := f.ledger.AcquireStarted("a", "unknown")
		is.Equal(f.ledger.teams["a"].free(), -1)
		gone.Release()
		p.Release()
	})
}

// Guards against worker leases that outlast the session lease, that expire while work runs under them, or that are
// renewed although they have expired or are idle.
func TestWorkerLease(t *testing.T) {
	withFakeClock(t, func(t *testing.T, is *is.I, f *fake) {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); f.ledger.leases.run(ctx) }()
		p, err := f.ledger.Acquire("a", "w-1")
		is.NoErr(err)
		id, err := p.Lease(ctx)
		is.NoErr(err)
		again, err := p.Lease(ctx)
		is.NoErr(err)
		is.Equal(again, id)
		// Opening the lease took 100 ms, so it ends 100 ms before the session lease.
		is.Equal(f.leaseEnd("w-1", id), f.End().Add(-100*time.Millisecond))

		for range 10 { // renewed with the session lease while in use
			f.setEnd(10 * time.Second)
			time.Sleep(4500 * time.Millisecond)
			synctest.Wait()
			is.True(f.leaseEnd("w-1", id).After(time.Now()))
		}
		time.Sleep(11 * time.Second) // the session lease expired
		f.setEnd(time.Hour)
		time.Sleep(5 * time.Second)
		is.True(f.leaseEnd("w-1", id).Before(time.Now()))
		replaced, err := p.Lease(ctx)
		is.NoErr(err)
		is.True(replaced != id)
		p.LeaseRefused(ctx, replaced)
		third, err := p.Lease(ctx)
		is.NoErr(err)
		is.True(third != replaced)

		p.Release()
		time.Sleep(leaseIdleTimeout + time.Second)
		renewed := f.workers["w-1"].renewed.Load()
		time.Sleep(time.Minute)
		is.Equal(f.workers["w-1"].renewed.Load(), renewed)
		f.setEnd(0)
		_, err = p.Lease(ctx)
		is.True(errors.Is(err, ErrLeaseExpired))
		cancel()
		<-done
	})
}
