package scheduling

import (
	"slices"
	"time"

	"pollenlead/internal/fleet"
	"pollenlead/internal/workload"
)

const (
	// reservedWorkerFraction is the fraction of a pool's workers that may be reserved in one decision, at least one.
	reservedWorkerFraction = 1.0 / 4
	// maxReservationWait is how long a worker is reserved at most. Work that is placed meanwhile ends as late, and later
	// decisions reserve again.
	maxReservationWait = 4 * time.Second
)

// Release is capacity that a run is expected to return when it ends.
type Release struct {
	// At is the expected end of the run.
	At     time.Time
	Amount fleet.Resources
}

// reservation keeps a worker for a task that fits on no worker yet. Tasks of lower rank may use the worker if they are
// expected to end before, or if they fit beside the task (backfill).
type reservation struct {
	at     time.Time
	amount fleet.Resources
}

// Reservations counts what the reservations of a decision did: how many were made, and how often a worker was not given
// to a task because of one. A task counts each time a reserved worker is ruled out for it.
type Reservations struct{ Made, HeldBack int }

// CompareRanks orders steps by their ranks.
func CompareRanks(a, b PendingStep) int { return a.Rank.compare(b.Rank) }

// CountReservations returns what the reservations of a decision on the workers did.
func CountReservations(workers []*Worker) Reservations {
	var n Reservations
	for _, w := range workers {
		if w.reservation != nil {
			n.Made++
		}
		n.HeldBack += w.heldBack
	}
	return n
}

// MaxReservations returns how many reservations a decision on the workers makes at most. It is 0 if most of their
// capacity is free: then no load makes a task wait, only a rule that leaves it few workers.
func MaxReservations(workers []*Worker) int {
	var free, capacity int64
	for _, w := range workers {
		free += w.Free.CPUMilli
		capacity += w.Capacity.CPUMilli
	}
	if 2*free > capacity {
		return 0
	}
	return max(int(float64(len(workers))*reservedWorkerFraction), 1)
}

// reservationsFor returns how many reservations a decision makes at most. Without any release it makes none.
func reservationsFor(workers []*Worker) int {
	if !slices.ContainsFunc(workers, func(w *Worker) bool { return len(w.Releases) > 0 }) {
		return 0
	}
	return MaxReservations(workers)
}

// reserve reserves workers for the waiting tasks of a step that fit nowhere now, without the first ones, which have
// been placed: for each the worker on which it fits the soonest. A gang gets none, because its members would hold
// workers until the last one fits.
func (p *planner) reserve(w PendingStep, placed int) {
	if w.Step.Spec.Gang || p.reservationsLeft == 0 {
		return
	}
	use := newStepUsage(w.Step)
	for t := range w.Step.Waiting() {
		if placed > 0 {
			placed--
			continue
		}
		if p.reservationsLeft == 0 {
			return
		}
		if limit := p.limits[w.Step.Job.Team]; limit != nil && !w.Step.Spec.Need.Fits(*limit) {
			return
		}
		worker, at := p.soonest(w, t, use, p.now.Add(latestWait(w)))
		if worker == nil {
			return
		}
		worker.reservation = &reservation{at: at, amount: w.Step.Spec.Charge()}
		use.add(worker)
		p.reservationsLeft--
	}
}

// latestWait returns how long a reservation may wait for room. Work that would miss its objective meanwhile holds no
// room for it.
func latestWait(w PendingStep) time.Duration {
	if w.Rank.Tier == TierOnTime {
		return min(w.Rank.Slack, maxReservationWait)
	}
	return maxReservationWait
}

// soonest returns the worker without a reservation on which the task fits first, and when that is expected. It returns
// nil if there is none until the time latest.
func (p *planner) soonest(w PendingStep, t *workload.Task, use *stepUsage, latest time.Time) (*Worker, time.Time) {
	retry := p.newRetry(w, t, use)
	var best *Worker
	var bestAt time.Time
	var bestCost float64
	for _, c := range p.workers {
		if c.reservation != nil || c.Probe || !eligible(c, w, use) || retry.excludes(c) {
			continue
		}
		at, ok := c.fitsAt(w.Step.Spec.Charge(), latest)
		if !ok {
			continue
		}
		cost := cost(c, w.Step, use) + retry.cost(c)
		if best == nil || at.Before(bestAt) || at.Equal(bestAt) && cost < bestCost {
			best, bestAt, bestCost = c, at, cost
		}
	}
	return best, bestAt
}

// fitsAt returns when an amount is expected to be free on the worker, if that is not after the time latest.
func (w *Worker) fitsAt(amount fleet.Resources, latest time.Time) (time.Time, bool) {
	slices.SortFunc(w.Releases, func(a, b Release) int { return a.At.Compare(b.At) })
	free := w.Free
	for _, r := range w.Releases {
		if r.At.After(latest) {
			break
		}
		if free = free.Add(r.Amount); amount.Fits(free) {
			return r.At, true
		}
	}
	return time.Time{}, false
}

// freeAt returns what is expected to be free on the worker at a time.
func (w *Worker) freeAt(at time.Time) fleet.Resources {
	free := w.Free
	for _, r := range w.Releases {
		if !r.At.After(at) {
			free = free.Add(r.Amount)
		}
	}
	return free
}

// delaysReservation reports whether a task of the PendingStep would delay the task for which the worker is reserved,
// and counts it as held back if so. Long-running work is owed at any time and is never held back.
func (p *planner) delaysReservation(c *Worker, w PendingStep) bool {
	r := c.reservation
	if r == nil || w.Step.Spec.LongRunning {
		return false
	}
	if w.Duration > 0 && !p.now.Add(w.Duration).After(r.at) {
		return false
	}
	delays := !r.amount.Fits(c.freeAt(r.at).Sub(w.Step.Spec.Charge()))
	if delays {
		c.heldBack++
	}
	return delays
}
