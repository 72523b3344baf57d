package dispatch

import "pollenlead/internal/workload"

// A new leader checks the workers that its predecessor may have used before it starts anything in their pools: their
// reports show the runs that are not stored.

// checkOutcome is the reason for which the leader no longer waits for a worker's report.
type checkOutcome string

const (
	checkAnswered  checkOutcome = "answered"
	checkExpired   checkOutcome = "no lease can be valid any more"
	checkReplaced  checkOutcome = "its instance has another worker or none"
	checkRestarted checkOutcome = "it has started again"
)

// restoreWorkers marks the workers that an earlier leader may have used as unchecked. Callers hold mu.
func (d *Dispatcher) restoreWorkers() {
	for id := range d.storedWorkers {
		d.agent(id).unchecked = true
	}
	d.logUnchecked()
}

// hasUncheckedWorker reports whether a worker of the pool has to answer before anything is started there. Callers
// hold mu.
func (d *Dispatcher) hasUncheckedWorker(pool string) bool {
	for id, a := range d.agents {
		if a.unchecked && d.storedWorkers[id] == pool {
			return true
		}
	}
	return false
}

// sendWithheld starts the inherited runs that waited until every worker of their pool had answered. Callers hold mu.
func (d *Dispatcher) sendWithheld() {
	for r := range d.withheld {
		if d.hasUncheckedWorker(r.Task.Step.Job.Pool) {
			continue
		}
		delete(d.withheld, r)
		if r.Phase == workload.RunAssigned && d.attached(r) {
			d.sendStart(r)
		}
	}
}

// logUnchecked logs for which workers each pool waits. Callers hold mu.
func (d *Dispatcher) logUnchecked() {
	byPool := map[string][]string{}
	for id, a := range d.agents {
		if a.unchecked {
			byPool[d.storedWorkers[id]] = append(byPool[d.storedWorkers[id]], id)
		}
	}
	for pool, workers := range byPool {
		d.Log.Info().Str("event", "pool_unchecked").Str("pool", pool).Strs("workers", workers).
			Msg("nothing starts in the pool until its workers have answered")
	}
}

// endCheck ends the wait for a worker, if there is one. Callers hold mu.
func (d *Dispatcher) endCheck(a *agent, how checkOutcome) {
	if !a.unchecked {
		return
	}
	a.unchecked = false
	pool := d.storedWorkers[a.id]
	if how != checkAnswered {
		d.counters.workersGivenUp.Add(1)
		d.Log.Info().Str("event", "worker_given_up").Str("worker", a.id).Str("pool", pool).Str("why", string(how)).
			Msg("no longer waiting for the report of a worker")
	}
	if !d.hasUncheckedWorker(pool) {
		d.Log.Info().Str("event", "pool_checked").Str("pool", pool).Msg("the pool waits for no worker any more")
	}
}
