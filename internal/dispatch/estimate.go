package dispatch

import (
	"slices"
	"time"

	"pollenlead/internal/fleet"
	"pollenlead/internal/runtimes"
	"pollenlead/internal/scheduling"
	"pollenlead/internal/workload"
)

// estimates answers questions about the run times of the steps of a job from what is known of its queue's run times.
type estimates struct{ model *runtimes.Model }

func newEstimates() estimates { return estimates{model: runtimes.NewModel()} }

// observe records the duration of a run that ended done. A run that an earlier leader started, or that resumed from a
// checkpoint, does not show the run time of its task.
func (e *estimates) observe(r *workload.Run, took time.Duration) {
	s := r.Task.Step
	if r.Inherited || r.Task.Checkpoint != "" && !s.Spec.Gang {
		return
	}
	e.model.Observe(s.Job.Queue, s.Spec.Estimate, took)
}

// expectedWork returns the expected processor time of an occurrence, in thousandths of a core times seconds.
func (e *estimates) expectedWork(o *workload.Occurrence) float64 {
	sum := 0.0
	for _, s := range o.Steps {
		sum += e.model.Work(s.Job.Queue, s.Spec.Estimate, s.Spec.Count, s.Spec.Charge().CPUMilli)
	}
	return sum
}

// total returns the expected length of the critical path through all steps of an occurrence.
func (e *estimates) total(o *workload.Occurrence) time.Duration {
	return e.model.PathLeft(queueOf(o), e.path(o))
}

// timing returns what the rank of an occurrence depends on, except for the time that has elapsed.
func (e *estimates) timing(o *workload.Occurrence, q *fleet.Queue, now time.Time) scheduling.Timing {
	queue, whole, left := queueOf(o), e.path(o), e.pathLeft(o, now)
	return scheduling.Timing{
		Stretch: q.Stretch, LatencyObjective: q.LatencyObjective,
		Total: func(p float64) time.Duration { return e.model.PathLeftQuantile(queue, whole, p) },
		Left:  func(p float64) time.Duration { return e.model.PathLeftQuantile(queue, left, p) },
	}
}

// path returns the critical path through all steps of an occurrence, as if none had begun.
func (e *estimates) path(o *workload.Occurrence) []runtimes.Stage {
	return e.criticalPath(o, func(s *workload.Step) (runtimes.Stage, bool) {
		return runtimes.Stage{Estimate: s.Spec.Estimate}, true
	})
}

// pathLeft returns the critical path through the unfinished steps of an occurrence.
func (e *estimates) pathLeft(o *workload.Occurrence, now time.Time) []runtimes.Stage {
	return e.criticalPath(o, func(s *workload.Step) (runtimes.Stage, bool) {
		return runtimes.Stage{Estimate: s.Spec.Estimate, Elapsed: elapsed(s, now)}, s.Open > 0
	})
}

// criticalPath returns the longest chain of dependent steps for which stage reports true.
func (e *estimates) criticalPath(
	o *workload.Occurrence, stage func(*workload.Step) (runtimes.Stage, bool),
) []runtimes.Stage {
	type chain struct {
		length   time.Duration
		previous int
		stage    runtimes.Stage
		counts   bool
	}
	chains := make([]chain, len(o.Steps))
	last := -1
	for i, s := range o.Steps {
		c := chain{previous: -1}
		for _, dep := range s.Spec.DependsOn {
			if chains[dep].length >= c.length {
				c.length, c.previous = chains[dep].length, dep
			}
		}
		if c.stage, c.counts = stage(s); c.counts {
			c.length += e.model.TimeLeft(s.Job.Queue, c.stage.Estimate, c.stage.Elapsed)
		}
		chains[i] = c
		if last < 0 || c.length > chains[last].length {
			last = i
		}
	}
	var path []runtimes.Stage
	for ; last >= 0; last = chains[last].previous {
		if chains[last].counts {
			path = append(path, chains[last].stage)
		}
	}
	slices.Reverse(path)
	return path
}

// elapsed returns for how long all open tasks of a step have been running: 0 if one of them is not.
func elapsed(s *workload.Step, now time.Time) time.Duration {
	least := time.Duration(-1)
	running := 0
	for t := range s.Held() {
		if t.Done {
			continue
		}
		running++
		longest := time.Duration(0)
		for _, r := range t.Runs {
			if r.Phase == workload.RunActive {
				longest = max(longest, now.Sub(r.ActiveSince))
			}
		}
		if longest == 0 {
			return 0
		}
		if least < 0 || longest < least {
			least = longest
		}
	}
	if running < s.Open { // others have never been assigned
		return 0
	}
	return max(least, 0)
}

func queueOf(o *workload.Occurrence) string {
	if len(o.Steps) == 0 {
		return ""
	}
	return o.Steps[0].Job.Queue
}
