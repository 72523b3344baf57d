package dispatch

import (
	"context"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

const (
	// holdWait is how long a worker may keep a renewal open while no run ends, idleHoldWait the same for a worker without runs, and busyHoldWait
	// for one with runs that will end: if the answer is lost, their ends are not known until the renewal has timed out.
	holdWait     = time.Second
	idleHoldWait = 2 * time.Second
	busyHoldWait = 300 * time.Millisecond
	// holdTimeout bounds a renewal beyond its wait.
	holdTimeout = 400 * time.Millisecond
	// holdPause is the least time between two renewals of a worker, so that ends close together come in one answer. A busy worker of 32 cores
	// has an end every 50 to 100 ms.
	holdPause = 50 * time.Millisecond
	// storePause is the time between two renewals while ends wait to be stored.
	storePause = 500 * time.Millisecond
	// holdRetry is the pause after a failed renewal.
	holdRetry = 150 * time.Millisecond
	// entryPause is the time between two reads of the workers' entries.
	entryPause = 100 * time.Millisecond
	// aliveWait is how long a silent worker that still writes its entry is waited for before its runs start elsewhere, and entriesMissed how many of
	// its intervals may pass without an entry.
	aliveWait     = 2 * leaseDuration
	entriesMissed = 2
	// startsAtOnce bounds the orders that are on their way to one worker.
	startsAtOnce = 4
)

// runKey names a run at a worker.
type runKey struct {
	task   string
	number int
}

// agent is what the leader knows of a worker. The dispatcher's mu guards it.
type agent struct {
	id    string
	entry *fleet.WorkerEntry // nil if the worker is not listed
	// entryAt is the boot clock at which the worker's entry was last seen to be new.
	entryAt time.Duration
	// firstSeen is the boot clock at which the worker became known.
	firstSeen time.Duration
	runs      map[runKey]*workload.Run
	used      fleet.Resources
	// fillers and servers are the numbers of filler runs and of serving runs.
	fillers, servers int
	// pace is the pace of filler runs in percent, changed last at pacedAt.
	pace    int
	pacedAt time.Time
	// contacted means that the worker has answered in this term, and so refuses earlier terms.
	contacted bool
	// incarnation is the one that the worker last named; 0 if it named none.
	incarnation int64
	// clock is the worker's clock at the boot clock clockAt.
	clock   int64
	clockAt time.Duration
	// deadline is the latest lease on the worker's clock that any call may have given.
	deadline int64
	// seenEnd is the highest end that was applied, and storedEnd the highest that is stored.
	seenEnd, storedEnd int64
	// unstoredJobs are the jobs of the ends that are not stored.
	unstoredJobs map[string]bool
	// silentSince is the boot clock of the first renewal without an answer after the last answer; 0 while it answers.
	silentSince time.Duration
	health      health
	idleSince   time.Time // when the last run went; zero if none ever was there
	running     bool      // the renewing goroutine runs
	stop        context.CancelFunc
	notify      chan struct{}
	orders      chan struct{} // semaphore of startsAtOnce
	stray       map[runKey]time.Duration
	// unsettled means that an earlier leader may have started runs there that are not stored, and the worker has not been asked.
	unsettled bool
	// cordoned means that the instance is to be maintained or moved, so that nothing starts there.
	cordoned bool
	// leaving means that the instance will be maintained soon, so that work that lasts had better run elsewhere.
	leaving bool
}

// agent returns the agent with that ID. Callers hold mu.
func (d *Dispatcher) agent(id string) *agent {
	a := d.agents[id]
	if a == nil {
		a = &agent{
			id: id, firstSeen: bootclock.Now(), pace: fullPace, runs: map[runKey]*workload.Run{}, notify: make(chan struct{}, 1),
			orders: make(chan struct{}, startsAtOnce), stray: map[runKey]time.Duration{}, unstoredJobs: map[string]bool{},
		}
		d.agents[id] = a
	}
	return a
}

// attach counts a run at its worker and for its team. Callers hold mu.
func (d *Dispatcher) attach(r *workload.Run) {
	a := d.agent(r.Worker)
	a.runs[runKey{r.Task.Name(), r.Number}] = r
	a.used = a.used.Add(r.Task.Step.Spec.Charge())
	a.count(r, +1)
	d.charge(r.Task.Step.Job.Team, r.Task.Step.Spec.Need, +1)
}

// detach takes a run away that is known not to be at work. Callers hold mu.
func (d *Dispatcher) detach(a *agent, r *workload.Run) {
	key := runKey{r.Task.Name(), r.Number}
	if a.runs[key] != r {
		return
	}
	delete(a.runs, key)
	delete(d.unreleased, r)
	a.used = a.used.Sub(r.Task.Step.Spec.Charge())
	a.count(r, -1)
	d.charge(r.Task.Step.Job.Team, r.Task.Step.Spec.Need, -1)
	if len(a.runs) == 0 {
		a.idleSince = d.now()
	}
	d.mark(a)
}

// count adds a run to or takes it from the numbers of special runs. Callers hold mu.
func (a *agent) count(r *workload.Run, sign int) {
	spec := r.Task.Step.Spec
	if spec.Filler {
		a.fillers += sign
	}
	if spec.LatencyTarget > 0 {
		a.servers += sign
	}
}

// mark notes that a decision may be possible in the worker's pool. Callers hold mu.
func (d *Dispatcher) mark(a *agent) {
	if a.entry != nil {
		d.dirty[a.entry.Pool] = true
	}
}

// vacant reports whether the worker may go: nothing runs there, and every end that it has listed is stored. An end that is not
// stored would be lost with the worker. Callers hold mu.
func (a *agent) vacant() bool { return len(a.runs) == 0 && a.seenEnd == a.storedEnd }

// nudge wakes the renewing goroutine. Callers hold mu.
func (a *agent) nudge() {
	select {
	case a.notify <- struct{}{}:
	default:
	}
}

// address returns where the worker is. Callers hold mu.
func (a *agent) address() worker.Address {
	if a.entry == nil {
		return worker.Address{ID: a.id}
	}
	return worker.Address{ID: a.id, Address: a.entry.Address, Zone: a.entry.Zone}
}

// clockNow estimates the worker's clock. Callers hold mu.
func (a *agent) clockNow() int64 { return a.clock + (bootclock.Now() - a.clockAt).Milliseconds() }

// lease returns the deadline for the next call, and notes that the worker may hold its lease until then. Callers hold mu.
func (d *Dispatcher) lease(a *agent) int64 {
	if a.clockAt == 0 || bootclock.Now()-d.lastStored > renewWithoutStore {
		return 0
	}
	deadline := a.clockNow() + min(leaseDuration, d.Bounds.MaxLease).Milliseconds()
	a.deadline = max(a.deadline, deadline)
	return deadline
}

// halt ends the renewing goroutine. Callers hold mu.
func (a *agent) halt() {
	if a.running {
		a.stop()
		a.running = false
	}
}

// stopAgents ends all renewing goroutines at the end of the term.
func (d *Dispatcher) stopAgents() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.agents {
		a.halt()
	}
}

// outranked ends the term, as a worker has seen a higher fencing token. Callers hold mu.
func (d *Dispatcher) outranked(a *agent) {
	d.Log.Info().Str("event", "outranked").Str("worker", a.id).Int64("token", d.Token).Msg("a worker has seen a higher fencing token")
	d.stop()
}

// restarted notes that the worker has started again with its ID: nothing of before runs there. Callers hold mu.
func (d *Dispatcher) restarted(a *agent, incarnation int64) {
	d.lose(a, "the worker has started again")
	a.incarnation = incarnation
	a.seenEnd, a.storedEnd, a.deadline = 0, 0, 0
	a.clockAt, a.contacted, a.unsettled = 0, false, false
}

// lose takes all runs away from a worker where none of them is at work any more. Callers hold mu.
func (d *Dispatcher) lose(a *agent, why string) {
	if len(a.runs) == 0 {
		return
	}
	d.Log.Info().Str("event", "runs_lost").Str("worker", a.id).Int("runs", len(a.runs)).Str("why", why).Msg("runs are lost")
	d.counters.runsLost.Add(int64(len(a.runs)))
	for _, r := range a.runs {
		d.dropRun(a, r)
	}
}

// dropRun takes a run away that is known not to be at work. Callers hold mu.
func (d *Dispatcher) dropRun(a *agent, r *workload.Run) {
	d.detach(a, r)
	r.Task.Remove(r)
	if j := d.jobs[r.Task.Step.Job.ID]; j != nil {
		d.touch(j)
	}
}

// expireLeases takes runs away from workers that have been silent for longer than any lease there. Callers hold mu.
func (d *Dispatcher) expireLeases() {
	now := bootclock.Now()
	for id, a := range d.agents {
		if a.unsettled && d.leaseExpired(a, now) {
			a.unsettled = false
			d.markAll()
		}
		if len(a.runs) == 0 {
			if a.entry == nil && !a.running && !a.unsettled {
				delete(d.agents, id)
			}
			continue
		}
		if d.leaseExpired(a, now) && !d.alive(a, now) {
			d.lose(a, "its lease has expired")
		}
	}
}

// alive reports whether a silent worker still writes its entry, so that only the way to it is broken. It ends what has lapsed by itself, and lists how
// each run has ended as soon as it can be reached: until then some of them may be done. Callers hold mu.
func (d *Dispatcher) alive(a *agent, now time.Duration) bool {
	if a.entry == nil || a.silentSince == 0 || now-a.silentSince > aliveWait {
		return false
	}
	return now-a.entryAt < entriesMissed*d.Bounds.Heartbeat
}

// leaseExpired reports whether nothing can run at a worker any more. Of a worker that answers its reports tell what runs.
func (d *Dispatcher) leaseExpired(a *agent, now time.Duration) bool {
	if a.contacted && a.entry != nil && a.silentSince == 0 {
		return false
	}
	if a.contacted && a.clockAt != 0 {
		least := a.clock + int64(float64((now-a.clockAt).Milliseconds())*(1-clockDrift))
		return least > a.deadline+leaseMargin.Milliseconds()
	}
	longest := renewWithoutStore + min(leaseDuration, d.Bounds.MaxLease)
	longest += time.Duration(float64(longest)*clockDrift) + leaseMargin
	return now-d.fencedAt > longest
}
