package statemachine

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"pollenlead/internal/record"
)

// rapidDefaults contains the seed and the number of checks of the property tests that set none of their own.
var rapidDefaults = map[string]string{"rapid.seed": "1", "rapid.checks": "60", "rapid.nofailfile": "true"}

// TestMain sets a fixed seed for rapid, so that every CI run makes the same checks. The flags -rapid.seed and
// -rapid.checks override it.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{"rapid.nofailfile": false}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range rapidDefaults {
		if !set[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// TestInvariants guards against violations of the invariants of the state machine (section 4 of the design) by random
// records of several writers, and against states that differ between entry instances.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newStateModel(t)
		if rapid.IntRange(0, 9).Draw(t, "start") > 0 {
			w.setUp()
		}
		for range rapid.IntRange(1, 50).Draw(t, "records") {
			w.step()
		}
	})
}

// stateModel contains a state under test, a replica that must stay equal to it, and the history that the checks need.
type stateModel struct {
	t              *rapid.T
	state, replica *State
	// before is a copy of the state before the last record. encoded is its encoding without offset and malformed count.
	before      *State
	encoded     string
	incarnation [4]int
	seq         map[string]uint64
	delayed     [][]byte
	// leaseExpired contains the jobs whose attempt lost its allotment with a revoked session, instanceGone those whose
	// instance left the list, and mayHaveRun the last permitted attempt of adopted non-idempotent jobs.
	leaseExpired, instanceGone map[string]bool
	mayHaveRun                 map[string]int
}

func newStateModel(t *rapid.T) *stateModel {
	w := &stateModel{
		t: t, state: New(), replica: New(), seq: map[string]uint64{},
		leaseExpired: map[string]bool{}, instanceGone: map[string]bool{}, mayHaveRun: map[string]int{},
	}
	w.copyState()
	return w
}

func (w *stateModel) setUp() {
	var report record.InstancesReport
	for _, id := range testInstances {
		report.Instances = append(report.Instances, record.Instance{ID: id, Phase: record.PhaseLive, Slots: 4})
	}
	open := record.Op{SessionOpen: &record.SessionOpen{}}
	document := testDocument([]int{4, 4, 4}, testPools)
	w.apply(w.encode(0, open, record.Op{ConfigPublish: &record.ConfigPublish{Document: document}},
		record.Op{InstancesReport: &report}))
	w.apply(w.encode(1, open))
	w.apply(w.encode(2, open))
}

func (w *stateModel) holder(n int) string { return fmt.Sprintf("h%d.%d", n, w.incarnation[n]) }

func (w *stateModel) encode(n int, ops ...record.Op) []byte {
	h := w.holder(n)
	w.seq[h]++
	data, err := record.Encode(record.Record{Writer: fmt.Sprint("h", n), Incarnation: h, Seq: w.seq[h], Ops: ops})
	if err != nil {
		w.t.Fatal(err)
	}
	return data
}

// step applies a new, delayed, repeated or malformed record.
func (w *stateModel) step() {
	n := rapid.IntRange(0, len(w.incarnation)-1).Draw(w.t, "writer")
	var ops []record.Op
	for range rapid.IntRange(1, 3).Draw(w.t, "ops") {
		ops = append(ops, w.drawOp(n))
	}
	data := w.encode(n, ops...)
	switch rapid.IntRange(0, 11).Draw(w.t, "delivery") {
	case 0:
		w.delayed = append(w.delayed, data)
	case 1:
		w.apply([]byte(`{"schema":1,"writer":"w"`))
		w.apply(data)
	case 2:
		w.restoreReplica()
		w.apply(data)
	default:
		w.apply(data)
	}
	if len(w.delayed) > 0 && rapid.Bool().Draw(w.t, "late") {
		at := rapid.IntRange(0, len(w.delayed)-1).Draw(w.t, "which")
		w.apply(w.delayed[at])
	}
}

func (w *stateModel) restoreReplica() {
	encoded, err := w.state.Encode()
	if err != nil {
		w.t.Fatal(err)
	}
	if w.replica, err = Restore(encoded); err != nil {
		w.t.Fatal(err)
	}
}

// apply applies a record and then the same record again to both states, and makes all checks.
func (w *stateModel) apply(data []byte) {
	before := w.before
	result, err := w.state.Apply(w.state.Next(), data)
	if err != nil {
		w.t.Fatal(err)
	}
	w.checkReplica(data)
	if result.Malformed || result.Duplicate {
		w.checkUnchanged()
	}
	w.trackLostAllotments(before, result)
	w.checkCapacity(before)
	w.checkPools(before)
	w.checkJobs(before, result)
	w.checkStartedJobs()
	w.copyState()
	w.checkTargets()
	if len(w.state.dirtyTeams)+len(w.state.dirtyPools) > 0 {
		w.t.Fatal("resources are still marked dirty after a record; a restored state would lose the marks")
	}
	if full := buildIndex(&w.state.d); !reflect.DeepEqual(full.openJobs, w.state.openJobs) ||
		!reflect.DeepEqual(full.startedByHolder, w.state.startedByHolder) ||
		!reflect.DeepEqual(full.members, w.state.members) {
		w.t.Fatal("the index differs from one built from the encoded state")
	}
	if _, err := w.state.Apply(w.state.Next(), data); err != nil {
		w.t.Fatal(err)
	}
	w.checkReplica(data)
	w.checkUnchanged()
}

func (w *stateModel) checkReplica(data []byte) {
	if _, err := w.replica.Apply(w.replica.Next(), data); err != nil {
		w.t.Fatal(err)
	}
	a, errA := w.state.Hash()
	b, errB := w.replica.Hash()
	if errA != nil || errB != nil || a != b {
		w.t.Fatalf("the state and its replica differ: hash errors %v, %v", errA, errB)
	}
}

// checkUnchanged requires that only the offset and the count of malformed records have changed.
func (w *stateModel) checkUnchanged() {
	if now := w.encodeState(); now != w.encoded {
		w.t.Fatalf("a duplicate or malformed record changed the state\n%s\n%s", w.encoded, now)
	}
}

func (w *stateModel) encodeState() string {
	d := w.state.d
	d.Next, d.MalformedCount = 0, 0
	encoded, err := json.Marshal(&d)
	if err != nil {
		w.t.Fatal(err)
	}
	return string(encoded)
}

func (w *stateModel) copyState() {
	w.encoded = w.encodeState()
	w.before = New()
	w.before.doc = w.state.doc
	if err := json.Unmarshal([]byte(w.encoded), &w.before.d); err != nil {
		w.t.Fatal(err)
	}
}

// checkTargets compares the stored targets with those that a restored state computes.
func (w *stateModel) checkTargets() {
	w.before.index = buildIndex(&w.before.d)
	w.before.computeTargets()
	excess := map[string]int{}
	for _, h := range w.state.holders() {
		if stored, full := w.state.Allotment(h), w.before.Allotment(h); !reflect.DeepEqual(stored, full) {
			w.t.Fatalf("the allotment of %s is %+v, a full computation results in %+v", h, stored, full)
		}
		for id, grant := range w.state.Allotment(h).Slots {
			excess[id] += grant.Excess
		}
	}
	for id, i := range w.state.d.Instances {
		if over := max(0, sum(i.Held)-i.Facts.Slots); excess[id] != over {
			w.t.Fatalf("instance %s: %d slots to return, %d held beyond its slots", id, excess[id], over)
		}
	}
}

// trackLostAllotments records the started jobs that lost their allotment before the end of their attempt.
func (w *stateModel) trackLostAllotments(before *State, r Result) {
	for id, job := range w.state.d.Jobs {
		old, ok := before.d.Jobs[id]
		if job.State != JobStarted || !ok || old.State != JobStarted || old.Attempt != job.Attempt {
			delete(w.leaseExpired, id)
			delete(w.instanceGone, id)
			continue
		}
		if old.Holder != job.Holder {
			w.leaseExpired[id] = w.leaseExpired[id] || old.Holder != r.Record.Incarnation || job.Holder == ""
			if job.NonIdempotent {
				w.mayHaveRun[id] = job.Attempt
			}
		}
	}
	for n, o := range r.Outcomes {
		if report := r.Record.Ops[n].InstancesReport; report != nil && o.Accepted {
			for _, facts := range report.Instances {
				for id, job := range w.state.d.Jobs {
					gone := facts.Phase == record.PhaseGone && job.State == JobStarted && job.Instance == facts.ID
					w.instanceGone[id] = w.instanceGone[id] || gone
				}
			}
		}
	}
}

// checkCapacity allows more units or slots than the capacity only after the capacity was lowered, and then no growth.
func (w *stateModel) checkCapacity(before *State) {
	for name, team := range w.state.d.Teams {
		declared, _ := w.state.doc.Team(name)
		old := 0
		if t, ok := before.d.Teams[name]; ok {
			old = sum(t.Held)
		}
		if n := sum(team.Held); n > declared.UpperLimit && n > old {
			w.t.Fatalf("team %s: %d units, %d before, limit %d", name, n, old, declared.UpperLimit)
		}
		w.checkHeld(team.Held)
	}
	for id, instance := range w.state.d.Instances {
		old := 0
		if i, ok := before.d.Instances[id]; ok {
			old = sum(i.Held)
		}
		if n := sum(instance.Held); n > instance.Facts.Slots && n > old {
			w.t.Fatalf("instance %s: %d slots held, %d before, of %d", id, n, old, instance.Facts.Slots)
		}
		w.checkHeld(instance.Held)
	}
}

func (w *stateModel) checkHeld(held map[string]int) {
	for h, n := range held {
		if _, open := w.state.d.Sessions[h]; n <= 0 || !open {
			w.t.Fatalf("%q holds %d, want at least 1 and an open session (open: %t)", h, n, open)
		}
	}
}

// checkPools requires that every instance is in a declared pool or, while its slots are still held, waits to join one.
func (w *stateModel) checkPools(before *State) {
	if w.state.d.ConfigVersion < before.d.ConfigVersion {
		w.t.Fatalf("the document version went back from %d to %d", before.d.ConfigVersion, w.state.d.ConfigVersion)
	}
	members := 0
	for _, m := range w.state.members {
		members += len(m)
	}
	if members != len(w.state.d.Instances) {
		w.t.Fatalf("%d members of pools, %d instances", members, len(w.state.d.Instances))
	}
	for id, i := range w.state.d.Instances {
		if i.Facts.Phase != record.PhaseLive && i.Facts.Phase != record.PhaseLeaving {
			w.t.Fatalf("instance %s is %q", id, i.Facts.Phase)
		}
		_, declared := w.state.doc.Pool(i.Pool)
		_, joining := w.state.doc.Pool(i.MovingTo)
		switch {
		case i.MovingTo != "" && (!joining || len(i.Held) == 0):
			w.t.Fatalf("instance %s waits to join pool %q, held %v", id, i.MovingTo, i.Held)
		case w.state.d.ConfigVersion > 0 && !declared && !joining:
			w.t.Fatalf("instance %s is in pool %q", id, i.Pool)
		}
	}
}

func (w *stateModel) checkJobs(before *State, r Result) {
	forgotten := map[string]bool{}
	for n, o := range r.Outcomes {
		if op := r.Record.Ops[n].JobForget; op != nil && o.Accepted {
			for _, id := range op.Jobs {
				forgotten[id] = true
				delete(w.mayHaveRun, id)
			}
		}
	}
	for id, old := range before.d.Jobs {
		job, ok := w.state.d.Jobs[id]
		if forgotten[id] {
			continue
		}
		if !ok || old.Finished() && !reflect.DeepEqual(old, job) {
			w.t.Fatalf("finished job %s changed, or job %s is missing: was %+v, is %+v", id, id, old, job)
		}
		ran := old.State == JobStarted || job.Attempt > old.Attempt
		if !ran && !old.Finished() && (job.State == JobSucceeded || job.State == JobUnknown) {
			w.t.Fatalf("job %s is %s without an attempt", id, job.State)
		}
		_, open := w.state.d.Sessions[old.Holder]
		adopted := old.State == JobStarted && !open && old.Holder != r.Record.Incarnation
		last, limited := w.mayHaveRun[id]
		if job.NonIdempotent && job.Attempt > old.Attempt && (adopted || limited && job.Attempt > last) {
			w.t.Fatalf("non-idempotent job %s has attempt %d after one that may have run", id, job.Attempt)
		}
	}
}

// checkStartedJobs requires that the holder has a unit and a slot for every started job whose attempt may still run.
func (w *stateModel) checkStartedJobs() {
	units, slots := map[[2]string]int{}, map[[2]string]int{}
	for id, job := range w.state.d.Jobs {
		if job.State != JobStarted || w.leaseExpired[id] {
			continue
		}
		units[[2]string{job.Holder, job.Team}]++
		if !w.instanceGone[id] {
			slots[[2]string{job.Holder, job.Instance}]++
		}
	}
	for k, n := range units {
		if held := w.state.TeamUnits(k[0], k[1]); held < n {
			w.t.Fatalf("%s has %d started jobs of team %s and %d units", k[0], n, k[1], held)
		}
	}
	for k, n := range slots {
		if held := w.state.InstanceSlots(k[0], k[1]); held < n {
			w.t.Fatalf("%s has %d started jobs on %s and %d slots", k[0], n, k[1], held)
		}
	}
}

var (
	testInstances = []string{"p-1", "p-2", "q-1", "x-1"}
	testPools     = []string{"p", "q"}
	testTeams     = []string{"a", "b", "c"}
	testJobs      = []string{"j0", "j1", "j2", "j3", "j4", "j5"}
)

// testDocument returns a document with the given pools and the teams whose limit is not negative.
func testDocument(limits []int, pools []string) string {
	var doc strings.Builder
	doc.WriteString("schema: 1\npools:\n  - {name: spare, spare: true}\n")
	for _, p := range pools {
		fmt.Fprintf(&doc, "  - {name: %s, members: [%s-], availability_budget: {min_available_percent: 0}}\n", p, p)
	}
	doc.WriteString("services: [{name: s, pool: spare, timeout_seconds: 1}]\nteams:\n")
	for n, limit := range limits {
		if limit >= 0 {
			fmt.Fprintf(&doc, "  - {name: %s, share: 1, upper_limit: %d, keys: [{id: k%s, sha256: %q}]}\n",
				testTeams[n], limit, testTeams[n], strings.Repeat("0", 64))
		}
	}
	if slices.Max(limits) < 0 {
		return strings.Replace(doc.String(), "teams:\n", "teams: []\n", 1)
	}
	return doc.String()
}
