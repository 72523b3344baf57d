package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/fleet"
)

// TestPreviewAgreesWithPlacement guards against a preview that drifts from the decision, and against one that leaves
// something behind in the leader's state.
func TestPreviewAgreesWithPlacement(t *testing.T) {
	is := is.New(t)
	d := newFixture(4)
	defer d.stop()
	d.Follower = followConfig(t, shareConfig(t))
	d.agent("w0").entry.Draining = true
	d.agent("w1").cordoned = true
	d.agent("w3").used = fleet.Resources{CPUMilli: 12_000}
	step := fleet.Step{Count: 1, Need: fleet.Resources{CPUMilli: 8000}, Estimate: time.Second}
	spec := &fleet.JobSpec{Steps: []fleet.Step{step}}
	x, err := d.Explain("queue", "calm", spec)
	is.NoErr(err)
	is.Equal(x.Usable, 2)
	is.Equal(x.Unusable["draining"].Examples, []string{"w0"})
	is.Equal(x.Unusable["cordoned"].Examples, []string{"w1"})
	is.Equal(x.Steps[0].Worker, "w3")

	is.Equal(len(d.jobs)+len(d.waiting)+len(d.dirty)+len(d.changed)+len(d.advice)+len(d.unreleased), 0)
	is.Equal(len(d.estimates.model.Stats()), 0)
	is.Equal(len(d.rates.ExcessFractions(0)), 0)
	for _, a := range d.agents {
		is.Equal(len(a.runs), 0)
	}
	again, err := d.Explain("queue", "calm", spec)
	is.NoErr(err)
	is.Equal(again.Steps, x.Steps)

	j := d.addJob("0011223344556677", step)
	d.place()
	is.Equal(j.Task(0, 0, 0).Runs[0].Worker, x.Steps[0].Worker)
}

// TestPreviewOfUnknownQueue guards against a preview of a queue that only the asked entry instance knows.
func TestPreviewOfUnknownQueue(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	d.Follower = followConfig(t, shareConfig(t))
	_, err := d.Explain("other", "calm", &fleet.JobSpec{})
	is.Equal(err, ErrNoQueue)
}
