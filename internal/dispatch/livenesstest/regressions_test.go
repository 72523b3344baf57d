package livenesstest

import (
	"strings"
	"testing"
	"time"

	"pollenlead/internal/fleet"
)

// regressions are the smallest cases of faults that the check has found.
var regressions = map[string]scenario{
	// The progress of a job exceeded a record of the store, and nothing of any job was stored any more.
	"large job stops all work": {
		Workers: []workerSpec{{Pool: "p0", Label: "a", Rack: "r0", CPU: 16000}},
		Queues:  map[string]string{"q0": "p0"},
		Jobs: []jobSpec{
			oneStep(0, "q0", fleet.Step{Count: 200, Need: milli(10)}, 20*time.Second),
			oneStep(time.Second, "q0", fleet.Step{Count: 1, Need: milli(10)}, time.Second),
		},
	},
	// A task that had failed once was never placed again, as only the worker of its failure may run it.
	"failed task has one worker": {
		FailPercent: 100,
		Workers: []workerSpec{
			{Pool: "p0", Label: "a", Rack: "r0", CPU: 8000}, {Pool: "p0", Label: "b", Rack: "r0", CPU: 8000},
		},
		Queues: map[string]string{"q0": "p0"},
		Jobs: []jobSpec{
			oneStep(0, "q0", fleet.Step{Count: 1, Need: milli(500), RequiredLabel: "b"}, 2*time.Second),
			oneStep(0, "q0", fleet.Step{
				Count: 2, Need: milli(500), MaxPerWorker: 1, LongRunning: true, MayMiss: 1,
			}, 0),
		},
	},
	// Accepted jobs stayed in the full pool to which their queue had led before.
	"queue moves": {
		Workers: []workerSpec{
			{Pool: "p0", Label: "a", Rack: "r0", CPU: 4000}, {Pool: "p1", Label: "a", Rack: "r0", CPU: 8000},
		},
		Queues: map[string]string{"q0": "p0", "q1": "p0"},
		Jobs: []jobSpec{
			oneStep(0, "q0", fleet.Step{Count: 1, Need: milli(4000), LongRunning: true, MayMiss: 1}, 0),
			oneStep(time.Second, "q1", fleet.Step{Count: 1, Need: milli(500)}, time.Second),
		},
		Events: []event{{At: 3 * time.Second, Kind: "queue moves", Queue: "q1", Pool: "p1"}},
	},
	// Members of an interrupted gang were started from different checkpoints.
	"interrupted gang": {
		Workers: []workerSpec{
			{Pool: "p0", Label: "a", Rack: "r0", CPU: 4000}, {Pool: "p0", Label: "a", Rack: "r0", CPU: 4000},
			{Pool: "p0", Label: "a", Rack: "r0", CPU: 4000}, {Pool: "p0", Label: "a", Rack: "r0", CPU: 4000},
		},
		Queues: map[string]string{"q0": "p0"},
		Jobs: []jobSpec{oneStep(0, "q0", fleet.Step{
			Count: 3, Need: milli(500), Gang: true, Checkpoints: true, MaxPerWorker: 1,
		}, 4*time.Second)},
		Events: []event{{At: 2 * time.Second, Kind: "restart", Worker: 0}, {At: 2 * time.Second, Kind: "restart", Worker: 1}},
	},
	// Jobs whose starts were refused were left out of the pending ones.
	"refused starts": {
		Workers: []workerSpec{{Pool: "p0", Label: "a", Rack: "r0", CPU: 8000}},
		Queues:  map[string]string{"q0": "p0"},
		Jobs: []jobSpec{
			oneStep(time.Second, "q0", fleet.Step{Count: 1, Need: milli(500)}, time.Second),
			oneStep(time.Second, "q0", fleet.Step{Count: 1, Need: milli(500)}, time.Second),
		},
		Events: []event{{At: 500 * time.Millisecond, Kind: "unhealthy", For: 8 * time.Second}},
	},
}

// TestListBehindAReturnKeepsRuns guards against a list of instances that shows a worker as down after it has come back
// under its ID. The leader had reports of the new life, dropped the runs of it and started their tasks elsewhere. On the
// code of f12bb51, 15 of 20 plays found that.
func TestListBehindAReturnKeepsRuns(t *testing.T) {
	const plays = 10
	s := scenario{
		Workers: []workerSpec{
			{Pool: "p0", Label: "a", Rack: "r0", CPU: 8000}, {Pool: "p0", Label: "a", Rack: "r0", CPU: 8000},
			{Pool: "p0", Label: "a", Rack: "r0", CPU: 8000},
		},
		Queues: map[string]string{"q0": "p0"},
		Jobs:   []jobSpec{oneStep(0, "q0", fleet.Step{Count: 12, Need: milli(1000)}, 8*time.Second)},
		Events: []event{{At: 3 * time.Second, Kind: "return", Worker: 0, For: 2001 * time.Millisecond, Lag: time.Second}},
	}
	for range plays {
		if x := play(t, s); len(x.violations) > 0 {
			t.Fatal(strings.Join(x.violations, "\n"))
		}
	}
}

func milli(cpu int64) fleet.Resources { return fleet.Resources{CPUMilli: cpu, MemoryMB: 10} }

func oneStep(at time.Duration, queue string, step fleet.Step, duration time.Duration) jobSpec {
	step.Estimate = time.Second
	return jobSpec{At: at, Queue: queue, Steps: []fleet.Step{step}, Durations: []time.Duration{duration}}
}

// TestRegressions guards against the return of faults that the check has found. Each case says which.
func TestRegressions(t *testing.T) {
	for name, s := range regressions {
		t.Run(name, func(t *testing.T) {
			if x := play(t, s); len(x.violations) > 0 {
				t.Fatal(strings.Join(x.violations, "\n"))
			}
		})
	}
}
