package statemachine

import (
	"slices"

	"pollenlead/internal/allot"
	"pollenlead/internal/record"
)

// maxSlotsPerPick is the largest number of slots of one instance that a holder is granted in one step. An instance with
// 8 slots is then shared by about two holders, which bounds the number of worker leases that each holder renews.
const maxSlotsPerPick = 4

// markAllDirty marks all teams and pools, so that their grants are computed again after the current record.
func (s *State) markAllDirty() {
	for name := range s.d.Teams {
		s.dirtyTeams[name] = true
	}
	for _, team := range s.doc.Teams {
		s.dirtyTeams[team.Name] = true
	}
	for _, pool := range s.doc.Pools {
		s.dirtyPools[pool.Name] = true
	}
}

// grantFreeCapacity grants free units and slots to holders below their target. It covers the resources that the current
// record marked dirty.
func (s *State) grantFreeCapacity() {
	if len(s.dirtyTeams) > 0 || len(s.dirtyPools) > 0 {
		s.allotmentsChanged = s.d.Next
	}
	for _, name := range sortedKeys(s.dirtyTeams) {
		s.grantTeam(name)
	}
	for _, name := range sortedKeys(s.dirtyPools) {
		s.grantPool(name)
	}
	clear(s.dirtyTeams)
	clear(s.dirtyPools)
}

func (s *State) setDemand(session *Session, op record.Demand) Outcome {
	for _, want := range op.Teams {
		if want.Wanted < 0 {
			return rejected(ReasonInvalid, "team %s: negative demand", want.Name)
		}
	}
	for _, want := range op.Pools {
		if want.Wanted < 0 {
			return rejected(ReasonInvalid, "pool %s: negative demand", want.Name)
		}
	}
	for _, want := range op.Teams {
		if _, ok := s.doc.Team(want.Name); !ok {
			continue
		}
		setWanted(s.allotmentOf(want.Name).Wanted, session.Holder, want.Wanted)
		s.dirtyTeams[want.Name] = true
	}
	for _, want := range op.Pools {
		if _, ok := s.doc.Pool(want.Name); !ok {
			continue
		}
		setWanted(s.demandOf(want.Name).Wanted, session.Holder, want.Wanted)
		s.dirtyPools[want.Name] = true
	}
	return accepted()
}

// setWanted sets the demand of holder. A demand of 0 is not stored.
func setWanted(wanted map[string]int, holder string, n int) {
	if n == 0 {
		delete(wanted, holder)
		return
	}
	wanted[holder] = n
}

// release takes back the units and slots that the holder returns. All amounts are checked first, so a rejected release
// changes nothing. Units and slots of started jobs cannot be released.
func (s *State) release(session *Session, op record.Release) Outcome {
	started := s.startedOf(session.Holder)
	teams, slots := map[string]int{}, map[string]int{}
	for _, t := range op.Teams {
		teams[t.Name] += t.Units
		if t.Units <= 0 || s.TeamUnits(session.Holder, t.Name)-started.teams[t.Name] < teams[t.Name] {
			return rejected(ReasonNotHeld, "team %s: %d units", t.Name, t.Units)
		}
	}
	for _, i := range op.Slots {
		slots[i.Instance] += i.Slots
		if i.Slots <= 0 || s.InstanceSlots(session.Holder, i.Instance)-started.instances[i.Instance] < slots[i.Instance] {
			return rejected(ReasonNotHeld, "instance %s: %d slots", i.Instance, i.Slots)
		}
	}
	for name, n := range teams {
		subtract(s.d.Teams[name].Held, session.Holder, n)
		s.dirtyTeams[name] = true
	}
	for _, id := range sortedKeys(slots) {
		instance := s.d.Instances[id]
		subtract(instance.Held, session.Holder, slots[id])
		s.completeMove(instance)
		s.dirtyPools[instance.Pool] = true
	}
	return accepted()
}

// subtract lowers the amount of holder by n and removes an entry of 0.
func subtract(held map[string]int, holder string, n int) {
	held[holder] -= n
	if held[holder] == 0 {
		delete(held, holder)
	}
}

// allotmentOf returns the allotment of the team and creates it if there is none.
func (s *State) allotmentOf(name string) *allotment {
	team, ok := s.d.Teams[name]
	if !ok {
		team = newAllotment()
		s.d.Teams[name] = team
	}
	return team
}

// demandOf returns the demand for the pool and creates it if there is none.
func (s *State) demandOf(name string) *poolDemand {
	pool, ok := s.d.Pools[name]
	if !ok {
		pool = &poolDemand{Wanted: map[string]int{}}
		s.d.Pools[name] = pool
	}
	return pool
}

func sum(m map[string]int) int {
	total := 0
	for _, n := range m {
		total += n
	}
	return total
}

func (s *State) grantTeam(name string) {
	declared, ok := s.doc.Team(name)
	if !ok {
		delete(s.targets, teamResource(name))
		s.removeUndeclaredTeam(name)
		return
	}
	team := s.allotmentOf(name)
	free := declared.UpperLimit - sum(team.Held)
	for _, g := range s.shortfalls(teamResource(name), declared.UpperLimit, team.Wanted, team.Held) {
		n := min(g.missing, free)
		if n <= 0 {
			continue
		}
		team.Held[g.holder] += n
		free -= n
	}
}

// removeUndeclaredTeam removes a team that the document no longer declares, once no holder has units of it.
func (s *State) removeUndeclaredTeam(name string) {
	if team, ok := s.d.Teams[name]; ok && len(team.Held) == 0 {
		delete(s.d.Teams, name)
	}
}

// shortfall is the difference between the target of a holder and what it holds.
type shortfall struct {
	holder  string
	missing int
}

// shortfalls updates the targets of the resource and returns the holders below target, the largest shortfall first.
func (s *State) shortfalls(resource string, capacity int, wanted, held map[string]int) []shortfall {
	targets := s.updateTargets(resource, capacity, wanted)
	var result []shortfall
	for i, h := range s.holders() {
		if missing := targets[i] - held[h]; missing > 0 {
			result = append(result, shortfall{holder: h, missing: missing})
		}
	}
	slices.SortStableFunc(result, func(a, b shortfall) int { return b.missing - a.missing })
	return result
}

func teamResource(name string) string { return "team/" + name }
func poolResource(name string) string { return "pool/" + name }

// updateTargets computes the targets of a resource and stores them for Allotment.
func (s *State) updateTargets(resource string, capacity int, wanted map[string]int) []int {
	claims := make([]allot.Claim, len(s.sortedHolders))
	for i, h := range s.sortedHolders {
		claims[i] = allot.Claim{Holder: h, Wanted: wanted[h]}
	}
	s.targets[resource] = allot.Divide(resource, capacity, claims)
	return s.targets[resource]
}

// computeTargets computes the targets of all declared resources of a restored state. Afterwards grantFreeCapacity keeps
// them up to date, because it processes every resource whose capacity, demand or holders changed. Readers only look
// targets up, since several of them may read at the same time.
func (s *State) computeTargets() {
	for _, team := range s.doc.Teams {
		if known, ok := s.d.Teams[team.Name]; ok {
			s.updateTargets(teamResource(team.Name), team.UpperLimit, known.Wanted)
		}
	}
	for _, pool := range s.doc.Pools {
		known, ok := s.d.Pools[pool.Name]
		if !ok {
			continue
		}
		capacity := 0
		for _, instance := range s.grantableInstances(pool.Name) {
			capacity += instance.Facts.Slots
		}
		s.updateTargets(poolResource(pool.Name), capacity, known.Wanted)
	}
}

// targetOf returns the target of the holder, or 0 for a resource that the document does not declare.
func (s *State) targetOf(resource, holder string) int {
	at, open := slices.BinarySearch(s.sortedHolders, holder)
	if targets, ok := s.targets[resource]; ok && open {
		return targets[at]
	}
	return 0
}

func (s *State) grantPool(name string) {
	if _, ok := s.doc.Pool(name); !ok {
		delete(s.targets, poolResource(name))
		return
	}
	members := s.grantableInstances(name)
	capacity, held := 0, map[string]int{}
	free := map[string]int{}
	for _, instance := range members {
		capacity += instance.Facts.Slots
		for holder, n := range instance.Held {
			held[holder] += n
		}
		if n := instance.Facts.Slots - sum(instance.Held); n > 0 {
			free[instance.Facts.ID] = n
		}
	}
	for _, g := range s.shortfalls(poolResource(name), capacity, s.demandOf(name).Wanted, held) {
		for g.missing > 0 {
			instance := pickInstance(members, free, g.holder)
			if instance == nil {
				return
			}
			n := min(g.missing, free[instance.Facts.ID], maxSlotsPerPick)
			instance.Held[g.holder] += n
			free[instance.Facts.ID] -= n
			g.missing -= n
		}
	}
}

// pickInstance selects the instance with free slots in whose availability zone the holder has the fewest slots, so that
// the loss of a zone costs every holder about the same share of its slots. Ties are broken by rendezvous hashing.
func pickInstance(members []*Instance, free map[string]int, holder string) *Instance {
	byZone := map[string]int{}
	for _, instance := range members {
		byZone[instance.Facts.AvailabilityZone] += instance.Held[holder]
	}
	var best *Instance
	bestZone, bestScore := 0, uint64(0)
	for _, instance := range members {
		if free[instance.Facts.ID] == 0 {
			continue
		}
		zone, score := byZone[instance.Facts.AvailabilityZone], allot.Score(instance.Facts.ID, holder)
		if best == nil || zone < bestZone || (zone == bestZone && score > bestScore) {
			best, bestZone, bestScore = instance, zone, score
		}
	}
	return best
}

// TeamUnits returns the number of units of the team that holder has.
func (s *State) TeamUnits(holder, team string) int {
	t, ok := s.d.Teams[team]
	if !ok {
		return 0
	}
	return t.Held[holder]
}

// InstanceSlots returns the number of slots of the instance that holder has.
func (s *State) InstanceSlots(holder, instance string) int {
	i, ok := s.d.Instances[instance]
	if !ok {
		return 0
	}
	return i.Held[holder]
}

// Allotment contains the grants and targets of one holder.
type Allotment struct {
	// Teams contains the units by team.
	Teams map[string]Grant
	// Pools contains the slots by pool.
	Pools map[string]Grant
	// Slots contains the slots by instance.
	Slots map[string]SlotGrant
}

// Grant is the amount of a resource that a holder has, with the target that the state machine computes for it.
type Grant struct {
	Held   int
	Target int
	// Wanted is the last demand of the holder that was applied.
	Wanted int
	// Declared reports whether the document in force declares the resource. Demand for other resources is ignored.
	Declared bool
	// Started is the number of started jobs of the holder. Adopted is the number of those that an earlier holder started
	// and that may still run.
	Started int
	Adopted int
}

// SlotGrant is the number of slots of one instance that a holder has.
type SlotGrant struct {
	Pool string
	Held int
	// Withdrawn reports that the instance is leaving, being moved, down for maintenance or failed. The holder must start
	// no work there and release the slots.
	Withdrawn bool
	// Excess is the number of slots that the holder must return because the instance now has fewer slots than are held.
	Excess int
	// Started is the number of started jobs of the holder. Adopted is the number of those that an earlier holder started
	// and that may still run.
	Started int
	Adopted int
	Facts   record.Instance
}

// AllotmentsChanged returns the offset after the last record that may have changed what Allotment returns for holder.
func (s *State) AllotmentsChanged(holder string) uint64 {
	return max(s.allotmentsChanged, s.startedChanged[holder])
}

// Allotment returns the grants and targets of holder. It visits every instance, so callers should cache the result
// until AllotmentsChanged returns a higher offset.
func (s *State) Allotment(holder string) Allotment {
	a := Allotment{
		Teams: make(map[string]Grant, len(s.d.Teams)),
		Pools: make(map[string]Grant, len(s.doc.Pools)),
		Slots: map[string]SlotGrant{},
	}
	started := s.startedOf(holder)
	for name, team := range s.d.Teams {
		_, ok := s.doc.Team(name)
		a.Teams[name] = Grant{
			Held:     team.Held[holder],
			Target:   s.targetOf(teamResource(name), holder),
			Wanted:   team.Wanted[holder],
			Declared: ok,
			Started:  started.teams[name],
			Adopted:  started.adoptedTeams[name],
		}
	}
	heldByPool := make(map[string]int, len(s.doc.Pools))
	for id, instance := range s.d.Instances {
		n := instance.Held[holder]
		if n == 0 {
			continue
		}
		if instance.grantable() {
			heldByPool[instance.Pool] += n
		}
		a.Slots[id] = SlotGrant{
			Pool:      instance.Pool,
			Held:      n,
			Withdrawn: !instance.grantable(),
			Excess:    instance.excess(holder),
			Started:   started.instances[id],
			Adopted:   started.adoptedInstances[id],
			Facts:     instance.Facts,
		}
	}
	for _, pool := range s.doc.Pools {
		wanted := 0
		if p, ok := s.d.Pools[pool.Name]; ok {
			wanted = p.Wanted[holder]
		}
		a.Pools[pool.Name] = Grant{
			Held:     heldByPool[pool.Name],
			Target:   s.targetOf(poolResource(pool.Name), holder),
			Wanted:   wanted,
			Declared: true,
		}
	}
	return a
}
