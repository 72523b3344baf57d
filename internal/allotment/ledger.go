// Package allotment is the local ledger of one entry instance. It spends the team units and worker slots that the fold
// granted to this holder, reports demand, releases surplus and keeps the worker leases.
package allotment

import (
	"context"
	"errors"
	"sync"
	"time"

	"pollenlead/internal/platform"
	"pollenlead/internal/record"
	"pollenlead/internal/statemachine"
)

// ErrLeaseExpired says that the session lease does not hold, so nothing may be started.
var ErrLeaseExpired = errors.New("the session lease has expired")

// ErrNoTeamUnit says that this holder has no free unit of the team.
var ErrNoTeamUnit = errors.New("no free unit of the team")

// ErrNoSlot says that this holder has no free slot of the instance.
var ErrNoSlot = errors.New("no free slot of the instance")

// Replica gives access to the folded state. replica.Follower implements it.
type Replica interface {
	// View calls read with the state, which read must neither keep nor change.
	View(read func(*statemachine.State))
	// Changed returns a channel that is closed at the next change of the state.
	Changed() <-chan struct{}
}

// Committer appends ops. replica.Committer implements it.
type Committer interface {
	// Submit returns the outcome of each op once the local state reflects them.
	Submit(ctx context.Context, ops ...record.Op) ([]statemachine.Outcome, error)
}

// SessionLease is the right to use allotments. membership implements it. The ledger calls it without holding a lock of its
// own, so an implementation may call the ledger under its lock.
type SessionLease interface {
	End() time.Time
	Valid() bool
	Holder() string
}

// Clock is the monotonic clock of this process.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// SystemClock is the clock of the operating system.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// After implements Clock.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Config holds what a ledger needs from the rest of the entry instance.
type Config struct {
	Replica   Replica
	Committer Committer
	Session   SessionLease
	Workers   platform.Workers
	Clock     Clock
	// NotSent is the committer's error for ops that will never take effect (replica.ErrNotSent). The ledger treats every
	// other error as unresolved.
	NotSent error
}

// Ledger counts what this holder uses of its allotments. It is safe for concurrent use.
type Ledger struct {
	cfg    Config
	leases *leaseBook
	wake   chan struct{}

	mu        sync.Mutex
	holder    string
	seen      uint64 // AllotmentsChanged of the state that the counts reflect.
	usable    bool   // whether the session lease was valid when the loop last looked.
	teams     map[string]*account
	pools     map[string]*account
	instances map[string]*instanceAccount
	members   map[string][]string // the instances with held slots by pool, ordered by ID.
	queued    map[queueKey]int
	abandoned int
	changed   chan struct{}
}

type queueKey struct{ team, pool string }

// account counts one team or pool.
type account struct {
	grant   statemachine.Grant
	used    int
	started int // permits of AcquireStarted among used; counted for teams only.
	pending int // units proposed for release; counted for teams only.
	queued  int
	peak    peak
}

// instanceAccount counts one instance. It stays while slots are held or used.
type instanceAccount struct {
	grant   statemachine.SlotGrant
	used    int
	started int
	pending int
}

// free is the number of units that may be spent now.
func (a *account) free() int { return a.grant.Held - a.pending - a.inUse() }

func (a *account) inUse() int { return inUse(a.used, a.started, a.grant.Started, a.grant.Adopted) }

func (a *instanceAccount) free() int {
	if a.grant.Withdrawn {
		return 0
	}
	return a.grant.Held - max(a.pending, a.grant.Excess) - a.inUse()
}

func (a *instanceAccount) inUse() int {
	return inUse(a.used, a.started, a.grant.Started, a.grant.Adopted)
}

// New returns a ledger that knows no allotment until Run reads one.
func New(cfg Config) *Ledger {
	return &Ledger{
		cfg:       cfg,
		leases:    newLeaseBook(cfg),
		wake:      make(chan struct{}, 1),
		teams:     map[string]*account{},
		pools:     map[string]*account{},
		instances: map[string]*instanceAccount{},
		queued:    map[queueKey]int{},
		changed:   make(chan struct{}),
	}
}

// Candidate is an instance with slots of this holder. Used counts the slots that may not be spent now.
type Candidate struct {
	Instance, Address, AvailabilityZone string
	Used, Held                          int
}

// Candidates returns the instances of the pool with slots of this holder that are not withdrawn, ordered by ID. The full
// ones are among them with Used equal to Held, because outlier ejection has to know how many instances there are.
func (l *Ledger) Candidates(pool string) (candidates []Candidate) {
	l.EachCandidate(pool, func(c Candidate) { candidates = append(candidates, c) })
	return candidates
}

// EachCandidate calls yield with each element of Candidates, under the ledger's lock.
func (l *Ledger) EachCandidate(pool string, yield func(Candidate)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range l.members[pool] {
		i := l.instances[id]
		if i.grant.Withdrawn {
			continue
		}
		yield(Candidate{
			Instance: id, Address: i.grant.Facts.Address, AvailabilityZone: i.grant.Facts.AvailabilityZone,
			Used: i.grant.Held - max(i.free(), 0), Held: i.grant.Held,
		})
	}
}

// HasTeamUnit reports whether the team has a free unit here.
func (l *Ledger) HasTeamUnit(team string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.teams[team]
	return ok && a.free() > 0
}

// MaxConnections is the number of connections that this process may open to the instance.
func (l *Ledger) MaxConnections(instance string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, ok := l.instances[instance]
	if !ok {
		return 0
	}
	// The tasks that an earlier holder started may be adopted before their slots are granted.
	return maxConnections(max(i.grant.Held, i.used), i.grant.Facts)
}

// Permit is the right to run one request or task for a team on an instance.
type Permit struct {
	Team, Instance, Address string

	ledger *Ledger
	pool   string
	// holder is whose unit and slot a permit spends. It is empty for adopted work, which runs whoever holds them.
	holder   string
	started  bool
	acquired time.Time
	freed    func()
	once     sync.Once
	lease    *workerLease // guarded by the lease book's mu
}

// Acquire takes one unit of the team and one slot of the instance.
func (l *Ledger) Acquire(team, instance string) (*Permit, error) {
	valid, holder := l.cfg.Session.Valid(), l.cfg.Session.Holder()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !valid || holder != l.holder {
		return nil, ErrLeaseExpired
	}
	if a, ok := l.teams[team]; !ok || a.free() <= 0 {
		return nil, ErrNoTeamUnit
	}
	i, ok := l.instances[instance]
	if !ok || i.free() <= 0 {
		return nil, ErrNoSlot
	}
	p := l.take(team, instance, false)
	p.holder = holder
	return p, nil
}

// AcquireStarted counts the unit and the slot of a job that an earlier holder started. It never refuses, because the task
// may be running whether or not the units have been granted yet.
func (l *Ledger) AcquireStarted(team, instance string) *Permit {
	facts, pool := l.instanceFacts(instance)
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.instances[instance]; !ok {
		l.instances[instance] = &instanceAccount{grant: statemachine.SlotGrant{Pool: pool, Facts: facts}}
	}
	return l.take(team, instance, true)
}

func (l *Ledger) instanceFacts(id string) (facts record.Instance, pool string) {
	l.cfg.Replica.View(func(s *statemachine.State) {
		if i, ok := s.Instance(id); ok {
			facts, pool = i.Facts, i.Pool
		}
	})
	return facts, pool
}

// take counts a permit. The caller holds mu and has checked that the instance is known.
func (l *Ledger) take(team, instance string, started bool) *Permit {
	i := l.instances[instance]
	p := &Permit{
		Team: team, Instance: instance, Address: i.grant.Facts.Address,
		ledger: l, pool: i.grant.Pool, started: started, acquired: l.cfg.Clock.Now(),
	}
	l.count(p, 1)
	return p
}

// count adds n to the use of the permit's team, pool and instance. The caller holds mu.
func (l *Ledger) count(p *Permit, n int) {
	if p.started {
		accountOf(l.teams, p.Team).started += n
		l.instances[p.Instance].started += n
	}
	l.countUse(p, n)
}

func (l *Ledger) countUse(p *Permit, n int) {
	team, pool, instance := accountOf(l.teams, p.Team), accountOf(l.pools, p.pool), l.instances[p.Instance]
	team.used += n
	pool.used += n
	instance.used += n
	l.observe(team)
	l.observe(pool)
}

// Release gives the unit and the slot back for the next use. Call it only if the work has ended or did not start; otherwise
// call Abandon. It is idempotent.
func (p *Permit) Release() {
	p.once.Do(func() {
		l := p.ledger
		l.leases.release(p)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.count(p, -1)
		// Without waiting requests nobody has to be woken: a request that comes later looks for a free unit itself.
		if len(l.queued) > 0 {
			l.notify()
		}
	})
}

// Lease returns the worker lease under which the permit's work must start. A permit of an ended session gets none, because
// its unit may be in use elsewhere by now.
func (p *Permit) Lease(ctx context.Context) (string, error) {
	l := p.ledger
	t := target{instance: p.Instance, address: p.Address, connections: l.MaxConnections(p.Instance)}
	return l.leases.lease(ctx, t, p)
}

// LeaseRefused says that the worker refused a start under the lease with RefusedLeaseLapsed, so that the next Lease opens a
// new one instead of waiting for the next renewal to find out.
func (p *Permit) LeaseRefused(ctx context.Context, leaseID string) {
	p.ledger.leases.refused(ctx, p, leaseID)
}

func accountOf(accounts map[string]*account, name string) *account {
	a, ok := accounts[name]
	if !ok {
		a = &account{}
		accounts[name] = a
	}
	return a
}

// SetQueued says how many requests of the team wait here for the pool.
func (l *Ledger) SetQueued(team, pool string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := queueKey{team: team, pool: pool}
	added := n - l.queued[key]
	if added == 0 {
		return
	}
	l.queued[key] = n
	if n == 0 {
		delete(l.queued, key)
	}
	for _, a := range []*account{accountOf(l.teams, team), accountOf(l.pools, pool)} {
		a.queued += added
		l.observe(a)
	}
}

// observe keeps the peak of an account up to date and wakes the loop. The caller holds mu.
func (l *Ledger) observe(a *account) {
	a.peak = a.peak.observe(l.cfg.Clock.Now(), a.inUse()+a.queued)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Changed returns a channel that is closed when free units or slots may have been added. Spending does not close it,
// because that gives no waiting request a place.
func (l *Ledger) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// notify wakes those who wait for free units or slots. The caller holds mu.
func (l *Ledger) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Usage is what runs and waits at this entry instance.
type Usage struct {
	RunningByTeam, QueuedByTeam map[string]int
	RunningByPool, QueuedByPool map[string]int
}

// Usage returns the current counts without the entries that are zero.
func (l *Ledger) Usage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var u Usage
	u.RunningByTeam, u.QueuedByTeam = countsOf(l.teams)
	u.RunningByPool, u.QueuedByPool = countsOf(l.pools)
	return u
}

func countsOf(accounts map[string]*account) (running, queued map[string]int) {
	running, queued = map[string]int{}, map[string]int{}
	for name, a := range accounts {
		if a.used > 0 {
			running[name] = a.used
		}
		if a.queued > 0 {
			queued[name] = a.queued
		}
	}
	return running, queued
}
