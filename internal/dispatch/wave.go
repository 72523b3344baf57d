package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sort"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/disruption"
	"pollenlead/internal/fleet"
	"pollenlead/internal/follow"
	"pollenlead/internal/scheduling"
	"pollenlead/internal/store"
	"pollenlead/internal/workload"
)

const (
	// drainEstimate is the expected duration of draining an instance.
	drainEstimate = 2 * time.Second
	// replacementEstimate is the expected time from the stop of a long-running task until it runs elsewhere.
	replacementEstimate = 1300 * time.Millisecond
	// waveMinAvailablePercent is the part of a pool that stays available during a wave that is not late.
	waveMinAvailablePercent = 60
	// orderRetryDelay is how long an order may have no effect in the list before it is repeated.
	orderRetryDelay = 1500 * time.Millisecond
	// missingLists is the number of consecutive lists without an instance after which it counts as removed.
	missingLists = 3
)

// wave is the progress of one wave.
type wave struct {
	request       fleet.WaveRequest
	finishAt      time.Duration // boot clock
	instances     map[string]*waveInstance
	loggedAt      time.Duration // boot clock of the last line on the progress
	startReported bool          // the start of the wave has been reported to the operator
	endReported   bool          // the end of the wave has been reported to the operator
}

// waveInstance is the progress of one instance.
type waveInstance struct {
	phase scheduling.MaintenancePhase
	// worker is the instance's worker that is drained or was drained last; "" if the instance was switched off.
	worker string
	// refusedOff means that the order was refused while the instance was switched off. The order then waits until the
	// instance has a worker.
	refusedOff bool
	// unanswered means that an order was sent, perhaps by an earlier leader, and none has been answered since. It may be
	// carried out seconds later, also while the instance is listed as up, so the instance counts as down.
	unanswered bool
	// confirmed means that the order was answered: the maintenance has begun, or had been done before.
	confirmed bool
	// incarnation is the one that the worker had when the order was answered; 0 if it is not known.
	incarnation int64
	// drainedFrom and orderedAt are the boot clocks of the beginning of the drain and of the last order.
	drainedFrom, orderedAt time.Duration
	missing                int // consecutive lists without the instance
	// missingAt is the boot clock of the last of them.
	missingAt time.Duration
}

// mayBeDown reports whether the instance is down for the wave or may be at any moment.
func (i *waveInstance) mayBeDown() bool {
	return i.phase == scheduling.MaintenanceOrdered || i.unanswered && i.phase != scheduling.MaintenanceDone
}

// inMaintenance reports whether the wave drains or maintains the instance.
func (i *waveInstance) inMaintenance() bool {
	return i.phase == scheduling.MaintenanceDraining || i.phase == scheduling.MaintenanceOrdered
}

// waveRecord is the stored progress of a wave.
type waveRecord struct {
	// SeenMillis is the Unix time at which the wave was first seen, in milliseconds.
	SeenMillis int64 `json:"seen_ms"`
	// Ordered maps the instances whose maintenance was ordered to the workers that they had; Done lists those that
	// are back.
	Ordered map[string]string `json:"ordered,omitempty"`
	Done    []string          `json:"done,omitempty"`
	Closed  bool              `json:"closed,omitempty"`
}

// addWaves adds the waves that have been requested since the last call.
func (w *instanceDriver) addWaves() {
	for _, r := range w.d.Follower.Waves() {
		if w.waves[r.Number] == nil {
			w.waves[r.Number] = w.restoreWave(r)
		}
	}
}

// restoreWave returns a wave with its stored progress, or a new one.
func (w *instanceDriver) restoreWave(r follow.Wave) *wave {
	x := &wave{request: r.WaveRequest, finishAt: r.SeenAt + r.FinishBy, instances: map[string]*waveInstance{}}
	for _, id := range r.Instances {
		x.instances[id] = &waveInstance{phase: scheduling.MaintenancePending}
	}
	w.d.mu.Lock()
	stored := w.d.waveRecords[r.Number]
	w.d.mu.Unlock()
	if stored == nil {
		return x
	}
	age := time.Since(time.UnixMilli(stored.SeenMillis))
	x.finishAt = bootclock.Now() - age + r.FinishBy
	x.endReported, x.startReported = stored.Closed, true
	for id, worker := range stored.Ordered {
		if i := x.instances[id]; i != nil {
			*i = waveInstance{phase: scheduling.MaintenanceOrdered, worker: worker, unanswered: true}
		}
	}
	for _, id := range stored.Done {
		if i := x.instances[id]; i != nil {
			i.phase = scheduling.MaintenanceDone
		}
	}
	return x
}

// restoreCordons cordons the workers of the instances whose maintenance an earlier leader has ordered. Its order may
// still be carried out.
func (d *Dispatcher) restoreCordons() {
	d.mu.Lock()
	defer d.mu.Unlock()
	cordons := map[string]bool{}
	for _, x := range d.waveRecords {
		for instance, worker := range x.Ordered {
			if !x.Closed && worker != "" && !slices.Contains(x.Done, instance) {
				cordons[worker] = true
			}
		}
	}
	d.waveCordons = cordons
}

// advanceWaves advances each open wave by one step. Callers hold mu.
func (w *instanceDriver) advanceWaves(ctx context.Context) {
	numbers := make([]int64, 0, len(w.waves))
	for n, x := range w.waves {
		if !x.endReported {
			numbers = append(numbers, n)
		}
	}
	sort.Slice(numbers, func(a, b int) bool { return numbers[a] < numbers[b] })
	for _, n := range numbers {
		w.advance(ctx, w.waves[n])
	}
	w.cordonWaves()
}

// cordonWaves cordons the workers of the instances that waves drain or maintain. Callers hold mu.
func (w *instanceDriver) cordonWaves() {
	cordons := map[string]bool{}
	for _, x := range w.waves {
		for _, i := range x.instances {
			if i.worker != "" && i.inMaintenance() {
				cordons[i.worker] = true
			}
		}
	}
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	w.d.waveCordons = cordons
	for id := range cordons {
		if a := w.d.agents[id]; a != nil {
			a.cordoned = true
		}
	}
}

// advance advances one wave by one step. Callers hold mu.
func (w *instanceDriver) advance(ctx context.Context, x *wave) {
	if !x.startReported {
		if !w.store(ctx, x) || !w.report(ctx, x, false) {
			return
		}
		x.startReported = true
	}
	changed := w.observe(x)
	w.selectInstances(x)
	w.drain(ctx, x)
	if changed {
		w.store(ctx, x)
	}
	for _, i := range x.instances {
		if i.phase != scheduling.MaintenanceDone {
			return
		}
	}
	if w.report(ctx, x, true) {
		x.endReported = true
		w.store(ctx, x)
		w.d.Log.Info().Str("event", "wave_done").Int64("wave", x.request.Number).
			Dur("left", x.finishAt-bootclock.Now()).Msg("all instances of the wave have been maintained")
	}
}

// observe updates the phases of the ordered instances from the list. It reports whether a phase changed.
func (w *instanceDriver) observe(x *wave) (changed bool) {
	for id, i := range x.instances {
		listed, ok := w.listed[id]
		if !ok {
			if i.missingAt != w.listedAt {
				i.missing, i.missingAt = i.missing+1, w.listedAt
			}
			if i.missing >= missingLists && i.phase != scheduling.MaintenanceDone { // the instance has been removed
				w.uncordon(id, i)
				i.phase = scheduling.MaintenanceDone
				changed = true
			}
			continue
		}
		i.missing = 0
		if i.phase == scheduling.MaintenanceOrdered && w.isBack(i, listed) {
			i.phase = scheduling.MaintenanceDone
			changed = true
			w.uncordonMaintained(id)
		}
	}
	return changed
}

// isBack reports whether an ordered instance is back from maintenance. A new worker alone does not prove it: the
// instance may have been moved.
func (w *instanceDriver) isBack(i *waveInstance, listed fleet.Instance) bool {
	if !i.confirmed || listed.Phase != fleet.InstanceUp || w.listedAt <= i.orderedAt {
		return false
	}
	if listed.Worker != i.worker && listed.Worker != "" {
		return true
	}
	if listed.Worker != i.worker {
		return false
	}
	if listed.Worker != "" && w.answeredAfterOrder(i) {
		return true
	}
	// The instance was switched off and still is, or its maintenance had been done before the order and it was not
	// restarted.
	return w.listedAt > i.orderedAt+w.d.Bounds.Maintenance+orderRetryDelay
}

// selectInstances selects the next instances to drain and cordons their workers.
func (w *instanceDriver) selectInstances(x *wave) {
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	view := w.waveView(x)
	next := scheduling.NextForMaintenance(view)
	for _, id := range next {
		w.beginDrain(x, id, view.TimeLeft)
	}
	w.logProgress(x, &view, len(next))
}

// waveView returns the state of a wave for the selection of the next instances. Callers hold the dispatcher's mu.
func (w *instanceDriver) waveView(x *wave) scheduling.WaveView {
	view := scheduling.WaveView{
		MaxDown: x.request.MaxDown, TimeLeft: x.finishAt - bootclock.Now(), Window: x.request.FinishBy,
		TypicalDuration: drainEstimate + w.d.Bounds.Maintenance, Pools: w.disruptionPools(),
	}
	var runs []*workload.Run
	for id, i := range x.instances {
		view.Instances = append(view.Instances, w.instanceView(id, i))
		a := w.d.agents[w.listed[id].Worker]
		if a != nil && (i.phase == scheduling.MaintenancePending || i.phase == scheduling.MaintenanceDraining) {
			runs = slices.AppendSeq(runs, maps.Values(a.runs))
		}
	}
	view.LongDrains = scheduling.DrainTime(runs, 0, replacementEstimate) + w.d.Bounds.Maintenance
	return view
}

// instanceView returns the state of one instance of a wave. Callers hold the dispatcher's mu.
func (w *instanceDriver) instanceView(id string, i *waveInstance) scheduling.WaveInstance {
	listed := w.listed[id]
	v := scheduling.WaveInstance{ID: id, Pool: listed.Pool, Phase: i.phase, Load: w.load(listed.Pool)}
	_, moving := w.arrivals[id]
	v.Evacuated = w.d.Follower.Evacuating(listed.Zone)
	v.Off = !moving && !i.refusedOff && w.switchedOff(listed) && w.orderable(listed)
	a := w.d.agents[listed.Worker]
	if a == nil {
		return v
	}
	a.leaving = i.phase == scheduling.MaintenancePending || i.phase == scheduling.MaintenanceDraining
	v.Runs = len(a.runs)
	v.Duration = scheduling.DrainTime(
		slices.Collect(maps.Values(a.runs)), drainEstimate, replacementEstimate,
	) + w.d.Bounds.Maintenance
	v.Up = !moving && w.orderable(listed) && listed.Phase == fleet.InstanceUp &&
		a.entry != nil && !a.entry.Draining && a.contacted
	return v
}

// beginDrain cordons the worker of an instance that is to be maintained. Callers hold the dispatcher's mu.
func (w *instanceDriver) beginDrain(x *wave, id string, left time.Duration) {
	i := x.instances[id]
	i.phase, i.worker = scheduling.MaintenanceDraining, w.listed[id].Worker
	i.drainedFrom = bootclock.Now()
	runs := 0
	if i.worker != "" {
		a := w.d.agent(i.worker)
		a.cordoned = true
		runs = len(a.runs)
	}
	w.d.Log.Info().Str("event", "maintenance_drain").Int64("wave", x.request.Number).Str("instance", id).
		Str("worker", i.worker).Int("runs", runs).Dur("left", left).Msg("draining instance before its maintenance")
}

// switchedOff reports whether an instance is switched off. Callers hold the dispatcher's mu.
func (w *instanceDriver) switchedOff(listed fleet.Instance) bool {
	c := w.d.Follower.Config()
	if c == nil || listed.Phase != fleet.InstanceUp || listed.Worker != "" {
		return false
	}
	p := c.Pool(listed.Pool)
	return p != nil && p.Standby
}

// disruptionPools returns the pools for the availability budget, which all waves share. Callers hold the dispatcher's
// mu.
func (w *instanceDriver) disruptionPools() map[string]*disruption.Pool {
	pools := map[string]*disruption.Pool{}
	for id, listed := range w.listed {
		p := pools[listed.Pool]
		if p == nil {
			p = &disruption.Pool{Name: listed.Pool, MinAvailablePercent: waveMinAvailablePercent}
			pools[listed.Pool] = p
		}
		i := disruption.Instance{ID: id, Live: listed.Phase == fleet.InstanceUp, Moving: listed.Phase == fleet.InstanceMoving}
		i.Live = i.Live && !w.d.Follower.Evacuating(listed.Zone)
		i.Rack = listed.Rack()
		i.Down = !w.notInWave(id)
		p.Instances = append(p.Instances, i)
	}
	return pools
}

// load returns the used fraction of a pool's processor capacity. Callers hold the dispatcher's mu.
func (w *instanceDriver) load(pool string) float64 {
	var used, capacity int64
	for _, a := range w.d.agents {
		if a.entry != nil && a.entry.Pool == pool && !w.d.evacuating(a) {
			used += a.used.CPUMilli
			capacity += a.entry.Capacity.CPUMilli
		}
	}
	if capacity == 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}

// store stores the wave's progress for the next leader.
func (w *instanceDriver) store(ctx context.Context, x *wave) bool {
	left := x.finishAt - bootclock.Now()
	r := waveRecord{
		SeenMillis: time.Now().Add(left - x.request.FinishBy).UnixMilli(),
		Ordered:    map[string]string{}, Closed: x.endReported,
	}
	for id, i := range x.instances {
		switch i.phase {
		case scheduling.MaintenanceOrdered:
			r.Ordered[id] = i.worker
		case scheduling.MaintenanceDone:
			r.Done = append(r.Done, id)
		}
	}
	value, err := json.Marshal(r)
	if err != nil {
		w.d.Log.Error().Err(err).Str("event", "bad_wave").Msg("progress of a wave cannot be encoded")
		return false
	}
	return w.append(ctx, w.d.JobTopic, store.Record{Key: workload.WaveKey(x.request.Number), Value: value})
}

// report writes the status of the wave for the operator.
func (w *instanceDriver) report(ctx context.Context, x *wave, done bool) bool {
	key, value := w.d.WaveStatus(x.request.Number, done)
	return w.append(ctx, w.d.StatusTopic, store.Record{Key: key, Value: value})
}

// append stores one record and reports whether that succeeded. It ends the term if the store has an append of a later
// leader, or if the term has no epoch left. Callers hold mu.
func (w *instanceDriver) append(ctx context.Context, topic string, r store.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	producer, err := w.nextProducer()
	if err == nil {
		a := store.Append{Topic: topic, Records: []store.Record{r}, Producer: producer}
		w.unlocked(func() { _, err = w.d.Store.Append(ctx, a) })
	}
	if err != nil {
		w.d.Log.Info().Str("event", "wave_not_stored").Str("key", r.Key).Err(err).Msg("wave record could not be stored")
	}
	if errors.Is(err, store.ErrFenced) || errors.Is(err, errNoEpochLeft) {
		w.d.stop()
	}
	return err == nil
}
