package maintenance

import (
	"math"
	"slices"
	"time"

	"pollenlead/internal/disruption"
)

// Planner chooses the instances of the next step.
type Planner func(s Snapshot, now time.Time) []Proposal

// Rollout is the summary of a simulated roll-out in which every step takes the proposed instances down and then returns
// them.
type Rollout struct {
	Steps int `json:"steps"`
	// Taken is the number of instances that were taken down, and Left the number of available instances that the
	// planner never chose.
	Taken int `json:"taken"`
	Left  int `json:"left"`
	// SmallestAvailable is the minimum total of available instances over all pools, before the roll-out and in its
	// steps.
	SmallestAvailable int `json:"smallest_available"`
	// SmallestInPool is the minimum number of available instances of a pool while some of its instances are down, and
	// SmallestMargin the minimum difference between that number and the pool's floor.
	SmallestInPool int `json:"smallest_in_pool"`
	SmallestMargin int `json:"smallest_margin"`
	// BelowFloor counts the steps and pools in which a pool with instances down was below its floor.
	BelowFloor int `json:"below_floor"`
}

// CountRollout simulates a roll-out and counts its steps and the instances that stay available. It produces the plan
// that is shown before a wave starts, and serves to compare planners.
func CountRollout(s Snapshot, next Planner, now time.Time) Rollout {
	s = cloneSnapshot(s)
	r := Rollout{SmallestAvailable: math.MaxInt, SmallestInPool: math.MaxInt, SmallestMargin: math.MaxInt}
	r.observe(s)
	for {
		proposals := next(s, now)
		if len(proposals) == 0 {
			break
		}
		r.Steps++
		r.Taken += len(proposals)
		updateInstances(s, proposals, func(i *Instance) { i.Down = true })
		r.observe(s)
		updateInstances(s, proposals, func(i *Instance) { i.Down, i.Done = false, true })
	}
	if r.Steps == 0 {
		r.SmallestInPool, r.SmallestMargin = 0, 0
	}
	for _, pool := range s.Pools {
		for _, i := range pool.Instances {
			if i.Available() && !i.Done {
				r.Left++
			}
		}
	}
	return r
}

func (r *Rollout) observe(s Snapshot) {
	total := 0
	for _, pool := range s.Pools {
		budget := pool.Budget()
		available := budget.Available()
		total += available
		if slices.ContainsFunc(budget.Instances, func(i disruption.Instance) bool { return i.Down }) {
			r.observePool(available, available-budget.Floor())
		}
	}
	r.SmallestAvailable = min(r.SmallestAvailable, total)
}

func (r *Rollout) observePool(available, margin int) {
	r.SmallestInPool = min(r.SmallestInPool, available)
	r.SmallestMargin = min(r.SmallestMargin, margin)
	if margin < 0 {
		r.BelowFloor++
	}
}

func cloneSnapshot(s Snapshot) Snapshot {
	pools := make([]Pool, len(s.Pools))
	for n, pool := range s.Pools {
		pool.Instances = append([]Instance(nil), pool.Instances...)
		pools[n] = pool
	}
	s.Pools = pools
	return s
}

func updateInstances(s Snapshot, proposals []Proposal, edit func(*Instance)) {
	chosen := map[string]bool{}
	for _, p := range proposals {
		chosen[p.Instance] = true
	}
	for _, pool := range s.Pools {
		for n := range pool.Instances {
			if chosen[pool.Instances[n].ID] {
				edit(&pool.Instances[n])
			}
		}
	}
}

// Sequential is a baseline for measurements: one instance of the whole wave at a time, within the budget.
func Sequential(s Snapshot, now time.Time) []Proposal {
	for _, pool := range s.Pools {
		budget := pool.Budget()
		for _, i := range pool.Instances {
			if !i.Available() || i.Done {
				continue
			}
			if decision := disruption.Allowed(budget, i.ID); decision.Allowed() {
				return []Proposal{{Pool: pool.Name, Instance: i.ID, Decision: decision}}
			}
		}
	}
	return nil
}

// FixedPercent is a baseline for measurements: the given percentage of each pool at a time, rounded down but at least
// one instance, regardless of the budget.
func FixedPercent(percent int) Planner {
	return func(s Snapshot, _ time.Time) []Proposal {
		var proposals []Proposal
		for _, pool := range s.Pools {
			step := max(len(pool.Instances)*percent/100, 1)
			for _, i := range pool.Instances {
				if step > 0 && i.Available() && !i.Done {
					proposals = append(proposals, Proposal{Pool: pool.Name, Instance: i.ID})
					step--
				}
			}
		}
		return proposals
	}
}
