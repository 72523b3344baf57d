package dispatch

import (
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
)

// A list of instances shows a state of the past. A worker that crashes may come back under its ID, so a list on which
// its instance is down may speak of an earlier incarnation of the worker than the one that has the runs.

// maxListLag bounds the age of the state that a list of instances shows, since the platform names no bound.
const maxListLag = 2 * time.Second

// expiredEntryIntervals is the number of heartbeat intervals after which the entry of a silent worker expires.
const expiredEntryIntervals = 3

// listVerdict is what a list of instances says of a worker.
type listVerdict int

const (
	listShowsNothing listVerdict = iota // the worker is listed, or the list may be older than its present incarnation
	listUncertain                       // the next list decides
	listShowsCrash                      // the worker's present incarnation is over; it may come back under its ID
	listShowsEnd                        // the worker is over and its ID never comes back
)

// instanceList is a list of instances with what the judgement of a worker needs.
type instanceList struct {
	// requested is the boot clock at which the list was requested, and previous the one of the list before.
	requested, previous time.Duration
	instances           map[string]fleet.Instance
	// workers holds the workers that the list shows, and before the instances that the list before showed.
	workers map[string]bool
	before  map[string]fleet.Instance
	// mayReturn reports whether the worker of an instance without a worker may come back under its ID.
	mayReturn func(fleet.Instance) bool
	// crashed holds the pools and racks with an instance whose worker may come back.
	crashed map[poolRack]bool
}

// poolRack names where a worker that crashed may come back: an instance stays in its rack and, without an order, in its
// pool.
type poolRack struct{ pool, rack string }

func newInstanceList(
	listed, before map[string]fleet.Instance, requested, previous time.Duration, mayReturn func(fleet.Instance) bool,
) *instanceList {
	l := &instanceList{
		requested: requested, previous: previous, instances: listed, before: before, workers: map[string]bool{},
		mayReturn: mayReturn, crashed: map[poolRack]bool{},
	}
	for _, x := range listed {
		if x.Worker != "" {
			l.workers[x.Worker] = true
		} else if mayReturn(x) {
			l.crashed[poolRack{x.Pool, x.Rack()}] = true
		}
	}
	return l
}

// knownWorker is what the leader knows of a worker apart from the list. Times are boot clocks.
type knownWorker struct {
	id string
	// instance is the one with which a list last showed the worker; "" if none did.
	instance string
	// pool is the stored pool of a worker that has not answered in this term; "" if it joined after the set of workers was
	// stored. rack is the rack that its entry names; "" if there is no entry.
	pool, rack string
	// answered means that the worker has answered in this term.
	answered bool
	// firstSeen is when the worker became known, incarnationSince is after the start of its present incarnation, and
	// askedAt is when the last renewal was sent that it has answered.
	firstSeen, incarnationSince, askedAt time.Duration
}

// judge returns what the list says of a worker. The list comes in pages and may lack an instance that is there, so a
// worker whose instance is missing is judged only if the list before had no such instance either.
func (l *instanceList) judge(k knownWorker) listVerdict {
	if l.workers[k.id] || k.firstSeen >= l.requested || k.askedAt >= l.requested {
		return listShowsNothing
	}
	mayBeOlder := l.requested-k.incarnationSince <= maxListLag // than the worker's present incarnation
	x, listed := l.instances[k.instance]
	_, listedBefore := l.before[k.instance]
	switch {
	case k.instance == "" && k.firstSeen >= l.previous, k.instance != "" && !listed && listedBefore:
		return listUncertain
	case k.instance != "" && !listed:
		return listShowsEnd // the instance was removed
	case k.instance != "" && !l.mayReturn(x):
		return listShowsEnd // the instance has another worker, is on its way, or is switched off
	case k.instance == "" && !k.answered && !l.hasCrashedIn(k.pool, k.rack):
		return listShowsEnd // no instance from which the worker could come back
	case mayBeOlder:
		return listShowsNothing
	}
	return listShowsCrash
}

// hasCrashedIn reports whether the list shows an instance of the pool and the rack whose worker may come back. An empty
// name stands for any pool or rack, also on the list.
func (l *instanceList) hasCrashedIn(pool, rack string) bool {
	for at := range l.crashed {
		if (pool == "" || at.pool == pool) && (rack == "" || at.rack == "" || at.rack == rack) {
			return true
		}
	}
	return false
}

// mayReturn reports whether the worker of a listed instance may come back under its ID. An instance without a worker
// has crashed, unless it was ordered away or is switched off. Callers hold the dispatcher's mu.
func (w *instanceDriver) mayReturn(x fleet.Instance) bool {
	if x.Worker != "" || x.Phase != fleet.InstanceUp && x.Phase != fleet.InstanceDown {
		return false
	}
	c := w.d.Follower.Config()
	if c == nil {
		return true
	}
	p := c.Pool(x.Pool)
	return p == nil || !p.Standby
}

// applyList drops the runs of workers that are over according to a list that was requested at the boot clock sent.
// Nothing is assigned to them until they have answered again. Callers hold mu.
func (w *instanceDriver) applyList(listed map[string]fleet.Instance, sent time.Duration) {
	d := w.d
	w.relist = false
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noteInstances(w.listed)
	d.noteInstances(listed)
	list := newInstanceList(listed, w.listed, sent, w.listedAt, w.mayReturn)
	for _, a := range d.agents {
		switch list.judge(d.knownWorker(a)) {
		case listUncertain:
			w.relist = w.relist || a.unchecked || len(a.runs) > 0
		case listShowsCrash:
			d.applyMissing(a, sent, "its instance is down")
		case listShowsEnd:
			d.applyMissing(a, sent, "its instance has another worker or none")
		}
	}
}

// noteInstances records the instance of each listed worker. Callers hold mu.
func (d *Dispatcher) noteInstances(listed map[string]fleet.Instance) {
	for id, x := range listed {
		if a := d.agents[x.Worker]; a != nil {
			a.instance = id
		}
	}
}

// knownWorker returns what is known of a worker apart from a list. Callers hold mu.
func (d *Dispatcher) knownWorker(a *agent) knownWorker {
	k := knownWorker{
		id: a.id, instance: a.instance, pool: d.storedWorkers[a.id], answered: a.contacted,
		firstSeen: a.firstSeen, incarnationSince: d.incarnationSince(a), askedAt: a.askedAt,
	}
	if a.entry != nil {
		k.rack = a.entry.Rack
	}
	return k
}

// incarnationSince returns a boot clock after the start of the worker's present incarnation. An earlier leader has
// started tasks only on an incarnation whose entry it had read, so the entry tells that of a worker that has not
// answered in this term. Without an entry, it is as old as an entry takes to expire. Callers hold mu.
func (d *Dispatcher) incarnationSince(a *agent) time.Duration {
	now := bootclock.Now()
	switch {
	case a.incarnation != 0:
		return a.incarnationAt
	case a.entry != nil && a.entry.Incarnation != 0:
		return min(a.firstSeen, now-time.Since(time.UnixMilli(a.entry.Incarnation))+maxClockSkew)
	case a.entry == nil && d.entriesRead && !d.entryLog.mayBeUnused(a.id):
		return min(a.firstSeen, now-expiredEntryIntervals*d.Bounds.Heartbeat)
	}
	return a.firstSeen
}

// applyMissing drops the runs of a worker that is over according to a list that was requested at the boot clock sent.
// Callers hold mu.
func (d *Dispatcher) applyMissing(a *agent, sent time.Duration, why string) {
	a.treatAsSilent(sent)
	if !a.unchecked && len(a.runs) == 0 {
		return
	}
	d.endCheck(a, checkReplaced)
	d.dropRuns(a, why)
	d.markAllDirty()
}
