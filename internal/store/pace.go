package store

import "time"

const (
	// paceWeight is the weight of one call in the smoothed time, and paceFactor how many times that a call may take.
	paceWeight = 0.3
	paceFactor = 3
)

// TimeoutEstimator is the smoothed time that the store takes for the calls of one kind. A lost answer has to show soon, and a slow store has to be given its
// time.
type TimeoutEstimator struct {
	// Min and Max bound the timeout of a call.
	Min, Max time.Duration
	smoothed time.Duration
}

// Observe notes how long a call took.
func (p *TimeoutEstimator) Observe(took time.Duration) {
	p.smoothed += time.Duration(paceWeight * float64(took-p.smoothed))
}

// Timeout is how long the next call may take. It doubles with each unanswered try of the same call.
func (p *TimeoutEstimator) Timeout(unanswered int) time.Duration {
	timeout := max(paceFactor*p.smoothed, p.Min)
	for range unanswered {
		if timeout >= p.Max {
			break
		}
		timeout *= 2
	}
	return min(timeout, p.Max)
}
