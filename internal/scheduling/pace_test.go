package scheduling

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestFillerPaceProtectsTheTarget guards against serving tasks that stay above their latency target because of filler
// work. The simulated tail latency follows the filler's pace with a delay and noise; it must fall below the target
// and stay there.
func TestFillerPaceProtectsTheTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		alone := rapid.Float64Range(0.1, 0.55).Draw(t, "tail without filler")
		harm := rapid.Float64Range(0, 3).Draw(t, "harm at full pace")
		noise := rapid.Float64Range(0, 0.04).Draw(t, "noise")
		pace, before := maxPace, maxPace
		over := 0
		for step := range 60 {
			tail := alone + harm*float64(before)/maxPace // the tail reflects the pace of the previous report
			if step%2 == 0 {
				tail += noise
			}
			if tail >= pauseRatio {
				over++
			} else {
				over = 0
			}
			if over > 4 {
				t.Fatalf("over the target in 5 reports in a row, pace %d", pace)
			}
			before = pace
			pace = FillerPace(pace, tail)
		}
	})
}

// TestFillerPaceRecovers guards against filler work that stays slow on a worker without interference.
func TestFillerPaceRecovers(t *testing.T) {
	is := is.New(t)
	pace := 0
	for range 10 {
		pace = FillerPace(pace, 0.2)
	}
	is.Equal(pace, maxPace)
	is.Equal(FillerPace(40, 0.7), 40) // unchanged between the thresholds
}
