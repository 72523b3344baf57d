package scheduling

import (
	"cmp"
	"slices"
	"time"

	"pollenlead/internal/disruption"
	"pollenlead/internal/workload"
)

// MaintenancePhase is how far an instance of a wave is.
type MaintenancePhase string

// The phases of an instance in a wave.
const (
	// MaintenancePending instances have not been taken yet.
	MaintenancePending MaintenancePhase = "pending"
	// MaintenanceDraining instances get no new tasks.
	MaintenanceDraining MaintenancePhase = "draining"
	// MaintenanceOrdered instances may be down.
	MaintenanceOrdered MaintenancePhase = "ordered"
	// MaintenanceDone instances are back.
	MaintenanceDone MaintenancePhase = "done"
)

// WaveInstance is what the choice of the next instances needs to know of one instance of a wave.
type WaveInstance struct {
	ID    string
	Pool  string
	Phase MaintenancePhase
	// Up means that the instance has a worker that could be drained, and Off that it is switched off, so that nobody misses it.
	Up, Off bool
	// Runs is the number of runs at the instance's worker.
	Runs int
	// Load is the used part of the processors of the instance's pool.
	Load float64
}

// WaveView is a wave at one moment.
type WaveView struct {
	Instances []WaveInstance
	// MaxDown bounds the instances that drain or are down at once.
	MaxDown int
	// Left is the time until the wave has to be finished.
	Left time.Duration
	// EachTakes is the time that an instance takes from the choice to its return.
	EachTakes time.Duration
	// Pools are the pools of the instances, for the availability budget.
	Pools map[string]*disruption.Pool
}

const (
	// calmLoad is the load of a pool up to which instances are taken while the wave has time.
	calmLoad = 0.6
	// urgencyReserve is how many times the time that the rest of the wave takes has to be left, or else load no longer matters.
	urgencyReserve = 1.6
)

// Urgent reports whether the wave would be late if it waited for a calmer moment.
func (v *WaveView) Urgent() bool {
	pending := 0
	for _, i := range v.Instances {
		if i.Phase == MaintenancePending {
			pending++
		}
	}
	rounds := (pending + v.MaxDown - 1) / max(v.MaxDown, 1)
	return float64(v.Left) < urgencyReserve*float64(rounds)*float64(v.EachTakes)
}

// NextForMaintenance returns the instances to drain next: those that are switched off, then idle ones, then those of the calmest pools with the
// fewest runs, as far as the wave's bound and the availability budgets of the pools allow.
func NextForMaintenance(v WaveView) []string {
	taken := 0
	var pending []WaveInstance
	for _, i := range v.Instances {
		switch i.Phase {
		case MaintenanceDraining, MaintenanceOrdered:
			taken++
		case MaintenancePending:
			if i.Up || i.Off {
				pending = append(pending, i)
			}
		}
	}
	slices.SortFunc(pending, func(a, b WaveInstance) int {
		return cmp.Or(a.cost()-b.cost(), cmp.Compare(a.Load, b.Load), a.Runs-b.Runs)
	})
	urgent := v.Urgent()
	var next []string
	for _, i := range pending {
		if taken >= v.MaxDown {
			break
		}
		if i.Off {
			next = append(next, i.ID)
			taken++
			continue
		}
		if !urgent && i.Load > calmLoad {
			continue
		}
		pool := v.Pools[i.Pool]
		if pool == nil || !urgent && !disruption.Allowed(*pool, i.ID).Allowed() {
			continue
		}
		markDown(pool, i.ID)
		next = append(next, i.ID)
		taken++
	}
	return next
}

// cost ranks instances by what their maintenance takes from the pool now.
func (i *WaveInstance) cost() int {
	switch {
	case i.Off:
		return 0
	case i.Runs == 0:
		return 1
	default:
		return 2
	}
}

func markDown(p *disruption.Pool, id string) {
	for n := range p.Instances {
		if p.Instances[n].ID == id {
			p.Instances[n].Down = true
		}
	}
}

// reportAge is the age up to which a worker's report counts. A run at a worker that has fallen silent may be gone.
const reportAge = 2 * time.Second

// MayStop reports whether a long-running task at work may be stopped for the sake of an instance: only while fewer of the
// other tasks of its step are away than may be.
func MayStop(t *workload.Task, now time.Time) bool {
	away := 0
	for _, other := range t.Step.Tasks {
		if other != t && !atWork(other, now) {
			away++
		}
	}
	return away < max(t.Step.Spec.MayMiss, 1)
}

func atWork(t *workload.Task, now time.Time) bool {
	for _, r := range t.Runs {
		if r.AtWork() && now.Sub(r.SeenAt) <= reportAge {
			return true
		}
	}
	return false
}
