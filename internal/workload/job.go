// Package workload holds the state of jobs: which tasks are waiting, running and done, and the resulting state of
// each job. It is pure: the caller passes in each event and its time. The dispatcher is its only writer.
package workload

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"pollenlead/internal/fleet"
	"pollenlead/internal/worker"
)

// State is the job state that is reported to callers.
type State string

// The states of a job.
const (
	StatePending   State = "pending"
	StateRunning   State = "running"
	StateDone      State = "done"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Ended reports whether the state is final.
func (s State) Ended() bool { return s == StateDone || s == StateFailed || s == StateCancelled }

// known reports whether the state is one of a job.
func (s State) known() bool { return s == StatePending || s == StateRunning || s.Ended() }

// Job is an accepted job.
type Job struct {
	ID    string
	Queue string
	Pool  string
	Team  string
	Spec  *fleet.JobSpec
	// Submitted is the time of day at which the job was accepted.
	Submitted time.Time
	// Attempts is the number of failed runs of a task after which the job fails, as its queue had it at the submission;
	// 0 if the submission does not name it.
	Attempts int
	// NeedsTicket means that workers reject starts of the job without a ticket of the advice service.
	NeedsTicket bool
	// Address is the address of the queue at the submission; "" if it is not known.
	Address string
	// State is the job's state. Started means that a worker is known to have started a task; an assignment alone may be
	// refused or withdrawn.
	State   State
	Started bool
	EndedAt time.Time
	// Occurrences holds the occurrences in progress. An occurrence is added when it is due and few others wait, and
	// removed when it is done.
	Occurrences []*Occurrence
	// NextOccurrence is the number of the first occurrence that has not been added yet.
	NextOccurrence int
	// Waited is the time for which ready steps had tasks that were never assigned, summed over the steps. It counts
	// from the restoration of a job.
	Waited time.Duration

	// waitingOccurrences is the number of Occurrences that have not begun.
	waitingOccurrences int
	// bytes is what the job takes in memory.
	bytes int64
	// compact means that the job holds its state alone.
	compact bool
	// inParts means that the progress is stored in parts; see ChangedRecords.
	inParts bool
	// takenHead is the value of the last record of the job's own progress that was taken while it was stored in parts.
	takenHead []byte
	// obsoleteParts holds the keys of stored parts to be removed.
	obsoleteParts []string
}

// Occurrence is one execution of the steps of a job.
type Occurrence struct {
	Number int
	Steps  []*Step
	// begun means that a task has been assigned.
	begun bool
}

// Step is the state of one step in one occurrence.
type Step struct {
	Job        *Job
	Occurrence *Occurrence
	Index      int
	Spec       *fleet.Step
	// Open is the number of tasks that are not done.
	Open int
	// Unassigned is the number of tasks that have never had a run.
	Unassigned int
	// ReadyAt is the time at which the last step that this one depends on was done.
	ReadyAt time.Time

	// tasks holds the tasks that have been assigned by their indices, and doneTask for those that need not be kept. Nil
	// and what lies beyond its end have never been assigned.
	tasks []*Task
	parts []part // nil unless the job is stored in parts
	// checkpointAt is the time at which the gang's checkpoint was new.
	checkpointAt time.Time
}

// Task is the state of one task.
type Task struct {
	Step  *Step
	Index int
	Done  bool
	// LastRun is the highest run number that has been used.
	LastRun int
	// RestoredRun is the highest run number whose assignment or end was stored by an earlier leader.
	RestoredRun int
	// Failures is the number of runs that failed.
	Failures int
	// FailedRuns holds the numbers of the runs whose failures were counted since the job was restored, and of a member of
	// a gang also before. Those of a long-running task are not kept, because its failures have no limit.
	FailedRuns []int
	// FailedOn is the worker of the most recent failed run, and FailedAt the time of its end. A restored task has the time
	// of its restoration.
	FailedOn string
	FailedAt time.Time
	// Checkpoint is the newest checkpoint of the task. That of a gang is kept with its first task; see ResumeFrom.
	Checkpoint string
	// LostAt is the time at which a run of the task was last given up without a report of its end by its worker.
	LostAt time.Time
	// Runs holds the runs that may be active: usually none or one, and more with copies or while a run is being
	// stopped.
	Runs []*Run
}

// RunPhase is the phase of a run.
type RunPhase uint8

// The phases of a run.
const (
	// RunAssigned means that the worker is not known to have received the start request.
	RunAssigned RunPhase = iota
	// RunActive means that the worker has accepted the start request.
	RunActive
	// RunStopping means that the run is being stopped or its start request withdrawn.
	RunStopping
)

// Run is one execution of a task on a worker.
type Run struct {
	Task   *Task
	Number int
	Worker string
	Phase  RunPhase
	// Since is the time of the assignment, and ActiveSince the time at which the worker accepted the run.
	Since, ActiveSince time.Time
	// Percent is the progress that the worker last reported, and SeenAt the time of the request for that report.
	Percent int
	SeenAt  time.Time
	// Checkpoint is the newest checkpoint that the worker reported, and CheckpointAt the time at which it was new.
	Checkpoint   string
	CheckpointAt time.Time
	// Load is the tail latency in milliseconds of a serving task, or the CPU use in thousandths of a core of any
	// other task.
	Load int64
	// Pace is the speed limit of the run in percent of full speed.
	Pace int
	// StopAckedAt is the time at which the worker acknowledged the stop of the run, or zero.
	StopAckedAt time.Time
	// Ticket is the permission of the advice service for the start, or "".
	Ticket string
	// Inherited means that the run was assigned by an earlier leader, so its start request may already have been
	// sent.
	Inherited bool
	// Stored means that the assignment is in the store.
	Stored bool
	// Released means that the start request may have been sent.
	Released bool
	// GivenUp means that the run was removed without a report of its end.
	GivenUp bool
	// Incarnation is the incarnation of the worker to which the start was last sent, or which last listed the run; 0 if
	// this leader knows of none. It is not stored.
	Incarnation int64
}

// InService reports whether the run of a long-running task is in service.
func (r *Run) InService() bool { return r.Phase == RunActive && r.Percent >= 100 }

// Name returns the full name of the task.
func (t *Task) Name() string {
	s := t.Step
	return TaskName(s.Job.ID, s.Occurrence.Number, s.Index, t.Index)
}

// TaskName joins the parts of a task's name.
func TaskName(job string, occurrence, step, index int) string {
	b := make([]byte, 0, len(job)+12)
	b = append(b, job...)
	for _, n := range [...]int{occurrence, step, index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// ParseTaskName splits a task's name into its parts.
func ParseTaskName(name string) (job string, occurrence, step, index int, err error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, 0, 0, fmt.Errorf("workload: task name %q does not have four parts", name)
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		if numbers[i], err = strconv.Atoi(p); err != nil || numbers[i] < 0 {
			return "", 0, 0, 0, fmt.Errorf("workload: task name %q: part %d is not a number", name, i+2)
		}
	}
	return parts[0], numbers[0], numbers[1], numbers[2], nil
}

// NewJob returns an accepted job without progress.
func NewJob(id, queue, pool, team string, spec *fleet.JobSpec, submitted time.Time) *Job {
	return &Job{
		ID: id, Queue: queue, Pool: pool, Team: team, Spec: spec, Submitted: submitted, State: StatePending,
		bytes: jobBytes + specBytes(spec),
	}
}

// NextDue returns the due time of the next occurrence, or zero if none is left.
func (j *Job) NextDue() time.Time {
	if j.State.Ended() || j.NextOccurrence >= j.Spec.Occurrences() {
		return time.Time{}
	}
	return j.Spec.DueAt(j.NextOccurrence)
}

func (j *Job) addOccurrence(number int, now time.Time) *Occurrence {
	o := &Occurrence{Number: number}
	for i := range j.Spec.Steps {
		spec := &j.Spec.Steps[i]
		s := &Step{Job: j, Occurrence: o, Index: i, Spec: spec, Open: spec.Count, Unassigned: spec.Count, ReadyAt: now}
		if j.inParts {
			s.parts = make([]part, partCount(spec.Count))
		}
		o.Steps = append(o.Steps, s)
	}
	j.Occurrences = append(j.Occurrences, o)
	j.waitingOccurrences++
	j.bytes += bytesOfOccurrence(j.Spec)
	return o
}

// Occurrence returns the occurrence with the given number, or nil if it is not in progress.
func (j *Job) Occurrence(number int) *Occurrence {
	for _, o := range j.Occurrences {
		if o.Number == number {
			return o
		}
	}
	return nil
}

// Task returns the task with the given numbers, or nil.
func (j *Job) Task(occurrence, step, index int) *Task {
	o := j.Occurrence(occurrence)
	if o == nil || step >= len(o.Steps) || index >= o.Steps[step].Spec.Count {
		return nil
	}
	return o.Steps[step].Task(index)
}

// Ready reports whether all steps that this one depends on are done.
func (s *Step) Ready() bool {
	for _, d := range s.Spec.DependsOn {
		if s.Occurrence.Steps[d].Open > 0 {
			return false
		}
	}
	return true
}

// Waiting reports whether the task needs a run and has none.
func (t *Task) Waiting() bool { return !t.Done && len(t.Runs) == 0 }

// LastLost returns the time at which a run of the task, or of any member of its gang, was last lost. It is zero if none
// was.
func (t *Task) LastLost() time.Time {
	last := t.LostAt
	if t.Step.Spec.Gang {
		for member := range t.Step.Held() {
			if member.LostAt.After(last) {
				last = member.LostAt
			}
		}
	}
	return last
}

// FindRun returns the task's run with the given number on the given worker, or nil.
func (t *Task) FindRun(worker string, number int) *Run {
	for _, r := range t.Runs {
		if r.Worker == worker && r.Number == number {
			return r
		}
	}
	return nil
}

// Assign adds a run on a worker.
func (t *Task) Assign(worker string, number int, now time.Time) *Run {
	if t.LastRun == 0 {
		t.Step.countAssigned(now)
	}
	t.NoteRun(number)
	r := &Run{Task: t, Number: number, Worker: worker, Since: now, Pace: 100}
	t.Runs = append(t.Runs, r)
	t.Step.Job.bytes += runBytes
	return r
}

// MarkStarted records that a worker has started a task of the job.
func (j *Job) MarkStarted() {
	j.Started = true
	if j.State == StatePending {
		j.State = StateRunning
	}
}

// NoteRun records that a run number has been used.
func (t *Task) NoteRun(number int) {
	t.LastRun = max(t.LastRun, number)
	t.markChanged()
}

// countAssigned records the first assignment of a task. With the last one, the step has got all the capacity it waited
// for.
func (s *Step) countAssigned(now time.Time) {
	s.Unassigned--
	if s.Unassigned == 0 {
		s.Job.Waited += max(now.Sub(s.ReadyAt), 0)
	}
}

// Remove removes a run that is known to have ended and keeps its checkpoint.
func (t *Task) Remove(run *Run) {
	t.markChanged()
	for i, r := range t.Runs {
		if r == run {
			t.Runs = append(t.Runs[:i], t.Runs[i+1:]...)
			t.Step.Job.bytes -= runBytes
			break
		}
	}
	if t.Step.Spec.Checkpoints && run.Checkpoint != "" && !t.Done {
		t.keepCheckpoint(run)
	}
	t.Step.release(t)
}

// End applies the end of a run, as reported by its worker. attempts is the number of failed runs of a task after
// which the job fails.
func (j *Job) End(t *Task, run *Run, kind worker.EndKind, checkpoint string, attempts int, now time.Time) {
	j.MarkStarted()
	if run != nil {
		run.SetCheckpoint(checkpoint, now)
		t.Remove(run)
	}
	if t.Done || j.State.Ended() {
		return
	}
	switch kind {
	case worker.EndDone:
		j.done(t, now)
	case worker.EndFailed:
		t.fail(run, attempts, now)
	}
}

// done marks a task as done, or all tasks of its step if the step is a gang.
func (j *Job) done(t *Task, now time.Time) {
	s := t.Step
	if s.Spec.LongRunning {
		return
	}
	if s.Spec.Gang {
		for i := range s.Spec.Count {
			s.setDone(i)
		}
		s.markPartsChanged()
		s.Open = 0
	} else {
		t.markChanged()
		s.setDone(t.Index)
		s.Open--
	}
	if s.Open > 0 {
		return
	}
	for _, other := range s.Occurrence.Steps {
		other.ReadyAt = now
	}
	for _, other := range s.Occurrence.Steps {
		if other.Open > 0 {
			return
		}
	}
	j.removeOccurrence(s.Occurrence)
	if len(j.Occurrences) == 0 && j.NextOccurrence >= j.Spec.Occurrences() {
		j.finish(StateDone, now)
	}
}

func (j *Job) removeOccurrence(o *Occurrence) {
	for i, x := range j.Occurrences {
		if x == o {
			j.Occurrences = append(j.Occurrences[:i], j.Occurrences[i+1:]...)
			j.bytes -= bytesOfOccurrence(j.Spec)
			for _, s := range o.Steps {
				j.bytes -= int64(cap(s.tasks)) * pointerBytes
			}
			j.removeParts(o)
			return
		}
	}
}

// fail counts a failed run.
func (t *Task) fail(run *Run, attempts int, now time.Time) {
	t.Failures++
	t.markChanged()
	if run != nil {
		t.FailedOn, t.FailedAt = run.Worker, now
	}
	if t.Step.Spec.LongRunning {
		return
	}
	if run != nil && !slices.Contains(t.FailedRuns, run.Number) {
		t.FailedRuns = append(t.FailedRuns, run.Number)
	}
	failures := t.Failures
	if t.Step.Spec.Gang {
		failures = t.Step.gangFailures()
	}
	if failures >= attempts {
		t.Step.Job.finish(StateFailed, now)
	}
}

// Cancel ends the job. The caller has to stop its runs.
func (j *Job) Cancel(now time.Time) {
	if !j.State.Ended() {
		j.finish(StateCancelled, now)
	}
}

// MarkDone ends the job as done at a time that an earlier leader stored. The caller has to stop its runs.
func (j *Job) MarkDone(at time.Time) {
	if !j.State.Ended() {
		j.finish(StateDone, at)
	}
}

func (j *Job) finish(s State, now time.Time) {
	j.State = s
	j.EndedAt = now
	j.markAllPartsChanged()
}

// EachTask calls f for every task of the occurrences in progress that has been assigned, without those that are done
// and have no runs.
func (j *Job) EachTask(f func(*Task)) {
	for _, o := range j.Occurrences {
		for _, s := range o.Steps {
			for t := range s.Held() {
				f(t)
			}
		}
	}
}
