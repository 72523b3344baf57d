package job

import (
	"context"
	"slices"
	"sync"
	"time"

	"pollenlead/internal/statemachine"
)

// failureHistory records a job's failures in this process.
type failureHistory struct {
	failures  int
	instances []string
	notBefore time.Time
}

// Runner runs the jobs of one entry instance.
type Runner struct {
	c Config
	// baseCtx bounds all work of the runner; the context of Run bounds only the start of new work.
	baseCtx    context.Context
	cancelBase context.CancelFunc
	wake       chan struct{}
	runs       sync.WaitGroup

	mu      sync.Mutex
	active  map[string]*attempt
	waiting map[waitKey]int // number of attempts in admission
	history map[string]*failureHistory
}

// waitKey identifies a group of jobs that share one maxWaiting limit.
type waitKey struct {
	team    string
	service string
	urgent  bool
}

func waitKeyOf(job statemachine.Job) waitKey {
	return waitKey{team: job.Team, service: job.Service, urgent: job.Urgent}
}

// NewRunner returns a Runner.
func NewRunner(c Config) *Runner {
	baseCtx, cancelBase := context.WithCancel(context.Background())
	return &Runner{
		c: c, baseCtx: baseCtx, cancelBase: cancelBase, wake: make(chan struct{}, 1),
		active: map[string]*attempt{}, history: map[string]*failureHistory{}, waiting: map[waitKey]int{},
	}
}

// Run starts and adopts jobs and forgets old ones until ctx ends. Running tasks continue; Shutdown waits for them.
func (r *Runner) Run(ctx context.Context) {
	r.runs.Go(func() { r.forgetLoop(ctx) })
	for {
		changed := r.c.Source.Changed()
		r.scan(ctx)
		if !sleep(ctx, scanInterval) {
			return
		}
		timer := time.NewTimer(retryInterval)
		select {
		case <-changed:
		case <-r.wake:
		case <-timer.C: // for jobs whose delay after a failure has passed
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// Shutdown waits for running tasks until ctx ends and leaves the rest for adoption by other entry instances. It returns
// the number of jobs left. It must be called after Run has returned.
func (r *Runner) Shutdown(ctx context.Context) int {
	ended := make(chan struct{})
	go func() {
		r.runs.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
	r.mu.Lock()
	left := len(r.active)
	r.mu.Unlock()
	r.cancelBase()
	<-ended
	return left
}

// scan compares the applied state with the active jobs, starts attempts for new ones, and cancels those that this
// holder no longer has.
func (r *Runner) scan(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// The state is read under the lock, so that it includes the last outcome of each job that is not active. With an
	// older state, an attempt that has just ended would be adopted, and a refused non-idempotent job would end as
	// unknown.
	jobs := r.c.Source.Jobs(r.c.Holder())
	mine := make(map[string]bool, len(jobs))
	for _, job := range jobs {
		mine[job.ID] = true
		if _, ok := r.active[job.ID]; !ok && r.canStart(job) {
			r.startAttempt(ctx, job)
		}
	}
	for id, a := range r.active {
		if !mine[id] {
			a.cancelJob()
		}
	}
	for id := range r.history {
		if !mine[id] {
			delete(r.history, id)
		}
	}
}

// canStart reports whether an attempt of the job may start now. Started jobs already hold capacity, so they do not
// wait. Callers must hold mu.
func (r *Runner) canStart(job statemachine.Job) bool {
	if job.State == statemachine.JobStarted {
		return true
	}
	if h, ok := r.history[job.ID]; ok && r.c.Now().Before(h.notBefore) {
		return false
	}
	return r.waiting[waitKeyOf(job)] < maxWaiting
}

// startAttempt starts the goroutine of an attempt. Callers must hold mu.
func (r *Runner) startAttempt(ctx context.Context, job statemachine.Job) {
	jobCtx, cancelJob := context.WithCancel(r.baseCtx)
	admitCtx, cancelAdmit := context.WithCancel(jobCtx)
	context.AfterFunc(ctx, cancelAdmit)
	a := &attempt{r: r, job: job, jobCtx: jobCtx, cancelJob: cancelJob, admitCtx: admitCtx}
	if h, ok := r.history[job.ID]; ok {
		a.avoid = slices.Clone(h.instances)
	}
	r.active[job.ID] = a
	a.inAdmission = job.State == statemachine.JobWaiting
	if a.inAdmission {
		r.waiting[waitKeyOf(job)]++
	}
	r.runs.Go(func() {
		a.run()
		cancelAdmit()
		cancelJob()
		r.attemptEnded(a)
	})
}

// leaveAdmission records that the job no longer waits in admission.
func (r *Runner) leaveAdmission(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.inAdmission {
		a.inAdmission = false
		r.waiting[waitKeyOf(a.job)]--
	}
}

func (r *Runner) attemptEnded(a *attempt) {
	r.leaveAdmission(a)
	r.mu.Lock()
	delete(r.active, a.job.ID)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// delayRetry delays the next attempt of the job by retryInterval.
func (r *Runner) delayRetry(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.historyOf(id).notBefore = r.c.Now().Add(retryInterval)
}

// recordFailure counts a failure and reports whether the job has reached a limit and must not be retried.
func (r *Runner) recordFailure(job statemachine.Job, instance string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.historyOf(job.ID)
	h.failures++
	h.notBefore = r.c.Now().Add(time.Duration(h.failures) * retryInterval)
	if !slices.Contains(h.instances, instance) {
		h.instances = append(h.instances, instance)
	}
	return len(h.instances) >= maxFailedInstances || h.failures >= maxFailures || job.Attempt >= maxAttempts
}

func (r *Runner) historyOf(id string) *failureHistory {
	h, ok := r.history[id]
	if !ok {
		h = &failureHistory{}
		r.history[id] = h
	}
	return h
}
