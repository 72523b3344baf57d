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
	// proposeInterval is the minimum time between proposals. It limits the ledger to 5 appends to the log per second.
	proposeInterval = 200 * time.Millisecond
	// proposeRetryDelay is the delay after a proposal that was rejected or not sent, so that a persistent failure does not
	// fill the log with repeated proposals.
	proposeRetryDelay = time.Second
)

// Run synchronizes the ledger with the applied state and proposes demand and releases until ctx ends.
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
		// The channel is obtained before the state is read, so that no change in between is missed.
		changed := l.cfg.Replica.Changed()
		wake, timer := p.step(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-wake:
		case r := <-p.results:
			p.handleResult(r)
		case <-timer:
		}
	}
}

// proposer submits the proposals of the ledger. Only the goroutine of Run uses it. At most one proposal is pending.
type proposer struct {
	ledger  *Ledger
	results chan result
	pending bool
	// settled is set when the outcome of the pending proposal is known and the state reflects it.
	settled bool
	// unresolved is set while the outcome of the pending proposal is unknown and can only be derived from the state.
	unresolved *recordPosition
	// nextPlan is the earliest time of the next plan.
	nextPlan time.Time
}

// result is the result of Submit.
type result struct {
	outcomes []statemachine.Outcome
	err      error
}

// recordPosition is a position in the sequence of records of one holder.
type recordPosition struct {
	holder string
	seq    uint64
}

// step reads the state and makes a proposal if one is due. It returns the channels to wait for in addition to changes
// of the state.
func (p *proposer) step(ctx context.Context) (wake <-chan struct{}, timer <-chan time.Time) {
	l := p.ledger
	p.checkUnresolved()
	open := l.refresh(p.settled)
	if p.settled {
		p.settled, p.pending = false, false
	}
	now := l.cfg.Clock.Now()
	if now.Before(p.nextPlan) {
		return nil, l.cfg.Clock.After(p.nextPlan.Sub(now))
	}
	if p.pending || !open {
		return nil, nil
	}
	ops, falling := l.plan(now)
	if len(ops) > 0 {
		p.propose(ctx, ops)
	}
	if len(ops) > 0 || falling {
		p.nextPlan = now.Add(proposeInterval)
		return nil, l.cfg.Clock.After(proposeInterval)
	}
	// Requests update the ledger far more often than plans are needed, so the next plan is delayed even if nothing was
	// proposed.
	p.nextPlan = now.Add(proposeInterval)
	return l.wake, nil
}

// propose submits ops and sends the result to results.
func (p *proposer) propose(ctx context.Context, ops []record.Op) {
	p.pending = true
	go func() {
		outcomes, err := p.ledger.cfg.Committer.Submit(ctx, ops...)
		p.results <- result{outcomes: outcomes, err: err}
	}()
}

// handleResult processes the result of Submit. If the outcome is unknown, the proposal may still take effect, so its
// units stay reserved.
func (p *proposer) handleResult(r result) {
	l := p.ledger
	if r.err != nil && (l.cfg.NotSent == nil || !errors.Is(r.err, l.cfg.NotSent)) {
		at := recordPosition{holder: l.holder}
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
		p.nextPlan = l.cfg.Clock.Now().Add(proposeRetryDelay)
	}
}

// checkUnresolved settles a proposal with an unknown outcome once the state reflects that outcome. A holder has one
// outstanding append, which was that of the proposal when Submit returned. Once the state contains a later record of
// the holder than at that time, it therefore contains the proposal too; session renewals append such a record within
// seconds. After the end of the session the proposal can no longer take effect, because the state machine rejects it.
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

// refresh updates the ledger if the allotment has changed, and reports whether the holder's session is open. settled
// means that the state reflects the pending proposal. Only the goroutine of Run calls refresh, and only refresh writes
// holder and allotmentsChanged.
func (l *Ledger) refresh(settled bool) (open bool) {
	holder := l.cfg.Session.Holder()
	var allotment statemachine.Allotment
	changed, allotmentsChanged := false, l.allotmentsChanged
	l.cfg.Replica.View(func(s *statemachine.State) {
		_, open = s.Session(holder)
		allotmentsChanged = s.AllotmentsChanged(holder)
		changed = holder != l.holder || allotmentsChanged != l.allotmentsChanged
		if changed {
			allotment = s.Allotment(holder)
		}
	})
	sessionValid := l.cfg.Session.Valid()
	l.mu.Lock()
	defer l.mu.Unlock()
	freed := sessionValid && !l.sessionValid
	l.sessionValid = sessionValid
	var before [2]map[string]int
	if changed || settled {
		before = l.freeCounts()
	}
	if changed {
		l.holder, l.allotmentsChanged = holder, allotmentsChanged
		l.applyAllotment(allotment)
	}
	if settled {
		l.clearPending()
	}
	if freed || ((changed || settled) && l.capacityGrew(before)) {
		l.notify()
	}
	return open
}

// applyAllotment replaces the granted units and slots by those of a. The caller holds mu.
func (l *Ledger) applyAllotment(a statemachine.Allotment) {
	applyGrants(l.teams, a.Teams)
	applyGrants(l.pools, a.Pools)
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

// applyGrants replaces the grants of all accounts by those given. Accounts without a grant keep their use.
func applyGrants(accounts map[string]*account, grants map[string]statemachine.Grant) {
	for name, a := range accounts {
		if _, ok := grants[name]; !ok {
			a.grant = statemachine.Grant{}
		}
	}
	for name, grant := range grants {
		accountOf(accounts, name).grant = grant
	}
}

// clearPending removes the pending releases from all accounts. The caller holds mu.
func (l *Ledger) clearPending() {
	for _, a := range l.teams {
		a.pending = 0
	}
	for _, i := range l.instances {
		i.pending = 0
	}
}

// freeCounts returns the free units by team and the free slots by instance. The caller holds mu.
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

// capacityGrew reports whether any team or instance has more free units or slots than before. The caller holds mu.
func (l *Ledger) capacityGrew(before [2]map[string]int) bool {
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

// plan returns the ops to propose and marks the units and slots that they release as pending. falling reports whether
// the demand will fall without a further change of use, in which case the caller must plan again.
func (l *Ledger) plan(now time.Time) (ops []record.Op, falling bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	teams, teamsFalling := resourcesOf(l.teams, now)
	pools, poolsFalling := resourcesOf(l.pools, now)
	demand := record.Demand{Teams: planDemand(teams), Pools: planDemand(pools)}
	if len(demand.Teams)+len(demand.Pools) > 0 {
		ops = append(ops, record.Op{Demand: &demand})
	}
	release := record.Release{Teams: planUnitRelease(teams), Slots: planSlotRelease(pools, l.heldSlots())}
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

// resourcesOf updates the peaks of the accounts and returns their states for the plan. The caller holds mu.
func resourcesOf(accounts map[string]*account, now time.Time) (resources map[string]resourceState, falling bool) {
	resources = make(map[string]resourceState, len(accounts))
	for name, a := range accounts {
		a.peak = a.peak.observe(now, a.inUse()+a.queued)
		falling = falling || a.peak.falling()
		r := resourceState{held: a.grant.Held, target: a.grant.Target, inUse: a.inUse(), reported: a.grant.Wanted}
		r.wanted = a.peak.level()
		if !a.grant.Declared {
			// The state machine ignores demand for teams and pools that the document does not declare. Their held units are
			// released.
			r.wanted, r.target = r.reported, 0
		}
		resources[name] = r
	}
	return resources, falling
}

// heldSlots returns the states of all instances for the plan. The caller holds mu.
func (l *Ledger) heldSlots() []slotState {
	held := make([]slotState, 0, len(l.instances))
	for id, i := range l.instances {
		held = append(held, slotState{
			instance: id, pool: i.grant.Pool, zone: i.grant.Facts.AvailabilityZone,
			held: i.grant.Held, inUse: i.inUse(), excess: i.grant.Excess, withdrawn: i.grant.Withdrawn,
		})
	}
	return held
}
