package membership

import (
	"sync"
	"time"
)

// SessionLease is the right to use the allotments of a session. Its end is measured by the local monotonic clock.
type SessionLease struct {
	clock func() time.Time

	mu     sync.Mutex // guards the fields below
	holder string
	end    time.Time
	closed bool // the process is shutting down, so no further lease may start
}

// End returns when the lease ends. It is the zero time while no session is open.
func (l *SessionLease) End() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.end
}

// Valid reports whether the lease is currently valid.
func (l *SessionLease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock().Before(l.end)
}

// Holder returns the incarnation to which the lease belongs, or "" while no session is open.
func (l *SessionLease) Holder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder
}

// start starts the lease of a new session whose open record was sent at the given time.
func (l *SessionLease) start(holder string, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.holder, l.end = holder, sent.Add(sessionLeaseTTL)
	}
}

// renew extends the lease after an accepted renewal of holder.
func (l *SessionLease) renew(holder string, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if holder == l.holder {
		l.end = renewedEnd(l.clock(), l.end, sent)
	}
}

// extend extends a valid lease. now is the time of the decision to extend it, so that a pause of the process after the
// decision does not lengthen the lease.
func (l *SessionLease) extend(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clock().Before(l.end) {
		l.end = extendedEnd(now, l.end)
	}
}

// drop ends the lease. A new one may be started.
func (l *SessionLease) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder, l.end = "", time.Time{}
}

// close ends the lease for good.
func (l *SessionLease) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder, l.end, l.closed = "", time.Time{}, true
}

func (l *SessionLease) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}
