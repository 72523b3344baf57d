package scheduling

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestFillerPaceProtectsTheTarget guards against serving tasks that stay over their target because of filler work: with a tail that follows
// the filler's pace with a delay and noise, it comes below the target and stays there.
func TestFillerPaceProtectsTheTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		alone := rapid.Float64Range(0.1, 0.55).Draw(t, "tail without filler")
		harm := rapid.Float64Range(0, 3).Draw(t, "harm at full pace")
		noise := rapid.Float64Range(0, 0.04).Draw(t, "noise")
		pace, before := fullPace, fullPace
		over := 0
		for step := range 60 {
			tail := alone + harm*float64(before)/fullPace // the tail shows the pace of one report before
			if step%2 == 0 {
				tail += noise
			}
			if tail >= paceStop {
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

// TestFillerPaceGivesBack guards against filler work that stays slow on a calm worker.
func TestFillerPaceGivesBack(t *testing.T) {
	is := is.New(t)
	pace := 0
	for range 10 {
		pace = FillerPace(pace, 0.2)
	}
	is.Equal(pace, fullPace)
	is.Equal(FillerPace(40, 0.7), 40) // between the bounds nothing changes
}
