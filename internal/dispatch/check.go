package dispatch

import (
	"iter"
	"maps"
	"slices"

	"pollenlead/internal/workload"
)

// A new leader checks the workers at which its predecessor may have started tasks without storing the assignment,
// before it starts these tasks: their reports show such runs. A job may have been in another pool then, because its
// queue led there, so the pools to which each queue has led are stored as well.

// checkOutcome is the reason for which the leader no longer waits for a worker's report.
type checkOutcome string

const (
	checkAnswered checkOutcome = "answered"
	checkExpired  checkOutcome = "no lease can be valid any more"
	checkReplaced checkOutcome = "its instance has another worker or none"
)

// restoreWorkers marks the workers that an earlier leader may have used as unchecked. Callers hold mu.
func (d *Dispatcher) restoreWorkers() {
	for id := range d.storedWorkers {
		d.agent(id).unchecked = true
	}
	d.logUnchecked()
}

// uncheckedPools returns the pools with a worker that has to answer. Callers hold mu.
func (d *Dispatcher) uncheckedPools() map[string]bool {
	pools := map[string]bool{}
	for id, a := range d.agents {
		if a.unchecked {
			pools[d.storedWorkers[id]] = true
		}
	}
	return pools
}

// awaitsCheck reports whether a worker at which an earlier leader may have started a task of the job has to answer
// before any task of the job starts. Callers hold mu.
func (d *Dispatcher) awaitsCheck(j *workload.Job, unchecked map[string]bool) bool {
	if len(unchecked) == 0 {
		return false
	}
	isUnchecked := func(pool string) bool { return unchecked[pool] }
	return unchecked[j.Pool] || slices.ContainsFunc(d.storedQueuePools[j.Queue], isUnchecked)
}

// isQueuePoolStored reports whether the next leader will look for unstored runs of the queue's jobs in the pool.
// Callers hold mu.
func (d *Dispatcher) isQueuePoolStored(queue, pool string) bool {
	return slices.Contains(d.storedQueuePools[queue], pool)
}

// nextQueuePools returns the pools to which queues have led, with those of the given jobs, or nil if they are stored
// already. A queue that the configuration has removed is left out once every worker has been checked. Callers hold mu.
func (d *Dispatcher) nextQueuePools(jobs iter.Seq[*job]) map[string][]string {
	var next map[string][]string
	for j := range jobs {
		if d.isQueuePoolStored(j.Queue, j.Pool) || slices.Contains(next[j.Queue], j.Pool) {
			continue
		}
		if next == nil {
			next = d.retainedQueuePools()
		}
		next[j.Queue] = slices.Sorted(slices.Values(append(slices.Clone(next[j.Queue]), j.Pool)))
	}
	return next
}

// retainedQueuePools returns the stored pools of the queues that may still have unstored runs. Callers hold mu.
func (d *Dispatcher) retainedQueuePools() map[string][]string {
	retained := maps.Clone(d.storedQueuePools)
	config := d.Follower.Config()
	if config == nil || len(d.uncheckedPools()) > 0 {
		return retained
	}
	open := map[string]bool{}
	for _, jobs := range d.active {
		for _, j := range jobs {
			open[j.Queue] = true
		}
	}
	for j := range d.unpublished {
		open[j.Queue] = true
	}
	maps.DeleteFunc(retained, func(queue string, _ []string) bool { return !open[queue] && config.Queue(queue) == nil })
	return retained
}

// mustWithhold reports whether an inherited run that its worker does not list must not be started yet. A later run may
// be active at a worker that has not answered. The run may also be done: its end may be in a spare partition, or the
// worker may have restarted after another leader had acknowledged the end, which an append after the first report of
// the worker's incarnation rules out. Callers hold mu.
func (d *Dispatcher) mustWithhold(r *workload.Run, unchecked map[string]bool) bool {
	return !d.spareEndsRead || d.lastStored < d.agent(r.Worker).incarnationAt || d.awaitsCheck(r.Task.Step.Job, unchecked)
}

// sendWithheld starts the inherited runs that waited until every worker at which a later run may be active had
// answered, and until an append confirmed that no other leader had begun before their own worker's incarnation was
// known. Callers hold mu.
func (d *Dispatcher) sendWithheld(unchecked map[string]bool) {
	for r := range d.withheld {
		if d.attached(r) && d.mustWithhold(r, unchecked) {
			continue
		}
		delete(d.withheld, r)
		if r.Phase == workload.RunAssigned && d.attached(r) {
			d.startAgain(d.agent(r.Worker), r)
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
			Msg("no job that may have runs in the pool is started until these workers have answered")
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
	d.markAllDirty()
	if !d.uncheckedPools()[pool] {
		d.Log.Info().Str("event", "pool_checked").Str("pool", pool).Msg("the pool waits for no worker any more")
	}
}
