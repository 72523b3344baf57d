package dispatch

import (
	"context"
	"errors"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/sleep"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

const (
	// orderTimeout bounds one order to a worker. A sound worker answers within a few milliseconds.
	orderTimeout = 300 * time.Millisecond
	// maxStartAttempts is how often a start without an answer is sent before it is withdrawn.
	maxStartAttempts = 3
	// stopRetryDelay is the delay between two attempts of a stop.
	stopRetryDelay = 150 * time.Millisecond
	// strayStopInterval is the shortest interval between two stops of the same unassigned run.
	strayStopInterval = 500 * time.Millisecond
)

// sendStart starts a run at its worker. Callers hold mu.
func (d *Dispatcher) sendStart(r *workload.Run) {
	a := d.agent(r.Worker)
	r.Released = true
	if d.ordersInFlight[r] {
		return
	}
	d.ordersInFlight[r] = true
	go d.start(a, r)
}

// start sends one start until its outcome is known or it has to be withdrawn.
func (d *Dispatcher) start(a *agent, r *workload.Run) {
	defer d.orderEnded(r)
	select {
	case a.orders <- struct{}{}:
		defer func() { <-a.orders }()
	case <-d.ctx.Done():
		return
	}
	unknown := r.Inherited
	for try := 1; d.ctx.Err() == nil; try++ {
		prepared := bootclock.Now()
		to, s, ok := d.nextStart(a, r, try > 1)
		if !ok {
			return
		}
		ctx, cancel := callContext(d.ctx, prepared, d.lag.timeout(orderTimeout))
		sent := bootclock.Now()
		_, err := d.Workers.Start(ctx, to, s)
		cancel()
		if d.ctx.Err() != nil {
			return
		}
		d.applyMismatch(a, to, err, sent)
		if err != nil && !errors.Is(err, worker.ErrUnknown) || err == nil || try == maxStartAttempts {
			d.applyStartOutcome(a, r, err, unknown)
			return
		}
		unknown = true
	}
}

// errCallTooLate means that a call was not sent because it was prepared too long ago.
var errCallTooLate = errors.New("dispatch: the call was prepared too long ago")

// callContext returns the context of a call to a worker that was prepared at the given boot clock. A leader that was
// paused since then, for however long and with whatever timers, does not send the call: the decision behind it may have
// been overtaken, and a worker that has restarted knows neither of later runs nor of a later term.
func callContext(
	ctx context.Context, prepared, timeout time.Duration,
) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	return worker.WithSendCheck(ctx, func() error {
		if bootclock.Now() > prepared+timeout {
			return errCallTooLate
		}
		return ctx.Err()
	}), cancel
}

// orderEnded records that no order for the run is in flight, and sends a stop if one was requested in the meantime.
func (d *Dispatcher) orderEnded(r *workload.Run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.ordersInFlight, r)
	if d.ctx.Err() != nil {
		return // no order is sent after the end of the term
	}
	if r.Phase == workload.RunStopping && r.StopAckedAt.IsZero() && d.attached(r) {
		d.stopRun(r, "its order has ended")
	}
}

// attached reports whether the run is still attached to its worker. Callers hold mu.
func (d *Dispatcher) attached(r *workload.Run) bool {
	a := d.agents[r.Worker]
	return a != nil && a.runs[runKey{r.Task.Name(), r.Number}] == r
}

// nextStart prepares one attempt. It reports false if the run must not be started any more.
func (d *Dispatcher) nextStart(a *agent, r *workload.Run, tried bool) (worker.Address, worker.Start, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := r.Task
	if r.Phase != workload.RunAssigned || !d.attached(r) {
		return worker.Address{}, worker.Start{}, false
	}
	if r.Incarnation != 0 && r.Incarnation != a.incarnation {
		return worker.Address{}, worker.Start{}, false // a start is meant for one incarnation; the next report settles it
	}
	if d.evacuating(a) {
		d.withdrawEvacuated(a, r, r.Inherited || tried)
		return worker.Address{}, worker.Start{}, false
	}
	deadline := int64(0)
	if d.mayStartOn(a) {
		deadline = d.lease(a)
	}
	if deadline == 0 || t.Step.Job.State.Ended() || t.Step.Spec.Gang && !r.GangComplete() {
		// Without a lease the start cannot be sent, and a member of a gang waits in vain if another one has
		// ended. An earlier attempt may still be carried out.
		d.withdraw(a, r, r.Inherited || tried)
		return worker.Address{}, worker.Start{}, false
	}
	r.Incarnation = a.incarnation
	return a.address(), worker.Start{
		Task: t.Name(), Run: r.Number, Spec: t.Step.Job.Spec.Spec, DeadlineMillis: deadline, FencingToken: d.Token,
		Checkpoint: t.ResumeFrom(), Ticket: r.Ticket,
	}, true
}

// mayStartOn reports whether starts may be sent to the worker's present incarnation. Its kind has to be known, and the
// store must have accepted an append since its first report: if another leader had begun by then, it would have started
// the task elsewhere, and an incarnation that it has not reached does not know its fencing token. Callers hold mu.
func (d *Dispatcher) mayStartOn(a *agent) bool {
	return a.entry != nil && a.kindKnown() && d.lastStored >= a.incarnationAt
}

// applyStartOutcome applies the outcome of a start. unknown means that an earlier attempt may still be carried out.
func (d *Dispatcher) applyStartOutcome(a *agent, r *workload.Run, err error, unknown bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if err == nil {
		d.counters.starts.Add(1)
		d.noteStarted(r.Task.Step.Job)
		if r.GivenUp {
			d.noteLateStart(a, r)
		}
		if r.Phase == workload.RunAssigned {
			r.Phase = workload.RunActive
			r.ActiveSince = now
			a.wakeRenewal()
		}
		return
	}
	d.counters.startsRefused.Add(1)
	d.Log.Info().Str("event", "start_failed").Str("task", r.Task.Name()).Int("run", r.Number).Str("worker", a.id).
		Err(err).Bool("unknown", unknown).Msg("task did not start")
	var refused *worker.RefusedError
	switch {
	case errors.As(err, &refused):
		d.applyStartRefusal(a, r, refused)
	case errors.Is(err, worker.ErrOtherWorker):
		a.health.backOff(now, unreachableBackoff)
		if !d.attached(r) {
			return // dropped with the worker's other runs
		}
	case errors.Is(err, worker.ErrOtherIncarnation):
		// Nothing was sent, but an earlier attempt may have been carried out.
	case errors.Is(err, worker.ErrNotSent), errors.Is(err, worker.ErrUnhealthy):
		a.health.backOff(now, unreachableBackoff)
	default:
		a.health.backOff(now, unreachableBackoff)
		unknown = true
	}
	d.withdraw(a, r, unknown)
}

// noteLateStart records that a worker has started a run that is no longer assigned to it. Callers hold mu.
func (d *Dispatcher) noteLateStart(a *agent, r *workload.Run) {
	d.counters.lateStarts.Add(1)
	d.Log.Warn().Str("event", "late_start").Str("task", r.Task.Name()).Int("run", r.Number).Str("worker", a.id).
		Int64("incarnation", a.incarnation).Msg("worker has started a run that had been given up")
}

// applyStartRefusal applies a worker's refusal of a start. Callers hold mu.
func (d *Dispatcher) applyStartRefusal(a *agent, r *workload.Run, refused *worker.RefusedError) {
	now := d.now()
	switch refused.Reason {
	case worker.RefusedFence:
		d.endTermFenced(a)
	case worker.RefusedRoom:
		a.health.backOff(now, fullBackoff)
	case worker.RefusedTicket:
		r.Task.Step.Job.NeedsTicket = true // the submission may be a record of an earlier version
		delete(d.advice, stepName(r.Task.Step))
	case worker.RefusedLate:
		if r.Incarnation == a.incarnation {
			a.clock, a.clockAt = refused.ClockMillis, bootclock.Now()
		}
	}
}

// withdraw withdraws a run that is not known to have started. If an attempt may still be carried out, a stop has to
// prevent it first. Callers hold mu.
func (d *Dispatcher) withdraw(a *agent, r *workload.Run, mayStart bool) {
	if r.Task.Step.Spec.Gang {
		defer d.stopGang(r.GangRuns())
	}
	if !mayStart && r.Phase == workload.RunAssigned {
		d.dropRun(a, r)
		return
	}
	d.stopRun(r, "its start is withdrawn")
}

// stopGang stops the other members of a gang of which one is not started: they would wait for it until they give up.
// Callers hold mu.
func (d *Dispatcher) stopGang(others []*workload.Run) {
	for _, r := range others {
		if r.Phase != workload.RunStopping {
			d.stopRun(r, "a member of its gang does not start")
		}
	}
}

// stopRun stops a run, or prevents its start. The run is removed when the worker lists its end, when the worker has
// acknowledged the stop and does not list the run, or when the lease has expired. Callers hold mu.
func (d *Dispatcher) stopRun(r *workload.Run, why string) {
	a := d.agent(r.Worker)
	if !r.Released {
		d.dropRun(a, r)
		return
	}
	if r.Phase != workload.RunStopping {
		r.Phase = workload.RunStopping
		d.Log.Info().Str("event", "run_stopping").Str("task", r.Task.Name()).Int("run", r.Number).
			Str("worker", r.Worker).Str("why", why).Bool("at_work", r.Percent >= 100).Msg("stopping run")
	}
	if d.ordersInFlight[r] || !r.StopAckedAt.IsZero() || d.ctx == nil {
		return // the order in flight has to end first
	}
	d.ordersInFlight[r] = true
	go d.stopLoop(a, r)
}

// stopLoop sends a stop until the worker acknowledges it or the run has been removed.
func (d *Dispatcher) stopLoop(a *agent, r *workload.Run) {
	defer d.orderEnded(r)
	name := r.Task.Name()
	for d.ctx.Err() == nil {
		d.mu.Lock()
		gone := !d.attached(r)
		to := a.address()
		d.mu.Unlock()
		if gone {
			return
		}
		if to.Address != "" && d.sendStop(a, to, name, r) {
			return
		}
		sleep.For(d.ctx, stopRetryDelay)
	}
}

// sendStop sends one stop, and reports whether no further attempt is needed.
func (d *Dispatcher) sendStop(a *agent, to worker.Address, name string, r *workload.Run) bool {
	ctx, cancel := callContext(d.ctx, bootclock.Now(), d.lag.timeout(orderTimeout))
	sent := bootclock.Now()
	err := d.Workers.Stop(ctx, to, name, r.Number, d.Token)
	cancel()
	d.applyMismatch(a, to, err, sent)
	d.mu.Lock()
	defer d.mu.Unlock()
	var refused *worker.RefusedError
	switch {
	case err == nil && to.Incarnation != a.incarnation:
		return false // a former incarnation has acknowledged it
	case err == nil:
		r.StopAckedAt = d.now()
		a.wakeRenewal()
		return true
	case errors.As(err, &refused) && refused.Reason == worker.RefusedFence:
		d.endTermFenced(a)
		return true
	}
	return false
}

// stopStray stops a run that is not assigned to the worker. Callers hold mu.
func (d *Dispatcher) stopStray(a *agent, key runKey) {
	now := bootclock.Now()
	if last, ok := a.strayStops[key]; ok && now-last < strayStopInterval {
		return
	}
	a.strayStops[key] = now
	d.counters.strays.Add(1)
	d.Log.Info().Str("event", "stray_run").Str("task", key.task).Int("run", key.number).Str("worker", a.id).
		Msg("stopping unassigned run")
	to := a.address()
	go func() {
		ctx, cancel := callContext(d.ctx, now, d.lag.timeout(orderTimeout))
		defer cancel()
		sent := bootclock.Now()
		if err := d.Workers.Stop(ctx, to, key.task, key.number, d.Token); err != nil {
			d.applyMismatch(a, to, err, sent)
			d.Log.Info().Str("event", "stop_failed").Str("task", key.task).Str("worker", a.id).Err(err).
				Msg("stop of an unassigned run failed")
		}
	}()
}

// stopMovableRuns stops the runs of a worker that is about to leave if they would be lost there and can continue
// elsewhere: those of long-running tasks and of tasks with checkpoints. Callers hold mu.
func (d *Dispatcher) stopMovableRuns(a *agent) {
	for _, r := range a.runs {
		spec := r.Task.Step.Spec
		if r.Phase == workload.RunActive && (spec.LongRunning || spec.Checkpoints) && !spec.Gang {
			d.stopRun(r, "its worker is leaving")
		}
	}
}
