package workload

import (
	"slices"
	"time"
)

// keepCheckpoint keeps the checkpoint of a run that has ended. The value from any member of a gang is valid for all of
// them; the newest one is kept, as members end at different times and that of a lost member is learned last.
func (t *Task) keepCheckpoint(run *Run) {
	s := t.Step
	if !s.Spec.Gang {
		t.Checkpoint = run.Checkpoint
		return
	}
	first := s.Task(0)
	if first.Checkpoint == "" || !run.CheckpointAt.Before(s.checkpointAt) {
		first.Checkpoint, s.checkpointAt = run.Checkpoint, run.CheckpointAt
		first.markChanged()
	}
}

// ResumeFrom returns the checkpoint from which the next run of the task resumes, or "". All members of a gang resume
// from the same one.
func (t *Task) ResumeFrom() string {
	if t.Step.Spec.Gang {
		return t.Step.Task(0).Checkpoint
	}
	return t.Checkpoint
}

// gangFailures returns how often the gang has failed. Any number of its members may report that one run has failed. A
// record of an earlier version has only the number of failures of each member.
func (s *Step) gangFailures() int {
	var runs []int
	unnumbered := 0
	for member := range s.Held() {
		runs = append(runs, member.FailedRuns...)
		unnumbered = max(unnumbered, member.Failures-len(member.FailedRuns))
	}
	slices.Sort(runs)
	return unnumbered + len(slices.Compact(runs))
}

// SetCheckpoint records a checkpoint that the worker reported at the given time.
func (r *Run) SetCheckpoint(checkpoint string, at time.Time) {
	if checkpoint != "" && checkpoint != r.Checkpoint {
		r.Checkpoint, r.CheckpointAt = checkpoint, at
	}
}

// GangComplete reports whether every member of the run's gang has a run with the same number that is not being stopped.
// A member that is started without the others waits for them in vain.
func (r *Run) GangComplete() bool {
	members := 0
	for member := range r.Task.Step.Held() {
		other := member.runNumbered(r.Number)
		if other == nil || other.Phase == RunStopping {
			return false
		}
		members++
	}
	return members == r.Task.Step.Spec.Count
}

// GangRuns returns the runs of the other members of the run's gang with the same number.
func (r *Run) GangRuns() []*Run {
	var runs []*Run
	for member := range r.Task.Step.Held() {
		if other := member.runNumbered(r.Number); other != nil && other != r {
			runs = append(runs, other)
		}
	}
	return runs
}

func (t *Task) runNumbered(number int) *Run {
	for _, r := range t.Runs {
		if r.Number == number {
			return r
		}
	}
	return nil
}
