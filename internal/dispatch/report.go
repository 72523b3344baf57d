package dispatch

import (
	"slices"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

// applyReport applies a worker's report. It reports whether ends wait to be stored.
func (d *Dispatcher) applyReport(a *agent, r worker.Report, sent time.Duration) (waiting bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	granted := min(leaseDuration, d.Bounds.MaxLease)
	if r.Incarnation != 0 && r.Incarnation != a.incarnation {
		if a.incarnation != 0 {
			if sent < a.restartedAt {
				return a.seenEnd > a.storedEnd // the worker may have answered before it restarted
			}
			d.noteRestart(a, r.Incarnation)
			granted = d.Bounds.MaxLease // a deadline on its earlier clock may have arrived after the restart
		}
		a.incarnation, a.incarnationAt = r.Incarnation, bootclock.Now()
	}
	first := !a.contacted
	a.contacted, a.reportedAt, a.askedAt = true, bootclock.Now(), max(a.askedAt, sent)
	a.moreEnds = r.MoreEnds
	if !r.MoreEnds { // an end that is not listed yet may be of a run that is not stored
		d.endCheck(a, checkAnswered)
	}
	a.clock, a.clockAt = r.ClockMillis, bootclock.Now()
	if first {
		// An earlier leader may have renewed the lease up to this moment.
		d.markAllDirty()
		a.deadline = max(a.deadline, r.ClockMillis+granted.Milliseconds()+leaseMargin.Milliseconds())
		d.markDirty(a)
		d.signal()
	}
	if a.silentSince != 0 && (first || sent >= a.missingAt) { // not an answer from before it was missing
		d.Log.Info().Str("event", "worker_answers").Str("worker", a.id).
			Dur("silent", bootclock.Now()-a.silentSince).Msg("worker answers again")
		a.silentSince = 0
		d.markDirty(a)
	}
	for _, e := range r.Ended {
		d.applyEnd(a, e)
	}
	d.reconcileRuns(a, r, sent)
	d.paceFillers(a, d.now())
	return a.seenEnd > a.storedEnd
}

// applyEnd applies one end that a worker lists. Callers hold mu.
func (d *Dispatcher) applyEnd(a *agent, e worker.End) {
	if e.Number <= a.seenEnd {
		return
	}
	a.seenEnd = e.Number
	d.signal()
	d.settleEnd(a, unclaimedEnd{End: e, reported: bootclock.Now()})
}

// settleEnd applies an end to its task. If the task is not known yet, the end stays unclaimed. Callers hold mu.
func (d *Dispatcher) settleEnd(a *agent, e unclaimedEnd) {
	id, k, step, index, err := workload.ParseTaskName(e.Task)
	if err != nil {
		d.Log.Warn().Err(err).Str("event", "bad_end").Str("worker", a.id).
			Msg("worker listed an end with an invalid task name")
		return
	}
	run := a.runs[runKey{e.Task, e.Run}]
	j := d.jobs[id]
	if run != nil {
		d.detach(a, run)
	}
	if run == nil && j != nil {
		d.addReported(j, k)
	}
	if run == nil && d.mayAppear(id, k, e.reported) {
		a.unclaimedEnds[e.Number] = e
		d.Log.Info().Str("event", "end_unclaimed").Str("worker", a.id).Str("task", e.Task).Int("run", e.Run).
			Int64("number", e.Number).Str("how", string(e.Kind)).Msg("worker lists an end of a task that is not known yet")
		return
	}
	if j == nil {
		d.logUnknownEnd(a, e.End, "its job is not known")
		return
	}
	t := j.Task(k, step, index)
	if run != nil {
		t = run.Task
	}
	if t == nil {
		d.logUnknownEnd(a, e.End, "its occurrence is not in progress")
		return
	}
	if run == nil && e.Kind == worker.EndFailed && (e.Run <= t.RestoredRun || slices.Contains(t.FailedRuns, e.Run)) {
		return // the failure is counted, but was not acknowledged
	}
	if e.Kind == worker.EndFailed && !t.Step.Spec.LongRunning {
		t.FailedRuns = append(t.FailedRuns, e.Run)
	}
	now := d.now()
	d.noteStarted(j.Job)
	t.NoteRun(e.Run)
	if run != nil {
		d.recordOutcome(a, run, e.Kind, now)
	}
	d.counters.countRunEnd(e.Kind)
	if e.Kind == worker.EndDone {
		d.Log.Debug().Str("event", "run_ended").Str("task", e.Task).Int("run", e.Run).Str("worker", a.id).
			Str("how", string(e.Kind)).Msg("run ended")
	} else {
		j.failures++
		d.Log.Info().Str("event", "run_ended").Str("task", e.Task).Int("run", e.Run).Str("worker", a.id).
			Str("how", string(e.Kind)).Int("failures", t.Failures).Msg("run ended without being done")
	}
	j.End(t, run, e.Kind, e.Checkpoint, d.attempts(j), now)
	d.markChanged(j)
	if j.State.Ended() {
		d.stopRuns(j)
	}
	if t.Done { // even if its occurrence was the last one and has been removed
		for _, other := range slices.Clone(t.Runs) {
			d.stopRun(other, "another run is done")
		}
	}
}

// reconcileRuns compares the runs that a worker lists with those that are assigned to it. Callers hold mu.
func (d *Dispatcher) reconcileRuns(a *agent, r worker.Report, sent time.Duration) {
	now, asked := d.now(), d.at(sent)
	listed := make(map[runKey]bool, len(r.Running))
	for i := range r.Running {
		x := &r.Running[i]
		key := runKey{x.Task, x.Run}
		listed[key] = true
		run := a.runs[key]
		if run == nil {
			run = d.adoptRun(a, x)
		}
		if run == nil {
			if !d.keepUnclaimedRun(a, x) {
				d.stopStray(a, key)
			}
			continue
		}
		run.Incarnation = a.incarnation
		d.updateRun(run, x, asked, now)
	}
	a.forgetUnlistedRuns(listed)
	if r.MoreEnds {
		return // the ends of missing runs may follow
	}
	for key, run := range a.runs {
		if !listed[key] {
			d.handleMissingRun(a, run, sent)
		}
	}
}

// updateRun applies a worker's status of a run. The status dates from some time after the request was sent, perhaps
// long before now: a process that was paused reads old answers. Callers hold mu.
func (d *Dispatcher) updateRun(run *workload.Run, x *worker.Running, asked, now time.Time) {
	d.noteStarted(run.Task.Step.Job)
	if run.Phase == workload.RunAssigned && run.Released {
		run.Phase = workload.RunActive
		run.ActiveSince = now
	}
	run.Percent, run.SeenAt, run.Load = x.Percent, asked, x.Load
	run.SetCheckpoint(x.Checkpoint, asked)
}

// handleMissingRun handles a run that the worker has listed neither as running nor as ended. Callers hold mu.
func (d *Dispatcher) handleMissingRun(a *agent, run *workload.Run, sent time.Duration) {
	asked := d.at(sent)
	if run.Incarnation != 0 && run.Incarnation != a.incarnation {
		d.dropFormerRun(a, run)
		return
	}
	switch run.Phase {
	case workload.RunAssigned:
		// An earlier leader stored the assignment. The same run is started again, which the worker treats as one
		// start. The start waits until all workers of the pool have answered, because one of them may have a later
		// run of the task that is not stored. It also waits for an append after the first report of the worker's
		// incarnation: the worker may have restarted after a new leader acknowledged the end of the run.
		switch {
		case !run.Released || d.ordersInFlight[run]:
		case run.Inherited && d.mustWithhold(run, d.uncheckedPools()):
			d.withheld[run] = true
		default:
			d.startAgain(a, run)
		}
	case workload.RunActive:
		if asked.After(run.ActiveSince) {
			d.Log.Warn().Str("event", "run_missing").Str("task", run.Task.Name()).Int("run", run.Number).
				Str("worker", a.id).Msg("worker no longer lists a run and listed no end of it")
			d.dropLostRun(a, run)
		}
	case workload.RunStopping:
		switch {
		case run.StopAckedAt.IsZero() || !asked.After(run.StopAckedAt):
		case d.at(a.incarnationAt).After(run.StopAckedAt):
			d.dropLostRun(a, run) // the run may have ended before the worker restarted
		default:
			d.dropRun(a, run) // the acknowledged stop prevents the run, and the worker does not list it
		}
	}
}

// startAgain sends the start of a run that its worker does not list, unless a later run of the task is known. An earlier
// leader started that one only after the end of this run, which a worker that has started again no longer lists. Callers
// hold mu.
func (d *Dispatcher) startAgain(a *agent, run *workload.Run) {
	if run.Inherited && run.Number < run.Task.LastRun {
		d.dropLostRun(a, run)
		return
	}
	d.sendStart(run)
}

// dropFormerRun drops a run that was only ever sent to a former incarnation of its worker. The present one cannot carry
// its start out any more, because an order is sent only on a connection on which its incarnation has answered. Callers
// hold mu.
func (d *Dispatcher) dropFormerRun(a *agent, run *workload.Run) {
	inFlight := run.Phase == workload.RunAssigned && d.ordersInFlight[run]
	d.Log.Info().Str("event", "run_missing").Str("task", run.Task.Name()).Int("run", run.Number).Str("worker", a.id).
		Int64("run_incarnation", run.Incarnation).Int64("incarnation", a.incarnation).Bool("start_in_flight", inFlight).
		Msg("run was sent to a former incarnation of the worker, and the present one does not list it")
	d.counters.runsLost.Add(1)
	if inFlight {
		d.counters.startsLost.Add(1)
	}
	d.dropLostRun(a, run)
}
