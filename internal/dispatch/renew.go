package dispatch

import (
	"context"
	"errors"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/relay"
	"pollenlead/internal/sleep"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

// renew keeps one renewal open at the worker until ctx is done.
func (d *Dispatcher) renew(ctx context.Context, a *agent) {
	for ctx.Err() == nil {
		prepared := bootclock.Now()
		to, h, ok := d.nextHold(a)
		if !ok {
			return
		}
		sent := bootclock.Now()
		held, end := d.interruptible(ctx, a)
		report, err := d.hold(held, to, h, prepared)
		end()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !errors.Is(err, relay.ErrDelegate) { // a failed delegate does not show that the worker is silent
				d.applyMismatch(a, to, err, sent)
				d.recordSilence(a, err, sent)
			}
			sleep.For(ctx, holdRetryDelay)
			continue
		}
		d.confirmEntry(a, to.Address, report.Incarnation)
		waiting := d.applyReport(a, report, sent)
		sleep.For(ctx, minHoldInterval)
		if waiting {
			a.awaitStored(ctx, pendingEndsInterval)
		}
	}
}

// awaitStored waits until the worker's ends are stored, at most for limit.
func (a *agent) awaitStored(ctx context.Context, limit time.Duration) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-a.notify:
	case <-t.C:
	case <-ctx.Done():
	}
}

// hold sends a renewal that was prepared at the given boot clock.
func (d *Dispatcher) hold(
	ctx context.Context, to worker.Address, h worker.Hold, prepared time.Duration,
) (worker.Report, error) {
	ctx, cancel := callContext(ctx, prepared, h.Wait+d.lag.timeout(holdAnswerTimeout))
	defer cancel()
	return d.Workers.Hold(ctx, to, h)
}

// interruptible returns the context of a worker's renewal, which treatAsSilent cancels. The renewal has to call end.
func (d *Dispatcher) interruptible(ctx context.Context, a *agent) (held context.Context, end context.CancelFunc) {
	held, cancel := context.WithCancel(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	a.interrupt = cancel
	return held, cancel
}

// treatAsSilent records evidence from the given boot clock that the worker's known incarnation is over. Nothing is
// assigned to the worker until it has answered a renewal that was sent after that. An open renewal is given up, because
// only a new one reaches the next incarnation. Callers hold mu.
func (a *agent) treatAsSilent(at time.Duration) {
	a.missingAt = max(a.missingAt, at)
	if a.silentSince != 0 {
		return // the next renewal does not wait
	}
	a.silentSince = bootclock.Now()
	if a.interrupt != nil {
		a.interrupt()
	}
}

// applyMismatch applies the error of a call, sent at the given boot clock, that found another worker or another
// incarnation at the address.
func (d *Dispatcher) applyMismatch(a *agent, to worker.Address, err error, sent time.Duration) {
	switch {
	case errors.Is(err, worker.ErrOtherWorker):
		d.applyOtherWorker(a, to.Address, sent)
	case errors.Is(err, worker.ErrOtherIncarnation):
		d.mu.Lock()
		defer d.mu.Unlock()
		if to.Incarnation == a.incarnation { // the restart is not known yet
			a.treatAsSilent(bootclock.Now())
		}
	}
}

// nextHold prepares the next renewal.
func (d *Dispatcher) nextHold(a *agent) (worker.Address, worker.Hold, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.entry == nil {
		return worker.Address{}, worker.Hold{}, false
	}
	select { // discard a wake-up from before this renewal
	case <-a.notify:
	default:
	}
	h := worker.Hold{
		FencingToken: d.Token, Wait: holdWait,
		Seen: a.seenEnd, Incarnation: a.incarnation, Detail: a.fillers > 0,
	}
	switch {
	case len(a.runs) == 0:
		h.Wait = idleHoldWait
	case a.endsSoon():
		h.Wait = busyHoldWait
	}
	// The lease of a worker that does not answer is not extended: each call without an answer may still be carried
	// out, and would postpone the time from which its runs count as lost.
	if len(a.runs) > 0 && a.silentSince == 0 {
		h.DeadlineMillis = d.lease(a)
	}
	if a.mayAcknowledge() {
		h.Acknowledged = a.storedEnd
	}
	if !a.contacted || a.silentSince != 0 || a.seenEnd > a.storedEnd || h.Acknowledged < a.storedEnd {
		h.Wait = 0
	}
	return a.holdAddress(), h, true
}

// mayAcknowledge reports whether a renewal may acknowledge ends. A worker that has started again under its ID since its
// last report would take their numbers for those of its own ends, and forget ends that nobody has read. So that its
// restart is noticed first, nothing is acknowledged after an unanswered renewal or an old report. Callers hold mu.
func (a *agent) mayAcknowledge() bool {
	return a.contacted && a.silentSince == 0 && bootclock.Now()-a.reportedAt < maxAcknowledgementAge
}

// endsSoon reports whether the worker has a started run that will end by itself. Callers hold mu.
func (a *agent) endsSoon() bool {
	for _, r := range a.runs {
		if !r.Task.Step.Spec.LongRunning && r.Phase != workload.RunAssigned {
			return true
		}
	}
	return false
}

// recordSilence records a renewal without an answer.
func (d *Dispatcher) recordSilence(a *agent, err error, sent time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var refused *worker.RefusedError
	if errors.As(err, &refused) && refused.Reason == worker.RefusedFence {
		d.endTermFenced(a)
		return
	}
	if a.silentSince == 0 {
		a.silentSince = sent
		if a.cordoned && len(a.runs) == 0 {
			return // its instance was ordered away, which ends the worker
		}
		d.Log.Info().Str("event", "worker_silent").Str("worker", a.id).Err(err).Int("runs", len(a.runs)).
			Msg("worker does not answer")
	}
}
