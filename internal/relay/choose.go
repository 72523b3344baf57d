package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// leastMembers is the number of entry instances from which on the leader uses delegates. Below, it speaks to all workers itself, which saves
	// the way over another one.
	leastMembers = 16
	// membersPerDelegate is the number of entry instances of a zone for each of which there is one delegate. Fleets have five to ten workers for
	// each entry instance. With more delegates fewer calls share a batch.
	membersPerDelegate = 16
	// strongPart is the part of the largest processor share from which on an entry instance is a good delegate.
	strongPart = 0.5
)

// Member is an entry instance that may be a delegate.
type Member struct {
	Name string
	Zone string
	// Address is where it takes calls for workers; "" if it takes none.
	Address string
	// CPUShare is the part of a core that it has.
	CPUShare float64
}

// delegatesPerZone returns how many delegates each availability zone has. A call then crosses the zones once, in a batch, and not with each
// worker's answer.
func delegatesPerZone(members []Member) map[string]int {
	if len(members) < leastMembers {
		return nil
	}
	number := map[string]int{}
	for _, m := range members {
		number[m.Zone]++
	}
	for zone, n := range number {
		number[zone] = max((n+membersPerDelegate/2)/membersPerDelegate, 1)
	}
	return number
}

// candidates returns the members that may be the delegate of a place in a zone, the best first: strong ones, those of the zone, and of these in
// an order that differs from leader to leader, so that a delegate is not the next leader by rule.
func candidates(members []Member, zone, self string, taken func(Member) bool) []Member {
	var out []Member
	largest := 0.0
	for _, m := range members {
		largest = max(largest, m.CPUShare)
		if m.Address != "" && m.Address != self && !taken(m) {
			out = append(out, m)
		}
	}
	penalty := func(m Member) int {
		n := 0
		if m.CPUShare < strongPart*largest {
			n += 2
		}
		if m.Zone != zone {
			n++
		}
		return n
	}
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Or(penalty(a)-penalty(b), cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(weight(a.Name, self), weight(b.Name, self)))
	})
	return out
}

// weight is a number that depends on two names only, as rendezvous hashing needs it.
func weight(a, b string) uint64 { return xxhash.Sum64String(a + "\x00" + b) }

// placeOf returns which of n places has a worker. Only the workers of a place that comes or goes change theirs.
func placeOf(worker string, n int) int {
	best, most := 0, uint64(0)
	for i := range n {
		if w := weight(worker, string(rune('0'+i))); i == 0 || w > most {
			best, most = i, w
		}
	}
	return best
}
