package allotment

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pollenlead/internal/record"
)

// connectionsPerSlot is the minimum number of connections per slot. A worker has 64 connections for 8 slots.
const connectionsPerSlot = 8

// demandHoldWindow is the minimum time for which demand stays at its peak level. Queues grow and shrink within seconds,
// and released units can be regained only after two appends (50 to 150 ms each), so units are kept during a shorter
// drop in demand. A longer window would withhold capacity from other holders that need it.
const demandHoldWindow = time.Second

// peak is the highest level of demand in the current and the previous interval of demandHoldWindow. A level therefore
// counts for at least demandHoldWindow and at most twice that after it has ended.
type peak struct {
	since             time.Time
	last              int
	current, previous int
}

// observe returns the peak after an observation of level at now. A rise takes effect immediately.
func (p peak) observe(now time.Time, level int) peak {
	switch elapsed := now.Sub(p.since); {
	case elapsed >= 2*demandHoldWindow:
		// The last level persisted until now, so it was the highest level of the entire previous interval.
		p.previous, p.current, p.since = p.last, p.last, now
	case elapsed >= demandHoldWindow:
		p.previous, p.current, p.since = p.current, p.last, now
	}
	p.last = level
	p.current = max(p.current, level)
	return p
}

// level returns the demand to report.
func (p peak) level() int { return max(p.current, p.previous) }

// falling reports whether the level will fall without a further change of use.
func (p peak) falling() bool { return p.level() > p.last }

// inUse returns the number of units that must neither be acquired nor released. A job that an earlier holder started
// may run before its permit is acquired, and the applied state counts a job as started until it contains the job's end,
// so the result covers both counts.
func inUse(used, startedPermits, started, adopted int) int {
	return max(used+max(0, adopted-startedPermits), started)
}

// maxConnections returns the maximum number of connections for the held slots of an instance.
func maxConnections(held int, facts record.Instance) int {
	perSlot := connectionsPerSlot
	if facts.Slots > 0 {
		perSlot = max(perSlot, facts.Connections/facts.Slots)
	}
	return held * perSlot
}

// resourceState is the input of the plan for a team or a pool.
type resourceState struct {
	held, target, inUse int
	// wanted is the current demand, reported the demand in the applied state.
	wanted, reported int
}

// surplus returns the number of units to release: those above the target that are not in use. While the applied state
// lacks a rise in demand, its target is too low, so nothing is released.
func (r resourceState) surplus() int {
	if r.wanted > r.reported {
		return 0
	}
	return max(0, min(r.held-r.target, r.held-r.inUse))
}

// slotState is the input of the plan for the slots of one instance.
type slotState struct {
	instance, pool, zone string
	held, inUse, excess  int
	withdrawn            bool
}

// planDemand returns the demand of the teams or pools whose demand differs from the applied state, ordered by name.
func planDemand(resources map[string]resourceState) []record.ResourceDemand {
	var wants []record.ResourceDemand
	for _, name := range slices.Sorted(maps.Keys(resources)) {
		if r := resources[name]; r.wanted != r.reported {
			wants = append(wants, record.ResourceDemand{Name: name, Wanted: r.wanted})
		}
	}
	return wants
}

// planUnitRelease returns the surplus units of teams, ordered by name.
func planUnitRelease(teams map[string]resourceState) []record.TeamUnits {
	var release []record.TeamUnits
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		if n := teams[name].surplus(); n > 0 {
			release = append(release, record.TeamUnits{Name: name, Units: n})
		}
	}
	return release
}

// planSlotRelease returns the slots to release: all unused slots of withdrawn instances, the excess slots of instances
// whose number of slots has shrunk, and the surplus of each pool.
func planSlotRelease(pools map[string]resourceState, held []slotState) []record.InstanceSlots {
	counts, returned := map[string]int{}, map[string]int{}
	byPool := map[string][]slotState{}
	for _, s := range held {
		if s.withdrawn {
			counts[s.instance] = max(0, s.held-s.inUse)
			continue
		}
		if n := min(s.excess, s.held-s.inUse); n > 0 {
			counts[s.instance] = n
			returned[s.pool] += n
			s.held -= n
		}
		byPool[s.pool] = append(byPool[s.pool], s)
	}
	for name, members := range byPool {
		pool, declared := pools[name]
		if !declared {
			continue
		}
		// pickRelease skips slots in use. The pool's own count is not used, because it includes withdrawn instances.
		pool.inUse = 0
		for range max(0, pool.surplus()-returned[name]) {
			at := pickRelease(members)
			if at < 0 {
				break
			}
			members[at].held--
			counts[members[at].instance]++
		}
	}
	var release []record.InstanceSlots
	for _, id := range slices.Sorted(maps.Keys(counts)) {
		if counts[id] > 0 {
			release = append(release, record.InstanceSlots{Instance: id, Slots: counts[id]})
		}
	}
	return release
}

// pickRelease returns the index of the instance that releases the next slot, or -1 if all slots are in use. It chooses
// the availability zone with the most slots, so that the remaining slots are spread evenly over the zones and the loss
// of a zone affects an equal share. Within the zone it chooses the instance with the fewest used and then the fewest
// held slots, so that few instances need a worker lease.
func pickRelease(members []slotState) int {
	byZone := map[string]int{}
	for _, m := range members {
		byZone[m.zone] += m.held
	}
	best := -1
	for at, m := range members {
		if m.held <= m.inUse {
			continue
		}
		if best < 0 || compareRelease(byZone, m, members[best]) < 0 {
			best = at
		}
	}
	return best
}

// compareRelease orders instances by the preference of pickRelease, the next to release first.
func compareRelease(byZone map[string]int, a, b slotState) int {
	return cmp.Or(
		cmp.Compare(byZone[b.zone], byZone[a.zone]),
		cmp.Compare(a.inUse, b.inUse),
		cmp.Compare(a.held, b.held),
		cmp.Compare(a.instance, b.instance),
	)
}
