package workload

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/fleet"
	"pollenlead/internal/worker"
)

// TestDecodeEndedRequiresNoRuns guards against restoring a job that has runs or has not ended without its steps: its
// runs would be treated as unknown, or its tasks would never start.
func TestDecodeEndedRequiresNoRuns(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(5_000)
	spec := &fleet.JobSpec{Spec: `"queue":"x"`, Steps: []fleet.Step{{Count: 2}}}
	submission, err := json.Marshal(Submission{Queue: "q", Pool: "p", Team: "team", AtMillis: 1_000, Spec: spec})
	is.NoErr(err)
	j := NewJob("id", "q", "p", "team", spec, time.UnixMilli(1_000))
	j.Advance(now, 0)
	progress := func() []byte {
		text, err := json.Marshal(j.Progress())
		is.NoErr(err)
		return text
	}
	_, ok := DecodeEnded("id", submission, progress())
	is.True(!ok) // pending
	first, second := j.Task(0, 0, 0), j.Task(0, 0, 1)
	first.Assign("w", 1, now)
	run := second.Assign("w", 1, now)
	_, ok = DecodeEnded("id", submission, progress())
	is.True(!ok) // running
	j.Cancel(now)
	_, ok = DecodeEnded("id", submission, progress())
	is.True(!ok) // its runs have to be stopped
	j.End(first, first.Runs[0], worker.EndStopped, "", 1, now)
	j.End(second, run, worker.EndStopped, "", 1, now)
	got, ok := DecodeEnded("id", submission, progress())
	is.True(ok)
	is.Equal(got.State, StateCancelled)
	is.Equal([]string{got.Queue, got.Pool, got.Team}, []string{"q", "p", "team"})
	is.Equal(got.Submitted.UnixMilli(), int64(1_000))
	is.Equal(got.EndedAt, now)

	_, ok = DecodeEnded("id", submission, nil)
	is.True(!ok)
	_, ok = DecodeEnded("id", []byte("{"), progress())
	is.True(!ok)
}

// BenchmarkDecodeEnded measures what a new leader spends on a job that has ended, BenchmarkDecodeSubmission on one
// that has not.
func BenchmarkDecodeEnded(b *testing.B) {
	submission, progress := endedRecords(b)
	for b.Loop() {
		if _, ok := DecodeEnded("id", submission, progress); !ok {
			b.Fatal("not decoded")
		}
	}
}

func BenchmarkDecodeSubmission(b *testing.B) {
	submission, progress := endedRecords(b)
	for b.Loop() {
		j, err := DecodeSubmission("id", submission)
		if err != nil {
			b.Fatal(err)
		}
		if err := j.Restore(progress, nil, time.UnixMilli(1)); err != nil {
			b.Fatal(err)
		}
	}
}

func endedRecords(b *testing.B) (submission, progress []byte) {
	b.Helper()
	steps := make([]fleet.Step, 3)
	for i := range steps {
		steps[i] = fleet.Step{Count: 8, Need: fleet.Resources{CPUMilli: 3100, MemoryMB: 4400}, Estimate: time.Second}
	}
	submission, err := json.Marshal(Submission{
		Queue: "q", Pool: "p", Team: "t", AtMillis: 1,
		Spec: &fleet.JobSpec{Spec: strings.Repeat("x", 1200), Steps: steps},
	})
	if err != nil {
		b.Fatal(err)
	}
	progress, err = json.Marshal(Progress{State: StateDone, EndedAtMillis: 7, Next: 1})
	if err != nil {
		b.Fatal(err)
	}
	return submission, progress
}
