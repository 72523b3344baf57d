package membership

import (
	"sync"
	"time"
)

// SessionLease is the right to use the allotments of a session. It ends by the local monotonic clock.
type SessionLease struct {
	clock func() time.Time

	mu     sync.Mutex // guards the fields below
	holder string
	end    time.Time
	closed bool // the process is shutting down; no lease starts any more
}

// End returns when the lease ends. It is the zero time while no session is open.
func (l *SessionLease) End() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.end
}

// Valid reports whether the lease holds now.
func (l *SessionLease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock().Before(l.end)
}

// Holder returns the incarnation that the lease belongs to, or "" while no session is open.
func (l *SessionLease) Holder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder
}

// start begins the lease of a new session whose open was sent at the time given.
func (l *SessionLease) start(holder string, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.holder, l.end = holder, sent.Add(leaseLength)
	}
}

// renew counts a renewal of holder whose outcome is known.
func (l *SessionLease) renew(holder string, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if holder == l.holder {
		l.end = renewedEnd(l.clock(), l.end, sent)
	}
}

// extend moves the end of a valid lease. now is when the decision was made: a pause after it must not lengthen the lease.
func (l *SessionLease) extend(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clock().Before(l.end) {
		l.end = extendedEnd(now, l.end)
	}
}

func (l *SessionLease) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder, l.end = "", time.Time{}
}

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
