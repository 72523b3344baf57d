package statemachine

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pollenlead/internal/record"
)

// The property test runs a fixed number of sequences from a fixed seed unless flags override them.
const (
	rapidSeed   = "20261204"
	rapidChecks = "250"
	rapidSteps  = 150
)

var (
	wavePools     = []string{"a", "b", "spare"}
	waveInstances = strings.Fields("a-0 a-1 a-2 a-3 a-4 a-5 b-0 b-1 b-2 b-3 b-4 b-5")
)

// waveModel applies random records to a state and stores the history that the checks need.
type waveModel struct {
	t             *rapid.T
	s             *State
	writers       []*writer
	writersOpened int
	listVersion   uint64
	jobsAccepted  int
	wavesStarted  int
	configVersion uint64
	phases        map[string]record.LeavePhase // by wave and instance that is down
	// accepted counts the accepted ops by kind and the phases that were reached, over all sequences.
	accepted map[string]int
}

func (m *waveModel) pick(label string, from ...string) string {
	return rapid.SampledFrom(from).Draw(m.t, label)
}

func (m *waveModel) instance() string { return m.pick("instance", waveInstances...) }

// pickBiased picks mostly from the likely values, if there are any, so that sequences get beyond the first phases.
func (m *waveModel) pickBiased(label string, likely, all []string) string {
	if len(likely) > 0 && rapid.IntRange(0, 4).Draw(m.t, "likely") > 0 {
		all = likely
	}
	return m.pick(label, all...)
}

func (m *waveModel) downOrAny() string {
	var down []string
	for _, wave := range m.s.Waves() {
		down = append(down, sortedKeys(wave.Down)...)
	}
	return m.pickBiased("down", down, waveInstances)
}

func (m *waveModel) wave() string {
	return m.pickBiased("wave", sortedKeys(m.s.d.Waves), []string{"w0", fmt.Sprintf("w%d", m.wavesStarted)})
}

func (m *waveModel) openWriter() {
	m.writersOpened++
	w := &writer{name: fmt.Sprintf("h%d", m.writersOpened)}
	m.writers = append(m.writers, w)
	m.apply(w, record.Op{SessionOpen: &record.SessionOpen{}})
}

func (m *waveModel) publish() {
	var doc strings.Builder
	failures := rapid.IntRange(1, 3).Draw(m.t, "pause")
	fmt.Fprintf(&doc, "schema: 1\nmaintenance: {pause_after_failures: %d}\npools:\n", failures)
	for _, pool := range []string{"a", "b"} {
		if pool == "b" && m.configVersion > 0 && rapid.IntRange(0, 3).Draw(m.t, "without b") == 0 {
			continue
		}
		percent := rapid.SampledFrom([]int{0, 34, 50, 67, 80, 100}).Draw(m.t, "percent")
		size := rapid.SampledFrom([]int{0, 6, 8}).Draw(m.t, "size")
		fmt.Fprintf(&doc, "  - {name: %s, members: [%s-], size: %d, availability_budget: {min_available_percent: %d}}\n",
			pool, pool, size, percent)
	}
	doc.WriteString("  - {name: spare, spare: true}\nservices: [{name: s, pool: a, timeout_seconds: 5}]\n")
	fmt.Fprintf(&doc, "teams: [{name: t, share: 1, upper_limit: 50, keys: [{id: k, sha256: %q}]}]\n",
		strings.Repeat("0", 64))
	m.apply(m.writers[0], record.Op{ConfigPublish: &record.ConfigPublish{Expect: m.configVersion, Document: doc.String()}})
	m.configVersion = m.s.Config().Version
}

func (m *waveModel) report(id string, phase record.Phase) {
	m.listVersion++
	facts := record.Instance{
		ID: id, Phase: phase, Slots: 4, AvailabilityZone: "z" + id[:1], Rack: "r" + fmt.Sprint(id[2]%2),
	}
	m.apply(m.writers[0], record.Op{InstancesReport: &record.InstancesReport{
		ListVersion: m.listVersion, Instances: []record.Instance{facts},
	}})
}

// restart reports an instance as gone and then as live again.
func (m *waveModel) restart(id string) {
	m.report(id, record.PhaseGone)
	m.report(id, record.PhaseLive)
}

// step applies one random record.
func (m *waveModel) step() {
	w := m.writers[rapid.IntRange(0, len(m.writers)-1).Draw(m.t, "writer")]
	switch rapid.IntRange(0, 29).Draw(m.t, "step") {
	case 0:
		m.wavesStarted++
		pools := rapid.SliceOfN(rapid.SampledFrom(wavePools), 1, 3).Draw(m.t, "pools")
		m.apply(w, record.Op{WaveStart: &record.WaveStart{Wave: fmt.Sprintf("w%d", m.wavesStarted), Pools: pools}})
	case 1:
		action := record.WaveAction(m.pick("action", "pause", "resume", "resume", "resume", "abort"))
		m.apply(w, record.Op{WaveControl: &record.WaveControl{Wave: m.wave(), Action: action}})
	case 2, 3, 4, 5, 18, 19:
		m.apply(w, record.Op{LeaveRequest: &record.LeaveRequest{Wave: m.wave(), Instance: m.instance()}})
	case 6, 7, 8, 9, 20, 21, 22, 23, 24:
		m.advance(w)
	case 10:
		m.apply(w, record.Op{LeaveFail: &record.LeaveFail{Instance: m.downOrAny(), Reason: "test"}})
	case 25, 26:
		m.restart(m.downOrAny())
	case 11, 12:
		m.report(m.downOrAny(), record.Phase(m.pick("list", "live", "live", "leaving", "gone")))
	case 13:
		from, to := m.pick("from", wavePools...), m.pick("to", wavePools...)
		m.apply(w, record.Op{InstanceMove: &record.InstanceMove{Instance: m.instance(), From: from, To: to}})
	case 14:
		m.publish()
	case 15:
		wants := []record.ResourceDemand{{
			Name: m.pick("pool", wavePools...), Wanted: rapid.IntRange(0, 30).Draw(m.t, "wanted"),
		}}
		m.apply(w, record.Op{Demand: &record.Demand{Pools: wants, Teams: []record.ResourceDemand{{Name: "t", Wanted: 20}}}})
	case 27, 28:
		m.drain(m.downOrAny())
	case 16:
		m.startJobOrRelease(w)
	case 17:
		m.endSession(w)
	default:
		m.restore()
	}
}

// advance requests a random phase for an instance. If the instance is down, it is mostly a phase that may follow.
func (m *waveModel) advance(w *writer) {
	id := m.downOrAny()
	phase := record.LeavePhase(
		m.pick("phase", "draining", "stopping", "rebooting", "probing", "returned", "skipped", "cordoned"))
	if _, maintenance := m.s.maintenanceOf(id); maintenance != nil && rapid.IntRange(0, 9).Draw(m.t, "valid") > 0 {
		next := maintenance.Phase.Next()
		phase = next[max(rapid.IntRange(-4, len(next)-1).Draw(m.t, "next"), 0)]
	}
	m.apply(w, record.Op{LeaveAdvance: &record.LeaveAdvance{Instance: id, Phase: phase}})
}

// startJobOrRelease starts a job of a holder on an instance, if it has a slot there, or releases its slots.
func (m *waveModel) startJobOrRelease(w *writer) {
	id := m.instance()
	if rapid.Bool().Draw(m.t, "release") {
		m.release(w, id)
		return
	}
	m.jobsAccepted++
	job := fmt.Sprintf("j%d", m.jobsAccepted)
	m.apply(w, record.Op{JobAccept: &record.JobAccept{Job: job, Team: "t", KeyID: "k", Service: "s"}})
	m.apply(w, record.Op{JobStart: &record.JobStart{Job: job, Attempt: 1, Instance: id}})
}

func (m *waveModel) release(w *writer, id string) {
	slots := []record.InstanceSlots{{Instance: id, Slots: m.s.InstanceSlots(w.name, id)}}
	m.apply(w, record.Op{Release: &record.Release{Slots: slots}})
}

// drain finishes the jobs of an instance and releases its slots, as holders do once it is withdrawn.
func (m *waveModel) drain(id string) {
	for _, w := range m.writers {
		for _, j := range m.s.JobsOf(w.name) {
			if j.Instance == id {
				finish := &record.JobFinish{Job: j.ID, Attempt: j.Attempt, Outcome: record.OutcomeSucceeded}
				m.apply(w, record.Op{JobFinish: finish})
			}
		}
		m.release(w, id)
	}
}

// endSession closes or revokes a session and opens a new one.
func (m *waveModel) endSession(w *writer) {
	at := slices.Index(m.writers, w)
	m.writers = slices.Delete(m.writers, at, at+1)
	if rapid.Bool().Draw(m.t, "revoke") {
		session, _ := m.s.Session(w.name)
		revoke := &record.SessionRevoke{Holder: w.name, LastRenewal: session.LastRenewal}
		m.apply(m.writers[0], record.Op{SessionRevoke: revoke})
	} else {
		m.apply(w, record.Op{SessionClose: &record.SessionClose{}})
	}
	m.openWriter()
}

// restore encodes the state and continues with the restored one.
func (m *waveModel) restore() {
	is := is.New(m.t)
	before, err := m.s.Encode()
	is.NoErr(err)
	m.s, err = Restore(before)
	is.NoErr(err)
	after, err := m.s.Encode()
	is.NoErr(err)
	is.Equal(string(after), string(before))
}

func (m *waveModel) apply(w *writer, op record.Op) {
	result, err := m.s.Apply(m.s.Next(), w.record(op))
	if err != nil {
		m.t.Fatal(err)
	}
	outcome := result.Outcomes[0]
	if outcome.Accepted {
		m.accepted[string(outcome.Kind)]++
	}
	if outcome.Accepted && op.LeaveAdvance != nil {
		m.accepted[string(op.LeaveAdvance.Phase)]++
	}
	if outcome.Accepted && op.LeaveRequest != nil {
		m.checkBudget(op.LeaveRequest.Instance)
	}
	if outcome.Accepted && op.LeaveAdvance != nil && op.LeaveAdvance.Phase == record.LeaveStopping {
		m.checkIdle(op.LeaveAdvance.Instance)
	}
	m.checkWaves()
}

// checkBudget checks the availability budget of the pool of an instance that has just gone down. It counts the
// available instances independently of the state machine.
func (m *waveModel) checkBudget(id string) {
	taken, _ := m.s.Instance(id)
	declared, _ := m.s.Config().Document.Pool(taken.Pool)
	available, known, racks := 0, 0, map[string]bool{}
	for _, i := range m.s.Instances() {
		if i.Pool != taken.Pool {
			continue
		}
		known++
		if i.Facts.Phase == record.PhaseLive && i.MovingTo == "" && i.Wave == "" && !i.Failed {
			available++
		}
		if i.Wave != "" {
			racks[i.Facts.Rack] = true
		}
	}
	for _, wave := range m.s.Waves() {
		for absent, maintenance := range wave.Down {
			if _, listed := m.s.Instance(absent); !listed && maintenance.Pool == taken.Pool {
				known++
				racks[maintenance.Rack] = true
			}
		}
	}
	baseline := max(known, declared.Size)
	if available*100 < baseline*declared.AvailabilityBudget.MinAvailablePercent {
		m.t.Fatalf("%s: %d of %d stay available, the budget is %+v", id, available, baseline, declared.AvailabilityBudget)
	}
	if len(racks) != 1 {
		m.t.Fatalf("%s: instances of %d racks are down, want 1: %v", id, len(racks), racks)
	}
}

func (m *waveModel) checkIdle(id string) {
	if i, ok := m.s.Instance(id); ok && len(i.Held) > 0 {
		m.t.Fatalf("%s stops while slots are held: %v", id, i.Held)
	}
	for _, job := range m.s.d.Jobs {
		if job.State == JobStarted && job.Instance == id {
			m.t.Fatalf("%s stops while job %s is started", id, job.ID)
		}
	}
}

var phaseOrder = []record.LeavePhase{"cordoned", "draining", "checkpointing", "stopping", "rebooting", "probing"}

// checkWaves checks that phases only advance, that waves share no pool or instance, and that each instance refers to
// its wave.
func (m *waveModel) checkWaves() {
	now := map[string]record.LeavePhase{}
	waveOf, owner := map[string]string{}, map[string]string{}
	for _, wave := range m.s.Waves() {
		for _, pool := range wave.Pools {
			if owner[pool] != "" {
				m.t.Fatalf("pool %s is in waves %s and %s", pool, owner[pool], wave.ID)
			}
			owner[pool] = wave.ID
		}
		for id, maintenance := range wave.Down {
			if waveOf[id] != "" {
				m.t.Fatalf("%s is down in two waves", id)
			}
			waveOf[id] = wave.ID
			key := wave.ID + "/" + id
			now[key] = maintenance.Phase
			if i, ok := m.s.Instance(id); ok && i.Pool != maintenance.Pool {
				m.t.Fatalf("%s moved from pool %s to pool %s while it was down", key, maintenance.Pool, i.Pool)
			}
			before, known := m.phases[key]
			if !known && maintenance.Phase != record.LeaveCordoned {
				m.t.Fatalf("%s begins with phase %s", key, maintenance.Phase)
			}
			if slices.Index(phaseOrder, maintenance.Phase) < slices.Index(phaseOrder, before) {
				m.t.Fatalf("%s goes from %s back to %s", key, before, maintenance.Phase)
			}
			stopped := slices.Index(phaseOrder, maintenance.Phase) >= slices.Index(phaseOrder, record.LeaveStopping)
			if i, ok := m.s.Instance(id); ok && stopped && len(i.Held) > 0 {
				m.t.Fatalf("%s is %s with slots held", key, maintenance.Phase)
			}
		}
	}
	for _, i := range m.s.Instances() {
		if i.Wave != waveOf[i.Facts.ID] {
			m.t.Fatalf("%s refers to wave %q, but is down in %q", i.Facts.ID, i.Wave, waveOf[i.Facts.ID])
		}
	}
	m.phases = now
}

// TestWavesKeepTheirInvariants guards against sequences of waves, failures, list changes, moves, documents, work and
// session ends in which a pool falls below its availability budget, a phase goes back, an instance stops while it has
// work, two waves share a pool, or a restored snapshot differs.
func TestWavesKeepTheirInvariants(t *testing.T) {
	is := is.New(t)
	for name, value := range map[string]string{"rapid.seed": rapidSeed, "rapid.checks": rapidChecks} {
		f := flag.Lookup(name)
		if f.Value.String() != rapidDefaults[name] {
			continue
		}
		is.NoErr(f.Value.Set(value))
		t.Cleanup(func() { _ = f.Value.Set(rapidDefaults[name]) })
	}
	accepted := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := &waveModel{t: t, s: New(), phases: map[string]record.LeavePhase{}, accepted: accepted}
		for range 3 {
			m.openWriter()
		}
		m.publish()
		for _, id := range waveInstances {
			m.report(id, record.PhaseLive)
		}
		for range rapidSteps {
			m.step()
		}
	})
	t.Log(accepted)
	// If most ops of a kind were rejected, the sequences would not test it.
	for _, name := range []string{
		"wave_start", "wave_control", "leave_request", "leave_fail", "instance_move", "job_start", "release",
		"session_revoke", "draining", "checkpointing", "stopping", "rebooting", "probing", "returned", "skipped",
	} {
		if accepted[name] < 50 {
			t.Errorf("only %d accepted ops of %s", accepted[name], name)
		}
	}
}
