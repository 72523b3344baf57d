package job

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/admission"
	"pollenlead/internal/allot"
	"pollenlead/internal/config"
	"pollenlead/internal/platform"
	"pollenlead/internal/record"
	"pollenlead/internal/routing"
	"pollenlead/internal/statemachine"
)

var document = `
schema: 1
limits:
  {header_bytes: 16384, body_bytes: 65536, job_body_bytes: 4096,
   queue_length: 9, queue_seconds: 10, job_result_seconds: 60}
pools:
  - {name: p, members: ["w-"], availability_budget: {min_available_percent: 50}}
  - {name: spare, spare: true}
services:
  - {name: s, pool: p, timeout_seconds: 5}
teams:
  - {name: t, share: 1, upper_limit: 8, keys: [{id: k-t, sha256: "` + strings.Repeat("ab", 32) + `"}]}
  - {name: u, share: 1, upper_limit: 8, keys: [{id: k-u, sha256: "` + strings.Repeat("cd", 32) + `"}]}
operators:
  - {name: alice, role: publish, key: {id: o, sha256: "` + strings.Repeat("ef", 32) + `"}}
`

var errNotSent = errors.New("not sent")

// testEnv holds an applied state with the sessions "e1" (of the runner) and "e2", and the workers that run the jobs.
type testEnv struct {
	t  *testing.T
	is *is.I

	mu          sync.Mutex
	state       *statemachine.State
	seq         map[string]uint64
	changed     chan struct{}
	down        bool
	start       func(instance string, task platform.Task) (platform.TaskStatus, error)
	task        func(id string) (platform.TaskStatus, error)
	starts      []string
	stops       []string
	stop        func() error // the answer to a stop; nil if it always succeeds
	adopts      []string
	usedPermits int
	abandoned   int // abandoned permits
	// leaseRefused means that the runner has reported the first worker lease as refused.
	leaseRefused bool
	others       []string
	blocked      string // team without units
	queued       map[string]int
}

func done(platform.Task) platform.TaskStatus {
	return platform.TaskStatus{State: platform.TaskDone, Status: 200, Result: []byte("ok")}
}

// run runs test in a synctest bubble with a runner for "e1".
func run(t *testing.T, test func(w *testEnv, r *Runner, shutdown func(time.Duration) int)) {
	synctest.Test(t, func(t *testing.T) {
		w := &testEnv{
			t: t, is: is.New(t), state: statemachine.New(),
			seq: map[string]uint64{}, queued: map[string]int{}, changed: make(chan struct{}),
		}
		w.start = func(_ string, task platform.Task) (platform.TaskStatus, error) { return done(task), nil }
		w.apply("e1", record.Op{SessionOpen: &record.SessionOpen{}})
		w.apply("e1", record.Op{ConfigPublish: &record.ConfigPublish{Document: document}})
		report := &record.InstancesReport{ListVersion: 1}
		for i := 1; i <= 3; i++ {
			report.Instances = append(report.Instances, record.Instance{
				ID: fmt.Sprintf("w-%d", i), Address: "a", Phase: record.PhaseLive, Slots: 8,
			})
		}
		w.apply("e1", record.Op{InstancesReport: report})
		doc := func() (d *config.Document) { w.view(func(s *statemachine.State) { d = s.Config().Document }); return }
		q := admission.New(admission.Config{Document: doc, Ledger: w, Fleet: w, Health: routing.NewHealth(time.Now)})
		r := NewRunner(Config{
			Holder: func() string { return "e1" }, Source: w, Log: w, Admission: q, Document: doc,
			Now: time.Now, NotSent: errNotSent,
			Worker: func(instance, _ string) platform.Worker { return worker{w: w, instance: instance} },
			AcquireStarted: func(team, service, instance string) *admission.Ticket {
				p, _ := w.Acquire(team, instance)
				return q.Adopt(team, service, instance, p)
			},
		})
		go q.Run(t.Context())
		ctx, cancel := context.WithCancel(t.Context())
		ran := make(chan struct{})
		go func() { r.Run(ctx); close(ran) }()
		shutdown := func(wait time.Duration) int {
			cancel()
			<-ran
			limit, stop := context.WithTimeout(context.Background(), wait)
			defer stop()
			return r.Shutdown(limit)
		}
		test(w, r, shutdown)
		shutdown(time.Minute)
	})
}

func (w *testEnv) view(read func(*statemachine.State)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	read(w.state)
}

func (w *testEnv) apply(holder string, op record.Op) statemachine.Outcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq[holder]++
	encoded, err := record.Encode(record.Record{
		Writer: holder, Incarnation: holder, Seq: w.seq[holder], Ops: []record.Op{op},
	})
	w.is.NoErr(err)
	result, err := w.state.Apply(w.state.Next(), encoded)
	w.is.NoErr(err)
	close(w.changed)
	w.changed = make(chan struct{})
	return result.Outcomes[0]
}

func (w *testEnv) Submit(_ context.Context, ops ...record.Op) ([]statemachine.Outcome, error) {
	w.mu.Lock()
	down := w.down
	w.mu.Unlock()
	if down {
		return nil, errNotSent
	}
	return []statemachine.Outcome{w.apply("e1", ops[0])}, nil
}

func (w *testEnv) accept(holder, id string, nonIdempotent bool) {
	w.acceptFor("t", holder, id, nonIdempotent)
}

func (w *testEnv) acceptFor(team, holder, id string, nonIdempotent bool) {
	outcome := w.apply(holder, record.Op{JobAccept: &record.JobAccept{
		Job: id, Team: team, KeyID: "k-" + team, Service: "s", NonIdempotent: nonIdempotent,
	}})
	w.is.True(outcome.Accepted)
}

func (w *testEnv) Jobs(h string) (jobs []statemachine.Job) {
	w.view(func(s *statemachine.State) { jobs = s.JobsOf(h) })
	return
}
func (w *testEnv) Job(id string) (job statemachine.Job, ok bool) {
	w.view(func(s *statemachine.State) { job, ok = s.Job(id) })
	return
}
func (w *testEnv) Finished() (ids []string) {
	for _, id := range []string{"j", "k"} {
		if job, ok := w.Job(id); ok && job.Finished() {
			ids = append(ids, id)
		}
	}
	return
}
func (w *testEnv) Holders() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string{"e1"}, w.others...)
}
func (w *testEnv) Claims() (claims []record.ClaimRef) {
	w.view(func(s *statemachine.State) { claims = s.Claims() })
	return claims
}

func (w *testEnv) Address(string) (string, bool)  { return "a", true }
func (w *testEnv) PeerRunning(string, string) int { return 0 }
func (w *testEnv) Leaving(string) bool            { return false }
func (w *testEnv) HasTeamUnit(team string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return team != w.blocked
}
func (w *testEnv) SetQueued(team, _ string, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queued[team] = n
}
func (w *testEnv) Changed() <-chan struct{} { w.mu.Lock(); defer w.mu.Unlock(); return w.changed }
func (w *testEnv) AppendCandidates(to []routing.Candidate, _ string) []routing.Candidate {
	return append(to, []routing.Candidate{
		{Instance: "w-1", Held: 8}, {Instance: "w-2", Held: 8}, {Instance: "w-3", Held: 8},
	}...)
}
func (w *testEnv) Acquire(string, string) (admission.Permit, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.usedPermits++
	return permit{w}, nil
}

type permit struct{ w *testEnv }

func (p permit) Lease(context.Context) (string, error) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	if p.w.leaseRefused {
		return "new lease", nil
	}
	return "lease", nil
}
func (p permit) LeaseRefused(_ context.Context, id string) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	p.w.leaseRefused = p.w.leaseRefused || id == "lease"
}
func (p permit) Release() { p.w.mu.Lock(); defer p.w.mu.Unlock(); p.w.usedPermits-- }
func (p permit) Abandon(func()) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	p.w.usedPermits--
	p.w.abandoned++
}

type worker struct {
	platform.Worker
	w        *testEnv
	instance string
}

func (k worker) StartTask(_ context.Context, task platform.Task) (platform.TaskStatus, error) {
	job, _ := k.w.Job(strings.Split(task.ID, "-")[0])
	k.w.mu.Lock()
	defer k.w.mu.Unlock()
	k.w.is.Equal(job.State, statemachine.JobStarted) // the intent is in the log before the start
	k.w.starts = append(k.w.starts, k.instance+" "+task.ID)
	return k.w.start(k.instance, task)
}
func (k worker) Task(_ context.Context, id string) (platform.TaskStatus, error) {
	k.w.mu.Lock()
	defer k.w.mu.Unlock()
	return k.w.task(id)
}
func (k worker) StopTask(_ context.Context, id string) error {
	k.w.mu.Lock()
	defer k.w.mu.Unlock()
	k.w.stops = append(k.w.stops, id)
	if k.w.stop != nil {
		return k.w.stop()
	}
	return nil
}
func (k worker) AdoptTask(_ context.Context, id, lease string) error {
	k.w.mu.Lock()
	defer k.w.mu.Unlock()
	k.w.adopts = append(k.w.adopts, id+" "+lease)
	return nil
}

// expect waits for d of virtual time and checks the state of job "j" and that a finished job uses no capacity.
func (w *testEnv) expect(d time.Duration, state statemachine.JobState, reason string) statemachine.Job {
	w.is.Helper()
	time.Sleep(d)
	job, _ := w.Job("j")
	w.is.Equal(job.State, state)
	w.is.True(strings.Contains(job.Reason, reason))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.is.True(!job.Finished() || w.usedPermits == 0)
	return job
}

// TestAttemptEnds guards against lost or repeated runs for each way in which the start or the run of a task can end,
// and against capacity that is released while the task may still run.
func TestAttemptEnds(t *testing.T) {
	type status = platform.TaskStatus
	refused := &platform.RefusedError{Refusal: platform.RefusedSlotsFull}
	for _, c := range []struct {
		name          string
		nonIdempotent bool
		errors        []error // of the first starts
		status        status
		state         statemachine.JobState
		reason        string
		starts        int
		instances     int
		abandoned     int
	}{
		{"done", true, nil, done(platform.Task{}), statemachine.JobSucceeded, "", 1, 1, 0},
		{"refused", true, []error{refused}, done(platform.Task{}), statemachine.JobSucceeded, "", 2, 2, 0},
		{"not sent", true, []error{platform.ErrNoEffect}, done(platform.Task{}), statemachine.JobSucceeded, "", 2, 2, 0},
		{
			"lost answer", true, []error{platform.ErrOutcomeUnknown}, done(platform.Task{}),
			statemachine.JobSucceeded, "", 2, 1, 0,
		},
		{
			"lost answer, then refused", true, []error{platform.ErrOutcomeUnknown, refused}, status{},
			statemachine.JobUnknown, "refused", 2, 1, 1,
		},
		{
			"lost answer, then refused, idempotent", false, []error{platform.ErrOutcomeUnknown, refused}, done(platform.Task{}),
			statemachine.JobSucceeded, "", 3, 2, 1,
		},
		{"fails everywhere", false, nil, status{State: platform.TaskFailed}, statemachine.JobFailed, "given up", 3, 3, 0},
		{
			"fails, non-idempotent", true, nil, status{State: platform.TaskFailed, Status: 500},
			statemachine.JobFailed, "failed", 1, 1, 0,
		},
		{"lapsed", true, nil, status{State: platform.TaskLapsed}, statemachine.JobUnknown, "lapsed", 1, 1, 0},
		{
			"large result", true, nil, status{State: platform.TaskDone, Result: make([]byte, maxResultBytes+1)},
			statemachine.JobFailed, "at most", 1, 1, 0,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(w *testEnv, _ *Runner, _ func(time.Duration) int) {
				w.start = func(string, platform.Task) (status, error) {
					if n := len(w.starts); n <= len(c.errors) {
						return status{}, c.errors[n-1]
					}
					return c.status, nil
				}
				w.accept("e1", "j", c.nonIdempotent)
				w.expect(30*time.Second, c.state, c.reason)
				w.is.Equal(len(w.starts), c.starts)
				instances := map[string]bool{}
				for _, start := range w.starts {
					instances[strings.Fields(start)[0]] = true
				}
				w.is.Equal(len(instances), c.instances)
				synctest.Wait()
				w.is.Equal(w.abandoned, c.abandoned)
				w.is.Equal(w.usedPermits, 0)
			})
		})
	}
}

func running(string, platform.Task) (platform.TaskStatus, error) {
	return platform.TaskStatus{State: platform.TaskRunning}, nil
}

// TestCancelAndForget guards against a cancelled job that continues, and against jobs that are never forgotten or
// forgotten too early.
func TestCancelAndForget(t *testing.T) {
	run(t, func(w *testEnv, _ *Runner, _ func(time.Duration) int) {
		w.start = running
		w.task = func(string) (platform.TaskStatus, error) { return running("", platform.Task{}) }
		w.accept("e1", "j", true)
		w.expect(5*time.Second, statemachine.JobStarted, "")
		w.apply("e1", record.Op{JobCancel: &record.JobCancel{Jobs: []string{"j"}}})
		w.expect(5*time.Second, statemachine.JobCancelled, "")
		w.is.Equal(w.stops, []string{"j-1"})
		w.expect(50*time.Second, statemachine.JobCancelled, "")
		time.Sleep(20 * time.Second)
		_, known := w.Job("j")
		w.is.True(!known)
	})
}

// TestClaimsAreForgotten guards against claims that are never forgotten, forgotten too early (also after a second claim
// of the same key), forgotten while they are open, or forgotten by every entry instance.
func TestClaimsAreForgotten(t *testing.T) {
	run(t, func(w *testEnv, _ *Runner, _ func(time.Duration) int) {
		claim := func(key string) {
			w.is.True(w.apply("e1", record.Op{RequestClaim: &record.RequestClaim{
				Team: "t", IdempotencyKey: key, Service: "s",
			}}).Accepted)
		}
		settle := func(key string) {
			w.apply("e1", record.Op{RequestSettle: &record.RequestSettle{
				Team: "t", IdempotencyKey: key, Run: record.ExecutionCompleted,
			}})
		}
		known := func(key string) (ok bool) {
			w.view(func(s *statemachine.State) { _, ok = s.Claim("t", key) })
			return ok
		}
		claim("open")
		claim("a")
		settle("a")
		time.Sleep(59 * time.Second)
		w.is.True(known("a"))
		time.Sleep(forgetInterval + 2*time.Second)
		w.is.True(!known("a"))
		claim("a")
		settle("a")
		time.Sleep(59 * time.Second)
		w.is.True(known("a"))
		for n := 0; len(w.Holders()) == 1; n++ { // a session with a higher score
			if other := fmt.Sprint(n); allot.Preferred(claimsResource, []string{"e1", other}) == other {
				w.view(func(*statemachine.State) { w.others = []string{other} })
			}
		}
		time.Sleep(time.Minute)
		w.is.True(known("a"))
		w.is.True(known("open"))
	})
}

// TestLogDown guards against jobs that hold capacity or are lost while the log is unavailable.
func TestLogDown(t *testing.T) {
	run(t, func(w *testEnv, _ *Runner, _ func(time.Duration) int) {
		w.view(func(*statemachine.State) { w.down = true }) // before the runner can see the job
		w.accept("e1", "j", true)
		w.expect(20*time.Second+time.Millisecond, statemachine.JobWaiting, "")
		w.view(func(*statemachine.State) { w.is.Equal(w.usedPermits, 0); w.down = false })
		w.expect(5*time.Second, statemachine.JobSucceeded, "")
	})
}

// TestAdoption guards against a second run, or a lost result, of a task whose holder's session has ended.
func TestAdoption(t *testing.T) {
	for _, c := range []struct {
		name          string
		nonIdempotent bool
		first         platform.TaskStatus
		err           error
		state         statemachine.JobState
		starts        int
		adopts        int
	}{
		{"done", true, done(platform.Task{}), nil, statemachine.JobSucceeded, 0, 0},
		{"running", true, platform.TaskStatus{State: platform.TaskRunning}, nil, statemachine.JobSucceeded, 0, 1},
		{"unknown", true, platform.TaskStatus{}, platform.ErrUnknownTask, statemachine.JobUnknown, 0, 0},
		{"unknown, idempotent", false, platform.TaskStatus{}, platform.ErrUnknownTask, statemachine.JobSucceeded, 1, 0},
		{"silent", true, platform.TaskStatus{}, platform.ErrOutcomeUnknown, statemachine.JobUnknown, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(w *testEnv, _ *Runner, _ func(time.Duration) int) {
				asked := 0
				w.task = func(string) (platform.TaskStatus, error) {
					if asked++; asked > 1 && c.err == nil {
						return done(platform.Task{}), nil
					}
					return c.first, c.err
				}
				w.apply("e1", record.Op{Release: &record.Release{
					Teams: []record.TeamUnits{{Name: "t", Units: 4}}, Slots: []record.InstanceSlots{{Instance: "w-1", Slots: 4}},
				}})
				w.apply("e2", record.Op{SessionOpen: &record.SessionOpen{}})
				w.apply("e2", record.Op{Demand: &record.Demand{
					Teams: []record.ResourceDemand{{Name: "t", Wanted: 4}}, Pools: []record.ResourceDemand{{Name: "p", Wanted: 4}},
				}})
				w.accept("e2", "j", c.nonIdempotent)
				w.apply("e1", record.Op{Release: &record.Release{
					Teams: []record.TeamUnits{{Name: "t", Units: 4}}, Slots: []record.InstanceSlots{{Instance: "w-1", Slots: 4}},
				}})
				started := w.apply("e2", record.Op{JobStart: &record.JobStart{Job: "j", Attempt: 1, Instance: "w-1"}})
				w.is.Equal(started.Reason, statemachine.ReasonNone)
				w.apply("e2", record.Op{SessionClose: &record.SessionClose{}})
				w.expect(40*time.Second, c.state, "")
				w.is.Equal(len(w.starts), c.starts)
				w.is.Equal(len(w.adopts), c.adopts)
			})
		})
	}
}

// startedByFormerHolder leaves the job "j" of the ended session "e2" to the runner, started at w-1. The former holder has
// closed its session, so its worker lease and a start that it has sent may outlast the session.
func (w *testEnv) startedByFormerHolder() {
	release := record.Op{Release: &record.Release{
		Teams: []record.TeamUnits{{Name: "t", Units: 4}}, Slots: []record.InstanceSlots{{Instance: "w-1", Slots: 4}},
	}}
	w.apply("e1", release)
	w.apply("e2", record.Op{SessionOpen: &record.SessionOpen{}})
	w.apply("e2", record.Op{Demand: &record.Demand{
		Teams: []record.ResourceDemand{{Name: "t", Wanted: 4}}, Pools: []record.ResourceDemand{{Name: "p", Wanted: 4}},
	}})
	w.accept("e2", "j", false)
	w.apply("e1", release)
	started := w.apply("e2", record.Op{JobStart: &record.JobStart{Job: "j", Attempt: 1, Instance: "w-1"}})
	w.is.Equal(started.Reason, statemachine.ReasonNone)
	w.apply("e2", record.Op{SessionClose: &record.SessionClose{}})
}

// TestLateStartOfFormerHolderIsAdopted guards against a job that runs twice at once, and a team above its upper limit,
// because the start that the former holder sent reaches the worker after its successor has asked for the task.
func TestLateStartOfFormerHolderIsAdopted(t *testing.T) {
	run(t, func(w *testEnv, _ *Runner, _ func(time.Duration) int) {
		arrives := time.Now().Add(8 * time.Second)
		w.task = func(string) (platform.TaskStatus, error) {
			switch now := time.Now(); {
			case now.Before(arrives):
				return platform.TaskStatus{}, platform.ErrUnknownTask
			case now.Before(arrives.Add(5 * time.Second)):
				return platform.TaskStatus{State: platform.TaskRunning}, nil
			}
			return done(platform.Task{}), nil
		}
		w.startedByFormerHolder()
		w.expect(40*time.Second, statemachine.JobSucceeded, "")
		w.is.Equal(len(w.starts), 0)
		w.is.Equal(w.adopts, []string{"j-1 lease"})
	})
}

// TestLateStartOfCancelledJobIsStopped guards against a task of a cancelled job that runs on because the start that the
// former holder sent reaches the worker after the stop.
func TestLateStartOfCancelledJobIsStopped(t *testing.T) {
	run(t, func(w *testEnv, _ *Runner, _ func(time.Duration) int) {
		arrives := time.Now().Add(8 * time.Second)
		stopped := false
		w.stop = func() error {
			if time.Now().Before(arrives) {
				return platform.ErrUnknownTask
			}
			stopped = true
			return nil
		}
		w.task = func(string) (platform.TaskStatus, error) { return platform.TaskStatus{}, platform.ErrUnknownTask }
		w.startedByFormerHolder()
		w.expect(2*time.Second, statemachine.JobStarted, "")
		w.apply("e1", record.Op{JobCancel: &record.JobCancel{Jobs: []string{"j"}}})
		w.expect(20*time.Second, statemachine.JobCancelled, "")
		w.is.True(stopped)
		w.is.Equal(len(w.starts), 0)
	})
}

// TestRestartedWorkerGetsANewLease guards against a job that loses attempt after attempt at a worker that has started
// again, because each start carries the lease that the former life of the worker had opened.
func TestRestartedWorkerGetsANewLease(t *testing.T) {
	run(t, func(w *testEnv, _ *Runner, _ func(time.Duration) int) {
		w.start = func(_ string, task platform.Task) (platform.TaskStatus, error) {
			if task.LeaseID == "lease" {
				return platform.TaskStatus{}, &platform.RefusedError{Refusal: platform.RefusedLeaseLapsed}
			}
			return done(task), nil
		}
		w.accept("e1", "j", true)
		w.expect(10*time.Second, statemachine.JobSucceeded, "")
		w.is.Equal(len(w.starts), 2)
	})
}

// TestShutdown guards against a shutdown that stops running tasks, starts new ones, or never completes.
func TestShutdown(t *testing.T) {
	run(t, func(w *testEnv, _ *Runner, shutdown func(time.Duration) int) {
		w.start = running
		w.task = func(id string) (platform.TaskStatus, error) { return running("", platform.Task{}) }
		w.accept("e1", "j", true)
		w.expect(time.Second, statemachine.JobStarted, "")
		w.is.Equal(shutdown(time.Minute), 1)
		w.accept("e1", "k", true)
		w.expect(time.Second, statemachine.JobStarted, "") // left for adoption
		w.is.Equal(len(w.starts), 1)
		w.is.Equal(len(w.stops), 0)
		w.is.Equal(w.usedPermits, 1) // the task still runs
	})
}

// TestWaitingIsBounded guards against jobs that crowd out synchronous requests, and against a team at its upper limit
// that blocks the admission of other teams' jobs.
func TestWaitingIsBounded(t *testing.T) {
	run(t, func(w *testEnv, r *Runner, _ func(time.Duration) int) {
		w.view(func(*statemachine.State) { w.blocked = "t" })
		for i := range 5 * maxWaiting {
			w.acceptFor("t", "e1", fmt.Sprintf("a%d", i), false)
		}
		w.acceptFor("u", "e1", "j", true)
		w.expect(time.Second, statemachine.JobSucceeded, "")
		w.view(func(*statemachine.State) { w.is.Equal(w.queued["t"], maxWaiting); w.blocked = "" })
		time.Sleep(time.Minute)
		w.is.Equal(len(w.Jobs("e1")), 0)
		r.mu.Lock()
		defer r.mu.Unlock()
		w.is.Equal(r.waiting[waitKey{team: "t", service: "s"}], 0)
	})
}

// TestRunningJobsDoNotWait guards against running jobs that count as waiting and thereby block the admission of other
// jobs.
func TestRunningJobsDoNotWait(t *testing.T) {
	run(t, func(w *testEnv, r *Runner, _ func(time.Duration) int) {
		w.start = running
		w.task = func(string) (platform.TaskStatus, error) { return running("", platform.Task{}) }
		w.accept("e1", "j", true)
		w.expect(time.Second, statemachine.JobStarted, "")
		r.mu.Lock()
		defer r.mu.Unlock()
		w.is.Equal(r.waiting[waitKey{team: "t", service: "s"}], 0)
	})
}
