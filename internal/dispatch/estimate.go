package dispatch

import (
	"time"

	"pollenlead/internal/runtimes"
	"pollenlead/internal/workload"
)

// estimateWeight is the weight of one run in the learned duration ratio of a queue.
const estimateWeight = 0.05

const (
	// workDecay is the weight that earlier runs keep in the learned amount of work with each further run.
	workDecay = 0.99
	// priorWork is the estimated run time with which the totals of a new queue begin, and priorRatio the assumed
	// ratio of actual to estimated time. Estimates with a wide spread are too long on average.
	priorWork  = 10 * time.Second
	priorRatio = 0.8
)

// estimates learns the ratio of actual to estimated run time of each queue.
type estimates struct {
	// ratio is the mean of the ratios of single tasks. It serves to predict the duration of a job.
	ratio map[string]float64
	// totals compares sums. It serves to predict the work of many jobs, in which a few estimates that are far too
	// long outweigh the others.
	totals map[string]*workTotals
	// model holds the distributions of run times. It serves to predict when a run ends.
	model *runtimes.Model
}

// workTotals holds the decaying sums of the estimated and the actual run time.
type workTotals struct{ estimated, actual float64 }

func newEstimates() estimates {
	return estimates{ratio: map[string]float64{}, totals: map[string]*workTotals{}, model: runtimes.NewModel()}
}

// observe records the duration of a run that ended done.
func (e *estimates) observe(s *workload.Step, took time.Duration) {
	e.model.Observe(s.Job.Queue, s.Spec.Estimate, took)
	if s.Spec.Estimate <= 0 {
		return
	}
	x := min(max(float64(took)/float64(s.Spec.Estimate), 0.1), 10)
	q := s.Job.Queue
	if old, ok := e.ratio[q]; ok {
		x = old + (x-old)*estimateWeight
	}
	e.ratio[q] = x
	a := e.totalsOf(q)
	a.estimated = a.estimated*workDecay + s.Spec.Estimate.Seconds()
	a.actual = a.actual*workDecay + took.Seconds()
}

func (e *estimates) totalsOf(queue string) *workTotals {
	a := e.totals[queue]
	if a == nil {
		a = &workTotals{estimated: priorWork.Seconds(), actual: priorWork.Seconds() * priorRatio}
		e.totals[queue] = a
	}
	return a
}

// stepDuration returns the expected duration of a task of the step.
func (e *estimates) stepDuration(s *workload.Step) time.Duration {
	ratio, ok := e.ratio[s.Job.Queue]
	if !ok {
		ratio = 1
	}
	return time.Duration(float64(s.Spec.Estimate) * ratio)
}

// expectedWork returns the expected processor time of an occurrence, in thousandths of a core times seconds.
func (e *estimates) expectedWork(o *workload.Occurrence) float64 {
	sum, queue := 0.0, ""
	for _, s := range o.Steps {
		sum += float64(s.Spec.Charge().CPUMilli) * float64(s.Spec.Count) * s.Spec.Estimate.Seconds()
		queue = s.Job.Queue
	}
	a := e.totalsOf(queue)
	return sum * a.actual / a.estimated
}

// remaining returns the length of the critical path through the unfinished steps of an occurrence.
func (e *estimates) remaining(o *workload.Occurrence) time.Duration {
	return e.criticalPath(o, func(s *workload.Step) bool { return s.Open > 0 })
}

// total returns the length of the critical path through all steps of an occurrence.
func (e *estimates) total(o *workload.Occurrence) time.Duration {
	return e.criticalPath(o, func(*workload.Step) bool { return true })
}

// criticalPath returns the length of the longest chain of dependent steps for which counts reports true.
func (e *estimates) criticalPath(o *workload.Occurrence, counts func(*workload.Step) bool) time.Duration {
	ends := make([]time.Duration, len(o.Steps))
	longest := time.Duration(0)
	for i, s := range o.Steps {
		for _, dep := range s.Spec.DependsOn {
			ends[i] = max(ends[i], ends[dep])
		}
		if counts(s) {
			ends[i] += e.stepDuration(s)
		}
		longest = max(longest, ends[i])
	}
	return longest
}
