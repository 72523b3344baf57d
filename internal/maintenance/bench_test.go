package maintenance

import (
	"fmt"
	"testing"
	"time"

	"pollenlead/internal/record"
	"pollenlead/internal/statemachine"
)

// scales are the fleet sizes of the benchmarks: the target in two years and the present fleet.
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

// withFailedInstances marks every n-th instance of the fleet as not live.
func withFailedInstances(s Snapshot, n int) Snapshot {
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

// One in 50 instances has failed, which is the number of failures per day at the target scale.
func BenchmarkRollout(b *testing.B) {
	for _, scale := range scales {
		whole := fleet(scale.instances, scale.pools, scale.zones)
		failing := withFailedInstances(fleet(scale.instances, scale.pools, scale.zones), 50)
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

// One iteration is a complete roll-out through the driver and the replicated state machine, including the setup of the
// state.
func BenchmarkDriverRollout(b *testing.B) {
	for _, scale := range scales {
		plan := fleet(scale.instances, scale.pools, scale.zones)
		b.Run(scale.name, func(b *testing.B) {
			ticks, records := 0, uint64(0)
			for b.Loop() {
				w := newTestCluster(b, plan, "h")
				d := (&entry{testCluster: w, holder: "h", valid: true}).driver()
				first := w.state.Next()
				for ; w.wave().Open(); ticks++ {
					d.Step(b.Context())
					w.tick()
				}
				records += w.state.Next() - first
			}
			b.ReportMetric(float64(ticks)/float64(b.N), "ticks")
			b.ReportMetric(float64(records)/float64(b.N), "records")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(ticks), "µs/tick")
		})
	}
}

// The budget rejects the request, so the state does not change between iterations.
func BenchmarkApplyLeaveRequest(b *testing.B) {
	for _, scale := range scales {
		plan := fleet(scale.instances, scale.pools, scale.zones)
		b.Run(scale.name, func(b *testing.B) {
			w := newTestCluster(b, plan, "h")
			(&entry{testCluster: w, holder: "h", valid: true}).driver().Step(b.Context())
			last := plan.Pools[0].Instances[len(plan.Pools[0].Instances)-1]
			request := record.Op{LeaveRequest: &record.LeaveRequest{Wave: "wave", Instance: last.ID}}
			for b.Loop() {
				if outcomes, err := w.submit("h", []record.Op{request}); err != nil ||
					outcomes[0].Reason != statemachine.ReasonBudget {
					b.Fatal(outcomes, err)
				}
			}
		})
	}
}

func BenchmarkTakeSnapshot(b *testing.B) {
	for _, scale := range scales {
		w := newTestCluster(b, fleet(scale.instances, scale.pools, scale.zones), "h")
		b.Run(scale.name, func(b *testing.B) {
			for b.Loop() {
				TakeSnapshot(w.state, w.wave())
			}
		})
	}
}
