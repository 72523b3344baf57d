package scheduling

import (
	"math"
	"slices"
	"time"
)

// BalanceInstance is an idle instance that may be moved to another pool.
type BalanceInstance struct {
	ID string
	// Kind is the instance kind. Pools exchange only instances of the same kind.
	Kind string
	// Labels are the labels of the instance, its kind and its rack among them.
	Labels []string
	// IdleFor is the time since the last run on the instance ended.
	IdleFor time.Duration
}

// BalancePool is the state of a pool at one moment. CPU amounts are in thousandths of a core.
type BalancePool struct {
	Name string
	// Standby means that the instances of the pool are switched off: they serve nothing and may be moved at any time.
	Standby bool
	// HomeSize is the number of instances that the operators assigned to the pool.
	HomeSize int
	// Size is the number of instances that may get tasks now or soon, including those that are moving to the pool and
	// those in maintenance.
	Size int
	// InstanceCPU is the CPU capacity of one instance.
	InstanceCPU int64
	// Used is the CPU in use by runs on the workers that may get tasks.
	Used int64
	// Waiting is the CPU need of the tasks that are ready to start and do not fit on any worker. Inflow is the CPU
	// that arriving work is expected to take.
	Waiting, Inflow int64
	// MissingLabels lists the labels that waiting tasks need and that no instance of the pool carries.
	MissingLabels []string
	// Idle lists the instances that may be moved.
	Idle []BalanceInstance
	// Evacuated lists the idle instances of evacuated availability zones. As nothing may start there, neither Size nor
	// Idle includes them. They may only be switched off.
	Evacuated []BalanceInstance
}

// Move is a decision to move an instance to another pool.
type Move struct {
	Instance, From, To string
}

// BalancePolicy holds the parameters of Balance.
type BalancePolicy struct {
	// ReserveFraction is the fraction of its home size that a pool keeps while it has little work, because the first
	// work of a rise in demand has to be served before further instances arrive. MinFraction is the fraction that it
	// keeps while work waits in other pools.
	ReserveFraction, MinFraction float64
	// FillFraction is the fraction of an instance's CPU that tasks can use; the remainder is too small for most
	// tasks.
	FillFraction float64
	// MinIdleTime is the time for which an instance must be idle before it is switched off or returned to a pool
	// below its home size.
	MinIdleTime time.Duration
	// MaxMoves is the maximum number of moves in one decision.
	MaxMoves int
}

// DefaultBalance suits demand that peaks in one pool after the other for a few seconds each: the pool at its peak
// needs more instances than it has, while the others are nearly idle.
var DefaultBalance = BalancePolicy{
	ReserveFraction: 0.6, MinFraction: 0.35, FillFraction: 0.9, MinIdleTime: 1500 * time.Millisecond, MaxMoves: 16,
}

// Balance returns the moves that bring instances to pools with waiting work and release idle instances from pools
// that do not need them. It modifies the given pools.
func Balance(pools []*BalancePool, policy BalancePolicy) []Move {
	b := balance{pools: pools, policy: policy}
	b.fillLabels()
	b.fillShortages()
	b.releaseIdle()
	b.releaseEvacuated()
	return b.moves
}

type balance struct {
	pools  []*BalancePool
	policy BalancePolicy
	moves  []Move
}

// required returns the number of instances that the pool's work needs: the running and waiting work or the expected
// inflow, whichever is larger.
func (b *balance) required(p *BalancePool) int {
	if p.Standby || p.InstanceCPU == 0 {
		return 0
	}
	work := float64(max(p.Used+p.Waiting, p.Inflow))
	return int(math.Ceil(work / (float64(p.InstanceCPU) * b.policy.FillFraction)))
}

// reserve returns the number of instances that the pool keeps while no other pool has waiting work.
func (b *balance) reserve(p *BalancePool) int {
	if p.Standby {
		return 0
	}
	return int(math.Ceil(b.policy.ReserveFraction * float64(p.HomeSize)))
}

// minKept returns the number of instances that the pool keeps while work waits in other pools.
func (b *balance) minKept(p *BalancePool) int {
	return max(b.required(p), int(math.Ceil(b.policy.MinFraction*float64(p.HomeSize))))
}

// shortage returns the number of instances that the pool's work needs in addition to those it has.
func (b *balance) shortage(p *BalancePool) int { return b.required(p) - p.Size }

// surplus returns the number of instances that exceed both the pool's work and its reserve.
func (b *balance) surplus(p *BalancePool) int {
	if p.Standby {
		return 0
	}
	return p.Size - max(b.required(p), b.reserve(p))
}

// Surplus returns the number of instances that exceed both the work and the reserve of a pool, or a negative number if
// it has fewer.
func Surplus(p *BalancePool, policy BalancePolicy) int {
	b := balance{policy: policy}
	return b.surplus(p)
}

// fillShortages moves instances to the pools whose work needs them, one per pool in turn, and then to the pools below
// their reserve.
func (b *balance) fillShortages() {
	b.distribute(b.shortage, b.acquire)
	b.distribute(func(p *BalancePool) int { return b.reserve(p) - p.Size }, b.acquireSpare)
}

// distribute gives each pool one instance in turn until no pool wants or can get another.
func (b *balance) distribute(wanted func(*BalancePool) int, get func(*BalancePool) bool) {
	for progress := true; progress; {
		progress = false
		for _, p := range b.pools {
			if wanted(p) > 0 && get(p) {
				progress = true
			}
		}
	}
}

// acquire moves one instance to a pool with more work than it can run: a surplus or switched-off instance, or else
// one of another pool's reserve.
func (b *balance) acquire(to *BalancePool) bool {
	return b.acquireSpare(to) || b.acquireFrom(to, func(p *BalancePool) int { return p.Size - b.minKept(p) })
}

// acquireSpare moves one instance that no other pool needs: a surplus or a switched-off one.
func (b *balance) acquireSpare(to *BalancePool) bool {
	return b.acquireFrom(to, b.surplus) || b.acquireFrom(to, func(p *BalancePool) int {
		if p.Standby {
			return len(p.Idle)
		}
		return 0
	})
}

// acquireFrom moves an instance from the pool that can spare the most according to spare.
func (b *balance) acquireFrom(to *BalancePool, spare func(*BalancePool) int) bool {
	var from *BalancePool
	most := 0
	for _, p := range b.pools {
		if n := spare(p); p != to && n > most && p.hasIdleFor(to) {
			from, most = p, n
		}
	}
	return from != nil && b.move(from, to, from.longestIdle(to))
}

// kind returns the instance kind of the pool, or "" if it is unknown and the pool accepts any kind.
func (p *BalancePool) kind() string {
	if len(p.Idle) > 0 {
		return p.Idle[0].Kind
	}
	return ""
}

// hasIdleFor reports whether the pool has an idle instance that the other pool accepts.
func (p *BalancePool) hasIdleFor(to *BalancePool) bool { return p.longestIdle(to) >= 0 }

// longestIdle returns the index of the instance that has been idle for the longest time among those of a kind that
// the other pool accepts, or -1.
func (p *BalancePool) longestIdle(to *BalancePool) int {
	best := -1
	for i, x := range p.Idle {
		if k := to.kind(); k != "" && x.Kind != k {
			continue
		}
		if best < 0 || x.IdleFor > p.Idle[best].IdleFor {
			best = i
		}
	}
	return best
}

func (b *balance) move(from, to *BalancePool, index int) bool {
	if index < 0 || len(b.moves) >= b.policy.MaxMoves {
		return false
	}
	x := from.Idle[index]
	from.Idle = slices.Delete(from.Idle, index, index+1)
	from.Size--
	to.Size++
	b.moves = append(b.moves, Move{Instance: x.ID, From: from.Name, To: to.Name})
	return true
}

// releaseIdle switches off the idle instances that exceed a pool's work and reserve. Without a standby pool, they go
// to pools below their home size.
func (b *balance) releaseIdle() {
	for _, p := range b.pools {
		for !p.Standby && b.surplus(p) > 0 {
			i := p.firstReleasable(b.policy.MinIdleTime)
			to := b.releaseTarget(p)
			if i < 0 || to == nil || !b.move(p, to, i) {
				break
			}
		}
	}
}

// evacuatedReleaseShare is the part of the moves of a decision that may switch off instances of evacuated zones. The
// other orders are left to pools whose work may need instances in the next decisions.
const evacuatedReleaseShare = 0.25

// releaseEvacuated switches off the idle instances of evacuated zones while no pool lacks instances.
func (b *balance) releaseEvacuated() {
	at := slices.IndexFunc(b.pools, func(p *BalancePool) bool { return p.Standby })
	lacking := func(p *BalancePool) bool { return b.shortage(p) > 0 }
	if at < 0 || slices.ContainsFunc(b.pools, lacking) {
		return
	}
	left := min(int(evacuatedReleaseShare*float64(b.policy.MaxMoves)), b.policy.MaxMoves-len(b.moves))
	for _, p := range b.pools {
		for _, x := range p.Evacuated {
			if !p.Standby && x.IdleFor >= b.policy.MinIdleTime && left > 0 {
				b.moves = append(b.moves, Move{Instance: x.ID, From: p.Name, To: b.pools[at].Name})
				left--
			}
		}
	}
}

// releaseTarget returns the pool to which a surplus instance is moved, or nil if it stays.
func (b *balance) releaseTarget(from *BalancePool) *BalancePool {
	var home *BalancePool
	for _, p := range b.pools {
		switch {
		case p.Standby:
			return p
		case from.Size > from.HomeSize && p.Size < p.HomeSize && home == nil:
			home = p
		}
	}
	return home
}

// firstReleasable returns the index of the first instance that has been idle for at least the given time, or -1.
func (p *BalancePool) firstReleasable(minIdle time.Duration) int {
	for i, x := range p.Idle {
		if x.IdleFor >= minIdle {
			return i
		}
	}
	return -1
}
