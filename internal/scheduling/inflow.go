package scheduling

import (
	"math"
	"time"
)

const (
	// leastWindow and mostWindow bound the time over which arriving work is averaged, and windowPart is its part of the time that a job takes:
	// the work of a long job is not needed at once.
	leastWindow = 500 * time.Millisecond
	mostWindow  = 4 * time.Second
	windowPart  = 0.5
	// slowWindows is how many times longer the second average looks back. The lead of the first over it tells how fast demand rises.
	slowWindows = 3
	// mostRise bounds what is added for the rise, as a part of what arrives.
	mostRise = 1.5
	// chainWeight is the weight of one job in the mean time that jobs take.
	chainWeight = 0.05
)

// Inflow measures how much work arrives at a pool, so that instances are ordered when demand begins to rise and not only when the pool is full.
type Inflow struct {
	fast, slow average
	chain      time.Duration // mean time that a job takes
}

// average is an exponentially decaying average of arriving work, in thousandths of a core.
type average struct {
	value float64
	at    time.Duration
}

func (a *average) decayed(now, window time.Duration) float64 {
	return a.value * math.Exp(-float64(now-a.at)/float64(window))
}

func (a *average) add(work float64, now, window time.Duration) {
	a.value = a.decayed(now, window) + work/window.Seconds()
	a.at = now
}

func (i *Inflow) window() time.Duration {
	return min(max(time.Duration(windowPart*float64(i.chain)), leastWindow), mostWindow)
}

// Add counts a job that has arrived at a moment of a steady clock: its work, in thousandths of a core times seconds, and the time that it takes.
func (i *Inflow) Add(work float64, chain, now time.Duration) {
	if i.chain == 0 {
		i.chain = chain
	}
	i.chain += time.Duration(chainWeight * float64(chain-i.chain))
	i.fast.add(work, now, i.window())
	i.slow.add(work, now, slowWindows*i.window())
}

// Expected returns the processor, in thousandths of a core, that the arriving work will take after the time lead, in which an instance that is
// ordered now can work.
func (i *Inflow) Expected(now, lead time.Duration) int64 {
	window := i.window()
	fast, slow := i.fast.decayed(now, window), i.slow.decayed(now, slowWindows*window)
	// An average lags behind by its window, and what runs lags behind what arrives by half the time that a job takes.
	ahead := max(lead+window-i.chain/2, 0)
	slope := max(fast-slow, 0) / float64((slowWindows-1)*window)
	return int64(fast + min(slope*float64(ahead), mostRise*fast))
}
