package failtest

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/standin"
)

// Guards against instances that depend on each other while the log is reachable: without a connection between the
// peers, work, publishes and state updates must continue.
func TestCutBetweenHalvesWithTheLog(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, clusterSpec{nodes: 2, workers: 2, limit: 3})
	for _, n := range c.nodes {
		n.peerProxy.setBlocked(true)
	}
	is.Equal(c.publish(0, 1).Version, uint64(2))
	job := c.submit(0, "job", 20, nil)
	is.Equal(job.Status, http.StatusAccepted)
	c.awaitJob(1, job.ID, "succeeded")
	var all sync.WaitGroup
	for n := range 20 {
		all.Go(func() {
			if r := c.request(n%2, "a1", fmt.Sprint("r", n), map[string]string{"Work-Ms": "100"}); r.Status != http.StatusOK {
				t.Errorf("request %d: %+v", n, r)
			}
		})
	}
	all.Wait()
	is.True(c.observer.MaxRunning()["a"] <= 3)
	c.awaitSameState()
}

// Guards against an instance without a connection to the log that accepts work under an outdated document, or that
// stops although its peers relay log calls.
func TestCutOffFromTheLogAlone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, clusterSpec{nodes: 2, workers: 2})
	c.nodes[0].logProxy.setBlocked(true)
	c.doc.Teams[0].Keys = c.doc.Teams[0].Keys[:1]
	c.await("the publish", func() bool { return c.publish(1, 1).Status == http.StatusOK })
	published := time.Now()
	c.await("the withdrawn key to be refused", func() bool {
		return c.request(0, "a2", "late", nil).Status != http.StatusOK
	})
	is.True(time.Since(published) < 5*time.Second) // stated target of P3 and P10
	c.await("the document through a peer", func() bool {
		return c.request(0, "a2", "late", nil).Status == http.StatusUnauthorized
	})
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if r := c.request(0, "a1", "", nil); r.Status != http.StatusOK {
			t.Fatalf("work with a key stopped although a peer relays log calls: %+v", r)
		}
	}
	job := c.submit(0, "job", 20, nil)
	is.Equal(job.Status, http.StatusAccepted)
	c.awaitJob(0, job.ID, "succeeded")
	is.Equal(len(c.status(1).Members), 2) // the session was renewed through the peer
	c.nodes[0].logProxy.setBlocked(false)
	c.awaitSameState()
}

// Guards against work with keys on an instance that cannot receive the withdrawal of a key, and against more running
// work than the upper limit after the units of the instance were granted again because its session was revoked.
func TestCutOffFromLogAndPeers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, clusterSpec{nodes: 2, workers: 2, limit: 2})
	isolated := c.nodes[0]
	isolated.logProxy.setBlocked(true)
	isolated.peerProxy.setBlocked(true)
	c.nodes[1].peerProxy.setBlocked(true)
	c.doc.Teams[0].Keys = c.doc.Teams[0].Keys[:1]
	c.await("the publish", func() bool { return c.publish(1, 1).Status == http.StatusOK })
	published := time.Now()
	c.await("work with keys to stop", func() bool {
		return c.requestTo(isolated, "a2", "late", nil).Reason == "no_contact"
	})
	is.True(time.Since(published) < 5*time.Second) // stated target of P3
	before := c.observer.Executions("late")
	r := c.requestTo(isolated, "a1", "late", nil)
	is.Equal(r.Reason, "no_contact")
	is.Equal(r.Run, "not_run")
	is.Equal(c.observer.Executions("late"), before)
	c.await("the revocation", func() bool { return len(c.status(1).Members) == 1 })
	var all sync.WaitGroup
	for n := range 8 {
		all.Go(func() { c.request(1, "a1", fmt.Sprint("r", n), map[string]string{"Work-Ms": "100"}) })
	}
	all.Wait()
	isolated.logProxy.setBlocked(false)
	for _, n := range c.nodes {
		n.peerProxy.setBlocked(false)
	}
	c.awaitServing()
	is.True(c.observer.MaxRunning()["a"] <= 2)
	c.awaitSameState()
}

// Guards against malformed messages from a peer that stop an instance or change its state.
func TestMalformedPeerMessages(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, clusterSpec{nodes: 2, workers: 1})
	for _, message := range []string{
		"\x00\xff\n", "{\n", "[]\n", "null\n", `{"jsonrpc":"2.0","id":1,"method":"unknown"}` + "\n",
		`{"jsonrpc":"2.0","id":1,"method":"heartbeat"}` + "\n",
		`{"jsonrpc":"2.0","id":1,"method":"heartbeat","params":{"digest":[{"name":"x","incarnation":"y",` +
			`"load":{"running":{"main":{"a":1}}}}]}}` + "\n",
		`{"jsonrpc":"2.0","id":1,"method":"read_log","params":{"from":0,"limit":-1}}` + "\n",
		`{"jsonrpc":"2.0","id":1,"method":"append_record","params":{"data":"AAAA"}}` + "\n",
		`{"jsonrpc":"2.0","id":1,"method":"load_report","params":{"entry":{"name":"x","incarnation":"y","holders":["z"],` +
			`"load":{"running":{"p":{"t":-5}}}}}}` + "\n",
	} {
		conn, err := net.Dial("tcp", c.nodes[0].peerProxy.address().String())
		is.NoErr(err)
		_, err = conn.Write([]byte(message))
		is.NoErr(err)
		is.NoErr(conn.SetReadDeadline(time.Now().Add(waitTimeout)))
		line, _ := bufio.NewReader(conn).ReadString('\n') // an error response, or the end of the connection
		is.True(line == "" || len(line) > 10)
		is.NoErr(conn.Close())
	}
	for n := range c.nodes {
		c.sendConcurrently(n, 8, "300") // more than the slots, so that placement depends on the loads that peers report
	}
	c.awaitSameState()
}

// Guards against a job that is lost, or a non-idempotent one that runs twice, when its holder is killed at any step
// and the process restarts under the same name with a new incarnation.
func TestHolderKilledAndRestarted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, clusterSpec{nodes: 2, workers: 2, limit: 2})
	nonIdempotent := map[string]string{"Pollenlead-Non-Idempotent": "true"}
	started := c.submit(0, "once", 60000, nonIdempotent) // started, not finished
	c.awaitJob(0, started.ID, "started")
	repeated := c.submit(0, "repeat", 1500, nil)
	c.awaitJob(0, repeated.ID, "started")
	accepted := c.submit(0, "accepted", 10, nonIdempotent) // not started, because the team is at its upper limit
	is.Equal(c.job(0, accepted.ID).State, "waiting")
	c.kill(c.nodes[0])
	c.start("entry-0")
	c.awaitServing()
	is.Equal(c.awaitJob(0, started.ID, "unknown", "succeeded", "failed"), "unknown")
	is.Equal(c.awaitJob(0, repeated.ID, "succeeded", "unknown", "failed"), "succeeded")
	is.Equal(c.awaitJob(0, accepted.ID, "succeeded", "unknown", "failed"), "succeeded")
	is.Equal(c.observer.Executions("once"), 1)
	is.Equal(c.observer.Executions("accepted"), 1)
	is.True(c.observer.Executions("repeat") >= 1)
	is.True(c.observer.MaxRunning()["a"] <= 2)
	c.awaitSameState()
}

// Guards against aborted requests, and against work that is lost or runs twice, while every instance is replaced
// under load.
func TestAllInstancesReplacedUnderLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, clusterSpec{nodes: 2, workers: 2})
	var mu sync.Mutex
	targets := append([]*node{}, c.nodes...) // the instances to which the load balancer sends requests
	var stop atomic.Bool
	var sent atomic.Int64
	var load sync.WaitGroup
	for worker := range 4 {
		load.Go(func() {
			for n := 0; !stop.Load(); n++ {
				mu.Lock()
				target := targets[(n+worker)%len(targets)]
				mu.Unlock()
				id := fmt.Sprintf("%d-%d", worker, n)
				r := c.requestTo(target, "a1", id, map[string]string{"Work-Ms": "50"})
				if r.Status != http.StatusOK || c.observer.Executions(id) != 1 {
					t.Errorf("request %s at %s: %+v, %d executions", id, target.name, r, c.observer.Executions(id))
				}
				sent.Add(1)
			}
		})
	}
	for n := range 2 {
		old := c.nodes[0]
		c.start(fmt.Sprintf("entry-new-%d", n))
		c.awaitServing()
		mu.Lock()
		targets = append([]*node{}, c.nodes[1:]...)
		mu.Unlock()
		long := make(chan reply, 1)
		go func() { long <- c.requestTo(old, "a1", "long-"+old.name, map[string]string{"Work-Ms": "3000"}) }()
		c.await("the long request to run", func() bool { return c.observer.Executions("long-"+old.name) == 1 })
		is.NoErr(c.stop(old))
		is.Equal((<-long).Status, http.StatusOK) // it runs for longer than the load balancer takes to detect the shutdown
	}
	at := sent.Load()
	c.await("more requests", func() bool { return sent.Load() > at+20 })
	stop.Store(true)
	load.Wait()
	c.awaitSameState()
}

// Guards against a team that exceeds its upper limit when its callers use two instances at the same time.
func TestUpperLimitAtTwoInstances(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, clusterSpec{nodes: 2, workers: 4, limit: 3})
	var all sync.WaitGroup
	for n := range 40 {
		all.Go(func() {
			id := fmt.Sprint("r", n)
			r := c.request(n%2, "a1", id, map[string]string{"Work-Ms": "100"})
			if r.Status != http.StatusOK || c.observer.Executions(id) != 1 {
				t.Errorf("request %s: %+v", id, r)
			}
		})
	}
	all.Wait()
	is.Equal(c.observer.MaxRunning()["a"], 3)
}

// Guards against a removed pool or team whose running work is aborted or whose new work is accepted.
func TestPoolAndTeamWithdrawnWhileWorkRuns(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, clusterSpec{nodes: 2, workers: 2})
	results := make(chan reply, 2)
	for _, key := range []string{"a1", "b1"} {
		go func() { results <- c.request(0, key, "runs-"+key, map[string]string{"Work-Ms": "3000"}) }()
		c.await("the request to run", func() bool { return c.observer.Executions("runs-"+key) == 1 })
	}
	teams := c.doc.Teams
	c.doc.Teams = teams[:1]
	is.Equal(c.publish(0, 1).Version, uint64(2))
	c.await("the team to be refused", func() bool {
		return c.request(1, "b1", "late", nil).Status == http.StatusUnauthorized
	})
	c.doc.Pools, c.doc.Services = c.doc.Pools[1:], nil
	is.Equal(c.publish(1, 2).Version, uint64(3))
	c.await("the service to be refused", func() bool {
		return c.request(1, "a1", "late", nil).Reason == "unknown_service"
	})
	for range 2 {
		is.Equal((<-results).Status, http.StatusOK)
	}
	is.Equal(c.observer.Executions("runs-a1")+c.observer.Executions("runs-b1"), 2)
	c.awaitSameState()
}

// Guards against new work on a backend server later than 3 s after the list shows it as leaving.
func TestLeavingServer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, clusterSpec{nodes: 2, workers: 2})
	c.listWorker(0, standin.PhaseLeaving)
	listed := time.Now()
	for n := 0; time.Since(listed) < 6*time.Second; n++ {
		is.Equal(c.request(n%2, "a1", "", map[string]string{"Work-Ms": "20"}).Status, http.StatusOK)
	}
	for _, e := range c.workers[0].Executions() {
		is.True(e.Start.Sub(listed) < 3*time.Second) // stated target of P8
	}
}

// Guards against a non-idempotent job that runs twice when its holder is killed after it has recorded the start and
// before the worker starts the task, and against a job whose outcome is lost when the holder is killed after the end of
// the task and before it has recorded the result.
func TestHolderKilledAroundStartAndFinish(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, clusterSpec{nodes: 2, workers: 2})
	holder := c.nodes[0]
	nonIdempotent := map[string]string{"Pollenlead-Non-Idempotent": "true"}
	finished := c.submit(0, "finished", 1000, nonIdempotent)
	c.awaitJob(0, finished.ID, "started")
	for _, w := range c.workers {
		w.SetFaults(standin.WorkerFaults{DelayMS: 3000})
	}
	starting := c.submit(0, "starting", 100, nonIdempotent)
	c.awaitJob(1, starting.ID, "started")
	holder.logProxy.setBlocked(true)
	for _, n := range c.nodes {
		n.peerProxy.setBlocked(true)
	}
	c.await("the task to end", func() bool {
		return c.observer.Running("a") == 0 && c.observer.Executions("finished") == 1
	})
	c.kill(holder)
	c.nodes[0].peerProxy.setBlocked(false)
	c.awaitJob(0, finished.ID, "succeeded", "unknown")
	c.awaitJob(0, starting.ID, "succeeded", "unknown")
	is.Equal(c.observer.Executions("finished"), 1)
	is.True(c.observer.Executions("starting") <= 1)
}
