package dispatch

import (
	"slices"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

// reported applies a worker's answer. It reports whether ends wait to be stored.
func (d *Dispatcher) reported(a *agent, r worker.Report, sent time.Duration) (waiting bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.Incarnation != 0 && r.Incarnation != a.incarnation {
		if a.incarnation != 0 {
			d.restarted(a, r.Incarnation)
		}
		a.incarnation = r.Incarnation
	}
	first := !a.contacted
	a.contacted, a.unsettled = true, false
	a.clock, a.clockAt = r.ClockMillis, bootclock.Now()
	if first {
		// An earlier leader may have renewed the lease until just now.
		d.markAll()
		a.deadline = max(a.deadline, r.ClockMillis+min(leaseDuration, d.Bounds.MaxLease).Milliseconds()+leaseMargin.Milliseconds())
		d.mark(a)
		d.signal()
	}
	if a.silentSince != 0 {
		d.Log.Info().Str("event", "worker_answers").Str("worker", a.id).Dur("silent", bootclock.Now()-a.silentSince).Msg("worker answers again")
		a.silentSince = 0
		d.mark(a)
	}
	for _, e := range r.Ended {
		d.ended(a, e)
	}
	d.compare(a, r, sent)
	d.paceFillers(a, d.now())
	return a.seenEnd > a.storedEnd
}

// ended applies one end that a worker lists. Callers hold mu.
func (d *Dispatcher) ended(a *agent, e worker.End) {
	if e.Number <= a.seenEnd {
		return
	}
	a.seenEnd = e.Number
	d.signal()
	id, k, step, index, err := workload.ParseTaskName(e.Task)
	if err != nil {
		d.Log.Warn().Err(err).Str("event", "bad_end").Str("worker", a.id).Msg("a worker lists the end of what is no task")
		return
	}
	run := a.runs[runKey{e.Task, e.Run}]
	j := d.jobs[id]
	a.unstoredJobs[id] = true
	if run != nil {
		d.detach(a, run)
	}
	if j == nil {
		return
	}
	t := j.Task(k, step, index)
	if run != nil {
		t = run.Task
	}
	if t == nil {
		return
	}
	if run == nil && e.Kind == worker.EndFailed && e.Run <= t.RestoredRun {
		return // an earlier leader has counted the failure, but did not get to acknowledge it
	}
	now := d.now()
	t.LastRun = max(t.LastRun, e.Run)
	if run != nil {
		d.learn(a, run, e.Kind, now)
	}
	d.counters.end(e.Kind)
	if e.Kind == worker.EndDone {
		d.Log.Debug().Str("event", "run_ended").Str("task", e.Task).Int("run", e.Run).Str("worker", a.id).Str("how", string(e.Kind)).Msg("run ended")
	} else {
		j.failures++
		d.Log.Info().Str("event", "run_ended").Str("task", e.Task).Int("run", e.Run).Str("worker", a.id).Str("how", string(e.Kind)).
			Int("failures", t.Failures).Msg("a run ended without being done")
	}
	attempts := max(d.queue(j.Queue).Attempts, 1)
	j.End(t, run, e.Kind, e.Checkpoint, attempts, now)
	d.touch(j)
	if j.State.Ended() {
		d.stopRuns(j)
	}
	if t.Done { // also if its occurrence, which was the last, is gone
		for _, other := range slices.Clone(t.Runs) {
			d.stopRun(other, "another run is done")
		}
	}
}

// compare sets what the worker says is running against what should be. Callers hold mu.
func (d *Dispatcher) compare(a *agent, r worker.Report, sent time.Duration) {
	now, asked := d.now(), d.at(sent)
	listed := make(map[runKey]bool, len(r.Running))
	for i := range r.Running {
		x := &r.Running[i]
		key := runKey{x.Task, x.Run}
		listed[key] = true
		run := a.runs[key]
		if run == nil {
			run = d.adoptRun(a, x)
		}
		if run == nil {
			d.stopStray(a, key)
			continue
		}
		d.observe(run, x, asked, now)
	}
	if r.MoreEnds {
		return // the ends of missing runs may follow
	}
	for key, run := range a.runs {
		if !listed[key] {
			d.missing(a, run, sent)
		}
	}
}

// observe applies what a worker says of a run. The worker said it after it was asked, and perhaps long before now: a process that was paused finds
// answers of before. Callers hold mu.
func (d *Dispatcher) observe(run *workload.Run, x *worker.Running, asked, now time.Time) {
	if run.Phase == workload.RunAssigned && run.Released {
		run.Phase = workload.RunActive
		run.ActiveSince = now
	}
	run.Percent, run.SeenAt, run.Load = x.Percent, asked, x.Load
	if x.Checkpoint != "" {
		run.Checkpoint = x.Checkpoint
	}
}

// missing handles a run that the worker neither lists as running nor has listed as ended. Callers hold mu.
func (d *Dispatcher) missing(a *agent, run *workload.Run, sent time.Duration) {
	asked := d.at(sent)
	switch run.Phase {
	case workload.RunAssigned:
		// An earlier leader stored the assignment. The same run is started again, which the worker takes as one start; but a later run of the
		// task may have been at another worker without being stored.
		switch {
		case !run.Released || d.sending[run]:
		case run.Inherited && d.unsettled(run.Task.Step.Job.Pool):
			d.withheld[run] = true
		default:
			d.send(run)
		}
	case workload.RunActive:
		if asked.After(run.ActiveSince) {
			d.Log.Warn().Str("event", "run_missing").Str("task", run.Task.Name()).Int("run", run.Number).Str("worker", a.id).Msg("a run has gone without an end")
			d.dropRun(a, run)
		}
	case workload.RunStopping:
		if !run.StopAckedAt.IsZero() && asked.After(run.StopAckedAt) {
			d.dropRun(a, run) // the stop bars the run, and nothing is there
		}
	}
}
