package allotment

import (
	"context"
	"fmt"
	"time"
)

const (
	// leaseExpiryMargin is the time after the latest requested end at which a worker lease is assumed to have expired. It
	// covers the difference in rate between the clocks of the holder and the worker, and the time that the worker takes to
	// stop the work. It equals the margin between the end of a session lease (10 s) and its revocation (12 s).
	leaseExpiryMargin = 2 * time.Second
	// maxEarlierLeaseTTL is the maximum time for which a task may still run under the worker lease of an earlier holder. A
	// worker lease ends no later than the session lease, which lasts 10 s.
	maxEarlierLeaseTTL = 10 * time.Second
	// leaseCloseRetryDelay is the time between attempts to close a lease when the worker has not confirmed the close.
	leaseCloseRetryDelay = time.Second
)

// Abandon ends the use of a permit whose work may still run. The unit and the slot stay in use until the work can no
// longer run: new work on the instance starts under a new worker lease, and once no other permit uses the old lease, it
// is closed at the worker, which stops all work under it. If the worker does not confirm the close, the work ends when
// the lease expires. freed is then called without any lock held; it may be nil. Only the first call of Abandon or
// Release has an effect.
func (p *Permit) Abandon(freed func()) {
	p.once.Do(func() {
		l := p.ledger
		p.onFreed = freed
		l.mu.Lock()
		l.abandoned++
		if p.started {
			// The end of the job's attempt is in the log, so the applied state no longer counts the job as started.
			l.teams[p.Team].started--
			l.instances[p.Instance].started--
		}
		l.mu.Unlock()
		if !l.leases.abandon(p) {
			p.freeCapacity()
		}
	})
}

// freeCapacity returns the unit and the slot of an abandoned permit.
func (p *Permit) freeCapacity() {
	l := p.ledger
	l.mu.Lock()
	l.abandoned--
	l.countUse(p, -1)
	l.notify()
	l.mu.Unlock()
	if p.onFreed != nil {
		p.onFreed()
	}
}

// Abandoned returns the number of abandoned permits whose work may still run.
func (l *Ledger) Abandoned() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.abandoned
}

// WaitAbandoned waits until no work of an abandoned permit can still run. The session must not be closed before that,
// because closing it frees the units for other holders.
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

// abandon retires the permit's lease. It returns false if no work can have started under the permit.
func (m *leaseManager) abandon(p *Permit) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := p.lease
	if w == nil {
		if !p.started {
			return false
		}
		w = &workerLease{callSem: make(chan struct{}, 1)}
		w.ended.Store(true)
		w.permits++
	}
	if m.leases[p.Instance] == w {
		delete(m.leases, p.Instance)
	}
	w.permits--
	w.abandoned = append(w.abandoned, p)
	m.retired[w] = struct{}{}
	m.wake()
	return true
}

// release ends the permit's use of its lease.
func (m *leaseManager) release(p *Permit) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := p.lease
	if w == nil {
		return
	}
	w.permits--
	w.lastUse = m.cfg.Clock.Now()
	if _, retired := m.retired[w]; retired && w.permits == 0 {
		m.wake()
	}
}

// wake wakes run.
func (m *leaseManager) wake() {
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

// collectEnded returns the retired leases to close and the abandoned permits whose work can no longer run.
func (m *leaseManager) collectEnded() (closing []*workerLease, freed []*Permit) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Clock.Now()
	for w := range m.retired {
		ended := w.ended.Load() || !now.Before(w.maxRequestedEnd.Add(leaseExpiryMargin))
		if ended {
			freed = append(freed, w.takeEnded(now)...)
		}
		switch {
		case w.permits > 0:
		case len(w.abandoned) == 0:
			delete(m.retired, w)
		case !ended && !now.Before(w.nextClose):
			w.nextClose = now.Add(leaseCloseRetryDelay)
			closing = append(closing, w)
		}
	}
	return closing, freed
}

// takeEnded removes and returns the abandoned permits whose work can no longer run, given that nothing runs under the
// lease. A job that an earlier holder started may still run under the lease of that holder. The caller holds the
// manager's mu.
func (w *workerLease) takeEnded(now time.Time) []*Permit {
	var ended, left []*Permit
	for _, p := range w.abandoned {
		if p.started && now.Before(p.acquired.Add(maxEarlierLeaseTTL+leaseExpiryMargin)) {
			left = append(left, p)
		} else {
			ended = append(ended, p)
		}
	}
	w.abandoned = left
	return ended
}

// close closes a retired lease at the worker. No permit uses the lease, so it is no longer renewed.
func (m *leaseManager) close(ctx context.Context, w *workerLease) {
	select {
	case w.callSem <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-w.callSem }()
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	if err := m.worker(w).CloseLease(ctx, w.id); err == nil || isLapsed(err) {
		w.ended.Store(true)
		m.wake()
	}
}
