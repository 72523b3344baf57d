package scheduling

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"pollenlead/internal/fleet"
)

// TestExplain guards against a preview that names another worker, time or reason than the decision would.
func TestExplain(t *testing.T) {
	need := fleet.Resources{CPUMilli: 8000}
	for name, c := range map[string]struct {
		workers []*Worker
		waiting []PendingStep
		step    fleet.Step
		limits  Limits
		want    StepExplanation
		reason  Exclusion
	}{
		"fits": {
			workers: []*Worker{newWorker("a", 4000), newWorker("b", 9000)}, step: fleet.Step{Count: 2, Need: need},
			want: StepExplanation{Candidates: 1, Placed: 1, Worker: "b"}, reason: ExcludedFull,
		},
		"work ahead takes the room": {
			workers: []*Worker{busyWorker("a", 20000)}, step: fleet.Step{Count: 1, Need: need},
			waiting: []PendingStep{lasting("ahead", TierServing, 8000, 0)},
			want:    StepExplanation{ExpectedWorker: "a", ExpectedInMillis: 1000, Reserved: true}, reason: ExcludedFull,
		},
		"work behind does not": {
			workers: []*Worker{newWorker("a", 8000)}, step: fleet.Step{Count: 1, Need: need},
			waiting: []PendingStep{lasting("behind", TierLate, 8000, 0)},
			want:    StepExplanation{Candidates: 1, Placed: 1, Worker: "a"},
		},
		"label": {
			workers: []*Worker{newWorker("a", 32000)}, step: fleet.Step{Count: 1, Need: need, RequiredLabel: "x"},
			reason: ExcludedLabel,
		},
		"too large": {
			workers: []*Worker{newWorker("a", 32000)},
			step:    fleet.Step{Count: 1, Need: fleet.Resources{CPUMilli: 33000}},
			reason:  ExcludedTooSmall,
		},
		"limit": {
			workers: []*Worker{newWorker("a", 32000)}, step: fleet.Step{Count: 1, Need: need},
			limits: Limits{"team": {CPUMilli: 7000}}, want: StepExplanation{Candidates: 1, OverLimit: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			step := want("preview", TierOnTime, c.step)
			step.Rank.Slack = maxReservationWait
			got := Explain(c.workers, c.waiting, []PendingStep{step}, c.limits, true, moment)[0]
			if c.reason != "" {
				is.True(got.Excluded[c.reason] != nil)
				is.Equal(len(got.Excluded), 1)
			}
			c.want.Tasks, c.want.Excluded = c.step.Count, got.Excluded
			is.Equal(got, c.want)
		})
	}
}

// TestExamplesAreBounded guards against an answer with a row for each of hundreds of workers.
func TestExamplesAreBounded(t *testing.T) {
	is := is.New(t)
	e := Exclusions{}
	for i := range 300 {
		e.Add(ExcludedFull, fmt.Sprint(i))
	}
	is.Equal(e[ExcludedFull], &Excluded{Count: 300, Examples: []string{"0", "1", "2"}})
}
