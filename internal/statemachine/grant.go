package statemachine

import (
	"slices"

	"pollenlead/internal/allot"
	"pollenlead/internal/record"
)

// slotsPerPick is the number of slots of one instance that a holder takes at a time. With 8 slots an instance is shared by
// about two holders, which bounds the worker leases that each holder renews.
const slotsPerPick = 4

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

// regrant gives free units and slots of the resources that the current record touched to holders below their target.
func (s *State) regrant() {
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
		setWanted(s.team(want.Name).Wanted, session.Holder, want.Wanted)
		s.dirtyTeams[want.Name] = true
	}
	for _, want := range op.Pools {
		if _, ok := s.doc.Pool(want.Name); !ok {
			continue
		}
		setWanted(s.pool(want.Name).Wanted, session.Holder, want.Wanted)
		s.dirtyPools[want.Name] = true
	}
	return accepted()
}

func setWanted(wanted map[string]int, holder string, n int) {
	if n == 0 {
		delete(wanted, holder)
		return
	}
	wanted[holder] = n
}

// release takes back what the holder offers. It is all or nothing, so that a rejected release changes nothing.
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
		s.settleMove(instance)
		s.dirtyPools[instance.Pool] = true
	}
	return accepted()
}

func subtract(held map[string]int, holder string, n int) {
	held[holder] -= n
	if held[holder] == 0 {
		delete(held, holder)
	}
}

func (s *State) team(name string) *allotment {
	team, ok := s.d.Teams[name]
	if !ok {
		team = newAllotment()
		s.d.Teams[name] = team
	}
	return team
}

func (s *State) pool(name string) *poolState {
	pool, ok := s.d.Pools[name]
	if !ok {
		pool = &poolState{Wanted: map[string]int{}}
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
		s.forgetTeam(name)
		return
	}
	team := s.team(name)
	free := declared.UpperLimit - sum(team.Held)
	for _, g := range s.gaps(teamResource(name), declared.UpperLimit, team.Wanted, team.Held) {
		n := min(g.gap, free)
		if n <= 0 {
			continue
		}
		team.Held[g.holder] += n
		free -= n
	}
}

// forgetTeam drops a team that is no longer declared, once no holder has units of it.
func (s *State) forgetTeam(name string) {
	if team, ok := s.d.Teams[name]; ok && len(team.Held) == 0 {
		delete(s.d.Teams, name)
	}
}

// gap is how far a holder is below its target.
type gap struct {
	holder string
	gap    int
}

// gaps returns the holders below target, the largest gap first.
func (s *State) gaps(resource string, capacity int, wanted, held map[string]int) []gap {
	targets := s.divide(resource, capacity, wanted)
	var gaps []gap
	for i, h := range s.holders() {
		if missing := targets[i] - held[h]; missing > 0 {
			gaps = append(gaps, gap{holder: h, gap: missing})
		}
	}
	slices.SortStableFunc(gaps, func(a, b gap) int { return b.gap - a.gap })
	return gaps
}

func teamResource(name string) string { return "team/" + name }
func poolResource(name string) string { return "pool/" + name }

// divide computes the targets of a resource and keeps them for Allotment.
func (s *State) divide(resource string, capacity int, wanted map[string]int) []int {
	claims := make([]allot.Claim, len(s.sorted))
	for i, h := range s.sorted {
		claims[i] = allot.Claim{Holder: h, Wanted: wanted[h]}
	}
	s.targets[resource] = allot.Divide(resource, capacity, claims)
	return s.targets[resource]
}

// computeTargets computes the targets of everything that the document declares, for a restored state. Afterwards regrant
// keeps them, because it handles every resource whose capacity, demand or holders changed. Readers only look them up, as
// several of them may read at the same time.
func (s *State) computeTargets() {
	for _, team := range s.doc.Teams {
		if known, ok := s.d.Teams[team.Name]; ok {
			s.divide(teamResource(team.Name), team.UpperLimit, known.Wanted)
		}
	}
	for _, pool := range s.doc.Pools {
		known, ok := s.d.Pools[pool.Name]
		if !ok {
			continue
		}
		capacity := 0
		for _, instance := range s.grantable(pool.Name) {
			capacity += instance.Facts.Slots
		}
		s.divide(poolResource(pool.Name), capacity, known.Wanted)
	}
}

// targetOf returns the holder's target, 0 for resources that the document does not declare.
func (s *State) targetOf(resource, holder string) int {
	at, open := slices.BinarySearch(s.sorted, holder)
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
	members := s.grantable(name)
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
	for _, g := range s.gaps(poolResource(name), capacity, s.pool(name).Wanted, held) {
		for g.gap > 0 {
			instance := pickInstance(members, free, g.holder)
			if instance == nil {
				return
			}
			n := min(g.gap, free[instance.Facts.ID], slotsPerPick)
			instance.Held[g.holder] += n
			free[instance.Facts.ID] -= n
			g.gap -= n
		}
	}
}

// pickInstance chooses the instance with free slots whose availability zone gives the holder the fewest slots now, so that
// the loss of a zone takes an even part of every holder. Ties go by rendezvous hash.
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

// TeamUnits is the number of units of the team that holder has.
func (s *State) TeamUnits(holder, team string) int {
	t, ok := s.d.Teams[team]
	if !ok {
		return 0
	}
	return t.Held[holder]
}

// InstanceSlots is the number of slots of the instance that holder has.
func (s *State) InstanceSlots(holder, instance string) int {
	i, ok := s.d.Instances[instance]
	if !ok {
		return 0
	}
	return i.Held[holder]
}

// Allotment is what one holder has and should have.
type Allotment struct {
	// Teams is the number of units per team.
	Teams map[string]Grant
	// Pools is the number of slots per pool.
	Pools map[string]Grant
	// Slots is the number of slots per instance.
	Slots map[string]SlotGrant
}

// Grant is what a holder has of a resource and the target that the fold computes for it.
type Grant struct {
	Held   int
	Target int
	// Wanted is the demand of the holder that the fold knows.
	Wanted int
	// Declared means that the document in force names the resource; demand for another one is ignored.
	Declared bool
	// Started is the number of started jobs of the holder. Adopted is how many of them an earlier holder started and may
	// still run.
	Started int
	Adopted int
}

// SlotGrant is what a holder has of one instance.
type SlotGrant struct {
	Pool string
	Held int
	// Withdrawn means that the instance is leaving, being moved or down for maintenance: start nothing there and release
	// the slots.
	Withdrawn bool
	// Excess is the holder's part of the slots held beyond those that the instance has since it shrank.
	Excess int
	// Started is the number of started jobs of the holder. Adopted is how many of them an earlier holder started and may
	// still run.
	Started int
	Adopted int
	Facts   record.Instance
}

// AllotmentsChanged is the offset after the last record that may have changed what Allotment returns for holder.
func (s *State) AllotmentsChanged(holder string) uint64 {
	return max(s.allotmentsChanged, s.startedChanged[holder])
}

// Allotment returns what holder has. It visits every instance, so callers keep the answer until AllotmentsChanged grows.
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
