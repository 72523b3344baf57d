package scheduling

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// uniform returns the quantiles of a duration that lies evenly between two limits.
func uniform(from, to time.Duration) func(float64) time.Duration {
	return func(p float64) time.Duration { return from + time.Duration(p*float64(to-from)) }
}

func timing(elapsed time.Duration) Timing {
	work := uniform(200*time.Millisecond, 1800*time.Millisecond)
	return Timing{
		Elapsed: elapsed, Stretch: 1.5, LatencyObjective: 500 * time.Millisecond, Total: work, Left: work,
	}
}

// TestTiersFollowTheChance guards against taking uncertain work for on time until it hardly ever is, and against giving
// work up that may still be done while it has value: the longest possible work has the longest objective.
func TestTiersFollowTheChance(t *testing.T) {
	is := is.New(t)
	classify := func(elapsed time.Duration) Tier {
		x := timing(elapsed)
		tier, _ := x.Classify()
		return tier
	}
	last := TierOnTime
	for elapsed := time.Duration(0); elapsed < 20*time.Second; elapsed += 50 * time.Millisecond {
		tier := classify(elapsed)
		is.True(tier >= last)
		last = tier
		onTime, useful := 0, 0
		for p := 0.005; p < 1; p += 0.01 { // the durations that the work may have
			x := timing(elapsed)
			if x.objective(p) >= elapsed+x.Left(p) {
				onTime++
			}
			if lateFactor*x.objective(p) >= elapsed+x.Left(p) {
				useful++
			}
		}
		is.Equal(tier == TierOnTime, onTime >= 100*onTimeProbability)
		is.True(tier != TierExpired || useful <= 100*valueProbability)
		is.True(tier == TierExpired || useful >= 100*valueProbability)
	}
	is.Equal(last, TierExpired)
}

// TestShortObjectiveNeedsShortWork guards against judging a queue whose objective is shorter than the work by its
// shortest jobs, which are the only ones that may wait.
func TestShortObjectiveNeedsShortWork(t *testing.T) {
	is := is.New(t)
	x := timing(0)
	x.Stretch = 0.5
	is.Equal(x.objective(onTimeProbability) >= x.Left(onTimeProbability), true)
	tier, slack := x.Classify()
	is.Equal(tier, TierOnTime)
	is.Equal(slack, x.objective(onTimeProbability)-x.Left(onTimeProbability))
}

// TestExcessComesAfterShares guards against work of a team beyond its share that comes before the late work of others,
// and against work without value that comes before any other.
func TestExcessComesAfterShares(t *testing.T) {
	is := is.New(t)
	rank := func(elapsed time.Duration, excess bool) Rank {
		x := timing(elapsed)
		x.Excess = excess
		var r Rank
		r.Tier, r.Slack = x.Classify()
		return r
	}
	order := []Rank{
		rank(100*time.Millisecond, false), rank(0, false), rank(3*time.Second, false), rank(2500*time.Millisecond, false),
		rank(3*time.Second, true), rank(0, true), rank(20*time.Second, false),
	}
	is.Equal(rank(20*time.Second, true).Tier, TierExpired)
	for i := 1; i < len(order); i++ {
		is.True(order[i-1].compare(order[i]) < 0)
	}
}
