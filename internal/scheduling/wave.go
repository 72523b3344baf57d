package scheduling

import (
	"cmp"
	"slices"
	"time"

	"pollenlead/internal/disruption"
	"pollenlead/internal/workload"
)

// MaintenancePhase is the maintenance state of an instance of a wave.
type MaintenancePhase string

// The phases of an instance in a wave.
const (
	// MaintenancePending instances have not been selected yet.
	MaintenancePending MaintenancePhase = "pending"
	// MaintenanceDraining instances get no new tasks.
	MaintenanceDraining MaintenancePhase = "draining"
	// MaintenanceOrdered instances have been handed to the instances service and may be down.
	MaintenanceOrdered MaintenancePhase = "ordered"
	// MaintenanceDone instances are in service again.
	MaintenanceDone MaintenancePhase = "done"
)

// WaveInstance is the state of one instance of a wave, as far as the selection of the next instances needs it.
type WaveInstance struct {
	ID    string
	Pool  string
	Phase MaintenancePhase
	// Up means that the instance has a worker that can be drained. Off means that the instance is switched off, so
	// that its maintenance costs no capacity.
	Up, Off bool
	// Evacuated means that nothing may start at the instance, so that its maintenance takes no room.
	Evacuated bool
	// Runs is the number of runs on the instance's worker.
	Runs int
	// Load is the used fraction of the CPU capacity of the instance's pool.
	Load float64
	// Duration is the time from the selection of this instance until it is in service again.
	Duration time.Duration
}

// WaveView is the state of a wave at one moment.
type WaveView struct {
	Instances []WaveInstance
	// MaxDown is the maximum number of instances that are down at once. As many may be draining besides if the wave is
	// behind its pace.
	MaxDown int
	// TimeLeft is the time until the deadline of the wave.
	TimeLeft time.Duration
	// Window is the time from the request of the wave to its deadline.
	Window time.Duration
	// TypicalDuration is the time that most instances take from their selection until they are in service again.
	TypicalDuration time.Duration
	// LongDrains is the time that the long-running tasks on the instances that are not down yet take to leave them one
	// after the other.
	LongDrains time.Duration
	// Pools holds the pools of the instances, for the availability budget.
	Pools map[string]*disruption.Pool
}

const (
	// maxCalmLoad is the highest load of a pool at which instances are selected while the wave has time.
	maxCalmLoad = 0.6
	// timeReserveFactor is the required ratio of the time left to the estimated time for the rest of the wave. Below
	// it, instances are selected regardless of load.
	timeReserveFactor = 1.6
)

// Urgent reports whether the wave would miss its deadline if it waited for lower load.
func (v *WaveView) Urgent() bool {
	pending := 0
	for _, i := range v.Instances {
		if i.Phase == MaintenancePending {
			pending++
		}
	}
	if pending == 0 {
		return false
	}
	rounds := max(float64(pending)/float64(max(v.MaxDown, 1)), 1)
	return float64(v.TimeLeft) < timeReserveFactor*rounds*float64(v.TypicalDuration)
}

// NextForMaintenance returns the instances to drain next: those that are switched off, then idle ones, first of
// evacuated zones, then those of the least loaded pools, the slowest drains first, within MaxDown and the availability
// budgets of the pools. As many as the wave is behind its pace are taken from busy pools and from several racks of a
// pool.
func NextForMaintenance(v WaveView) []string {
	s := selection{view: &v}
	pending := s.pending()
	urgent := v.Urgent()
	pending = slices.DeleteFunc(pending, func(i WaveInstance) bool {
		return v.waitsFor(&i, urgent || v.overdue(&i)) == WaitsForNothing && s.take(&i)
	})
	behind := v.Behind()
	s.taken -= s.down // drains may go on while as many instances are down as may be
	for n := range pending {
		if i := &pending[n]; len(s.next) < behind && v.mayHurry(i) {
			s.take(i)
		}
	}
	return s.next
}

// selection collects the instances that are selected in one decision.
type selection struct {
	view  *WaveView
	down  int // instances that may be down
	taken int // instances that are draining or down, with those of next
	next  []string
}

// pending counts the instances that are draining or down, and returns those that may be selected, the best first.
func (s *selection) pending() []WaveInstance {
	v := s.view
	var pending []WaveInstance
	for _, i := range v.Instances {
		switch i.Phase {
		case MaintenanceDraining:
			s.taken++
		case MaintenanceOrdered:
			s.taken++
			s.down++
		case MaintenancePending:
			if i.Up || i.Off {
				pending = append(pending, i)
			}
		}
	}
	slices.SortFunc(pending, func(a, b WaveInstance) int {
		return cmp.Or(v.cost(&a)-v.cost(&b), cmp.Compare(a.Load, b.Load), cmp.Compare(b.Duration, a.Duration), a.Runs-b.Runs)
	})
	return pending
}

// take selects an instance if the wave may have another one down.
func (s *selection) take(i *WaveInstance) bool {
	if s.taken >= s.view.MaxDown {
		return false
	}
	if !i.isUnused() {
		markDown(s.view.Pools[i.Pool], i.ID)
	}
	s.next = append(s.next, i.ID)
	s.taken++
	return true
}

// isUnused reports whether nothing runs on the instance and nothing may start there.
func (i *WaveInstance) isUnused() bool { return i.Off || i.Evacuated && i.Runs == 0 }

// overdue reports whether the instance would miss the deadline if it waited any longer. Long-running tasks of one
// step leave an instance one after the other, so a drain may take longer than usual.
func (v *WaveView) overdue(i *WaveInstance) bool {
	return float64(v.TimeLeft) < timeReserveFactor*float64(i.Duration)
}

// cost ranks instances by the capacity that their maintenance takes from the pool now.
func (v *WaveView) cost(i *WaveInstance) int {
	switch {
	case !i.Off && v.overdue(i):
		return 0
	case i.Off:
		return 1
	case i.Evacuated && i.Runs == 0:
		return 2
	case i.Runs == 0:
		return 3
	case i.Evacuated:
		return 4
	default:
		return 5
	}
}

// DrainTime returns the time until nothing runs on a worker. At most MayMiss tasks of a long-running step may be
// stopped at a time, and each round takes the time each that a replacement needs to come into service elsewhere. All
// other runs end within the time others.
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

// maxReportAge is the maximum age of a worker's report, measured from the request for it. A run on a worker that no
// longer responds may be gone. A healthy worker is queried every second and responds within another.
const maxReportAge = 3 * time.Second

// MayStop reports whether a long-running task may be stopped for a planned action on its instance, which requires
// that fewer of the other tasks of its step are out of service than MayMiss allows.
func MayStop(t *workload.Task, now time.Time) bool {
	away := t.Step.Spec.Count - 1
	for other := range t.Step.Held() {
		if other != t && atWork(other, now) {
			away--
		}
	}
	return away < max(t.Step.Spec.MayMiss, 1)
}

func atWork(t *workload.Task, now time.Time) bool {
	for _, r := range t.Runs {
		if r.InService() && now.Sub(r.SeenAt) <= maxReportAge {
			return true
		}
	}
	return false
}
