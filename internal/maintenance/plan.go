// Package maintenance plans and drives maintenance waves. Decisions are pure functions over a snapshot; the driver's loop
// only carries them out, and every step is a record of the log.
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
	// Done means that the instance has had its turn.
	Done bool
	// HeldSlots is the number of slots that holders have; fewer slots drain sooner.
	HeldSlots int
}

// Pool is a pool of a wave with its budget.
type Pool struct {
	Name                string
	Size                int
	MinAvailablePercent int
	Instances           []Instance
}

// Budget returns the pool as the budget function takes it.
func (p Pool) Budget() disruption.Pool {
	budget := disruption.Pool{Name: p.Name, Size: p.Size, MinAvailablePercent: p.MinAvailablePercent}
	budget.Instances = make([]disruption.Instance, len(p.Instances))
	for n, i := range p.Instances {
		budget.Instances[n] = i.Instance
	}
	return budget
}

// Snapshot is what the choice of the next instances depends on.
type Snapshot struct {
	Wave        string
	Running     bool
	Maintenance config.Maintenance
	Pools       []Pool
}

// Take returns the snapshot of an open wave.
func Take(s *statemachine.State, wave *statemachine.Wave) Snapshot {
	snapshot := Preview(s, wave.Pools)
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

// Preview returns the snapshot of a wave over the pools that has not started.
func Preview(s *statemachine.State, pools []string) Snapshot {
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

// Proposal is an instance to ask for next.
type Proposal struct {
	Pool             string
	Instance         string
	Rack             string
	AvailabilityZone string
	// Decision is the budget's explanation.
	Decision disruption.Decision
}

// NextInstances returns the instances to ask for now. Each pool goes rack by rack, since the budget allows only one of its
// racks to have instances down, and takes the instances of a rack in the fewest steps that the floor allows. Pools choose
// their racks so that the instances that are down spread over the availability zones.
func NextInstances(s Snapshot, now time.Time) []Proposal {
	if !s.Running || !fits(s.Maintenance, now) {
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
		chosen := nextOf(pool, zones)
		for _, p := range chosen {
			zones[p.AvailabilityZone]++
		}
		proposals = append(proposals, chosen...)
	}
	return proposals
}

// fits reports whether an instance that goes down now is back before the window ends, even if every step takes its longest.
func fits(m config.Maintenance, now time.Time) bool {
	if m.Window.Always() {
		return true
	}
	closes, open := m.Window.Closes(now)
	return open && !now.Add(m.MaxAbsence()).After(closes)
}

// nextOf chooses the next instances of one pool.
func nextOf(pool Pool, zones map[string]int) []Proposal {
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
		setDown(budget, i.ID)
		chosen = append(chosen, Proposal{
			Pool: pool.Name, Instance: i.ID, Rack: i.Rack, AvailabilityZone: i.AvailabilityZone, Decision: decision,
		})
	}
	return chosen[:evenStep(len(rack.waiting), len(chosen))]
}

// evenStep returns the size of the next step when up to room of the waiting instances may go at a time. Equal steps end as
// soon as full ones and keep more instances available.
func evenStep(waiting, room int) int {
	if room == 0 {
		return 0
	}
	steps := (waiting + room - 1) / room
	return (waiting + steps - 1) / steps
}

func setDown(budget disruption.Pool, id string) {
	at := slices.IndexFunc(budget.Instances, func(i disruption.Instance) bool { return i.ID == id })
	budget.Instances[at].Down = true
}

// rack has the instances of a rack that wait for their turn.
type rack struct {
	name    string
	zone    string
	waiting []Instance
}

// chooseRack returns the rack that has instances down, or else the one whose zone has the fewest down. Among those it
// prefers the rack with the most waiting instances. It returns nil if no instance waits.
func chooseRack(pool Pool, zones map[string]int) *rack {
	racks := racksOf(pool)
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

// racksOf groups the waiting instances by rack, those with the fewest slots held first. An instance without a known rack is
// a rack of its own.
func racksOf(pool Pool) []*rack {
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
