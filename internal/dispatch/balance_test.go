package dispatch

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/instances"
	"pollenlead/internal/scheduling"
)

// silentInstances answer no order.
type silentInstances struct{ instances.Service }

func (silentInstances) Move(context.Context, string, string, int64) error {
	return context.DeadlineExceeded
}

// TestUnmovedInstanceGetsTasksAgain guards against an instance that gets no task for the rest of a term, because the
// order to move it was not answered and was not carried out either.
func TestUnmovedInstanceGetsTasksAgain(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	d.Instances = silentInstances{}
	w := newInstanceDriver(d)
	listed := fleet.Instance{ID: "m0", Pool: "pool", Phase: fleet.InstanceUp, Worker: "w0"}
	w.listed = map[string]fleet.Instance{"m0": listed}
	ordered := bootclock.Now()
	w.cordon("w0")
	w.arrivals["m0"] = arrival{to: "other", worker: "w0", until: ordered}
	w.move(t.Context(), scheduling.Move{Instance: "m0", From: "pool", To: "other"}, "w0")
	is.True(d.agent("w0").cordoned)

	w.listedAt = ordered - time.Second // requested before the order may have been carried out
	is.True(w.inTransit("m0", w.arrivals["m0"], bootclock.Now()))
	is.True(d.agent("w0").cordoned)
	w.listedAt = bootclock.Now()
	is.True(!w.inTransit("m0", w.arrivals["m0"], bootclock.Now()))
	is.True(!d.agent("w0").cordoned)
}

// TestLastInstanceWithALabelStays guards against a pool that lends or switches off its only instance with a label that
// an accepted job needs.
func TestLastInstanceWithALabelStays(t *testing.T) {
	is := is.New(t)
	d := newFixture(3)
	defer d.stop()
	pools := []fleet.Pool{{Name: "pool"}, {Name: "off", Standby: true}}
	d.Follower = followConfig(t, &fleet.Config{Version: 1, Pools: pools})
	d.agent("w0").entry.Labels = []string{"a"}
	w := newInstanceDriver(d)
	w.listed = map[string]fleet.Instance{}
	for _, id := range []string{"w0", "w1", "w2"} {
		w.listed["m-"+id] = fleet.Instance{ID: "m-" + id, Pool: "pool", Phase: fleet.InstanceUp, Worker: id}
	}
	idle := func() []string {
		pools, _ := w.balancePools()
		var ids []string
		for _, i := range pools[0].Idle {
			ids = append(ids, i.ID)
		}
		slices.Sort(ids)
		return ids
	}
	is.Equal(idle(), []string{"m-w0", "m-w1", "m-w2"})
	d.addJob("0011223344556677", fleet.Step{Count: 1, RequiredLabel: "a"})
	is.Equal(idle(), []string{"m-w1", "m-w2"})
	d.agent("w1").entry.Labels = []string{"a"}
	is.Equal(idle(), []string{"m-w1", "m-w2"}) // both would be moved in one decision
	d.agent("w1").seenEnd++                    // it is not idle
	is.Equal(idle(), []string{"m-w0", "m-w2"})
}

// TestMissingLabelOfWaitingWork guards against work that waits for an instance kind that its pool does not have, and
// against further moves while one is on its way or only work that cannot start needs the label.
func TestMissingLabelOfWaitingWork(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	w := newInstanceDriver(d)
	big := fleet.Instance{ID: "m1", Pool: "off", Phase: fleet.InstanceUp, Labels: []string{"big", "r1"}}
	w.listed = map[string]fleet.Instance{
		"m0": {ID: "m0", Pool: "pool", Phase: fleet.InstanceUp, Worker: "w0", Labels: []string{"small", "r1"}}, "m1": big,
	}
	j := d.addJob("0011223344556677", fleet.Step{Count: 1, RequiredLabel: "big"})
	is.Equal(w.missingLabels(), map[string][]string{"pool": {"big"}})
	w.arrivals["m1"] = arrival{to: "pool"}
	is.Equal(len(w.missingLabels()), 0)
	delete(w.arrivals, "m1")
	big.Pool = "pool"
	w.listed["m1"] = big
	is.Equal(len(w.missingLabels()), 0)
	delete(w.listed, "m1")
	j.Task(0, 0, 0).Done, j.Occurrences[0].Steps[0].Open = true, 0
	is.Equal(len(w.missingLabels()), 0)
}
