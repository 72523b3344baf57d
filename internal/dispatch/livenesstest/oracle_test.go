package livenesstest

import (
	"time"

	"pollenlead/internal/fleet"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

const (
	// settleTime is the time after the last disruption from which work that may run has to run: finish_s of the platform's
	// rules. waitLimit is how long such a task may wait then.
	settleTime = 14 * time.Second
	waitLimit  = 3 * time.Second
	// pendingLimit is the age from which a job that has not begun counts among the pending ones.
	pendingLimit = 5 * time.Second
	// contactTime is the time after a disruption of the store for which the leader may not know of new jobs.
	contactTime = 3 * time.Second
)

// started checks a start that a worker carries out. Callers hold mu.
func (x *world) started(w *workerModel, r *runModel) {
	i := r.item
	x.counts.add("starts")
	i.job.began = true
	if i.unsure && !i.acknowledged {
		i.unsure = false
		i.setDone(false)
	}
	if i.done && i.acknowledged {
		x.violate("TWICE: %s starts after it was done", i.name())
	}
	for _, other := range x.workers {
		if o := other.running[i.name()]; o != nil && other != w {
			x.violate("TWICE: %s starts as run %d at %s and has run %d at %s", i.name(), r.number, w.id, o.number, other.id)
		}
	}
	if !i.ready() {
		x.violate("ORDER: %s starts before the steps on which it depends are done", i.name())
	}
	if i.spec.RequiredLabel != "" && !hasLabel(w, i.spec.RequiredLabel) {
		x.violate("ROUTE: %s starts without its label", i.name())
	}
	if most := i.spec.MaxPerWorker; most > 0 && x.sameStep(w, i) >= most {
		x.violate("ROUTE: %s starts beside %d others of its step", i.name(), most)
	}
	if i.spec.Gang {
		for _, other := range x.workers {
			for _, o := range other.running {
				if o.item.sameGang(i) && o.number == r.number && o.resumed != r.resumed {
					x.violate("GANG: %s starts from %q beside %q", i.name(), r.resumed, o.resumed)
				}
			}
		}
	}
}

func hasLabel(w *workerModel, label string) bool {
	for _, l := range w.labels {
		if l == label {
			return true
		}
	}
	return false
}

// sameStep returns the number of runs of the task's step and occurrence at a worker.
func (x *world) sameStep(w *workerModel, i *itemModel) int {
	n := 0
	for _, r := range w.running {
		if r.item.sameGang(i) {
			n++
		}
	}
	return n
}

// recordEnd records the end of a run. Callers hold mu.
func (x *world) ended(r *runModel, how worker.EndKind) {
	x.counts.add("ends " + string(how))
	i := r.item
	switch how {
	case worker.EndDone:
		i.setDone(true)
	case worker.EndFailed:
		i.failures++
		i.job.failed = i.job.failed || i.failures >= attempts && i.duration > 0
		x.disrupted = later(x.disrupted, time.Now())
	case worker.EndGangTimeout:
		if time.Since(x.disrupted) > settleTime && i.job.cancelled.IsZero() {
			x.violate("GANG: %s run %d ends alone", i.name(), r.number)
		}
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// acknowledged records that the leader has taken note of an end. Callers hold mu.
func (x *world) acknowledged(e worker.End) {
	if i := x.item(e.Task); i != nil && e.Kind == worker.EndDone {
		for _, member := range i.gang() {
			member.acknowledged = true
		}
	}
}

// running reports whether some worker runs the task.
func (x *world) running(i *itemModel) bool {
	for _, w := range x.workers {
		if w.running[i.name()] != nil {
			return true
		}
	}
	return false
}

// turn reports whether the task's turn has come.
func (x *world) turn(i *itemModel, now time.Time) bool {
	j := i.job
	if i.done || !j.cancelled.IsZero() || j.failed {
		return false
	}
	if due := j.spec.DueAt(i.occurrence); due.After(now) {
		return false
	}
	return i.ready()
}

// mayRun reports whether the task, or its whole gang, may run with room twice over, and less than half of its pool is
// in use.
func (x *world) mayRun(i *itemModel) bool {
	var used, capacity fleet.Resources
	places, wanted := 0, 1
	if i.spec.Gang {
		wanted = i.spec.Count
	}
	charge := i.spec.Charge()
	twice := charge.Add(charge)
	for _, w := range x.workers {
		if w.pool != x.pools[i.job.queue] || !w.up || w.draining {
			continue
		}
		used, capacity = used.Add(w.used()), capacity.Add(w.capacity)
		if i.spec.RequiredLabel != "" && !hasLabel(w, i.spec.RequiredLabel) {
			continue
		}
		room, here := w.capacity.Sub(w.used()), 0
		for twice.Fits(room) && here < i.spec.Count {
			room = room.Sub(twice)
			here++
		}
		if most := i.spec.MaxPerWorker; most > 0 {
			here = min(here, most-x.sameStep(w, i))
		}
		places += max(here, 0)
	}
	return places >= wanted && 2*used.CPUMilli < capacity.CPUMilli && 2*used.MemoryMB < capacity.MemoryMB
}

// observe checks the rules with a time bound.
func (x *world) observe(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	calm := now.Sub(x.disrupted) > settleTime
	for _, j := range x.jobs {
		waiting := 0
		for _, i := range j.items {
			if !calm || !x.turn(i, now) || x.running(i) || !x.mayRun(i) {
				i.waitingSince = time.Time{}
				continue
			}
			waiting++
			if i.waitingSince.IsZero() {
				i.waitingSince = now
			}
			if now.Sub(i.waitingSince) > waitLimit {
				x.violate("LOST: %s waits for %v, the state of its job is %q", i.name(), now.Sub(i.waitingSince), x.state(j))
				return
			}
		}
	}
	x.observeStates(calm)
}

// state returns the state of a job as the leader shows it, or "" if there is no answer.
func (x *world) state(j *jobModel) workload.State {
	if x.leader == nil {
		return ""
	}
	s, err := x.leader.JobState(j.queue, team, j.id)
	if err != nil {
		return ""
	}
	return s
}

// observeStates checks what the leader shows of the jobs. Callers hold mu.
func (x *world) observeStates(calm bool) {
	now := time.Now()
	unbegun := map[string]int{}
	for _, j := range x.jobs {
		shown := x.state(j)
		complete, unsure := true, false
		for _, i := range j.items {
			complete, unsure = complete && i.done, unsure || i.unsure && !i.acknowledged
		}
		if shown == workload.StateDone && !complete {
			x.violate("MIXED: job %s is shown as done", j.id)
		}
		if shown == workload.StateFailed && !j.failed {
			x.violate("LOST: job %s is shown as failed", j.id)
		}
		if shown == workload.StateCancelled && j.cancelled.IsZero() {
			x.violate("LOST: job %s is shown as cancelled", j.id)
		}
		if complete && unsure {
			x.observeStalled(j, calm && shown != workload.StateDone, now)
			continue
		}
		if !complete || !calm {
			j.completeSince = now
		}
		if now.Sub(j.completeSince) > waitLimit && j.cancelled.IsZero() && shown != workload.StateDone {
			x.violate("LOST: all tasks of job %s are done, it is shown as %q", j.id, shown)
		}
		if !j.began && j.cancelled.IsZero() && j.spec.Times == 0 && now.Sub(j.accepted) > pendingLimit {
			unbegun[j.queue]++
		}
	}
	for queue, n := range unbegun {
		if now.Sub(x.storeDisrupted) < contactTime {
			break
		}
		if pending, err := x.pending(queue); err == nil && 2*pending < n {
			x.violate("MIXED: %d pending jobs in %s, %d have not begun", pending, queue, n)
		}
	}
}

// observeStalled checks a job of which only tasks are left whose end the leader may not have read: it is shown as done,
// or the tasks run again. Callers hold mu.
func (x *world) observeStalled(j *jobModel, stalled bool, now time.Time) {
	possible := false
	for _, i := range j.items {
		possible = possible || i.unsure && x.mayRun(i)
	}
	switch {
	case !stalled || !possible || !j.cancelled.IsZero():
		j.stalledSince = time.Time{}
	case j.stalledSince.IsZero():
		j.stalledSince = now
	case now.Sub(j.stalledSince) > waitLimit:
		x.violate("LOST: job %s stalls after its worker was lost with an end", j.id)
	}
}

func (x *world) pending(queue string) (int, error) {
	if x.leader == nil {
		return 0, dispatchNotLoaded
	}
	return x.leader.PendingJobs(queue)
}

// finished reports whether nothing is left to observe. Callers hold mu.
func (x *world) finished(now time.Time) bool {
	if now.Sub(x.disrupted) < settleTime+waitLimit+4*observation {
		return false
	}
	for _, j := range x.jobs {
		for _, i := range j.items {
			if x.turn(i, now) && i.duration > 0 {
				return false
			}
		}
	}
	return true
}
