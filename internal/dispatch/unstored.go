package dispatch

import (
	"encoding/json"
	"maps"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/store"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

// While the store does not answer, accepted jobs go on: starts are sent before their assignments are stored, and only to workers whose
// names are stored. A new leader starts nothing in a pool until it has asked those workers there, or until no lease there can last any
// longer. So it finds every run that is at work, also those of which the store knows nothing; and an earlier leader that still
// works, perhaps on jobs that were accepted after the change, is refused by then.

const (
	// unstoredAfter is the time after which an append under way no longer holds back starts.
	unstoredAfter = 300 * time.Millisecond
	// awayAfter is the time after which an append under way no longer holds back that a job is done, if nobody else can lead. By then each entry
	// instance that the store answers has had the end of a read.
	awayAfter = 800 * time.Millisecond
	// contactSlack is how much later than the beginning of an append a contact of another entry instance may be that was before the store went
	// away: the append was under way then, and the report has been under way since. Other reads end every 400 ms while the store answers.
	contactSlack = 250 * time.Millisecond
	// workersInterval is the least time between two records of the set of workers. It grows with the fleet, and changes with each move; a worker
	// that is not in it yet only gets no start while the store is away.
	workersInterval = time.Second
	// peerReportAge is the age up to which the reports of other entry instances count.
	peerReportAge = time.Second
)

// releaseUnstored lets out the starts that wait for an append under way since began.
func (d *Dispatcher) releaseUnstored(began time.Duration) {
	if bootclock.Now()-began < unstoredAfter {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if bootclock.Now()-d.lastStored > renewWithoutStore {
		return
	}
	released := 0
	for r := range d.unreleased {
		a := d.agents[r.Worker]
		if a == nil || d.storedWorkers[a.id] == "" || r.Phase != workload.RunAssigned || !d.counts(r) {
			continue
		}
		delete(d.unreleased, r)
		d.send(r)
		released++
	}
	if d.noOtherLeads(began) {
		d.showUnstored()
	}
	d.counters.unstoredStarts.Add(int64(released))
	if now := bootclock.Now(); released > 0 && now-d.unstoredLogged > poolLogInterval {
		d.unstoredLogged = now
		d.Log.Info().Str("event", "unstored_starts").Int("starts", released).Dur("store_silent", bootclock.Now()-began).Msg("tasks start before their assignments are stored")
	}
}

// PeerContact notes for how long another entry instance has had no contact to the store.
func (d *Dispatcher) PeerContact(silent time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peersHeard = bootclock.Now()
	d.peersStored = max(d.peersStored, d.peersHeard-silent)
}

// noOtherLeads reports whether nobody else can be about to lead since an append began that is under way: the store answers nobody, or it answers
// this entry instance and only the partition of the progress is away, which a leader has to read first. If the store answers others and not this
// entry instance, one of them leads soon. Callers hold mu.
func (d *Dispatcher) noOtherLeads(began time.Duration) bool {
	now := bootclock.Now()
	if now-began < awayAfter {
		return false
	}
	if silent, ok := d.Follower.Age(); ok && now-silent > began+contactSlack {
		return true
	}
	return now-d.peersHeard <= peerReportAge && d.peersStored < began+contactSlack
}

// showUnstored shows the ends of jobs that are not stored. Callers hold mu.
func (d *Dispatcher) showUnstored() {
	for j := range d.unshown {
		if d.endsMayGo(j) {
			continue
		}
		d.show(j, j.State)
		delete(d.unshown, j)
	}
}

// endsMayGo reports whether an end of the job that is not stored is known only to a worker that is leaving or silent. A new leader would not
// learn of it and run the task again, after callers were told that the job is done. Callers hold mu.
func (d *Dispatcher) endsMayGo(j *job) bool {
	for _, a := range d.agents {
		if a.unstoredJobs[j.ID] && (a.entry == nil || a.entry.Draining || a.silentSince != 0) {
			return true
		}
	}
	return false
}

// workerSet returns the workers in service with their pools. Callers hold mu.
func (d *Dispatcher) workerSet() map[string]string {
	set := make(map[string]string, len(d.agents))
	for id, a := range d.agents {
		switch {
		case a.entry != nil && a.contacted:
			set[id] = a.entry.Pool
		case a.unsettled || len(a.runs) > 0:
			set[id] = d.storedWorkers[id]
		}
	}
	return set
}

// addWorkers adds the set of workers to a batch if it has changed and the last one is old enough. Callers hold mu.
func (d *Dispatcher) addWorkers(b *batch) {
	now := bootclock.Now()
	if now-d.workersAt < workersInterval {
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
	b.records = append(b.records, store.Record{Key: workload.WorkersKey, Value: value})
	b.workers = set
}

// restoreWorkers marks the workers that an earlier leader may have used. Callers hold mu.
func (d *Dispatcher) restoreWorkers() {
	for id := range d.storedWorkers {
		d.agent(id).unsettled = true
	}
}

// unsettled reports whether a worker of the pool has to be asked before anything starts there. Callers hold mu.
func (d *Dispatcher) unsettled(pool string) bool {
	for id, a := range d.agents {
		if a.unsettled && d.storedWorkers[id] == pool {
			return true
		}
	}
	return false
}

// sendWithheld starts the inherited runs that waited until every worker of their pool had been asked. Callers hold mu.
func (d *Dispatcher) sendWithheld() {
	for r := range d.withheld {
		if d.unsettled(r.Task.Step.Job.Pool) {
			continue
		}
		delete(d.withheld, r)
		if r.Phase == workload.RunAssigned && d.counts(r) {
			d.send(r)
		}
	}
}

// adoptRun takes over a run that an earlier leader started without storing it, or returns nil if the run is a stranger. Callers hold mu.
func (d *Dispatcher) adoptRun(a *agent, x *worker.Running) *workload.Run {
	id, k, step, index, err := workload.ParseTaskName(x.Task)
	if err != nil {
		return nil
	}
	j := d.jobs[id]
	if j == nil || j.State.Ended() {
		return nil
	}
	t := j.Task(k, step, index)
	if t == nil || t.Done || x.Run <= t.LastRun {
		return nil
	}
	// A stored run with a lower number has ended, or there would be none with a higher one: its worker still lists the end.
	for _, r := range t.Runs {
		if !r.Inherited {
			return nil
		}
	}
	r := t.Assign(a.id, x.Run, d.now())
	r.Released, r.Inherited = true, true
	d.attach(r)
	d.touch(j)
	d.Log.Info().Str("event", "run_adopted").Str("task", x.Task).Int("run", x.Run).Str("worker", a.id).Msg("a run that was not stored is taken over")
	return r
}

// markAll notes that a decision may be possible in every pool. Callers hold mu.
func (d *Dispatcher) markAll() {
	for pool := range d.active {
		d.dirty[pool] = true
	}
}
