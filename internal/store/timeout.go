package store

import "time"

const (
	// smoothingWeight is the weight of one call in the smoothed latency. timeoutFactor is the ratio of the timeout to
	// the smoothed latency.
	smoothingWeight = 0.3
	timeoutFactor   = 3
)

// TimeoutEstimator derives the timeout of the store's calls of one kind from their smoothed latency. A lost answer
// has to be detected early, and a slow store needs enough time to answer.
type TimeoutEstimator struct {
	// Min and Max bound the timeout of a call.
	Min, Max time.Duration
	smoothed time.Duration
}

// Observe records the duration of a call.
func (p *TimeoutEstimator) Observe(took time.Duration) {
	p.smoothed += time.Duration(smoothingWeight * float64(took-p.smoothed))
}

// Timeout returns the timeout of the next call. It doubles with each unanswered attempt of the same call.
func (p *TimeoutEstimator) Timeout(unanswered int) time.Duration {
	timeout := max(timeoutFactor*p.smoothed, p.Min)
	for range unanswered {
		if timeout >= p.Max {
			break
		}
		timeout *= 2
	}
	return min(timeout, p.Max)
}
