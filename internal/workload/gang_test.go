package workload

import (
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/fleet"
	"pollenlead/internal/worker"
)

func newGang(members int) *Job {
	j := NewJob("0011223344556677", "q", "p", "team", &fleet.JobSpec{
		Steps: []fleet.Step{{Count: members, Gang: true, Checkpoints: true}},
	}, start)
	j.Advance(start, 0)
	return j
}

// TestGangResumesFromOneCheckpoint guards against members of an interrupted gang that are started again from different
// checkpoints, so that they cannot work together and give up each time. The newest value is used, although that of the
// member whose worker was lost is learned last.
func TestGangResumesFromOneCheckpoint(t *testing.T) {
	is := is.New(t)
	j := newGang(3)
	tasks := tasksOf(j.Occurrences[0].Steps[0])
	var runs []*Run
	for n, task := range tasks {
		runs = append(runs, task.Assign("w"+strconv.Itoa(n), 1, start))
	}
	runs[0].SetCheckpoint("lost", start.Add(time.Second))
	runs[1].SetCheckpoint("older", start.Add(time.Second))
	j.End(tasks[1], runs[1], worker.EndGangMemberEnded, "older", 3, start.Add(3*time.Second))
	j.End(tasks[2], runs[2], worker.EndGangMemberEnded, "newest", 3, start.Add(3*time.Second))
	tasks[0].Remove(runs[0]) // its worker was lost, and its lease has expired
	for _, task := range tasks {
		is.Equal(task.ResumeFrom(), "newest")
	}
	s := recordStore{}
	s.save(t, j, 10)
	s.restore(t, j).EachTask(func(task *Task) { is.Equal(task.ResumeFrom(), "newest") })
}

// TestGangOfAnEarlierVersionResumesFromOneCheckpoint guards against the same after an upgrade: earlier versions stored
// a checkpoint with each member.
func TestGangOfAnEarlierVersionResumesFromOneCheckpoint(t *testing.T) {
	is := is.New(t)
	j := newGang(3)
	j = NewJob(j.ID, "q", "p", "team", j.Spec, start)
	is.NoErr(j.Restore([]byte(`{"state":"running","next":1,"occ":[{"n":0,"steps":[{"s":0,"t":[{"i":0,"r":1},
		{"i":1,"r":1,"c":"a"},{"i":2,"r":1,"c":"b"}]}]}]}`), nil, start))
	j.EachTask(func(task *Task) { is.Equal(task.ResumeFrom(), "a") })
}

// TestGangFailsAsAWhole guards against a gang that is started again after it has failed as often as its queue allows,
// because another member failed each time.
func TestGangFailsAsAWhole(t *testing.T) {
	is := is.New(t)
	j := newGang(3)
	tasks := tasksOf(j.Occurrences[0].Steps[0])
	for n := range 3 {
		is.Equal(j.State.Ended(), false)
		var runs []*Run
		for _, task := range tasks {
			runs = append(runs, task.Assign("w", n+1, start))
		}
		for m, task := range tasks {
			kind := worker.EndGangMemberEnded
			if m == n {
				kind = worker.EndFailed
			}
			j.End(task, runs[m], kind, "", 3, start)
		}
	}
	is.Equal(j.State, StateFailed)
}

// TestGangRunFailsOnce guards against a gang that is given up after one failed run because several of its members
// report the failure, also when a change of leader comes between these reports.
func TestGangRunFailsOnce(t *testing.T) {
	for name, restored := range map[string]bool{"one leader": false, "next leader": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			j := newGang(3)
			for n := range 2 {
				runs := make([]*Run, 3)
				for m, task := range tasksOf(j.Occurrences[0].Steps[0]) {
					runs[m] = task.Assign("w", n+1, start)
				}
				for m := range runs {
					j.End(runs[m].Task, runs[m], worker.EndFailed, "", 2, start)
					if n == 1 {
						break
					}
					is.Equal(j.State, StateRunning) // the gang has failed once
					if restored && m == 0 {
						j = restoredGang(t, j)
						for k, task := range tasksOf(j.Occurrences[0].Steps[0]) {
							if k > 0 {
								runs[k] = task.Runs[0]
							}
						}
					}
				}
			}
			is.Equal(j.State, StateFailed)
		})
	}
}

// TestGangFailuresOfAnEarlierVersion guards against a member that is started more often than its queue allows after an
// upgrade: earlier versions stored the number of its failures alone.
func TestGangFailuresOfAnEarlierVersion(t *testing.T) {
	is := is.New(t)
	j := newGang(2)
	j.Occurrences, j.NextOccurrence = nil, 0
	is.NoErr(j.Restore([]byte(`{"state":"running","next":1,"occ":[{"n":0,"steps":[{"s":0,"t":[{"i":0,"r":2,"f":2}]}]}]}`),
		nil, start))
	task := j.Task(0, 0, 0)
	j.End(task, task.Assign("w", 3, start), worker.EndFailed, "", 3, start)
	is.Equal(j.State, StateFailed)
}

// restoredGang returns the gang as the next leader restores it.
func restoredGang(t *testing.T, j *Job) *Job {
	t.Helper()
	value, err := json.Marshal(j.Progress())
	if err != nil {
		t.Fatal(err)
	}
	next := newGang(j.Spec.Steps[0].Count)
	next.Occurrences, next.NextOccurrence = nil, 0
	if err := next.Restore(value, nil, start); err != nil {
		t.Fatal(err)
	}
	return next
}
