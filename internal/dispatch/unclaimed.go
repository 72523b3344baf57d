package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

// A worker may list runs and ends of a job that this leader has not read yet, or of an occurrence that is not due by
// its clock: an earlier leader started them without storing the assignment. They are unclaimed until the job or the
// occurrence is known, or until it is certain that it does not exist. An unclaimed end is not acknowledged, because
// the worker would forget it and the task would run again.

// unclaimedEnd is an end that has not been applied to a task. reported is the boot clock at which it was read.
type unclaimedEnd struct {
	worker.End
	reported time.Duration
}

// unclaimedRun is a run that belongs to no known task. reported is the boot clock at which it was first read.
type unclaimedRun struct {
	worker.Running
	reported time.Duration
}

// mayAppear reports whether a job, or an occurrence of it, may exist although this leader does not know it. A job of
// which a worker reports something had been accepted before the boot clock reported. Callers hold mu.
func (d *Dispatcher) mayAppear(id string, occurrence int, reported time.Duration) bool {
	j := d.jobs[id]
	if j == nil {
		return d.jobsReadThrough() < reported
	}
	return !j.State.Ended() && occurrence >= j.NextOccurrence && occurrence < j.Spec.Occurrences()
}

// jobsReadThrough returns the boot clock of a moment before which all accepted jobs have been read. Callers hold mu.
func (d *Dispatcher) jobsReadThrough() time.Duration {
	if len(d.jobsReadAt) == 0 {
		return bootclock.Now()
	}
	return slices.Min(d.jobsReadAt)
}

// appliedEnd returns the highest number of an end up to which every end that was read has been applied. Callers hold
// mu.
func (a *agent) appliedEnd() int64 {
	applied := a.seenEnd
	for number := range a.unclaimedEnds {
		applied = min(applied, number-1)
	}
	return applied
}

// keepUnclaimedRun keeps a listed run that belongs to no known task, and reports false if its task cannot appear any
// more. Callers hold mu.
func (d *Dispatcher) keepUnclaimedRun(a *agent, x *worker.Running) bool {
	id, occurrence, _, _, err := workload.ParseTaskName(x.Task)
	if err != nil {
		return false
	}
	key := runKey{x.Task, x.Run}
	run, known := a.unclaimedRuns[key]
	if !known {
		run.reported = bootclock.Now()
	}
	run.Running = *x
	if !d.mayAppear(id, occurrence, run.reported) {
		delete(a.unclaimedRuns, key)
		return false
	}
	a.unclaimedRuns[key] = run
	if !known {
		d.Log.Info().Str("event", "run_unclaimed").Str("worker", a.id).Str("task", x.Task).Int("run", x.Run).
			Msg("worker lists a run of a task that is not known yet")
	}
	return true
}

// claim applies what workers have reported of a job before the job or one of its occurrences was known. Ends come
// first, because a run is taken over only if the task is not done. Callers hold mu.
func (d *Dispatcher) claim(id string) {
	of := func(task string) bool {
		job, _, _, _, err := workload.ParseTaskName(task)
		return err == nil && job == id
	}
	for _, a := range d.agents {
		for _, number := range slices.Sorted(maps.Keys(a.unclaimedEnds)) {
			if e := a.unclaimedEnds[number]; of(e.Task) {
				delete(a.unclaimedEnds, number)
				d.settleEnd(a, e)
			}
		}
	}
	for _, a := range d.agents {
		for _, key := range slices.SortedFunc(maps.Keys(a.unclaimedRuns), compareRunKeys) {
			x := a.unclaimedRuns[key]
			if !of(key.task) {
				continue
			}
			delete(a.unclaimedRuns, key)
			if d.adoptRun(a, &x.Running) == nil && !d.keepUnclaimedRun(a, &x.Running) {
				d.stopStray(a, key)
			}
		}
	}
}

func compareRunKeys(x, y runKey) int {
	return cmp.Or(cmp.Compare(x.task, y.task), cmp.Compare(x.number, y.number))
}

// dropUnclaimed gives up the unclaimed ends and runs whose tasks cannot appear any more. Callers hold mu.
func (d *Dispatcher) dropUnclaimed() {
	for _, a := range d.agents {
		for number, e := range a.unclaimedEnds {
			id, occurrence, _, _, _ := workload.ParseTaskName(e.Task)
			if !d.mayAppear(id, occurrence, e.reported) {
				delete(a.unclaimedEnds, number)
				d.logUnknownEnd(a, e.End, "its job or occurrence does not exist")
				d.signal()
			}
		}
		for key, x := range a.unclaimedRuns {
			if !d.keepUnclaimedRun(a, &x.Running) {
				d.stopStray(a, key)
			}
		}
	}
}

// forgetUnlistedRuns forgets the unclaimed runs that a worker no longer lists. Callers hold mu.
func (a *agent) forgetUnlistedRuns(listed map[runKey]bool) {
	maps.DeleteFunc(a.unclaimedRuns, func(key runKey, _ unclaimedRun) bool { return !listed[key] })
}

// unclaimedUses returns the most that teams may be using by unclaimed runs: by team where the job is known, and
// otherwise for any of them the room that is left on the workers. Callers hold mu.
func (d *Dispatcher) unclaimedUses() (byTeam map[string]fleet.Resources, ofAnyTeam fleet.Resources) {
	for _, a := range d.agents {
		unread := false
		for key := range a.unclaimedRuns {
			id, _, step, _, _ := workload.ParseTaskName(key.task)
			j := d.jobs[id]
			switch {
			case j == nil:
				unread = true
			case step < len(j.Spec.Steps):
				if byTeam == nil {
					byTeam = map[string]fleet.Resources{}
				}
				byTeam[j.Team] = byTeam[j.Team].Add(j.Spec.Steps[step].Charge())
			}
		}
		switch {
		case !unread:
		case a.entry == nil || !a.kindKnown():
			ofAnyTeam = unbounded
		default:
			ofAnyTeam = ofAnyTeam.Add(smaller(a.entry.Capacity.Sub(a.used), unbounded))
		}
	}
	return byTeam, ofAnyTeam
}

// logUnknownEnd logs an end that is not applied to any task. Callers hold mu.
func (d *Dispatcher) logUnknownEnd(a *agent, e worker.End, why string) {
	d.counters.unknownEnds.Add(1)
	d.Log.Info().Str("event", "unknown_end").Str("worker", a.id).Str("task", e.Task).Int("run", e.Run).
		Int64("number", e.Number).Str("how", string(e.Kind)).Str("why", why).Msg("worker listed an end of an unknown task")
}
