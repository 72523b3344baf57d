package workload

import (
	"iter"
	"time"
)

// A step may have thousands of tasks, and a job thousands of occurrences, of which few run at a time. A step holds the
// tasks that have been assigned. Those that have not are alike but for their index, and of those that are done only
// this is known.

// doneTask stands in Step.tasks for every task that is done and has no runs. It is never handed out.
var doneTask = &Task{Done: true}

// Task returns the task with the given index. A task that the step does not hold is a new value, which the step holds
// from its first change on.
func (s *Step) Task(index int) *Task {
	if index < len(s.tasks) {
		switch t := s.tasks[index]; t {
		case nil:
		case doneTask:
			return &Task{Step: s, Index: index, Done: true}
		default:
			return t
		}
	}
	return &Task{Step: s, Index: index}
}

// Held returns the tasks that have been assigned, in the order of their indices, without those that are done and have
// no runs.
func (s *Step) Held() iter.Seq[*Task] {
	return func(yield func(*Task) bool) {
		for _, t := range s.tasks {
			if t != nil && t != doneTask && !yield(t) {
				return
			}
		}
	}
}

// isDone reports whether the task with the given index is done.
func (s *Step) isDone(index int) bool {
	return index < len(s.tasks) && s.tasks[index] != nil && s.tasks[index].Done
}

// WaitingCount returns the number of tasks that need a run and have none.
func (s *Step) WaitingCount() int {
	n := s.Spec.Count
	for _, t := range s.tasks {
		if t != nil && !t.Waiting() {
			n--
		}
	}
	return n
}

// Waiting returns the tasks that need a run and have none, in the order of their indices. Of those that have never been
// assigned each is made when it is its turn.
func (s *Step) Waiting() iter.Seq[*Task] {
	return func(yield func(*Task) bool) {
		for i, t := range s.tasks {
			if t == nil {
				t = &Task{Step: s, Index: i}
			}
			if t.Waiting() && !yield(t) {
				return
			}
		}
		for i := len(s.tasks); i < s.Spec.Count; i++ {
			if !yield(&Task{Step: s, Index: i}) {
				return
			}
		}
	}
}

// AnyFailed reports whether a run of a waiting task has failed.
func (s *Step) AnyFailed() bool {
	for t := range s.Held() {
		if t.Failures > 0 && t.Waiting() {
			return true
		}
	}
	return false
}

// hold makes the step hold a task that has changed. It does not hold one that is done without a run.
func (s *Step) hold(t *Task) {
	s.extend(t.Index + 1)
	if held := s.tasks[t.Index]; held == nil || held == doneTask && len(t.Runs) > 0 {
		s.tasks[t.Index] = t
		s.Job.bytes += taskBytes
	}
}

// setDone marks the task with the given index as done. The step keeps it as long as it has runs.
func (s *Step) setDone(index int) {
	s.extend(index + 1)
	switch t := s.tasks[index]; t {
	case nil:
		s.tasks[index] = doneTask
	case doneTask:
	default:
		t.Done = true
		s.release(t)
	}
}

// release forgets a task that is done and has no runs.
func (s *Step) release(t *Task) {
	if t.Done && len(t.Runs) == 0 && t.Index < len(s.tasks) && s.tasks[t.Index] == t {
		s.tasks[t.Index] = doneTask
		s.Job.bytes -= taskBytes
	}
}

// extend makes room for the tasks below an index. The occurrence has then begun.
func (s *Step) extend(n int) {
	if n <= len(s.tasks) {
		return
	}
	if o := s.Occurrence; !o.begun {
		o.begun = true
		s.Job.waitingOccurrences--
	}
	before := cap(s.tasks)
	s.tasks = append(s.tasks, make([]*Task, n-len(s.tasks))...)
	s.Job.bytes += int64(cap(s.tasks)-before) * pointerBytes
}

// maxWaitingOccurrences bounds the occurrences in progress of a job of which no task has been assigned. Further ones
// that are due are only a number. A decision can start this many occurrences of one job.
const maxWaitingOccurrences = 16

// Advance adds the occurrences that are due, as far as few others wait, and reports whether it added any. early is how
// long before its due time an occurrence may start.
func (j *Job) Advance(now time.Time, early time.Duration) (added bool) {
	for j.nextIsDue(now, early) && j.waitingOccurrences < maxWaitingOccurrences {
		j.addNext(now)
		added = true
	}
	if added {
		j.splitIfLarge()
	}
	return added
}

// AdvanceTo adds the occurrences up to the given one if they are due, however many wait. An earlier leader may have
// begun them. It reports whether it added any.
func (j *Job) AdvanceTo(occurrence int, now time.Time, early time.Duration) (added bool) {
	for j.NextOccurrence <= occurrence && j.nextIsDue(now, early) {
		j.addNext(now)
		added = true
	}
	if added {
		j.splitIfLarge()
	}
	return added
}

// nextIsDue reports whether the next occurrence is due.
func (j *Job) nextIsDue(now time.Time, early time.Duration) bool {
	if j.State.Ended() || j.NextOccurrence >= j.Spec.Occurrences() {
		return false
	}
	due := j.Spec.DueAt(j.NextOccurrence)
	return due.IsZero() || !now.Before(due.Add(-early))
}

func (j *Job) addNext(now time.Time) {
	j.addOccurrence(j.NextOccurrence, now)
	j.NextOccurrence++
}

// DueCount returns the number of occurrences that are due by the given time and have not been added.
func (j *Job) DueCount(by time.Time) int {
	low, high := j.NextOccurrence, j.Spec.Occurrences()
	for low < high {
		if middle := low + (high-low)/2; j.Spec.DueAt(middle).After(by) {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low - j.NextOccurrence
}
