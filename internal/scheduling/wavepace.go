package scheduling

import (
	"math"
	"time"

	"pollenlead/internal/disruption"
)

// maxDrainFraction is the largest part of the window of a wave that is kept for its last drains.
const maxDrainFraction = 0.5

// WaitReason is what a pending instance of a wave waits for.
type WaitReason string

// The reasons for which an instance is not selected yet.
const (
	WaitsForNothing WaitReason = ""
	// WaitsForWorker means that the instance has no worker that can be drained, or may get no order yet.
	WaitsForWorker WaitReason = "worker"
	// WaitsForLoad means that the instance's pool is busy.
	WaitsForLoad WaitReason = "load"
	// WaitsForBudget means that the availability budget of the pool is used up.
	WaitsForBudget WaitReason = "budget"
	// WaitsForRack means that instances of another rack of the pool are down.
	WaitsForRack WaitReason = "rack"
	// WaitsForTurn means that as many instances are drained or maintained as the wave allows.
	WaitsForTurn WaitReason = "turn"
)

// Behind returns the number of instances that have to be selected now so that the wave is paced over its whole window:
// drains that all begin near the deadline leave no time for those that take long.
func (v *WaveView) Behind() int {
	slowest := max(v.TypicalDuration, v.LongDrains)
	selected := 0
	for _, i := range v.Instances {
		if i.Phase != MaintenancePending {
			selected++
			continue
		}
		slowest = max(slowest, i.Duration)
	}
	last := v.Window - min(slowest, time.Duration(maxDrainFraction*float64(v.Window)))
	if last <= 0 {
		return 0
	}
	share := min(float64(v.Window-v.TimeLeft)/float64(last), 1)
	return int(math.Ceil(share*float64(len(v.Instances)))) - selected
}

// mayHurry reports whether an instance may be selected because the wave is behind its pace. The pool keeps its
// availability budget, but it may be busy, and instances of several of its racks may be down.
func (v *WaveView) mayHurry(i *WaveInstance) bool {
	if v.Pools[i.Pool] == nil {
		return false
	}
	pool := *v.Pools[i.Pool]
	pool.AnyRack = true
	return disruption.Allowed(pool, i.ID).Allowed()
}

// waitsFor returns what a pending instance waits for apart from its turn. Nothing holds up an urgent one.
func (v *WaveView) waitsFor(i *WaveInstance, urgent bool) WaitReason {
	pool := v.Pools[i.Pool]
	switch {
	case i.isUnused() && (i.Up || i.Off):
		return WaitsForNothing
	case !i.Up, pool == nil:
		return WaitsForWorker
	case urgent:
		return WaitsForNothing
	case i.Load > maxCalmLoad:
		return WaitsForLoad
	case i.Evacuated:
		return WaitsForNothing
	}
	switch d := disruption.Allowed(*pool, i.ID); d.Rule {
	case disruption.RuleWithinBudget:
		return WaitsForNothing
	case disruption.RuleOtherRackDown:
		return WaitsForRack
	default:
		return WaitsForBudget
	}
}

// Waits returns the number of pending instances by what they wait for.
func (v *WaveView) Waits() map[WaitReason]int {
	urgent := v.Urgent()
	waits := map[WaitReason]int{}
	for n := range v.Instances {
		i := &v.Instances[n]
		if i.Phase != MaintenancePending {
			continue
		}
		reason := v.waitsFor(i, urgent || v.overdue(i))
		if reason == WaitsForNothing {
			reason = WaitsForTurn
		}
		waits[reason]++
	}
	return waits
}
