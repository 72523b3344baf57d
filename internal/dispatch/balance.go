package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"slices"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/instances"
	"pollenlead/internal/scheduling"
	"pollenlead/internal/store"
	"pollenlead/internal/workload"
)

const (
	// orderRateShare is the share of the platform's order rate that moves and waves use together; the rest is for
	// repeated orders.
	orderRateShare = 0.9
	// orderBurstWindow is the period whose orders may be sent at once after a pause.
	orderBurstWindow = 500 * time.Millisecond
	// defaultOrderRate is the number of orders per second if the platform sets no limit.
	defaultOrderRate = 60
)

// orderBudget returns how many orders the platform's rate limit allows now.
func (w *instanceDriver) orderBudget(now time.Duration) int {
	rate := w.d.Bounds.InstanceOrdersPerSecond * orderRateShare
	if rate <= 0 {
		rate = defaultOrderRate
	}
	w.orderTokens = min(w.orderTokens+rate*(now-w.tokensAt).Seconds(), rate*orderBurstWindow.Seconds())
	w.tokensAt = now
	return max(int(w.orderTokens), 0)
}

// moveBudget returns how many moves may be ordered now: what the platform's rate limit allows, or half of it while a
// wave has drained instances to order, so that waves and moves do not delay each other. Callers hold mu.
func (w *instanceDriver) moveBudget() int {
	n := w.orderBudget(bootclock.Now())
	for _, x := range w.waves {
		for _, i := range x.instances {
			if i.phase == scheduling.MaintenanceDraining {
				return n / 2
			}
		}
	}
	return n
}

// arrivalTimeout is how long, in addition to the duration of a move, an instance is expected to arrive in its new
// pool.
const arrivalTimeout = 3 * time.Second

// workerJoinDelay is the time from the end of a move until the new worker's entry has been read.
const workerJoinDelay = 200 * time.Millisecond

// arrival is an instance that is being moved to a pool. worker is the worker that it had before; "" if it was switched
// off.
type arrival struct {
	to     string
	worker string
	until  time.Duration // boot clock
}

// balance moves instances between pools. Callers hold mu.
func (w *instanceDriver) balance(ctx context.Context) {
	pools, workers := w.balancePools()
	if len(pools) == 0 {
		return
	}
	w.recordUsage(pools)
	policy := scheduling.DefaultBalance
	policy.MaxMoves = w.moveBudget()
	moves := scheduling.Balance(pools, policy)
	w.orderTokens -= float64(len(moves))
	for _, m := range moves {
		w.cordon(workers[m.Instance])
		w.arrivals[m.Instance] = arrival{
			to: m.To, worker: workers[m.Instance], until: bootclock.Now() + w.d.Bounds.Move + arrivalTimeout,
		}
		go w.move(ctx, m, workers[m.Instance])
	}
}

// cordon prevents new tasks from starting on a worker.
func (w *instanceDriver) cordon(id string) {
	if id == "" {
		return
	}
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	w.d.agent(id).cordoned = true
}

// move sends the order to move an instance.
func (w *instanceDriver) move(ctx context.Context, m scheduling.Move, worker string) {
	incarnation := w.d.incarnationOf(worker)
	err := w.sendOrder(ctx, func(ctx context.Context) error {
		return w.d.Instances.Move(ctx, m.Instance, m.To, w.d.Token)
	})
	w.d.counters.moves.Add(1)
	w.d.Log.Info().Str("event", "move").Str("instance", m.Instance).Str("worker", worker).Str("from", m.From).
		Str("to", m.To).Err(err).Msg("move of an instance to another pool ordered")
	var refused *instances.RefusedError
	if errors.As(err, &refused) && refused.Reason == instances.RefusedFence {
		w.d.stop()
		return
	}
	if errors.Is(err, errUnconfirmed) {
		w.giveUpMove(m.Instance, worker)
		return
	}
	if worker == "" || err != nil && !errors.As(err, &refused) && !errors.Is(err, instances.ErrBusy) {
		return // the move may still be carried out: inTransit uncordons the worker if the list shows that it was not
	}
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	a := w.d.agents[worker]
	if a == nil {
		return
	}
	if err != nil {
		a.cordoned = false
		return
	}
	if a.incarnation == incarnation { // the order has not ended the runs of a later incarnation
		w.d.dropRuns(a, "its instance was moved")
	}
}

// incarnationOf returns the last incarnation that a worker reported; 0 if it reported none.
func (d *Dispatcher) incarnationOf(worker string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a := d.agents[worker]; a != nil {
		return a.incarnation
	}
	return 0
}

// giveUpMove ends a planned move whose order was not sent, and lets tasks start again on the worker.
func (w *instanceDriver) giveUpMove(id, worker string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.arrivals, id)
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	if a := w.d.agents[worker]; a != nil && w.notInWave(id) {
		a.cordoned = false
		w.d.markDirty(a)
		w.d.signal()
	}
}

// balancePools returns the state of the pools, and the worker of each instance that may be moved.
func (w *instanceDriver) balancePools() ([]*scheduling.BalancePool, map[string]string) {
	d := w.d
	config := d.Follower.Config()
	if config == nil {
		return nil, nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now, boot := d.now(), bootclock.Now()
	byName := map[string]*scheduling.BalancePool{}
	var pools []*scheduling.BalancePool
	share := w.availableShare()
	for i := range config.Pools {
		name := config.Pools[i].Name
		p := &scheduling.BalancePool{
			Name: name, Standby: config.Pools[i].Standby, HomeSize: int(math.Ceil(share * float64(w.homeSizes[name]))),
		}
		byName[p.Name] = p
		pools = append(pools, p)
	}
	workers, labelled := map[string]string{}, w.lastWithLabel()
	for id, x := range w.listed {
		p := byName[x.Pool]
		evacuated := d.Follower.Evacuating(x.Zone)
		if _, ordered := w.arrivals[id]; p != nil && !p.Standby && !ordered && !evacuated &&
			(x.Phase == fleet.InstanceMaintenance || x.Phase == fleet.InstanceMoving) {
			p.Size++ // it is available as soon as one that is moved now
		}
		if p == nil || x.Phase != fleet.InstanceUp {
			continue
		}
		p.InstanceCPU = max(p.InstanceCPU, x.Capacity.CPUMilli)
		if a, ok := w.arrivals[id]; ok && boot < a.until && x.Pool != a.to {
			continue // it is being moved, and the list does not show it yet
		}
		if evacuated {
			if !labelled[id] {
				w.countEvacuated(p, id, x, workers, now)
			}
			continue
		}
		w.countInstance(p, id, x, workers, now, boot)
		if n := len(p.Idle) - 1; labelled[id] && n >= 0 && p.Idle[n].ID == id {
			p.Idle = p.Idle[:n]
		}
	}
	for id, a := range w.arrivals {
		if p := byName[a.to]; p != nil && w.inTransit(id, a, boot) && !d.Follower.Evacuating(w.listed[id].Zone) {
			p.Size++
		}
	}
	limits, missing := d.limits(d.uncheckedPools()), w.missingLabels()
	for name, p := range byName {
		if p.InstanceCPU == 0 && !p.Standby {
			p.InstanceCPU = w.instanceCPU()
		}
		p.Waiting, p.MissingLabels = d.waitingCPU(name, limits), missing[name]
		if i := d.inflow[name]; i != nil {
			p.Inflow = i.Expected(boot, d.Bounds.Move+workerJoinDelay)
		}
	}
	return pools, workers
}

// countInstance adds a listed instance to its pool. Callers hold the dispatcher's mu.
func (w *instanceDriver) countInstance(
	p *scheduling.BalancePool, id string, x fleet.Instance, workers map[string]string, now time.Time, boot time.Duration,
) {
	kind := ""
	if len(x.Labels) > 0 {
		kind = x.Labels[0]
	}
	if p.Standby {
		p.Size++
		if _, moving := w.arrivals[id]; !moving && w.notInWave(id) && w.orderable(x) {
			p.Idle = append(p.Idle, scheduling.BalanceInstance{ID: id, Kind: kind, Labels: x.Labels})
		}
		return
	}
	a := w.d.agents[x.Worker]
	if a == nil || a.entry == nil || !a.contacted && a.silentSince == 0 {
		p.Size++ // its worker has just started, or this term has
		return
	}
	if a.entry.Draining || a.entry.Pool != p.Name || a.silentSince != 0 {
		return
	}
	if _, moving := w.arrivals[id]; a.cordoned && !moving {
		w.uncordonListed(id, "no order for its instance is pending")
	}
	if a.cordoned {
		return
	}
	p.Size++
	p.Used += a.used.CPUMilli
	if a.vacant() && w.notInWave(id) && w.orderable(x) && w.d.usable(a, now, boot) {
		workers[id] = x.Worker
		p.Idle = append(p.Idle, scheduling.BalanceInstance{
			ID: id, Kind: kind, Labels: x.Labels, IdleFor: now.Sub(a.idleSince),
		})
	}
}

// availableShare returns the share of the instances that are not in evacuated zones. The home sizes of pools count in
// that proportion during an evacuation, or reserves would take the instances that waiting work needs.
func (w *instanceDriver) availableShare() float64 {
	available := 0
	for _, x := range w.listed {
		if !w.d.Follower.Evacuating(x.Zone) {
			available++
		}
	}
	return float64(available) / float64(max(len(w.listed), 1))
}

// countEvacuated adds a listed instance of an evacuated zone to its pool if it is idle and may be switched off. Callers
// hold the dispatcher's mu.
func (w *instanceDriver) countEvacuated(
	p *scheduling.BalancePool, id string, x fleet.Instance, workers map[string]string, now time.Time,
) {
	a := w.d.agents[x.Worker]
	if p.Standby || a == nil || a.entry == nil || !a.contacted || a.silentSince != 0 {
		return
	}
	if a.entry.Draining || a.entry.Pool != p.Name || a.cordoned {
		return
	}
	if a.vacant() && w.notInWave(id) && w.orderable(x) {
		workers[id] = x.Worker
		p.Evacuated = append(p.Evacuated, scheduling.BalanceInstance{ID: id, IdleFor: now.Sub(a.idleSince)})
	}
}

// lastWithLabel returns the idle instances that stay in their pools because no other one with a label that open jobs
// need there would be left. One stays for now, and one in evacuated zones for the time after the evacuation. Callers
// hold the dispatcher's mu.
func (w *instanceDriver) lastWithLabel() map[string]bool {
	type poolLabel struct {
		pool, label string
		evacuated   bool
	}
	carriers := map[poolLabel][]string{}
	for pool, jobs := range w.d.active {
		for _, j := range jobs {
			for i := range j.Spec.Steps {
				if label := j.Spec.Steps[i].RequiredLabel; label != "" {
					carriers[poolLabel{pool, label, false}] = nil
					carriers[poolLabel{pool, label, true}] = nil
				}
			}
		}
	}
	if len(carriers) == 0 {
		return nil
	}
	for id, x := range w.listed {
		a := w.d.agents[x.Worker]
		if a == nil || a.entry == nil || a.entry.Draining || a.cordoned || a.silentSince != 0 {
			continue
		}
		for _, label := range a.entry.Labels {
			key := poolLabel{x.Pool, label, w.d.Follower.Evacuating(x.Zone)}
			if ids, needed := carriers[key]; needed {
				carriers[key] = append(ids, id)
			}
		}
	}
	last := map[string]bool{}
	for _, ids := range carriers {
		busy := func(id string) bool { return !w.d.agents[w.listed[id].Worker].vacant() }
		if len(ids) > 0 && !slices.ContainsFunc(ids, busy) {
			last[slices.Min(ids)] = true
		}
	}
	return last
}

// notInWave reports whether no wave drains or maintains the instance.
func (w *instanceDriver) notInWave(id string) bool {
	for _, x := range w.waves {
		if i := x.instances[id]; i != nil && i.inMaintenance() {
			return false
		}
	}
	return true
}

// inTransit reports whether an instance is still being moved, and deletes its arrival if it is not. Callers hold the
// dispatcher's mu.
func (w *instanceDriver) inTransit(id string, a arrival, boot time.Duration) bool {
	x := w.listed[id]
	agent := w.d.agents[x.Worker]
	arrived := x.Pool == a.to && x.Phase == fleet.InstanceUp &&
		(x.Worker == "" || agent != nil && agent.entry != nil && agent.contacted)
	if arrived || boot >= a.until && w.listedAt >= a.until {
		delete(w.arrivals, id)
		if !arrived {
			w.uncordonUnmoved(id, a)
		}
		return false
	}
	return x.Pool != a.to || x.Phase != fleet.InstanceUp // otherwise it is counted as listed
}

// uncordonUnmoved lets tasks start again on an instance whose move was not answered and, by a list that was requested
// later, not carried out. Callers hold the dispatcher's mu.
func (w *instanceDriver) uncordonUnmoved(id string, a arrival) {
	x, agent := w.listed[id], w.d.agents[a.worker]
	if agent == nil || !agent.cordoned || x.Worker != a.worker || x.Pool == a.to ||
		x.Phase != fleet.InstanceUp || !w.notInWave(id) {
		return
	}
	agent.cordoned = false
	w.d.Log.Info().Str("event", "move_not_done").Str("instance", id).Str("worker", a.worker).Str("to", a.to).
		Msg("instance was not moved and gets tasks again")
	w.d.markDirty(agent)
	w.d.signal()
}

func (w *instanceDriver) instanceCPU() int64 {
	largest := int64(0)
	for _, x := range w.listed {
		largest = max(largest, x.Capacity.CPUMilli)
	}
	return largest
}

// waitingCPU returns the processor demand of the tasks of a pool that could start now, bounded for each team by what
// its limits leave. Callers hold mu.
func (d *Dispatcher) waitingCPU(pool string, limits scheduling.Limits) int64 {
	byTeam := map[string]int64{}
	for _, j := range d.waiting[pool] {
		for _, o := range j.Occurrences {
			for _, s := range o.Steps {
				if s.Open > 0 && s.Ready() {
					byTeam[j.Team] += s.Spec.Charge().CPUMilli * int64(s.WaitingCount())
				}
			}
		}
	}
	sum := int64(0)
	for team, waiting := range byTeam {
		if left := limits[team]; left != nil {
			waiting = min(waiting, max(left.CPUMilli, 0))
		}
		sum += waiting
	}
	return sum
}

// recordInflow records the work of the occurrences of a job with a number of at least first. Callers hold mu.
func (d *Dispatcher) recordInflow(j *job, first int) {
	if j.Spec.LongRunning() {
		return // long-running work is counted by the resources in use
	}
	i := d.inflow[j.Pool]
	if i == nil {
		i = &scheduling.Inflow{}
		d.inflow[j.Pool] = i
	}
	for _, o := range j.Occurrences {
		if o.Number >= first {
			i.Add(d.estimates.expectedWork(o), d.estimates.total(o), bootclock.Now())
		}
	}
}

// initHomeSizes sets the home size of each pool: the stored one, or else the present one, which is then stored.
func (w *instanceDriver) initHomeSizes(ctx context.Context) bool {
	w.d.mu.Lock()
	home := w.d.homeSizes
	w.d.mu.Unlock()
	if home == nil {
		home = map[string]int{}
		for _, x := range w.listed {
			home[x.Pool]++
		}
		value, err := json.Marshal(home)
		if err != nil || len(home) == 0 {
			return false
		}
		if !w.append(ctx, w.d.JobTopic, store.Record{Key: workload.HomeSizesKey, Value: value}) {
			return false
		}
	}
	w.homeSizes = home
	return true
}
