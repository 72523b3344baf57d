package scheduling

// Parts of a latency target between which the pace of filler work is held.
const (
	// paceStop is the part of the target from which on filler work hardly goes on, and paceSlow the one from which on it is halved.
	paceStop = 1.0
	paceSlow = 0.8
	// paceFree is the part of the target below which filler work gets some of its pace back.
	paceFree = 0.6
	// paceLeast is the pace in percent that filler work is first cut to, and paceStep what it gets back at once. Giving back slowly keeps
	// the tail from swinging.
	paceLeast = 10
	paceStep  = 10
	fullPace  = 100
)

// FillerPace returns the pace in percent for the filler work of a worker, from its present pace and the highest tail latency among the
// serving tasks there as a part of their targets. It answers interference that changes within seconds: it cuts at once and gives back
// in steps.
func FillerPace(present int, tail float64) int {
	switch {
	case tail >= paceStop && present <= paceLeast:
		return 0
	case tail >= paceStop:
		return paceLeast
	case tail >= paceSlow:
		return present / 2
	case tail < paceFree:
		return min(present+paceStep, fullPace)
	default:
		return present
	}
}
