package dispatch

import (
	"context"
	"time"

	"pollenlead/internal/scheduling"
	"pollenlead/internal/workload"
)

// paceInterval is the least time between two changes of pace at a worker. The workers' figures are of the last half second.
const paceInterval = 500 * time.Millisecond

// paceFillers keeps filler runs from harming the serving runs of a worker. Callers hold mu.
func (d *Dispatcher) paceFillers(a *agent, now time.Time) {
	if a.fillers == 0 || a.servers == 0 && a.pace == fullPace || now.Sub(a.pacedAt) < paceInterval {
		return
	}
	a.pacedAt = now
	a.pace = scheduling.FillerPace(a.pace, worstTail(a))
	for _, r := range a.runs {
		if r.Task.Step.Spec.Filler && r.Phase == workload.RunActive && r.Pace != a.pace {
			d.Log.Info().Str("event", "pace").Str("task", r.Task.Name()).Str("worker", a.id).Int("percent", a.pace).Msg("pace of filler work changes")
			go d.setPace(a, r, a.pace)
		}
	}
}

// fullPace is the pace of a run that has just started, in percent.
const fullPace = 100

// worstTail is the highest tail latency of the worker's serving runs as a part of their targets. Callers hold mu.
func worstTail(a *agent) float64 {
	worst := 0.0
	for _, r := range a.runs {
		if target := r.Task.Step.Spec.LatencyTarget; target > 0 && r.Phase == workload.RunActive {
			worst = max(worst, float64(r.Load)/float64(target.Milliseconds()))
		}
	}
	return worst
}

// setPace orders one change of pace. Without an answer it is ordered again after a later report.
func (d *Dispatcher) setPace(a *agent, r *workload.Run, percent int) {
	d.mu.Lock()
	to, name := a.address(), r.Task.Name()
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(d.ctx, d.lag.timeout(orderTimeout))
	defer cancel()
	if err := d.Workers.SetPace(ctx, to, name, r.Number, percent, d.Token); err != nil {
		d.Log.Info().Str("event", "pace_failed").Str("task", name).Str("worker", to.ID).Err(err).Msg("pace of filler work could not be changed yet")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r.Pace = percent
}
