package dispatch

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"

	"pollenlead/internal/fleet"
	"pollenlead/internal/store"
	"pollenlead/internal/workload"
)

const sharedID = "00000000000a0042"

// submissionRecord returns the record of a submission under sharedID.
func submissionRecord(t *testing.T, queue, team, address string) store.Record {
	t.Helper()
	value, err := json.Marshal(workload.Submission{
		Queue: queue, Pool: "pool", Team: team, Address: address,
		Spec: &fleet.JobSpec{Steps: []fleet.Step{{Count: 1}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return store.Record{Key: workload.SubmissionKey(sharedID), Value: value}
}

// cancelRecord returns the record of a cancellation of sharedID.
func cancelRecord(t *testing.T, c workload.Cancellation) store.Record {
	t.Helper()
	value, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return store.Record{Key: workload.CancelKey(sharedID), Value: value}
}

// keptCancellations returns what the store keeps of cancellations of sharedID that entry instances write to one
// partition one after the other: the newest record of each key.
func keptCancellations(t *testing.T, written ...workload.Cancellation) []store.Record {
	t.Helper()
	newest := map[string]store.Record{}
	for i, c := range written {
		r := cancelRecord(t, c)
		r.Offset = int64(i)
		for _, r.Key = range []string{c.Key(sharedID), workload.CancelKey(sharedID)} {
			newest[r.Key] = r
		}
	}
	return slices.SortedFunc(maps.Values(newest), func(a, b store.Record) int {
		return cmp.Or(cmp.Compare(a.Offset, b.Offset), cmp.Compare(a.Key, b.Key))
	})
}

// newCancelFixture returns a dispatcher whose configuration has the queues "orders" and "audits", but no "removed".
func newCancelFixture(t *testing.T) *Dispatcher {
	t.Helper()
	d := newFixture(1)
	t.Cleanup(d.stop)
	d.Workers = &unresponsiveWorkers{}
	d.Follower = followConfig(t, &fleet.Config{
		Version: 1, Pools: []fleet.Pool{{Name: "pool"}},
		Queues: []fleet.Queue{
			{Name: "orders", Host: "h", PathPrefix: "/orders/", Pool: "pool", Attempts: 1, Stretch: 1},
			{Name: "audits", Host: "h", PathPrefix: "/audits/", Pool: "pool", Attempts: 1, Stretch: 1},
		},
	})
	return d
}

// arrivals are the orders in which a leader may read a submission and cancellations of its ID.
var arrivals = map[string]func(d *Dispatcher, submission store.Record, cancellations []store.Record){
	"after the submission": func(d *Dispatcher, submission store.Record, cancellations []store.Record) {
		d.applyJobRecord(0, submission)
		for _, c := range cancellations {
			d.applyJobRecord(0, c)
		}
	},
	"before the submission": func(d *Dispatcher, submission store.Record, cancellations []store.Record) {
		for _, c := range cancellations {
			d.applyJobRecord(0, c)
		}
		d.applyJobRecord(0, submission)
	},
	"before the term": func(d *Dispatcher, submission store.Record, cancellations []store.Record) {
		d.loaded, d.loadedJobs = false, map[string]*loadedJob{}
		for _, c := range cancellations {
			d.applyJobRecord(0, c)
		}
		d.applyJobRecord(0, submission)
		d.restore(nil)
	},
}

// TestCancellationAppliesToItsQueue guards against a job that a client of another queue cancels by using the same ID.
// A GET at that queue answers that there is no such job, and nobody has cancelled the one that ends.
func TestCancellationAppliesToItsQueue(t *testing.T) {
	orders, other := fleet.Queue{Host: "h", PathPrefix: "/orders/"}, fleet.Queue{Host: "h", PathPrefix: "/removed/"}
	for name, x := range map[string]struct {
		queue, team, address string // of the job
		cancellation         workload.Cancellation
		cancels              bool
	}{
		"own queue":        {"orders", "shop", orders.Address(), workload.Cancellation{Queue: "orders", Team: "shop"}, true},
		"other queue":      {"orders", "shop", orders.Address(), workload.Cancellation{Queue: "audits", Team: "shop"}, false},
		"other team":       {"orders", "shop", orders.Address(), workload.Cancellation{Queue: "orders", Team: "mill"}, false},
		"own public queue": {"orders", "", orders.Address(), workload.Cancellation{Queue: "orders"}, true},
		"public queues":    {"orders", "", orders.Address(), workload.Cancellation{Queue: "audits"}, false},
		"renamed queue":    {"removed", "shop", orders.Address(), workload.Cancellation{Queue: "orders", Team: "shop"}, true},
		"removed queue":    {"removed", "shop", other.Address(), workload.Cancellation{Queue: "orders", Team: "shop"}, false},
		"renamed twice": {"removed", "shop", other.Address(), workload.Cancellation{
			Queue: "removed since", Team: "shop", Address: other.Address(),
		}, true},
		"renamed in a version that the leader has not read": {"orders", "shop", orders.Address(), workload.Cancellation{
			Queue: "new", Team: "shop", Address: orders.Address(),
		}, true},
		"added in a version that the leader has not read": {"orders", "shop", orders.Address(), workload.Cancellation{
			Queue: "new", Team: "shop", Address: other.Address(),
		}, false},
		"moved": {"orders", "shop", other.Address(), workload.Cancellation{
			Queue: "orders", Team: "shop", Address: orders.Address(),
		}, true},
		"unknown address": {"removed", "shop", "", workload.Cancellation{Queue: "orders", Team: "shop"}, true},
	} {
		for when, read := range arrivals {
			t.Run(name+" "+when, func(t *testing.T) {
				is := is.New(t)
				d := newCancelFixture(t)
				read(d, submissionRecord(t, x.queue, x.team, x.address), []store.Record{cancelRecord(t, x.cancellation)})
				is.Equal(d.jobs[sharedID].State == workload.StateCancelled, x.cancels)
			})
		}
	}
}

// TestCancellationOutlastsThoseOfOthers guards against an acknowledged cancellation that is forgotten because another
// client cancels the same ID before a leader has read the first: the job goes on.
func TestCancellationOutlastsThoseOfOthers(t *testing.T) {
	own := workload.Cancellation{Queue: "orders", Team: "shop", Address: "h/orders/"}
	for name, other := range map[string]workload.Cancellation{
		"team":  {Queue: "orders", Team: "mill", Address: "h/orders/"},
		"queue": {Queue: "audits", Team: "shop", Address: "h/audits/"},
	} {
		for when, read := range arrivals {
			for order, written := range map[string][]workload.Cancellation{
				"last": {own, other}, "first": {other, own}, "between": {other, own, other},
			} {
				t.Run(fmt.Sprint("other ", name, " ", order, " ", when), func(t *testing.T) {
					is := is.New(t)
					d := newCancelFixture(t)
					read(d, submissionRecord(t, own.Queue, own.Team, own.Address), keptCancellations(t, written...))
					is.Equal(d.jobs[sharedID].State, workload.StateCancelled)
				})
			}
		}
	}
}

// TestCancellationsInTwoPartitions guards against a cancellation that is forgotten because a leader reads one of
// another client from another partition after it.
func TestCancellationsInTwoPartitions(t *testing.T) {
	own := workload.Cancellation{Queue: "orders", Team: "shop"}
	other := workload.Cancellation{Queue: "orders", Team: "mill"}
	for _, order := range [][]workload.Cancellation{{own, other}, {other, own}} {
		is := is.New(t)
		d := newCancelFixture(t)
		for partition, c := range order {
			d.applyJobRecord(partition, cancelRecord(t, c))
		}
		d.applyJobRecord(0, submissionRecord(t, own.Queue, own.Team, ""))
		is.Equal(d.jobs[sharedID].State, workload.StateCancelled)
	}
}
