package livenesstest

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/dispatch"
	"pollenlead/internal/fleet"
	"pollenlead/internal/worker"
)

var (
	logLeader  = flag.Bool("liveness.log", false, "write the log of the leaders")
	showCounts = flag.Bool("liveness.counts", false, "write how often each shape and event was met")
	nextLife   = flag.Bool("liveness.next-life", false,
		"let the next life of a worker carry out the orders for the former one, a fault that the check has to find")
)

var dispatchNotLoaded = dispatch.ErrNotLoaded

// counts is how often each shape and event was met.
type counts map[string]int

func (c counts) add(what string) { c[what]++ }

func (c counts) write() {
	for _, what := range slices.Sorted(maps.Keys(c)) {
		fmt.Printf("%-40s %d\n", what, c[what])
	}
}

// scenario is one random case. Its fields are exported so that a failure is printed as a whole.
type scenario struct {
	Seed        int
	FailPercent int
	Workers     []workerSpec
	Queues      map[string]string // pools by queue
	Jobs        []jobSpec
	Events      []event
}

type workerSpec struct {
	Pool, Label, Rack string
	CPU               int64
}

type jobSpec struct {
	At        time.Duration
	Queue     string
	Times     int
	Every     time.Duration
	Steps     []fleet.Step
	Durations []time.Duration // by step; 0 for a step that lasts
	// CancelAfter is the time from the acceptance to the cancellation; 0 if there is none.
	CancelAfter time.Duration
}

// event is a disruption.
type event struct {
	At     time.Duration
	Kind   string
	Worker int
	For    time.Duration
	Queue  string
	Pool   string
	// Lag is the time after which the list of instances shows a return.
	Lag time.Duration
}

var eventKinds = []string{
	"crash", "restart", "drain", "silent", "unhealthy", "lossy", "late", "store busy", "store lossy", "leader killed",
	"leader overlaps", "queue moves", "return", "return",
}

func (s scenario) log() zerolog.Logger {
	if *logLeader {
		return zerolog.New(zerolog.ConsoleWriter{Out: os.Stdout, NoColor: true}).With().Timestamp().Logger()
	}
	return zerolog.New(io.Discard).Level(zerolog.Disabled)
}

func millisBetween(t *rapid.T, low, high int, label string) time.Duration {
	return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
}

func drawStep(t *rapid.T, index int) (fleet.Step, time.Duration) {
	s := fleet.Step{
		Count: rapid.SampledFrom([]int{1, 1, 2, 3, 4, 8, 100}).Draw(t, "count"),
		Need: fleet.Resources{
			CPUMilli: rapid.SampledFrom([]int64{10, 500, 1000, 3000}).Draw(t, "cpu"), MemoryMB: 100,
		},
		Estimate:      time.Second,
		Checkpoints:   rapid.Bool().Draw(t, "checkpoints"),
		Gang:          rapid.IntRange(0, 3).Draw(t, "gang") == 0,
		RequiredLabel: rapid.SampledFrom([]string{"", "", "a", "b"}).Draw(t, "label"),
		DataRack:      rapid.SampledFrom([]string{"", "", "r0"}).Draw(t, "data rack"),
		SameRack:      rapid.IntRange(0, 3).Draw(t, "same rack") == 0,
		MaxPerWorker:  rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(t, "spread"),
		Filler:        rapid.IntRange(0, 9).Draw(t, "filler") == 0,
	}
	if s.Count == 100 {
		s.Need.CPUMilli, s.Gang = 10, false
	}
	if index > 0 && rapid.Bool().Draw(t, "depends") {
		s.DependsOn = []int{index - 1}
	}
	duration := millisBetween(t, 100, 4000, "duration")
	if !s.Gang && rapid.IntRange(0, 5).Draw(t, "lasts") == 0 {
		s.LongRunning, s.MayMiss, duration = true, 1, 0
	}
	return s, duration
}

func drawJob(t *rapid.T) jobSpec {
	j := jobSpec{
		At:    millisBetween(t, 0, 8000, "submitted"),
		Queue: rapid.SampledFrom([]string{"q0", "q1"}).Draw(t, "queue"),
		Times: rapid.SampledFrom([]int{0, 0, 0, 1, 3}).Draw(t, "times"),
		Every: millisBetween(t, 200, 3000, "every"),
	}
	for n := range rapid.IntRange(1, 3).Draw(t, "steps") {
		s, duration := drawStep(t, n)
		j.Steps, j.Durations = append(j.Steps, s), append(j.Durations, duration)
	}
	if rapid.IntRange(0, 6).Draw(t, "cancelled") == 0 {
		j.CancelAfter = millisBetween(t, 100, 6000, "cancelled after")
	}
	return j
}

func drawScenario(t *rapid.T) scenario {
	s := scenario{
		Seed: rapid.IntRange(0, 1<<20).Draw(t, "seed"), Queues: map[string]string{"q0": "p0", "q1": "p1"},
		FailPercent: rapid.SampledFrom([]int{0, 10, 50}).Draw(t, "fail percent"),
	}
	for range rapid.IntRange(2, 7).Draw(t, "workers") {
		s.Workers = append(s.Workers, workerSpec{
			Pool:  rapid.SampledFrom([]string{"p0", "p0", "p1"}).Draw(t, "pool"),
			Label: rapid.SampledFrom([]string{"a", "a", "b"}).Draw(t, "kind"),
			Rack:  rapid.SampledFrom([]string{"r0", "r1"}).Draw(t, "rack"),
			CPU:   rapid.SampledFrom([]int64{4000, 8000, 16000}).Draw(t, "capacity"),
		})
	}
	for range rapid.IntRange(1, 6).Draw(t, "jobs") {
		s.Jobs = append(s.Jobs, drawJob(t))
	}
	for range rapid.IntRange(0, 5).Draw(t, "events") {
		s.Events = append(s.Events, event{
			At: millisBetween(t, 0, 12000, "at"), Kind: rapid.SampledFrom(eventKinds).Draw(t, "kind"),
			Worker: rapid.IntRange(0, len(s.Workers)-1).Draw(t, "worker"), For: millisBetween(t, 100, 6500, "for"),
			Queue: rapid.SampledFrom([]string{"q0", "q1"}).Draw(t, "moved queue"),
			Pool:  rapid.SampledFrom([]string{"p0", "p1"}).Draw(t, "new pool"),
			Lag:   millisBetween(t, 0, 1000, "lag"),
		})
	}
	slices.SortStableFunc(s.Events, func(a, b event) int { return int(a.At - b.At) })
	return s
}

// action is something that happens at a time of the scenario.
type action struct {
	at time.Duration
	do func(x *world, now time.Time)
}

// TestMain limits the tests to one processor: the goroutines of a scenario wait for each other all the time, and take a
// multiple of the time on several.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}

// fixedSeed is the seed of the cases unless -rapid.seed sets another one.
const fixedSeed = "20261205"

// TestWorkOfAnyShapeRuns guards against accepted work that may run and does not, whatever its shape, and against work
// that waits behind another job's record, queue or worker. -rapid.checks sets the number of cases.
func TestWorkOfAnyShapeRuns(t *testing.T) {
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		if err := flag.Set("rapid.seed", fixedSeed); err != nil {
			t.Fatal(err)
		}
	}
	total, violated := counts{}, false
	if *showCounts {
		t.Cleanup(func() { total.write() })
	}
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		x := play(t, s)
		if !violated { // the cases after that are smaller ones of the same fault
			total.add("cases")
			for what, n := range x.counts {
				total[what] += n
			}
		}
		if len(x.violations) > 0 {
			violated = true
			rt.Fatalf("%s\n%+v", strings.Join(x.violations, "\n"), s)
		}
	})
}

// play plays a scenario on a virtual clock.
func play(t *testing.T, s scenario) (x *world) {
	synctest.Test(t, func(t *testing.T) {
		boot := time.Now().Add(-time.Hour)
		defer bootclock.SetSource(func() time.Duration { return time.Since(boot) })()
		x = newWorld(s)
		x.run()
	})
	return x
}

const (
	// maxScenario bounds the time of a scenario.
	maxScenario = 90 * time.Second
	// endTime is the time in which calls that are in flight at the end of a scenario return.
	endTime = 10 * time.Second
)

func (x *world) run() {
	ctx, stop := context.WithCancel(context.Background())
	began := time.Now()
	x.disrupted = began
	x.mu.Lock()
	for n, w := range x.scenario.Workers {
		id := fmt.Sprintf("i-%d", n)
		m := &workerModel{
			id: id, pool: w.Pool, labels: []string{w.Label, w.Rack}, up: true,
			capacity: fleet.Resources{CPUMilli: w.CPU, MemoryMB: 65536},
		}
		m.reset(began)
		x.workers[id] = m
		x.writeEntry(m)
	}
	x.publish()
	go x.follower.Run(ctx)
	x.lead(ctx)
	actions := x.actions(ctx)
	x.mu.Unlock()

	lastBeat, lastObserved := began, began
	for now := time.Now(); now.Sub(began) < maxScenario; now = time.Now() {
		x.mu.Lock()
		for len(actions) > 0 && now.Sub(began) >= actions[0].at {
			actions[0].do(x, now)
			actions = actions[1:]
		}
		for _, w := range x.workers {
			x.advance(w, now)
			if w.up && now.Sub(lastBeat) >= heartbeat {
				x.writeEntry(w)
			}
		}
		if now.Sub(lastBeat) >= heartbeat {
			lastBeat = now
		}
		over := len(x.violations) > 0 || len(actions) == 0 && x.finished(now)
		x.mu.Unlock()
		if over {
			break
		}
		if now.Sub(lastObserved) >= observation {
			x.observe(now)
			lastObserved = now
		}
		time.Sleep(stepTime)
	}
	stop()
	x.mu.Lock()
	for _, w := range x.workers {
		x.endDark(w)
	}
	x.mu.Unlock()
	x.leaders.Wait()
	time.Sleep(endTime)
	synctest.Wait()
}

// actions returns the submissions, cancellations and disruptions in the order of their times. Callers hold mu.
func (x *world) actions(ctx context.Context) []action {
	var list []action
	add := func(at time.Duration, do func(x *world, now time.Time)) { list = append(list, action{at, do}) }
	for n, spec := range x.scenario.Jobs {
		for i := range spec.Steps {
			x.countShape(&spec.Steps[i], spec.Times)
		}
		var job *jobModel
		add(spec.At, func(x *world, now time.Time) {
			work := &fleet.JobSpec{Spec: "x", Steps: spec.Steps, Times: spec.Times, Every: spec.Every}
			if spec.Times > 0 {
				work.FirstAt = now.Add(time.Second)
			}
			job = newJobModel(fmt.Sprintf("%016x", n+1), spec.Queue, work, spec.Durations)
			x.submit(job)
			x.disrupted = later(x.disrupted, now)
		})
		if spec.CancelAfter > 0 {
			add(spec.At+spec.CancelAfter, func(x *world, now time.Time) {
				x.cancelJob(job)
				x.disrupted = later(x.disrupted, now)
			})
		}
	}
	for _, e := range x.scenario.Events {
		add(e.At, func(x *world, now time.Time) {
			x.counts.add("event " + e.Kind)
			x.disrupted = later(x.disrupted, now.Add(e.For))
			if strings.HasPrefix(e.Kind, "store") || strings.HasPrefix(e.Kind, "leader") {
				x.storeDisrupted = later(x.storeDisrupted, now.Add(e.For))
			}
			x.disrupt(ctx, e, now)
		})
		switch e.Kind {
		case "crash":
			add(e.At+3*heartbeat, func(x *world, _ time.Time) {
				x.store.put(topicWorkers, 0, x.workerID(e), nil)
			})
		case "return":
			add(e.At+darkTime(e), func(x *world, now time.Time) { x.comeBack(x.workers[x.workerID(e)], e, now) })
		case "drain":
			add(e.At+e.For, func(x *world, now time.Time) {
				x.endDark(x.workers[x.workerID(e)])
				x.crash(x.workers[x.workerID(e)], now)
				x.store.put(topicWorkers, 0, x.workerID(e), nil)
			})
		case "leader killed":
			add(e.At+e.For, func(x *world, _ time.Time) {
				if x.leader == nil {
					x.lead(ctx)
				}
			})
		}
	}
	slices.SortStableFunc(list, func(a, b action) int { return int(a.at - b.at) })
	return list
}

func (x *world) countShape(s *fleet.Step, times int) {
	for shape, met := range map[string]bool{
		"shape gang": s.Gang, "shape checkpoints": s.Checkpoints, "shape label": s.RequiredLabel != "",
		"shape data rack": s.DataRack != "", "shape same rack": s.SameRack, "shape tasks per worker": s.MaxPerWorker > 0,
		"shape long-running": s.LongRunning, "shape depends": len(s.DependsOn) > 0, "shape large": s.Count >= 100,
		"shape occurrences": times > 0, "shape filler": s.Filler,
	} {
		if met {
			x.counts.add(shape)
		}
	}
}

func (x *world) workerID(e event) string { return fmt.Sprintf("i-%d", e.Worker) }

// crash ends a worker. Callers hold mu.
func (x *world) crash(w *workerModel, now time.Time) {
	for _, r := range w.running {
		r.item.lastEnd = now
		x.breakGang(r)
	}
	for _, e := range w.ends {
		if i := x.item(e.Task); i != nil && e.Kind == worker.EndDone && !i.acknowledged {
			i.unsure = true
		}
	}
	w.up = false
	w.running = map[string]*runModel{}
	x.notify()
}

// maxDark bounds the time between the end of a worker's life and its return.
const maxDark = 2 * time.Second

// darkTime returns the time for which a worker is dark in an event of the kind "return".
func darkTime(e event) time.Duration { return min(e.For/2, maxDark) }

// goDark ends a worker until it comes back under its ID. Calls wait meanwhile. Callers hold mu.
func (x *world) goDark(w *workerModel, e event, now time.Time) {
	if !w.up {
		return
	}
	x.counts.add("return: worker dark")
	w.listed, w.listedUntil = x.instance(w, now), now.Add(e.Lag)
	x.crash(w, now)
	w.dark = make(chan struct{})
}

// comeBack begins the next life of a worker that is dark. In half of the cases its answers are lost for the rest of the
// event. Callers hold mu.
func (x *world) comeBack(w *workerModel, e event, now time.Time) {
	if w.dark == nil {
		return
	}
	x.counts.add("return: worker back")
	w.listed, w.listedUntil = x.instance(w, now), now.Add(e.Lag)
	x.endDark(w)
	w.reset(now)
	w.up, w.draining = true, false
	if e.For/time.Millisecond%2 == 0 {
		x.counts.add("return: cut off at once")
		w.lossyUntil = now.Add(e.For - darkTime(e))
	}
	x.writeEntry(w)
}

// endDark lets the calls that wait for the worker go on. Callers hold mu.
func (x *world) endDark(w *workerModel) {
	if w.dark != nil {
		close(w.dark)
		w.dark = nil
	}
}

// disrupt begins a disruption. Callers hold mu.
func (x *world) disrupt(ctx context.Context, e event, now time.Time) {
	w, until := x.workers[x.workerID(e)], now.Add(e.For)
	switch e.Kind {
	case "crash":
		x.endDark(w)
		x.crash(w, now)
	case "return":
		x.goDark(w, e, now)
	case "restart":
		x.endDark(w)
		x.crash(w, now)
		w.reset(now)
		w.up, w.draining = true, false
		x.writeEntry(w)
	case "drain":
		w.draining = true
		x.writeEntry(w)
	case "silent":
		w.silentUntil = until
	case "unhealthy":
		w.unhealthyUntil = until
	case "lossy":
		w.lossyUntil = until
	case "late":
		w.lateUntil = until
	case "store busy":
		x.store.fault(func(s *storeModel) { s.busyUntil = until })
	case "store lossy":
		x.store.fault(func(s *storeModel) { s.lossyUntil = until })
	case "leader killed":
		x.cancel()
		x.leader = nil
	case "leader overlaps":
		former := x.cancel
		x.lead(ctx)
		time.AfterFunc(e.For, former)
	case "queue moves":
		x.pools[e.Queue] = e.Pool
		x.publish()
	}
}

func (s *storeModel) fault(set func(*storeModel)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set(s)
}
