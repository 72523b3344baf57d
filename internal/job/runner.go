package job

import (
	"context"
	"slices"
	"sync"
	"time"

	"pollenlead/internal/statemachine"
)

// history is what this process remembers of a job's failures.
type history struct {
	failures  int
	instances []string
	notBefore time.Time
}

// Runner runs the jobs of one entry instance.
type Runner struct {
	c Config
	// hard ends everything; Run's context only ends the start of new work.
	hard context.Context
	kill context.CancelFunc
	wake chan struct{}
	runs sync.WaitGroup

	mu      sync.Mutex
	active  map[string]*attempt
	waiting map[waitKey]int
	history map[string]*history
}

// waitKey is what jobs must have in common to share one bound of waiting jobs.
type waitKey struct {
	team    string
	service string
	urgent  bool
}

func keyOf(job statemachine.Job) waitKey {
	return waitKey{team: job.Team, service: job.Service, urgent: job.Urgent}
}

// NewRunner returns a Runner.
func NewRunner(c Config) *Runner {
	hard, kill := context.WithCancel(context.Background())
	return &Runner{
		c: c, hard: hard, kill: kill, wake: make(chan struct{}, 1), active: map[string]*attempt{}, history: map[string]*history{},
		waiting: map[waitKey]int{},
	}
}

// Run starts and adopts jobs and forgets old ones until ctx ends. Running tasks go on; Shutdown waits for them.
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
		case <-timer.C: // for jobs whose wait after a failure is over
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// Shutdown waits for running tasks until ctx ends and leaves the rest to adoption by other instances. It returns the
// number of jobs left. Call it after Run has returned.
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
	r.kill()
	<-ended
	return left
}

// scan compares the folded state with the active jobs.
func (r *Runner) scan(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// Read under the lock: a job that is not active now has its last outcome in this state. With an older state, an attempt
	// that has just ended would be adopted, and a refused non-idempotent job would end as unknown.
	jobs := r.c.Source.Jobs(r.c.Holder())
	mine := make(map[string]bool, len(jobs))
	for _, job := range jobs {
		mine[job.ID] = true
		if _, ok := r.active[job.ID]; !ok && r.mayBegin(job) {
			r.begin(ctx, job)
		}
	}
	for id, a := range r.active {
		if !mine[id] {
			a.leave()
		}
	}
	for id := range r.history {
		if !mine[id] {
			delete(r.history, id)
		}
	}
}

// mayBegin is called with the lock held. Started jobs hold capacity already, so they do not wait.
func (r *Runner) mayBegin(job statemachine.Job) bool {
	if job.State == statemachine.JobStarted {
		return true
	}
	if h, ok := r.history[job.ID]; ok && r.c.Now().Before(h.notBefore) {
		return false
	}
	return r.waiting[keyOf(job)] < maxWaiting
}

// begin is called with the lock held.
func (r *Runner) begin(ctx context.Context, job statemachine.Job) {
	gone, leave := context.WithCancel(r.hard)
	admitting, stop := context.WithCancel(gone)
	context.AfterFunc(ctx, stop)
	a := &attempt{r: r, job: job, gone: gone, leave: leave, admitting: admitting}
	if h, ok := r.history[job.ID]; ok {
		a.avoid = slices.Clone(h.instances)
	}
	r.active[job.ID] = a
	a.waits = job.State == statemachine.JobWaiting
	if a.waits {
		r.waiting[keyOf(job)]++
	}
	r.runs.Go(func() {
		a.run()
		stop()
		leave()
		r.ended(a)
	})
}

// admitted records that the job no longer waits in admission.
func (r *Runner) admitted(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.waits {
		a.waits = false
		r.waiting[keyOf(a.job)]--
	}
}

func (r *Runner) ended(a *attempt) {
	r.admitted(a)
	r.mu.Lock()
	delete(r.active, a.job.ID)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// delay keeps the job from an immediate next attempt.
func (r *Runner) delay(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remember(id).notBefore = r.c.Now().Add(retryInterval)
}

// failed counts a failure and reports whether the job is to be given up.
func (r *Runner) failed(job statemachine.Job, instance string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.remember(job.ID)
	h.failures++
	h.notBefore = r.c.Now().Add(time.Duration(h.failures) * retryInterval)
	if !slices.Contains(h.instances, instance) {
		h.instances = append(h.instances, instance)
	}
	return len(h.instances) >= maxFailedInstances || h.failures >= maxFailures || job.Attempt >= maxAttempts
}

func (r *Runner) remember(id string) *history {
	h, ok := r.history[id]
	if !ok {
		h = &history{}
		r.history[id] = h
	}
	return h
}
