package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

// listedInstances is an instances service with the given list.
type listedInstances []fleet.Instance

func (l listedInstances) List(context.Context) ([]fleet.Instance, error)     { return l, nil }
func (listedInstances) Move(context.Context, string, string, int64) error    { return nil }
func (listedInstances) Maintain(context.Context, string, int64, int64) error { return nil }

// TestWorkerMissingFromOneListKeepsItsRuns guards against a second start of running tasks because one list, which is
// read in pages, lacks their instance.
func TestWorkerMissingFromOneListKeepsItsRuns(t *testing.T) {
	is := is.New(t)
	d := newFixture(2)
	d.Workers = &unresponsiveWorkers{}
	defer d.stop()
	d.agent("w0").firstSeen -= time.Minute
	d.agent("w1").firstSeen -= time.Minute
	j := d.addJob(unreadJob, oneTask)
	run := j.Task(0, 0, 0).Assign("w0", 1, d.now())
	run.Stored, run.Released, run.Phase = true, true, workload.RunActive
	d.attach(run)
	w := newInstanceDriver(d)
	list := func(all ...fleet.Instance) {
		d.Instances = listedInstances(all)
		w.mu.Lock()
		defer w.mu.Unlock()
		is.True(w.refresh(d.ctx))
	}
	first := fleet.Instance{ID: "m0", Phase: fleet.InstanceUp, Worker: "w0"}
	second := fleet.Instance{ID: "m1", Phase: fleet.InstanceUp, Worker: "w1"}
	list(first, second)
	list(second)
	is.Equal(len(d.agent("w0").runs), 1)
	is.True(w.relist) // a new leader waits for the answer before it starts anything in the pool
	list(first, second)
	list(second)
	is.Equal(len(d.agent("w0").runs), 1)
	list(second)
	is.Equal(len(d.agent("w0").runs), 0) // its instance was removed
	is.True(!w.relist)

	run = j.Task(0, 0, 0).Assign("w1", 2, d.now())
	run.Released = true
	d.attach(run)
	second.Worker = "w2"
	list(second)
	is.Equal(len(d.agent("w1").runs), 0) // its instance has another worker
}

// list applies a list of instances.
func (w *instanceDriver) list(t *testing.T, all ...fleet.Instance) {
	t.Helper()
	w.d.Instances = listedInstances(all)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.refresh(w.d.ctx) {
		t.Fatal("the list was not read")
	}
}

// TestLaggingListKeepsTheRunsOfTheNextLife guards against a list that still shows a worker's crash after the worker is
// back under its ID, and from which the leader drops the runs of its next life. They started elsewhere as well.
func TestLaggingListKeepsTheRunsOfTheNextLife(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	a := d.agent("w0")
	a.firstSeen -= time.Minute
	d.applyReport(a, worker.Report{ClockMillis: 1, Incarnation: 1}, bootclock.Now())
	w := newInstanceDriver(d)
	up := fleet.Instance{ID: "m0", Pool: "pool", Phase: fleet.InstanceUp, Worker: "w0"}
	down := fleet.Instance{ID: "m0", Pool: "pool", Phase: fleet.InstanceDown}
	w.list(t, up)
	d.applyReport(a, worker.Report{ClockMillis: 1, Incarnation: 2}, bootclock.Now())
	j := d.addJob(unreadJob, oneTask)
	run := j.Task(0, 0, 0).Assign("w0", 1, d.now())
	run.Stored, run.Released, run.Phase = true, true, workload.RunActive
	d.attach(run)
	w.list(t, down)
	w.list(t, down)
	is.Equal(len(a.runs), 1)
	a.incarnationAt -= 3 * time.Second // as old as the state on the list may be
	w.list(t, down)
	is.Equal(len(a.runs), 0)
}

// TestNewWorkerOutlastsALaggingList guards against a list that does not show a worker yet, and from which the leader
// drops the runs of the worker.
func TestNewWorkerOutlastsALaggingList(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	a := d.agent("w0")
	d.applyReport(a, worker.Report{ClockMillis: 1, Incarnation: 1}, bootclock.Now())
	run := d.addJob(unreadJob, oneTask).Task(0, 0, 0).Assign("w0", 1, d.now())
	run.Stored, run.Released, run.Phase = true, true, workload.RunActive
	d.attach(run)
	w := newInstanceDriver(d)
	for range 3 {
		w.list(t, fleet.Instance{ID: "m0", Pool: "pool", Phase: fleet.InstanceMoving})
	}
	is.Equal(len(a.runs), 1)
}

// TestNewLeaderWaitsForACrashedWorker guards against a new leader that gives a worker up by two lists on which its
// instance is down, although the worker is back under its ID and runs what the former leader started, and against one
// that waits for a worker whose instance was moved because an instance of another rack has crashed.
func TestNewLeaderWaitsForACrashedWorker(t *testing.T) {
	down := fleet.Instance{ID: "m0", Pool: "pool", Phase: fleet.InstanceDown}
	other, moving, off, racked := down, down, down, down
	other.Pool = "other"
	racked.Labels = []string{"kind", "rack1"}
	moving.Phase = fleet.InstanceMoving
	off.Pool = "spare"
	entryIn := func(rack string) *fleet.WorkerEntry {
		return &fleet.WorkerEntry{ID: "w0", Pool: "pool", Incarnation: time.Now().UnixMilli(), Rack: rack}
	}
	entryOf := func(age time.Duration) *fleet.WorkerEntry {
		return &fleet.WorkerEntry{ID: "w0", Pool: "pool", Incarnation: time.Now().Add(-age).UnixMilli()}
	}
	for name, x := range map[string]struct {
		listed   fleet.Instance
		known    time.Duration
		entry    *fleet.WorkerEntry
		noEntry  bool
		rejected bool
		waits    bool
	}{
		"down": {listed: down, waits: true}, "down for long": {listed: down, known: 3 * time.Second},
		"down, and its entry is old":      {listed: down, entry: entryOf(time.Minute)},
		"down, and its entry is young":    {listed: down, entry: entryOf(time.Second), waits: true},
		"down, and clocks may differ":     {listed: down, entry: entryOf(maxListLag + maxClockSkew/2), waits: true},
		"down, and its entry has expired": {listed: down, noEntry: true},
		"down, and its entry is odd":      {listed: down, noEntry: true, rejected: true, waits: true},
		"down in another rack":            {listed: racked, entry: entryIn("rack2")},
		"down in its rack":                {listed: racked, entry: entryIn("rack1"), waits: true},
		"down, and its rack is unknown":   {listed: racked, entry: entryIn(""), waits: true},
		"down in an unknown rack":         {listed: down, entry: entryIn("rack1"), waits: true},
		"down in another pool":            {listed: other}, "ordered away": {listed: moving}, "standby": {listed: off},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newFixture(1)
			defer d.stop()
			a := d.agent("w0")
			a.unchecked, a.contacted, a.clockAt = true, false, 0
			a.firstSeen -= x.known
			d.Bounds.Heartbeat, d.entriesRead = 1500*time.Millisecond, true
			if x.entry != nil || x.noEntry {
				a.entry = x.entry
			}
			if x.rejected {
				d.entryLog.note("w0")
			}
			d.storedWorkers["w0"] = "pool"
			w := newInstanceDriver(d)
			w.list(t, x.listed)
			is.True(a.unchecked) // one list may lack its instance
			w.list(t, x.listed)
			is.Equal(a.unchecked, x.waits)
		})
	}
}

// TestNewLeaderWaitsForACrashedWorkerOfUnknownPool guards against a new leader that gives a worker up by two lists on
// which its instance is down, because the set of workers was stored before the worker joined. The worker may be back
// under its ID and run what the former leader stored and started.
func TestNewLeaderWaitsForACrashedWorkerOfUnknownPool(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	d.Workers = &unresponsiveWorkers{}
	defer d.stop()
	a := d.agent("w0")
	a.contacted, a.clockAt = false, 0
	is.Equal(d.storedWorkers["w0"], "")
	run := d.addJob(unreadJob, oneTask).Task(0, 0, 0).Assign("w0", 1, d.now())
	run.Stored, run.Released, run.Inherited = true, true, true
	d.attach(run)
	w := newInstanceDriver(d)
	for range 2 {
		w.list(t, fleet.Instance{ID: "m0", Pool: "pool", Phase: fleet.InstanceDown})
		is.Equal(len(a.runs), 1)
	}
	a.firstSeen -= maxListLag
	w.list(t, fleet.Instance{ID: "m0", Pool: "pool", Phase: fleet.InstanceDown})
	is.Equal(len(a.runs), 0)
}

// TestNothingIsAssignedToAWorkerListedAsDown guards against runs that are assigned to a worker right after a list has
// shown its crash. The list after it dropped them, and the next life of the worker carried out their starts.
func TestNothingIsAssignedToAWorkerListedAsDown(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	d.Workers = &unresponsiveWorkers{}
	defer d.stop()
	a := d.agent("w0")
	asked := bootclock.Now()
	d.applyReport(a, worker.Report{ClockMillis: 1, Incarnation: 1}, asked)
	a.firstSeen, a.incarnationAt = a.firstSeen-time.Minute, a.incarnationAt-time.Minute
	w := newInstanceDriver(d)
	w.list(t, fleet.Instance{ID: "m0", Pool: "pool", Phase: fleet.InstanceUp, Worker: "w0"})
	w.list(t, fleet.Instance{ID: "m0", Pool: "pool", Phase: fleet.InstanceDown})
	j := d.addJob(unreadJob, oneTask)
	assigned := func() int {
		d.dirty["pool"] = true
		d.place()
		return len(j.Task(0, 0, 0).Runs)
	}
	is.Equal(assigned(), 0)
	d.applyReport(a, worker.Report{ClockMillis: 1, Incarnation: 1}, asked) // an answer from before the crash
	is.Equal(assigned(), 0)
	d.applyReport(a, worker.Report{ClockMillis: 1, Incarnation: 2}, bootclock.Now())
	is.Equal(assigned(), 1)
}

// TestListVerdict guards against a list that decides about a worker of which it says nothing.
func TestListVerdict(t *testing.T) {
	const lag = maxListLag
	at := time.Hour // the request of the list
	down := fleet.Instance{ID: "m0", Pool: "pool", Phase: fleet.InstanceDown}
	off := fleet.Instance{ID: "m0", Pool: "spare", Phase: fleet.InstanceUp}
	pools := []fleet.Pool{{Name: "pool"}, {Name: "spare", Standby: true}}
	config := followConfig(t, &fleet.Config{Version: 1, Pools: pools})
	phase := func(p fleet.InstancePhase, id string) fleet.Instance {
		return fleet.Instance{ID: "m0", Pool: "pool", Phase: p, Worker: id}
	}
	alive := knownWorker{id: "w0", instance: "m0", answered: true, incarnationSince: at - lag - 1}
	with := func(change func(*knownWorker)) knownWorker {
		k := alive
		change(&k)
		return k
	}
	young := with(func(k *knownWorker) { k.incarnationSince = at - lag })
	for name, x := range map[string]struct {
		listed fleet.Instance
		known  knownWorker
		want   listVerdict
	}{
		"listed":                  {phase(fleet.InstanceUp, "w0"), alive, listShowsNothing},
		"crashed":                 {down, alive, listShowsCrash},
		"crashed, young life":     {down, young, listShowsNothing},
		"crashed, answered since": {down, with(func(k *knownWorker) { k.askedAt = at }), listShowsNothing},
		"crashed, seen since":     {down, with(func(k *knownWorker) { k.firstSeen = at }), listShowsNothing},
		"replaced":                {phase(fleet.InstanceUp, "w1"), young, listShowsEnd},
		"replaced, answered since": {
			phase(fleet.InstanceUp, "w1"), with(func(k *knownWorker) { k.askedAt = at }), listShowsNothing,
		},
		"moving":              {phase(fleet.InstanceMoving, ""), young, listShowsEnd},
		"maintained":          {phase(fleet.InstanceMaintenance, ""), young, listShowsEnd},
		"up without a worker": {phase(fleet.InstanceUp, ""), young, listShowsNothing},
		"switched off":        {off, young, listShowsEnd},
		"missing once":        {fleet.Instance{ID: "m1"}, alive, listUncertain},
		"never listed": {
			fleet.Instance{ID: "m1"}, with(func(k *knownWorker) { k.instance = "" }), listShowsCrash,
		},
		"never listed, first list":    {down, knownWorker{id: "w0", firstSeen: at - 1}, listUncertain},
		"never listed, no answer":     {down, knownWorker{id: "w0", pool: "other"}, listShowsEnd},
		"never listed, pool crashed":  {down, knownWorker{id: "w0", pool: "pool", incarnationSince: at - lag}, listShowsNothing},
		"never listed, crashed early": {down, knownWorker{id: "w0", pool: "pool", incarnationSince: at - lag - 1}, listShowsCrash},
	} {
		t.Run(name, func(t *testing.T) {
			before := map[string]fleet.Instance{"m0": phase(fleet.InstanceUp, "w0")}
			listed := map[string]fleet.Instance{x.listed.ID: x.listed}
			d := newFixture(0)
			defer d.stop()
			d.Follower = config
			mayReturn := newInstanceDriver(d).mayReturn
			is.New(t).Equal(newInstanceList(listed, before, at, at-1, mayReturn).judge(x.known), x.want)
		})
	}
}
