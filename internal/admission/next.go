// Package admission queues requests per pool until a team unit and a worker slot are free, and applies fair sharing
// between teams to choose the next request.
package admission

// Head is the first waiting request of one team and urgency class in the queue of a pool.
type Head struct {
	Team   string
	Urgent bool
	// Arrival is a sequence number that orders requests by their time of arrival.
	Arrival uint64
	// Running is the number of requests of the team that currently run in the pool, summed over all entry instances.
	Running int
	// Share is the team's share; values below 1 count as 1.
	Share int
	// Blocked excludes the head from the choice: the team has no free unit on this entry instance, or no worker instance
	// is eligible for the request.
	Blocked bool
}

// Next returns the index of the head to admit next, or -1 if all heads are blocked. It has no side effects. Urgent
// requests precede others; among equals, the team with the lowest running/share ratio and then the earliest arrival
// wins.
func Next(heads []Head) int {
	best := -1
	for i, h := range heads {
		if h.Blocked {
			continue
		}
		if best < 0 || precedes(h, heads[best]) {
			best = i
		}
	}
	return best
}

// precedes reports whether a is admitted before b.
func precedes(a, b Head) bool {
	if a.Urgent != b.Urgent {
		return a.Urgent
	}
	// Compare a.Running/a.Share with b.Running/b.Share without division.
	ra, rb := a.Running*max(b.Share, 1), b.Running*max(a.Share, 1)
	if ra != rb {
		return ra < rb
	}
	return a.Arrival < b.Arrival
}
