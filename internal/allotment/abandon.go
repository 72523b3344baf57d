package allotment

import (
	"context"
	"fmt"
	"time"
)

const (
	// leaseExpiryGuard is the time after the end that was asked for until a lease has certainly expired. The holder's and
	// the worker's clocks differ in rate, and the worker needs a moment to stop the work. It is the same as the guard
	// between a session lease (10 s) and its revocation (12 s).
	leaseExpiryGuard = 2 * time.Second
	// earlierLeaseLength bounds how long a task may run under the worker lease of an earlier holder: a worker lease ends no
	// later than the session lease, which lasts 10 s.
	earlierLeaseLength = 10 * time.Second
	// leaseCloseRetry is the pause after a CloseLease that was not confirmed.
	leaseCloseRetry = time.Second
)

// Abandon ends the use of a permit whose work may still run. The unit and the slot stay in use until the work has certainly
// ended: new work of the instance starts under a new worker lease, and once no other permit uses the old one, it is closed
// at the worker, which stops what ran under it. If the worker does not confirm that, the lease's expiry ends the work.
// freed is called then, without any lock; it may be nil. Only the first call of Abandon or Release counts.
func (p *Permit) Abandon(freed func()) {
	p.once.Do(func() {
		l := p.ledger
		p.freed = freed
		l.mu.Lock()
		l.abandoned++
		if p.started {
			// The end of the job's attempt is in the log, so the fold does not count the permit any more.
			l.teams[p.Team].started--
			l.instances[p.Instance].started--
		}
		l.mu.Unlock()
		if !l.leases.abandon(p) {
			p.free()
		}
	})
}

// free gives back the unit and the slot of an abandoned permit.
func (p *Permit) free() {
	l := p.ledger
	l.mu.Lock()
	l.abandoned--
	l.countUse(p, -1)
	l.notify()
	l.mu.Unlock()
	if p.freed != nil {
		p.freed()
	}
}

// Abandoned is the number of abandoned permits whose work may still run.
func (l *Ledger) Abandoned() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.abandoned
}

// WaitAbandoned waits until no work of an abandoned permit can run any more. The end of the session frees the units for
// other holders, so it must come after that.
func (l *Ledger) WaitAbandoned(ctx context.Context) error {
	for {
		changed := l.Changed()
		n := l.Abandoned()
		if n == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("work of %d abandoned permits may still run: %w", n, ctx.Err())
		}
	}
}

// abandon retires the permit's lease. It reports false if no work can have started under the permit.
func (b *leaseBook) abandon(p *Permit) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := p.lease
	if w == nil {
		if !p.started {
			return false
		}
		w = &workerLease{busy: make(chan struct{}, 1)}
		w.over.Store(true)
		w.permits++
	}
	if b.leases[p.Instance] == w {
		delete(b.leases, p.Instance)
	}
	w.permits--
	w.abandoned = append(w.abandoned, p)
	b.retired[w] = struct{}{}
	b.wake()
	return true
}

// release ends the permit's use of its lease.
func (b *leaseBook) release(p *Permit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := p.lease
	if w == nil {
		return
	}
	w.permits--
	w.lastUse = b.cfg.Clock.Now()
	if _, retired := b.retired[w]; retired && w.permits == 0 {
		b.wake()
	}
}

func (b *leaseBook) wake() {
	select {
	case b.kick <- struct{}{}:
	default:
	}
}

// settle returns the retired leases to close and the abandoned permits whose work has certainly ended.
func (b *leaseBook) settle() (closing []*workerLease, freed []*Permit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Clock.Now()
	for w := range b.retired {
		over := w.over.Load() || !now.Before(w.asked.Add(leaseExpiryGuard))
		if over {
			freed = append(freed, w.takeEnded(now)...)
		}
		switch {
		case w.permits > 0:
		case len(w.abandoned) == 0:
			delete(b.retired, w)
		case !over && !now.Before(w.nextClose):
			w.nextClose = now.Add(leaseCloseRetry)
			closing = append(closing, w)
		}
	}
	return closing, freed
}

// takeEnded removes the abandoned permits whose work has ended, given that nothing runs under the lease. A job that an
// earlier holder started may not have been moved to the lease. The caller holds the book's mu.
func (w *workerLease) takeEnded(now time.Time) []*Permit {
	var ended, left []*Permit
	for _, p := range w.abandoned {
		if p.started && now.Before(p.acquired.Add(earlierLeaseLength+leaseExpiryGuard)) {
			left = append(left, p)
		} else {
			ended = append(ended, p)
		}
	}
	w.abandoned = left
	return ended
}

// close ends a retired lease that no permit uses, which therefore is not renewed any more.
func (b *leaseBook) close(ctx context.Context, w *workerLease) {
	select {
	case w.busy <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-w.busy }()
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	if err := b.worker(w).CloseLease(ctx, w.id); err == nil || isLapsed(err) {
		w.over.Store(true)
		b.wake()
	}
}
