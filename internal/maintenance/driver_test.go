package maintenance

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/record"
	"pollenlead/internal/statemachine"
)

// testCluster holds a log, the platform's list and the instances in memory, with a wave over all pools of a plan.
type testCluster struct {
	tb          testing.TB
	mu          sync.Mutex
	state       *statemachine.State
	seq         map[string]uint64
	now         time.Time
	facts       map[string]record.Instance
	absentTicks map[string]int // ticks until the instance is live again
	reboots     map[string]int // calls by operation ID
	unreachable map[string]bool
	// rebootUnrecorded means that a reboot was called, but its record was not appended.
	rebootUnrecorded bool
	minAvailable     int // smallest number of available instances of the first pool
}

func newTestCluster(tb testing.TB, plan Snapshot, holders ...string) *testCluster {
	w := &testCluster{
		tb: tb, state: statemachine.New(), seq: map[string]uint64{}, now: time.Unix(0, 0),
		facts: map[string]record.Instance{}, absentTicks: map[string]int{},
		reboots: map[string]int{}, unreachable: map[string]bool{},
	}
	for _, h := range holders {
		w.mustSubmit(h, record.Op{SessionOpen: &record.SessionOpen{}})
	}
	doc := "schema: 1\nmaintenance: {drain_seconds: 10, reboot_seconds: 20, probe_seconds: 5}\n" +
		"pools:\n  - {name: spare, spare: true}\n"
	start := &record.WaveStart{Wave: "wave"}
	var live []string
	for _, pool := range plan.Pools {
		start.Pools = append(start.Pools, pool.Name)
		doc += fmt.Sprintf("  - {name: %s, members: [%s-], size: %d, availability_budget: {min_available_percent: %d}}\n",
			pool.Name, pool.Name, pool.Size, pool.MinAvailablePercent)
		for _, i := range pool.Instances {
			w.facts[i.ID] = record.Instance{ID: i.ID, AvailabilityZone: i.AvailabilityZone, Rack: i.Rack}
			live = append(live, i.ID)
		}
	}
	w.mustSubmit(holders[0], record.Op{ConfigPublish: &record.ConfigPublish{Document: doc}},
		w.report(record.PhaseLive, live), record.Op{WaveStart: start})
	w.minAvailable = len(plan.Pools[0].Instances)
	return w
}

// report returns the op for a change of the list. The instances have no slots, so drains end at once.
func (w *testCluster) report(phase record.Phase, ids []string) record.Op {
	report := &record.InstancesReport{ListVersion: w.state.ListVersion() + 1}
	for _, id := range ids {
		facts := w.facts[id]
		facts.Phase = phase
		report.Instances = append(report.Instances, facts)
	}
	return record.Op{InstancesReport: report}
}

func (w *testCluster) mustSubmit(holder string, ops ...record.Op) {
	w.tb.Helper()
	outcomes, err := w.submit(holder, ops)
	if err != nil {
		w.tb.Fatal(err)
	}
	for _, o := range outcomes {
		if !o.Accepted {
			w.tb.Fatalf("%s: %s %s", o.Kind, o.Reason, o.Detail)
		}
	}
}

func (w *testCluster) submit(holder string, ops []record.Op) ([]statemachine.Outcome, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq[holder]++
	data, err := record.Encode(record.Record{Writer: holder, Incarnation: holder, Seq: w.seq[holder], Ops: ops})
	if err != nil {
		return nil, err
	}
	result, err := w.state.Apply(w.state.Next(), data)
	w.minAvailable = min(w.minAvailable, w.state.PoolBudget("p00").Available())
	return result.Outcomes, err
}

func (w *testCluster) View(read func(*statemachine.State)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	read(w.state)
}

func (w *testCluster) Changed() <-chan struct{} { return nil }

func (w *testCluster) Reboot(_ context.Context, instance, operationID string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reboots[operationID]++
	if w.reboots[operationID] == 1 {
		w.absentTicks[instance] = 2
	}
	return nil
}

func (w *testCluster) Probe(_ context.Context, instance, _ string) error {
	if w.unreachable[instance] {
		return errors.New("no answer")
	}
	return nil
}

// tick advances the clock by a second and updates the list: a rebooted instance is gone for one tick and then live
// again.
func (w *testCluster) tick() {
	w.now = w.now.Add(time.Second)
	var gone, live []string
	for id, ticks := range w.absentTicks {
		if ticks == 2 {
			gone = append(gone, id)
			w.absentTicks[id] = 1
		} else {
			live = append(live, id)
			delete(w.absentTicks, id)
		}
	}
	if len(gone)+len(live) > 0 {
		w.mustSubmit(w.state.Sessions()[0].Holder, w.report(record.PhaseGone, gone), w.report(record.PhaseLive, live))
	}
}

// entry is one entry instance with its session and committer.
type entry struct {
	*testCluster
	holder string
	valid  bool
	// faults makes one in three submits have no effect, and one in three lose its answer. Its seed is fixed.
	faults *rand.Rand
}

func (e *entry) Holder() string { return e.holder }
func (e *entry) Valid() bool    { return e.valid }

func (e *entry) Submit(_ context.Context, ops ...record.Op) ([]statemachine.Outcome, error) {
	fault := 2
	if e.faults != nil {
		fault = e.faults.IntN(3)
	}
	if fault == 0 {
		e.rebootUnrecorded = e.rebootUnrecorded || slices.ContainsFunc(ops, func(op record.Op) bool {
			return op.LeaveAdvance != nil && op.LeaveAdvance.Phase == record.LeaveRebooting
		})
		return nil, errors.New("not sent")
	}
	outcomes, err := e.submit(e.holder, ops)
	if fault == 1 {
		return nil, errors.New("no answer")
	}
	return outcomes, err
}

func (e *entry) driver() *Driver {
	return NewDriver(Options{
		Committer: e, Replica: e.testCluster, Lease: e, Rebooter: e.testCluster, Prober: e.testCluster,
		Clock: func() time.Time { return e.now },
	})
}

// smallPlan is a pool of eight instances in two racks, of which two may be down.
func smallPlan() Snapshot {
	plan := fleet(8, 1, 2)
	plan.Pools[0].MinAvailablePercent = 75
	return plan
}

// maxTicks bounds a test whose wave makes no progress.
const maxTicks = 500

func (w *testCluster) wave() *statemachine.Wave {
	wave, _ := w.state.Wave("wave")
	return wave
}

// TestTakeover guards against two entry instances that drive the same wave, a successor that restarts an instance's
// maintenance from the beginning or reboots it twice, and lost answers that stop a wave. The driving session ends every
// 7 ticks, and after a reboot that is not in the log.
func TestTakeover(t *testing.T) {
	is := is.New(t)
	w := newTestCluster(t, smallPlan(), "h0", "h1", "h2")
	faults := rand.New(rand.NewPCG(1, 2))
	entries := map[string]*entry{}
	drivers := map[string]*Driver{}
	add := func(holder string) {
		entries[holder] = &entry{testCluster: w, holder: holder, valid: true, faults: faults}
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
		w.tick()
		if n%7 == 0 || w.rebootUnrecorded {
			w.rebootUnrecorded = false
			for holder := range active {
				if entries[holder].valid {
					entries[holder].valid = false
					w.mustSubmit(holder, record.Op{SessionClose: &record.SessionClose{}})
				}
			}
			add(fmt.Sprintf("later-%d", n))
			w.mustSubmit(fmt.Sprintf("later-%d", n), record.Op{SessionOpen: &record.SessionOpen{}})
		}
	}
	is.Equal(w.wave().State, statemachine.WaveFinished)
	is.Equal(w.wave().Returned, 8)
	is.Equal(len(w.reboots), 8)
	is.True(slices.Max(slices.Collect(maps.Values(w.reboots))) > 1)
	is.True(len(active) > 1)
	is.Equal(w.minAvailable, 6)
	for _, d := range drivers {
		is.Equal(d.Stats().InvalidTriggers, uint64(0))
	}
}

// TestFailuresStopTheDriver guards against a driver that acts under an expired lease, a wave that continues although
// instances do not return, and a wave that cannot be aborted.
func TestFailuresStopTheDriver(t *testing.T) {
	is := is.New(t)
	w := newTestCluster(t, smallPlan(), "h")
	e := &entry{testCluster: w, holder: "h", valid: true}
	d := e.driver()
	e.valid = false
	d.Step(t.Context())
	is.Equal(d.Stats().Ops, uint64(0))
	e.valid = true
	w.unreachable["p00-00"], w.unreachable["p00-01"] = true, true
	for n := 0; w.wave().State == statemachine.WaveRunning && n < maxTicks; n++ {
		d.Step(t.Context())
		w.tick()
	}
	is.Equal(w.wave().State, statemachine.WavePaused)
	is.Equal(len(w.wave().Failures), 2)
	is.Equal(len(w.reboots), 2)
	for range 20 {
		d.Step(t.Context())
		w.tick()
	}
	is.Equal(len(w.reboots), 2)
	w.mustSubmit("h", record.Op{WaveControl: &record.WaveControl{Wave: "wave", Action: record.WaveAbort}})
	is.Equal(w.wave().State, statemachine.WaveAborted)
}

// TestRestartBeforeTheRebootIsNotItsEnd guards against an instance that counts as returned, so that the next one is taken
// down, although its reboot is still ahead: it had restarted by itself before the platform accepted the reboot, and the
// list lags behind.
func TestRestartBeforeTheRebootIsNotItsEnd(t *testing.T) {
	is := is.New(t)
	w := newTestCluster(t, smallPlan(), "h")
	e := &entry{testCluster: w, holder: "h", valid: true}
	d := NewDriver(Options{
		Committer: e, Replica: w, Lease: e, Rebooter: &laggingPlatform{w: w}, Prober: w,
		Clock: func() time.Time { return w.now },
	})
	const id = "p00-00"
	for n := 0; w.phase(id) != record.LeaveStopping && n < maxTicks; n++ {
		d.Step(t.Context())
		w.tick()
	}
	w.mustSubmit("h", w.report(record.PhaseGone, []string{id}))
	w.mustSubmit("h", w.report(record.PhaseLive, []string{id}))
	for range 4 { // the list still shows the instance from before the reboot
		d.Step(t.Context())
		w.tick()
		is.Equal(w.phase(id), record.LeaveRebooting)
	}
	w.mustSubmit("h", w.report(record.PhaseGone, []string{id}))
	for range 10 {
		d.Step(t.Context())
		w.tick()
		is.Equal(w.phase(id), record.LeaveRebooting)
	}
	w.mustSubmit("h", w.report(record.PhaseLive, []string{id}))
	for range 3 {
		d.Step(t.Context())
		w.tick()
	}
	is.Equal(w.wave().Done[id], record.LeaveReturned)
}

// phase returns the phase of an instance that is down, or "".
func (w *testCluster) phase(id string) record.LeavePhase {
	if down := w.wave().Down[id]; down != nil {
		return down.Phase
	}
	return ""
}

// laggingPlatform accepts reboots that the list does not show by itself.
type laggingPlatform struct{ w *testCluster }

func (p *laggingPlatform) Reboot(_ context.Context, _, operationID string) error {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	p.w.reboots[operationID]++
	return nil
}
