// Package scheduling decides which waiting task starts at which worker. Its functions are pure: they read a view of a pool
// and return placements, without clock, network or store.
package scheduling

import (
	"slices"
	"time"

	"pollenlead/internal/fleet"
	"pollenlead/internal/workload"
)

// Worker is what a decision needs to know of a worker. Plan lowers Free as it places tasks.
type Worker struct {
	ID       string
	Rack     string
	Labels   []string
	Capacity fleet.Resources
	// Free is the capacity that no run takes.
	Free fleet.Resources
	// Probe means that the worker has failed tasks lately: it gets at most one task at a time that has not failed before.
	Probe bool
	// Runs is the number of runs at the worker.
	Runs int
	// Fillers and Servers are the numbers of filler runs and of serving runs at the worker.
	Fillers, Servers int
	// Leaving means that the worker will be stopped soon by a planned action.
	Leaving bool
}

// PendingStep is a step with tasks that wait for a run.
type PendingStep struct {
	Step  *workload.Step
	Tasks []*workload.Task
	// Tickets are the permissions of the advice service by worker. Nil means that every worker may run the step.
	Tickets map[string]string
	// Rank orders wants; a lower one comes first.
	Rank Rank
}

// Rank is the position of a want among the others of its pool.
type Rank struct {
	// Tier separates work that can still meet its objective from work that cannot.
	Tier Tier
	// Priority is the queue's priority; 0 comes first.
	Priority int
	// Slack is the time left after the remaining work, until the objective.
	Slack time.Duration
	// Submitted breaks ties in favor of the older job.
	Submitted time.Time
}

// Tier is a class of urgency.
type Tier uint8

// The tiers, most urgent first.
const (
	// TierServing is work that runs until it is cancelled: it earns only while it runs.
	TierServing Tier = iota
	// TierOnTime is work that can still meet its objective.
	TierOnTime
	// TierLate is work that has missed its objective.
	TierLate
)

func (r Rank) compare(o Rank) int {
	if r.Tier != o.Tier {
		return int(r.Tier) - int(o.Tier)
	}
	if r.Priority != o.Priority {
		return r.Priority - o.Priority
	}
	if r.Slack != o.Slack {
		if r.Slack < o.Slack {
			return -1
		}
		return 1
	}
	return r.Submitted.Compare(o.Submitted)
}

// Placement is a task and the worker where it is to start.
type Placement struct {
	Task   *workload.Task
	Worker *Worker
	Ticket string
}

// Limits holds what each team may still start; a missing team has no limit.
type Limits map[string]*fleet.Resources

// MaxFree returns the most that is free in each dimension at any worker. What does not fit there fits nowhere.
func MaxFree(workers []*Worker) fleet.Resources {
	var room fleet.Resources
	for _, w := range workers {
		room.CPUMilli = max(room.CPUMilli, w.Free.CPUMilli)
		room.MemoryMB = max(room.MemoryMB, w.Free.MemoryMB)
		room.GPU = max(room.GPU, w.Free.GPU)
	}
	return room
}

// Plan places waiting tasks in the order of their ranks. It lowers the Free of workers and the limits of teams accordingly.
func Plan(workers []*Worker, wants []PendingStep, limits Limits) []Placement {
	slices.SortFunc(wants, func(a, b PendingStep) int { return a.Rank.compare(b.Rank) })
	var placed []Placement
	room := MaxFree(workers)
	for _, w := range wants {
		if !w.Step.Spec.Charge().Fits(room) {
			continue
		}
		some := place(workers, w, limits)
		placed = append(placed, some...)
		if len(some) < len(w.Tasks) {
			room = MaxFree(workers) // until then the old figure is too large at most, which only costs a search
		}
	}
	return placed
}

// place places the tasks of one want.
func place(workers []*Worker, w PendingStep, limits Limits) []Placement {
	if w.Step.Spec.Gang {
		return placeGang(workers, w, limits)
	}
	return placeEach(workers, w, limits)
}

func placeEach(workers []*Worker, w PendingStep, limits Limits) []Placement {
	var placed []Placement
	use := newSpread(w.Step)
	for _, t := range w.Tasks {
		p, ok := placeNext(workers, w, t, use, limits, placed)
		if !ok {
			if !use.differs(w) {
				break // the next task of the step would find no place either
			}
			continue
		}
		placed = append(placed, p)
	}
	return placed
}

// placeNext places a task where the one before it went, if that is still the cheapest worker without a look at the others: the fullest is the
// cheapest, and it has just become fuller.
func placeNext(workers []*Worker, w PendingStep, t *workload.Task, use *spread, limits Limits, placed []Placement) (Placement, bool) {
	s := w.Step.Spec
	if n := len(placed); n > 0 && !s.Filler && s.LatencyTarget == 0 && t.Failures == 0 {
		if last := placed[n-1].Worker; !last.Probe && allowed(last, w, t, use) {
			return placeAt(last, w, t, use, limits)
		}
	}
	return placeOne(workers, w, t, use, limits)
}

// placeGang places all tasks of the step or none.
func placeGang(workers []*Worker, w PendingStep, limits Limits) []Placement {
	if len(w.Tasks) != len(w.Step.Tasks) {
		return nil // a member is still at work or being stopped
	}
	use := newSpread(w.Step)
	var placed []Placement
	for _, t := range w.Tasks {
		p, ok := placeOne(workers, w, t, use, limits)
		if !ok {
			undo(placed, w, limits)
			return nil
		}
		placed = append(placed, p)
	}
	return placed
}

func undo(placed []Placement, w PendingStep, limits Limits) {
	charge := w.Step.Spec.Charge()
	for _, p := range placed {
		p.Worker.Free = p.Worker.Free.Add(charge)
		p.Worker.Runs--
		if l := limits[w.Step.Job.Team]; l != nil {
			*l = l.Add(w.Step.Spec.Need)
		}
	}
}

// placeOne places a task at the cheapest worker.
func placeOne(workers []*Worker, w PendingStep, t *workload.Task, use *spread, limits Limits) (Placement, bool) {
	if limit := limits[w.Step.Job.Team]; limit != nil && !w.Step.Spec.Need.Fits(*limit) {
		return Placement{}, false
	}
	var best *Worker
	var bestCost float64
	for _, c := range workers {
		if !allowed(c, w, t, use) || t.FailedOn == c.ID && len(workers) > 1 {
			continue
		}
		if cost := cost(c, w.Step, use); best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	if best == nil {
		return Placement{}, false
	}
	return placeAt(best, w, t, use, limits)
}

// placeAt places a task at a worker that may run it, if the team's limit allows.
func placeAt(best *Worker, w PendingStep, t *workload.Task, use *spread, limits Limits) (Placement, bool) {
	limit := limits[w.Step.Job.Team]
	if limit != nil && !w.Step.Spec.Need.Fits(*limit) {
		return Placement{}, false
	}
	best.Free = best.Free.Sub(w.Step.Spec.Charge())
	best.Runs++
	if w.Step.Spec.Filler {
		best.Fillers++
	}
	if w.Step.Spec.LatencyTarget > 0 {
		best.Servers++
	}
	use.add(best)
	if limit != nil {
		*limit = limit.Sub(w.Step.Spec.Need)
	}
	return Placement{Task: t, Worker: best, Ticket: w.Tickets[best.ID]}, true
}

// allowed reports whether the task may start at the worker at all.
func allowed(c *Worker, w PendingStep, t *workload.Task, use *spread) bool {
	s := w.Step.Spec
	if !s.Charge().Fits(c.Free) {
		return false
	}
	if c.Probe && (c.Runs > 0 || t.Failures > 0) {
		return false
	}
	if s.RequiredLabel != "" && !slices.Contains(c.Labels, s.RequiredLabel) {
		return false
	}
	if s.MaxPerWorker > 0 && use.byWorker[c.ID] >= s.MaxPerWorker {
		return false
	}
	return w.Tickets == nil || w.Tickets[c.ID] != ""
}

// Weights of the cost of a placement. The unit is the share of a worker's processor.
const (
	costAwayFromData = 4
	costOtherRack    = 4
	costProbe        = 3
	// costNeighbor keeps filler away from serving tasks, which it disturbs.
	costNeighbor = 1
	// costLeaving keeps work that lasts away from workers that it would soon have to leave.
	costLeaving = 3
)

// cost rates a worker for a task; lower is better. The fullest worker is the cheapest, so that large tasks find whole workers
// and idle instances can be lent.
func cost(c *Worker, step *workload.Step, use *spread) float64 {
	s := step.Spec
	cost := 0.0
	if c.Capacity.CPUMilli > 0 {
		cost += float64(c.Free.CPUMilli) / float64(c.Capacity.CPUMilli)
	}
	if s.DataRack != "" && s.DataRack != c.Rack {
		cost += costAwayFromData
	}
	if s.SameRack && use.rack != "" && use.rack != c.Rack {
		cost += costOtherRack
	}
	if c.Probe {
		cost += costProbe
	}
	if s.Filler {
		cost += costNeighbor * float64(c.Servers+c.Fillers)
	}
	if s.LatencyTarget > 0 {
		cost += costNeighbor * float64(c.Fillers)
	}
	if s.LongRunning && c.Leaving {
		cost += costLeaving
	}
	return cost
}

// spread counts where the tasks of a step run.
type spread struct {
	byWorker map[string]int
	rack     string
}

func newSpread(s *workload.Step) *spread {
	u := &spread{byWorker: map[string]int{}}
	for _, t := range s.Tasks {
		for _, r := range t.Runs {
			u.byWorker[r.Worker]++
		}
	}
	return u
}

func (u *spread) add(w *Worker) {
	u.byWorker[w.ID]++
	if u.rack == "" {
		u.rack = w.Rack
	}
}

// differs reports whether the tasks of a want may find different places, because some have failed at a worker.
func (u *spread) differs(w PendingStep) bool {
	for _, t := range w.Tasks {
		if t.Failures > 0 {
			return true
		}
	}
	return false
}
