package scheduling

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/disruption"
	"pollenlead/internal/fleet"
	"pollenlead/internal/workload"
)

var moment = time.UnixMilli(1_000_000)

// newLongRunningJob returns a job with one long-running step whose tasks are all in service.
func newLongRunningJob(count, mayMiss int) *workload.Job {
	spec := &fleet.JobSpec{Steps: []fleet.Step{{Count: count, LongRunning: true, MayMiss: mayMiss}}}
	j := workload.NewJob("id", "q", "pool", "", spec, moment)
	j.Advance(moment, 0)
	for i := range count {
		r := j.Task(0, 0, i).Assign(fmt.Sprintf("w%d", i), 1, moment)
		r.Phase, r.Percent, r.SeenAt = workload.RunActive, 100, moment
	}
	return j
}

// TestMayStopCountsSilentWorkers guards against a planned stop while another task of the step is on a worker that no
// longer responds: the last report of that worker still shows the task in service.
func TestMayStopCountsSilentWorkers(t *testing.T) {
	is := is.New(t)
	j := newLongRunningJob(3, 1)
	is.True(MayStop(j.Task(0, 0, 0), moment))
	now := moment.Add(maxReportAge + time.Millisecond)
	j.Task(0, 0, 0).Runs[0].SeenAt = now
	j.Task(0, 0, 1).Runs[0].SeenAt = now
	is.True(!MayStop(j.Task(0, 0, 0), now)) // task 2 may be gone
}

// TestMayStopOneAtATime guards against a second planned stop before the first task is in service again.
func TestMayStopOneAtATime(t *testing.T) {
	is := is.New(t)
	j := newLongRunningJob(3, 1)
	j.Task(0, 0, 1).Runs[0].Phase = workload.RunStopping
	is.True(!MayStop(j.Task(0, 0, 0), moment))
	j = newLongRunningJob(3, 2)
	j.Task(0, 0, 1).Runs[0].Percent = 30
	is.True(MayStop(j.Task(0, 0, 0), moment))
}

func view(pending, ordered int) WaveView {
	v := WaveView{
		MaxDown: 2, TimeLeft: time.Minute, TypicalDuration: 4 * time.Second, Pools: map[string]*disruption.Pool{},
	}
	pool := &disruption.Pool{Name: "pool", MinAvailablePercent: 60}
	v.Pools["pool"] = pool
	for i := range pending + ordered {
		id := fmt.Sprintf("m%d", i)
		phase := MaintenancePending
		if i >= pending {
			phase = MaintenanceOrdered
		}
		v.Instances = append(v.Instances, WaveInstance{ID: id, Pool: "pool", Phase: phase, Up: true, Load: 0.2})
		pool.Instances = append(pool.Instances, disruption.Instance{
			ID: id, Rack: "r1", Live: true, Down: phase == MaintenanceOrdered,
		})
	}
	return v
}

// TestNextForMaintenanceKeepsTheBound guards against more instances down than the wave allows.
func TestNextForMaintenanceKeepsTheBound(t *testing.T) {
	is := is.New(t)
	is.Equal(len(NextForMaintenance(view(8, 0))), 2)
	is.Equal(len(NextForMaintenance(view(8, 1))), 1)
	is.Equal(len(NextForMaintenance(view(8, 2))), 0)
}

// TestNextForMaintenanceWaitsForLowLoad guards against selecting instances of a busy pool while the wave has time,
// and against missing the deadline by waiting for low load.
func TestNextForMaintenanceWaitsForLowLoad(t *testing.T) {
	is := is.New(t)
	v := view(8, 0)
	for i := range v.Instances {
		v.Instances[i].Load = 0.95
	}
	is.Equal(len(NextForMaintenance(v)), 0)
	v.TimeLeft = 10 * time.Second
	is.Equal(len(NextForMaintenance(v)), 2)
}

// TestNextForMaintenancePrefersUnusedInstances guards against maintenance of busy instances while others are switched
// off or idle.
func TestNextForMaintenancePrefersUnusedInstances(t *testing.T) {
	is := is.New(t)
	v := view(8, 0)
	v.MaxDown = 3
	for i := range v.Instances {
		v.Instances[i].Runs = 4
	}
	v.Instances[6].Runs = 0
	v.Instances[7].Up, v.Instances[7].Off, v.Instances[7].Pool = false, true, "off"
	v.Instances[5].Load = 0.1
	is.Equal(NextForMaintenance(v), []string{"m7", "m6", "m5"})
}

// TestLongDrainsStartEarly guards against a wave that misses its deadline: an instance with many tasks of one
// long-running step, which leave it one after the other, was selected as late as any other instance.
func TestLongDrainsStartEarly(t *testing.T) {
	is := is.New(t)
	j := newLongRunningJob(7, 1)
	var runs []*workload.Run
	for i := range 7 {
		runs = append(runs, j.Task(0, 0, i).Runs[0])
	}
	is.Equal(DrainTime(nil, 2*time.Second, time.Second), 2*time.Second)
	is.Equal(DrainTime(runs, 2*time.Second, time.Second), 7*time.Second)
	j.Spec.Steps[0].MayMiss = 3
	is.Equal(DrainTime(runs, 2*time.Second, time.Second), 3*time.Second)

	v := view(4, 0)
	v.MaxDown, v.TimeLeft = 1, 12*time.Second
	for i := range v.Instances {
		v.Instances[i].Load, v.Instances[i].Runs, v.Instances[i].Duration = 0.9, 3, time.Second
	}
	v.TypicalDuration = time.Second
	is.Equal(len(NextForMaintenance(v)), 0) // busy, and there is time
	v.Instances[2].Duration = 9 * time.Second
	is.Equal(NextForMaintenance(v), []string{"m2"})
}

// TestWavePrefersEvacuatedInstances guards against a wave that takes room from a pool while instances of an evacuated
// zone are idle, and against one that waits for the load of the pool before it takes these.
func TestWavePrefersEvacuatedInstances(t *testing.T) {
	is := is.New(t)
	instance := func(id string, runs int, evacuated bool) WaveInstance {
		return WaveInstance{
			ID: id, Pool: "pool", Phase: MaintenancePending, Up: true, Runs: runs, Load: 0.9, Evacuated: evacuated,
		}
	}
	view := WaveView{
		Instances: []WaveInstance{instance("idle", 0, false), instance("busy", 3, true), instance("evacuated", 0, true)},
		MaxDown:   3, TimeLeft: time.Hour, TypicalDuration: time.Second,
		Pools: map[string]*disruption.Pool{"pool": {Name: "pool"}},
	}
	is.Equal(NextForMaintenance(view), []string{"evacuated"})
}
