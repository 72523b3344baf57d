// Package admission holds requests in one queue per pool until a team unit and a slot are free, and chooses fairly which
// request is next.
package admission

// Head is the first waiting request of a team with one urgency in the queue of a pool.
type Head struct {
	Team   string
	Urgent bool
	// Arrival orders requests; it grows by arrival.
	Arrival uint64
	// Running is the number of requests of the team that run in the pool now, over all entry instances.
	Running int
	// Share is the team's share; values below 1 count as 1.
	Share int
	// Blocked leaves the head out: the team has no free unit here, or no instance suits the request.
	Blocked bool
}

// Next returns the index of the head that is admitted next, or -1. It is pure. Urgent requests come first, then the team
// with the lowest running/share ratio, then arrival order.
func Next(heads []Head) int {
	best := -1
	for i, h := range heads {
		if h.Blocked {
			continue
		}
		if best < 0 || before(h, heads[best]) {
			best = i
		}
	}
	return best
}

func before(a, b Head) bool {
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
