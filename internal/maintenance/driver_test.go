package maintenance

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/fold"
	"pollenlead/internal/record"
)

const driverDocument = `
schema: 1
maintenance: {drain_seconds: 10, reboot_seconds: 20, probe_seconds: 5, pause_after_failures: 2}
pools:
  - {name: spare, spare: true}
  - {name: p, members: [w-], size: 8, availability_budget: {min_available_percent: 75}}
`

// world is a log, the platform's list and the instances, all in memory. The instances have no slots, so drains end at once.
type world struct {
	mu      sync.Mutex
	state   *fold.State
	seq     map[string]uint64
	now     time.Time
	away    map[string]int // steps until the instance is back
	reboots map[string]int // calls by operation ID
	broken  map[string]bool
	least   int // smallest number of available instances since the wave started
}

func newWorld(t *testing.T, holders ...string) *world {
	w := &world{
		state: fold.New(), seq: map[string]uint64{}, now: time.Unix(0, 0), away: map[string]int{}, reboots: map[string]int{},
		broken: map[string]bool{},
	}
	for _, h := range holders {
		w.mustSubmit(t, h, record.Op{SessionOpen: &record.SessionOpen{}})
	}
	w.mustSubmit(t, holders[0], record.Op{ConfigPublish: &record.ConfigPublish{Document: driverDocument}})
	for n := range 8 {
		w.report(t, holders[0], fmt.Sprintf("w-%d", n), record.PhaseLive)
	}
	w.mustSubmit(t, holders[0], record.Op{WaveStart: &record.WaveStart{Wave: "wave", Pools: []string{"p"}}})
	w.least = w.state.PoolBudget("p").Available()
	return w
}

func (w *world) report(t *testing.T, holder, id string, phase record.Phase) {
	facts := record.Instance{ID: id, Phase: phase, Rack: fmt.Sprint((id[2] - '0') / 4)}
	w.mustSubmit(t, holder, record.Op{InstancesReport: &record.InstancesReport{
		ListVersion: w.state.ListVersion() + 1, Instances: []record.Instance{facts},
	}})
}

func (w *world) mustSubmit(t *testing.T, holder string, ops ...record.Op) {
	t.Helper()
	outcomes, err := w.submit(holder, ops)
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range outcomes {
		if !o.Accepted {
			t.Fatalf("%s: %s %s", o.Kind, o.Reason, o.Detail)
		}
	}
}

func (w *world) submit(holder string, ops []record.Op) ([]fold.Outcome, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq[holder]++
	data, err := record.Encode(record.Record{Writer: holder, Incarnation: holder, Seq: w.seq[holder], Ops: ops})
	if err != nil {
		return nil, err
	}
	result, err := w.state.Apply(w.state.Next(), data)
	w.least = min(w.least, w.state.PoolBudget("p").Available())
	return result.Outcomes, err
}

func (w *world) View(read func(*fold.State)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	read(w.state)
}

func (w *world) Changed() <-chan struct{} { return nil }

func (w *world) Reboot(_ context.Context, instance, operationID string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reboots[operationID]++
	if w.reboots[operationID] == 1 {
		w.away[instance] = 2
	}
	return nil
}

func (w *world) Probe(_ context.Context, instance, _ string) error {
	if w.broken[instance] {
		return errors.New("no answer")
	}
	return nil
}

// tick lets time pass and the list change: a rebooted instance is gone for one tick and then live again.
func (w *world) tick(t *testing.T, reporter string) {
	w.now = w.now.Add(time.Second)
	for n := range 8 {
		id := fmt.Sprintf("w-%d", n)
		switch w.away[id] {
		case 2:
			w.report(t, reporter, id, record.PhaseGone)
		case 1:
			w.report(t, reporter, id, record.PhaseLive)
		default:
			continue
		}
		w.away[id]--
	}
}

// entry is one entry instance: its session and the committer that writes for it.
type entry struct {
	*world
	holder string
	valid  bool
	// lose makes submits fail after they took effect.
	lose bool
}

func (e *entry) Holder() string { return e.holder }
func (e *entry) Valid() bool    { return e.valid }

func (e *entry) Submit(_ context.Context, ops ...record.Op) ([]fold.Outcome, error) {
	outcomes, err := e.submit(e.holder, ops)
	if e.lose {
		return nil, errors.New("no answer")
	}
	return outcomes, err
}

func (e *entry) driver() *Driver {
	return NewDriver(Options{
		Committer: e, Replica: e.world, Lease: e, Rebooter: e.world, Prober: e.world, Clock: func() time.Time { return e.now },
	})
}

// maxTicks ends a wave that makes no progress.
const maxTicks = 500

func (w *world) wave() *fold.Wave {
	wave, _ := w.state.Wave("wave")
	return wave
}

// Guards against two entry instances that drive the same wave, a successor that starts an instance's maintenance anew or
// reboots it twice, and lost answers that stop a wave. The session in charge ends every 7 ticks.
func TestTakeover(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, "h0", "h1", "h2")
	entries := map[string]*entry{}
	drivers := map[string]*Driver{}
	add := func(holder string) {
		entries[holder] = &entry{world: w, holder: holder, valid: true, lose: len(entries)%2 == 0}
		drivers[holder] = entries[holder].driver()
	}
	for n := range 3 {
		add(fmt.Sprintf("h%d", n))
	}
	active := map[string]bool{}
	for n := 1; w.wave().Open() && n < maxTicks; n++ {
		acted := 0
		for _, s := range w.state.Sessions() {
			before := drivers[s.Holder].Stats().Ops
			drivers[s.Holder].Step(t.Context())
			if drivers[s.Holder].Stats().Ops > before {
				acted++
				active[s.Holder] = true
			}
		}
		is.True(acted <= 1)
		w.tick(t, w.state.Sessions()[0].Holder)
		if n%7 == 0 {
			for holder := range active {
				if entries[holder].valid {
					entries[holder].valid = false
					w.mustSubmit(t, holder, record.Op{SessionClose: &record.SessionClose{}})
				}
			}
			add(fmt.Sprintf("later-%d", n))
			w.mustSubmit(t, fmt.Sprintf("later-%d", n), record.Op{SessionOpen: &record.SessionOpen{}})
		}
	}
	is.Equal(w.wave().State, fold.WaveFinished)
	is.Equal(w.wave().Returned, 8)
	is.Equal(len(w.reboots), 8)
	is.True(len(active) > 1)
	is.Equal(w.least, 6)
	for _, d := range drivers {
		is.Equal(d.Stats().InvalidTriggers, uint64(0))
	}
}

// Guards against a wave that goes on when instances do not come back, and one that cannot be aborted.
func TestFailuresStopTheDriver(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, "h")
	e := &entry{world: w, holder: "h", valid: true}
	d := e.driver()
	w.broken["w-0"], w.broken["w-1"] = true, true
	for n := 0; w.wave().State == fold.WaveRunning && n < maxTicks; n++ {
		d.Step(t.Context())
		w.tick(t, "h")
	}
	is.Equal(w.wave().State, fold.WavePaused)
	is.Equal(len(w.wave().Failures), 2)
	is.Equal(len(w.reboots), 2)
	for range 20 {
		d.Step(t.Context())
		w.tick(t, "h")
	}
	is.Equal(len(w.reboots), 2)
	w.mustSubmit(t, "h", record.Op{WaveControl: &record.WaveControl{Wave: "wave", Action: record.WaveAbort}})
	is.Equal(w.wave().State, fold.WaveAborted)
}
