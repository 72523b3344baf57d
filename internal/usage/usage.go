// Package usage accounts for the time of instances: how many instance-seconds each pool spends in which state. The
// sums show what capacity costs and why it is held. Its functions are pure and read no clock.
package usage

import (
	"maps"
	"time"

	"pollenlead/internal/fleet"
)

// State is what an instance, or a part of it, is used for.
type State string

// The states of instances. An instance with runs is divided between the part of its processor that they use and the
// remainder.
const (
	// Running is the used part of the instances with runs.
	Running State = "running"
	// Fragment is the free part of the instances on which a run will end by itself.
	Fragment State = "fragment"
	// Held is the free part of the instances on which only long-running tasks run: they keep the instance in its pool.
	Held State = "held_by_long_running"
	// Reserve is instances without runs that the pool keeps for its work and as its reserve.
	Reserve State = "idle_in_reserve"
	// Surplus is instances without runs that the pool does not need and that are not released yet.
	Surplus State = "idle_awaiting_release"
	// Starting is instances that are up and whose worker has not answered yet.
	Starting State = "starting"
	// Leaving is instances without runs that get no tasks, because they are cordoned or draining.
	Leaving State = "cordoned_or_leaving"
	// Unusable is instances without runs whose worker is silent or avoided after a fault.
	Unusable State = "unusable"
	// Moving is instances that the platform moves between pools.
	Moving State = "moving"
	// Maintenance is instances in maintenance.
	Maintenance State = "in_maintenance"
	// Down is instances that are out of service without an order.
	Down State = "down"
	// Off is instances of a standby pool.
	Off State = "switched_off"
)

// States lists all states in the order in which they are reported.
var States = []State{
	Running, Fragment, Held, Reserve, Surplus, Starting, Leaving, Unusable, Moving, Maintenance, Down, Off,
}

// Instance is the state of one instance at one moment, as far as its use depends on it.
type Instance struct {
	Phase fleet.InstancePhase
	// Standby means that the instance belongs to a standby pool.
	Standby bool
	// Contacted means that the instance has a worker that has answered.
	Contacted bool
	// Leaving means that the worker is cordoned or draining, and Usable that it may get tasks.
	Leaving, Usable bool
	// Runs is the number of runs on the worker, and LongRunning the number of those that do not end by themselves.
	Runs, LongRunning int
	// UsedCPU and CPU are the used and the whole CPU capacity, in thousandths of a core.
	UsedCPU, CPU int64
}

// state returns the state of the instance, or of the unused part of an instance with runs.
func (i *Instance) state() State {
	switch {
	case i.Phase == fleet.InstanceMoving:
		return Moving
	case i.Phase == fleet.InstanceMaintenance:
		return Maintenance
	case i.Phase != fleet.InstanceUp:
		return Down
	case i.Standby:
		return Off
	case i.Runs > i.LongRunning:
		return Fragment
	case i.Runs > 0:
		return Held
	case i.Leaving:
		return Leaving
	case !i.Contacted:
		return Starting
	case !i.Usable:
		return Unusable
	default:
		return Reserve
	}
}

// usedPart returns the part of the instance that its runs use, from 0 to 1.
func (i *Instance) usedPart() float64 {
	if i.CPU <= 0 {
		return 0
	}
	return min(max(float64(i.UsedCPU)/float64(i.CPU), 0), 1)
}

// Snapshot is an amount for each state of the instances of one pool: their number at one moment, in which parts of
// instances count as fractions, or instance-seconds.
type Snapshot map[State]float64

// Add counts an instance.
func (s Snapshot) Add(i Instance) {
	rest := i.state()
	if rest != Fragment && rest != Held {
		s[rest]++
		return
	}
	used := i.usedPart()
	s[Running] += used
	s[rest] += 1 - used
}

// MarkSurplus counts idle instances as awaiting their release, up to the given number.
func (s Snapshot) MarkSurplus(instances int) {
	n := min(float64(max(instances, 0)), s[Reserve])
	s[Reserve] -= n
	s[Surplus] += n
}

// Sum returns the sum over all states.
func (s Snapshot) Sum() float64 {
	sum := 0.0
	for _, n := range s {
		sum += n
	}
	return sum
}

// Account holds the instance-seconds of each pool by state. The zero value is not usable; see NewAccount.
type Account struct{ pools map[string]Snapshot }

// NewAccount returns an empty account.
func NewAccount() *Account { return &Account{pools: map[string]Snapshot{}} }

// Add adds the time for which a pool was in the state of a snapshot.
func (a *Account) Add(pool string, s Snapshot, elapsed time.Duration) {
	sums := a.pools[pool]
	if sums == nil {
		sums = Snapshot{}
		a.pools[pool] = sums
	}
	for state, instances := range s {
		sums[state] += instances * elapsed.Seconds()
	}
}

// Pools returns a copy of the instance-seconds by pool.
func (a *Account) Pools() map[string]Snapshot {
	pools := make(map[string]Snapshot, len(a.pools))
	for name, sums := range a.pools {
		pools[name] = maps.Clone(sums)
	}
	return pools
}
