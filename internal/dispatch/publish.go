package dispatch

import "pollenlead/internal/workload"

// publish makes a state of a job visible to clients. An end has to be stored first, however long the store does not
// answer: until then only the worker and this leader may know it. If both are lost, the next leader runs the task again
// although clients were told that the job is done. Callers hold mu.
func (d *Dispatcher) publish(j *job, state workload.State) {
	if j.published == state || j.published.Ended() {
		return
	}
	j.published = state
	if !state.Ended() {
		return
	}
	took := j.EndedAt.Sub(j.Submitted)
	d.counters.countJobEnd(state, took)
	now := d.now()
	phases, late := j.phases(now), j.late(state, now)
	if late {
		d.counters.late.add(phases)
	}
	d.Log.Info().Str("event", "job_ended").Str("job", j.ID).Str("queue", j.Queue).Str("team", j.Team).
		Str("state", string(state)).
		Dur("took", took).Dur("first_start_after", j.firstStart).Dur("objective", j.objective).
		Int("runs_failed", j.failures).Bool("late", late).Object("phases", phases).Msg("job ended")
}
