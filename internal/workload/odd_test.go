package workload

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/fleet"
)

// oddSubmissions are records of jobs that no entry instance writes.
var oddSubmissions = []string{
	"", "\x00", "null", "[]", "{}", `{"spec":null}`, `{"spec":{"Steps":[]}}`, `{"spec":{"Steps":[null]}}`,
	`{"spec":{"Steps":[{"Count":-1}]}}`, `{"spec":{"Steps":[{"Count":1000000000}]}}`, `{"spec":{"Steps":[{"Count":1e400}]}}`,
	`{"spec":{"Steps":[{"Count":60000},{"Count":60000}]}}`, `{"spec":{"Steps":[{"Count":1,"DependsOn":[0]}]}}`,
	`{"spec":{"Steps":[{"Count":1},{"Count":1,"DependsOn":[-1]}]}}`, `{"spec":{"Steps":[{"Count":1,"DependsOn":[7]}]}}`,
	`{"spec":{"Steps":[{"Count":1,"Need":{"CPUMilli":-1}}]}}`, `{"spec":{"Steps":[{"Count":1}],"Times":1000000000}}`,
	`{"spec":{"Steps":[{"Count":1}],"Times":-1}}`, `{"spec":{"Steps":[{"Count":1}],"Every":-1}}`,
	strings.Repeat("[", 200_000), `{"spec":` + strings.Repeat(`{"a":`, 200_000),
}

// oddProgress are records of progress that no leader writes.
var oddProgress = []string{
	"", "\x00", "null", "[]", "{}", `{"state":"lost"}`, `{"state":"running","next":-1}`, `{"state":"running","next":9}`,
	`{"state":"running","next":9223372036854775807}`, `{"state":"running","next":1e400}`,
	`{"state":"running","next":1,"occ":[{"n":-1}]}`, `{"state":"running","next":1,"occ":[{"n":9}]}`,
	`{"state":"running","next":1,"occ":[{"n":0},{"n":0}]}`, `{"state":"running","next":1,"occ":[{"n":0,"steps":[{"s":-1}]}]}`,
	`{"state":"running","next":1,"occ":[{"n":0,"steps":[{"s":5}]}]}`,
	`{"state":"running","next":1,"occ":[{"n":0,"steps":[{"s":0,"done":[-1]}]}]}`,
	`{"state":"running","next":1,"occ":[{"n":0,"steps":[{"s":0,"done":[7]}]}]}`,
	`{"state":"running","next":1,"occ":[{"n":0,"steps":[{"s":0,"done":[0,0]}]}]}`,
	`{"state":"running","next":1,"occ":[{"n":0,"steps":[{"s":0,"t":[{"i":-1,"r":1}]}]}]}`,
	`{"state":"running","next":1,"occ":[{"n":0,"steps":[{"s":0,"t":[{"i":0,"r":9223372036854775807}]}]}]}`,
	`{"state":"running","next":1,"occ":[{"n":0,"steps":[{"s":0,"t":[{"i":0,"r":-1}]}]}]}`,
	`{"state":"running","next":1,"occ":[{"n":0,"steps":[{"s":0,"t":[{"i":0,"r":1,"runs":[{"n":-1,"w":"w"}]}]}]}]}`,
	`{"state":"running","next":1,"occ":[{"n":0,"steps":[{"s":0,"t":[{"i":0,"r":1,"runs":[{"n":1}]}]}]}]}`,
	`{"state":"done","next":1,"occ":[{"n":0,"steps":[{"s":0,"t":[{"i":5,"r":1}]}]}]}`,
	strings.Repeat("[", 200_000), `{"state":` + strings.Repeat(`{"a":`, 200_000),
}

// TestOddSubmissions guards against a leader that ends, or runs out of memory, when it reads a job that another writer
// has left. Each further leader would end in the same way.
func TestOddSubmissions(t *testing.T) {
	for _, text := range oddSubmissions {
		if _, err := DecodeSubmission("id", []byte(text)); err == nil {
			t.Errorf("accepted: %.200s", text)
		}
	}
	const good = `{"spec":{"Steps":[{"Count":2}]}}`
	_, err := DecodeSubmission("id", []byte(good))
	is.New(t).NoErr(err)
	for _, id := range []string{"", "a.b"} { // the ends of its tasks could not be assigned to the job
		if _, err := DecodeSubmission(id, []byte(good)); err == nil {
			t.Errorf("accepted the ID %q", id)
		}
	}
}

// TestOddProgressStartsNothing guards against a leader that ends when it reads progress that another writer has left,
// and against a job that starts from the beginning because its progress cannot be read: some of its tasks may be done.
func TestOddProgressStartsNothing(t *testing.T) {
	is := is.New(t)
	for _, text := range oddProgress {
		j := NewJob("id", "q", "p", "", &fleet.JobSpec{Steps: []fleet.Step{{Count: 2}}}, start)
		if err := j.Restore([]byte(text), nil, start); err == nil {
			t.Errorf("accepted: %.200s", text)
		}
		is.True(!j.Advance(start.Add(time.Hour), 0))
		is.Equal(len(j.Occurrences), 0)
		is.Equal(j.State, StateRunning) // clients must not be told that it is done
	}
}

// TestOddCancellationsAreRejected guards against jobs of public queues that another writer's record cancels.
func TestOddCancellationsAreRejected(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "\x00", "null", "{}", "[]", `{"team":"t"}`, `{"queue":5}`, strings.Repeat("[", 200_000)} {
		var c Cancellation
		if err := json.Unmarshal([]byte(text), &c); err == nil {
			t.Errorf("accepted: %.200s", text)
		}
	}
	value, err := json.Marshal(Cancellation{Queue: "q", Team: "t"})
	is.NoErr(err)
	var c Cancellation
	is.NoErr(json.Unmarshal(value, &c))
	is.Equal(c, Cancellation{Queue: "q", Team: "t"})
}

// TestLongIntervalIsNotDueAtOnce guards against occurrences that start years too early because the sum of their
// intervals overflows.
func TestLongIntervalIsNotDueAtOnce(t *testing.T) {
	is := is.New(t)
	spec := &fleet.JobSpec{
		Steps: []fleet.Step{{Count: 1}}, Times: 100_000, FirstAt: start, Every: 365 * 24 * time.Hour,
	}
	for _, n := range []int{1, 99, 100, 300, 585, 99_999} {
		is.True(spec.DueAt(n).Sub(start) >= time.Duration(min(n, 100))*spec.Every)
	}
}

// maxFuzzSeed bounds the seeds of the fuzz test: long ones take all its time. The other tests cover them.
const maxFuzzSeed = 1000

// FuzzRecords guards against a panic caused by records of jobs that another writer has left.
func FuzzRecords(f *testing.F) {
	for _, s := range oddSubmissions {
		if len(s) <= maxFuzzSeed {
			f.Add([]byte(s), []byte(`{"state":"done","ended_ms":5}`))
		}
	}
	for _, p := range oddProgress {
		if len(p) <= maxFuzzSeed {
			f.Add([]byte(`{"spec":{"Steps":[{"Count":2},{"Count":1,"DependsOn":[0]}],"Times":2}}`), []byte(p))
		}
	}
	f.Fuzz(func(t *testing.T, submission, progress []byte) {
		_, _ = DecodeEnded("id", submission, progress)
		j, err := DecodeSubmission("id", submission)
		if err != nil || j.Spec.Occurrences() > 10 {
			return
		}
		if j.Restore(progress, nil, start) != nil && len(j.Occurrences) > 0 {
			t.Fatal("a job without readable progress has occurrences")
		}
		j.Advance(start, 0)
		j.EachTask(func(task *Task) { _ = task.Step.Ready() && task.Waiting() })
		_ = j.Progress()
	})
}
