package dispatch

import (
	"errors"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/workload"
)

// maxTailAge is the age of the leader's view of the store up to which it reports that a job does not exist.
const maxTailAge = 2 * time.Second

// ErrNotLoaded means that the leader has not read the jobs yet.
var ErrNotLoaded = errors.New("dispatch: the jobs have not been read yet")

// ErrNoJob means that no such job is known.
var ErrNoJob = errors.New("dispatch: no such job")

// JobState returns the state of a job of a team.
func (d *Dispatcher) JobState(queue, team, id string) (workload.State, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loaded {
		return "", ErrNotLoaded
	}
	j := d.jobs[id]
	if j == nil && bootclock.Now()-d.jobsReadThrough() > maxTailAge {
		return "", ErrNotLoaded // the job may have been accepted meanwhile, in any partition
	}
	if j == nil || j.Team != team || !d.answersFor(queue, j) {
		return "", ErrNoJob
	}
	return j.shownState(), nil
}

// answersFor reports whether a queue answers requests for a job: its own queue or, once the configuration has removed
// that, the one at the same address. A version may replace a queue by one of another name, and the job remains. A job
// whose address is not known may have been at any. Callers hold mu.
func (d *Dispatcher) answersFor(queue string, j *job) bool {
	return d.ownsJob(queue, j) || j.Address == "" && d.mayOwnJob(queue, j) != nil
}

// ownsJob reports whether a queue is the job's own or has replaced it at its address. Callers hold mu.
func (d *Dispatcher) ownsJob(queue string, j *job) bool {
	if j.Queue == queue {
		return true
	}
	q := d.mayOwnJob(queue, j)
	return q != nil && q.Address() == j.Address
}

// mayOwnJob returns a queue of the configuration if it has removed the job's own one, or nil. Callers hold mu.
func (d *Dispatcher) mayOwnJob(queue string, j *job) *fleet.Queue {
	c := d.Follower.Config()
	if c == nil || c.Queue(j.Queue) != nil {
		return nil
	}
	return c.Queue(queue)
}

// cancels reports whether a cancellation is one of the job: its client has the job's team, and has named the job's
// queue or the address of its submission. The configuration does not count, because the leader may read a version
// later than the entry instance that stored the cancellation. It decides only where an address is not known, as in a
// record of an earlier version. Callers hold mu.
func (d *Dispatcher) cancels(c workload.Cancellation, j *job) bool {
	switch {
	case c.Team != j.Team:
		return false
	case c.Queue == j.Queue:
		return true
	case c.Address != "" && j.Address != "":
		return c.Address == j.Address
	}
	return d.answersFor(c.Queue, j)
}

// shownState returns the state of the job for clients. A run that an earlier leader assigned may be at work, so its job
// counts as running until its worker has shown the outcome of the start. Callers hold mu.
func (j *job) shownState() workload.State {
	if j.published != workload.StatePending {
		return j.published
	}
	shown := workload.StatePending
	j.EachTask(func(t *workload.Task) {
		for _, r := range t.Runs {
			if r.Inherited {
				shown = workload.StateRunning
			}
		}
	})
	return shown
}

// PendingJobs returns the number of a queue's jobs of which no task is known to have started.
func (d *Dispatcher) PendingJobs(queue string) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loaded {
		return 0, ErrNotLoaded
	}
	n := 0
	for _, pool := range d.active {
		for _, j := range pool {
			if !j.Started && d.ownsJob(queue, j) {
				n++
			}
		}
	}
	return n, nil
}
