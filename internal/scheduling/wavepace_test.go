package scheduling

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/disruption"
	"pollenlead/internal/runtimes"
)

// busyWave returns a wave of twelve instances in three racks of a busy pool, of which none is selected yet.
func busyWave() WaveView {
	v := WaveView{
		MaxDown: 6, Window: 24 * time.Second, TimeLeft: 24 * time.Second, TypicalDuration: 4 * time.Second,
		Pools: map[string]*disruption.Pool{"pool": {MinAvailablePercent: 60}},
	}
	for n := range 12 {
		i := WaveInstance{ID: fmt.Sprint(n), Pool: "pool", Phase: MaintenancePending, Up: true, Load: 0.9, Runs: 3}
		v.Instances = append(v.Instances, i)
		p := v.Pools["pool"]
		p.Instances = append(p.Instances, disruption.Instance{ID: i.ID, Rack: fmt.Sprint(n % 3), Live: true})
	}
	return v
}

// TestWaveIsPaced guards against a wave that waits for calm pools until it has to take all instances at once, shortly
// before its deadline, and against one that hurries below the availability budget of a pool.
func TestWaveIsPaced(t *testing.T) {
	is := is.New(t)
	v := busyWave()
	is.Equal(v.Behind(), 0)
	v.TimeLeft = 19 * time.Second // a quarter of the window without the time of a drain
	is.Equal(v.Behind(), 3)
	is.Equal(len(NextForMaintenance(v)), 3)

	v = busyWave()
	v.TimeLeft = 14 * time.Second // half
	is.Equal(v.Behind(), 6)
	is.Equal(len(NextForMaintenance(v)), 4) // eight of twelve stay
}

// TestSlowDrainsComeFirst guards against an instance with a slow drain that is selected after the quick ones of its pool.
func TestSlowDrainsComeFirst(t *testing.T) {
	is := is.New(t)
	v := busyWave()
	v.TimeLeft = 18 * time.Second
	v.Instances[7].Duration = 6 * time.Second
	is.Equal(NextForMaintenance(v)[0], "7")
}

// TestWaitsNameTheReason guards against a wave that waits without an operator seeing why.
func TestWaitsNameTheReason(t *testing.T) {
	is := is.New(t)
	v := busyWave()
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

// drainReplay is a wave over busy instances whose runs have heavy tails, on a virtual clock.
type drainReplay struct {
	WaveView
	model *runtimes.Model
	// began and takes are, by instance, the begins and the durations of the runs; downAt is when its maintenance begins.
	began, takes map[string][]time.Duration
	downAt       map[string]time.Duration
	lost         time.Duration
	now          time.Duration
}

func newDrainReplay(r *rand.Rand, instances int) *drainReplay {
	d := &drainReplay{
		model: runtimes.NewModel(), began: map[string][]time.Duration{}, takes: map[string][]time.Duration{},
		downAt: map[string]time.Duration{}, WaveView: busyWave(),
	}
	d.MaxDown, d.Instances = instances/3, nil
	p := d.Pools["pool"]
	p.Instances = nil
	for n := range instances {
		id := fmt.Sprint(n)
		d.Instances = append(d.Instances, WaveInstance{ID: id, Pool: "pool", Phase: MaintenancePending, Up: true, Load: 0.9})
		p.Instances = append(p.Instances, disruption.Instance{ID: id, Rack: fmt.Sprint(n % 8), Live: true})
	}
	for range 500 {
		d.model.Observe("queue", time.Second, heavyTail(r))
	}
	return d
}

// step advances the wave by one step. Instances that are not drained get new runs as theirs end.
func (d *drainReplay) step(r *rand.Rand) {
	d.TimeLeft = d.Window - d.now
	for _, id := range NextForMaintenance(d.WaveView) {
		d.phase(id).Phase = MaintenanceDraining
	}
	for n := range d.Instances {
		i := &d.Instances[n]
		d.endRuns(i.ID, d.now)
		switch {
		case i.Phase == MaintenanceOrdered && d.now >= d.downAt[i.ID]+2*time.Second:
			i.Phase, d.Pools["pool"].Instances[n].Down = MaintenanceDone, false
		case i.Phase == MaintenancePending && len(d.began[i.ID]) < 8:
			d.began[i.ID], d.takes[i.ID] = append(d.began[i.ID], d.now), append(d.takes[i.ID], heavyTail(r))
		case i.Phase == MaintenanceDraining:
			d.stopLate(i.ID)
			if len(d.began[i.ID]) == 0 {
				i.Phase, d.downAt[i.ID] = MaintenanceOrdered, d.now
			}
		}
	}
	d.now += 150 * time.Millisecond
}

func (d *drainReplay) phase(id string) *WaveInstance {
	for n := range d.Instances {
		if d.Instances[n].ID == id {
			return &d.Instances[n]
		}
	}
	return nil
}

func (d *drainReplay) endRuns(id string, now time.Duration) {
	var began, takes []time.Duration
	for n, b := range d.began[id] {
		if b+d.takes[id][n] > now {
			began, takes = append(began, b), append(takes, d.takes[id][n])
		}
	}
	d.began[id], d.takes[id] = began, takes
}

func (d *drainReplay) stopLate(id string) {
	var runs []DrainRun
	for _, b := range d.began[id] {
		elapsed := d.now - b
		runs = append(runs, DrainRun{
			Elapsed: elapsed, Left: d.model.TimeLeft("queue", time.Second, elapsed), Share: 0.1,
			DoneInTime: d.model.DoneWithin("queue", time.Second, elapsed, d.Window-d.now-2*time.Second),
		})
	}
	for _, n := range RunsToStop(runs) {
		d.lost += d.now - d.began[id][n]
		d.takes[id][n] = 0
	}
	d.endRuns(id, d.now)
}

// TestWaveWithHeavyTailsIsInTime guards against instances whose maintenance begins after the deadline because one of
// their runs takes several times as long as usual, and against stops that throw away much of what runs.
func TestWaveWithHeavyTailsIsInTime(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			r := rand.New(rand.NewPCG(seed, 0))
			d := newDrainReplay(r, 96)
			for d.now < d.Window {
				d.step(r)
			}
			is.Equal(len(d.downAt), len(d.Instances))
			// The whole work of the instances in the window is 96 x 8 runs at a time for 24 s.
			is.True(d.lost < time.Duration(96*8)*24*time.Second/40)
		})
	}
}
