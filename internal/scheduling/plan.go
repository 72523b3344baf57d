// Package scheduling decides which waiting tasks start on which workers, how many instances each pool gets and which
// instances are maintained next. Its functions are pure: they read a view of a pool and return decisions without
// access to the clock, the network or the store.
package scheduling

import (
	"slices"
	"time"

	"pollenlead/internal/fleet"
	"pollenlead/internal/workload"
)

// Worker is the scheduling state of a worker. Plan reduces Free as it places tasks.
type Worker struct {
	ID       string
	Rack     string
	Labels   []string
	Capacity fleet.Resources
	// Free is the capacity that is not taken by runs.
	Free fleet.Resources
	// Probe means that tasks have failed on the worker recently: it gets at most one task at a time, and only one
	// that has not failed before.
	Probe bool
	// Runs is the number of runs on the worker.
	Runs int
	// Fillers and Servers are the numbers of filler runs and of serving runs on the worker.
	Fillers, Servers int
	// Leaving means that the worker will soon be stopped by a planned action.
	Leaving bool
	// Releases is what the runs on the worker are expected to return, in any order. It is needed only if a PendingStep
	// fits on no worker.
	Releases []Release

	// reservation is made by Plan; nil if there is none. heldBack counts the tasks that it kept away.
	reservation *reservation
	heldBack    int
}

// PendingStep is a step with tasks that are waiting for a run.
type PendingStep struct {
	Step *workload.Step
	// Waiting is the number of its waiting tasks.
	Waiting int
	// Tickets holds the permissions of the advice service by worker. Nil means that every worker may run the step.
	Tickets map[string]string
	// Rank is the scheduling order; a lower rank comes first.
	Rank Rank
	// Duration is the expected run time of a task; 0 if its end is not expected.
	Duration time.Duration
}

// Placement assigns a task to a worker.
type Placement struct {
	Task   *workload.Task
	Worker *Worker
	Ticket string
}

// Limits holds the remaining quota of each team. A team without an entry has no limit.
type Limits map[string]*fleet.Resources

// MaxFree returns the largest free amount in each dimension on any worker. A task that does not fit into it fits
// on no worker.
func MaxFree(workers []*Worker) fleet.Resources {
	var room fleet.Resources
	for _, w := range workers {
		room.CPUMilli = max(room.CPUMilli, w.Free.CPUMilli)
		room.MemoryMB = max(room.MemoryMB, w.Free.MemoryMB)
		room.GPU = max(room.GPU, w.Free.GPU)
	}
	return room
}

// planner holds the input of one decision.
type planner struct {
	workers []*Worker
	limits  Limits
	now     time.Time
	// reservationsLeft is how many reservations this decision may still make.
	reservationsLeft int
}

// Plan places waiting tasks in the order of their ranks. It reduces the Free of workers and the limits of teams
// accordingly. Tasks that fit on no worker get reservations, which tasks of lower rank leave free.
func Plan(workers []*Worker, wants []PendingStep, limits Limits, now time.Time) []Placement {
	slices.SortFunc(wants, CompareRanks)
	p := &planner{workers: workers, limits: limits, now: now, reservationsLeft: reservationsFor(workers)}
	return p.placeAll(wants)
}

// placeAll places steps that are in the order of their ranks, and reserves workers for what fits nowhere.
func (p *planner) placeAll(wants []PendingStep) []Placement {
	var placed []Placement
	room := MaxFree(p.workers)
	for _, w := range wants {
		if !w.Step.Spec.Charge().Fits(room) {
			p.reserve(w, 0)
			continue
		}
		some := p.place(w)
		placed = append(placed, some...)
		if len(some) < w.Waiting {
			room = MaxFree(p.workers) // a stale value can only be too large, which costs a needless search
			if !w.Step.Spec.Charge().Fits(room) {
				p.reserve(w, len(some))
			}
		}
	}
	return placed
}

// place places the tasks of one PendingStep.
func (p *planner) place(w PendingStep) []Placement {
	if w.Step.Spec.Gang {
		return p.placeGang(w)
	}
	return p.placeEach(w)
}

func (p *planner) placeEach(w PendingStep) []Placement {
	var placed []Placement
	use := newStepUsage(w.Step)
	for t := range w.Step.Waiting() {
		next, ok := p.placeNext(w, t, use, placed)
		if !ok {
			// A task that has failed avoids the worker on which it failed, so its placement may differ.
			if !w.Step.AnyFailed() {
				break // the other tasks of the step do not fit either
			}
			continue
		}
		placed = append(placed, next)
	}
	return placed
}

// placeNext places a task on the worker of the previous placement if that is certain to be the cheapest worker: the
// fullest worker is the cheapest, and the previous placement has filled it further. Otherwise it searches all
// workers.
func (p *planner) placeNext(w PendingStep, t *workload.Task, use *stepUsage, placed []Placement) (Placement, bool) {
	s := w.Step.Spec
	if n := len(placed); n > 0 && !s.Filler && s.LatencyTarget == 0 && t.Failures == 0 {
		last := placed[n-1].Worker
		if !last.Probe && s.Charge().Fits(last.Free) && eligible(last, w, use) && !p.delaysReservation(last, w) {
			return p.placeAt(last, w, t, use)
		}
	}
	return p.placeOne(w, t, use)
}

// placeGang places all tasks of the step or none.
func (p *planner) placeGang(w PendingStep) []Placement {
	if w.Waiting != w.Step.Spec.Count {
		return nil // some member is still running or being stopped
	}
	use := newStepUsage(w.Step)
	var placed []Placement
	for t := range w.Step.Waiting() {
		next, ok := p.placeOne(w, t, use)
		if !ok {
			p.rollBack(placed, w)
			return nil
		}
		placed = append(placed, next)
	}
	return placed
}

func (p *planner) rollBack(placed []Placement, w PendingStep) {
	charge := w.Step.Spec.Charge()
	for _, undone := range slices.Backward(placed) {
		undone.Worker.Free = undone.Worker.Free.Add(charge)
		if w.Duration > 0 {
			undone.Worker.Releases = undone.Worker.Releases[:len(undone.Worker.Releases)-1]
		}
		undone.Worker.Runs--
		if l := p.limits[w.Step.Job.Team]; l != nil {
			*l = l.Add(w.Step.Spec.Need)
		}
	}
}

// placeOne places a task on the cheapest worker.
func (p *planner) placeOne(w PendingStep, t *workload.Task, use *stepUsage) (Placement, bool) {
	if limit := p.limits[w.Step.Job.Team]; limit != nil && !w.Step.Spec.Need.Fits(*limit) {
		return Placement{}, false
	}
	retry := p.newRetry(w, t, use)
	var best *Worker
	var bestCost float64
	for _, c := range p.workers {
		if p.exclusion(c, w, use, retry) != "" {
			continue
		}
		if cost := cost(c, w.Step, use) + retry.cost(c); best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	if best == nil {
		return Placement{}, false
	}
	return p.placeAt(best, w, t, use)
}

// placeAt places a task on a worker that may run it, unless the team's limit is exceeded.
func (p *planner) placeAt(worker *Worker, w PendingStep, t *workload.Task, use *stepUsage) (Placement, bool) {
	limit := p.limits[w.Step.Job.Team]
	if limit != nil && !w.Step.Spec.Need.Fits(*limit) {
		return Placement{}, false
	}
	worker.Free = worker.Free.Sub(w.Step.Spec.Charge())
	worker.Runs++
	if w.Duration > 0 {
		worker.Releases = append(worker.Releases, Release{At: p.now.Add(w.Duration), Amount: w.Step.Spec.Charge()})
	}
	if w.Step.Spec.Filler {
		worker.Fillers++
	}
	if w.Step.Spec.LatencyTarget > 0 {
		worker.Servers++
	}
	use.add(worker)
	if limit != nil {
		*limit = limit.Sub(w.Step.Spec.Need)
	}
	return Placement{Task: t, Worker: worker, Ticket: w.Tickets[worker.ID]}, true
}

// eligible reports whether the worker may run a task of the step once it has room.
func eligible(c *Worker, w PendingStep, use *stepUsage) bool { return ineligibility(c, w, use) == "" }

// Weights of the cost of a placement. The unit is a worker's whole CPU capacity.
const (
	costRemoteData = 4
	costOtherRack  = 4
	costProbe      = 3
	// costInterference keeps filler tasks away from serving tasks, which they slow down.
	costInterference = 1
	// costLeaving keeps tasks away from workers that are about to be stopped if others have room, and costLeavingLong
	// keeps long-running tasks away besides.
	costLeaving     = 1
	costLeavingLong = 3
	// costFailedOn makes the worker on which the task failed last the last choice.
	costFailedOn = 100
)

// cost rates a worker for a task; lower is better. The fullest worker is the cheapest, so that large tasks find empty
// workers and idle instances can be moved to other pools.
func cost(c *Worker, step *workload.Step, use *stepUsage) float64 {
	s := step.Spec
	cost := 0.0
	if c.Capacity.CPUMilli > 0 {
		cost += float64(c.Free.CPUMilli) / float64(c.Capacity.CPUMilli)
	}
	if s.DataRack != "" && s.DataRack != c.Rack {
		cost += costRemoteData
	}
	if s.SameRack && use.rack != "" && use.rack != c.Rack {
		cost += costOtherRack
	}
	if c.Probe {
		cost += costProbe
	}
	if s.Filler {
		cost += costInterference * float64(c.Servers+c.Fillers)
	}
	if s.LatencyTarget > 0 {
		cost += costInterference * float64(c.Fillers)
	}
	if c.Leaving {
		cost += costLeaving
	}
	if s.LongRunning && c.Leaving {
		cost += costLeavingLong
	}
	return cost
}

// stepUsage counts the runs of a step by worker.
type stepUsage struct {
	byWorker map[string]int
	rack     string
}

func newStepUsage(s *workload.Step) *stepUsage {
	u := &stepUsage{byWorker: map[string]int{}}
	for t := range s.Held() {
		for _, r := range t.Runs {
			u.byWorker[r.Worker]++
		}
	}
	return u
}

func (u *stepUsage) add(w *Worker) {
	u.byWorker[w.ID]++
	if u.rack == "" {
		u.rack = w.Rack
	}
}
