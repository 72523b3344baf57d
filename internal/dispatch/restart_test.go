package dispatch

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

// doneEnd returns an end of the job's first run.
func doneEnd(number int64, task string) []worker.End {
	return []worker.End{{Number: number, Task: task, Run: 1, Kind: worker.EndDone}}
}

// TestRunOfRestartedWorkerIsKept guards against a run that is dropped because its worker has started again, although
// the start arrived after that and the run goes on. The task ran elsewhere at the same time.
func TestRunOfRestartedWorkerIsKept(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	d.Workers = &unresponsiveWorkers{}
	defer d.stop()
	a := d.agent("w0")
	d.applyReport(a, worker.Report{ClockMillis: 1, Incarnation: 1}, bootclock.Now())
	active, inFlight, lost := d.addJob("0011223344556677", oneTask), d.addJob("0011223344556678", oneTask),
		d.addJob("0011223344556679", oneTask)
	d.place()
	run := func(j *job) *workload.Run { return j.Task(0, 0, 0).Runs[0] }
	for _, j := range []*job{active, inFlight, lost} {
		run(j).Stored, run(j).Released = true, true
	}
	d.ordersInFlight[run(inFlight)] = true
	for _, j := range []*job{active, lost} {
		run(j).Phase, run(j).ActiveSince = workload.RunActive, d.now()
	}
	d.applyReport(a, worker.Report{ClockMillis: 1, Incarnation: 2, Running: []worker.Running{
		{Task: active.Task(0, 0, 0).Name(), Run: 1},
	}}, bootclock.Now())
	is.Equal(len(active.Task(0, 0, 0).Runs), 1)   // the worker has it since it started again
	is.Equal(len(inFlight.Task(0, 0, 0).Runs), 1) // its start is not sent yet
	is.Equal(len(lost.Task(0, 0, 0).Runs), 0)
	is.Equal(len(a.strayStops), 0)
}

// TestReportOfEarlierIncarnationIsIgnored guards against a report from before a worker's restart that is read after
// the leader knows of it, for example by a leader that was paused. The ends of the restarted worker were then
// acknowledged unseen by the numbers of the earlier ones.
func TestReportOfEarlierIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	a := d.agent("w0")
	d.applyReport(a, worker.Report{ClockMillis: 1, Incarnation: 1}, bootclock.Now())
	j := d.addJob("0011223344556677", oneTask)
	sent := bootclock.Now()
	d.applyReport(a, worker.Report{ClockMillis: 1, Incarnation: 2}, bootclock.Now())
	d.applyReport(a, worker.Report{ClockMillis: 9, Incarnation: 1, Ended: doneEnd(57, j.Task(0, 0, 0).Name())}, sent)
	is.Equal(a.incarnation, int64(2))
	is.Equal(a.seenEnd, int64(0))
	is.Equal(a.clock, int64(1))
	// A worker's clock may have been set back before it restarted.
	d.applyReport(a, worker.Report{ClockMillis: 1, Incarnation: 1}, bootclock.Now())
	is.Equal(a.incarnation, int64(1))
}

// TestEndsStoredAfterARestartAreNotAcknowledged guards against ends of a restarted worker that are acknowledged unseen
// because the store has accepted ends with higher numbers from before the restart. Their tasks ran again.
func TestEndsStoredAfterARestartAreNotAcknowledged(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	a := d.agent("w0")
	j := d.addJob("0011223344556677", fleet.Step{Count: 2})
	d.applyReport(a, worker.Report{ClockMillis: 1, Incarnation: 1, Ended: doneEnd(57, j.Task(0, 0, 0).Name())},
		bootclock.Now())
	b := d.collectBatch()
	is.True(b != nil)
	d.applyReport(a, worker.Report{ClockMillis: 1, Incarnation: 2, Ended: doneEnd(1, j.Task(0, 0, 1).Name())},
		bootclock.Now())
	d.applyCommitted(b)
	_, h, ok := d.nextHold(a)
	is.True(ok)
	is.Equal(h.Acknowledged, int64(0))
	d.applyCommitted(d.collectBatch())
	_, h, _ = d.nextHold(a)
	is.Equal(h.Acknowledged, int64(1))
}

// TestSilentWorkerGetsNoAcknowledgement guards against an acknowledgement of ends that reaches a worker after its
// restart. It forgot ends with the same numbers that the leader had not seen, and their tasks ran again.
func TestSilentWorkerGetsNoAcknowledgement(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	a := d.agent("w0")
	j := d.addJob("0011223344556677", fleet.Step{Count: 2})
	report := worker.Report{ClockMillis: 1, Incarnation: 1, Ended: doneEnd(57, j.Task(0, 0, 0).Name())}
	acknowledged := func() int64 {
		_, h, ok := d.nextHold(a)
		is.True(ok)
		if h.Acknowledged == 0 {
			is.Equal(h.Wait.Milliseconds(), int64(0)) // the acknowledgement follows soon
		}
		return h.Acknowledged
	}
	d.applyReport(a, report, bootclock.Now())
	d.applyCommitted(d.collectBatch())
	is.Equal(acknowledged(), int64(57))
	d.recordSilence(a, worker.ErrUnknown, bootclock.Now())
	is.Equal(acknowledged(), int64(0))
	d.applyReport(a, report, bootclock.Now())
	is.Equal(acknowledged(), int64(57))
	a.reportedAt -= maxAcknowledgementAge // the leader was paused
	is.Equal(acknowledged(), int64(0))
}

// TestRestartedWorkerMayHoldTheLongestLease guards against runs that start elsewhere while a restarted worker still
// holds a lease for them. A deadline on its earlier clock, which was ahead, gave it the longest lease.
func TestRestartedWorkerMayHoldTheLongestLease(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	d.Bounds.MaxLease = 3 * leaseDuration
	a := d.agent("w0")
	d.applyReport(a, worker.Report{ClockMillis: 500_000, Incarnation: 1}, bootclock.Now())
	is.True(d.lease(a) >= 500_000)
	d.applyReport(a, worker.Report{ClockMillis: 100, Incarnation: 2}, bootclock.Now())
	is.True(a.deadline >= 100+d.Bounds.MaxLease.Milliseconds())
	is.True(a.deadline < 500_000)
}

// liveWorkers is a worker client that records the addresses of its orders. order answers them with the number of the
// order; nil answers that they were carried out.
type liveWorkers struct {
	unresponsiveWorkers
	mu     sync.Mutex // guards what follows
	starts []worker.Address
	stops  []worker.Address
	order  func(n int) error
}

func (w *liveWorkers) Start(_ context.Context, to worker.Address, _ worker.Start) (int64, error) {
	return 1, w.record(&w.starts, to)
}

func (w *liveWorkers) Stop(_ context.Context, to worker.Address, _ string, _ int, _ int64) error {
	return w.record(&w.stops, to)
}

func (w *liveWorkers) record(calls *[]worker.Address, to worker.Address) error {
	w.mu.Lock()
	*calls = append(*calls, to)
	n := len(w.starts) + len(w.stops)
	w.mu.Unlock()
	if w.order == nil {
		return nil
	}
	return w.order(n)
}

// incarnations returns the incarnations to which starts were sent.
func (w *liveWorkers) incarnations() []int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []int64
	for _, to := range w.starts {
		all = append(all, to.Incarnation)
	}
	return all
}

// newLiveFixture returns a dispatcher with a worker whose incarnation 1 has answered, and a run that is assigned to it
// and stored.
func newLiveFixture(t *testing.T, workers worker.Client) (*Dispatcher, *agent, *workload.Run) {
	t.Helper()
	d := newFixture(1)
	t.Cleanup(d.stop)
	d.Workers = workers
	a := d.agent("w0")
	a.entry.Incarnation = 1
	d.applyReport(a, worker.Report{ClockMillis: 1, Incarnation: 1}, bootclock.Now())
	run := d.addJob(unreadJob, oneTask).Task(0, 0, 0).Assign("w0", 1, d.now())
	run.Stored = true
	d.attach(run)
	d.recordStoreContact(bootclock.Now())
	return d, a, run
}

// restart applies the first report of the worker's incarnation 2, which lists the given runs.
func (d *Dispatcher) restart(a *agent, running ...worker.Running) {
	d.applyReport(a, worker.Report{ClockMillis: 1, Incarnation: 2, Running: running}, bootclock.Now())
}

// useNextEntry makes an entry of the worker's incarnation 2 its present one.
func (d *Dispatcher) useNextEntry(a *agent) {
	entry := *a.entry
	entry.Incarnation = 2
	d.mu.Lock()
	defer d.mu.Unlock()
	d.useEntry(a, &entry)
}

// TestRunInFlightToTheFormerLifeIsLost guards against a start that is sent again to the next life of a worker although
// the first attempt was meant for the former one: the leader may have given the run up meanwhile.
func TestRunInFlightToTheFormerLifeIsLost(t *testing.T) {
	for name, listed := range map[string]bool{"not listed": false, "listed": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			workers := &liveWorkers{}
			d, a, run := newLiveFixture(t, workers)
			workers.order = func(n int) error {
				if n == 1 {
					var running []worker.Running
					if listed {
						running = append(running, worker.Running{Task: run.Task.Name(), Run: 1})
					}
					d.useNextEntry(a)
					d.restart(a, running...)
					d.recordStoreContact(bootclock.Now())
				}
				return worker.ErrUnknown
			}
			d.mu.Lock()
			d.sendStart(run)
			d.mu.Unlock()
			await(t, d, func() bool { return len(d.ordersInFlight) == 0 })
			is.Equal(workers.incarnations(), []int64{1})
			if listed {
				is.Equal(len(a.runs), 1)
				is.Equal(run.Phase, workload.RunActive)
				is.Equal(run.Incarnation, int64(2))
				return
			}
			is.Equal(len(run.Task.Runs), 0)
			is.True(!run.Task.LostAt.IsZero()) // another leader may know more
		})
	}
}

// TestRunOfTheFormerLifeWaitsForAllEnds guards against a run that is lost, or sent again, because the first report of
// its worker's next life does not list all ends yet.
func TestRunOfTheFormerLifeWaitsForAllEnds(t *testing.T) {
	is := is.New(t)
	workers := &liveWorkers{order: func(int) error { return worker.ErrUnknown }}
	d, a, run := newLiveFixture(t, workers)
	run.Released, run.Incarnation = true, 1
	d.useNextEntry(a)
	report := worker.Report{ClockMillis: 1, Incarnation: 2, MoreEnds: true}
	d.applyReport(a, report, bootclock.Now())
	d.recordStoreContact(bootclock.Now())
	is.Equal(len(a.runs), 1)
	d.ordersInFlight[run] = true
	d.start(a, run) // a repeat of the start that has had no answer
	is.Equal(len(workers.incarnations()), 0)
	report.MoreEnds = false
	d.applyReport(a, report, bootclock.Now())
	is.Equal(len(a.runs), 0)
}

// TestWaitingStartNeedsAKnownWorker guards against a start that waited while its worker started again, and is sent to a
// worker of another kind, or by a leader whose successor may have started the task elsewhere.
func TestWaitingStartNeedsAKnownWorker(t *testing.T) {
	for name, x := range map[string]struct{ confirmed, stored, sent bool }{
		"known": {true, true, true}, "of another kind": {stored: true}, "nothing stored since": {confirmed: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			workers := &liveWorkers{}
			d, a, run := newLiveFixture(t, workers)
			d.restart(a)
			is.Equal(len(a.runs), 1) // it was never sent
			if x.confirmed {
				d.useNextEntry(a)
			}
			if x.stored {
				d.recordStoreContact(bootclock.Now())
			}
			d.mu.Lock()
			d.sendStart(run)
			d.mu.Unlock()
			await(t, d, func() bool { return len(d.ordersInFlight) == 0 })
			if x.sent {
				is.Equal(workers.incarnations(), []int64{2})
				return
			}
			is.Equal(len(workers.incarnations()), 0)
			is.Equal(len(run.Task.Runs), 0)
			is.True(run.Task.LostAt.IsZero()) // it cannot have been carried out
		})
	}
}

// TestStopAcknowledgedByTheFormerLifeIsRepeated guards against a run that counts as prevented at the next life of its
// worker because the former life has acknowledged the stop.
func TestStopAcknowledgedByTheFormerLifeIsRepeated(t *testing.T) {
	is := is.New(t)
	workers := &liveWorkers{}
	d, a, run := newLiveFixture(t, workers)
	run.Released, run.Inherited = true, true
	workers.order = func(n int) error {
		if n == 1 {
			d.restart(a)
		}
		return nil
	}
	run.Phase = workload.RunStopping
	is.True(!d.sendStop(a, a.address(), run.Task.Name(), run))
	is.True(run.StopAckedAt.IsZero())
	is.True(d.sendStop(a, a.address(), run.Task.Name(), run))
	is.True(!run.StopAckedAt.IsZero())
}

// TestOrderForTheFormerLifeIsNotRepeated guards against an order that is prepared again and again for a former life of
// its worker, or that settles an earlier attempt although that one may have been carried out.
func TestOrderForTheFormerLifeIsNotRepeated(t *testing.T) {
	for name, answered := range map[string]bool{"first attempt": true, "after an attempt without an answer": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			workers := &liveWorkers{}
			d, a, run := newLiveFixture(t, workers)
			workers.order = func(n int) error {
				if n == 1 && !answered {
					return worker.ErrUnknown
				}
				return worker.ErrOtherIncarnation
			}
			_, end := d.interruptible(d.ctx, a)
			defer end()
			interrupted := 0
			a.interrupt = func() { interrupted++ }
			d.mu.Lock()
			d.sendStart(run)
			d.mu.Unlock()
			if answered {
				await(t, d, func() bool { return len(d.ordersInFlight) == 0 })
				is.Equal(len(run.Task.Runs), 0) // nothing was sent
			} else {
				await(t, d, func() bool { return run.Phase == workload.RunStopping && d.ordersInFlight[run] })
				time.Sleep(3 * stopRetryDelay)
				workers.mu.Lock()
				is.True(len(workers.stops) < 6)
				workers.mu.Unlock()
				d.mu.Lock()
				is.Equal(len(run.Task.Runs), 1) // the first attempt may have been carried out
				d.mu.Unlock()
			}
			d.mu.Lock()
			is.Equal(interrupted, 1) // the restart is noticed soon
			is.True(a.silentSince != 0)
			d.mu.Unlock()
			d.restart(a)
			is.Equal(len(run.Task.Runs), 0)
			is.Equal(a.silentSince, time.Duration(0))
		})
	}
}

// TestKnownRestartSilencesNobody guards against a worker that gets nothing because an order for its former life has
// failed after its restart is known.
func TestKnownRestartSilencesNobody(t *testing.T) {
	is := is.New(t)
	d, a, _ := newLiveFixture(t, &liveWorkers{})
	to := a.address()
	d.restart(a)
	d.applyMismatch(a, to, worker.ErrOtherIncarnation, bootclock.Now())
	is.Equal(a.silentSince, time.Duration(0))
}

// TestOlderEvidenceKeepsAWorkerSilent guards against an answer of the former life of a worker, sent before an order found
// the next one, that counts because a list that was requested earlier is applied later.
func TestOlderEvidenceKeepsAWorkerSilent(t *testing.T) {
	is := is.New(t)
	d, a, _ := newLiveFixture(t, &liveWorkers{})
	listed := bootclock.Now()
	asked := listed + 1
	time.Sleep(time.Millisecond)
	d.applyMismatch(a, a.address(), worker.ErrOtherIncarnation, bootclock.Now())
	d.mu.Lock()
	d.applyMissing(a, listed, "its instance is down")
	d.mu.Unlock()
	d.applyReport(a, worker.Report{ClockMillis: 1, Incarnation: 1}, asked)
	is.True(a.silentSince != 0)
	d.restart(a)
	is.Equal(a.silentSince, time.Duration(0))
}

// TestRenewalIsGivenUpWhenTheLifeIsOver guards against a restart that is noticed only once the renewal of the former
// life has timed out.
func TestRenewalIsGivenUpWhenTheLifeIsOver(t *testing.T) {
	is := is.New(t)
	asked := make(chan time.Duration, 10)
	d, a, _ := newLiveFixture(t, &silentHolds{asked: asked})
	go d.renew(d.ctx, a)
	is.True(<-asked > 0) // a renewal that waits
	began := time.Now()
	d.applyMismatch(a, a.address(), worker.ErrOtherIncarnation, bootclock.Now())
	is.Equal(<-asked, time.Duration(0))
	is.True(time.Since(began) < holdRetryDelay+holdAnswerTimeout)
}

// silentHolds is a worker client that leaves renewals without an answer and reports their waits.
type silentHolds struct {
	liveWorkers
	asked chan time.Duration
}

func (w *silentHolds) Hold(ctx context.Context, _ worker.Address, h worker.Hold) (worker.Report, error) {
	w.asked <- h.Wait
	<-ctx.Done()
	return worker.Report{}, worker.ErrUnknown
}

// TestClockOfTheFormerLifeIsNotUsed guards against lease deadlines on the clock of a worker's former life, of which a
// refusal arrives after the restart is known. The next life may then hold a longer lease than the leader counts.
func TestClockOfTheFormerLifeIsNotUsed(t *testing.T) {
	is := is.New(t)
	workers := &liveWorkers{}
	d, a, run := newLiveFixture(t, workers)
	workers.order = func(int) error {
		d.restart(a)
		return &worker.RefusedError{Reason: worker.RefusedLate, ClockMillis: 500_000}
	}
	d.mu.Lock()
	d.sendStart(run)
	d.mu.Unlock()
	await(t, d, func() bool { return len(d.ordersInFlight) == 0 })
	is.Equal(a.incarnation, int64(2))
	is.Equal(a.clock, int64(1))
}

// TestEndedRunIsNotStartedAgainBesideALaterOne guards against a stored run that a new leader starts again although a
// later run of its task is in progress. The first one had failed, its worker then started again and no longer lists the
// end, and the leader that had read the end started the later run before it could store either.
func TestEndedRunIsNotStartedAgainBesideALaterOne(t *testing.T) {
	for name, laterFirst := range map[string]bool{"later run known first": true, "withheld until it is known": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newFixture(2)
			d.Workers = &unresponsiveWorkers{}
			defer d.stop()
			task := d.addJob(unreadJob, oneTask).Task(0, 0, 0)
			run := task.Assign("w0", 1, d.now())
			run.Stored, run.Released, run.Inherited = true, true, true
			d.attach(run)
			restarted, other := d.agent("w0"), d.agent("w1")
			d.storedWorkers = map[string]string{"w0": "pool", "w1": "pool"}
			for _, a := range []*agent{restarted, other} {
				a.contacted, a.unchecked = false, true
			}
			later := worker.Report{ClockMillis: 1, Incarnation: 1, Running: []worker.Running{{Task: task.Name(), Run: 2}}}
			if laterFirst {
				d.applyReport(other, later, bootclock.Now())
			}
			d.applyReport(restarted, worker.Report{ClockMillis: 1, Incarnation: 2}, bootclock.Now())
			if !laterFirst {
				d.applyReport(other, later, bootclock.Now())
			}
			d.recordStoreContact(bootclock.Now())
			d.mu.Lock()
			defer d.mu.Unlock()
			d.sendWithheld(d.uncheckedPools())
			is.Equal(len(d.ordersInFlight), 0)
			is.Equal(len(task.Runs), 1)
			is.Equal(task.Runs[0].Number, 2)
		})
	}
}
