// Package allot divides a capacity among holders. It is pure: equal input gives equal output on every entry instance.
package allot

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Claim is the demand of one holder.
type Claim struct {
	Holder string
	Wanted int
}

// Divide returns the target of each claim, in the order of claims.
//
// The division is max-min fair over the demands. Capacity that exceeds the total demand is spread evenly, so that a
// request finds capacity at the holder where it arrives. Remainders are assigned by a hash of resource and holder, so
// that different resources favor different holders.
func Divide(resource string, capacity int, claims []Claim) []int {
	targets := make([]int, len(claims))
	if capacity <= 0 || len(claims) == 0 {
		return targets
	}
	order := tieOrder(resource, claims)
	left := raise(targets, order, capacity, func(i int) int { return claims[i].Wanted - targets[i] })
	raise(targets, order, left, func(int) int { return left })
	return targets
}

// raise increases targets evenly by up to capacity in total and none by more than its gap, and returns the rest.
func raise(targets, order []int, capacity int, gap func(i int) int) int {
	for capacity > 0 {
		open := order[:0:0]
		for _, i := range order {
			if gap(i) > 0 {
				open = append(open, i)
			}
		}
		if len(open) == 0 {
			return capacity
		}
		share := max(capacity/len(open), 1)
		for _, i := range open {
			n := min(share, gap(i), capacity)
			targets[i] += n
			capacity -= n
		}
	}
	return 0
}

// tieOrder returns the indices of claims by descending rendezvous score.
func tieOrder(resource string, claims []Claim) []int {
	scores := make([]uint64, len(claims))
	order := make([]int, len(claims))
	for i, c := range claims {
		scores[i] = Score(resource, c.Holder)
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if scores[a] != scores[b] {
			if scores[a] > scores[b] {
				return -1
			}
			return 1
		}
		return strings.Compare(claims[a].Holder, claims[b].Holder)
	})
	return order
}

// Score returns the rendezvous hash of a resource and a holder.
func Score(resource, holder string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(resource)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(holder)
	return d.Sum64()
}

// Preferred returns the holder with the highest score for resource, or "" if there is none.
func Preferred(resource string, holders []string) string {
	best, bestScore := "", uint64(0)
	for _, h := range holders {
		score := Score(resource, h)
		if best == "" || score > bestScore || (score == bestScore && h < best) {
			best, bestScore = h, score
		}
	}
	return best
}
