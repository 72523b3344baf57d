package dispatch

import (
	"context"
	"fmt"
	"slices"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

const (
	// holdWait is how long a worker may keep a renewal open while no run ends, idleHoldWait the same for a worker
	// without runs, and busyHoldWait for a worker with runs that will end: if the answer is lost, their ends are
	// unknown until the renewal has timed out.
	holdWait     = time.Second
	idleHoldWait = 2 * time.Second
	busyHoldWait = 300 * time.Millisecond
	// holdAnswerTimeout is the time allowed for the answer to a renewal in addition to its wait.
	holdAnswerTimeout = 400 * time.Millisecond
	// minHoldInterval is the shortest interval between two renewals of a worker, so that ends that are close together
	// arrive in one answer. A busy worker of 32 cores has an end every 50 to 100 ms.
	minHoldInterval = 50 * time.Millisecond
	// pendingEndsInterval is the interval between two renewals while ends wait to be stored.
	pendingEndsInterval = 500 * time.Millisecond
	// maxAcknowledgementAge is the age of a worker's last report up to which its ends are acknowledged. While ends wait
	// to be stored, reports arrive every pendingEndsInterval. A worker takes longer than this to restart and to end a
	// task.
	maxAcknowledgementAge = time.Second
	// holdRetryDelay is the delay after a failed renewal.
	holdRetryDelay = 150 * time.Millisecond
	// entryPollInterval is the interval between two reads of the workers' entries.
	entryPollInterval = 100 * time.Millisecond
	// maxAliveSilence is how long a silent worker that still writes its entry keeps its runs before they start
	// elsewhere, and maxMissedEntries the number of heartbeat intervals that may pass without a new entry.
	maxAliveSilence  = 2 * leaseDuration
	maxMissedEntries = 2
	// maxConcurrentStarts bounds the starts that are in flight to one worker.
	maxConcurrentStarts = 4
)

// runKey identifies a run at a worker.
type runKey struct {
	task   string
	number int
}

// agent is the leader's view of one worker. The dispatcher's mu guards it.
type agent struct {
	id    string
	entry *fleet.WorkerEntry // nil if the worker is not listed
	// claim is the newest entry that contradicts the worker's answers and waits to be confirmed; nil if there is none.
	claim *fleet.WorkerEntry
	// answeredAt is the address at which the worker last answered a renewal in this term, and answeredTime the boot
	// clock at its answer. answeredAt is "" if the worker has not answered or another worker has the address now.
	answeredAt   string
	answeredTime time.Duration
	// tryClaim means that the last renewal was sent to the address of claim.
	tryClaim bool
	// entryAt is the boot clock at which the worker's entry last had a new sequence number.
	entryAt time.Duration
	// firstSeen is the boot clock at which the worker was first seen.
	firstSeen time.Duration
	// instance is the one with which a list last showed the worker; "" if none did.
	instance string
	// missingAt is the boot clock of the last evidence that the worker's known incarnation is over; 0 if there is none.
	missingAt time.Duration
	// interrupt ends the wait for the answer to the last renewal; nil before the first one.
	interrupt context.CancelFunc
	// askedAt is the boot clock at which the last renewal was sent that the worker has answered.
	askedAt time.Duration
	runs    map[runKey]*workload.Run
	used    fleet.Resources
	// fillers and servers are the numbers of filler runs and of serving runs.
	fillers, servers int
	// pace is the pace of filler runs in percent, last changed at pacedAt.
	pace    int
	pacedAt time.Time
	// contacted means that the worker has answered in this term, and so refuses orders of earlier terms.
	contacted bool
	// incarnation is the last one that the worker reported; 0 if it reported none.
	incarnation int64
	// incarnationAt is the boot clock at which the first report of that incarnation was read.
	incarnationAt time.Duration
	// restarts is the number of restarts of the worker that are known, and restartedAt the boot clock at which the last
	// one became known.
	restarts    int
	restartedAt time.Duration
	// reportedAt is the boot clock at which the worker's last report was read.
	reportedAt time.Duration
	// clock is the worker's clock at the boot clock clockAt.
	clock   int64
	clockAt time.Duration
	// deadline is the latest lease deadline, on the worker's clock, that any call may have granted.
	deadline int64
	// seenEnd is the highest number of an end that was applied, and storedEnd the highest one that is stored.
	seenEnd, storedEnd int64
	// moreEnds means that the worker's last report did not list all of its ends.
	moreEnds bool
	// unclaimedEnds, by number, and unclaimedRuns belong to tasks that are not known yet.
	unclaimedEnds map[int64]unclaimedEnd
	unclaimedRuns map[runKey]unclaimedRun
	// silentSince is the boot clock at which the first unanswered renewal since the last answer was sent; 0 while the
	// worker answers.
	silentSince time.Duration
	health      health
	idleSince   time.Time // when the worker became idle; zero until its first entry
	renewing    bool      // the renewal goroutine is active
	stop        context.CancelFunc
	notify      chan struct{}
	orders      chan struct{}            // semaphore of maxConcurrentStarts
	strayStops  map[runKey]time.Duration // boot clock of the last stop of each unassigned run
	// unchecked means that an earlier leader may have started runs at the worker that are not stored, and that the
	// worker has not answered in this term.
	unchecked bool
	// cordoned means that the instance is to be maintained or moved, so that nothing is started there. It outlasts a
	// restart of the worker, which does not show whether the order has been carried out: the list of instances does.
	cordoned bool
	// leaving means that the instance will be maintained soon, so that long-running work should be placed elsewhere.
	leaving bool
}

// agent returns the agent with that ID, which it creates if necessary. Callers hold mu.
func (d *Dispatcher) agent(id string) *agent {
	a := d.agents[id]
	if a == nil {
		a = &agent{
			id: id, firstSeen: bootclock.Now(), pace: fullPace, runs: map[runKey]*workload.Run{}, notify: make(chan struct{}, 1),
			orders: make(chan struct{}, maxConcurrentStarts), strayStops: map[runKey]time.Duration{},
			cordoned:      d.waveCordons[id],
			unclaimedEnds: map[int64]unclaimedEnd{}, unclaimedRuns: map[runKey]unclaimedRun{},
		}
		d.agents[id] = a
	}
	return a
}

// attach adds a run to its worker and to the usage of its team. Callers hold mu.
func (d *Dispatcher) attach(r *workload.Run) {
	a := d.agent(r.Worker)
	a.runs[runKey{r.Task.Name(), r.Number}] = r
	a.used = a.used.Add(r.Task.Step.Spec.Charge())
	a.countRun(r, +1)
	d.addTeamUsage(r.Task.Step.Job.Team, r.Task.Step.Spec.Need, +1)
}

// detach removes a run that is known not to be running from its worker. Callers hold mu.
func (d *Dispatcher) detach(a *agent, r *workload.Run) {
	key := runKey{r.Task.Name(), r.Number}
	if a.runs[key] != r {
		return
	}
	delete(a.runs, key)
	delete(d.unreleased, r)
	a.used = a.used.Sub(r.Task.Step.Spec.Charge())
	a.countRun(r, -1)
	d.addTeamUsage(r.Task.Step.Job.Team, r.Task.Step.Spec.Need, -1)
	if len(a.runs) == 0 {
		a.idleSince = d.now()
	}
	d.markDirty(a)
}

// countRun adds a run to the numbers of filler and serving runs, or removes it if sign is -1. Callers hold mu.
func (a *agent) countRun(r *workload.Run, sign int) {
	spec := r.Task.Step.Spec
	if spec.Filler {
		a.fillers += sign
	}
	if spec.LatencyTarget > 0 {
		a.servers += sign
	}
}

// markDirty schedules a decision for the worker's pool. Callers hold mu.
func (d *Dispatcher) markDirty(a *agent) {
	if a.entry != nil {
		d.dirty[a.entry.Pool] = true
	}
}

// vacant reports whether the worker may be removed: it has no runs, and every end that it has listed is stored, with
// none left to list. An end that is not stored would be lost with the worker. Callers hold mu.
func (a *agent) vacant() bool {
	return len(a.runs) == 0 && len(a.unclaimedRuns) == 0 && a.seenEnd == a.storedEnd && !a.moreEnds
}

// wakeRenewal wakes the renewal goroutine. Callers hold mu.
func (a *agent) wakeRenewal() {
	select {
	case a.notify <- struct{}{}:
	default:
	}
}

// address returns the worker's address, with its incarnation if it has answered in this term. Callers hold mu.
func (a *agent) address() worker.Address {
	if a.entry == nil {
		return worker.Address{ID: a.id}
	}
	return worker.Address{ID: a.id, Address: a.entry.Address, Zone: a.entry.Zone, Incarnation: a.incarnation}
}

// holdAddress returns the address for the next renewal. A silent worker may have started again at the address of an
// entry that waits to be confirmed, so the renewals alternate between both addresses. Callers hold mu.
func (a *agent) holdAddress() worker.Address {
	to := a.address()
	a.tryClaim = a.silentSince != 0 && a.claim != nil && !a.tryClaim
	if a.tryClaim {
		to.Address, to.Zone = a.claim.Address, a.claim.Zone
	}
	return to
}

// clockNow estimates the worker's clock. Callers hold mu.
func (a *agent) clockNow() int64 { return a.clock + (bootclock.Now() - a.clockAt).Milliseconds() }

// lease returns the lease deadline for the next call, or 0 if no lease may be granted. It records that the worker may
// hold its lease until then. Callers hold mu.
func (d *Dispatcher) lease(a *agent) int64 {
	if a.clockAt == 0 || bootclock.Now()-d.lastStored > storeContactTimeout {
		return 0
	}
	deadline := a.clockNow() + min(leaseDuration, d.Bounds.MaxLease).Milliseconds()
	a.deadline = max(a.deadline, deadline)
	return deadline
}

// stopRenewal ends the renewal goroutine. Callers hold mu.
func (a *agent) stopRenewal() {
	if a.renewing {
		a.stop()
		a.renewing = false
	}
}

// stopRenewals ends all renewal goroutines at the end of the term.
func (d *Dispatcher) stopRenewals() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.agents {
		a.stopRenewal()
	}
}

// endTermFenced ends the term because a worker has seen a higher fencing token. Callers hold mu.
func (d *Dispatcher) endTermFenced(a *agent) {
	d.Log.Info().Str("event", "outranked").Str("worker", a.id).Int64("token", d.Token).
		Msg("worker has seen a higher fencing token")
	d.stop()
}

// noteRestart handles the first report of a restarted worker: its clock, its lease and its numbers of ends have begun
// anew. The runs stay attached until the report has been compared with them: a run that it lists goes on. Callers hold
// mu.
func (d *Dispatcher) noteRestart(a *agent, incarnation int64) {
	d.Log.Info().Str("event", "worker_restarted").Str("worker", a.id).Int64("former_incarnation", a.incarnation).
		Int64("incarnation", incarnation).Int("runs", len(a.runs)).Int("starts_in_flight", d.startsInFlight(a)).
		Int64("stored_end", a.storedEnd).Int64("unstored_ends", a.seenEnd-a.storedEnd).
		Msg("worker has started again under its ID")
	a.restarts++
	a.restartedAt = bootclock.Now()
	a.seenEnd, a.storedEnd, a.deadline = 0, 0, 0
	a.pace, a.pacedAt = fullPace, time.Time{}
	clear(a.unclaimedEnds)
	clear(a.unclaimedRuns)
	d.forgetAdvice(a)
	a.clockAt, a.contacted, a.moreEnds = 0, false, false
}

// startsInFlight returns the number of the worker's runs of which a start may not have been answered yet. Callers hold
// mu.
func (d *Dispatcher) startsInFlight(a *agent) int {
	n := 0
	for _, r := range a.runs {
		if r.Phase == workload.RunAssigned && d.ordersInFlight[r] {
			n++
		}
	}
	return n
}

// maxLoggedRuns bounds the runs that a log line names.
const maxLoggedRuns = 20

// runNames returns the names of the worker's runs for the log, at most maxLoggedRuns. Callers hold mu.
func (a *agent) runNames() []string {
	names := make([]string, 0, min(len(a.runs), maxLoggedRuns))
	for key := range a.runs {
		if len(names) == maxLoggedRuns {
			break
		}
		names = append(names, fmt.Sprintf("%s run %d", key.task, key.number))
	}
	slices.Sort(names)
	return names
}

// dropRuns drops all runs of a worker on which none of them is running any more. Callers hold mu.
func (d *Dispatcher) dropRuns(a *agent, why string) {
	if len(a.runs) == 0 {
		return
	}
	inFlight := d.startsInFlight(a)
	d.Log.Info().Str("event", "runs_lost").Str("worker", a.id).Int64("incarnation", a.incarnation).
		Int("runs", len(a.runs)).Int("starts_in_flight", inFlight).Strs("tasks", a.runNames()).Str("why", why).
		Msg("runs of a worker are lost")
	d.counters.runsLost.Add(int64(len(a.runs)))
	d.counters.startsLost.Add(int64(inFlight))
	for _, r := range a.runs {
		d.dropLostRun(a, r)
	}
}

// dropLostRun drops a run whose worker has not listed an end of it, but which cannot be running any more unless another
// leader has begun. If it may never have started, the other members of its gang would wait for it. Callers hold mu.
func (d *Dispatcher) dropLostRun(a *agent, r *workload.Run) {
	if r.Task.Step.Spec.Gang && r.Phase == workload.RunAssigned {
		defer d.stopGang(r.GangRuns())
	}
	r.Task.LostAt = d.now()
	d.dropRun(a, r)
}

// dropRun drops a run that is known not to be running. Callers hold mu.
func (d *Dispatcher) dropRun(a *agent, r *workload.Run) {
	r.GivenUp = true
	d.detach(a, r)
	r.Task.Remove(r)
	if j := d.jobs[r.Task.Step.Job.ID]; j != nil {
		d.markChanged(j)
	}
}

// expireLeases drops the runs of workers that have been silent for longer than any lease they may hold. Callers hold
// mu.
func (d *Dispatcher) expireLeases() {
	now := bootclock.Now()
	for id, a := range d.agents {
		if a.unchecked && d.leaseExpired(a, now) {
			d.endCheck(a, checkExpired)
		}
		if len(a.runs) == 0 {
			if a.entry == nil && !a.renewing && !a.unchecked && len(a.unclaimedRuns) == 0 && a.seenEnd == a.storedEnd {
				d.forgetAdvice(a)
				delete(d.agents, id)
			}
			continue
		}
		if d.leaseExpired(a, now) && !d.entryFresh(a, now) {
			d.dropRuns(a, "its lease has expired")
		}
	}
}

// entryFresh reports whether a silent worker still writes its entry, so that only the connection to it is broken.
// Such a worker ends runs whose lease has expired, and lists the outcome of each run once it can be reached; until
// then some of them may be done. Callers hold mu.
func (d *Dispatcher) entryFresh(a *agent, now time.Duration) bool {
	if a.entry == nil || a.silentSince == 0 || now-a.silentSince > maxAliveSilence {
		return false
	}
	return now-a.entryAt < maxMissedEntries*d.Bounds.Heartbeat
}

// leaseExpired reports whether nothing can run at a worker any more. For a worker that answers, its reports list its
// runs, and no lease counts as expired.
func (d *Dispatcher) leaseExpired(a *agent, now time.Duration) bool {
	if a.contacted && a.entry != nil && a.silentSince == 0 {
		return false
	}
	if a.contacted && a.clockAt != 0 {
		minClock := a.clock + int64(float64((now-a.clockAt).Milliseconds())*(1-maxClockDrift))
		return minClock > a.deadline+leaseMargin.Milliseconds()
	}
	longest := storeContactTimeout + min(leaseDuration, d.Bounds.MaxLease)
	longest += time.Duration(float64(longest)*maxClockDrift) + leaseMargin
	return now-d.fencedAt > longest
}
