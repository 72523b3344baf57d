package dispatch

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

// deadWorkers answer nothing.
type deadWorkers struct{ calls atomic.Int64 }

func (w *deadWorkers) Start(context.Context, worker.Address, worker.Start) (int64, error) {
	w.calls.Add(1)
	return 0, worker.ErrUnknown
}

func (w *deadWorkers) Stop(context.Context, worker.Address, string, int, int64) error {
	w.calls.Add(1)
	return worker.ErrUnknown
}

func (w *deadWorkers) SetPace(context.Context, worker.Address, string, int, int, int64) error {
	return worker.ErrUnknown
}

func (w *deadWorkers) Hold(context.Context, worker.Address, worker.Hold) (worker.Report, error) {
	return worker.Report{}, worker.ErrUnknown
}

// TestStopEndsWithTheRun guards against stop orders that repeat without a pause after the lease of a dead worker has expired: they
// took all the processor time of the leader.
func TestStopEndsWithTheRun(t *testing.T) {
	is := is.New(t)
	workers := &deadWorkers{}
	d := newFixture(1)
	d.Workers = workers
	defer d.stop()
	j := d.addJob("0011223344556677", fleet.Step{Count: 1, Need: fleet.Resources{CPUMilli: 1000}})
	d.place()
	run := j.Task(0, 0, 0).Runs[0]
	run.Stored, run.Released, run.Phase = true, true, workload.RunActive
	d.mu.Lock()
	d.stopRun(run, "test")
	d.lose(d.agent("w0"), "its lease has expired")
	d.mu.Unlock()
	deadline := time.Now().Add(5 * time.Second)
	for {
		d.mu.Lock()
		left := len(d.sending)
		d.mu.Unlock()
		if left == 0 {
			break
		}
		is.True(time.Now().Before(deadline)) // the order ends when the run has gone
		time.Sleep(time.Millisecond)
	}
	calls := workers.calls.Load()
	time.Sleep(50 * time.Millisecond)
	d.mu.Lock()
	is.Equal(len(d.sending), 0)
	d.mu.Unlock()
	is.Equal(workers.calls.Load(), calls)
}

// TestIdleLeaderKeepsLeases guards against leases that lapse because the leader has had nothing to store for a while: on a calm day
// all tasks that last ended 6 s after the last job.
func TestIdleLeaderKeepsLeases(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	c := newCommitter(d)
	d.agent("w0").clockAt = d.begunAt
	d.lastStored -= renewWithoutStore + time.Second
	is.Equal(d.lease(d.agent("w0")), int64(0))
	d.storedWorkers = map[string]string{"w0": "pool"} // nothing is left to store
	b := c.next()
	is.True(b != nil)
	is.NoErr(c.run(d.ctx, b))
	is.True(d.lease(d.agent("w0")) > 0)
}

// TestAnsweringWorkerKeepsItsRuns guards against runs that are dropped from a sound worker because its last lease, from before it
// was idle, is over.
func TestAnsweringWorkerKeepsItsRuns(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	a := d.agent("w0")
	a.clockAt = d.begunAt
	a.clock, a.deadline = 60_000, 1_000
	j := d.addJob("0011223344556677", fleet.Step{Count: 1, Need: fleet.Resources{CPUMilli: 1000}})
	d.place()
	d.expireLeases()
	is.Equal(len(j.Task(0, 0, 0).Runs), 1)
	a.silentSince = 1
	d.expireLeases()
	is.Equal(len(j.Task(0, 0, 0).Runs), 0)
}

// TestProbingEnds guards against a task that waits for ever because every worker of an idle pool has failed something.
func TestProbingEnds(t *testing.T) {
	is := is.New(t)
	d := newFixture(3)
	defer d.stop()
	j := d.addJob("0011223344556677", fleet.Step{Count: 1, Need: fleet.Resources{CPUMilli: 1000}})
	task := j.Task(0, 0, 0)
	task.Failures, task.FailedOn = 1, "w0"
	now := d.now()
	for _, a := range d.agents {
		a.health.failed(now)
	}
	d.place()
	is.Equal(len(task.Runs), 0)
	d.wall = d.wall.Add(avoidMost + probeTime)
	d.dirty["pool"] = true
	d.place()
	is.Equal(len(task.Runs), 1)
	is.True(task.Runs[0].Worker != "w0")
}

// TestLateAppendEndsTheTerm guards against a leader that goes on without progress that an earlier leader's append brought after it
// had read: a slow store may carry out an append after it has fenced its writer.
func TestLateAppendEndsTheTerm(t *testing.T) {
	is := is.New(t)
	c := &committer{}
	is.NoErr(c.advance(7, 1)) // the fence
	is.NoErr(c.advance(0, 0)) // an empty append has no offset
	is.NoErr(c.advance(8, 3))
	is.True(errors.Is(c.advance(12, 1), errForeignRecords))
}

// TestDrainingWorkerGetsNothing guards against a start at a worker that has said that it drains.
func TestDrainingWorkerGetsNothing(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	a := d.agent("w0")
	draining := *a.entry
	draining.Draining = true
	d.mu.Lock()
	d.entrySeen(&draining)
	d.mu.Unlock()
	j := d.addJob("0011223344556677", fleet.Step{Count: 1, Need: fleet.Resources{CPUMilli: 1000}})
	d.place()
	is.Equal(len(j.Task(0, 0, 0).Runs), 0)
}

// TestLostRenewalCostsLittle guards against ends that stay unknown for seconds when the answer to a renewal is lost: a worker with runs that
// end by themselves is asked with a short wait, any other with a long one.
func TestLostRenewalCostsLittle(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	a := d.agent("w0")
	wait := func() time.Duration {
		_, h, ok := d.nextHold(a)
		is.True(ok)
		return h.Wait
	}
	is.Equal(wait(), idleHoldWait)
	lasts := d.addJob("0011223344556677", fleet.Step{Count: 1, LongRunning: true})
	d.place()
	lasts.Task(0, 0, 0).Runs[0].Phase = workload.RunActive
	is.Equal(wait(), holdWait)
	ends := d.addJob("0011223344556678", oneTask)
	d.place()
	ends.Task(0, 0, 0).Runs[0].Phase = workload.RunActive
	is.Equal(wait(), busyHoldWait)
}

// TestUnreachedWorkerKeepsItsRuns guards against a task that runs at two workers: a predecessor may have renewed the lease of a worker that this
// leader has not reached, without contact to the store, until renewWithoutStore after its last one.
func TestUnreachedWorkerKeepsItsRuns(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	d.Bounds.MaxLease = 10 * time.Second
	a := d.agent("w0")
	a.contacted, a.clockAt = false, 0
	slowest := time.Duration(float64(renewWithoutStore+leaseDuration) * (1 + clockDrift))
	is.True(!d.leaseExpired(a, d.begunAt+slowest)) // the worker's clock may be slow by clockDrift
	is.True(d.leaseExpired(a, d.begunAt+slowest+2*leaseMargin))
	d.Bounds.MaxLease = time.Second // a worker that shortens leases
	slowest = time.Duration(float64(renewWithoutStore+time.Second) * (1 + clockDrift))
	is.True(!d.leaseExpired(a, d.begunAt+slowest))
	is.True(d.leaseExpired(a, d.begunAt+slowest+2*leaseMargin))
	d.fencedAt += 2 * time.Second // until the fence the predecessor's appends were accepted
	is.True(!d.leaseExpired(a, d.begunAt+2*time.Second+slowest))
	is.True(d.leaseExpired(a, d.begunAt+2*time.Second+slowest+2*leaseMargin))
}

// TestReachedWorkerKeepsItsRunsUntilItsLeaseEnds guards against a task that is started elsewhere while a worker that has fallen silent still runs
// it: its clock may be slow, and it takes a moment to end what has lapsed.
func TestReachedWorkerKeepsItsRunsUntilItsLeaseEnds(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	a := d.agent("w0")
	now := bootclock.Now()
	a.clock, a.clockAt, a.deadline, a.silentSince = 1000, now, 1000+leaseDuration.Milliseconds(), now
	slow := (leaseDuration * 100 / 98).Truncate(time.Millisecond) // by a clock that is 2% slow
	is.True(!d.leaseExpired(a, now+slow+leaseMargin*9/10))        // it ends what has lapsed within leaseMargin
	is.True(d.leaseExpired(a, now+slow+2*leaseMargin))
	a.silentSince = 0
	is.True(!d.leaseExpired(a, now+time.Minute)) // of one that answers its reports tell what runs
}

// TestTermRenewsNoLeasesWithoutTheStore guards against a leader that was paused or cut off and goes on renewing leases while a successor counts on
// their end.
func TestTermRenewsNoLeasesWithoutTheStore(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	d.Bounds.MaxLease = 10 * time.Second
	a := d.agent("w0")
	a.clockAt = bootclock.Now()
	d.lastStored = bootclock.Now() - renewWithoutStore/2
	is.True(d.lease(a) > 0)
	d.lastStored = bootclock.Now() - renewWithoutStore - time.Millisecond
	is.Equal(d.lease(a), int64(0))
}

// TestSilentWorkerGetsNoLongerLease guards against renewals that are carried out late and put off the moment from which the runs of a silent
// worker may start elsewhere.
func TestSilentWorkerGetsNoLongerLease(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	d.Bounds.MaxLease = 10 * time.Second
	j := d.addJob("0011223344556677", fleet.Step{Count: 1, LongRunning: true})
	a := d.agent("w0")
	a.clockAt = bootclock.Now()
	d.attach(j.Task(0, 0, 0).Assign("w0", 1, d.now()))
	_, h, _ := d.nextHold(a)
	is.True(h.DeadlineMillis > 0)
	a.silentSince = bootclock.Now()
	_, h, _ = d.nextHold(a)
	is.Equal(h.DeadlineMillis, int64(0))
}

// TestSilentWorkerThatLivesKeepsItsRuns guards against tasks that run again elsewhere because only the way to their worker is broken: some of them may
// be done, and the worker says so when it is reached.
func TestSilentWorkerThatLivesKeepsItsRuns(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	d.Bounds.Heartbeat = 1500 * time.Millisecond
	j := d.addJob("0011223344556677", fleet.Step{Count: 1})
	a := d.agent("w0")
	d.attach(j.Task(0, 0, 0).Assign("w0", 1, d.now()))
	now := bootclock.Now()
	a.clock, a.clockAt, a.deadline = 1000, now-2*leaseDuration, 1000+leaseDuration.Milliseconds()
	a.silentSince = now - leaseDuration
	entry := *a.entry
	entry.Sequence++
	d.entrySeen(&entry)
	d.expireLeases()
	is.Equal(len(a.runs), 1)
	a.entryAt = now - entriesMissed*d.Bounds.Heartbeat // it has stopped writing, too
	d.expireLeases()
	is.Equal(len(a.runs), 0)

	d.attach(j.Task(0, 0, 0).Assign("w0", 2, d.now()))
	a.entryAt, a.silentSince = now, now-aliveWait-time.Second // it is not waited for without end
	d.expireLeases()
	is.Equal(len(a.runs), 0)
}
