package scheduling

import (
	"time"

	"pollenlead/internal/workload"
)

// failedWorkerAvoidance is how long after a failure a task waits for room on another worker than the one on which it
// failed. It is bounded because the other workers may have no room for as long as their long-running tasks run.
const failedWorkerAvoidance = 2 * time.Second

// retry says which workers a task avoids after a failed run: the worker of that run and workers that have to prove
// themselves. The zero value, for a task that has not failed, avoids none. A worker is avoided only in favor of
// another one that may run the task.
type retry struct {
	failedOn string
	// avoidFailedOn and avoidProbes exclude the worker of the failed run, and the workers with Probe set.
	avoidFailedOn, avoidProbes bool
}

func (p *planner) newRetry(w PendingStep, t *workload.Task, use *stepUsage) retry {
	if t.Failures == 0 {
		return retry{}
	}
	r := retry{failedOn: t.FailedOn}
	recent := p.now.Before(t.FailedAt.Add(failedWorkerAvoidance))
	for _, c := range p.workers {
		if !eligible(c, w, use) {
			continue
		}
		r.avoidFailedOn = r.avoidFailedOn || recent && c.ID != t.FailedOn
		r.avoidProbes = r.avoidProbes || !c.Probe
	}
	return r
}

// excludes reports whether the task must not be placed on the worker now.
func (r retry) excludes(c *Worker) bool {
	return r.avoidFailedOn && c.ID == r.failedOn || r.avoidProbes && c.Probe
}

// cost is added to the cost of a placement on the worker.
func (r retry) cost(c *Worker) float64 {
	if c.ID == r.failedOn {
		return costFailedOn
	}
	return 0
}
