package leader

import "time"

const (
	// leastTimeout and callTimeout bound the time that a heartbeat may take. A lost answer has to show soon enough for another heartbeat
	// before the others claim, and a slow store has to be given its time.
	leastTimeout = 450 * time.Millisecond
	// paceWeight is the weight of one heartbeat in the smoothed time, and paceFactor how many times that a heartbeat may take.
	paceWeight = 0.3
	paceFactor = 3
)

// pace is the smoothed time that the store takes for a heartbeat.
type pace struct{ smoothed time.Duration }

func (p *pace) observe(took time.Duration) {
	p.smoothed += time.Duration(paceWeight * float64(took-p.smoothed))
}

// timeout is how long the next heartbeat may take.
func (p *pace) timeout() time.Duration {
	return min(max(paceFactor*p.smoothed, leastTimeout), callTimeout)
}
