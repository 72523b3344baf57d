package replica

import "time"

// maxContactGap is the maximum time between two reads of the end of the log that counts as unbroken contact.
const maxContactGap = 2 * time.Second

// Contact holds the times at which the end of the log was read. All times are of the local monotonic clock.
type Contact struct {
	// Last is the time of the latest read of the end of the log, or zero.
	Last time.Time
	// UnbrokenSince is the start of the current period in which the age of Last never exceeded 2 s.
	UnbrokenSince time.Time
}

// update returns the contact after a read whose effective time is at and whose answer was received later. Whether
// contact was broken is decided by the time of receipt: until then this instance reported to its peers that it had no
// contact, and they may have extended their leases on that basis.
func (c Contact) update(at, received time.Time) Contact {
	if c.Last.IsZero() || received.Sub(c.Last) > maxContactGap {
		c.UnbrokenSince = received
	}
	if at.After(c.Last) {
		c.Last = at
	}
	return c
}

// UnbrokenFor returns the duration for which contact has been unbroken, or 0 if it is currently broken.
func (c Contact) UnbrokenFor(now time.Time) time.Duration {
	if c.Last.IsZero() || now.Sub(c.Last) > maxContactGap {
		return 0
	}
	return now.Sub(c.UnbrokenSince)
}

// effectiveReadTime returns the time for which a read proves contact. A delayed answer must not count as fresh: the log
// produces an answer no later than sent plus wait, so an answer that arrives after that counts for that time. An answer
// that arrives earlier was produced less than wait before its arrival, and counts for the time of arrival.
func effectiveReadTime(sent, received time.Time, wait time.Duration) time.Time {
	if latest := sent.Add(wait); received.After(latest) {
		return latest
	}
	return received
}
