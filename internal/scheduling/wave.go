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
	// Duration is the time from the choice to the return of this instance.
	Duration time.Duration
}

// WaveView is a wave at one moment.
type WaveView struct {
	Instances []WaveInstance
	// MaxDown bounds the instances that drain or are down at once.
	MaxDown int
	// TimeLeft is the time until the wave has to be finished.
	TimeLeft time.Duration
	// TypicalDuration is the time that most instances take from the choice to their return.
	TypicalDuration time.Duration
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
	return float64(v.TimeLeft) < urgencyReserve*float64(rounds)*float64(v.TypicalDuration)
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
		return cmp.Or(v.cost(&a)-v.cost(&b), cmp.Compare(a.Load, b.Load), a.Runs-b.Runs)
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
		urgent := urgent || v.overdue(&i)
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

// overdue reports whether an instance is late if it waits any longer: tasks that last leave it one after the other.
func (v *WaveView) overdue(i *WaveInstance) bool {
	return float64(v.TimeLeft) < urgencyReserve*float64(i.Duration)
}

// cost ranks instances by what their maintenance takes from the pool now.
func (v *WaveView) cost(i *WaveInstance) int {
	switch {
	case !i.Off && v.overdue(i):
		return 0
	case i.Off:
		return 1
	case i.Runs == 0:
		return 2
	default:
		return 3
	}
}

// DrainTime returns how long a worker takes until nothing runs there: the tasks of a step that lasts may be stopped only as many at a time as
// may be away, and each takes as long as one needs to be at work elsewhere; all others end meanwhile.
func DrainTime(runs []*workload.Run, others, each time.Duration) time.Duration {
	steps := map[*workload.Step]int{}
	for _, r := range runs {
		if r.Task.Step.Spec.LongRunning {
			steps[r.Task.Step]++
		}
	}
	longest := others
	for s, n := range steps {
		rounds := (n + max(s.Spec.MayMiss, 1) - 1) / max(s.Spec.MayMiss, 1)
		longest = max(longest, time.Duration(rounds)*each)
	}
	return longest
}

func markDown(p *disruption.Pool, id string) {
	for n := range p.Instances {
		if p.Instances[n].ID == id {
			p.Instances[n].Down = true
		}
	}
}

// reportAge is the age up to which a worker's report counts, from the moment at which it was asked. A run at a worker that has fallen silent may be
// gone. A sound worker is asked every second and answers within another.
const reportAge = 3 * time.Second

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
		if r.InService() && now.Sub(r.SeenAt) <= reportAge {
			return true
		}
	}
	return false
}
