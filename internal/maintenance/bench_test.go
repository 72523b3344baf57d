package maintenance

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pollenlead/internal/fold"
	"pollenlead/internal/record"
)

// scales are the target in two years and the fleet of today.
var scales = []struct {
	name                    string
	instances, pools, zones int
}{
	{"860in38", 860, 38, 6},
	{"50in6", 50, 6, 3},
}

var planners = []struct {
	name string
	next Planner
}{
	{"budget", NextInstances},
	{"sequential", Sequential},
	{"fixed20percent", FixedPercent(20)},
	{"fixed10percent", FixedPercent(10)},
}

// failEvery takes every n-th instance of the fleet as failed.
func failEvery(s Snapshot, n int) Snapshot {
	at := 0
	for p := range s.Pools {
		for i := range s.Pools[p].Instances {
			at++
			s.Pools[p].Instances[i].Live = at%n != 0
		}
	}
	return s
}

func BenchmarkNextInstances(b *testing.B) {
	for _, scale := range scales {
		s := fleet(scale.instances, scale.pools, scale.zones)
		b.Run(scale.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				NextInstances(s, time.Time{})
			}
		})
	}
}

// The failed instances are one in 50, as many as fail in a day at the target scale.
func BenchmarkRollout(b *testing.B) {
	for _, scale := range scales {
		whole := fleet(scale.instances, scale.pools, scale.zones)
		failing := failEvery(fleet(scale.instances, scale.pools, scale.zones), 50)
		for _, fleet := range []struct {
			name     string
			snapshot Snapshot
		}{{"whole", whole}, {"failing", failing}} {
			for _, planner := range planners {
				b.Run(fmt.Sprintf("%s/%s/%s", scale.name, fleet.name, planner.name), func(b *testing.B) {
					var r Rollout
					for b.Loop() {
						r = CountRollout(fleet.snapshot, planner.next, time.Time{})
					}
					b.ReportMetric(float64(r.Steps), "steps")
					b.ReportMetric(float64(r.Left), "left")
					b.ReportMetric(float64(r.SmallestAvailable), "least-available")
					b.ReportMetric(float64(r.SmallestInPool), "least-in-pool")
					b.ReportMetric(float64(r.SmallestMargin), "margin")
					b.ReportMetric(float64(r.BelowFloor), "below-floor")
				})
			}
		}
	}
}

// foldFleet is a folded state with nine sessions that hold all slots.
type foldFleet struct {
	tb      testing.TB
	state   *fold.State
	seq     map[string]uint64
	holders []string
	records int
}

func newFoldFleet(tb testing.TB, plan Snapshot) *foldFleet {
	f := &foldFleet{tb: tb, state: fold.New(), seq: map[string]uint64{}}
	for n := range 9 {
		f.holders = append(f.holders, fmt.Sprintf("h%d", n))
		f.apply(f.holders[n], record.Op{SessionOpen: &record.SessionOpen{}})
	}
	var doc strings.Builder
	doc.WriteString("schema: 1\npools:\n  - {name: spare, spare: true}\n")
	var report record.InstancesReport
	for _, pool := range plan.Pools {
		fmt.Fprintf(&doc, "  - {name: %s, members: [%s-], size: %d, availability_budget: {min_available_percent: 80}}\n", pool.Name, pool.Name, pool.Size)
		for _, i := range pool.Instances {
			report.Instances = append(report.Instances, record.Instance{
				ID: i.ID, Phase: record.PhaseLive, AvailabilityZone: i.AvailabilityZone, Rack: i.Rack, Slots: 8,
			})
		}
	}
	f.apply("h0", record.Op{ConfigPublish: &record.ConfigPublish{Document: doc.String()}}, record.Op{InstancesReport: &report})
	return f
}

func (f *foldFleet) apply(holder string, ops ...record.Op) []fold.Outcome {
	f.seq[holder]++
	data, err := record.Encode(record.Record{Writer: holder, Incarnation: holder, Seq: f.seq[holder], Ops: ops})
	if err != nil {
		f.tb.Fatal(err)
	}
	result, err := f.state.Apply(f.state.Next(), data)
	if err != nil {
		f.tb.Fatal(err)
	}
	f.records++
	return result.Outcomes
}

// all applies one op per proposal in one record; all must be accepted.
func (f *foldFleet) all(proposals []Proposal, op func(p Proposal) record.Op) {
	ops := make([]record.Op, len(proposals))
	for n, p := range proposals {
		ops[n] = op(p)
	}
	for _, o := range f.apply("h0", ops...) {
		if !o.Accepted {
			f.tb.Fatalf("%s: %s %s", o.Kind, o.Reason, o.Detail)
		}
	}
}

func (f *foldFleet) advance(proposals []Proposal, phases ...record.LeavePhase) {
	for _, phase := range phases {
		f.all(proposals, func(p Proposal) record.Op {
			return record.Op{LeaveAdvance: &record.LeaveAdvance{Instance: p.Instance, Phase: phase}}
		})
	}
}

func (f *foldFleet) list(proposals []Proposal, phase record.Phase) {
	report := record.InstancesReport{ListVersion: f.state.ListVersion() + 1}
	for _, p := range proposals {
		_, rack, _ := strings.Cut(p.Rack, "/")
		report.Instances = append(report.Instances, record.Instance{
			ID: p.Instance, Phase: phase, AvailabilityZone: p.AvailabilityZone, Rack: rack, Slots: 8,
		})
	}
	f.apply("h0", record.Op{InstancesReport: &report})
}

// release gives back all slots of the instances.
func (f *foldFleet) release(proposals []Proposal) {
	for _, holder := range f.holders {
		var release record.Release
		for _, p := range proposals {
			if slots := f.state.InstanceSlots(holder, p.Instance); slots > 0 {
				release.Slots = append(release.Slots, record.InstanceSlots{Instance: p.Instance, Slots: slots})
			}
		}
		f.apply(holder, record.Op{Release: &release})
	}
}

// rollout folds a whole wave.
func (f *foldFleet) rollout(wave string, pools []string) {
	f.apply("h0", record.Op{WaveStart: &record.WaveStart{Wave: wave, Pools: pools}})
	for {
		w, _ := f.state.Wave(wave)
		if !w.Open() {
			return
		}
		next := NextInstances(Take(f.state, w), time.Time{})
		f.all(next, func(p Proposal) record.Op {
			return record.Op{LeaveRequest: &record.LeaveRequest{Wave: wave, Instance: p.Instance}}
		})
		f.advance(next, record.LeaveDraining)
		f.release(next)
		f.advance(next, record.LeaveStopping, record.LeaveRebooting)
		f.list(next, record.PhaseGone)
		f.list(next, record.PhaseLive)
		f.advance(next, record.LeaveProbing, record.LeaveReturned)
	}
}

func poolNames(s Snapshot) []string {
	var pools []string
	for _, p := range s.Pools {
		pools = append(pools, p.Name)
	}
	return pools
}

// One iteration is a whole roll-out through the fold, with the records of nine holders that release their slots.
func BenchmarkFoldRollout(b *testing.B) {
	for _, scale := range scales {
		plan := fleet(scale.instances, scale.pools, scale.zones)
		b.Run(scale.name, func(b *testing.B) {
			f := newFoldFleet(b, plan)
			f.records = 0
			n := 0
			for ; b.Loop(); n++ {
				f.rollout(fmt.Sprintf("w%d", n), poolNames(plan))
			}
			b.ReportMetric(float64(f.records)/float64(n), "records")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(f.records), "µs/record")
		})
	}
}

// The request is refused by the budget, so that the state stays the same.
func BenchmarkFoldLeaveRequest(b *testing.B) {
	for _, scale := range scales {
		plan := fleet(scale.instances, scale.pools, scale.zones)
		b.Run(scale.name, func(b *testing.B) {
			f := newFoldFleet(b, plan)
			f.apply("h0", record.Op{WaveStart: &record.WaveStart{Wave: "w", Pools: poolNames(plan)}})
			w, _ := f.state.Wave("w")
			f.all(NextInstances(Take(f.state, w), time.Time{}), func(p Proposal) record.Op {
				return record.Op{LeaveRequest: &record.LeaveRequest{Wave: "w", Instance: p.Instance}}
			})
			instances := plan.Pools[0].Instances
			request := record.LeaveRequest{Wave: "w", Instance: instances[len(instances)-1].ID}
			for b.Loop() {
				if f.apply("h0", record.Op{LeaveRequest: &request})[0].Accepted {
					b.Fatal("the request was accepted")
				}
			}
		})
	}
}

func BenchmarkTakeSnapshot(b *testing.B) {
	for _, scale := range scales {
		plan := fleet(scale.instances, scale.pools, scale.zones)
		b.Run(scale.name, func(b *testing.B) {
			f := newFoldFleet(b, plan)
			f.apply("h0", record.Op{WaveStart: &record.WaveStart{Wave: "w", Pools: poolNames(plan)}})
			w, _ := f.state.Wave("w")
			for b.Loop() {
				Take(f.state, w)
			}
		})
	}
}
