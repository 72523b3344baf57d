package devmode

import (
	"time"
)

// The load of each service varies periodically: five times the base rate during a burst, a twentieth of it during a
// lull, and the base rate for the rest of the period.
const (
	shapePeriod   = 7 * time.Second
	burstLength   = 2 * time.Second
	lullLength    = 3 * time.Second
	burstFactor   = 5.0
	lullFactor    = 1.0 / 20
	normalFactor  = 1.0
	phaseShiftDiv = 5
)

// loadFactor returns the factor by which the base rate of a service is multiplied at the given time since the start of
// the load. The bursts of the services follow one another, so that one pool is full while others are idle.
func loadFactor(since time.Duration, service int) float64 {
	shift := time.Duration(service) * shapePeriod / phaseShiftDiv
	at := (since + shift) % shapePeriod
	switch {
	case at < burstLength:
		return burstFactor
	case at < burstLength+lullLength:
		return lullFactor
	default:
		return normalFactor
	}
}
