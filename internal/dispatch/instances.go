package dispatch

import (
	"context"
	"sync"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/sleep"
)

const (
	// instanceInterval is the interval between two decisions on instances.
	instanceInterval = 150 * time.Millisecond
	// listInterval is the interval between two reads of the list of instances.
	listInterval = 500 * time.Millisecond
	// stopMargin is added to the longest duration of a stop before a new leader stops runs itself: the last orders of
	// its predecessor may have been in flight, and the workers have to report once more.
	stopMargin = time.Second
	// maxListAge is the age of the list of instances up to which waves use it.
	maxListAge = listInterval + instanceTimeout
	// instanceTimeout bounds a call to the instances service.
	instanceTimeout = time.Second
)

// instanceDriver carries out maintenance waves and moves instances between pools, in one goroutine each: the progress
// of a wave is stored before its orders, and on a slow store the moves would wait for it.
type instanceDriver struct {
	d *Dispatcher

	mu    sync.Mutex // guards the fields below; it is released during calls and locked before the dispatcher's mu
	waves map[int64]*wave
	// listed is the latest list of instances, requested at the boot clock listedAt.
	listed   map[string]fleet.Instance
	listedAt time.Duration
	// relist means that the next list decides whether a worker is gone, so it is read without delay.
	relist bool
	// homeSizes is the number of instances that each pool had when it was first listed.
	homeSizes map[string]int
	arrivals  map[string]arrival // by instance
	// orderTokens is the number of orders that the platform's rate limit allows at the boot clock tokensAt.
	orderTokens float64
	tokensAt    time.Duration
	// usageAt and usageLoggedAt are the boot clocks of the last record and the last log of the use of instance time.
	usageAt, usageLoggedAt time.Duration
	// inheritedLeaseUntil is the boot clock until which an instance may still be leased to an earlier leader by a
	// recent order. Another holder must not send an order during that lease.
	inheritedLeaseUntil time.Duration
	// stopsAllowedFrom is the boot clock from which runs may be stopped to empty an instance. A run that an earlier
	// leader has just stopped is listed as running until it has ended, and must not be counted as running.
	stopsAllowedFrom time.Duration
	// ordersHeld means that orders are held back because the term is not confirmed.
	ordersHeld bool
	// appends is the number of records on instances that this leader has tried to store.
	appends int64
}

func newInstanceDriver(d *Dispatcher) *instanceDriver {
	return &instanceDriver{d: d, waves: map[int64]*wave{}, arrivals: map[string]arrival{}}
}

// run manages the instances until ctx is done.
func (w *instanceDriver) run(ctx context.Context) {
	if w.d.Instances == nil {
		return
	}
	if w.d.hasPredecessor() {
		w.inheritedLeaseUntil = bootclock.Now() + w.d.Bounds.InstanceLease
		w.stopsAllowedFrom = bootclock.Now() + w.d.Bounds.MaxStopTime + stopMargin
	}
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { w.repeat(ctx, w.stepWaves) })
	w.repeat(ctx, w.stepBalance)
}

// repeat calls step at every instanceInterval until ctx is done.
func (w *instanceDriver) repeat(ctx context.Context, step func(context.Context)) {
	for ctx.Err() == nil {
		w.mu.Lock()
		step(ctx)
		w.mu.Unlock()
		sleep.For(ctx, instanceInterval)
	}
}

// unlocked calls f without holding mu. Callers hold mu.
func (w *instanceDriver) unlocked(f func()) {
	w.mu.Unlock()
	defer w.mu.Lock()
	f()
}

// stepBalance refreshes the list of instances and moves instances between pools. Callers hold mu.
func (w *instanceDriver) stepBalance(ctx context.Context) {
	if (w.relist || bootclock.Now()-w.listedAt >= listInterval) && !w.refresh(ctx) {
		return
	}
	if w.homeSizes == nil && !w.initHomeSizes(ctx) {
		return
	}
	w.addWaves() // the balance lifts cordons that belong to no wave
	if w.mayOrderNow() {
		w.balance(ctx)
	}
}

// stepWaves advances the waves by one step if the list of instances is new enough. Callers hold mu.
func (w *instanceDriver) stepWaves(ctx context.Context) {
	if w.homeSizes == nil || bootclock.Now()-w.listedAt > maxListAge || !w.mayOrderNow() {
		return
	}
	w.addWaves()
	w.advanceWaves(ctx)
}

// maxClockSkew is the largest difference between the clocks of instances and entry instances.
const maxClockSkew = time.Second

// orderable reports whether an order may be sent to an instance now. An order ends the instance's worker, so an
// instance whose worker has lived for longer than the lease has had no order within it. Callers hold the dispatcher's
// mu.
func (w *instanceDriver) orderable(x fleet.Instance) bool {
	if bootclock.Now() >= w.inheritedLeaseUntil {
		return true
	}
	a := w.d.agents[x.Worker]
	if x.Worker == "" || a == nil || a.incarnation == 0 {
		return false
	}
	return time.Since(time.UnixMilli(a.incarnation)) > w.d.Bounds.InstanceLease+maxClockSkew
}

// refresh reads the list of instances and reports whether that succeeded. Callers hold mu.
func (w *instanceDriver) refresh(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, instanceTimeout)
	defer cancel()
	sent := bootclock.Now()
	var all []fleet.Instance
	var err error
	w.unlocked(func() { all, err = w.d.Instances.List(ctx) })
	if err != nil {
		w.d.Log.Info().Str("event", "instances_unlisted").Err(err).Msg("instances could not be listed")
		return false
	}
	listed := make(map[string]fleet.Instance, len(all))
	for _, i := range all {
		listed[i.ID] = i
		if old, known := w.listed[i.ID]; known && (old.Phase != i.Phase || old.Worker != i.Worker) {
			w.d.Log.Info().Str("event", "instance").Str("instance", i.ID).Str("pool", i.Pool).
				Str("phase", string(i.Phase)).
				Str("worker", i.Worker).Str("worker_before", old.Worker).Msg("instance changed")
		}
	}
	w.applyList(listed, sent)
	w.listed, w.listedAt = listed, sent
	return true
}
