package dispatch

import (
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/scheduling"
	"pollenlead/internal/workload"
)

// paceInterval is the shortest interval between two changes of pace at a worker. The workers' latency figures cover
// the last half second.
const paceInterval = 500 * time.Millisecond

// paceFillers slows down the filler runs of a worker whose serving runs miss their latency targets. Callers hold mu.
func (d *Dispatcher) paceFillers(a *agent, now time.Time) {
	if a.fillers == 0 || a.servers == 0 && a.pace == fullPace || now.Sub(a.pacedAt) < paceInterval {
		return
	}
	a.pacedAt = now
	a.pace = scheduling.FillerPace(a.pace, worstLatencyRatio(a))
	for _, r := range a.runs {
		if r.Task.Step.Spec.Filler && r.Phase == workload.RunActive && r.Pace != a.pace {
			d.Log.Info().Str("event", "pace").Str("task", r.Task.Name()).Str("worker", a.id).Int("percent", a.pace).
				Msg("changing pace of filler run")
			go d.setPace(a, r, a.pace)
		}
	}
}

// fullPace is the pace of a run that has just started, in percent.
const fullPace = 100

// worstLatencyRatio returns the highest ratio of tail latency to target among the worker's serving runs. Callers hold
// mu.
func worstLatencyRatio(a *agent) float64 {
	worst := 0.0
	for _, r := range a.runs {
		if target := r.Task.Step.Spec.LatencyTarget; target > 0 && r.Phase == workload.RunActive {
			worst = max(worst, float64(r.Load)/float64(target.Milliseconds()))
		}
	}
	return worst
}

// setPace orders one change of pace. If no answer arrives, the order is repeated after a later report.
func (d *Dispatcher) setPace(a *agent, r *workload.Run, percent int) {
	prepared := bootclock.Now()
	d.mu.Lock()
	to, name := a.address(), r.Task.Name()
	d.mu.Unlock()
	ctx, cancel := callContext(d.ctx, prepared, d.lag.timeout(orderTimeout))
	defer cancel()
	sent := bootclock.Now()
	if err := d.Workers.SetPace(ctx, to, name, r.Number, percent, d.Token); err != nil {
		d.applyMismatch(a, to, err, sent)
		d.Log.Info().Str("event", "pace_failed").Str("task", name).Str("worker", to.ID).Err(err).
			Msg("change of pace of filler run failed")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r.Pace = percent
}
