package dispatch

import (
	"errors"
	"maps"
	"slices"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/scheduling"
	"pollenlead/internal/workload"
)

// ErrNoQueue means that the leader's configuration has no such queue.
var ErrNoQueue = errors.New("dispatch: no such queue in the leader's configuration")

// Explanation tells where a job would go if it were submitted now.
type Explanation struct {
	// Queue, Pool and Team are those of the job.
	Queue string `json:"queue"`
	Pool  string `json:"pool"`
	Team  string `json:"team"`
	// LimitLeft is what the team may still use of each limited resource.
	LimitLeft map[string]int64 `json:"limit_left,omitempty"`
	// RefusedFraction is the fraction of the team's jobs that the entry instances refuse because of overload. They
	// refuse no scheduled and no long-running jobs.
	RefusedFraction float64 `json:"refused_fraction"`
	// Tier, Priority and SlackMillis are the job's rank; see scheduling.Rank.
	Tier        scheduling.Tier `json:"tier"`
	Priority    int             `json:"priority"`
	SlackMillis int64           `json:"slack_ms"`
	// TasksAhead is the number of waiting tasks of the pool that come before the job.
	TasksAhead int `json:"tasks_ahead"`
	// NeedsAdvice means that the advice service has to allow each worker. It has not been asked.
	NeedsAdvice bool `json:"needs_advice"`
	// Unusable holds the workers of the pool that may get no task of any job, and Usable is the number of the others.
	Unusable scheduling.Exclusions `json:"unusable"`
	Usable   int                   `json:"usable"`
	// Steps holds the job's steps in the order of its submission.
	Steps []scheduling.StepExplanation `json:"steps"`
}

// Explain tells where a job would go if it were submitted now. A scheduled job is examined as if it were due. Nothing
// is stored, sent or counted.
func (d *Dispatcher) Explain(queue, team string, spec *fleet.JobSpec) (*Explanation, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.Follower.Config()
	if !d.loaded || !d.spareEndsRead || c == nil {
		return nil, ErrNotLoaded
	}
	q := c.Queue(queue)
	if q == nil {
		return nil, ErrNoQueue
	}
	now, unchecked := d.now(), d.uncheckedPools()
	j := d.previewJob(c, q, team, spec, now)
	x := &Explanation{Queue: queue, Pool: q.Pool, Team: team, NeedsAdvice: q.Advice != nil}
	limits := d.limits(unchecked)
	if t := c.Team(team); t != nil && limits[team] != nil {
		x.LimitLeft = limitLeft(t.UpperLimit, *limits[team])
	}
	if spec.Times == 0 && !spec.LongRunning() {
		x.RefusedFraction = d.overload[queue].Teams[team]
	}
	var workers []*scheduling.Worker
	workers, x.Unusable = d.previewWorkers(q.Pool, now)
	x.Usable = len(workers)
	steps := d.previewSteps(j, q, now)
	waiting, awaitAdvice := d.waitingSteps(q.Pool, unchecked, now)
	if len(steps) > 0 {
		r := steps[0].Rank
		x.Tier, x.Priority, x.SlackMillis = r.Tier, r.Priority, r.Slack.Milliseconds()
		x.TasksAhead = countTasks(scheduling.Ahead(waiting, steps[0]))
		x.TasksAhead += countTasks(scheduling.Ahead(awaitAdvice, steps[0]))
	}
	x.Steps = scheduling.Explain(workers, waiting, steps, limits, d.Reservations, now)
	return x, nil
}

// previewJob returns a job that is known to nobody else. Callers hold mu.
func (d *Dispatcher) previewJob(
	c *fleet.Config, q *fleet.Queue, team string, spec *fleet.JobSpec, now time.Time,
) *job {
	due := *spec
	due.Times = 0
	j := &job{Job: workload.NewJob("preview", q.Name, q.Pool, team, &due, now)}
	if t := c.Team(team); t != nil {
		j.excess = !d.rates.WouldAdmit(team, t.Share, bootclock.Now())
	}
	j.Advance(now, 0)
	return j
}

// previewSteps returns all steps of a job that has not been submitted. Callers hold mu.
func (d *Dispatcher) previewSteps(j *job, q *fleet.Queue, now time.Time) []scheduling.PendingStep {
	var steps []scheduling.PendingStep
	for _, o := range j.Occurrences {
		rank := d.rank(j, o, q, now)
		for _, s := range o.Steps {
			steps = append(steps, scheduling.PendingStep{
				Step: s, Waiting: s.WaitingCount(), Rank: rank, Duration: d.expectedDuration(s),
			})
		}
	}
	return steps
}

// waitingSteps returns the steps of a pool that place would examine. Those that need advice are apart, because it is
// not asked for. Callers hold mu.
func (d *Dispatcher) waitingSteps(
	pool string, unchecked map[string]bool, now time.Time,
) (steps, awaitAdvice []scheduling.PendingStep) {
	for _, j := range d.waiting[pool] {
		if d.awaitsCheck(j.Job, unchecked) || bootclock.Now() < j.unstorableUntil {
			continue
		}
		q := d.queue(j.Queue)
		for _, w := range d.previewSteps(j, q, now) {
			switch {
			case !w.Step.Ready() || w.Waiting == 0:
			case needsTicket(j, q):
				awaitAdvice = append(awaitAdvice, w)
			default:
				steps = append(steps, w)
			}
		}
	}
	return steps, awaitAdvice
}

func countTasks(steps []scheduling.PendingStep) int {
	n := 0
	for _, w := range steps {
		n += w.Waiting
	}
	return n
}

// limitLeft returns what is left of each limit. A limit of 0 stands for none.
func limitLeft(limit, left fleet.Resources) map[string]int64 {
	byName := map[string]int64{}
	if limit.CPUMilli > 0 {
		byName["cpu_milli"] = left.CPUMilli
	}
	if limit.MemoryMB > 0 {
		byName["memory_mb"] = left.MemoryMB
	}
	if limit.GPU > 0 {
		byName["gpu"] = left.GPU
	}
	return byName
}

// previewWorkers returns the workers of a pool that may get tasks, and why the others may not. Callers hold mu.
func (d *Dispatcher) previewWorkers(pool string, now time.Time) ([]*scheduling.Worker, scheduling.Exclusions) {
	var workers []*scheduling.Worker
	unusable, boot := scheduling.Exclusions{}, bootclock.Now()
	for _, id := range slices.Sorted(maps.Keys(d.agents)) {
		a := d.agents[id]
		if a.entry == nil || a.entry.Pool != pool {
			continue
		}
		if reason := d.unusability(a, now, boot); reason != "" {
			unusable.Add(reason, id)
			continue
		}
		w := a.schedulingWorker(now)
		w.Releases = d.releases(a, now)
		workers = append(workers, w)
	}
	return workers, unusable
}
