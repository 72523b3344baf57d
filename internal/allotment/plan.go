package allotment

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pollenlead/internal/record"
)

// connectionsPerSlot is the share of a worker's 64 connections that belongs to each of its 8 slots.
const connectionsPerSlot = 8

// lullHold is the least time for which demand stays at its highest level. Queues burst and fall within seconds, and units
// that are given away come back only after two appends (50 to 150 ms each), so a lull shorter than this keeps them. A
// longer hold would keep capacity from other holders that want it.
const lullHold = time.Second

// peak is the highest level of demand in the current and the previous interval of lullHold, so a level counts for at least
// lullHold and at most twice that after it ended.
type peak struct {
	since             time.Time
	last              int
	current, previous int
}

// observe returns the peak after the level was seen at now. A rise counts at once.
func (p peak) observe(now time.Time, level int) peak {
	switch elapsed := now.Sub(p.since); {
	case elapsed >= 2*lullHold:
		// The last level lasted until now, so it was the highest of the whole interval before.
		p.previous, p.current, p.since = p.last, p.last, now
	case elapsed >= lullHold:
		p.previous, p.current, p.since = p.current, p.last, now
	}
	p.last = level
	p.current = max(p.current, level)
	return p
}

// level is the demand that counts.
func (p peak) level() int { return max(p.current, p.previous) }

// falling reports whether the level will fall without any further change of use.
func (p peak) falling() bool { return p.level() > p.last }

// inUse is the number of units that must not be spent or released. A job that an earlier holder started may run before
// its permit is taken, and a job is started in the log until its end is folded, so both counts are respected.
func inUse(used, startedPermits, started, adopted int) int {
	return max(used+max(0, adopted-startedPermits), started)
}

// maxConnections is the number of connections for the slots held of an instance.
func maxConnections(held int, facts record.Instance) int {
	perSlot := connectionsPerSlot
	if facts.Slots > 0 {
		perSlot = max(perSlot, facts.Connections/facts.Slots)
	}
	return held * perSlot
}

// resource is what the plan knows of a team or a pool.
type resource struct {
	held, target, inUse int
	// wanted is the present demand and reported the one that the fold knows.
	wanted, reported int
}

// surplus is the number of units to release: those above the target that are not in use. While a rise in demand is not
// known to the fold the target is too low, so nothing is released.
func (r resource) surplus() int {
	if r.wanted > r.reported {
		return 0
	}
	return max(0, min(r.held-r.target, r.held-r.inUse))
}

// slots is what the plan knows of the slots of one instance.
type slots struct {
	instance, pool, zone string
	held, inUse, excess  int
	withdrawn            bool
}

// planDemand returns the entries whose demand the fold does not know yet, ordered by name.
func planDemand(resources map[string]resource) []record.ResourceDemand {
	var wants []record.ResourceDemand
	for _, name := range slices.Sorted(maps.Keys(resources)) {
		if r := resources[name]; r.wanted != r.reported {
			wants = append(wants, record.ResourceDemand{Name: name, Wanted: r.wanted})
		}
	}
	return wants
}

// planUnits returns the surplus units of teams, ordered by name.
func planUnits(teams map[string]resource) []record.TeamUnits {
	var release []record.TeamUnits
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		if n := teams[name].surplus(); n > 0 {
			release = append(release, record.TeamUnits{Name: name, Units: n})
		}
	}
	return release
}

// planSlots returns the slots to release: all unused ones of withdrawn instances, those that a shrunk instance no longer
// has, and the surplus of each pool.
func planSlots(pools map[string]resource, held []slots) []record.InstanceSlots {
	counts, returned := map[string]int{}, map[string]int{}
	byPool := map[string][]slots{}
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
		// pickRelease spares the slots in use; the pool's count of them includes withdrawn instances.
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

// pickRelease returns the member that gives the next slot, or -1. It takes from the availability zone with the most slots,
// so that the loss of a zone takes an even part of what is left, and there from the instance with the least use and the
// fewest slots, so that few instances need a worker lease.
func pickRelease(members []slots) int {
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

func compareRelease(byZone map[string]int, a, b slots) int {
	return cmp.Or(
		cmp.Compare(byZone[b.zone], byZone[a.zone]),
		cmp.Compare(a.inUse, b.inUse),
		cmp.Compare(a.held, b.held),
		cmp.Compare(a.instance, b.instance),
	)
}
