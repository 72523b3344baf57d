package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/follow"
	"pollenlead/internal/store"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

// addressedWorkers answers renewals with the report of the worker that lives at the called address. Another worker
// answers everywhere else.
type addressedWorkers struct {
	unresponsiveWorkers
	reports map[string]worker.Report
	// called lists the addresses of the renewals. stop is called in the first renewal after left ones.
	called []string
	left   int
	stop   func()
}

func (w *addressedWorkers) Hold(_ context.Context, to worker.Address, _ worker.Hold) (worker.Report, error) {
	w.called = append(w.called, to.Address)
	if len(w.called) > w.left {
		w.stop()
	}
	r, ok := w.reports[to.Address]
	if !ok {
		return worker.Report{}, worker.ErrOtherWorker
	}
	return r, nil
}

func (w *addressedWorkers) Start(_ context.Context, to worker.Address, _ worker.Start) (int64, error) {
	if _, ok := w.reports[to.Address]; !ok {
		return 0, worker.ErrOtherWorker
	}
	return 0, nil
}

func (w *addressedWorkers) Stop(_ context.Context, to worker.Address, _ string, _ int, _ int64) error {
	if _, ok := w.reports[to.Address]; !ok {
		return worker.ErrOtherWorker
	}
	return nil
}

// soundAddress is the address at which the worker of newEntryFixture answers.
const soundAddress = "127.0.0.1:1"

// newEntryFixture returns a dispatcher with a second, idle worker and the sound worker w0, which has reported
// incarnation 1000 at soundAddress and runs the first run of the returned task.
func newEntryFixture(t *testing.T) (*Dispatcher, *addressedWorkers, *agent, *workload.Task) {
	t.Helper()
	d := newFixture(1)
	t.Cleanup(d.stop)
	d.Bounds.MaxLease, d.Bounds.Heartbeat = 10*time.Second, 1500*time.Millisecond
	j := d.addJob("0011223344556677", fleet.Step{Count: 1, Need: fleet.Resources{CPUMilli: 1000}})
	d.place()
	task := j.Task(0, 0, 0)
	run := task.Runs[0]
	run.Stored, run.Released, run.Phase, run.ActiveSince = true, true, workload.RunActive, d.now()
	workers := &addressedWorkers{reports: map[string]worker.Report{soundAddress: {
		ClockMillis: 1000, Incarnation: 1000, Running: []worker.Running{{Task: task.Name(), Run: 1}},
	}}}
	d.Workers = workers
	a := d.agent("w0")
	a.entry.Incarnation, a.entry.Sequence = 1000, 1
	renewTimes(d, workers, a, 1)
	other := d.agent("w1")
	other.entry = &fleet.WorkerEntry{ID: "w1", Pool: "pool", Address: "127.0.0.1:2", Capacity: a.entry.Capacity}
	other.contacted, other.renewing, other.clockAt = true, true, bootclock.Now()+time.Hour
	return d, workers, a, task
}

// renewTimes runs the worker's renewal until n renewals have been applied.
func renewTimes(d *Dispatcher, workers *addressedWorkers, a *agent, n int) {
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	workers.called = nil
	workers.left, workers.stop = n, cancel
	d.renew(ctx, a)
	workers.called = workers.called[:n] // the last call was cancelled
}

// TestEntryAloneDropsNoRuns guards against an entry with a later incarnation under the ID of a sound worker, left by
// another writer, that makes the worker's running tasks run a second time elsewhere.
func TestEntryAloneDropsNoRuns(t *testing.T) {
	is := is.New(t)
	d, workers, a, task := newEntryFixture(t)
	for n := range int64(3) { // however often it is repeated
		odd := *a.entry
		odd.Incarnation, odd.Sequence = 1<<62, 2+n
		d.updateEntry(&odd)
		is.Equal(a.entry.Incarnation, int64(1000))
	}
	d.place()
	is.Equal(len(task.Runs), 1) // the worker itself has reported no restart
	is.Equal(task.Runs[0].Number, 1)
	renewTimes(d, workers, a, 1)
	d.expireLeases()
	is.Equal(task.Runs[0].Number, 1)
	is.Equal(a.silentSince, time.Duration(0))
}

// TestRestartedWorkerIsFoundByItsReport guards against runs that stay assigned to a worker that has restarted under its
// ID, at its former address or at another one.
func TestRestartedWorkerIsFoundByItsReport(t *testing.T) {
	for name, address := range map[string]string{"same address": soundAddress, "other address": "127.0.0.1:7"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, workers, a, task := newEntryFixture(t)
			workers.reports = map[string]worker.Report{address: {ClockMillis: 5, Incarnation: 2000}}
			restarted := *a.entry
			restarted.Incarnation, restarted.Sequence, restarted.Address = 2000, 1, address
			restarted.Capacity.CPUMilli = 8000 // the new start may be of another kind
			d.updateEntry(&restarted)
			renewTimes(d, workers, a, 3)
			is.Equal(a.incarnation, int64(2000))
			is.Equal(a.address().Address, address)
			is.Equal(a.entry.Capacity.CPUMilli, int64(8000))
			is.Equal(len(a.runs), 0)
			is.Equal(len(task.Runs), 0) // so the task waits for its next run
			is.Equal(a.silentSince, time.Duration(0))
		})
	}
}

// TestNothingStartsByAnEntryOfAnotherIncarnation guards against tasks that are placed by the capacity and labels of a
// worker's former life, or by those of an odd entry that was read before the worker answered.
func TestNothingStartsByAnEntryOfAnotherIncarnation(t *testing.T) {
	is := is.New(t)
	d, _, a, _ := newEntryFixture(t)
	a.clockAt = bootclock.Now()
	is.True(d.usable(a, d.now(), bootclock.Now()))
	a.entry.Incarnation = 1 << 62
	is.True(!d.usable(a, d.now(), bootclock.Now()))
	sound := *a.entry
	sound.Incarnation = a.incarnation
	d.updateEntry(&sound)
	is.True(d.usable(a, d.now(), bootclock.Now()))
}

// TestContradictingEntryIsNotUsed guards against tasks that are started on a worker of another pool, beyond its
// capacity or without a required label because another writer left an entry under the worker's ID, and against a worker
// that is called at a wrong address. These properties never change while a worker lives.
func TestContradictingEntryIsNotUsed(t *testing.T) {
	for name, alter := range map[string]func(e *fleet.WorkerEntry){
		"address":  func(e *fleet.WorkerEntry) { e.Address = "127.0.0.1:7" },
		"pool":     func(e *fleet.WorkerEntry) { e.Pool = "other" },
		"zone":     func(e *fleet.WorkerEntry) { e.Zone = "z9" },
		"labels":   func(e *fleet.WorkerEntry) { e.Labels = []string{"gpu", "r9-9"} },
		"capacity": func(e *fleet.WorkerEntry) { e.Capacity.CPUMilli = 1 << 40 },
		"draining": func(e *fleet.WorkerEntry) { e.Draining, e.Incarnation = true, 900 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, workers, a, task := newEntryFixture(t)
			sound := *a.entry
			odd := sound
			odd.Sequence++
			alter(&odd)
			for range 3 { // the sound worker goes on to write its own entry
				d.updateEntry(&odd)
				is.Equal(*a.entry, sound)
				renewTimes(d, workers, a, 1)
				is.Equal(workers.called, []string{soundAddress})
				sound.Sequence++
				next := sound
				d.updateEntry(&next)
				is.Equal(*a.entry, sound)
			}
			is.Equal(task.Runs[0].Number, 1)
		})
	}
}

// TestRepeatedEntryIsUsed guards against a worker that is never used as it is because the leader has read an odd entry
// under its ID first.
func TestRepeatedEntryIsUsed(t *testing.T) {
	is := is.New(t)
	d, _, a, _ := newEntryFixture(t)
	moved := *a.entry
	moved.Pool = "other"
	for range 2 {
		moved.Sequence++
		next := moved
		d.updateEntry(&next)
	}
	is.Equal(a.entry.Pool, "other")
}

// TestOtherWorkerAtUnprovenAddress guards against running tasks that run a second time elsewhere because an entry names
// a wrong address for their worker, at which another worker refuses the call. The address shows something about the
// worker only if the worker has answered there.
func TestOtherWorkerAtUnprovenAddress(t *testing.T) {
	is := is.New(t)
	d, workers, a, task := newEntryFixture(t)
	a.answeredAt = "" // this leader has read only the odd entry so far
	a.incarnation = 0
	odd := *a.entry
	odd.Address, odd.Sequence = "127.0.0.1:7", 2
	d.updateEntry(&odd)
	renewTimes(d, workers, a, 1)
	is.Equal(len(a.runs), 1)
	is.True(a.silentSince != 0)                                     // the runs are dropped when the lease has expired
	is.True(!d.sendStop(a, a.address(), task.Name(), task.Runs[0])) // the stop has reached no worker
	is.Equal(len(a.runs), 1)
	second := d.addJob("0011223344556688", fleet.Step{Count: 1}).Task(0, 0, 0)
	refused := second.Assign("w0", 1, d.now())
	d.attach(refused)
	d.start(a, refused)
	is.Equal(len(second.Runs), 0) // no worker has received this start
	is.Equal(len(a.runs), 1)
}

// TestOtherWorkerAtProvenAddress guards against tasks that wait for a lease although their worker is gone: another
// worker answers at the address at which it has answered.
func TestOtherWorkerAtProvenAddress(t *testing.T) {
	is := is.New(t)
	d, workers, a, task := newEntryFixture(t)
	early := bootclock.Now() - time.Minute
	d.applyOtherWorker(a, soundAddress, early) // refused before the worker answered there
	is.Equal(len(a.runs), 1)
	workers.reports = nil
	renewTimes(d, workers, a, 1)
	is.Equal(len(a.runs), 0)
	is.Equal(len(task.Runs), 0)
	d.place()
	is.Equal(task.Runs[0].Worker, "w1")
}

// TestSilentWorkerIsSearchedAtBothAddresses guards against a worker that stays silent because the leader follows an
// entry with a wrong address, or does not follow a sound one.
func TestSilentWorkerIsSearchedAtBothAddresses(t *testing.T) {
	is := is.New(t)
	d, workers, a, _ := newEntryFixture(t)
	claim := *a.entry
	claim.Address, claim.Sequence = "127.0.0.1:7", 2
	d.updateEntry(&claim)
	a.silentSince = bootclock.Now()
	workers.reports = nil
	renewTimes(d, workers, a, 2)
	is.Equal(workers.called, []string{claim.Address, soundAddress})
}

// operatorStore holds a configuration in the operator's topic.
type operatorStore struct{ emptyStore }

func (operatorStore) ReadNewest(context.Context, string, int, string) (store.Newest, error) {
	return store.Newest{Records: []store.Record{{Key: "config", Value: []byte("1")}}, End: 1}, nil
}

// followPools returns a follower that has read a configuration with the given pool.
func followPools(t *testing.T, pool string) *follow.Follower {
	t.Helper()
	return followConfig(t, &fleet.Config{Version: 1, Pools: []fleet.Pool{{Name: pool}}})
}

// followConfig returns a follower that has read the given configuration.
func followConfig(t *testing.T, c *fleet.Config) *follow.Follower {
	t.Helper()
	f := follow.New(operatorStore{}, follow.Decoder{
		ConfigKey: "config", IsWave: func(string) bool { return false },
		Config: func([]byte) (*fleet.Config, error) {
			read := *c // the follower may read the record again while the test uses the first result
			read.Index()
			return &read, nil
		},
	}, zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	changed := f.Changed()
	go f.Run(ctx)
	<-changed
	return f
}

// TestRejectedEntryIsLoggedOnce guards against odd entries that are dropped without a trace, that fill the log with one
// line for each heartbeat, or that withdraw the sound entry of the same worker and the entries beside it.
func TestRejectedEntryIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	d := newFixture(2)
	defer d.stop()
	d.Log = zerolog.New(&log)
	d.Follower = followPools(t, "pool")
	d.DecodeEntry = func(id string, value []byte) (*fleet.WorkerEntry, error) {
		if string(value) != "sound" {
			return nil, errors.New(string(value))
		}
		return &fleet.WorkerEntry{ID: id, Pool: "pool", Address: "127.0.0.1:1", Sequence: 7}, nil
	}
	before, held := d.counters.badEntries.Value(), d.agent("w0").entry
	for range 50 {
		d.applyEntry(store.Record{Key: "w0", Value: []byte("port")})
		d.applyEntry(store.Record{Key: "w1", Value: []byte("sound")})
	}
	d.applyEntry(store.Record{Key: "w0", Value: []byte("nesting")})
	d.applyEntry(store.Record{Value: []byte("port")}) // without a key
	is.Equal(d.counters.badEntries.Value()-before, int64(52))
	is.Equal(strings.Count(log.String(), "bad_worker_entry"), 3)
	is.True(d.agent("w0").entry == held)
	is.Equal(d.agent("w1").entry.Sequence, int64(7))
	for n := range 3 * maxLoggedEntries { // the memory for what was logged is bounded
		d.applyEntry(store.Record{Key: fmt.Sprint(n), Value: bytes.Repeat([]byte("x"), 1000)})
	}
	is.Equal(len(d.entryLog.seen), maxLoggedEntries)
	is.Equal(strings.Count(log.String(), "bad_worker_entry"), maxLoggedEntries)
	is.True(log.Len() < maxLoggedEntries*2*maxReasonBytes)
}

// TestNothingIsAssignedToAWorkerWhoseAddressIsTaken guards against runs that are assigned to a worker right after
// another one has answered at its address.
func TestNothingIsAssignedToAWorkerWhoseAddressIsTaken(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	a := d.agent("w0")
	a.answeredAt, a.answeredTime = a.entry.Address, bootclock.Now()
	d.applyMismatch(a, a.address(), worker.ErrOtherWorker, bootclock.Now())
	j := d.addJob("0011223344556677", oneTask)
	d.place()
	is.Equal(len(j.Task(0, 0, 0).Runs), 0)
}
