package usage

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pollenlead/internal/fleet"
)

// TestStatesSumToTheTotal guards against instance time that is counted twice or in no state, which would hide where
// capacity goes.
func TestStatesSumToTheTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		phases := []fleet.InstancePhase{
			fleet.InstanceUp, fleet.InstanceMoving, fleet.InstanceMaintenance, fleet.InstanceDown, "unknown",
		}
		account := NewAccount()
		total := 0.0
		for range rapid.IntRange(1, 20).Draw(t, "intervals") {
			s := Snapshot{}
			instances := rapid.IntRange(0, 60).Draw(t, "instances")
			for range instances {
				runs := rapid.IntRange(0, 9).Draw(t, "runs")
				s.Add(Instance{
					Phase:     rapid.SampledFrom(phases).Draw(t, "phase"),
					Standby:   rapid.Bool().Draw(t, "standby"),
					Contacted: rapid.Bool().Draw(t, "contacted"),
					Leaving:   rapid.Bool().Draw(t, "leaving"),
					Usable:    rapid.Bool().Draw(t, "usable"),
					Runs:      runs, LongRunning: rapid.IntRange(0, runs).Draw(t, "long-running"),
					UsedCPU: rapid.Int64Range(-1, 70_000).Draw(t, "used"), CPU: rapid.Int64Range(0, 64_000).Draw(t, "cpu"),
				})
			}
			s.MarkSurplus(rapid.IntRange(-5, 80).Draw(t, "surplus"))
			elapsed := time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond
			account.Add("pool", s, elapsed)
			total += float64(instances) * elapsed.Seconds()
		}
		sums, sum := account.Pools()["pool"], 0.0
		for _, state := range States {
			seconds := sums[state]
			if seconds < -1e-9 {
				t.Fatalf("state %s has %g instance-seconds", state, seconds)
			}
			sum += seconds
		}
		if math.Abs(sum-total) > 1e-6 || math.Abs(sums.Sum()-total) > 1e-6 {
			t.Fatalf("the listed states sum to %g and all to %g, want %g", sum, sums.Sum(), total)
		}
	})
}

// TestInstanceIsDividedByUse guards against an instance with one small run that counts as fully used.
func TestInstanceIsDividedByUse(t *testing.T) {
	is := is.New(t)
	s := Snapshot{}
	up := Instance{Phase: fleet.InstanceUp, Contacted: true, Usable: true, CPU: 64_000}
	mixed, held := up, up
	mixed.Runs, mixed.LongRunning, mixed.UsedCPU = 2, 1, 16_000
	held.Runs, held.LongRunning, held.UsedCPU = 1, 1, 8_000
	for _, i := range []Instance{up, up, up, mixed, held} {
		s.Add(i)
	}
	s.MarkSurplus(2)
	is.Equal(s, Snapshot{Running: 0.375, Fragment: 0.75, Held: 0.875, Reserve: 1, Surplus: 2})
}
