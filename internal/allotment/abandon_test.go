package allotment

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// runLeases runs the lease manager until the end of the test.
func runLeases(t *testing.T, f *fake) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.ledger.leases.run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
}

// acquireLeased acquires a permit of team "a" on w-1 and its worker lease.
func acquireLeased(is *is.I, f *fake) (*Permit, string) {
	is.Helper()
	p, err := f.ledger.Acquire("a", "w-1")
	is.NoErr(err)
	id, err := p.Lease(context.Background())
	is.NoErr(err)
	return p, id
}

func usedByA(f *fake) int { return f.ledger.Usage().RunningByTeam["a"] }

// Guards against units that are freed while abandoned work may still run, against stopping the work of other permits
// under the same lease, against letting that lease expire, and against new work that prevents the lease from being
// closed.
func TestAbandonedPermitIsFreedAfterClose(t *testing.T) {
	withFakeClock(t, func(t *testing.T, is *is.I, f *fake) {
		runLeases(t, f)
		abandoned, old := acquireLeased(is, f)
		other, shared := acquireLeased(is, f)
		is.Equal(shared, old)
		freed := make(chan struct{})
		abandoned.Abandon(func() { close(freed) })
		abandoned.Release() // has no effect after Abandon
		fresh, next := acquireLeased(is, f)
		is.True(next != old)
		again, err := other.Lease(context.Background())
		is.NoErr(err)
		is.Equal(again, old) // the permit keeps the lease, because its work may have started under it
		for range 5 {
			f.setEnd(10 * time.Second)
			time.Sleep(4500 * time.Millisecond)
		}
		is.Equal(usedByA(f), 3)
		is.True(f.leaseEnd("w-1", old).After(time.Now()))
		is.Equal(len(f.closed()), 0)

		changed := f.ledger.Changed()
		other.Abandon(nil)
		<-freed
		<-changed
		is.NoErr(f.ledger.WaitAbandoned(context.Background()))
		is.Equal(f.closed(), []string{old})
		is.Equal(usedByA(f), 1)
		is.True(f.leaseEnd("w-1", next).After(time.Now()))
		fresh.Release()
		is.Equal(usedByA(f), 0)
		is.Equal(len(f.ledger.leases.retired), 0)
	})
}

// Guards against a unit that is freed although the close was not confirmed, and against one that is never freed because
// the worker does not answer.
func TestAbandonedPermitIsFreedAfterExpiry(t *testing.T) {
	withFakeClock(t, func(t *testing.T, is *is.I, f *fake) {
		runLeases(t, f)
		p, id := acquireLeased(is, f)
		f.workers["w-1"].closeErr = errors.New("no answer")
		requestedEnd := f.End()
		f.setEnd(time.Hour)
		p.Abandon(nil)
		ctx, cancel := context.WithDeadline(context.Background(), requestedEnd)
		defer cancel()
		is.True(errors.Is(f.ledger.WaitAbandoned(ctx), context.DeadlineExceeded)) // the session must not be closed yet
		time.Sleep(time.Until(requestedEnd) + leaseExpiryMargin - time.Millisecond)
		is.Equal(usedByA(f), 1)
		is.True(f.leaseEnd("w-1", id).Before(time.Now())) // the lease was not renewed
		time.Sleep(leaseCheckInterval)
		is.Equal(usedByA(f), 0)
	})
}

// Guards against an expiry time that ignores a renewal that took effect although its answer was lost.
func TestUnansweredRenewalExtendsLeaseEnd(t *testing.T) {
	withFakeClock(t, func(t *testing.T, is *is.I, f *fake) {
		p, _ := acquireLeased(is, f)
		f.workers["w-1"].renewErr, f.workers["w-1"].closeErr = errors.New("no answer"), errors.New("no answer")
		time.Sleep(leaseRenewInterval)
		f.setEnd(10 * time.Second)
		requestedEnd := f.End()
		w := p.lease
		f.ledger.leases.renew(context.Background(), w)
		runLeases(t, f)
		p.Abandon(nil)
		time.Sleep(time.Until(requestedEnd) + leaseExpiryMargin - time.Millisecond)
		is.Equal(usedByA(f), 1)
		time.Sleep(leaseCheckInterval)
		is.Equal(usedByA(f), 0)
	})
}

// Guards against waiting for the expiry of a lease that the worker no longer holds, or of one that was never opened.
func TestAbandonedPermitWithoutLiveLease(t *testing.T) {
	withFakeClock(t, func(t *testing.T, is *is.I, f *fake) {
		unused, err := f.ledger.Acquire("a", "w-1")
		is.NoErr(err)
		unused.Abandon(nil)
		is.Equal(usedByA(f), 0)
		runLeases(t, f)
		p, id := acquireLeased(is, f)
		other, _ := acquireLeased(is, f)
		f.workers["w-1"].closeErr = errors.New("no answer")
		p.Abandon(nil)
		other.LeaseRefused(context.Background(), id)
		is.NoErr(f.ledger.WaitAbandoned(context.Background()))
		is.Equal(usedByA(f), 1)
	})
}

// Guards against freeing the unit of an adopted job while its task may still run under the lease of its earlier holder,
// and against counting the abandoned job in place of a job that has yet to be adopted.
func TestAbandonedAdoptedJob(t *testing.T) {
	withFakeClock(t, func(t *testing.T, is *is.I, f *fake) {
		runLeases(t, f)
		p := f.ledger.AcquireStarted("a", "w-1")
		acquired := time.Now()
		_, err := p.Lease(context.Background())
		is.NoErr(err)
		p.Abandon(nil)
		is.Equal(f.ledger.teams["a"].started, 0)
		f.ledger.AcquireStarted("a", "w-1").Abandon(nil) // without a lease
		time.Sleep(time.Until(acquired) + maxEarlierLeaseTTL + leaseExpiryMargin - time.Millisecond)
		is.Equal(len(f.closed()), 1)
		is.Equal(usedByA(f), 2)
		time.Sleep(time.Second)
		is.Equal(usedByA(f), 0)
	})
}
