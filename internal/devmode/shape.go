package devmode

import (
	"time"
)

// The load's shape: a queue bursts to five times its mean for seconds and falls to a twentieth in between.
const (
	shapePeriod   = 7 * time.Second
	burstLength   = 2 * time.Second
	lullLength    = 3 * time.Second
	burstFactor   = 5.0
	lullFactor    = 1.0 / 20
	normalFactor  = 1.0
	phaseShiftDiv = 5
)

// loadFactor returns the multiple of a service's mean rate at time since start. Services burst one after the other, so that
// one pool is full while others are idle.
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
