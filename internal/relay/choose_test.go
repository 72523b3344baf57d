package relay

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func zoned(n int, zones ...string) []Member {
	var members []Member
	for i := range n {
		members = append(members, Member{
			Name: fmt.Sprintf("e%d", i), Zone: zones[i%len(zones)], Address: fmt.Sprintf("a%d", i), CPUShare: 0.2,
		})
	}
	return members
}

// TestDelegatesPerZone guards against delegates in a deployment that is small enough for direct calls, and against
// zones without a delegate.
func TestDelegatesPerZone(t *testing.T) {
	is := is.New(t)
	is.Equal(len(delegatesPerZone(zoned(9, "a", "b", "c"))), 0)
	is.Equal(delegatesPerZone(zoned(17, "a", "b", "c")), map[string]int{"a": 1, "b": 1, "c": 1})
	is.Equal(delegatesPerZone(zoned(100, "a", "b")), map[string]int{"a": 3, "b": 3})
}

// TestStrongMembersOfTheZoneComeFirst guards against a small entry instance that forwards the calls of a hundred
// workers while a larger one is available, and against calls that cross zones twice.
func TestStrongMembersOfTheZoneComeFirst(t *testing.T) {
	is := is.New(t)
	members := []Member{
		{Name: "small", Zone: "a", Address: "1", CPUShare: 0.2}, {Name: "away", Zone: "b", Address: "2", CPUShare: 0.8},
		{Name: "near", Zone: "a", Address: "3", CPUShare: 0.7}, {Name: "self", Zone: "a", Address: "4", CPUShare: 0.8},
		{Name: "old", Zone: "a", CPUShare: 0.8}, {Name: "taken", Zone: "a", Address: "5", CPUShare: 0.8},
	}
	var names []string
	for _, m := range candidates(members, "a", "4", func(m Member) bool { return m.Name == "taken" }) {
		names = append(names, m.Name)
	}
	is.Equal(names, []string{"near", "away", "small"})
}

// TestAddedDelegateMovesFewWorkers guards against new connections to all workers when a delegate is added: only the
// workers of the new shard may move.
func TestAddedDelegateMovesFewWorkers(t *testing.T) {
	is := is.New(t)
	moved, count := 0, map[int]int{}
	for i := range 1000 {
		id := fmt.Sprintf("i-%08x", i*7919)
		before, after := shardOf(id, 4), shardOf(id, 5)
		count[after]++
		if before != after {
			moved++
			is.Equal(after, 4)
		}
	}
	is.True(moved < 300)
	for _, n := range count {
		is.True(n > 120)
	}
}
