package replica

import "time"

// unbrokenGap is the longest time between two reads of the end of the log that still counts as unbroken contact.
const unbrokenGap = 2 * time.Second

// Contact says when the end of the log was read. All times are of the local monotonic clock.
type Contact struct {
	// Last is the newest read of the end of the log, or zero.
	Last time.Time
	// UnbrokenSince is when the current run of reads began, during which the age of Last never exceeded 2 s.
	UnbrokenSince time.Time
}

// mark returns the contact after a read that counts for the time at and was received later. Whether contact was broken is
// decided at the time of receipt: until then this instance told others that it had no contact, and they may have extended
// their leases because of it.
func (c Contact) mark(at, received time.Time) Contact {
	if c.Last.IsZero() || received.Sub(c.Last) > unbrokenGap {
		c.UnbrokenSince = received
	}
	if at.After(c.Last) {
		c.Last = at
	}
	return c
}

// UnbrokenFor returns for how long contact has been unbroken, or 0 if it is broken now.
func (c Contact) UnbrokenFor(now time.Time) time.Duration {
	if c.Last.IsZero() || now.Sub(c.Last) > unbrokenGap {
		return 0
	}
	return now.Sub(c.UnbrokenSince)
}

// answeredAt is the time that a read counts for. A delayed answer must not count as fresh: the log produced it at the
// latest when the read's wait was over, or else less than that wait before it arrived.
func answeredAt(sent, received time.Time, wait time.Duration) time.Time {
	if latest := sent.Add(wait); received.After(latest) {
		return latest
	}
	return received
}
