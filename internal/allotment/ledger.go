// Package allotment implements the local ledger of an entry instance. The ledger assigns the team units and worker
// slots that the applied state grants to this holder, reports demand, releases surplus units and maintains the worker
// leases.
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

// ErrLeaseExpired reports that the session lease is not valid, so no work may be started.
var ErrLeaseExpired = errors.New("the session lease has expired")

// ErrNoTeamUnit reports that this holder has no free unit of the team.
var ErrNoTeamUnit = errors.New("no free unit of the team")

// ErrNoSlot reports that this holder has no free slot of the instance.
var ErrNoSlot = errors.New("no free slot of the instance")

// Replica provides read access to the applied state. replica.Follower implements it.
type Replica interface {
	// View calls read with the state. read must neither retain nor modify it.
	View(read func(*statemachine.State))
	// Changed returns a channel that is closed at the next change of the state.
	Changed() <-chan struct{}
}

// Committer appends ops to the log. replica.Committer implements it.
type Committer interface {
	// Submit returns the outcome of each op once the local state reflects all of them.
	Submit(ctx context.Context, ops ...record.Op) ([]statemachine.Outcome, error)
}

// SessionLease is the right to use allotments. Package membership implements it. The ledger calls it without holding a
// lock of its own, so an implementation may call the ledger while holding its lock.
type SessionLease interface {
	// End returns the end of the lease.
	End() time.Time
	// Valid reports whether the lease has not ended.
	Valid() bool
	// Holder returns the incarnation to which the lease belongs.
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

// Config holds the dependencies of a ledger.
type Config struct {
	Replica   Replica
	Committer Committer
	Session   SessionLease
	Workers   platform.Workers
	Clock     Clock
	// NotSent is the committer's error for ops that will never take effect (replica.ErrNotSent). After any other error the
	// ledger treats the outcome as unknown.
	NotSent error
}

// Ledger tracks the use of the units and slots that are allotted to this holder. It is safe for concurrent use.
type Ledger struct {
	cfg    Config
	leases *leaseManager
	wake   chan struct{}

	mu                sync.Mutex
	holder            string
	allotmentsChanged uint64 // value of statemachine.State.AllotmentsChanged that the counts reflect
	sessionValid      bool   // whether the session lease was valid at the last refresh
	teams             map[string]*account
	pools             map[string]*account
	instances         map[string]*instanceAccount
	members           map[string][]string // IDs of the instances with held slots, by pool, in order
	queued            map[queueKey]int
	abandoned         int
	changed           chan struct{}
}

type queueKey struct{ team, pool string }

// account tracks the use of one team or pool.
type account struct {
	grant   statemachine.Grant
	used    int
	started int // permits of AcquireStarted included in used; maintained for teams only
	pending int // units proposed for release; maintained for teams only
	queued  int
	peak    peak
}

// instanceAccount tracks the use of one instance. It exists while slots of the instance are held or used.
type instanceAccount struct {
	grant   statemachine.SlotGrant
	used    int
	started int
	pending int
}

// free returns the number of units that may be acquired now.
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

// New returns a ledger without any allotment. Run reads the allotment from the applied state.
func New(cfg Config) *Ledger {
	return &Ledger{
		cfg:       cfg,
		leases:    newLeaseManager(cfg),
		wake:      make(chan struct{}, 1),
		teams:     map[string]*account{},
		pools:     map[string]*account{},
		instances: map[string]*instanceAccount{},
		queued:    map[queueKey]int{},
		changed:   make(chan struct{}),
	}
}

// Candidate is an instance with slots of this holder. Used counts the slots that cannot be acquired now.
type Candidate struct {
	Instance, Address, AvailabilityZone string
	Used, Held                          int
}

// Candidates returns the instances of the pool with slots of this holder that are not withdrawn, ordered by ID. It
// includes full instances, with Used equal to Held, because outlier ejection depends on the number of instances.
func (l *Ledger) Candidates(pool string) (candidates []Candidate) {
	l.EachCandidate(pool, func(c Candidate) { candidates = append(candidates, c) })
	return candidates
}

// EachCandidate calls yield with each element of Candidates while holding the ledger's lock.
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

// HasTeamUnit reports whether this holder has a free unit of the team.
func (l *Ledger) HasTeamUnit(team string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.teams[team]
	return ok && a.free() > 0
}

// MaxConnections returns the maximum number of connections that this process may open to the instance.
func (l *Ledger) MaxConnections(instance string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, ok := l.instances[instance]
	if !ok {
		return 0
	}
	// Tasks that an earlier holder started may be adopted before their slots are granted to this holder.
	return maxConnections(max(i.grant.Held, i.used), i.grant.Facts)
}

// Permit is the right to run one request or task for a team on an instance.
type Permit struct {
	Team, Instance, Address string

	ledger *Ledger
	pool   string
	// holder is the holder whose unit and slot the permit uses. It is empty for adopted work, which runs no matter who
	// holds them.
	holder   string
	started  bool
	acquired time.Time
	onFreed  func()
	once     sync.Once
	lease    *workerLease // guarded by the lease manager's mu
}

// Acquire acquires one unit of the team and one slot of the instance.
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

// AcquireStarted acquires the unit and the slot of a job that an earlier holder started. It always succeeds, because
// the task may be running whether or not its unit and slot have been granted to this holder.
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

// take creates a permit and counts it. The caller holds mu and has checked that the instance has an account.
func (l *Ledger) take(team, instance string, started bool) *Permit {
	i := l.instances[instance]
	p := &Permit{
		Team: team, Instance: instance, Address: i.grant.Facts.Address,
		ledger: l, pool: i.grant.Pool, started: started, acquired: l.cfg.Clock.Now(),
	}
	l.countPermit(p, 1)
	return p
}

// countPermit adds n to the use of the permit's team, pool and instance, and to the started permits if it is one of
// them. The caller holds mu.
func (l *Ledger) countPermit(p *Permit, n int) {
	if p.started {
		accountOf(l.teams, p.Team).started += n
		l.instances[p.Instance].started += n
	}
	l.countUse(p, n)
}

// countUse adds n to the use of the permit's team, pool and instance. The caller holds mu.
func (l *Ledger) countUse(p *Permit, n int) {
	team, pool, instance := accountOf(l.teams, p.Team), accountOf(l.pools, p.pool), l.instances[p.Instance]
	team.used += n
	pool.used += n
	instance.used += n
	l.observe(team)
	l.observe(pool)
}

// Release returns the unit and the slot to the ledger. It may be called only if the work has ended or did not start;
// otherwise Abandon must be called. It is idempotent.
func (p *Permit) Release() {
	p.once.Do(func() {
		l := p.ledger
		l.leases.release(p)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.countPermit(p, -1)
		// Without waiting requests no notification is needed: a request that arrives later looks for a free unit itself.
		if len(l.queued) > 0 {
			l.notify()
		}
	})
}

// Lease returns the ID of the worker lease under which the permit's work must start. For a permit of an ended session
// it returns ErrLeaseExpired, because another holder may be using the unit.
func (p *Permit) Lease(ctx context.Context) (string, error) {
	l := p.ledger
	t := leaseTarget{instance: p.Instance, address: p.Address, connections: l.MaxConnections(p.Instance)}
	return l.leases.lease(ctx, t, p)
}

// LeaseRefused records that the worker refused a start under the lease with RefusedLeaseLapsed. The next call of Lease
// then opens a new lease without waiting for the next renewal to fail.
func (p *Permit) LeaseRefused(ctx context.Context, leaseID string) {
	p.ledger.leases.markRefused(ctx, p, leaseID)
}

// accountOf returns the account of a team or pool and creates it if it does not exist.
func accountOf(accounts map[string]*account, name string) *account {
	a, ok := accounts[name]
	if !ok {
		a = &account{}
		accounts[name] = a
	}
	return a
}

// SetQueued sets the number of the team's requests that wait for the pool on this entry instance.
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

// observe updates the peak demand of an account and wakes Run. The caller holds mu.
func (l *Ledger) observe(a *account) {
	a.peak = a.peak.observe(l.cfg.Clock.Now(), a.inUse()+a.queued)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Changed returns a channel that is closed when units or slots may have become free. Acquiring a unit or slot does not
// close it, because that admits no waiting request.
func (l *Ledger) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// notify wakes the goroutines that wait for free units or slots. The caller holds mu.
func (l *Ledger) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Usage counts the running and waiting requests of this entry instance, by team and by pool.
type Usage struct {
	RunningByTeam, QueuedByTeam map[string]int
	RunningByPool, QueuedByPool map[string]int
}

// Usage returns the current counts. Counts of zero are omitted.
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
