package scheduling

import (
	"math"
	"slices"
	"time"
)

// BalanceInstance is an instance that could go to another pool: nothing runs there.
type BalanceInstance struct {
	ID string
	// Kind is the kind of the instance; pools may only exchange instances of one kind.
	Kind string
	// IdleFor is for how long nothing has run there.
	IdleFor time.Duration
}

// BalancePool is a pool at one moment. Amounts of processor are in thousandths of a core.
type BalancePool struct {
	Name string
	// Standby pools are switched off: their instances are free to go and serve nothing.
	Standby bool
	// HomeSize is the number of instances that the operators gave to the pool.
	HomeSize int
	// Size is the number of instances that may get tasks now or soon: also those on their way and those in maintenance.
	Size int
	// InstanceCPU is the processor of one instance.
	InstanceCPU int64
	// Used is what runs take of the workers that may get tasks.
	Used int64
	// Waiting is the need of the tasks that could start now and find no room, and Inflow the processor that arriving work is expected to take.
	Waiting, Inflow int64
	// Idle are the instances that could go.
	Idle []BalanceInstance
}

// Move sends an instance to a pool.
type Move struct {
	Instance, From, To string
}

// BalancePolicy holds the weights of the balance.
type BalancePolicy struct {
	// ReservePart is the part of its home size that a pool holds while it has little to do: what arrives first when demand rises has to be served
	// before instances can come. LeastPart is what it keeps when others have waiting work.
	ReservePart, LeastPart float64
	// FillPart is the part of an instance that tasks fill; what they leave is too small for most.
	FillPart float64
	// Linger is how long an instance is idle before it is switched off or goes home.
	Linger time.Duration
	// MaxMoves bounds the moves of one decision.
	MaxMoves int
}

// DefaultBalance answers demand that rises and falls by turns of seconds: a pool in its turn asks more than it holds, while the
// others rest.
var DefaultBalance = BalancePolicy{ReservePart: 0.6, LeastPart: 0.35, FillPart: 0.9, Linger: 1500 * time.Millisecond, MaxMoves: 16}

// Balance returns the moves that bring instances to the pools where work waits, and take idle ones from where they are not needed.
// It changes the pools that it is given.
func Balance(pools []*BalancePool, policy BalancePolicy) []Move {
	b := balance{pools: pools, policy: policy}
	b.lend()
	b.rest()
	return b.moves
}

type balance struct {
	pools  []*BalancePool
	policy BalancePolicy
	moves  []Move
}

// need is the number of instances that the pool's work takes: what runs and waits now, or what arrives, whichever is more.
func (b *balance) need(p *BalancePool) int {
	if p.Standby || p.InstanceCPU == 0 {
		return 0
	}
	work := float64(max(p.Used+p.Waiting, p.Inflow))
	return int(math.Ceil(work / (float64(p.InstanceCPU) * b.policy.FillPart)))
}

// reserve is the number of instances that the pool holds at least.
func (b *balance) reserve(p *BalancePool) int {
	if p.Standby {
		return 0
	}
	return int(math.Ceil(b.policy.ReservePart * float64(p.HomeSize)))
}

// least is the number of instances that the pool keeps while work waits elsewhere.
func (b *balance) least(p *BalancePool) int {
	return max(b.need(p), int(math.Ceil(b.policy.LeastPart*float64(p.HomeSize))))
}

// lacking is the number of instances that the work of a pool needs beyond those that it has.
func (b *balance) lacking(p *BalancePool) int { return b.need(p) - p.Size }

// surplus is the number of instances that a pool has beyond its work and its reserve.
func (b *balance) surplus(p *BalancePool) int {
	if p.Standby {
		return 0
	}
	return p.Size - max(b.need(p), b.reserve(p))
}

// lend sends instances to the pools that lack them, one to each in turn, and then to those that are below their reserve.
func (b *balance) lend() {
	b.share(b.lacking, b.fetch)
	b.share(func(p *BalancePool) int { return b.reserve(p) - p.Size }, b.refill)
}

// share gives one instance to each pool in turn, as many as each wants and can get.
func (b *balance) share(wanted func(*BalancePool) int, get func(*BalancePool) bool) {
	for progress := true; progress; {
		progress = false
		for _, p := range b.pools {
			if wanted(p) > 0 && get(p) {
				progress = true
			}
		}
	}
}

// fetch brings one instance to a pool with more work than it can take: one that another pool does not need, one that is switched off, or one
// of another pool's reserve.
func (b *balance) fetch(to *BalancePool) bool {
	return b.refill(to) || b.take(to, func(p *BalancePool) int { return p.Size - b.least(p) })
}

// refill brings one instance to a pool that nobody else needs: a surplus one, or one that is switched off.
func (b *balance) refill(to *BalancePool) bool {
	return b.take(to, b.surplus) || b.take(to, func(p *BalancePool) int {
		if p.Standby {
			return len(p.Idle)
		}
		return 0
	})
}

// take moves an instance from the pool that can spare the most.
func (b *balance) take(to *BalancePool, spare func(*BalancePool) int) bool {
	var from *BalancePool
	most := 0
	for _, p := range b.pools {
		if n := spare(p); p != to && n > most && p.has(to) {
			from, most = p, n
		}
	}
	return from != nil && b.move(from, to, from.choose(to))
}

// kind is the kind of instances that a pool takes; "" takes any.
func (p *BalancePool) kind() string {
	if len(p.Idle) > 0 {
		return p.Idle[0].Kind
	}
	return ""
}

func (p *BalancePool) has(to *BalancePool) bool { return p.choose(to) >= 0 }

// choose returns the index of the instance that has been idle the longest and that the other pool takes, or -1.
func (p *BalancePool) choose(to *BalancePool) int {
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

// rest switches off the instances that a pool has had idle beyond its work and its reserve. Where nothing is switched off, they go home.
func (b *balance) rest() {
	for _, p := range b.pools {
		for !p.Standby && b.surplus(p) > 0 {
			i := p.lingering(b.policy.Linger)
			to := b.resting(p)
			if i < 0 || to == nil || !b.move(p, to, i) {
				break
			}
		}
	}
}

// resting is the pool to which a surplus instance of a pool goes, or nil if it stays.
func (b *balance) resting(of *BalancePool) *BalancePool {
	var home *BalancePool
	for _, p := range b.pools {
		switch {
		case p.Standby:
			return p
		case of.Size > of.HomeSize && p.Size < p.HomeSize && home == nil:
			home = p
		}
	}
	return home
}

func (p *BalancePool) lingering(linger time.Duration) int {
	for i, x := range p.Idle {
		if x.IdleFor >= linger {
			return i
		}
	}
	return -1
}
