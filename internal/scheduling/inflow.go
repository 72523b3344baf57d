package scheduling

import (
	"math"
	"time"
)

const (
	// inflowFast and inflowSlow are the time constants of the two averages of arriving work. Demand rises within two to three seconds: the fast
	// average follows it, and its lead over the slow one tells how fast it rises.
	inflowFast = 800 * time.Millisecond
	inflowSlow = 2400 * time.Millisecond
	// inflowTrend is the part of that lead that is added, for the time until an instance that is ordered now can work.
	inflowTrend = 0.6
)

// Inflow measures how much work arrives at a pool, so that instances are ordered when demand begins to rise and not only when the pool is full.
type Inflow struct {
	fast, slow average
}

// average is an exponentially decaying average of arriving work, in thousandths of a core.
type average struct {
	value float64
	at    time.Duration
}

func (a *average) decayed(now, constant time.Duration) float64 {
	return a.value * math.Exp(-float64(now-a.at)/float64(constant))
}

func (a *average) add(work float64, now, constant time.Duration) {
	a.value = a.decayed(now, constant) + work/constant.Seconds()
	a.at = now
}

// Add counts work, in thousandths of a core times seconds, that has arrived at a moment of a steady clock.
func (i *Inflow) Add(work float64, now time.Duration) {
	i.fast.add(work, now, inflowFast)
	i.slow.add(work, now, inflowSlow)
}

// Expected returns the processor, in thousandths of a core, that the arriving work will take by the time that an instance ordered now can
// work.
func (i *Inflow) Expected(now time.Duration) int64 {
	fast, slow := i.fast.decayed(now, inflowFast), i.slow.decayed(now, inflowSlow)
	return int64(fast + inflowTrend*max(fast-slow, 0))
}
