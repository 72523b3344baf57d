package dispatch

import (
	"context"
	"fmt"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/instances"
	"pollenlead/internal/sleep"
)

const (
	// instanceInterval is the time between two decisions on instances.
	instanceInterval = 150 * time.Millisecond
	// listInterval is the time between two lists of the instances.
	listInterval = 500 * time.Millisecond
	// stopSettles is added to the longest time of a stop before a new leader stops runs itself: its predecessor's last orders may have been
	// on their way, and the workers have to report once more.
	stopSettles = time.Second
	// confirmedFor is how long after the last confirmation of the term orders go out where the instances service does not compare fencing tokens.
	// It is shorter than the silence after which another entry instance claims.
	confirmedFor = time.Second
	// instanceTimeout bounds a call to the instances service.
	instanceTimeout = time.Second
)

// instanceDriver takes instances through waves of maintenance and moves them between pools. Only its own goroutine uses its
// fields.
type instanceDriver struct {
	d     *Dispatcher
	waves map[int64]*wave
	// listed is the newest list of instances, read at the boot clock listedAt.
	listed   map[string]fleet.Instance
	listedAt time.Duration
	// home is the number of instances that each pool had when it was first seen.
	home     map[string]int
	arrivals map[string]arrival // by instance
	// orderTokens is the number of orders that the platform's rate allows at the boot clock tokensAt.
	orderTokens float64
	tokensAt    time.Duration
	// quietUntil is the boot clock until which an instance may have had an order of an earlier leader so lately that another holder
	// must not give one.
	quietUntil time.Duration
	// stopsFrom is the boot clock from which runs may be stopped for the sake of an instance. A run that an earlier leader has just
	// stopped is listed as at work until it has ended, and must not be counted as such.
	stopsFrom time.Duration
}

func newInstanceDriver(d *Dispatcher) *instanceDriver {
	return &instanceDriver{d: d, waves: map[int64]*wave{}, arrivals: map[string]arrival{}}
}

// run drives the instances until ctx is done.
func (w *instanceDriver) run(ctx context.Context) {
	if w.d.Instances == nil {
		return
	}
	if w.d.inherited() {
		w.quietUntil = bootclock.Now() + w.d.Bounds.InstanceLease
		w.stopsFrom = bootclock.Now() + w.d.Bounds.MaxStopTime + stopSettles
	}
	for ctx.Err() == nil {
		w.step(ctx)
		sleep.For(ctx, instanceInterval)
	}
}

// step looks at the instances and takes each matter one step on.
func (w *instanceDriver) step(ctx context.Context) {
	w.takeUp()
	if bootclock.Now()-w.listedAt >= listInterval && !w.list(ctx) {
		return
	}
	if w.home == nil && !w.settleHome(ctx) {
		return
	}
	if w.confirmed() {
		w.stepWaves(ctx)
		w.balance(ctx)
	}
}

// confirmed reports whether an order may go out. A leader that was paused does not know yet whether another one has given orders meanwhile, and
// where nobody compares fencing tokens its own would be carried out.
func (w *instanceDriver) confirmed() bool {
	d := w.d
	return d.Bounds.InstancesFenced || d.LastConfirmed == nil || bootclock.Now()-d.LastConfirmed() < confirmedFor
}

// errUnconfirmed means that an order was not sent.
var errUnconfirmed = fmt.Errorf("dispatch: the term is not confirmed: %w", instances.ErrBusy)

// clockSkew is how much the clocks of instances and entry instances may differ.
const clockSkew = time.Second

// orderable reports whether an instance may get an order now. An order ends the instance's worker, so one whose worker has lived for
// longer than the lease has had none within it. Callers hold the dispatcher's mu.
func (w *instanceDriver) orderable(x fleet.Instance) bool {
	if bootclock.Now() >= w.quietUntil {
		return true
	}
	a := w.d.agents[x.Worker]
	if x.Worker == "" || a == nil || a.incarnation == 0 {
		return false
	}
	return time.Since(time.UnixMilli(a.incarnation)) > w.d.Bounds.InstanceLease+clockSkew
}

// list reads the instances.
func (w *instanceDriver) list(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, instanceTimeout)
	defer cancel()
	sent := bootclock.Now()
	all, err := w.d.Instances.List(ctx)
	if err != nil {
		w.d.Log.Info().Str("event", "instances_unlisted").Err(err).Msg("instances could not be listed")
		return false
	}
	listed := make(map[string]fleet.Instance, len(all))
	for _, i := range all {
		listed[i.ID] = i
		if old, known := w.listed[i.ID]; known && (old.Phase != i.Phase || old.Worker != i.Worker) {
			w.d.Log.Info().Str("event", "instance").Str("instance", i.ID).Str("pool", i.Pool).Str("phase", string(i.Phase)).
				Str("worker", i.Worker).Str("worker_before", old.Worker).Msg("instance changed")
		}
	}
	w.listed, w.listedAt = listed, sent
	w.settle()
	return true
}

// settle draws from the list which workers are gone: a worker is one life of an instance, and nothing of an earlier life runs on.
func (w *instanceDriver) settle() {
	current := make(map[string]bool, len(w.listed))
	for _, i := range w.listed {
		if i.Worker != "" {
			current[i.Worker] = true
		}
	}
	d := w.d
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, a := range d.agents {
		if current[id] || a.firstSeen >= w.listedAt || !a.unsettled && len(a.runs) == 0 {
			continue
		}
		a.unsettled = false
		d.lose(a, "its instance has another worker or none")
		d.markAll()
	}
}
