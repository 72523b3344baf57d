package scheduling

import "time"

// DrainRun is a run on an instance that a wave drains. Runs of long-running steps and of gangs are not among them.
type DrainRun struct {
	// Elapsed is the time for which the run has been running, and Left the expected time until it ends.
	Elapsed, Left time.Duration
	// DoneInTime is the probability that the run ends before its instance has to be ordered.
	DoneInTime float64
	// Share is the part of the instance's processor that the run takes.
	Share float64
}

const (
	// minDoneInTime is the probability of its end in time below which a run is no longer waited for.
	minDoneInTime = 0.4
	// lateInstanceCost is the work, in time of a whole instance, that may be lost so that an instance is in time. An
	// instance that is late holds up what the operators do after the wave.
	lateInstanceCost = 10 * time.Second
)

// RunsToStop returns the runs, by index, that are stopped because waiting for them would make the instance late. Their
// tasks start again elsewhere, so what they have done is lost. They are stopped if less is lost than by waiting: until
// the last of them has ended, the rest of the instance is unused.
func RunsToStop(runs []DrainRun) []int {
	var late []int
	var lost, wait time.Duration
	for n, r := range runs {
		if r.DoneInTime >= minDoneInTime {
			continue
		}
		late = append(late, n)
		lost += time.Duration(r.Share * float64(r.Elapsed))
		wait = max(wait, r.Left)
	}
	if lost > wait+lateInstanceCost {
		return nil
	}
	return late
}
