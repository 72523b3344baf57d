package dispatch

import (
	"time"

	"pollenlead/internal/fleet"
	"pollenlead/internal/workload"
)

// An earlier leader may have started tasks without storing them. They count against the limits of their teams, in
// whichever pool they run, but are not known before their workers have answered. Such workers are called unchecked or
// unheard, and so are pools with one. Until they have answered, a new leader counts the most that a team may have
// running there.

// maxClockStep is the largest difference between the clocks of two entry instances while one of them has been set
// wrongly for some seconds. The earlier leader may have begun an occurrence by that much early.
const maxClockStep = 5 * time.Second

// unboundedRoom stands for the capacity of a worker whose entry is not known.
const unboundedRoom = 1 << 60

var unbounded = fleet.Resources{CPUMilli: unboundedRoom, MemoryMB: unboundedRoom, GPU: unboundedRoom}

// maxUnheardTasks bounds the tasks of a step that are added at once, so that the sums do not overflow.
const maxUnheardTasks = 1 << 16

// unheardUse is the demand of one team that may run on unchecked workers.
type unheardUse struct {
	limit fleet.Resources
	// bounded is the demand that fits on the workers only as far as they have room, and fillers that of filler tasks,
	// which take no processor capacity.
	bounded, fillers fleet.Resources
	// known is the use by runs that the leader knows there. They are counted already.
	known fleet.Resources
}

// unheardUses returns the most that each team with a limit may have running on unchecked workers, besides the runs that
// are known. Callers hold mu.
func (d *Dispatcher) unheardUses(teams []fleet.Team, unchecked map[string]bool) map[string]fleet.Resources {
	if len(unchecked) == 0 {
		clear(d.endedUnheard)
		return nil
	}
	uses := map[string]*unheardUse{}
	for i := range teams {
		if teams[i].UpperLimit != (fleet.Resources{}) {
			uses[teams[i].Name] = &unheardUse{limit: teams[i].UpperLimit}
		}
	}
	room := d.uncheckedRoom(uses)
	addJobs := func(jobs map[string]*job) {
		for _, j := range jobs {
			if u := uses[j.Team]; u != nil && !u.reachesLimit(room) && d.awaitsCheck(j.Job, unchecked) {
				u.addJob(j.Job, d.occurrenceClock(j).Add(maxClockStep+d.Bounds.EarlyStart/2))
			}
		}
	}
	for _, jobs := range d.active {
		addJobs(jobs)
	}
	addJobs(d.endedUnheard)
	most := make(map[string]fleet.Resources, len(uses))
	for name, u := range uses {
		most[name] = smaller(u.bounded, room.Sub(u.known)).Add(u.fillers)
	}
	return most
}

// noteEnded records that a job was cancelled or has failed in this term. Its tasks may run on unchecked workers until
// these have answered. Callers hold mu.
func (d *Dispatcher) noteEnded(j *job) {
	if j.State != workload.StateDone {
		d.endedUnheard[j.ID] = j
	}
}

// uncheckedRoom returns the capacity of the unchecked workers, and adds the runs that are known there to the uses of
// their teams. Callers hold mu.
func (d *Dispatcher) uncheckedRoom(uses map[string]*unheardUse) (room fleet.Resources) {
	for _, a := range d.agents {
		if !a.unchecked {
			continue
		}
		if a.entry == nil || !a.kindKnown() {
			return unbounded
		}
		room = room.Add(a.entry.Capacity)
		for _, r := range a.runs {
			if u := uses[r.Task.Step.Job.Team]; u != nil {
				u.known = u.known.Add(r.Task.Step.Spec.Charge())
			}
		}
	}
	return room
}

// reachesLimit reports whether the demand added so far, on workers with that much room, leaves nothing of the limit.
// More demand then makes no difference.
func (u *unheardUse) reachesLimit(room fleet.Resources) bool {
	use := smaller(u.bounded, room).Add(u.fillers)
	return use.CPUMilli >= u.limit.CPUMilli && use.MemoryMB >= u.limit.MemoryMB && use.GPU >= u.limit.GPU
}

// addJob adds the tasks of a job that have no known run, those of steps that are not ready included: the steps before
// them may have ended. An occurrence that is due before the given time may have begun by the earlier leader's clock.
func (u *unheardUse) addJob(j *workload.Job, due time.Time) {
	for _, o := range j.Occurrences {
		for _, s := range o.Steps {
			u.add(s.Spec, int64(s.WaitingCount()))
		}
	}
	n := int64(j.DueCount(due))
	for i := range j.Spec.Steps {
		u.add(&j.Spec.Steps[i], n*int64(j.Spec.Steps[i].Count))
	}
}

// add adds some tasks of a step.
func (u *unheardUse) add(s *fleet.Step, tasks int64) {
	to := &u.bounded
	if s.Filler {
		to = &u.fillers
	}
	tasks = min(tasks, maxUnheardTasks)
	to.CPUMilli = min(to.CPUMilli+tasks*s.Need.CPUMilli, unboundedRoom)
	to.MemoryMB = min(to.MemoryMB+tasks*s.Need.MemoryMB, unboundedRoom)
	to.GPU = min(to.GPU+tasks*s.Need.GPU, unboundedRoom)
}

// smaller returns the smaller amount in each dimension, at least 0.
func smaller(a, b fleet.Resources) fleet.Resources {
	return fleet.Resources{
		CPUMilli: max(min(a.CPUMilli, b.CPUMilli), 0),
		MemoryMB: max(min(a.MemoryMB, b.MemoryMB), 0),
		GPU:      max(min(a.GPU, b.GPU), 0),
	}
}
