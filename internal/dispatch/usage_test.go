package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/scheduling"
	"pollenlead/internal/usage"
	"pollenlead/internal/workload"
)

// TestUsageSumsToTheInstances guards against listed instances that the account of instance time misses or counts
// twice.
func TestUsageSumsToTheInstances(t *testing.T) {
	is := is.New(t)
	const workers, idle = 6, 3
	d := newFixture(workers)
	d.counters.usage = newUsageCounter()
	w := newInstanceDriver(d)
	w.listed = map[string]fleet.Instance{}
	now := d.now()
	for i := range workers {
		a := d.agent(fmt.Sprintf("w%d", i))
		a.clockAt = bootclock.Now()
		id := fmt.Sprintf("m%d", i)
		w.listed[id] = fleet.Instance{
			ID: id, Pool: "pool", Phase: fleet.InstanceUp, Worker: a.id, Capacity: a.entry.Capacity,
		}
		if i >= idle {
			d.addJob(id, fleet.Step{Count: 1, Need: fleet.Resources{CPUMilli: 8000}, LongRunning: i == idle})
			d.attach(d.jobs[id].Task(0, 0, 0).Assign(a.id, 1, now))
		}
	}
	w.listed["moving"] = fleet.Instance{ID: "moving", Pool: "pool", Phase: fleet.InstanceMoving}
	w.listed["off"] = fleet.Instance{ID: "off", Pool: "off", Phase: fleet.InstanceUp}
	pools := []*scheduling.BalancePool{
		{Name: "pool", Size: workers, HomeSize: workers, InstanceCPU: 32000, Used: 24000}, {Name: "off", Standby: true},
	}
	w.usageAt = bootclock.Now() - 500*time.Millisecond
	w.recordUsage(pools)
	seconds := d.counters.usage.pools()
	elapsed := seconds["off"][usage.Off]
	is.True(elapsed >= 0.5)
	is.True(math.Abs(seconds["pool"].Sum()-elapsed*float64(workers+1)) < 1e-6)
	is.True(math.Abs(seconds["pool"][usage.Running]-elapsed*0.75) < 1e-6) // three runs of a quarter each
	is.True(math.Abs(seconds["pool"][usage.Held]-elapsed*0.75) < 1e-6)
	is.True(math.Abs(seconds["pool"][usage.Surplus]-elapsed*2) < 1e-6) // the reserve of 4 includes the workers in use
}

// TestPhasesOfALateJobSumToItsTime guards against time of a late job that is in no phase.
func TestPhasesOfALateJobSumToItsTime(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	j := d.addJob("job", fleet.Step{Count: 2, Need: fleet.Resources{CPUMilli: 8000}})
	begin := j.Submitted
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	j.readAfter, j.objective = 20*time.Millisecond, time.Second
	j.Occurrences[0].Steps[0].ReadyAt = at(20)
	for i, ms := range []int{100, 420} {
		task := j.Task(0, 0, i)
		r := task.Assign("w0", 1, at(ms))
		defer j.End(task, r, "done", "", 1, at(1500))
	}
	is.Equal(j.Waited, 400*time.Millisecond) // until the last task of the step was assigned
	j.EndedAt = at(1500)
	p := j.phases(at(1600))
	is.Equal(p, jobPhases{
		read: 20 * time.Millisecond, waiting: 400 * time.Millisecond, run: 1080 * time.Millisecond,
		store: 100 * time.Millisecond,
	})
	is.True(j.late(workload.StateDone, at(1600)))
	is.True(!j.late(workload.StateCancelled, at(1600)))
}
