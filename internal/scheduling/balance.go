package scheduling

import (
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
	// Home is the number of instances that the operators gave to the pool.
	Home int
	// Size is the number of instances that serve or will, also those on their way.
	Size int
	// Arriving is the number of instances on their way.
	Arriving int
	// InstanceCPU is the processor of one instance.
	InstanceCPU int64
	// Capacity and Used are of the workers in service.
	Capacity, Used int64
	// Waiting is the need of the tasks that could start now and find no room.
	Waiting int64
	// Idle are the instances that could go.
	Idle []BalanceInstance
}

// Move sends an instance to a pool.
type Move struct {
	Instance, From, To string
}

// BalancePolicy holds the weights of the balance.
type BalancePolicy struct {
	// KeepPart is the part of its home size that a pool keeps when it lends.
	KeepPart float64
	// RestPart is the part of its home size that a pool keeps while it rests; the others are switched off.
	RestPart float64
	// CalmLoad is the load up to which a pool lends.
	CalmLoad float64
	// Linger is how long an instance is idle before it is switched off or goes home.
	Linger time.Duration
	// MaxMoves bounds the moves of one decision.
	MaxMoves int
}

// DefaultBalance answers demand that rises and falls by turns of seconds: a pool in its turn asks more than it holds, while the
// others rest.
var DefaultBalance = BalancePolicy{KeepPart: 0.7, RestPart: 1, CalmLoad: 0.4, Linger: 1500 * time.Millisecond, MaxMoves: 16}

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

// lacking is the number of instances that the waiting work of a pool would fill.
func (p *BalancePool) lacking() int {
	if p.Standby || p.InstanceCPU == 0 || p.Waiting == 0 {
		return 0
	}
	free := max(p.Capacity-p.Used, 0)
	short := p.Waiting - free/2 - int64(p.Arriving)*p.InstanceCPU
	return int((short + p.InstanceCPU/2) / p.InstanceCPU)
}

// load is the used part of the pool's processors.
func (p *BalancePool) load() float64 {
	if p.Capacity == 0 {
		return 0
	}
	return float64(p.Used) / float64(p.Capacity)
}

// lend sends instances to the pools that lack them, one to each in turn.
func (b *balance) lend() {
	needy := map[*BalancePool]int{}
	for _, p := range b.pools {
		if n := p.lacking(); n > 0 {
			needy[p] = n
		}
	}
	for progress := true; progress; {
		progress = false
		for _, p := range b.pools {
			if needy[p] == 0 || !b.fetch(p) {
				continue
			}
			needy[p]--
			progress = true
		}
	}
}

// fetch brings one instance to a pool: a borrowed one that is idle, one that is switched off, or one of a calm pool.
func (b *balance) fetch(to *BalancePool) bool {
	sources := []func(*BalancePool) bool{
		func(p *BalancePool) bool { return !p.Standby && p.Size > p.Home && p.lacking() <= 0 },
		func(p *BalancePool) bool { return p.Standby },
		func(p *BalancePool) bool {
			keep := int(b.policy.KeepPart*float64(p.Home) + 0.5)
			return p.lacking() <= 0 && p.load() <= b.policy.CalmLoad && p.Size > keep
		},
	}
	for _, may := range sources {
		var from *BalancePool
		for _, p := range b.pools {
			if p != to && len(p.Idle) > 0 && may(p) && p.has(to) && (from == nil || p.spare() > from.spare()) {
				from = p
			}
		}
		if from != nil {
			return b.move(from, to, from.choose(to))
		}
	}
	return false
}

// spare ranks lenders: the pool that is the furthest above its home size lends first.
func (p *BalancePool) spare() int { return p.Size - p.Home }

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
	if !from.Standby {
		from.Capacity -= from.InstanceCPU
	}
	to.Size++
	to.Arriving++
	b.moves = append(b.moves, Move{Instance: x.ID, From: from.Name, To: to.Name})
	return true
}

// rest sends idle instances beyond what a pool keeps while it rests home to a pool that is too small, or switches them off.
func (b *balance) rest() {
	var standby *BalancePool
	for _, p := range b.pools {
		if p.Standby {
			standby = p
		}
	}
	for _, p := range b.pools {
		if p.Standby || p.lacking() > 0 {
			continue
		}
		keep := int(b.policy.RestPart*float64(p.Home) + 0.5)
		for p.Size > keep {
			i := p.lingering(b.policy.Linger)
			if i < 0 {
				break
			}
			to := b.tooSmall(keepPartOf(b.policy.RestPart))
			if to == nil || to == p {
				to = standby
			}
			if to == nil || !b.move(p, to, i) {
				break
			}
		}
	}
}

func keepPartOf(part float64) func(*BalancePool) bool {
	return func(p *BalancePool) bool { return !p.Standby && p.Size < int(part*float64(p.Home)+0.5) }
}

func (b *balance) tooSmall(small func(*BalancePool) bool) *BalancePool {
	for _, p := range b.pools {
		if small(p) {
			return p
		}
	}
	return nil
}

func (p *BalancePool) lingering(linger time.Duration) int {
	for i, x := range p.Idle {
		if x.IdleFor >= linger {
			return i
		}
	}
	return -1
}
