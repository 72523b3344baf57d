package dispatch

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

// newUnheardFixture returns a dispatcher that has heard worker w0 of pool "pool", but not yet w1 of pool "far", where
// an earlier leader may have started the job "far" of the same team. Both jobs have four tasks of a core; the team may
// have four cores running.
func newUnheardFixture(t *testing.T) (d *Dispatcher, near, far *job) {
	t.Helper()
	d = newFixture(2)
	d.Workers = &unresponsiveWorkers{}
	d.Follower = followConfig(t, &fleet.Config{
		Version: 1, Pools: []fleet.Pool{{Name: "pool"}, {Name: "far"}},
		Teams:  []fleet.Team{{Name: "team", UpperLimit: fleet.Resources{CPUMilli: 4000}}},
		Queues: []fleet.Queue{{Name: "queue", Pool: "pool", Stretch: 1}, {Name: "far", Pool: "far", Stretch: 1}},
	})
	step := fleet.Step{Count: 4, Need: fleet.Resources{CPUMilli: 1000}}
	near, far = d.addJob("0011223344556677", step), d.addJob("8899aabbccddeeff", step)
	far.Queue = "far"
	d.moveJob(far, "far")
	d.storedWorkers["w0"], d.storedWorkers["w1"] = "pool", "far"
	d.storedQueuePools["far"] = []string{"far"}
	w1 := d.agent("w1")
	w1.entry.Pool, w1.contacted, w1.unchecked = "far", false, true
	return d, near, far
}

// assigned returns the number of tasks of the job's first step that have a run.
func assigned(j *job) int {
	n := 0
	j.EachTask(func(t *workload.Task) { n += len(t.Runs) })
	return n
}

// TestLimitCountsUnheardWorkers guards against a team that has more running than its limit: a new leader started work
// in one pool before the workers of another pool had reported what an earlier leader had started there without storing
// it.
func TestLimitCountsUnheardWorkers(t *testing.T) {
	for name, c := range map[string]struct {
		reported int // runs of the job "far" in the first report of w1
		near     int // runs of the job "near" afterwards
	}{
		"all run": {reported: 4, near: 0}, "one runs": {reported: 1, near: 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, near, far := newUnheardFixture(t)
			defer d.stop()
			d.place()
			is.Equal(assigned(near), 0)
			var report worker.Report
			report.ClockMillis = 1
			for n := range c.reported {
				report.Running = append(report.Running, worker.Running{Task: far.Task(0, 0, n).Name(), Run: 1, Percent: 100})
			}
			far.unstorableUntil = bootclock.Now() + time.Minute // its other tasks wait
			d.applyReport(d.agent("w1"), report, bootclock.Now())
			d.place()
			is.Equal(assigned(far), c.reported)
			is.Equal(assigned(near), c.near)
		})
	}
}

// TestUnheardUseIsBounded guards against a team that can start nothing while one worker is silent, although that
// worker has room for a part of the limit only, and against a part that is too small: runs that are known count
// already, filler tasks take no room, a scheduled occurrence may have begun by the clock of the earlier leader, and
// what has been cancelled runs until its worker is told.
func TestUnheardUseIsBounded(t *testing.T) {
	cpu := func(milli int64) fleet.Resources { return fleet.Resources{CPUMilli: milli} }
	for name, c := range map[string]struct {
		change func(d *Dispatcher, far *job)
		want   int64
	}{
		"demand": {func(*Dispatcher, *job) {}, 4000},
		"second job": {func(d *Dispatcher, far *job) {
			far.Spec.Steps[0].Need = cpu(900)
			second := d.addJob("1111222233334444", fleet.Step{Count: 1, Need: cpu(100)})
			second.Queue = "far"
			d.moveJob(second, "far")
		}, 3700},
		"room":          {func(d *Dispatcher, _ *job) { d.agent("w1").entry.Capacity = cpu(1500) }, 1500},
		"unknown entry": {func(d *Dispatcher, _ *job) { d.agent("w1").entry = nil }, 4000},
		"known run": {func(d *Dispatcher, far *job) {
			d.agent("w1").entry.Capacity = cpu(2500)
			d.attach(far.Task(0, 0, 0).Assign("w1", 1, d.now()))
		}, 1500},
		"fillers": {func(d *Dispatcher, far *job) {
			d.agent("w1").entry.Capacity = cpu(1500)
			far.Spec.Steps[0].Filler = true
		}, 4000},
		"due soon": {func(_ *Dispatcher, far *job) {
			far.Spec.Times, far.Spec.Every, far.Spec.FirstAt = 2, time.Second, time.Now().Add(-500*time.Millisecond)
		}, 8000},
		"due soon by a clock that was set forward": {func(_ *Dispatcher, far *job) {
			far.Spec.Times, far.Spec.Every, far.Spec.FirstAt = 2, time.Second, time.Now().Add(3*time.Second)
		}, 8000},
		"due later": {func(_ *Dispatcher, far *job) {
			far.Spec.Times, far.Spec.Every, far.Spec.FirstAt = 2, time.Minute, time.Now()
		}, 4000},
		"cancelled": {func(d *Dispatcher, far *job) {
			d.applyCancellation(far.ID, workload.Cancellation{Queue: far.Queue, Team: far.Team}, 0)
		}, 4000},
		"cancelled before the term": {func(d *Dispatcher, far *job) {
			d.pendingCancels.add(far.ID, workload.Cancellation{Queue: far.Queue, Team: far.Team}, 0, 1)
			submission, err := json.Marshal(workload.Submission{
				Queue: far.Queue, Pool: far.Pool, Team: far.Team, Spec: far.Spec, AtMillis: far.Submitted.UnixMilli(),
			})
			if err != nil {
				t.Fatal(err)
			}
			d.adoptJob(d.restoreJob(far.ID, submission, nil, d.now()))
		}, 4000},
		"answered": {func(d *Dispatcher, _ *job) { d.endCheck(d.agent("w1"), checkAnswered) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, _, far := newUnheardFixture(t)
			defer d.stop()
			c.change(d, far)
			use := d.unheardUses(d.Follower.Config().Teams, d.uncheckedPools())
			is.Equal(use["team"].CPUMilli, c.want)
		})
	}
}

// BenchmarkUnheardUses measures what a decision of a new leader with 16,000 open jobs takes in addition until all
// workers have answered.
func BenchmarkUnheardUses(b *testing.B) {
	d := newFixture(2)
	defer d.stop()
	d.storedWorkers["w1"], d.agent("w1").unchecked = "pool", true
	for i := range 16_000 {
		d.addJob(fmt.Sprintf("%016x", i), fleet.Step{Count: 10, Need: fleet.Resources{CPUMilli: 1000}})
	}
	teams := []fleet.Team{{Name: "team", UpperLimit: fleet.Resources{CPUMilli: 4000}}}
	for b.Loop() {
		d.unheardUses(teams, d.uncheckedPools())
	}
}

// TestLimitCountsUnclaimedRuns guards against a team that has more running than its limit: an earlier leader started a
// task without storing it, its worker has listed the run, and the new leader has not read the job, or takes its
// occurrence for not due yet. Until it knows the job, any team may be the one that runs it.
func TestLimitCountsUnclaimedRuns(t *testing.T) {
	cpu := func(milli int64) fleet.Resources { return fleet.Resources{CPUMilli: milli} }
	for name, x := range map[string]struct {
		change func(d *Dispatcher) // between the report and the decision
		want   int                 // assigned tasks of a core each; the limit is four cores
	}{
		"unread job":                        {func(*Dispatcher) {}, 0},
		"unread job on a small worker":      {func(d *Dispatcher) { d.agent("w0").entry.Capacity = cpu(1500) }, 2},
		"unread job on a worker of no pool": {func(d *Dispatcher) { d.agent("w0").entry = nil }, 0},
		"read job of the team": {func(d *Dispatcher) {
			d.addJob(unreadJob, fleet.Step{Count: 1, Need: cpu(1000)})
		}, 3},
		"occurrence that is not due": {func(d *Dispatcher) {
			j := d.addJob(unreadJob, fleet.Step{Count: 1, Need: cpu(1000)})
			j.Occurrences, j.NextOccurrence = nil, 0
			j.Spec.Times, j.Spec.FirstAt = 1, time.Now().Add(time.Hour)
		}, 3},
		"read job of another team": {func(d *Dispatcher) {
			d.addJob(unreadJob, fleet.Step{Count: 1, Need: cpu(1000)}).Team = "other"
		}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newUnreadFixture()
			defer d.stop()
			d.Follower = followConfig(t, &fleet.Config{
				Version: 1, Pools: []fleet.Pool{{Name: "pool"}},
				Teams:  []fleet.Team{{Name: "team", UpperLimit: cpu(4000)}, {Name: "other"}},
				Queues: []fleet.Queue{{Name: "queue", Pool: "pool", Stretch: 1}},
			})
			d.applyReport(d.agent("w0"), worker.Report{ClockMillis: 1, Running: []worker.Running{
				{Task: workload.TaskName(unreadJob, 0, 0, 0), Run: 1},
			}}, bootclock.Now())
			near := d.addJob("8899aabbccddeeff", fleet.Step{Count: 8, Need: cpu(1000)})
			x.change(d)
			d.claim(unreadJob)
			d.dirty["pool"] = true
			d.place()
			is.Equal(assigned(near), x.want)
		})
	}
}
