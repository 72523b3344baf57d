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

// Guards against peers that depend on each other while the log is reachable: work, documents and state must go on.
func TestCutBetweenHalvesWithTheLog(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, shape{nodes: 2, workers: 2, limit: 3})
	for _, n := range c.nodes {
		n.peers.setCut(true)
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

// Guards against an instance without the log that takes work under an old document, or stops although its peers relay.
func TestCutOffFromTheLogAlone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, shape{nodes: 2, workers: 2})
	c.nodes[0].log.setCut(true)
	c.doc.Teams[0].Keys = c.doc.Teams[0].Keys[:1]
	c.await("the publish", func() bool { return c.publish(1, 1).Status == http.StatusOK })
	published := time.Now()
	c.await("the withdrawn key to be refused", func() bool { return c.request(0, "a2", "late", nil).Status != http.StatusOK })
	is.True(time.Since(published) < 5*time.Second) // stated target of P3 and P10
	c.await("the document through a peer", func() bool { return c.request(0, "a2", "late", nil).Status == http.StatusUnauthorized })
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if r := c.request(0, "a1", "", nil); r.Status != http.StatusOK {
			t.Fatalf("keyed work stopped although a peer relays: %+v", r)
		}
	}
	job := c.submit(0, "job", 20, nil)
	is.Equal(job.Status, http.StatusAccepted)
	c.awaitJob(0, job.ID, "succeeded")
	is.Equal(len(c.status(1).Members), 2) // the session was renewed through the peer
	c.nodes[0].log.setCut(false)
	c.awaitSameState()
}

// Guards against keyed work on an instance that cannot learn of withdrawn keys, and against what it held running twice
// after its session was revoked.
func TestCutOffFromLogAndPeers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, shape{nodes: 2, workers: 2, limit: 2})
	alone := c.nodes[0]
	alone.log.setCut(true)
	alone.peers.setCut(true)
	c.nodes[1].peers.setCut(true)
	c.doc.Teams[0].Keys = c.doc.Teams[0].Keys[:1]
	c.await("the publish", func() bool { return c.publish(1, 1).Status == http.StatusOK })
	published := time.Now()
	c.await("keyed work to stop", func() bool {
		return c.requestTo(alone, "a2", "late", nil).Reason == "no_contact"
	})
	is.True(time.Since(published) < 5*time.Second) // stated target of P3
	before := c.observer.Executions("late")
	r := c.requestTo(alone, "a1", "late", nil)
	is.Equal(r.Reason, "no_contact")
	is.Equal(r.Run, "not_run")
	is.Equal(c.observer.Executions("late"), before)
	c.await("the revocation", func() bool { return len(c.status(1).Members) == 1 })
	var all sync.WaitGroup
	for n := range 8 {
		all.Go(func() { c.request(1, "a1", fmt.Sprint("r", n), map[string]string{"Work-Ms": "100"}) })
	}
	all.Wait()
	alone.log.setCut(false)
	for _, n := range c.nodes {
		n.peers.setCut(false)
	}
	c.awaitServing()
	is.True(c.observer.MaxRunning()["a"] <= 2)
	c.awaitSameState()
}

// Guards against malformed messages of a peer that stop an instance or change its state.
func TestMalformedPeerMessages(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, shape{nodes: 2, workers: 1})
	for _, message := range []string{
		"\x00\xff\n", "{\n", "[]\n", "null\n", `{"jsonrpc":"2.0","id":1,"method":"unknown"}` + "\n",
		`{"jsonrpc":"2.0","id":1,"method":"heartbeat"}` + "\n",
		`{"jsonrpc":"2.0","id":1,"method":"heartbeat","params":{"digest":[{"name":"x","incarnation":"y","load":{"running":{"main":{"a":1}}}}]}}` + "\n",
		`{"jsonrpc":"2.0","id":1,"method":"read_log","params":{"from":0,"limit":-1}}` + "\n",
		`{"jsonrpc":"2.0","id":1,"method":"append_record","params":{"data":"AAAA"}}` + "\n",
		`{"jsonrpc":"2.0","id":1,"method":"load_report","params":{"entry":{"name":"x","incarnation":"y","holders":["z"],"load":{"running":{"p":{"t":-5}}}}}}` + "\n",
	} {
		conn, err := net.Dial("tcp", c.nodes[0].peers.address().String())
		is.NoErr(err)
		_, err = conn.Write([]byte(message))
		is.NoErr(err)
		is.NoErr(conn.SetReadDeadline(time.Now().Add(patience)))
		line, _ := bufio.NewReader(conn).ReadString('\n') // an error answer, or the end of the connection
		is.True(line == "" || len(line) > 10)
		is.NoErr(conn.Close())
	}
	for n := range c.nodes {
		c.requests(n, 8, "300") // more than the slots, so that the loads of the peers are looked at
	}
	c.awaitSameState()
}

// Guards against a job that is lost, or a non-idempotent one that runs twice, when its holder is killed at each step, and
// when the process comes back under its name with a new incarnation.
func TestHolderKilledAndRestarted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, shape{nodes: 2, workers: 2, limit: 2})
	nonIdempotent := map[string]string{"Pollenlead-Non-Idempotent": "true"}
	started := c.submit(0, "once", 60000, nonIdempotent) // started, never finished
	c.awaitJob(0, started.ID, "started")
	repeated := c.submit(0, "repeat", 1500, nil)
	c.awaitJob(0, repeated.ID, "started")
	accepted := c.submit(0, "accepted", 10, nonIdempotent) // the team is at its limit: accepted, not started
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

// Guards against callers that are cut off, and work that is lost or doubled, while every instance is replaced under load.
func TestAllInstancesReplacedUnderLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, shape{nodes: 2, workers: 2})
	var mu sync.Mutex
	ready := append([]*node{}, c.nodes...) // what the balancer sends to
	var stop atomic.Bool
	var sent atomic.Int64
	var load sync.WaitGroup
	for worker := range 4 {
		load.Go(func() {
			for n := 0; !stop.Load(); n++ {
				mu.Lock()
				target := ready[(n+worker)%len(ready)]
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
		ready = append([]*node{}, c.nodes[1:]...)
		mu.Unlock()
		long := make(chan reply, 1)
		go func() { long <- c.requestTo(old, "a1", "long-"+old.name, map[string]string{"Work-Ms": "3000"}) }()
		c.await("the long request to run", func() bool { return c.observer.Executions("long-"+old.name) == 1 })
		is.NoErr(c.stop(old))
		is.Equal((<-long).Status, http.StatusOK) // it runs for longer than the balancer takes to notice
	}
	at := sent.Load()
	c.await("more requests", func() bool { return sent.Load() > at+20 })
	stop.Store(true)
	load.Wait()
	c.awaitSameState()
}

// Guards against a team that has more running than its upper limit when its callers are at two instances at once.
func TestUpperLimitAtTwoInstances(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, shape{nodes: 2, workers: 4, limit: 3})
	var all sync.WaitGroup
	for n := range 40 {
		all.Go(func() {
			id := fmt.Sprint("r", n)
			if r := c.request(n%2, "a1", id, map[string]string{"Work-Ms": "100"}); r.Status != http.StatusOK || c.observer.Executions(id) != 1 {
				t.Errorf("request %s: %+v", id, r)
			}
		})
	}
	all.Wait()
	is.Equal(c.observer.MaxRunning()["a"], 3)
}

// Guards against a withdrawn pool or team that cuts off running work, or that takes new work.
func TestPoolAndTeamWithdrawnWhileWorkRuns(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, shape{nodes: 2, workers: 2})
	results := make(chan reply, 2)
	for _, key := range []string{"a1", "b1"} {
		go func() { results <- c.request(0, key, "runs-"+key, map[string]string{"Work-Ms": "3000"}) }()
		c.await("the request to run", func() bool { return c.observer.Executions("runs-"+key) == 1 })
	}
	teams := c.doc.Teams
	c.doc.Teams = teams[:1]
	is.Equal(c.publish(0, 1).Version, uint64(2))
	c.await("the team to be refused", func() bool { return c.request(1, "b1", "late", nil).Status == http.StatusUnauthorized })
	c.doc.Pools, c.doc.Services = c.doc.Pools[1:], nil
	is.Equal(c.publish(1, 2).Version, uint64(3))
	c.await("the service to be refused", func() bool { return c.request(1, "a1", "late", nil).Reason == "unknown_service" })
	for range 2 {
		is.Equal((<-results).Status, http.StatusOK)
	}
	is.Equal(c.observer.Executions("runs-a1")+c.observer.Executions("runs-b1"), 2)
	c.awaitSameState()
}

// Guards against new work on a leaving backend server 3 s after the list shows it.
func TestLeavingServer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, shape{nodes: 2, workers: 2})
	c.listWorker(0, standin.PhaseLeaving)
	listed := time.Now()
	for n := 0; time.Since(listed) < 6*time.Second; n++ {
		is.Equal(c.request(n%2, "a1", "", map[string]string{"Work-Ms": "20"}).Status, http.StatusOK)
	}
	for _, e := range c.workers[0].Executions() {
		is.True(e.Start.Sub(listed) < 3*time.Second) // stated target of P8
	}
}

// Guards against a non-idempotent job that runs twice when its holder is killed between the record of the start and the
// worker's start, and against a result that is lost when the holder is killed between the task's end and the record of it.
func TestHolderKilledAroundStartAndFinish(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, shape{nodes: 2, workers: 2})
	holder := c.nodes[0]
	nonIdempotent := map[string]string{"Pollenlead-Non-Idempotent": "true"}
	finished := c.submit(0, "finished", 1000, nonIdempotent)
	c.awaitJob(0, finished.ID, "started")
	for _, w := range c.workers {
		w.SetFaults(standin.WorkerFaults{DelayMS: 3000})
	}
	starting := c.submit(0, "starting", 100, nonIdempotent)
	c.awaitJob(1, starting.ID, "started")
	holder.log.setCut(true)
	for _, n := range c.nodes {
		n.peers.setCut(true)
	}
	c.await("the task to end", func() bool { return c.observer.Running("a") == 0 && c.observer.Executions("finished") == 1 })
	c.kill(holder)
	c.nodes[0].peers.setCut(false)
	c.awaitJob(0, finished.ID, "succeeded", "unknown")
	c.awaitJob(0, starting.ID, "succeeded", "unknown")
	is.Equal(c.observer.Executions("finished"), 1)
	is.True(c.observer.Executions("starting") <= 1)
}
