package scheduling

import (
	"math"
	"time"
)

const (
	// minWindow and maxWindow bound the time over which arriving work is averaged. windowFraction is the window as a
	// fraction of the mean job duration: the work of a long job is not all needed at once.
	minWindow      = 500 * time.Millisecond
	maxWindow      = 4 * time.Second
	windowFraction = 0.5
	// slowWindowFactor is the ratio of the window of the slow average to that of the fast one. The difference of the
	// two averages shows how fast demand rises.
	slowWindowFactor = 3
	// maxRiseFraction bounds the extrapolated rise, as a fraction of the arriving work.
	maxRiseFraction = 1.5
	// durationWeight is the weight of one job in the mean job duration.
	durationWeight = 0.05
)

// Inflow measures the rate at which work arrives at a pool, so that instances are ordered when demand begins to rise
// and not only when the pool is full.
type Inflow struct {
	fast, slow  average
	jobDuration time.Duration // mean time that a job takes
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
	return min(max(time.Duration(windowFraction*float64(i.jobDuration)), minWindow), maxWindow)
}

// Add records a job that arrived at the time now of a monotonic clock. work is its total work in thousandths of a
// core times seconds, and jobDuration is the duration of its longest chain of steps.
func (i *Inflow) Add(work float64, jobDuration, now time.Duration) {
	if i.jobDuration == 0 {
		i.jobDuration = jobDuration
	}
	i.jobDuration += time.Duration(durationWeight * float64(jobDuration-i.jobDuration))
	i.fast.add(work, now, i.window())
	i.slow.add(work, now, slowWindowFactor*i.window())
}

// Expected returns the CPU, in thousandths of a core, that arriving work will need after the time lead, which is the
// time until an instance that is ordered now accepts tasks.
func (i *Inflow) Expected(now, lead time.Duration) int64 {
	window := i.window()
	fast, slow := i.fast.decayed(now, window), i.slow.decayed(now, slowWindowFactor*window)
	// The average lags by its window, and running work lags behind arriving work by half the job duration.
	ahead := max(lead+window-i.jobDuration/2, 0)
	slope := max(fast-slow, 0) / float64((slowWindowFactor-1)*window)
	return int64(fast + min(slope*float64(ahead), maxRiseFraction*fast))
}
