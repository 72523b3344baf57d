package dispatch

import (
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/scheduling"
)

// waveLogInterval is the shortest interval between two lines on the progress of a wave.
const waveLogInterval = time.Second

// logProgress logs how far a wave is and what its instances wait for. Callers hold the dispatcher's mu.
func (w *instanceDriver) logProgress(x *wave, v *scheduling.WaveView, selected int) {
	now := bootclock.Now()
	if now-x.loggedAt < waveLogInterval {
		return
	}
	phases, runs := w.countPhases(x)
	if phases[scheduling.MaintenanceDone] == len(x.instances) {
		return
	}
	x.loggedAt = now
	e := w.d.Log.Info().Str("event", "wave").Int64("wave", x.request.Number).Dur("left", v.TimeLeft).
		Int("behind", max(v.Behind()-selected, 0)).Bool("urgent", v.Urgent()).Int("draining_runs", runs)
	for phase, n := range phases {
		e = e.Int(string(phase), n)
	}
	for reason, n := range v.Waits() {
		e = e.Int("waits_for_"+string(reason), n)
	}
	e.Msg("progress of a wave")
}

// countPhases returns the number of instances in each phase, and that of the runs on draining instances. Callers hold
// the dispatcher's mu.
func (w *instanceDriver) countPhases(x *wave) (phases map[scheduling.MaintenancePhase]int, runs int) {
	phases = map[scheduling.MaintenancePhase]int{}
	for _, i := range x.instances {
		phases[i.phase]++
		if a := w.d.agents[i.worker]; a != nil && i.phase == scheduling.MaintenanceDraining {
			runs += len(a.runs)
		}
	}
	return phases, runs
}
