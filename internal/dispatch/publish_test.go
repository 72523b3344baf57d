package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/follow"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

// TestEndIsPublishedOnlyOnceStored guards against a job that is shown as done while only its worker and this leader know
// the end. Each case is a way in which both were lost later, so that the next leader ran the task again.
func TestEndIsPublishedOnlyOnceStored(t *testing.T) {
	for name, change := range map[string]func(d *Dispatcher, a *agent){
		// The store answers the other entry instances, which elect another leader.
		"leader without the store": func(*Dispatcher, *agent) {},
		// The leader reads an answer of the store from before a pause in which another leader has begun.
		"leader after a pause":   func(d *Dispatcher, _ *agent) { awaitConfiguration(t, d) },
		"worker is draining":     func(_ *Dispatcher, a *agent) { a.entry.Draining = true },
		"worker does not answer": func(_ *Dispatcher, a *agent) { a.silentSince = bootclock.Now() },
		"worker has left and is forgotten": func(d *Dispatcher, a *agent) {
			a.entry, a.renewing = nil, false
			d.expireLeases()
		},
		"worker has started again under its ID": func(d *Dispatcher, a *agent) {
			d.applyReport(a, worker.Report{ClockMillis: 1, Incarnation: 2}, bootclock.Now())
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newFixture(1)
			defer d.stop()
			d.Bounds.MaxLease = leaseDuration
			j := d.addJob("0011223344556677", oneTask)
			d.place()
			run := j.Task(0, 0, 0).Runs[0]
			run.Stored, run.Released, run.Phase = true, true, workload.RunActive
			d.applyReport(d.agent("w0"), worker.Report{ClockMillis: 1, Incarnation: 1, Ended: []worker.End{
				{Number: 1, Task: run.Task.Name(), Run: 1, Kind: worker.EndDone},
			}}, bootclock.Now())
			is.Equal(j.State, workload.StateDone)
			change(d, d.agent("w0"))

			b := d.collectBatch()
			d.tick()
			d.releaseUnstored(bootclock.Now() - 2*time.Second) // the append has been in progress for so long
			is.Equal(j.published, workload.StatePending)
			d.applyCommitted(b)
			is.Equal(j.published, workload.StateDone)
		})
	}
}

// awaitConfiguration makes the leader follow a store that answers, and waits for its first answer.
func awaitConfiguration(t *testing.T, d *Dispatcher) {
	t.Helper()
	d.Follower = follow.New(emptyStore{}, follow.Decoder{}, zerolog.Nop())
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	go d.Follower.Run(ctx)
	for _, ok := d.Follower.Age(); !ok; _, ok = d.Follower.Age() {
		time.Sleep(time.Millisecond)
	}
}
