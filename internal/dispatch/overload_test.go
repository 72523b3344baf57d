package dispatch

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/fleet"
	"pollenlead/internal/overload"
	"pollenlead/internal/store"
	"pollenlead/internal/workload"
)

// shareConfig gives the hot team a share of 10 jobs per second, and the calm one of 100.
func shareConfig(t *testing.T) *fleet.Config {
	t.Helper()
	return &fleet.Config{
		Version: 1, Pools: []fleet.Pool{{Name: "pool"}},
		Queues: []fleet.Queue{{
			Name: "queue", Pool: "pool", Attempts: 3, Stretch: 1.6, LatencyObjective: 600 * time.Millisecond,
		}},
		Teams: []fleet.Team{{Name: "hot", Share: 10}, {Name: "calm", Share: 100}},
	}
}

// submission returns the record of a job that takes a whole worker of the fixture.
func submission(t *testing.T, team string, n int, at time.Time) store.Record {
	t.Helper()
	value, err := json.Marshal(workload.Submission{
		Queue: "queue", Pool: "pool", Team: team, Attempts: 3, AtMillis: at.UnixMilli(),
		Spec: &fleet.JobSpec{Steps: []fleet.Step{{
			Count: 1, Need: fleet.Resources{CPUMilli: 32_000}, Estimate: time.Second,
		}}},
	})
	is.New(t).NoErr(err)
	return store.Record{Key: workload.SubmissionKey(fmt.Sprintf("%s%012x", team, n)), Value: value}
}

// startedByTeam counts the jobs of which a task is assigned.
func (d *Dispatcher) startedByTeam() map[string]int {
	started := map[string]int{}
	for _, j := range d.jobs {
		j.EachTask(func(task *workload.Task) { started[j.Team] += len(task.Runs) })
	}
	return started
}

// TestHotTeamComesLast guards against a team that sends far above its share, and whose earlier jobs take the capacity
// that the jobs of all others need.
func TestHotTeamComesLast(t *testing.T) {
	is := is.New(t)
	d := newFixture(30)
	defer d.stop()
	d.Follower = followConfig(t, shareConfig(t))
	for n := range 100 {
		d.applyJobRecord(0, submission(t, "hot", n, d.now().Add(-100*time.Millisecond)))
	}
	for n := range 18 {
		d.applyJobRecord(0, submission(t, "calm", n, d.now()))
	}
	d.place()
	started := d.startedByTeam()
	is.Equal(started["calm"], 18)
	is.Equal(started["hot"], 12)
}

// TestExcessOutlastsTheLeader guards against a new leader that counts from nothing and takes the backlog of a team far
// above its share for work within it.
func TestExcessOutlastsTheLeader(t *testing.T) {
	is := is.New(t)
	d := newFixture(30)
	defer d.stop()
	d.Follower = followConfig(t, shareConfig(t))
	d.loaded = false
	for n := range 100 {
		d.applyJobRecord(0, submission(t, "hot", n, d.now().Add(-500*time.Millisecond+time.Duration(n)*time.Millisecond)))
	}
	for n := range 18 {
		d.applyJobRecord(0, submission(t, "calm", n, d.now()))
	}
	d.restore(nil)
	d.place()
	started := d.startedByTeam()
	is.Equal(started["calm"], 18)
	is.Equal(started["hot"], 12)
	excess := 0
	for _, j := range d.jobs {
		if j.excess {
			excess++
		}
	}
	is.True(excess >= 85 && excess <= 90)
}

// TestOverloadIsPublished guards against a leader that lets a hot team's backlog grow for longer than its work has
// value, and against one that refuses work when there is capacity, during an outage, or before it has read the jobs.
func TestOverloadIsPublished(t *testing.T) {
	is := is.New(t)
	d := newFixture(2)
	defer d.stop()
	d.Follower = followConfig(t, shareConfig(t))
	d.loaded = false
	is.Equal(d.OverloadState(), nil)
	d.loaded = true
	for n := range 5 {
		d.applyJobRecord(0, submission(t, "calm", n, d.now()))
	}
	is.Equal(d.OverloadState(), nil) // nobody is beyond the share
	for n := range 100 {
		d.applyJobRecord(0, submission(t, "hot", n, d.now()))
	}
	var s overload.State
	is.NoErr(json.Unmarshal(d.OverloadState(), &s))
	is.Equal(len(s["queue"].Teams), 1)
	is.True(s["queue"].Teams["hot"] > 0.8)
	is.True(s["queue"].RetryMillis > 10_000)
	for _, a := range d.agents {
		a.silentSince = 1
	}
	is.Equal(d.OverloadState(), nil) // without any worker the pool is not overloaded, but out of service
	for _, j := range d.jobs {
		j.Cancel(d.now())
		d.markChanged(j)
	}
	is.Equal(d.OverloadState(), nil)
}

// TestBusyDispatcherDoesNotDelayHeartbeats guards against a leader that loses its term because its heartbeat waits
// until the dispatcher has restored all jobs, and against a state of any age that is published meanwhile.
func TestBusyDispatcherDoesNotDelayHeartbeats(t *testing.T) {
	is := is.New(t)
	d := newFixture(2)
	defer d.stop()
	d.Follower = followConfig(t, shareConfig(t))
	busyState := func() json.RawMessage {
		d.mu.Lock()
		defer d.mu.Unlock()
		state := make(chan json.RawMessage, 1)
		go func() { state <- d.OverloadState() }()
		select {
		case s := <-state:
			return s
		case <-time.After(2 * time.Second):
			t.Fatal("the overload state waits for the dispatcher")
			return nil
		}
	}
	is.Equal(busyState(), nil) // none has been worked out
	for n := range 100 {
		d.applyJobRecord(0, submission(t, "hot", n, d.now()))
	}
	published := d.OverloadState()
	is.True(len(published) > 0)
	is.Equal(busyState(), published)
	d.publishedOverload.Load().at -= maxStateReuse
	is.Equal(busyState(), nil)
}
