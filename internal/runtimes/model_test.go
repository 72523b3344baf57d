package runtimes

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const queue = "queue"

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// observeMany records runs with log-normal run times and estimates that are off by a uniform share.
func observeMany(m *Model, runs int, offBy float64) {
	r := rand.New(rand.NewPCG(1, 2))
	for range runs {
		took := 0.7 * math.Exp(0.5*r.NormFloat64())
		m.Observe(queue, seconds(took*(1+offBy*(2*r.Float64()-1))), seconds(took))
	}
}

// TestEstimateWithoutInformation guards against taking an estimate that may be off by nine tenths for the truth: the
// prediction has to come nearer to the run times than the estimate and than the typical run time.
func TestEstimateWithoutInformation(t *testing.T) {
	is := is.New(t)
	poor, good := NewModel(), NewModel()
	observeMany(poor, 2000, 0.9)
	observeMany(good, 2000, 0.1)
	p, g := poor.Stats()[queue], good.Stats()[queue]
	is.True(p.Slope < 0.6)
	is.True(p.ModelError < p.EstimateError)
	is.True(p.ModelError < p.TypicalError)
	is.True(g.Slope > 0.9)
	is.True(g.ModelError < 0.1)
}

// TestQuantilesMatchRuns guards against a distribution that does not describe the runs from which it was learned.
func TestQuantilesMatchRuns(t *testing.T) {
	is := is.New(t)
	m := NewModel()
	observeMany(m, 2000, 0.9)
	r := rand.New(rand.NewPCG(3, 4))
	below, sum, expected := 0, 0.0, 0.0
	const runs = 4000
	for range runs {
		took := 0.7 * math.Exp(0.5*r.NormFloat64())
		estimate := seconds(took * (1 + 0.9*(2*r.Float64()-1)))
		if seconds(took) <= m.Quantile(queue, estimate, 0.8) {
			below++
		}
		sum += took
		expected += m.Mean(queue, estimate).Seconds()
	}
	is.True(math.Abs(float64(below)/runs-0.8) < 0.06)
	is.True(math.Abs(expected/sum-1) < 0.1)
}

// TestPriorFollowsTheEstimate guards against a leader that knows no run times at the start of its term: a run of a
// queue without observations is expected to take about its estimate.
func TestPriorFollowsTheEstimate(t *testing.T) {
	is := is.New(t)
	m := NewModel()
	mean := m.Mean(queue, 4*time.Second)
	is.True(mean > 3*time.Second && mean < 5*time.Second)
	is.True(m.Quantile(queue, 4*time.Second, 0.9) > m.Quantile(queue, 4*time.Second, 0.1))
	is.True(m.Mean(queue, 0) > 0)
}

// TestLongRunGoesOn guards against expecting the end of a run any moment because it has reached the usual run time.
func TestLongRunGoesOn(t *testing.T) {
	is := is.New(t)
	m := NewModel()
	observeMany(m, 1000, 0.5)
	is.True(m.TimeLeft(queue, seconds(0.7), seconds(0.1)) < m.Mean(queue, seconds(0.7)))
	is.True(m.TimeLeft(queue, seconds(0.7), 20*time.Second) > 3*time.Second)
	is.True(m.DoneWithin(queue, seconds(0.7), 20*time.Second, time.Second) < 0.3)
}

// TestOldRunsAreForgotten guards against a model that keeps the run times of a release that was replaced.
func TestOldRunsAreForgotten(t *testing.T) {
	is := is.New(t)
	m := NewModel()
	for range 3000 {
		m.Observe(queue, time.Second, time.Second)
	}
	for range 4 * averagedRuns {
		m.Observe(queue, time.Second, 4*time.Second)
	}
	is.True(math.Abs(m.Mean(queue, time.Second).Seconds()-4) < 0.4)
}

// TestAnswersAgree guards against answers that contradict each other, for any observations: chances rise with time and
// quantiles with their share, and a chance belongs to the quantile that is the deadline.
func TestAnswersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewModel()
		for _, ms := range rapid.SliceOfN(rapid.IntRange(0, 60_000), 0, 300).Draw(t, "took") {
			m.Observe(queue, time.Duration(rapid.IntRange(0, 5000).Draw(t, "estimate"))*time.Millisecond,
				time.Duration(ms)*time.Millisecond)
		}
		estimate := time.Duration(rapid.IntRange(0, 5000).Draw(t, "estimate")) * time.Millisecond
		elapsed := time.Duration(rapid.IntRange(0, 90_000).Draw(t, "elapsed")) * time.Millisecond
		stages := []Stage{{Estimate: estimate, Elapsed: elapsed}, {Estimate: estimate}}
		lastQuantile, lastChance := time.Duration(0), 0.0
		for p := 0.05; p < 1; p += 0.05 {
			x := m.TimeLeftQuantile(queue, estimate, elapsed, p)
			if x < lastQuantile {
				t.Fatalf("quantile %.2f is %v, below %v", p, x, lastQuantile)
			}
			within := m.PathLeftQuantile(queue, stages, p)
			chance := m.PathDoneWithin(queue, stages, within)
			if chance < lastChance || chance < p-0.05 { // more if several quantiles are equal
				t.Fatalf("chance of %.2f at quantile %.2f after %.2f", chance, p, lastChance)
			}
			if m.PathLeftQuantile(queue, stages, chance-0.05) > within {
				t.Fatalf("chance of %.2f within %v", chance, within)
			}
			if c := m.DoneWithin(queue, estimate, elapsed, x); x > time.Millisecond && c > 1 || c < 0 {
				t.Fatalf("chance of %.2f", c)
			}
			lastQuantile, lastChance = x, chance
		}
		if left := m.TimeLeft(queue, estimate, elapsed); left < 0 {
			t.Fatalf("%v left", left)
		}
	})
}

// TestTimeLeftOfAHangingRun guards against a time left that is wrong by orders of magnitude, or negative, because a run
// has been running for thousands of times its expected run time.
func TestTimeLeftOfAHangingRun(t *testing.T) {
	is := is.New(t)
	m := NewModel()
	for _, elapsed := range []time.Duration{time.Minute, time.Hour, 24 * time.Hour} {
		left := m.TimeLeftQuantile("queue", 100*time.Millisecond, elapsed, 0.5)
		is.True(left > elapsed/10 && left < elapsed/4) // the median of the power law above the time elapsed
	}
}
