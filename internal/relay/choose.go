package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minMembers is the number of entry instances from which the leader uses delegates. With fewer it calls all workers
	// itself, which saves the hop through another entry instance.
	minMembers = 16
	// membersPerDelegate is the number of entry instances of a zone per delegate. Fleets have five to ten workers per
	// entry instance. With more delegates, fewer calls share a batch.
	membersPerDelegate = 16
	// strongCPURatio is the fraction of the largest CPU share that an entry instance needs to be a preferred delegate.
	strongCPURatio = 0.5
)

// Member is an entry instance that may be a delegate.
type Member struct {
	Name string
	Zone string
	// Address is where the member accepts calls for workers; "" if it accepts none.
	Address string
	// CPUShare is the fraction of a core that the member may use.
	CPUShare float64
}

// delegatesPerZone returns the number of delegates in each availability zone. Delegates in the zone of their workers
// make traffic cross zones once per batch instead of once per worker.
func delegatesPerZone(members []Member) map[string]int {
	if len(members) < minMembers {
		return nil
	}
	delegates := map[string]int{}
	for _, m := range members {
		delegates[m.Zone]++
	}
	for zone, n := range delegates {
		delegates[zone] = max((n+membersPerDelegate/2)/membersPerDelegate, 1)
	}
	return delegates
}

// candidates returns the members that may become the delegate of a shard in the zone, best first. Members with a large
// CPU share come first, then members of the zone. Equal members are ordered by a score that depends on the leader, so
// that delegates are not always the same members, such as the next leader.
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
		if m.CPUShare < strongCPURatio*largest {
			n += 2
		}
		if m.Zone != zone {
			n++
		}
		return n
	}
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Or(
			penalty(a)-penalty(b),
			cmp.Compare(b.CPUShare, a.CPUShare),
			cmp.Compare(rendezvousScore(a.Name, self), rendezvousScore(b.Name, self)),
		)
	})
	return out
}

// rendezvousScore returns the score of a pair of names for rendezvous hashing. It depends on the two names only.
func rendezvousScore(a, b string) uint64 { return xxhash.Sum64String(a + "\x00" + b) }

// shardOf returns the shard, out of n, that a worker belongs to. Adding or removing a shard reassigns only the workers
// of that shard (rendezvous hashing).
func shardOf(worker string, n int) int {
	best, bestScore := 0, uint64(0)
	for i := range n {
		if score := rendezvousScore(worker, string(rune('0'+i))); i == 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}
