package workload

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/fleet"
	"pollenlead/internal/worker"
)

var start = time.UnixMilli(1_000_000)

func twoSteps() *Job {
	j := NewJob("0011223344556677", "q", "p", "team", &fleet.JobSpec{Steps: []fleet.Step{
		{Count: 2, Checkpoints: true}, {Count: 1, DependsOn: []int{0}},
	}}, start)
	j.Advance(start, 0)
	return j
}

// TestStepWaitsForItsDependencies guards against starting a step before all tasks of the steps it depends on are
// done.
func TestStepWaitsForItsDependencies(t *testing.T) {
	is := is.New(t)
	j := twoSteps()
	second := j.Occurrences[0].Steps[1]
	is.True(!second.Ready())
	for i := range 2 {
		task := j.Task(0, 0, i)
		run := task.Assign("w", 1, start)
		is.True(!second.Ready())
		j.End(task, run, worker.EndDone, "", 2, start)
	}
	is.True(second.Ready())
	is.Equal(j.State, StateRunning)
	last := j.Task(0, 1, 0)
	j.End(last, last.Assign("w", 1, start), worker.EndDone, "", 2, start)
	is.Equal(j.State, StateDone)
}

// TestFailuresEndTheJob guards against more failed runs of a task than the queue's attempts.
func TestFailuresEndTheJob(t *testing.T) {
	is := is.New(t)
	j := twoSteps()
	task := j.Task(0, 0, 0)
	j.End(task, task.Assign("w1", 1, start), worker.EndFailed, "", 2, start)
	is.Equal(j.State, StateRunning)
	is.Equal(task.FailedOn, "w1")
	j.End(task, task.Assign("w2", 2, start), worker.EndFailed, "", 2, start)
	is.Equal(j.State, StateFailed)
}

// TestProgressRoundTrip guards against a new leader that loses runs, failures, checkpoints or done tasks.
func TestProgressRoundTrip(t *testing.T) {
	is := is.New(t)
	j := twoSteps()
	first, second := j.Task(0, 0, 0), j.Task(0, 0, 1)
	j.End(first, first.Assign("w1", 1, start), worker.EndDone, "", 2, start)
	j.End(second, second.Assign("w1", 1, start), worker.EndFailed, "saved", 2, start)
	second.Assign("w2", 2, start)
	value, err := json.Marshal(j.Progress())
	is.NoErr(err)

	restored := NewJob(j.ID, j.Queue, j.Pool, j.Team, j.Spec, j.Submitted)
	is.NoErr(restored.Restore(value, nil, start))
	is.Equal(restored.State, StateRunning)
	is.Equal(restored.NextOccurrence, 1)
	is.True(restored.Task(0, 0, 0).Done)
	is.Equal(restored.Occurrences[0].Steps[0].Open, 1)
	again := restored.Task(0, 0, 1)
	is.Equal(again.Failures, 1)
	is.Equal(again.Checkpoint, "saved")
	is.Equal(again.LastRun, 2)
	is.True(again.FindRun("w2", 2) != nil)
	is.True(again.FindRun("w2", 2).Stored)
}

// TestLongRunningNeverEnds guards against reporting a long-running job as done or failed.
func TestLongRunningNeverEnds(t *testing.T) {
	is := is.New(t)
	j := NewJob("id", "q", "p", "", &fleet.JobSpec{Steps: []fleet.Step{{Count: 1, LongRunning: true}}}, start)
	j.Advance(start, 0)
	task := j.Task(0, 0, 0)
	for n := range 5 {
		j.End(task, task.Assign("w", n+1, start), worker.EndFailed, "", 2, start)
	}
	j.End(task, task.Assign("w", 6, start), worker.EndDone, "", 2, start)
	is.Equal(j.State, StateRunning)
	is.True(task.Waiting())
}

// TestGangEndsTogether guards against members of a gang that run again after the gang is done.
func TestGangEndsTogether(t *testing.T) {
	is := is.New(t)
	j := NewJob("id", "q", "p", "", &fleet.JobSpec{Steps: []fleet.Step{{Count: 3, Gang: true}}}, start)
	j.Advance(start, 0)
	var runs []*Run
	for i := range 3 {
		runs = append(runs, j.Task(0, 0, i).Assign("w", 1, start))
	}
	j.End(runs[0].Task, runs[0], worker.EndDone, "", 2, start)
	is.Equal(j.State, StateDone)
	j.End(runs[1].Task, runs[1], worker.EndDone, "", 2, start)
	is.Equal(len(runs[1].Task.Runs), 0)
}

// TestOccurrencesAppearInTime guards against an occurrence that starts before it is due.
func TestOccurrencesAppearInTime(t *testing.T) {
	is := is.New(t)
	j := NewJob("id", "q", "p", "", &fleet.JobSpec{
		Steps: []fleet.Step{{Count: 1}}, Times: 2, FirstAt: start, Every: time.Second,
	}, start)
	is.True(!j.Advance(start.Add(-time.Millisecond), 0))
	is.True(j.Advance(start, 0))
	is.True(!j.Advance(start.Add(999*time.Millisecond), 0))
	task := j.Task(0, 0, 0)
	j.End(task, task.Assign("w", 1, start), worker.EndDone, "", 2, start)
	is.Equal(j.State, StateRunning) // one occurrence is left
	is.True(j.Advance(start.Add(time.Second), 0))
}

// TestTaskName guards against task names that change when they are formatted and parsed.
func TestTaskName(t *testing.T) {
	is := is.New(t)
	job, k, step, index, err := ParseTaskName(TaskName("0011223344556677", 3, 2, 17))
	is.NoErr(err)
	is.Equal(job, "0011223344556677")
	is.Equal([]int{k, step, index}, []int{3, 2, 17})
	for _, bad := range []string{"", "a.b", "id.0.1.x", "id.0.-1.2", "id.1.2.3.4"} {
		_, _, _, _, err := ParseTaskName(bad)
		is.True(err != nil)
	}
}
