package dispatch

import (
	"time"

	"pollenlead/internal/workload"
)

// estimateWeight is the weight of one run in the learned ratio.
const estimateWeight = 0.05

// estimates learns for each queue how much longer tasks take than they were estimated to.
type estimates struct{ ratio map[string]float64 }

func newEstimates() estimates { return estimates{ratio: map[string]float64{}} }

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
}

// step returns how long a task of the step is expected to take.
func (e *estimates) step(s *workload.Step) time.Duration {
	ratio, ok := e.ratio[s.Job.Queue]
	if !ok {
		ratio = 1
	}
	return time.Duration(float64(s.Spec.Estimate) * ratio)
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
