package dispatch

import (
	"time"

	"pollenlead/internal/scheduling"
	"pollenlead/internal/workload"
)

// orderDelay is the time from the end of the last run on an instance until its maintenance is ordered: the report of
// the end, its record in the store, and a step of the wave.
const orderDelay = 500 * time.Millisecond

// runTimes predicts when a run ends. *runtimes.Model implements it.
type runTimes interface {
	// TimeLeft returns the expected remaining time of a run that has been running for the time elapsed.
	TimeLeft(queue string, estimate, elapsed time.Duration) time.Duration
	// DoneWithin returns the probability that a run that has been running for the time elapsed is done after the further
	// time within.
	DoneWithin(queue string, estimate, elapsed, within time.Duration) float64
}

// stopLate stops the runs of a draining instance for which it is not worth waiting, the time left before the deadline
// of its wave. Callers hold the dispatcher's mu.
func (w *instanceDriver) stopLate(a *agent, left time.Duration) {
	bounds := w.d.Bounds
	runs, views := w.ordinaryRuns(a, left-bounds.Maintenance-bounds.MaxStopTime-orderDelay)
	for _, n := range scheduling.RunsToStop(views) {
		w.d.counters.waveStops.Add(1)
		w.d.stopRun(runs[n], "it would make its wave late")
	}
}

// ordinaryRuns returns the runs of a worker that end by themselves, with their prospects of ending within the given
// time. Callers hold the dispatcher's mu.
func (w *instanceDriver) ordinaryRuns(a *agent, within time.Duration) ([]*workload.Run, []scheduling.DrainRun) {
	var runs []*workload.Run
	var views []scheduling.DrainRun
	for _, r := range a.runs {
		spec := r.Task.Step.Spec
		if spec.LongRunning || spec.Checkpoints || spec.Gang || r.Phase != workload.RunActive {
			continue
		}
		runs = append(runs, r)
		views = append(views, drainRun(r, a, w.d.estimates.model, w.d.now(), within))
	}
	return runs, views
}

// drainRun returns the prospects of a run of ending within the given time.
func drainRun(r *workload.Run, a *agent, times runTimes, now time.Time, within time.Duration) scheduling.DrainRun {
	s := r.Task.Step
	elapsed := now.Sub(r.ActiveSince)
	x := scheduling.DrainRun{
		Elapsed: elapsed, Left: times.TimeLeft(s.Job.Queue, s.Spec.Estimate, elapsed),
		DoneInTime: times.DoneWithin(s.Job.Queue, s.Spec.Estimate, elapsed, within),
	}
	if a.entry != nil && a.entry.Capacity.CPUMilli > 0 {
		x.Share = float64(s.Spec.Charge().CPUMilli) / float64(a.entry.Capacity.CPUMilli)
	}
	return x
}
