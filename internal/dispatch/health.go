package dispatch

import (
	"time"

	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

const (
	// unreachableBackoff and fullBackoff are how long a worker gets no tasks after it was unreachable for a start, or
	// refused one for lack of resources.
	unreachableBackoff = 500 * time.Millisecond
	fullBackoff        = 60 * time.Millisecond
	// minFailureBackoff is how long a worker gets no tasks after a failed run. The time doubles with each consecutive
	// failure up to maxFailureBackoff.
	minFailureBackoff = time.Second
	maxFailureBackoff = 8 * time.Second
	// probeWindow is the time after the backoff during which a worker gets only one task at a time.
	probeWindow = 3 * time.Second
)

// health is the state of a worker as derived from the ends of its runs.
type health struct {
	// failures counts the failed runs since the last run that ended done.
	failures int
	// avoidUntil is the time from which the worker may get tasks again.
	avoidUntil time.Time
}

func (h *health) backOff(now time.Time, d time.Duration) {
	if u := now.Add(d); u.After(h.avoidUntil) {
		h.avoidUntil = u
	}
}

// usable reports whether the worker may get tasks.
func (h *health) usable(now time.Time) bool { return !now.Before(h.avoidUntil) }

// probing reports whether the worker gets only one task at a time, to show that it is sound. The state ends by
// itself: in a pool without other waiting tasks, no run could end it.
func (h *health) probing(now time.Time) bool {
	return h.failures > 0 && now.Before(h.avoidUntil.Add(probeWindow))
}

func (h *health) succeeded() { *h = health{} }

func (h *health) failed(now time.Time) {
	h.failures++
	h.backOff(now, min(minFailureBackoff<<min(h.failures-1, 4), maxFailureBackoff))
}

// recordOutcome updates the worker's health and the estimates after the end of a run. Callers hold mu.
func (d *Dispatcher) recordOutcome(a *agent, r *workload.Run, kind worker.EndKind, now time.Time) {
	spec := r.Task.Step.Spec
	switch kind {
	case worker.EndDone:
		a.health.succeeded()
		if !r.ActiveSince.IsZero() {
			d.estimates.observe(r, now.Sub(r.ActiveSince))
		}
	case worker.EndFailed:
		if spec.LongRunning || r.Task.Failures > 0 {
			return // long-running tasks may fail at any time, and a task that failed before may be the cause itself
		}
		a.health.failed(now)
	}
}
