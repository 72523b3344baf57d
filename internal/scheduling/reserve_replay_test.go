package scheduling

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// loadReplay simulates a load of large tasks among small ones on a virtual clock.
type loadReplay struct {
	random   *rand.Rand
	workers  []*Worker
	running  map[*Worker][]scheduledRun
	waiting  []*replayTask
	waits    map[bool][]time.Duration // of small and of large tasks
	now      time.Time
	reserves bool
}

// scheduledRun is a run that returns its capacity at a time which differs from the expected one.
type scheduledRun struct {
	Release
	expected time.Time
}

type replayTask struct {
	want      PendingStep
	large     bool
	submitted time.Time
	took      time.Duration
}

const (
	replayWorkers  = 8
	replaySteps    = 3000
	replayInterval = 20 * time.Millisecond
	// overdue is how much longer a run is expected to take that has taken longer than expected.
	overdue = 200 * time.Millisecond
	// replayLargeShare is the share of the tasks that are large, replayLoad the offered load of all workers.
	replayLargeShare = 0.1
	replayLoad       = 0.9
	// meanWork is the mean of CPU need times run time of a task in thousandths of a core times seconds: nine tenths of
	// 3 cores and a tenth of 24 cores.
	meanWork = (1-replayLargeShare)*3000 + replayLargeShare*24000
)

// simulateLoad returns the waits of small and of large tasks.
func simulateLoad(seed uint64, reserves bool) (small, large []time.Duration) {
	r := &loadReplay{
		random: rand.New(rand.NewPCG(seed, 0)), running: map[*Worker][]scheduledRun{}, waits: map[bool][]time.Duration{},
		now: moment, reserves: reserves,
	}
	for i := range replayWorkers {
		r.workers = append(r.workers, newWorker(fmt.Sprint("w", i), 32000))
	}
	for n := range replaySteps {
		r.submit(n)
		r.end()
		r.place()
		r.now = r.now.Add(replayInterval)
	}
	for _, t := range r.waiting { // what never started has waited until the end
		r.waits[t.large] = append(r.waits[t.large], r.now.Sub(t.submitted))
	}
	return r.waits[false], r.waits[true]
}

// submit adds the tasks that arrive in one interval.
func (r *loadReplay) submit(n int) {
	perInterval := replayLoad * replayWorkers * 32000 * replayInterval.Seconds() / meanWork
	count := int(perInterval)
	if r.random.Float64() < perInterval-float64(count) {
		count++
	}
	for i := range count {
		t := &replayTask{submitted: r.now, large: r.random.Float64() < replayLargeShare}
		cpu := 1000 + r.random.Int64N(4000)
		if t.large {
			cpu = 20000 + r.random.Int64N(8000)
		}
		t.took = time.Duration(500+r.random.IntN(1000)) * time.Millisecond
		t.want = lasting(fmt.Sprint(n, "-", i), TierOnTime, cpu, time.Second)
		r.waiting = append(r.waiting, t)
	}
}

// end ends the runs whose time has come.
func (r *loadReplay) end() {
	for _, w := range r.workers {
		r.running[w] = slices.DeleteFunc(r.running[w], func(x scheduledRun) bool {
			if x.At.After(r.now) {
				return false
			}
			w.Free = w.Free.Add(x.Amount)
			w.Runs--
			return true
		})
	}
}

// place decides once. The planner expects a second for each run, which is the mean.
func (r *loadReplay) place() {
	for _, w := range r.workers {
		w.reservation, w.Releases = nil, nil
		if r.reserves {
			for _, x := range r.running[w] {
				at := x.expected
				if !at.After(r.now) {
					at = r.now.Add(overdue)
				}
				w.Releases = append(w.Releases, Release{At: at, Amount: x.Amount})
			}
		}
	}
	var wants []PendingStep
	for _, t := range r.waiting {
		t.want.Rank.Slack = t.submitted.Add(time.Minute).Sub(r.now)
		wants = append(wants, t.want)
	}
	for _, p := range Plan(r.workers, wants, Limits{}, r.now) {
		i := slices.IndexFunc(r.waiting, func(t *replayTask) bool { return t.want.Step == p.Task.Step })
		t := r.waiting[i]
		r.waiting = slices.Delete(r.waiting, i, i+1)
		r.waits[t.large] = append(r.waits[t.large], r.now.Sub(t.submitted))
		run := scheduledRun{Release{r.now.Add(t.took), t.want.Step.Spec.Charge()}, r.now.Add(t.want.Duration)}
		r.running[p.Worker] = append(r.running[p.Worker], run)
	}
}

func mean(waits []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, w := range waits {
		sum += w
	}
	return sum / time.Duration(max(len(waits), 1))
}

// TestLargeTasksWaitNoLongerThanTheirShare guards against large tasks that wait for as long as small ones arrive. It
// compares the waits of one load with and without reservations.
func TestLargeTasksWaitNoLongerThanTheirShare(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		smallBefore, largeBefore := simulateLoad(seed, false)
		small, large := simulateLoad(seed, true)
		t.Logf("seed %d, mean waits: large %v of %v, small %v of %v", seed, mean(large), mean(largeBefore), mean(small),
			mean(smallBefore))
		is.True(mean(large) < mean(largeBefore)) // large tasks wait as long as without reservations
	}
}
