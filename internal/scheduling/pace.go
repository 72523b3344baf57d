package scheduling

// Thresholds of the tail latency, as fractions of the latency target, that control the pace of filler work.
const (
	// At pauseRatio filler work is cut to minPace and then paused. From halveRatio on its pace is halved.
	pauseRatio = 1.0
	halveRatio = 0.8
	// Below recoverRatio filler work regains some of its pace.
	recoverRatio = 0.6
	// minPace is the pace in percent to which filler work is first cut. paceIncrement is the increase per report;
	// small increments keep the tail latency from oscillating.
	minPace       = 10
	paceIncrement = 10
	maxPace       = 100
)

// FillerPace returns the pace in percent for the filler work of a worker. present is its current pace, and tail is
// the highest ratio of tail latency to latency target among the serving tasks there. Interference changes within
// seconds, so the pace is cut at once and restored in steps.
func FillerPace(present int, tail float64) int {
	switch {
	case tail >= pauseRatio && present <= minPace:
		return 0
	case tail >= pauseRatio:
		return minPace
	case tail >= halveRatio:
		return present / 2
	case tail < recoverRatio:
		return min(present+paceIncrement, maxPace)
	default:
		return present
	}
}
