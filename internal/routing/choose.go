// Package routing chooses the instance for a request, ejects failing instances and bounds retries.
package routing

import (
	"slices"
	"time"
)

// Candidate is an instance on which this process holds slots.
type Candidate struct {
	Instance         string
	Address          string
	AvailabilityZone string
	Used             int
	Held             int
}

// Ejection is the temporary exclusion of an instance.
type Ejection struct {
	Until time.Time
	// Leaving means that the instance itself refused work because it is shutting down. The limit on ejections does
	// not apply to it.
	Leaving bool
}

// Choose returns the instance for the next request of a pool. It is pure.
//
// candidates are all instances of the pool on which this process holds slots, including full ones, because the limit
// on ejections counts them. ejected is the snapshot of Health at the same moment. The instances in avoid have already
// failed this request; they are chosen only if every other usable instance is in avoid too, and not merely because
// the others are full at the moment. turn breaks ties, so that equally loaded instances are chosen in rotation.
func Choose(candidates []Candidate, ejected map[string]Ejection, avoid []string, turn uint64) (Candidate, bool) {
	out := applyFloor(candidates, ejected)
	onlyAvoided := true
	for _, c := range candidates {
		if !out[c.Instance] && !slices.Contains(avoid, c.Instance) {
			onlyAvoided = false
			break
		}
	}
	zones := zoneLoads(candidates)
	best, found := Candidate{}, false
	n := len(candidates)
	for k := range n {
		c := candidates[(k+int(turn%uint64(n)))%n]
		if out[c.Instance] || c.Used >= c.Held || (!onlyAvoided && slices.Contains(avoid, c.Instance)) {
			continue
		}
		if !found || lessLoaded(c, best, zones) {
			best, found = c, true
		}
	}
	return best, found
}

// applyFloor returns the instances to exclude. At most half of the candidates are ejected. If more have failed, the
// cause is probably not in the instances, and those whose ejection ends first stay in use.
func applyFloor(candidates []Candidate, ejected map[string]Ejection) map[string]bool {
	if len(ejected) == 0 {
		return nil
	}
	out := map[string]bool{}
	var failing []string
	for _, c := range candidates {
		e, ok := ejected[c.Instance]
		switch {
		case !ok:
		case e.Leaving:
			out[c.Instance] = true
		default:
			failing = append(failing, c.Instance)
		}
	}
	slices.SortStableFunc(failing, func(a, b string) int { return ejected[b].Until.Compare(ejected[a].Until) })
	for _, instance := range failing[:min(len(failing), len(candidates)/2)] {
		out[instance] = true
	}
	return out
}

type load struct{ used, held int }

// less compares used/held without division; the held counts are positive.
func (l load) less(other load) bool { return l.used*other.held < other.used*l.held }

func zoneLoads(candidates []Candidate) map[string]load {
	zones := map[string]load{}
	for _, c := range candidates {
		l := zones[c.AvailabilityZone]
		zones[c.AvailabilityZone] = load{used: l.used + c.Used, held: l.held + c.Held}
	}
	return zones
}

// lessLoaded reports whether a has a lower used/held ratio than b or, if the ratios are equal, whether a's
// availability zone has the lower ratio.
func lessLoaded(a, b Candidate, zones map[string]load) bool {
	la, lb := load{a.Used, a.Held}, load{b.Used, b.Held}
	if la.less(lb) || lb.less(la) {
		return la.less(lb)
	}
	return zones[a.AvailabilityZone].less(zones[b.AvailabilityZone])
}
