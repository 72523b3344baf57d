package livenesstest

import (
	"context"
	"fmt"
	"hash/fnv"
	"time"

	"pollenlead/internal/fleet"
	"pollenlead/internal/worker"
)

const (
	maxLease       = 10 * time.Second
	gangTimeout    = 3 * time.Second
	checkpointTime = 500 * time.Millisecond
	maxListedEnds  = 500
	// stepTime is the resolution of the model.
	stepTime = 20 * time.Millisecond
)

// workerModel is a worker with its runs. The world's mu guards it.
type workerModel struct {
	id          string
	pool        string
	labels      []string
	capacity    fleet.Resources
	incarnation int64
	began       time.Time // beginning of its clock
	sequence    int64
	up          bool
	draining    bool
	// dark is closed when the worker comes back under its ID; nil unless it is down until then.
	dark chan struct{}
	// listed is what the list of instances shows until listedUntil.
	listed      fleet.Instance
	listedUntil time.Time
	// silentUntil, unhealthyUntil and lossyUntil are the ends of the times in which no call is answered, starts are
	// refused, and answers are lost after the call was carried out. Until lateUntil, calls are carried out late and not
	// answered.
	silentUntil, unhealthyUntil, lossyUntil, lateUntil time.Time

	token    int64
	deadline int64
	running  map[string]*runModel
	highest  map[string]int
	ends     []worker.End
	endCount int64
}

// runModel is one run at a worker.
type runModel struct {
	item    *itemModel
	number  int
	began   time.Time
	work    time.Duration // done in this run and those that it resumed from
	resumed string
	saved   string
	failsAt time.Duration // 0 if the run does not fail
	working bool
}

func (w *workerModel) clock(now time.Time) int64 { return 1000 + now.Sub(w.began).Milliseconds() }

func (w *workerModel) used() fleet.Resources {
	var used fleet.Resources
	for _, r := range w.running {
		used = used.Add(r.item.spec.Charge())
	}
	return used
}

// reset makes the worker forget everything, as after a crash.
func (w *workerModel) reset(now time.Time) {
	w.token, w.deadline, w.endCount, w.ends = 0, 0, 0, nil
	w.running, w.highest = map[string]*runModel{}, map[string]int{}
	w.incarnation, w.began, w.sequence = now.UnixMilli(), now, 0
}

// end ends a run.
func (x *world) end(w *workerModel, r *runModel, how worker.EndKind) {
	name := r.item.name()
	delete(w.running, name)
	w.highest[name] = max(w.highest[name], r.number)
	w.endCount++
	w.ends = append(w.ends, worker.End{Number: w.endCount, Task: name, Run: r.number, Kind: how, Checkpoint: r.saved})
	r.item.lastEnd = time.Now()
	x.ended(r, how)
	x.notify()
}

// Client calls the workers of the world. It implements worker.Client.
type client struct{ x *world }

// reach returns the worker of a call, or the error of a call that does not reach it. A call to a worker that is dark
// may wait for its return. Callers hold mu.
func (c client) reach(ctx context.Context, to worker.Address, o outgoing) (*workerModel, error) {
	w := c.x.workers[to.ID]
	if w != nil && w.dark != nil {
		if err := c.awaitReturn(ctx, w, o); err != nil {
			return nil, err
		}
	}
	if w == nil || !w.up {
		return nil, worker.ErrNotSent
	}
	if err := worker.MaySend(ctx); err != nil {
		return nil, worker.ErrNotSent
	}
	if o.order && to.Incarnation != 0 && to.Incarnation != w.incarnation {
		c.x.counts.add("return: " + o.what + " of before")
		if !*nextLife {
			return nil, worker.ErrOtherIncarnation
		}
	}
	return w, nil
}

// outgoing is a call on its way.
type outgoing struct {
	what string
	// order reports that the call is for one incarnation. A renewal reaches any.
	order bool
	do    func(w *workerModel, now time.Time) error
}

// awaitReturn lets a call wait while its worker is dark. Every other call is sent on a connection of the life that has
// ended, and gets no answer. The others open a connection, on which the next life accepts the call. Callers hold mu,
// which is released meanwhile.
func (c client) awaitReturn(ctx context.Context, w *workerModel, o outgoing) error {
	back := w.dark
	c.x.darkCalls++
	lost := c.x.darkCalls%2 == 0
	c.x.counts.add("return: " + o.what + " to a dark worker")
	c.x.mu.Unlock()
	defer c.x.mu.Lock()
	select {
	case <-back:
		if lost {
			return worker.ErrUnknown
		}
		return nil
	case <-ctx.Done():
	}
	if !lost && *nextLife {
		c.x.carryOutAfter(back, w, o)
	}
	return worker.ErrUnknown
}

// carryOutAfter carries out a call that nobody waits for any more when its worker comes back.
func (x *world) carryOutAfter(back chan struct{}, w *workerModel, o outgoing) {
	go func() {
		<-back
		x.mu.Lock()
		defer x.mu.Unlock()
		if w.up {
			x.counts.add("return: " + o.what + " of before")
			_ = o.do(w, time.Now())
		}
	}()
}

// call carries out one call after the time that it takes on the way.
func (c client) call(ctx context.Context, to worker.Address, o outgoing) error {
	c.x.mu.Lock()
	sentTo := c.x.life(to.ID)
	c.x.mu.Unlock()
	time.Sleep(2 * time.Millisecond)
	c.x.mu.Lock()
	if sentTo != c.x.life(to.ID) {
		c.x.counts.add("return: " + o.what + " on the way")
	}
	do := o.do
	w, err := c.reach(ctx, to, o)
	now := time.Now()
	silent := err == nil && now.Before(w.silentUntil)
	if err == nil && !silent && now.Before(w.lateUntil) {
		silent = true
		c.x.carryOutLate(w, do)
	}
	lost := err == nil && now.Before(w.lossyUntil)
	if err == nil && !silent {
		err = do(w, now)
	}
	c.x.mu.Unlock()
	if silent || lost {
		<-ctx.Done()
		return worker.ErrUnknown
	}
	return err
}

// lateTime is the time after which a late call is carried out.
const lateTime = 1500 * time.Millisecond

// carryOutLate carries out a call later, unless its worker has ended or restarted by then. Callers hold mu.
func (x *world) carryOutLate(w *workerModel, do func(w *workerModel, now time.Time) error) {
	incarnation := w.incarnation
	time.AfterFunc(lateTime, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if w.up && w.incarnation != incarnation {
			x.counts.add("return: late call of before")
		}
		if w.up && (w.incarnation == incarnation || *nextLife) {
			_ = do(w, time.Now()) // nobody waits for the answer
		}
	})
}

func (c client) Start(ctx context.Context, to worker.Address, s worker.Start) (int64, error) {
	return 0, c.call(ctx, to, outgoing{"start", true, func(w *workerModel, now time.Time) error {
		return c.x.start(w, s, now)
	}})
}

func refused(reason worker.Refusal, clock int64) error {
	return &worker.RefusedError{Reason: reason, ClockMillis: clock}
}

// start carries out a start. Callers hold mu.
func (x *world) start(w *workerModel, s worker.Start, now time.Time) error {
	clock := w.clock(now)
	if now.Before(w.unhealthyUntil) {
		return worker.ErrUnhealthy
	}
	if s.FencingToken < w.token {
		return refused(worker.RefusedFence, clock)
	}
	w.token = s.FencingToken
	item := x.item(s.Task)
	if item == nil {
		x.violate("UNASKED: start of %s", s.Task)
		return worker.ErrInvalid
	}
	if c := item.job.cancelled; !c.IsZero() && now.Sub(x.disrupted) > settleTime {
		x.violate("UNASKED: start of %s, which was cancelled %v before", s.Task, now.Sub(c))
	}
	w.deadline = max(w.deadline, min(s.DeadlineMillis, clock+maxLease.Milliseconds()))
	if r := w.running[s.Task]; r != nil && r.number == s.Run {
		return nil
	}
	switch {
	case w.running[s.Task] != nil, s.Run <= w.highest[s.Task]:
		return refused(worker.RefusedOld, clock)
	case s.DeadlineMillis <= clock:
		return refused(worker.RefusedLate, clock)
	case !item.spec.Charge().Fits(w.capacity.Sub(w.used())):
		return refused(worker.RefusedRoom, clock)
	}
	r := &runModel{item: item, number: s.Run, began: now, resumed: s.Checkpoint, saved: s.Checkpoint}
	if s.Checkpoint != "" {
		if !item.checkpoints[s.Checkpoint] {
			x.violate("UNASKED: start of %s with a checkpoint of another task", s.Task)
		}
		r.work = item.savedWork[s.Checkpoint]
	}
	r.failsAt = x.failure(item, s.Run)
	x.started(w, r)
	w.running[s.Task] = r
	return nil
}

// failure returns the work after which a run fails, or 0. Only first runs fail, so that no job uses up its attempts.
func (x *world) failure(item *itemModel, run int) time.Duration {
	h := fnv.New32a()
	fmt.Fprint(h, x.scenario.Seed, item.name())
	if item.failures > 0 || run > 2 || int(h.Sum32()%100) >= x.scenario.FailPercent {
		return 0
	}
	if item.duration == 0 {
		return time.Second
	}
	return item.duration / 2
}

func (c client) Stop(ctx context.Context, to worker.Address, task string, run int, token int64) error {
	return c.call(ctx, to, outgoing{"stop", true, func(w *workerModel, now time.Time) error {
		if token < w.token {
			return refused(worker.RefusedFence, w.clock(now))
		}
		w.token = token
		w.highest[task] = max(w.highest[task], run)
		if r := w.running[task]; r != nil && r.number <= run {
			c.x.end(w, r, worker.EndStopped)
		}
		return nil
	}})
}

func (c client) SetPace(ctx context.Context, to worker.Address, _ string, _, _ int, _ int64) error {
	return c.call(ctx, to, outgoing{"pace", true, func(*workerModel, time.Time) error { return nil }})
}

func (c client) Hold(ctx context.Context, to worker.Address, h worker.Hold) (worker.Report, error) {
	var seen, incarnation int64
	var changed chan struct{}
	err := c.call(ctx, to, outgoing{"renewal", false, func(w *workerModel, now time.Time) error {
		if h.FencingToken < w.token {
			return refused(worker.RefusedFence, w.clock(now))
		}
		w.token = h.FencingToken
		if h.DeadlineMillis > 0 {
			w.deadline = max(w.deadline, min(h.DeadlineMillis, w.clock(now)+maxLease.Milliseconds()))
		}
		// The adapter acknowledges ends only to the life that has listed them.
		for h.Incarnation == w.incarnation && len(w.ends) > 0 && w.ends[0].Number <= h.Acknowledged {
			c.x.acknowledged(w.ends[0])
			w.ends = w.ends[1:]
		}
		seen, incarnation, changed = w.endCount, w.incarnation, c.x.changed
		return nil
	}})
	if err != nil {
		return worker.Report{}, err
	}
	timer := time.NewTimer(h.Wait)
	defer timer.Stop()
	for waiting := h.Wait > 0; waiting; {
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			return worker.Report{}, worker.ErrUnknown
		}
		c.x.mu.Lock()
		w := c.x.workers[to.ID]
		waiting, changed = waiting && w.up && w.incarnation == incarnation && w.endCount == seen, c.x.changed
		c.x.mu.Unlock()
	}
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	w := c.x.workers[to.ID]
	if !w.up || w.incarnation != incarnation { // the connection has ended with the life that the renewal reached
		c.x.counts.add("return: renewal waits at the former life")
		return worker.Report{}, worker.ErrUnknown
	}
	return w.report(time.Now()), nil
}

// report lists the runs and the ends of the worker. Callers hold mu.
func (w *workerModel) report(now time.Time) worker.Report {
	r := worker.Report{ClockMillis: w.clock(now), Incarnation: w.incarnation}
	for name, x := range w.running {
		percent := 50
		if x.working {
			percent = 100
		}
		r.Running = append(r.Running, worker.Running{Task: name, Run: x.number, Checkpoint: x.saved, Percent: percent})
	}
	r.Ended = append(r.Ended, w.ends[:min(len(w.ends), maxListedEnds)]...)
	r.MoreEnds = len(w.ends) > maxListedEnds
	return r
}

// advance lets the runs of a worker work for one step of the model. Callers hold mu.
func (x *world) advance(w *workerModel, now time.Time) {
	if w.clock(now) > w.deadline && len(w.running) > 0 {
		for _, r := range w.running {
			x.end(w, r, worker.EndLapsed)
		}
		return
	}
	for _, r := range w.running {
		r.working = x.atWork(r, now)
		switch {
		case !r.working && r.item.spec.Gang && now.Sub(r.began) > gangTimeout:
			x.end(w, r, worker.EndGangTimeout)
		case r.working:
			x.work(w, r)
		}
	}
}

// work advances a run that is at work.
func (x *world) work(w *workerModel, r *runModel) {
	before := r.work
	r.work += stepTime
	item := r.item
	if item.spec.Checkpoints && r.work/checkpointTime > before/checkpointTime {
		r.saved = fmt.Sprintf("%s-%d-%d", item.name(), r.number, r.work.Milliseconds())
		for _, member := range item.gang() {
			member.checkpoints[r.saved] = true
			member.savedWork[r.saved] = r.work
		}
	}
	switch {
	case r.failsAt > 0 && r.work >= r.failsAt:
		x.end(w, r, worker.EndFailed)
		x.breakGang(r)
	case item.duration > 0 && r.work >= item.duration:
		x.end(w, r, worker.EndDone)
		x.endGang(r, worker.EndDone)
	}
}

// breakGang ends the other members of a gang of which one has ended.
func (x *world) breakGang(r *runModel) { x.endGang(r, worker.EndGangMemberEnded) }

func (x *world) endGang(r *runModel, how worker.EndKind) {
	if !r.item.spec.Gang {
		return
	}
	for _, w := range x.workers {
		for _, other := range w.running {
			if other.number == r.number && other.item.sameGang(r.item) && (other.working || how == worker.EndDone) {
				x.end(w, other, how)
			}
		}
	}
}

// atWork reports whether a run works: a member of a gang only together with all others, from the same checkpoint.
func (x *world) atWork(r *runModel, now time.Time) bool {
	if now.Sub(r.began) < 4*stepTime { // startup
		return false
	}
	if !r.item.spec.Gang {
		return true
	}
	present := 0
	for _, w := range x.workers {
		for _, other := range w.running {
			if other.number == r.number && other.item.sameGang(r.item) && other.resumed == r.resumed {
				present++
			}
		}
	}
	return present == r.item.spec.Count
}
