package dispatch

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/instances"
	"pollenlead/internal/scheduling"
	"pollenlead/internal/workload"
)

// drain moves long-running tasks away from draining instances, and orders the maintenance of those without runs.
func (w *instanceDriver) drain(ctx context.Context, x *wave) {
	var ready, repeated []string
	for _, id := range x.byDrain() {
		i := x.instances[id]
		switch i.phase {
		case scheduling.MaintenanceDraining:
			switch {
			case !w.isDrained(x, id) || !w.mayOrder(id):
			case i.unanswered: // it counts as down already
				repeated = append(repeated, id)
			default:
				ready = append(ready, id)
			}
		case scheduling.MaintenanceOrdered:
			w.drainAgain(id, i)
		}
	}
	wanted := append(repeated, ready[:min(len(ready), x.mayGoDown())]...)
	w.orderMaintenance(ctx, x, wanted[:w.waveBudget(len(wanted))])
}

// byDrain returns the instances of the wave in the order in which their drains began. Few tasks of a long-running step
// may be away at once, so the drains that began first stop theirs first.
func (x *wave) byDrain() []string {
	return slices.SortedFunc(maps.Keys(x.instances), func(a, b string) int {
		return cmp.Or(cmp.Compare(x.instances[a].drainedFrom, x.instances[b].drainedFrom), cmp.Compare(a, b))
	})
}

// mayGoDown returns the number of further instances that the wave may order now.
func (x *wave) mayGoDown() int {
	down := 0
	for _, i := range x.instances {
		if i.mayBeDown() {
			down++
		}
	}
	return max(x.request.MaxDown-down, 0)
}

// waveBudget returns how many of the wanted orders a wave may send now: half of what the platform's rate limit
// allows, so that waves and moves do not delay each other.
func (w *instanceDriver) waveBudget(wanted int) int {
	n := min(wanted, max(w.orderBudget(bootclock.Now())/2, 1))
	w.orderTokens -= float64(n)
	return n
}

// mayOrder reports whether an order may be sent to an instance of a wave now.
func (w *instanceDriver) mayOrder(id string) bool {
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	return w.orderable(w.listed[id])
}

// drainAgain puts an instance whose order was not answered back into the draining phase: a repeated order must not
// end the tasks that run there now.
func (w *instanceDriver) drainAgain(id string, i *waveInstance) {
	listed := w.listed[id]
	if i.confirmed || bootclock.Now()-i.orderedAt <= orderRetryDelay ||
		w.listedAt <= i.orderedAt || listed.Phase != fleet.InstanceUp {
		return
	}
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	if w.switchedOff(listed) {
		i.phase, i.worker = scheduling.MaintenanceDraining, ""
		return
	}
	if listed.Worker == "" {
		return
	}
	i.phase, i.worker = scheduling.MaintenanceDraining, listed.Worker
	w.d.agent(i.worker).cordoned = true
}

// isDrained stops the runs of a draining instance that may be stopped, and reports whether the order to maintain the
// instance ends no tasks.
func (w *instanceDriver) isDrained(x *wave, id string) bool {
	i := x.instances[id]
	return w.keepsWorker(id, i) && w.drainInstance(i, x.finishAt-bootclock.Now())
}

// keepsWorker reports whether the list shows the draining instance with the worker that is being drained. The order
// names the instance and ends whichever worker it has, so another worker has to be drained, too: it is cordoned, and
// the next step judges its runs. An instance without a worker may get one, unless it is switched off.
func (w *instanceDriver) keepsWorker(id string, i *waveInstance) bool {
	listed := w.listed[id]
	if listed.Worker == i.worker {
		return true
	}
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	if listed.Worker == "" && !w.switchedOff(listed) {
		return false
	}
	w.d.Log.Info().Str("event", "drained_worker_replaced").Str("instance", id).Str("worker", listed.Worker).
		Str("worker_before", i.worker).Msg("instance of a wave has another worker, which is drained instead")
	i.worker = listed.Worker
	if i.worker != "" {
		w.d.agent(i.worker).cordoned = true
	}
	return false
}

// drainInstance stops the runs of a draining instance that may be stopped, and reports whether nothing runs there and
// no end is lost with its worker. Runs that cannot continue elsewhere have to end by themselves within the time left,
// or are stopped if that costs less than an instance that is late.
func (w *instanceDriver) drainInstance(i *waveInstance, left time.Duration) bool {
	if i.worker == "" {
		return true
	}
	d := w.d
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.agent(i.worker)
	if d.termConfirmed() { // otherwise a successor may be stopping others
		w.stopResumable(a)
		w.stopLate(a, left)
	}
	// An earlier leader may have started runs there that are not stored, and only the worker's report shows their ends.
	read := a.contacted || d.leaseExpired(a, bootclock.Now())
	return read && a.vacant()
}

// stopResumable stops the runs that can continue elsewhere from a checkpoint, and the long-running ones that may be out
// of service now. Callers hold the dispatcher's mu.
func (w *instanceDriver) stopResumable(a *agent) {
	for _, r := range a.runs {
		spec := r.Task.Step.Spec
		if r.Phase != workload.RunActive || spec.Gang {
			continue
		}
		if spec.LongRunning && w.mayStop(r.Task) || spec.Checkpoints {
			w.d.stopRun(r, "its instance is to be maintained")
		}
	}
}

// mayStop reports whether a long-running task may be stopped now. Callers hold the dispatcher's mu.
func (w *instanceDriver) mayStop(t *workload.Task) bool {
	return bootclock.Now() >= w.stopsAllowedFrom && scheduling.MayStop(t, w.d.now())
}

// orderMaintenance sends the orders to maintain instances concurrently: one after the other they would delay the
// moves, and leave drained instances idle. The instances are stored as ordered before the orders are sent. Callers hold
// mu.
func (w *instanceDriver) orderMaintenance(ctx context.Context, x *wave, ids []string) {
	if len(ids) == 0 {
		return
	}
	w.setPhases(x, ids, scheduling.MaintenanceOrdered)
	if !w.store(ctx, x) {
		w.setPhases(x, ids, scheduling.MaintenanceDraining)
		return
	}
	ids = w.stillDrained(x, ids)
	outcomes := make([]error, len(ids))
	var sending sync.WaitGroup
	for n, id := range ids {
		x.instances[id].orderedAt = bootclock.Now()
		sending.Go(func() { outcomes[n] = w.maintain(ctx, id, x.request.Number) })
	}
	w.unlocked(sending.Wait)
	for n, id := range ids {
		w.applyOrderOutcome(x, id, outcomes[n])
	}
}

// stillDrained returns the instances that may still be ordered after the append that stored them as ordered, and puts
// the others back into the draining phase. An instance may have got another worker during the append.
func (w *instanceDriver) stillDrained(x *wave, ids []string) []string {
	var drained []string
	for _, id := range ids {
		if w.isDrained(x, id) {
			drained = append(drained, id)
		} else {
			w.setPhases(x, []string{id}, scheduling.MaintenanceDraining)
		}
	}
	return drained
}

// setPhases sets the phase of some instances of a wave.
func (w *instanceDriver) setPhases(x *wave, ids []string, phase scheduling.MaintenancePhase) {
	for _, id := range ids {
		x.instances[id].phase = phase
	}
}

// maintain sends the order to maintain one instance. It may run concurrently, because it uses no field that the
// driver changes.
func (w *instanceDriver) maintain(ctx context.Context, id string, wave int64) error {
	return w.sendOrder(ctx, func(ctx context.Context) error {
		return w.d.Instances.Maintain(ctx, id, wave, w.d.Token)
	})
}

// applyOrderOutcome applies the outcome of a maintenance order.
func (w *instanceDriver) applyOrderOutcome(x *wave, id string, err error) {
	i := x.instances[id]
	var refused *instances.RefusedError
	if errors.As(err, &refused) && refused.Reason == instances.RefusedFence {
		w.d.mu.Lock()
		defer w.d.mu.Unlock()
		w.d.Log.Info().Str("event", "outranked").Str("instance", id).Int64("token", w.d.Token).
			Msg("instance has seen a higher fencing token")
		w.d.stop()
		return
	}
	if errors.Is(err, errUnconfirmed) {
		i.phase = scheduling.MaintenanceDraining
		return
	}
	i.confirmed = err == nil
	if refused == nil && !errors.Is(err, instances.ErrBusy) { // otherwise only an earlier order may be carried out later
		i.unanswered = !i.confirmed
	}
	i.orderedAt = bootclock.Now() // a list that was requested before the answer may show the state before the order
	if i.confirmed {
		w.awaitNextIncarnation(i)
	}
	if i.worker == "" && refused != nil && refused.Reason == instances.RefusedBusy {
		i.phase, i.refusedOff = scheduling.MaintenancePending, true
	}
	w.d.Log.Info().Str("event", "maintenance_ordered").Int64("wave", x.request.Number).Str("instance", id).
		Str("worker", i.worker).Err(err).Msg("maintenance of an instance ordered")
}

// awaitNextIncarnation treats the worker of an instance whose order was answered as silent, so that it is asked again.
// The order has ended its incarnation, unless the maintenance had been done before.
func (w *instanceDriver) awaitNextIncarnation(i *waveInstance) {
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	if a := w.d.agents[i.worker]; a != nil {
		i.incarnation = a.incarnation
		a.treatAsSilent(i.orderedAt)
	}
}

// answeredAfterOrder reports whether the incarnation that the worker had when the order was answered has answered
// since. An order ends what runs on the instance at once, so the maintenance had been done before.
func (w *instanceDriver) answeredAfterOrder(i *waveInstance) bool {
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	a := w.d.agents[i.worker]
	return a != nil && i.incarnation != 0 && a.incarnation == i.incarnation && a.askedAt > i.orderedAt
}

// uncordon lets tasks start again at an instance that is not maintained after all.
func (w *instanceDriver) uncordon(id string, i *waveInstance) {
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	if a := w.d.agents[i.worker]; a != nil {
		a.cordoned = false
	}
	w.d.Log.Info().Str("event", "instance_gone").Str("instance", id).Msg("instance of the wave was removed")
}

// uncordonMaintained lets tasks start again at the listed worker of an instance that is back from its maintenance. The
// worker is cordoned if the maintenance had been done before the order, or if it is back under its ID.
func (w *instanceDriver) uncordonMaintained(id string) {
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	if _, moving := w.arrivals[id]; !moving {
		w.uncordonListed(id, "its maintenance is done")
	}
}

// uncordonListed lets tasks start again at the listed worker of an instance, unless a wave drains or maintains the
// instance. Callers hold the dispatcher's mu.
func (w *instanceDriver) uncordonListed(id, why string) {
	a := w.d.agents[w.listed[id].Worker]
	if a == nil || !a.cordoned || !w.notInWave(id) {
		return
	}
	a.cordoned = false
	w.d.Log.Info().Str("event", "worker_uncordoned").Str("instance", id).Str("worker", a.id).Str("why", why).
		Msg("worker of an instance gets tasks again")
	w.d.markDirty(a)
	w.d.signal()
}
