package statemachine

import (
	"slices"
	"strings"

	"pollenlead/internal/allot"
	"pollenlead/internal/config"
	"pollenlead/internal/record"
)

// Instance is a worker instance with its pool and its granted slots.
type Instance struct {
	Facts record.Instance `json:"facts"`
	Pool  string          `json:"pool"`
	// MovingTo is the pool that the instance joins once all its slots are released, or "".
	MovingTo string `json:"moving_to,omitempty"`
	// Moved reports that an operator selected the pool, which takes precedence over the member prefixes of the document.
	Moved bool `json:"moved,omitempty"`
	// Wave is the ID of the maintenance wave in which the instance is down, or "".
	Wave string `json:"wave,omitempty"`
	// Failed reports that the instance did not return from maintenance. It gets no work until the platform's list has
	// shown it as leaving or gone.
	Failed bool           `json:"failed,omitempty"`
	Held   map[string]int `json:"held"`
}

// GoneInstance stores the pool of an instance that left the platform's list.
type GoneInstance struct {
	ID    string `json:"id"`
	Pool  string `json:"pool"`
	Moved bool   `json:"moved,omitempty"`
}

// grantable reports whether slots of the instance may be granted and used for new work.
func (i *Instance) grantable() bool {
	return i.Facts.Phase == record.PhaseLive && i.MovingTo == "" && i.Wave == "" && !i.Failed
}

// excess returns the number of slots that holder must return after the instance reported fewer slots than are held. The
// remaining slots are divided max-min fairly by the slots held, so that all holders together return exactly the
// difference.
func (i *Instance) excess(holder string) int {
	if sum(i.Held) <= i.Facts.Slots {
		return 0
	}
	holders := sortedKeys(i.Held)
	claims := make([]allot.Claim, len(holders))
	for n, h := range holders {
		claims[n] = allot.Claim{Holder: h, Wanted: i.Held[h]}
	}
	at := slices.Index(holders, holder)
	return i.Held[holder] - allot.Divide("instance/"+i.Facts.ID, i.Facts.Slots, claims)[at]
}

// Instances returns the instances ordered by ID. The caller must not change them.
func (s *State) Instances() []*Instance {
	instances := make([]*Instance, 0, len(s.d.Instances))
	for _, id := range sortedKeys(s.d.Instances) {
		instances = append(instances, s.d.Instances[id])
	}
	return instances
}

// Instance returns one instance. The caller must not change it.
func (s *State) Instance(id string) (*Instance, bool) {
	i, ok := s.d.Instances[id]
	return i, ok
}

// grantableInstances returns the grantable instances of the pool, ordered by ID.
func (s *State) grantableInstances(pool string) []*Instance {
	var members []*Instance
	for _, i := range s.members[pool] {
		if i.grantable() {
			members = append(members, i)
		}
	}
	return members
}

// ListVersion returns the version of the platform's list that the state reflects.
func (s *State) ListVersion() uint64 { return s.d.ListVersion }

func (s *State) reportInstances(op record.InstancesReport) Outcome {
	if op.ListVersion < s.d.ListVersion {
		return rejected(ReasonStaleList, "list version %d is older than %d", op.ListVersion, s.d.ListVersion)
	}
	for _, facts := range op.Instances {
		if facts.ID == "" || facts.Slots < 0 || facts.Connections < 0 {
			return rejected(ReasonInvalid, "instance %q", facts.ID)
		}
		switch facts.Phase {
		case record.PhaseLive, record.PhaseLeaving, record.PhaseGone:
		default:
			return rejected(ReasonInvalid, "instance %q: phase %q", facts.ID, facts.Phase)
		}
	}
	s.d.ListVersion = op.ListVersion
	for _, facts := range op.Instances {
		s.reportInstance(facts)
	}
	return accepted()
}

func (s *State) reportInstance(facts record.Instance) {
	s.trackMaintenance(facts)
	instance, known := s.d.Instances[facts.ID]
	if facts.Phase == record.PhaseGone {
		if known {
			s.removeInstance(instance)
		}
		return
	}
	if !known {
		instance = s.newInstance(facts.ID)
		instance.Facts = facts
		s.d.Instances[facts.ID] = instance
		s.addMember(instance)
	}
	instance.Facts = facts
	s.dirtyPools[instance.Pool] = true
}

// newInstance returns an instance that joins the list. One that returns keeps the pool that an operator selected for
// it, if that pool is still declared, and its maintenance.
func (s *State) newInstance(id string) *Instance {
	instance := &Instance{Held: map[string]int{}, Pool: declaredPool(s.doc, id)}
	for n, gone := range s.d.GoneInstances {
		if gone.ID != id {
			continue
		}
		s.d.GoneInstances = append(s.d.GoneInstances[:n:n], s.d.GoneInstances[n+1:]...)
		if _, ok := s.doc.Pool(gone.Pool); ok && gone.Moved {
			instance.Pool, instance.Moved = gone.Pool, true
		}
		break
	}
	s.restoreMaintenance(id, instance)
	return instance
}

// removeInstance removes an instance that left the list. Its slots are removed with it. The team units of work that may
// still run there stay with the holder.
func (s *State) removeInstance(instance *Instance) {
	pool := instance.Pool
	if instance.MovingTo != "" {
		pool = instance.MovingTo
	}
	s.d.GoneInstances = append(s.d.GoneInstances, GoneInstance{ID: instance.Facts.ID, Pool: pool, Moved: instance.Moved})
	if extra := len(s.d.GoneInstances) - maxGoneInstances; extra > 0 {
		s.d.GoneInstances = s.d.GoneInstances[extra:]
	}
	s.updateMaintenancePool(instance.Facts.ID, pool)
	delete(s.d.Instances, instance.Facts.ID)
	s.removeMember(instance)
	s.dirtyPools[instance.Pool] = true
}

func (s *State) moveInstance(op record.InstanceMove) Outcome {
	instance, ok := s.d.Instances[op.Instance]
	if !ok {
		return rejected(ReasonUnknownInstance, "instance %s", op.Instance)
	}
	if _, ok := s.doc.Pool(op.To); !ok {
		return rejected(ReasonUnknownPool, "pool %s", op.To)
	}
	if instance.Pool != op.From {
		return rejected(ReasonStalePool, "instance %s is in pool %s", op.Instance, instance.Pool)
	}
	if instance.Wave != "" {
		return rejected(ReasonInMaintenance, "instance %s is down for maintenance wave %s", op.Instance, instance.Wave)
	}
	if instance.MovingTo != "" {
		return rejected(ReasonMoveUnderWay, "instance %s is moving to pool %s", op.Instance, instance.MovingTo)
	}
	if op.To == op.From {
		return rejected(ReasonInvalid, "instance %s is in pool %s already", op.Instance, op.To)
	}
	instance.MovingTo = op.To
	instance.Moved = true
	s.completeMove(instance)
	return accepted()
}

// completeMove completes a move once no slots of the instance are held and it is not down for maintenance.
func (s *State) completeMove(instance *Instance) {
	s.dirtyPools[instance.Pool] = true
	if instance.MovingTo == "" || len(instance.Held) > 0 || instance.Wave != "" {
		return
	}
	s.removeMember(instance)
	instance.Pool, instance.MovingTo = instance.MovingTo, ""
	s.addMember(instance)
	s.dirtyPools[instance.Pool] = true
}

// removeSlots removes all slots of the instance that holder has.
func (s *State) removeSlots(instance *Instance, holder string) {
	if _, ok := instance.Held[holder]; !ok {
		return
	}
	delete(instance.Held, holder)
	s.completeMove(instance)
}

// reassignPools applies a new document to the pools of the instances. An instance whose pool is no longer declared
// moves to the pool with a matching member prefix, and an instance in the spare pool moves to a pool that now has a
// matching prefix. A move that an operator started continues as long as its destination is declared. All other moves
// follow the newest document.
func (s *State) reassignPools() {
	spare := sparePool(s.doc)
	for _, id := range sortedKeys(s.d.Instances) {
		instance := s.d.Instances[id]
		if _, ok := s.doc.Pool(instance.MovingTo); !ok || !instance.Moved {
			instance.MovingTo = ""
		}
		if instance.MovingTo != "" {
			continue
		}
		_, declared := s.doc.Pool(instance.Pool)
		if declared && (instance.Pool != spare || instance.Moved) {
			continue
		}
		if !declared {
			instance.Moved = false
		}
		target := declaredPool(s.doc, id)
		if target == instance.Pool {
			continue
		}
		instance.MovingTo = target
		s.completeMove(instance)
	}
}

// declaredPool returns the name of the pool whose member prefix matches the instance, or the spare pool.
func declaredPool(doc *config.Document, id string) string {
	for _, pool := range doc.Pools {
		for _, prefix := range pool.Members {
			if strings.HasPrefix(id, prefix) {
				return pool.Name
			}
		}
	}
	return sparePool(doc)
}

func sparePool(doc *config.Document) string {
	for _, pool := range doc.Pools {
		if pool.Spare {
			return pool.Name
		}
	}
	return ""
}
