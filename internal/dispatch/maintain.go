package dispatch

import (
	"context"
	"errors"
	"sync"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/instances"
	"pollenlead/internal/scheduling"
	"pollenlead/internal/workload"
)

// drain moves long-running tasks away from draining instances, and orders the maintenance of those where nothing runs.
func (w *instanceDriver) drain(ctx context.Context, x *wave) {
	var ready []string
	for id, i := range x.instances {
		switch i.phase {
		case scheduling.MaintenanceDraining:
			if w.empty(i) && w.mayOrder(id) {
				ready = append(ready, id)
			}
		case scheduling.MaintenanceOrdered:
			w.repeat(id, i)
		}
	}
	w.order(ctx, x, ready[:w.waveBudget(len(ready))])
}

// waveBudget returns how many of the wanted orders a wave may give now: half of what the platform's rate allows, so that a wave and the moves
// do not hold back each other.
func (w *instanceDriver) waveBudget(wanted int) int {
	n := min(wanted, max(w.orderBudget(bootclock.Now())/2, 1))
	w.orderTokens -= float64(n)
	return n
}

// mayOrder reports whether an instance of a wave may get an order now.
func (w *instanceDriver) mayOrder(id string) bool {
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	return w.orderable(w.listed[id])
}

// repeat drains an instance again whose order was not answered: what runs there now must not end by a repeated order.
func (w *instanceDriver) repeat(id string, i *waveInstance) {
	listed := w.listed[id]
	if i.confirmed || bootclock.Now()-i.orderedAt <= orderAgainAfter || w.listedAt <= i.orderedAt || listed.Phase != fleet.InstanceUp {
		return
	}
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	if w.off(listed) {
		i.phase, i.worker = scheduling.MaintenanceDraining, ""
		return
	}
	if listed.Worker == "" {
		return
	}
	i.phase, i.worker = scheduling.MaintenanceDraining, listed.Worker
	w.d.agent(i.worker).cordoned = true
}

// empty stops what may be stopped at a draining instance, and reports whether nothing runs there.
func (w *instanceDriver) empty(i *waveInstance) bool {
	if i.worker == "" {
		return true
	}
	d := w.d
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.agent(i.worker)
	for _, r := range a.runs {
		spec := r.Task.Step.Spec
		if r.Phase != workload.RunActive || spec.Gang {
			continue
		}
		if spec.LongRunning && w.mayStop(r.Task) || spec.Checkpoints {
			d.stopRun(r, "its instance is to be maintained")
		}
	}
	return a.vacant()
}

// mayStop reports whether a long-running task may be stopped now. Callers hold the dispatcher's mu.
func (w *instanceDriver) mayStop(t *workload.Task) bool {
	return bootclock.Now() >= w.stopsFrom && scheduling.MayStop(t, w.d.now())
}

// order gives the orders to maintain instances, all at once: one after the other they would hold back the moves, and leave drained instances
// idle. That they are on their way is stored before they are sent.
func (w *instanceDriver) order(ctx context.Context, x *wave, ids []string) {
	if len(ids) == 0 {
		return
	}
	w.setPhases(x, ids, scheduling.MaintenanceOrdered)
	if !w.store(ctx, x) {
		w.setPhases(x, ids, scheduling.MaintenanceDraining)
		return
	}
	outcomes := make([]error, len(ids))
	var sending sync.WaitGroup
	for n, id := range ids {
		x.instances[id].orderedAt = bootclock.Now()
		sending.Go(func() { outcomes[n] = w.maintain(ctx, id, x.request.Number) })
	}
	sending.Wait()
	for n, id := range ids {
		w.ordered(x, id, outcomes[n])
	}
}

// setPhases sets the phase of some instances of a wave.
func (w *instanceDriver) setPhases(x *wave, ids []string, phase scheduling.MaintenancePhase) {
	for _, id := range ids {
		x.instances[id].phase = phase
	}
}

// maintain sends the order to maintain one instance. It uses no field that the driver changes.
func (w *instanceDriver) maintain(ctx context.Context, id string, wave int64) error {
	if !w.confirmed() {
		return errUnconfirmed
	}
	ctx, cancel := context.WithTimeout(ctx, instanceTimeout)
	defer cancel()
	return w.d.Instances.Maintain(ctx, id, wave, w.d.Token)
}

// ordered applies the outcome of an order.
func (w *instanceDriver) ordered(x *wave, id string, err error) {
	i := x.instances[id]
	var refused *instances.RefusedError
	if errors.As(err, &refused) && refused.Reason == instances.RefusedFence {
		w.d.mu.Lock()
		defer w.d.mu.Unlock()
		w.d.Log.Info().Str("event", "outranked").Str("instance", id).Int64("token", w.d.Token).Msg("an instance has seen a higher fencing token")
		w.d.stop()
		return
	}
	i.confirmed = err == nil
	if i.worker == "" && refused != nil && refused.Reason == instances.RefusedBusy {
		i.phase, i.refusedOff = scheduling.MaintenancePending, true
	}
	w.d.Log.Info().Str("event", "maintenance_ordered").Int64("wave", x.request.Number).Str("instance", id).Str("worker", i.worker).Err(err).Msg("maintenance of an instance ordered")
}

// release lets tasks start again at an instance that is not maintained after all.
func (w *instanceDriver) release(id string, i *waveInstance) {
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	if a := w.d.agents[i.worker]; a != nil {
		a.cordoned = false
	}
	w.d.Log.Info().Str("event", "instance_gone").Str("instance", id).Msg("an instance of the wave has left")
}
