package failtest

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"pollenlead/standin"
)

// Guards against a worker that fails all its work and still gets its full share of the requests, and against a pool
// without usable instances when all of them fail.
func TestWorkerThatFailsEverything(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, clusterSpec{nodes: 1, workers: 4})
	bad := c.workers[0]
	bad.SetFaults(standin.WorkerFaults{FailAll: true})
	before := len(bad.Executions())
	failed := 0
	for n := range 100 {
		if r := c.request(0, "a1", fmt.Sprint("r", n), nil); r.Status != http.StatusOK {
			failed++
		}
	}
	is.True(len(bad.Executions())-before < 25) // less than its share
	is.True(failed < 25)
	for _, w := range c.workers {
		w.SetFaults(standin.WorkerFaults{FailAll: true})
	}
	for n := range 60 {
		// Half of the pool stays in use.
		is.Equal(c.request(0, "a1", fmt.Sprint("f", n), nil).Status, http.StatusInternalServerError)
	}
	for _, w := range c.workers {
		w.SetFaults(standin.WorkerFaults{})
	}
	c.await("a request after the failure", func() bool { return c.request(0, "a1", "", nil).Status == http.StatusOK })
}

// Guards against a caller that receives the response to another request, or a truncated response as a complete one.
func TestWrongOrTruncatedResponse(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]standin.WorkerFaults{
		"wrong": {WrongRequestID: true}, "truncated": {Truncate: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, clusterSpec{nodes: 1, workers: 2})
			for _, w := range c.workers {
				w.SetFaults(fault)
			}
			for n := range 10 {
				id := fmt.Sprint("r", n)
				r := c.request(0, "a1", id, map[string]string{"Answer-Bytes": "100000", "Pollenlead-Non-Idempotent": "true"})
				is.True(r.Err != nil || (r.Status != http.StatusOK && r.Run == "may_have_run"))
				is.True(c.observer.Executions(id) <= 1)
			}
		})
	}
}

// Guards against work that stops because the list is outdated or unavailable, and against a pool that stops because one
// availability zone is lost.
func TestListDownStaleAndZoneGone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, clusterSpec{nodes: 2, workers: 4})
	c.list.SetFaults(standin.ListFaults{LagMS: 600000})
	c.workers[0].SetFaults(standin.WorkerFaults{Leaving: true})
	for n := range 20 { // the leaving worker refuses work, which the outdated list does not show
		is.Equal(c.request(n%2, "a1", fmt.Sprint("s", n), nil).Status, http.StatusOK)
	}
	c.workers[0].SetFaults(standin.WorkerFaults{})
	c.list.SetFaults(standin.ListFaults{Outage: true})
	is.Equal(c.publish(0, 1).Version, uint64(2))
	for n := range 20 {
		is.Equal(c.request(n%2, "a1", fmt.Sprint("d", n), nil).Status, http.StatusOK)
	}
	is.NoErr(c.servers[1].Close()) // zone-1 has the workers 1 and 3
	is.NoErr(c.servers[3].Close())
	c.await("requests to succeed without the zone at both instances", func() bool {
		for n := range c.nodes {
			for range 10 {
				if c.request(n, "a1", "", nil).Status != http.StatusOK {
					return false
				}
			}
		}
		return true
	})
	c.list.SetFaults(standin.ListFaults{})
	c.list.Remove("w-1")
	c.list.Remove("w-3")
	c.await("the list to be applied", func() bool {
		return len(c.status(0).Instances) == 2 && len(c.status(1).Instances) == 2
	})
	c.awaitSameState()
}
