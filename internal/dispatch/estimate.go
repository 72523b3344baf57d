package dispatch

import (
	"time"

	"pollenlead/internal/workload"
)

// estimateWeight is the weight of one run in the learned ratio of a queue.
const estimateWeight = 0.05

const (
	// workForgets is the weight that earlier runs keep in the learned amount of work with each further run.
	workForgets = 0.99
	// priorWork is the estimated time that an unknown queue counts as having run already, and priorPart the part of it that was taken. Estimates
	// that scatter widely are too long on average.
	priorWork = 10 * time.Second
	priorPart = 0.8
)

// estimates learns for each queue how much longer tasks take than they were estimated to.
type estimates struct {
	// ratio is the mean of the ratios of single tasks, for how long a job takes.
	ratio map[string]float64
	// amount compares sums, for how much work many jobs are: a few estimates that are far too long outweigh the others there.
	amount map[string]*amount
}

// amount holds the decaying sums of what runs were estimated to take and took.
type amount struct{ estimated, took float64 }

func newEstimates() estimates {
	return estimates{ratio: map[string]float64{}, amount: map[string]*amount{}}
}

// done learns from a run that was done.
func (e *estimates) done(s *workload.Step, took time.Duration) {
	if s.Spec.Estimate <= 0 {
		return
	}
	x := min(max(float64(took)/float64(s.Spec.Estimate), 0.1), 10)
	q := s.Job.Queue
	if old, ok := e.ratio[q]; ok {
		x = old + (x-old)*estimateWeight
	}
	e.ratio[q] = x
	a := e.amountOf(q)
	a.estimated = a.estimated*workForgets + s.Spec.Estimate.Seconds()
	a.took = a.took*workForgets + took.Seconds()
}

func (e *estimates) amountOf(queue string) *amount {
	a := e.amount[queue]
	if a == nil {
		a = &amount{estimated: priorWork.Seconds(), took: priorWork.Seconds() * priorPart}
		e.amount[queue] = a
	}
	return a
}

// step returns how long a task of the step is expected to take.
func (e *estimates) step(s *workload.Step) time.Duration {
	ratio, ok := e.ratio[s.Job.Queue]
	if !ok {
		ratio = 1
	}
	return time.Duration(float64(s.Spec.Estimate) * ratio)
}

// work returns the processor time that an occurrence is expected to take, in thousandths of a core times seconds.
func (e *estimates) work(o *workload.Occurrence) float64 {
	sum, queue := 0.0, ""
	for _, s := range o.Steps {
		sum += float64(s.Spec.Charge().CPUMilli) * float64(s.Spec.Count) * s.Spec.Estimate.Seconds()
		queue = s.Job.Queue
	}
	a := e.amountOf(queue)
	return sum * a.took / a.estimated
}

// remaining returns the longest chain of work that is left of an occurrence.
func (e *estimates) remaining(o *workload.Occurrence) time.Duration {
	return e.chain(o, func(s *workload.Step) bool { return s.Open > 0 })
}

// whole returns the longest chain of work of an occurrence.
func (e *estimates) whole(o *workload.Occurrence) time.Duration {
	return e.chain(o, func(*workload.Step) bool { return true })
}

// chain returns the longest chain of those steps that count.
func (e *estimates) chain(o *workload.Occurrence, counts func(*workload.Step) bool) time.Duration {
	ends := make([]time.Duration, len(o.Steps))
	longest := time.Duration(0)
	for i, s := range o.Steps {
		for _, dep := range s.Spec.DependsOn {
			ends[i] = max(ends[i], ends[dep])
		}
		if counts(s) {
			ends[i] += e.step(s)
		}
		longest = max(longest, ends[i])
	}
	return longest
}
