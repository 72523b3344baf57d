package dispatch

import (
	"context"
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

// TestUnmovedInstanceGetsTasksAgain guards against an instance that gets no task for the rest of a term, because the order
// to move it was not answered and was not carried out either.
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
