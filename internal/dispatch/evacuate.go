package dispatch

import (
	"context"
	"maps"
	"slices"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/sleep"
	"pollenlead/internal/workload"
)

// While an availability zone is evacuated, nothing is started at its workers. What runs there goes on, and starts
// elsewhere if it has to be started again. An assignment that has not been sent is withdrawn. A task that only workers
// of evacuated zones may run waits until the evacuation is taken back.

const (
	// operatorAgeShare is the part of the bound of an evacuation up to which the operator's records may be old at the
	// beginning of a term. A follower that reaches the store confirms them more often.
	operatorAgeShare = 0.2
	// operatorWaitShare is the part of the bound for which a term waits for newer records. The wait is limited because
	// accepted jobs go on while the store does not serve these records.
	operatorWaitShare = 0.4
)

// awaitOperatorRecords waits until the operator's records are known as of the beginning of the term. An entry instance
// that was paused before it claimed leadership may not know of an evacuation.
func (d *Dispatcher) awaitOperatorRecords(ctx context.Context) {
	maxAge := time.Duration(operatorAgeShare * float64(d.Bounds.Evacuation))
	deadline := d.bootStart + time.Duration(operatorWaitShare*float64(d.Bounds.Evacuation))
	for ctx.Err() == nil && bootclock.Now() < deadline {
		if age, contact := d.Follower.Age(); contact && bootclock.Now()-age >= d.bootStart-maxAge {
			return
		}
		sleep.For(ctx, loadRetryDelay)
	}
}

// evacuating reports whether the worker's zone is evacuated, so that nothing may be started there. Callers hold mu.
func (d *Dispatcher) evacuating(a *agent) bool {
	return a.entry != nil && d.Follower.Evacuating(a.entry.Zone)
}

// followEvacuations applies a change of the evacuated zones: it withdraws the assignments there that wait to be stored,
// and places what waits. Callers hold mu.
func (d *Dispatcher) followEvacuations() {
	zones := d.Follower.EvacuatedZones()
	if slices.Equal(zones, d.evacuated) {
		return
	}
	d.evacuated = zones
	withdrawn := 0
	for _, a := range d.agents {
		if d.evacuating(a) {
			withdrawn += d.withdrawUnsent(a)
		}
	}
	d.Log.Info().Str("event", "evacuation_applied").Strs("zones", zones).Int("withdrawn", withdrawn).
		Msg("evacuated availability zones changed")
	d.markAllDirty()
	d.signal()
}

// withdrawUnsent withdraws the assignments to a worker of an evacuated zone that were never sent, and returns their
// number. Callers hold mu.
func (d *Dispatcher) withdrawUnsent(a *agent) int {
	withdrawn := 0
	for _, r := range slices.Collect(maps.Values(a.runs)) {
		if r.Phase == workload.RunAssigned && !r.Released && d.attached(r) {
			d.withdrawEvacuated(a, r, false)
			withdrawn++
		}
	}
	return withdrawn
}

// withdrawEvacuated withdraws a run that must not be started because the zone of its worker is evacuated. Callers hold
// mu.
func (d *Dispatcher) withdrawEvacuated(a *agent, r *workload.Run, mayStart bool) {
	d.counters.evacuatedStarts.Add(1)
	d.withdraw(a, r, mayStart)
}

// logEvacuationWaits counts the waiting tasks that only workers of evacuated zones may run, and logs when the first
// ones wait and when none waits any more. Callers hold mu.
func (d *Dispatcher) logEvacuationWaits() {
	waiting := d.tasksAwaitingEvacuations()
	before := d.counters.evacuationWaits.Value()
	d.counters.evacuationWaits.Set(int64(waiting))
	if (waiting == 0) != (before == 0) {
		d.Log.Info().Str("event", "evacuation_waits").Int("tasks", waiting).
			Msg("number of waiting tasks that only workers of evacuated zones may run")
	}
}

// tasksAwaitingEvacuations returns the number of waiting tasks that only workers of evacuated zones may run. Callers
// hold mu.
func (d *Dispatcher) tasksAwaitingEvacuations() int {
	if len(d.evacuated) == 0 {
		return 0
	}
	waiting := 0
	for pool, jobs := range d.waiting {
		for _, j := range jobs {
			for _, o := range j.Occurrences {
				for _, s := range o.Steps {
					if s.Open > 0 && s.Ready() && d.onlyEvacuated(pool, s) {
						waiting += s.WaitingCount()
					}
				}
			}
		}
	}
	return waiting
}

// onlyEvacuated reports whether workers of evacuated zones could run tasks of a step, and no other worker of the pool.
// Callers hold mu.
func (d *Dispatcher) onlyEvacuated(pool string, s *workload.Step) bool {
	evacuated := false
	for _, a := range d.agents {
		if a.entry == nil || a.entry.Pool != pool || !a.suits(s) {
			continue
		}
		if !d.evacuating(a) {
			return false
		}
		evacuated = true
	}
	return evacuated
}

// suits reports whether the worker has the label and the capacity that a step needs. Callers hold mu.
func (a *agent) suits(s *workload.Step) bool {
	label := s.Spec.RequiredLabel
	return s.Spec.Charge().Fits(a.entry.Capacity) && (label == "" || slices.Contains(a.entry.Labels, label))
}
