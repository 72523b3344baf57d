package allotment

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"pollenlead/internal/record"
	"pollenlead/internal/statemachine"
)

const (
	// proposeEvery bounds what the ledger adds to the log to 5 proposals a second.
	proposeEvery = 200 * time.Millisecond
	// retryAfter is the pause after a proposal that was rejected or not sent, so that a persistent cause does not fill the
	// log with repetitions.
	retryAfter = time.Second
)

// Run keeps the ledger in step with the folded state and proposes demand and release until ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	leasesDone := make(chan struct{})
	go func() {
		defer close(leasesDone)
		l.leases.run(ctx)
	}()
	defer func() {
		cancel()
		<-leasesDone
	}()
	p := proposer{ledger: l, results: make(chan result, 1)}
	for {
		// The channel is taken before the state is read, so that no change between the two is missed.
		changed := l.cfg.Replica.Changed()
		wake, timer := p.step(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-wake:
		case r := <-p.results:
			p.take(r)
		case <-timer:
		}
	}
}

// proposer is the state of the loop; only Run's goroutine uses it. At most one proposal is pending.
type proposer struct {
	ledger  *Ledger
	results chan result
	pending bool
	// settled means that the outcome of the pending proposal is known and the state reflects it.
	settled bool
	// unresolved is set while only the state can tell whether the pending proposal took effect.
	unresolved *position
	// next is the earliest time of the next plan.
	next time.Time
}

// result is how Submit ended.
type result struct {
	outcomes []statemachine.Outcome
	err      error
}

// position is a place in the records of one holder.
type position struct {
	holder string
	seq    uint64
}

// step reads the state, proposes if it is time, and returns what to wait for besides the state.
func (p *proposer) step(ctx context.Context) (wake <-chan struct{}, timer <-chan time.Time) {
	l := p.ledger
	p.checkUnresolved()
	open := l.refresh(p.settled)
	if p.settled {
		p.settled, p.pending = false, false
	}
	now := l.cfg.Clock.Now()
	if now.Before(p.next) {
		return nil, l.cfg.Clock.After(p.next.Sub(now))
	}
	if p.pending || !open {
		return nil, nil
	}
	ops, falling := l.plan(now)
	if len(ops) > 0 {
		p.propose(ctx, ops)
	}
	if len(ops) > 0 || falling {
		p.next = now.Add(proposeEvery)
		return nil, l.cfg.Clock.After(proposeEvery)
	}
	// Requests use the ledger far more often than it plans, so the next plan waits even if nothing was proposed.
	p.next = now.Add(proposeEvery)
	return l.wake, nil
}

func (p *proposer) propose(ctx context.Context, ops []record.Op) {
	p.pending = true
	go func() {
		outcomes, err := p.ledger.cfg.Committer.Submit(ctx, ops...)
		p.results <- result{outcomes: outcomes, err: err}
	}()
}

// take notes the end of Submit. Without a known outcome the proposal may still take effect, so its units stay unspent.
func (p *proposer) take(r result) {
	l := p.ledger
	if r.err != nil && (l.cfg.NotSent == nil || !errors.Is(r.err, l.cfg.NotSent)) {
		at := position{holder: l.holder}
		l.cfg.Replica.View(func(s *statemachine.State) {
			session, _ := s.Session(at.holder)
			at.seq = session.Seq
		})
		p.unresolved = &at
		return
	}
	p.settled = true
	retry := r.err != nil
	for _, o := range r.outcomes {
		retry = retry || !o.Accepted
	}
	if retry {
		p.next = l.cfg.Clock.Now().Add(retryAfter)
	}
}

// checkUnresolved settles a proposal whose outcome was not known once the state tells it. A holder has one append
// outstanding, which was the proposal's when Submit returned. So when the state has a later record than it had then, it has
// the proposal too; session renewals bring such a record within seconds. After the end of the session the fold rejects the
// proposal.
func (p *proposer) checkUnresolved() {
	if p.unresolved == nil {
		return
	}
	p.ledger.cfg.Replica.View(func(s *statemachine.State) {
		session, open := s.Session(p.unresolved.holder)
		p.settled = !open || session.Seq > p.unresolved.seq
	})
	if p.settled {
		p.unresolved = nil
	}
}

// refresh takes over the allotment if it has changed and reports whether the holder's session is open. If settled, the
// state reflects the pending proposal. Only Run's goroutine calls it, and only it writes holder and seen.
func (l *Ledger) refresh(settled bool) (open bool) {
	holder := l.cfg.Session.Holder()
	var allotment statemachine.Allotment
	changed, seen := false, l.seen
	l.cfg.Replica.View(func(s *statemachine.State) {
		_, open = s.Session(holder)
		seen = s.AllotmentsChanged(holder)
		changed = holder != l.holder || seen != l.seen
		if changed {
			allotment = s.Allotment(holder)
		}
	})
	usable := l.cfg.Session.Valid()
	l.mu.Lock()
	defer l.mu.Unlock()
	freed := usable && !l.usable
	l.usable = usable
	var before [2]map[string]int
	if changed || settled {
		before = l.freeCounts()
	}
	if changed {
		l.holder, l.seen = holder, seen
		l.adopt(allotment)
	}
	if settled {
		l.clearPending()
	}
	if freed || ((changed || settled) && l.grew(before)) {
		l.notify()
	}
	return open
}

// adopt takes over an allotment. The caller holds mu.
func (l *Ledger) adopt(a statemachine.Allotment) {
	adoptGrants(l.teams, a.Teams)
	adoptGrants(l.pools, a.Pools)
	for id, i := range l.instances {
		if _, ok := a.Slots[id]; ok {
			continue
		}
		if i.used == 0 {
			delete(l.instances, id)
			continue
		}
		i.grant = statemachine.SlotGrant{Pool: i.grant.Pool, Facts: i.grant.Facts}
	}
	for id, grant := range a.Slots {
		i, ok := l.instances[id]
		if !ok {
			i = &instanceAccount{}
			l.instances[id] = i
		}
		i.grant = grant
	}
	l.members = map[string][]string{}
	for _, id := range slices.Sorted(maps.Keys(a.Slots)) {
		pool := a.Slots[id].Pool
		l.members[pool] = append(l.members[pool], id)
	}
}

func adoptGrants(accounts map[string]*account, grants map[string]statemachine.Grant) {
	for name, a := range accounts {
		if _, ok := grants[name]; !ok {
			a.grant = statemachine.Grant{}
		}
	}
	for name, grant := range grants {
		accountOf(accounts, name).grant = grant
	}
}

func (l *Ledger) clearPending() {
	for _, a := range l.teams {
		a.pending = 0
	}
	for _, i := range l.instances {
		i.pending = 0
	}
}

// freeCounts returns what could be spent, by team and by instance. The caller holds mu.
func (l *Ledger) freeCounts() (free [2]map[string]int) {
	free[0], free[1] = map[string]int{}, map[string]int{}
	for name, a := range l.teams {
		free[0][name] = a.free()
	}
	for id, i := range l.instances {
		free[1][id] = i.free()
	}
	return free
}

func (l *Ledger) grew(before [2]map[string]int) bool {
	after := l.freeCounts()
	for n := range after {
		for name, free := range after[n] {
			if free > 0 && free > before[n][name] {
				return true
			}
		}
	}
	return false
}

// plan returns the ops to propose and marks what they release. falling means that demand will fall without a further
// change of use, so the caller plans again.
func (l *Ledger) plan(now time.Time) (ops []record.Op, falling bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	teams, teamsFalling := resourcesOf(l.teams, now)
	pools, poolsFalling := resourcesOf(l.pools, now)
	demand := record.Demand{Teams: planDemand(teams), Pools: planDemand(pools)}
	if len(demand.Teams)+len(demand.Pools) > 0 {
		ops = append(ops, record.Op{Demand: &demand})
	}
	release := record.Release{Teams: planUnits(teams), Slots: planSlots(pools, l.heldSlots())}
	if len(release.Teams)+len(release.Slots) > 0 {
		ops = append(ops, record.Op{Release: &release})
	}
	for _, r := range release.Teams {
		l.teams[r.Name].pending = r.Units
	}
	for _, r := range release.Slots {
		l.instances[r.Instance].pending = r.Slots
	}
	return ops, teamsFalling || poolsFalling
}

// resourcesOf returns what the plan needs of the accounts and brings their peaks up to date. The caller holds mu.
func resourcesOf(accounts map[string]*account, now time.Time) (resources map[string]resource, falling bool) {
	resources = make(map[string]resource, len(accounts))
	for name, a := range accounts {
		a.peak = a.peak.observe(now, a.inUse()+a.queued)
		falling = falling || a.peak.falling()
		r := resource{held: a.grant.Held, target: a.grant.Target, inUse: a.inUse(), reported: a.grant.Wanted}
		r.wanted = a.peak.level()
		if !a.grant.Declared {
			// The fold ignores demand for what the document does not name; what is held of it goes back.
			r.wanted, r.target = r.reported, 0
		}
		resources[name] = r
	}
	return resources, falling
}

// heldSlots returns what the plan needs of the instances. The caller holds mu.
func (l *Ledger) heldSlots() []slots {
	held := make([]slots, 0, len(l.instances))
	for id, i := range l.instances {
		held = append(held, slots{
			instance: id, pool: i.grant.Pool, zone: i.grant.Facts.AvailabilityZone,
			held: i.grant.Held, inUse: i.inUse(), excess: i.grant.Excess, withdrawn: i.grant.Withdrawn,
		})
	}
	return held
}
