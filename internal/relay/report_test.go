package relay

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/matryer/is"

	"pollenlead/internal/worker"
)

// TestReportsArriveComplete guards against a leader whose list of runs differs from its worker's: the leader starts a
// run that is missing from the list again. Reports are sent as differences, so a lost one would never be corrected.
func TestReportsArriveComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent, received := runsByWorker{}, runsByWorker{}
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			id := rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "worker")
			r := worker.Report{
				ClockMillis: 9, Incarnation: rapid.Int64Range(1, 2).Draw(t, "incarnation"), MoreEnds: rapid.Bool().Draw(t, "more"),
			}
			for n := range rapid.IntRange(0, 6).Draw(t, "runs") {
				r.Running = append(r.Running, worker.Running{
					Task: fmt.Sprintf("j.0.0.%d", n), Run: rapid.IntRange(1, 2).Draw(t, "run"),
					Checkpoint: rapid.SampledFrom([]string{"", "a"}).Draw(t, "checkpoint"),
					Percent:    rapid.SampledFrom([]int{0, 40, 100}).Draw(t, "percent"), Load: rapid.Int64Range(0, 3).Draw(t, "load"),
				})
			}
			for n := range rapid.Int64Range(0, 4).Draw(t, "ends") {
				r.Ended = append(r.Ended, worker.End{
					Number: n + 1, Task: "j.0.0.9", Run: int(n), Kind: worker.EndDone, Checkpoint: "c",
				})
			}
			h := &holdCall{
				Seen: rapid.Int64Range(0, 4).Draw(t, "seen"), Incarnation: 1, Detail: rapid.Bool().Draw(t, "detail"),
			}
			got := received.decode(id, r.ClockMillis, sent.encode(id, r, h))
			checkReport(t, r, got, h)
			if !maps.EqualFunc(sent, received, func(a, b map[runKey]worker.Running) bool { return maps.Equal(a, b) }) {
				t.Fatal("the two sides of the session differ")
			}
		}
	})
}

// checkReport compares a report with the decoded one.
func checkReport(t *rapid.T, want, got worker.Report, h *holdCall) {
	if got.Incarnation != want.Incarnation || got.MoreEnds != want.MoreEnds ||
		got.ClockMillis != want.ClockMillis || len(got.Running) != len(want.Running) {
		t.Fatalf("%+v arrived as %+v", want, got)
	}
	for _, x := range want.Running {
		i := slices.IndexFunc(got.Running, func(y worker.Running) bool { return y.Task == x.Task && y.Run == x.Run })
		if i < 0 || mustReport(got.Running[i], x, h.Detail) {
			t.Fatalf("run %+v arrived as %+v", x, got.Running)
		}
	}
	for _, e := range want.Ended {
		if known := want.Incarnation == h.Incarnation && e.Number <= h.Seen; known == slices.Contains(got.Ended, e) {
			t.Fatalf("end %+v of %+v: seen up to %d of incarnation %d", e, got.Ended, h.Seen, h.Incarnation)
		}
	}
}

// TestWorkersWithoutRunsAreForgotten guards against sessions that keep an entry for each worker that was ever present.
func TestWorkersWithoutRunsAreForgotten(t *testing.T) {
	is := is.New(t)
	l := runsByWorker{}
	l.encode("w1", worker.Report{Running: []worker.Running{{Task: "a", Run: 1}}}, &holdCall{})
	is.Equal(len(l), 1)
	l.encode("w1", worker.Report{}, &holdCall{})
	is.Equal(len(l), 0)
}
