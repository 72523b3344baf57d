// Package maintenance plans and drives maintenance waves. Decisions are pure functions of a snapshot. The driver's loop
// executes them, and every step is a record in the log.
package maintenance

import (
	"cmp"
	"slices"
	"time"

	"pollenlead/internal/config"
	"pollenlead/internal/disruption"
	"pollenlead/internal/statemachine"
)

// Instance is an instance of a pool in a wave.
type Instance struct {
	disruption.Instance
	AvailabilityZone string
	// Done means that the wave has finished with the instance.
	Done bool
	// HeldSlots is the number of slots granted to holders; an instance with fewer drains sooner.
	HeldSlots int
}

// Pool is a pool of a wave with its budget.
type Pool struct {
	Name                string
	Size                int
	MinAvailablePercent int
	Instances           []Instance
}

// Budget returns the pool in the form that package disruption uses.
func (p Pool) Budget() disruption.Pool {
	budget := disruption.Pool{Name: p.Name, Size: p.Size, MinAvailablePercent: p.MinAvailablePercent}
	budget.Instances = make([]disruption.Instance, len(p.Instances))
	for n, i := range p.Instances {
		budget.Instances[n] = i.Instance
	}
	return budget
}

// Snapshot is the input for the choice of the next instances.
type Snapshot struct {
	Wave        string
	Running     bool
	Maintenance config.Maintenance
	Pools       []Pool
}

// TakeSnapshot returns the snapshot of an open wave.
func TakeSnapshot(s *statemachine.State, wave *statemachine.Wave) Snapshot {
	snapshot := PreviewSnapshot(s, wave.Pools)
	snapshot.Wave = wave.ID
	snapshot.Running = wave.State == statemachine.WaveRunning
	for p := range snapshot.Pools {
		for n := range snapshot.Pools[p].Instances {
			i := &snapshot.Pools[p].Instances[n]
			_, i.Done = wave.Done[i.ID]
		}
	}
	return snapshot
}

// PreviewSnapshot returns the snapshot of a wave over the pools that has not been started.
func PreviewSnapshot(s *statemachine.State, pools []string) Snapshot {
	snapshot := Snapshot{Running: true, Maintenance: s.Config().Document.Maintenance}
	for _, name := range pools {
		budget := s.PoolBudget(name)
		pool := Pool{Name: name, Size: budget.Size, MinAvailablePercent: budget.MinAvailablePercent}
		for _, i := range budget.Instances {
			member := Instance{Instance: i}
			if instance, ok := s.Instance(i.ID); ok {
				member.AvailabilityZone = instance.Facts.AvailabilityZone
				for _, slots := range instance.Held {
					member.HeldSlots += slots
				}
			}
			pool.Instances = append(pool.Instances, member)
		}
		snapshot.Pools = append(snapshot.Pools, pool)
	}
	return snapshot
}

// Proposal is an instance to take down next.
type Proposal struct {
	Pool             string
	Instance         string
	Rack             string
	AvailabilityZone string
	// Decision is the disruption budget's decision with its explanation.
	Decision disruption.Decision
}

// NextInstances returns the instances to take down now. Each pool proceeds rack by rack, since the budget allows
// instances of only one rack of a pool to be down, and takes the instances of a rack in the fewest steps that the floor
// allows. Racks are chosen so that the instances that are down spread over the availability zones.
func NextInstances(s Snapshot, now time.Time) []Proposal {
	if !s.Running || !fitsWindow(s.Maintenance, now) {
		return nil
	}
	zones := map[string]int{}
	for _, pool := range s.Pools {
		for _, i := range pool.Instances {
			if i.Down {
				zones[i.AvailabilityZone]++
			}
		}
	}
	var proposals []Proposal
	for _, pool := range s.Pools {
		chosen := nextInPool(pool, zones)
		for _, p := range chosen {
			zones[p.AvailabilityZone]++
		}
		proposals = append(proposals, chosen...)
	}
	return proposals
}

// fitsWindow reports whether an instance that goes down now returns before the maintenance window closes, even if every
// phase takes its maximum time.
func fitsWindow(m config.Maintenance, now time.Time) bool {
	if m.Window.Always() {
		return true
	}
	closes, open := m.Window.Closes(now)
	return open && !now.Add(m.MaxAbsence()).After(closes)
}

// nextInPool chooses the next instances of one pool.
func nextInPool(pool Pool, zones map[string]int) []Proposal {
	rack := chooseRack(pool, zones)
	if rack == nil {
		return nil
	}
	var chosen []Proposal
	budget := pool.Budget()
	for _, i := range rack.waiting {
		decision := disruption.Allowed(budget, i.ID)
		if !decision.Allowed() {
			break
		}
		markDown(budget, i.ID)
		chosen = append(chosen, Proposal{
			Pool: pool.Name, Instance: i.ID, Rack: i.Rack, AvailabilityZone: i.AvailabilityZone, Decision: decision,
		})
	}
	return chosen[:evenStep(len(rack.waiting), len(chosen))]
}

// evenStep returns the size of the next step if at most maxDown of the waiting instances may be down at a time. Steps
// of equal size take as many steps as full ones and keep more instances available.
func evenStep(waiting, maxDown int) int {
	if maxDown == 0 {
		return 0
	}
	steps := (waiting + maxDown - 1) / maxDown
	return (waiting + steps - 1) / steps
}

func markDown(budget disruption.Pool, id string) {
	at := slices.IndexFunc(budget.Instances, func(i disruption.Instance) bool { return i.ID == id })
	budget.Instances[at].Down = true
}

// rack holds the waiting instances of a rack.
type rack struct {
	name    string
	zone    string
	waiting []Instance
}

// chooseRack returns the rack that has instances down, or else the rack whose zone has the fewest instances down. Among
// those it prefers the rack with the most waiting instances. It returns nil if no instance is waiting.
func chooseRack(pool Pool, zones map[string]int) *rack {
	racks := groupByRack(pool)
	for _, i := range pool.Instances {
		if !i.Down {
			continue
		}
		at := slices.IndexFunc(racks, func(r *rack) bool { return r.name == i.Rack && i.Rack != "" })
		if at < 0 {
			return nil
		}
		return racks[at]
	}
	if len(racks) == 0 {
		return nil
	}
	return slices.MinFunc(racks, func(a, b *rack) int {
		return cmp.Or(
			cmp.Compare(zones[a.zone], zones[b.zone]),
			cmp.Compare(len(b.waiting), len(a.waiting)),
			cmp.Compare(a.name, b.name),
			cmp.Compare(a.waiting[0].ID, b.waiting[0].ID),
		)
	})
}

// groupByRack groups the waiting instances by rack, those with the fewest held slots first. An instance without a known
// rack forms a rack of its own.
func groupByRack(pool Pool) []*rack {
	var racks []*rack
	for _, i := range pool.Instances {
		if i.Done || !i.Available() {
			continue
		}
		at := slices.IndexFunc(racks, func(r *rack) bool { return r.name == i.Rack && i.Rack != "" })
		if at < 0 {
			racks = append(racks, &rack{name: i.Rack, zone: i.AvailabilityZone})
			at = len(racks) - 1
		}
		racks[at].waiting = append(racks[at].waiting, i)
	}
	for _, r := range racks {
		slices.SortStableFunc(r.waiting, func(a, b Instance) int {
			return cmp.Or(cmp.Compare(a.HeldSlots, b.HeldSlots), cmp.Compare(a.ID, b.ID))
		})
	}
	return racks
}
