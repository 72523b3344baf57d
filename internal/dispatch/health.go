package dispatch

import (
	"time"

	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

const (
	// avoidUnreachable and avoidFull are how long a worker gets no task after an order that it did not take.
	avoidUnreachable = 500 * time.Millisecond
	avoidFull        = 60 * time.Millisecond
	// avoidFirst is how long a worker gets no task after a failed run, and avoidMost the longest such time; it doubles with
	// each failure in a row.
	avoidFirst = time.Second
	avoidMost  = 8 * time.Second
	// probeTime is how long after that a worker gets only one task at a time.
	probeTime = 3 * time.Second
)

// health is what the ends of runs tell of a worker.
type health struct {
	// failures counts failed runs since the last run that was done.
	failures int
	// until is when the worker may get tasks again.
	until time.Time
}

func (h *health) avoid(now time.Time, d time.Duration) {
	if u := now.Add(d); u.After(h.until) {
		h.until = u
	}
}

// usable reports whether the worker may get tasks.
func (h *health) usable(now time.Time) bool { return !now.Before(h.until) }

// probing reports whether the worker has to show with one task that it is sound. That ends by itself, as a pool in which no other
// task waits would never show it.
func (h *health) probing(now time.Time) bool {
	return h.failures > 0 && now.Before(h.until.Add(probeTime))
}

func (h *health) done() { *h = health{} }

func (h *health) failed(now time.Time) {
	h.failures++
	h.avoid(now, min(avoidFirst<<min(h.failures-1, 4), avoidMost))
}

// learn draws conclusions from the end of a run. Callers hold mu.
func (d *Dispatcher) learn(a *agent, r *workload.Run, kind worker.EndKind, now time.Time) {
	spec := r.Task.Step.Spec
	switch kind {
	case worker.EndDone:
		a.health.done()
		if !r.ActiveSince.IsZero() {
			d.estimates.done(r.Task.Step, now.Sub(r.ActiveSince))
		}
	case worker.EndFailed:
		if spec.LongRunning || r.Task.Failures > 0 {
			return // long-running tasks fail at any time, and a task that failed elsewhere too may be at fault itself
		}
		a.health.failed(now)
	}
}
