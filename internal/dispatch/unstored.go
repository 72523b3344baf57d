package dispatch

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/store"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

// While the store does not answer, accepted jobs continue: starts are sent before their assignments are stored, and
// only to workers whose IDs are stored and that have not restarted meanwhile, only of jobs whose queue is stored with
// its pool, and not of tasks of which a run was lost meanwhile. A worker that has restarted knows no fencing token of
// a new leader, and would accept a task that already runs elsewhere. A new leader starts nothing of these queues until
// those workers have answered, or until no lease there can still be valid. It thus finds every run that is active,
// including those that are not stored. The workers refuse by then an earlier leader that still works, perhaps on jobs
// that were accepted after the change.

const (
	// unstoredStartDelay is the duration of an append after which starts no longer wait for it.
	unstoredStartDelay = 300 * time.Millisecond
	// workerSetInterval is the shortest interval between two records of the set of workers. The record grows with the
	// fleet, and changes with each move. The delay costs little: a worker that is not in the set yet gets no start
	// while the store does not answer.
	workerSetInterval = time.Second
)

// releaseUnstored sends the starts that wait for an append that has been in progress since began.
func (d *Dispatcher) releaseUnstored(began time.Duration) {
	if bootclock.Now()-began < unstoredStartDelay {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if bootclock.Now()-d.lastStored > storeContactTimeout {
		return
	}
	released := 0
	for r := range d.unreleased {
		if !d.mayReleaseUnstored(r) {
			continue
		}
		delete(d.unreleased, r)
		d.sendStart(r)
		released++
	}
	d.counters.unstoredStarts.Add(int64(released))
	if now := bootclock.Now(); released > 0 && now-d.unstoredLogged > poolLogInterval {
		d.unstoredLogged = now
		d.Log.Info().Str("event", "unstored_starts").Int("starts", released).
			Dur("store_silent", bootclock.Now()-began).Msg("tasks start before their assignments are stored")
	}
}

// mayReleaseUnstored reports whether a run may start before it is stored. The members of a gang start only together.
// Callers hold mu.
func (d *Dispatcher) mayReleaseUnstored(r *workload.Run) bool {
	if !d.mayStartUnstored(r) {
		return false
	}
	if !r.Task.Step.Spec.Gang {
		return true
	}
	waits := func(o *workload.Run) bool { return !o.Released && !d.mayStartUnstored(o) }
	return !slices.ContainsFunc(r.GangRuns(), waits)
}

// mayStartUnstored reports whether the next leader finds a run that starts before it is stored. Callers hold mu.
func (d *Dispatcher) mayStartUnstored(r *workload.Run) bool {
	a := d.agents[r.Worker]
	// The pool is that of the worker: the job's queue may lead to another one since the assignment.
	lost := a == nil || d.storedWorkers[a.id] == "" ||
		!d.isQueuePoolStored(r.Task.Step.Job.Queue, d.storedWorkers[a.id]) ||
		r.Phase != workload.RunAssigned || !d.attached(r) || !d.confirmedSince(r.Task.LastLost()) ||
		d.lastStored < a.incarnationAt
	return !lost
}

// confirmedSince reports whether the store has accepted an append that was sent after the given time, so that no other
// leader had begun then. A leader that has begun may have reached a worker that this leader had given up, and may have
// acknowledged that its task is done. Callers hold mu.
func (d *Dispatcher) confirmedSince(t time.Time) bool {
	return t.IsZero() || d.at(d.lastStored).After(t)
}

// workerSet returns the workers in service with their pools. Callers hold mu.
func (d *Dispatcher) workerSet() map[string]string {
	set := make(map[string]string, len(d.agents))
	for id, a := range d.agents {
		switch {
		case a.entry != nil && a.contacted:
			set[id] = a.entry.Pool
		case a.unchecked || !a.vacant():
			set[id] = d.storedWorkers[id]
		}
	}
	return set
}

// addWorkers adds the set of workers to a batch if it has changed and its last record is old enough. Callers hold mu.
func (d *Dispatcher) addWorkers(b *batch) {
	now := bootclock.Now()
	if now-d.workersAt < workerSetInterval {
		return
	}
	set := d.workerSet()
	if maps.Equal(set, d.storedWorkers) {
		return
	}
	d.workersAt = now
	value, err := json.Marshal(set)
	if err != nil {
		d.Log.Error().Err(err).Str("event", "bad_workers").Msg("the set of workers cannot be encoded")
		return
	}
	// The append may be carried out and its answer lost, so a worker that it takes out counts as not stored from now on.
	maps.DeleteFunc(d.storedWorkers, func(id, pool string) bool { return set[id] != pool })
	b.add(&batchItem{record: store.Record{Key: workload.WorkersKey, Value: value}})
	b.workers = set
}

// adoptRun takes over a run that an earlier leader started without storing it. It returns nil if the run does not
// belong to a task that may still run. Callers hold mu.
func (d *Dispatcher) adoptRun(a *agent, x *worker.Running) *workload.Run {
	id, k, step, index, err := workload.ParseTaskName(x.Task)
	if err != nil {
		return nil
	}
	j := d.jobs[id]
	if j == nil || j.State.Ended() {
		return nil
	}
	d.addReported(j, k)
	t := j.Task(k, step, index)
	if t == nil || t.Done || x.Run <= t.LastRun {
		return nil
	}
	// A stored run with a lower number has ended, or there would be none with a higher number. Its worker still lists
	// the end.
	for _, r := range t.Runs {
		if !r.Inherited {
			return nil
		}
	}
	r := t.Assign(a.id, x.Run, d.now())
	r.Released, r.Inherited, r.Incarnation = true, true, a.incarnation
	d.attach(r)
	d.noteStarted(j.Job)
	d.markChanged(j)
	d.Log.Info().Str("event", "run_adopted").Str("task", x.Task).Int("run", x.Run).Str("worker", a.id).
		Msg("took over a run that was not stored")
	return r
}

// markAllDirty schedules a decision for every pool. Callers hold mu.
func (d *Dispatcher) markAllDirty() {
	for pool := range d.active {
		d.dirty[pool] = true
	}
}
