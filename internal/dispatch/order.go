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
	// orderTimeout bounds one order. A sound worker answers within a few milliseconds.
	orderTimeout = 300 * time.Millisecond
	// startTries is how often a start without an answer is sent before it is withdrawn.
	startTries = 3
	// stopRetry is the pause between two tries of a stop.
	stopRetry = 150 * time.Millisecond
	// strayPause is the least time between two stops of one run that should not be there.
	strayPause = 500 * time.Millisecond
)

// send starts a run at its worker. Callers hold mu.
func (d *Dispatcher) send(r *workload.Run) {
	a := d.agent(r.Worker)
	r.Released = true
	if d.sending[r] {
		return
	}
	d.sending[r] = true
	go d.start(a, r)
}

// start sends one start until its outcome is known or it has to be withdrawn.
func (d *Dispatcher) start(a *agent, r *workload.Run) {
	defer d.sent(r)
	select {
	case a.orders <- struct{}{}:
		defer func() { <-a.orders }()
	case <-d.ctx.Done():
		return
	}
	unknown := r.Inherited
	for try := 1; d.ctx.Err() == nil; try++ {
		to, s, ok := d.nextStart(a, r, try > 1)
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(d.ctx, d.lag.timeout(orderTimeout))
		_, err := d.Workers.Start(ctx, to, s)
		cancel()
		if d.ctx.Err() != nil {
			return
		}
		if err != nil && !errors.Is(err, worker.ErrUnknown) || err == nil || try == startTries {
			d.startOutcome(a, r, err, unknown)
			return
		}
		unknown = true
	}
}

// sent notes that no order for the run is on its way.
func (d *Dispatcher) sent(r *workload.Run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.sending, r)
	if r.Phase == workload.RunStopping && r.StopAckedAt.IsZero() && d.counts(r) {
		d.stopRun(r, "its order has ended")
	}
}

// counts reports whether the run still counts at its worker. Callers hold mu.
func (d *Dispatcher) counts(r *workload.Run) bool {
	a := d.agents[r.Worker]
	return a != nil && a.runs[runKey{r.Task.Name(), r.Number}] == r
}

// nextStart prepares one try. It reports false if the run is not to be started any more.
func (d *Dispatcher) nextStart(a *agent, r *workload.Run, tried bool) (worker.Address, worker.Start, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := r.Task
	if r.Phase != workload.RunAssigned || !d.counts(r) {
		return worker.Address{}, worker.Start{}, false
	}
	deadline := d.lease(a)
	if a.entry == nil || deadline == 0 || t.Step.Job.State.Ended() {
		// Without an address or a lease the start cannot be sent. An earlier try may still be carried out.
		d.withdraw(a, r, r.Inherited || tried)
		return worker.Address{}, worker.Start{}, false
	}
	return a.address(), worker.Start{
		Task: t.Name(), Run: r.Number, Spec: t.Step.Job.Spec.Spec, DeadlineMillis: deadline, FencingToken: d.Token,
		Checkpoint: t.Checkpoint, Ticket: r.Ticket,
	}, true
}

// startOutcome applies the outcome of a start. unknown means that an earlier try may still be carried out.
func (d *Dispatcher) startOutcome(a *agent, r *workload.Run, err error, unknown bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if err == nil {
		d.counters.starts.Add(1)
		if r.Phase == workload.RunAssigned {
			r.Phase = workload.RunActive
			r.ActiveSince = now
			a.nudge()
		}
		return
	}
	d.counters.startsRefused.Add(1)
	d.Log.Info().Str("event", "start_failed").Str("task", r.Task.Name()).Int("run", r.Number).Str("worker", a.id).Err(err).Bool("unknown", unknown).Msg("task did not start")
	var refused *worker.RefusedError
	switch {
	case errors.As(err, &refused):
		d.startRefused(a, r, refused)
	case errors.Is(err, worker.ErrOtherWorker):
		d.lose(a, "another worker has its address")
		a.health.avoid(now, avoidUnreachable)
		return
	case errors.Is(err, worker.ErrNotSent), errors.Is(err, worker.ErrUnhealthy):
		a.health.avoid(now, avoidUnreachable)
	default:
		a.health.avoid(now, avoidUnreachable)
		unknown = true
	}
	d.withdraw(a, r, unknown)
}

// startRefused applies a worker's refusal. Callers hold mu.
func (d *Dispatcher) startRefused(a *agent, r *workload.Run, refused *worker.RefusedError) {
	now := d.now()
	switch refused.Reason {
	case worker.RefusedFence:
		d.outranked(a)
	case worker.RefusedRoom:
		a.health.avoid(now, avoidFull)
	case worker.RefusedTicket:
		delete(d.advice, stepName(r.Task.Step))
	case worker.RefusedLate:
		a.clock, a.clockAt = refused.ClockMillis, bootclock.Now()
	}
}

// withdraw takes back a run that is not known to have started. If a try may still be carried out, a stop has to bar it first.
// Callers hold mu.
func (d *Dispatcher) withdraw(a *agent, r *workload.Run, mayStart bool) {
	if !mayStart && r.Phase == workload.RunAssigned {
		d.dropRun(a, r)
		return
	}
	d.stopRun(r, "its start is withdrawn")
}

// stopRun stops a run, or bars its start. The run goes when the worker lists its end, has acknowledged the stop and does not
// list the run, or when the lease has expired. Callers hold mu.
func (d *Dispatcher) stopRun(r *workload.Run, why string) {
	a := d.agent(r.Worker)
	if !r.Released {
		d.dropRun(a, r)
		return
	}
	if r.Phase != workload.RunStopping {
		r.Phase = workload.RunStopping
		d.Log.Info().Str("event", "run_stopping").Str("task", r.Task.Name()).Int("run", r.Number).Str("worker", r.Worker).Str("why", why).
			Bool("at_work", r.Percent >= 100).Msg("a run is being stopped")
	}
	if d.sending[r] || !r.StopAckedAt.IsZero() || d.ctx == nil {
		return // the order under way ends first
	}
	d.sending[r] = true
	go d.stopLoop(a, r)
}

// stopLoop sends a stop until the worker acknowledges it or the run is gone.
func (d *Dispatcher) stopLoop(a *agent, r *workload.Run) {
	defer d.sent(r)
	name := r.Task.Name()
	for d.ctx.Err() == nil {
		d.mu.Lock()
		gone := !d.counts(r)
		to := a.address()
		d.mu.Unlock()
		if gone {
			return
		}
		if to.Address != "" && d.stopAt(a, to, name, r) {
			return
		}
		sleep.For(d.ctx, stopRetry)
	}
}

// stopAt sends one stop and reports whether it settles the matter.
func (d *Dispatcher) stopAt(a *agent, to worker.Address, name string, r *workload.Run) bool {
	ctx, cancel := context.WithTimeout(d.ctx, d.lag.timeout(orderTimeout))
	err := d.Workers.Stop(ctx, to, name, r.Number, d.Token)
	cancel()
	d.mu.Lock()
	defer d.mu.Unlock()
	var refused *worker.RefusedError
	switch {
	case err == nil:
		r.StopAckedAt = d.now()
		a.nudge()
		return true
	case errors.As(err, &refused) && refused.Reason == worker.RefusedFence:
		d.outranked(a)
		return true
	case errors.Is(err, worker.ErrOtherWorker):
		d.lose(a, "another worker has its address")
		return true
	}
	return false
}

// stopStray stops a run that should not be at the worker. Callers hold mu.
func (d *Dispatcher) stopStray(a *agent, key runKey) {
	now := bootclock.Now()
	if last, ok := a.stray[key]; ok && now-last < strayPause {
		return
	}
	a.stray[key] = now
	d.counters.strays.Add(1)
	d.Log.Info().Str("event", "stray_run").Str("task", key.task).Int("run", key.number).Str("worker", a.id).Msg("a run that is not assigned is stopped")
	to := a.address()
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, d.lag.timeout(orderTimeout))
		defer cancel()
		if err := d.Workers.Stop(ctx, to, key.task, key.number, d.Token); err != nil {
			d.Log.Info().Str("event", "stop_failed").Str("task", key.task).Str("worker", a.id).Err(err).Msg("a run that is not assigned could not be stopped yet")
		}
	}()
}

// evacuate moves what would be lost from a worker that is about to leave: tasks that last, and tasks that can resume. Callers
// hold mu.
func (d *Dispatcher) evacuate(a *agent) {
	for _, r := range a.runs {
		spec := r.Task.Step.Spec
		if r.Phase == workload.RunActive && (spec.LongRunning || spec.Checkpoints) && !spec.Gang {
			d.stopRun(r, "its worker is leaving")
		}
	}
}
