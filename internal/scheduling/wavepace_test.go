package scheduling

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/disruption"
	"pollenlead/internal/runtimes"
)

// busyWave returns a wave of instances in some racks of a busy pool, of which none is selected yet.
func busyWave(instances, racks int) WaveView {
	p := &disruption.Pool{MinAvailablePercent: 60}
	v := WaveView{
		MaxDown: 6, Window: 24 * time.Second, TimeLeft: 24 * time.Second, TypicalDuration: 4 * time.Second,
		Pools: map[string]*disruption.Pool{"pool": p},
	}
	for n := range instances {
		i := WaveInstance{ID: fmt.Sprint(n), Pool: "pool", Phase: MaintenancePending, Up: true, Load: 0.9, Runs: 3}
		v.Instances = append(v.Instances, i)
		p.Instances = append(p.Instances, disruption.Instance{ID: i.ID, Rack: fmt.Sprint(n % racks), Live: true})
	}
	return v
}

// TestWaveIsPaced guards against a wave that waits for calm pools until it has to take all instances at once, shortly
// before its deadline, and against one that hurries below the availability budget of a pool.
func TestWaveIsPaced(t *testing.T) {
	is := is.New(t)
	v := busyWave(12, 3)
	is.Equal(v.Behind(), 0)
	v.TimeLeft = 19 * time.Second // a quarter of the window without the time of a drain
	is.Equal(v.Behind(), 3)
	is.Equal(len(NextForMaintenance(v)), 3)

	v = busyWave(12, 3)
	v.TimeLeft = 14 * time.Second // half
	is.Equal(v.Behind(), 6)
	is.Equal(len(NextForMaintenance(v)), 4) // eight of twelve stay
}

// TestSlowDrainsComeFirst guards against an instance with a slow drain that is selected after the quick ones of its
// pool.
func TestSlowDrainsComeFirst(t *testing.T) {
	is := is.New(t)
	v := busyWave(12, 3)
	v.TimeLeft = 18 * time.Second
	v.Instances[7].Duration = 6 * time.Second
	is.Equal(NextForMaintenance(v)[0], "7")
}

// TestWaitsNameTheReason guards against a wave that waits without an operator seeing why.
func TestWaitsNameTheReason(t *testing.T) {
	is := is.New(t)
	v := busyWave(12, 3)
	v.Instances[0].Up = false
	is.Equal(v.Waits(), map[WaitReason]int{WaitsForWorker: 1, WaitsForLoad: 11})
	for n := range v.Instances {
		v.Instances[n].Load = 0.1
	}
	v.Pools["pool"].Instances[1].Down, v.Instances[1].Phase = true, MaintenanceDraining
	is.Equal(v.Waits()[WaitsForRack], 7)
	v.Pools["pool"].MinAvailablePercent = 95
	is.Equal(v.Waits()[WaitsForBudget], 3)
}

// TestRunsToStop guards against a late run that is waited for although nothing else runs on its instance, against the
// stop of runs that are likely to be done in time, and of those with more work than a late instance is worth.
func TestRunsToStop(t *testing.T) {
	late := DrainRun{Elapsed: 5 * time.Second, Left: 6 * time.Second, Share: 0.1}
	likely := DrainRun{Elapsed: time.Second, Left: 300 * time.Millisecond, DoneInTime: 0.9, Share: 0.1}
	long := DrainRun{Elapsed: 5 * time.Minute, Left: 20 * time.Second, Share: 0.5}
	for name, x := range map[string]struct {
		runs []DrainRun
		stop []int
	}{
		"late":            {[]DrainRun{late}, []int{0}},
		"likely in time":  {[]DrainRun{likely}, nil},
		"late and likely": {[]DrainRun{likely, late}, []int{1}},
		"costs too much":  {[]DrainRun{long}, nil},
		"nothing gained":  {[]DrainRun{late, long}, nil},
		"longer to wait":  {[]DrainRun{{Elapsed: time.Minute, Left: time.Minute, Share: 1}}, []int{0}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(RunsToStop(x.runs), x.stop)
		})
	}
}

// heavyTail returns a run time of which three in a hundred are seven times as long.
func heavyTail(r *rand.Rand) time.Duration {
	x := math.Exp(0.5 * r.NormFloat64())
	if r.Float64() < 0.03 {
		x *= 7
	}
	return time.Duration(x * float64(time.Second))
}

// replayRun is a run of the replay; times are from the beginning of the wave.
type replayRun struct{ began, ends time.Duration }

// drainReplay is a wave over busy instances whose runs have heavy tails, on a virtual clock.
type drainReplay struct {
	WaveView
	model  *runtimes.Model
	runs   map[string][]replayRun
	downAt map[string]time.Duration
	lost   time.Duration
}

func newDrainReplay(r *rand.Rand) *drainReplay {
	d := &drainReplay{
		model: runtimes.NewModel(), runs: map[string][]replayRun{}, downAt: map[string]time.Duration{},
		WaveView: busyWave(96, 8),
	}
	d.MaxDown = 32
	for range 500 {
		d.model.Observe("queue", time.Second, heavyTail(r))
	}
	return d
}

// step advances the wave by one step. Instances that are not drained get new runs as theirs end.
func (d *drainReplay) step(r *rand.Rand) {
	now := d.Window - d.TimeLeft
	next := NextForMaintenance(d.WaveView)
	for n := range d.Instances {
		i := &d.Instances[n]
		if slices.Contains(next, i.ID) {
			i.Phase = MaintenanceDraining
		}
		d.runs[i.ID] = slices.DeleteFunc(d.runs[i.ID], func(x replayRun) bool { return x.ends <= now })
		switch {
		case i.Phase == MaintenanceOrdered && now >= d.downAt[i.ID]+2*time.Second:
			i.Phase, d.Pools["pool"].Instances[n].Down = MaintenanceDone, false
		case i.Phase == MaintenancePending && len(d.runs[i.ID]) < 8:
			d.runs[i.ID] = append(d.runs[i.ID], replayRun{now, now + heavyTail(r)})
		case i.Phase == MaintenanceDraining:
			if d.stopLate(i.ID, now); len(d.runs[i.ID]) == 0 {
				i.Phase, d.downAt[i.ID] = MaintenanceOrdered, now
			}
		}
	}
	d.TimeLeft -= 150 * time.Millisecond
}

func (d *drainReplay) stopLate(id string, now time.Duration) {
	var views []DrainRun
	for _, x := range d.runs[id] {
		views = append(views, DrainRun{
			Elapsed: now - x.began, Left: d.model.TimeLeft("queue", time.Second, now-x.began), Share: 0.1,
			DoneInTime: d.model.DoneWithin("queue", time.Second, now-x.began, d.TimeLeft-2*time.Second),
		})
	}
	for _, n := range RunsToStop(views) {
		d.lost += now - d.runs[id][n].began
		d.runs[id][n].ends = now
	}
	d.runs[id] = slices.DeleteFunc(d.runs[id], func(x replayRun) bool { return x.ends <= now })
}

// TestWaveWithHeavyTailsIsInTime guards against instances whose maintenance begins after the deadline because one of
// their runs takes several times as long as usual, and against stops that throw away much of what runs.
func TestWaveWithHeavyTailsIsInTime(t *testing.T) {
	for seed := range uint64(8) {
		is := is.New(t)
		r := rand.New(rand.NewPCG(seed, 0))
		d := newDrainReplay(r)
		for d.TimeLeft > 0 {
			d.step(r)
		}
		is.Equal(len(d.downAt), len(d.Instances))
		is.True(d.lost < 96*8*d.Window/40) // a fortieth of the work
	}
}

// TestDrainsGoOnWhileOthersAreDown guards against a wave that is behind its pace and selects nothing because as many
// instances are down, or may be after a change of the leader, as it allows.
func TestDrainsGoOnWhileOthersAreDown(t *testing.T) {
	is := is.New(t)
	v := busyWave(12, 3)
	v.MaxDown, v.TimeLeft = 2, 14*time.Second
	for n := range 2 {
		v.Instances[n].Phase, v.Pools["pool"].Instances[n].Down = MaintenanceOrdered, true
	}
	is.Equal(len(NextForMaintenance(v)), 2)
	v.TimeLeft = 24 * time.Second
	is.Equal(len(NextForMaintenance(v)), 0)
}
