package admission

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pollenlead/internal/config"
	"pollenlead/internal/routing"
)

// The errors of Admit. After each of them the request has certainly not run.
var (
	ErrQueueFull      = errors.New("the queue of the pool is full")
	ErrQueueTimeout   = errors.New("no capacity became free within the queue time")
	ErrNoContact      = errors.New("this entry instance has no contact with the log or its peers")
	ErrKeyWithdrawn   = errors.New("the key was withdrawn while the request waited")
	ErrUnknownService = errors.New("unknown service")
	ErrLease          = errors.New("no worker lease")
	ErrStopped        = errors.New("admission has stopped")
)

// The errors that Ledger.Acquire and Permit.Lease return, matched with errors.Is.
var (
	ErrLeaseExpired = errors.New("the session lease has expired")
	ErrNoTeamUnit   = errors.New("no free team unit")
	ErrNoSlot       = errors.New("no free slot")
)

const (
	// maxLeaseAttempts bounds the instances that one request tries when worker leases cannot be had.
	maxLeaseAttempts = 3
	// recheckInterval wakes waiting requests without a change of the ledger, because ejections end by time alone.
	recheckInterval = 250 * time.Millisecond
)

// Permit is a team unit and a slot in use.
type Permit interface {
	Lease(ctx context.Context) (leaseID string, err error)
	// LeaseRefused says that the instance refused the lease as expired, so that the next start gets a new one.
	LeaseRefused(ctx context.Context, leaseID string)
	// Release ends the use of the permit; its work has ended.
	Release()
	// Abandon ends the use of the permit while its work may still run. freed is called once the work has certainly ended.
	Abandon(freed func())
}

// Ledger is what admission needs of the local ledger. SetQueued is called under the lock of a pool's queue, so the ledger
// must not call back into admission.
type Ledger interface {
	// AppendCandidates appends the instances of the pool where this process holds slots.
	AppendCandidates(to []routing.Candidate, pool string) []routing.Candidate
	Acquire(team, instance string) (Permit, error)
	HasTeamUnit(team string) bool
	SetQueued(team, pool string, n int)
	Changed() <-chan struct{}
}

// Fleet is what admission needs of the other entry instances.
type Fleet interface {
	// PeerRunning is the number of requests of the team that the peers run in the pool, as they last reported.
	PeerRunning(team, pool string) int
	// Leaving reports whether the platform's list says that the worker instance is leaving.
	Leaving(instance string) bool
}

// Request is a request or job that waits for capacity.
type Request struct {
	Team    string
	Service string
	Urgent  bool
	// Avoid names instances that have failed this request before.
	Avoid []string
	// Background marks a job: it waits without a time limit and does not count against the queue's length. The job runner
	// bounds the number of jobs that wait.
	Background bool
	// Recheck is called when the request leaves the queue. Its error ends the request; it may be nil.
	Recheck func() error
}

// Config holds what a Queue works with. All fields are required.
type Config struct {
	Document func() *config.Document
	Ledger   Ledger
	Fleet    Fleet
	Health   *routing.Health
}

// Queue is the admission of one entry instance. It is safe for concurrent use.
type Queue struct {
	c Config

	mu      sync.Mutex
	pools   map[string]*poolQueue
	stopped chan struct{}
	// waiting counts the waiting requests of all pools. kick wakes Run.
	waiting atomic.Int64
	kick    chan struct{}
}

// New returns a Queue. Run must be running for waiting requests to be woken.
func New(c Config) *Queue {
	return &Queue{c: c, pools: map[string]*poolQueue{}, stopped: make(chan struct{}), kick: make(chan struct{}, 1)}
}

// Run wakes waiting requests when the ledger changes, until ctx ends. Requests that then still wait get ErrStopped.
func (q *Queue) Run(ctx context.Context) {
	defer close(q.stopped)
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	for {
		changed := q.c.Ledger.Changed()
		q.dispatchAll()
		select {
		case <-changed:
		case <-q.kick:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (q *Queue) dispatchAll() {
	q.mu.Lock()
	pools := make([]*poolQueue, 0, len(q.pools))
	for _, p := range q.pools {
		pools = append(pools, p)
	}
	q.mu.Unlock()
	for _, p := range pools {
		p.dispatch()
	}
}

func (q *Queue) pool(name string) *poolQueue {
	q.mu.Lock()
	defer q.mu.Unlock()
	p, ok := q.pools[name]
	if !ok {
		p = &poolQueue{q: q, c: q.c, name: name, teams: map[string]*teamQueue{}}
		q.pools[name] = p
	}
	return p
}

// Running returns the number of requests and jobs that run here for the team in the pool.
func (q *Queue) Running(team, pool string) int {
	p := q.pool(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	if t, ok := p.teams[team]; ok {
		return t.running
	}
	return 0
}

// Usage is what a team runs and has queued in a pool at this entry instance.
type Usage struct {
	Team    string
	Pool    string
	Running int
	Queued  int
}

// Usage returns the usage of every team and pool that has any, for heartbeats. The order is not defined.
func (q *Queue) Usage() []Usage {
	q.mu.Lock()
	defer q.mu.Unlock()
	var usage []Usage
	for _, p := range q.pools {
		usage = p.appendUsage(usage)
	}
	return usage
}

// Ticket is the right to run one request on one instance. Done or Abandon must be called once.
type Ticket struct {
	Team     string
	Service  string
	Pool     string
	Instance string
	Address  string
	LeaseID  string

	permit Permit
	pool   *poolQueue
	done   sync.Once
}

// Adopt counts a job that an earlier holder started, and whose permit was taken for it, as running in the pool of its
// service. The ticket has no lease yet.
func (q *Queue) Adopt(team, service, instance string, permit Permit) *Ticket {
	// A service that the document no longer has counts in no pool.
	known, _ := q.c.Document().Service(service)
	p := q.pool(known.Pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.team(team).running++
	return &Ticket{Team: team, Service: service, Pool: p.name, Instance: instance, permit: permit, pool: p}
}

// Lease returns the worker lease of an adopted job.
func (t *Ticket) Lease(ctx context.Context) (string, error) { return t.permit.Lease(ctx) }

// LeaseRefused says that the instance refused the ticket's lease as expired.
func (t *Ticket) LeaseRefused(ctx context.Context) {
	if t.permit != nil {
		t.permit.LeaseRefused(ctx, t.LeaseID)
	}
}

// Done gives the capacity back and records what the attempt showed about the instance. Only the first call counts.
func (t *Ticket) Done(o routing.Observation) {
	t.done.Do(func() {
		t.pool.c.Health.Observe(t.Instance, o)
		t.permit.Release()
		t.pool.finished(t.Team)
	})
}

// Abandon records what the attempt showed about the instance, but keeps the capacity in use until the ledger knows that the
// work has ended. It is for attempts that may still run. Only the first call of Done and Abandon counts.
func (t *Ticket) Abandon(o routing.Observation) {
	t.done.Do(func() {
		t.pool.c.Health.Observe(t.Instance, o)
		t.permit.Abandon(func() { t.pool.finished(t.Team) })
	})
}

// Admit waits until the request may run. The error is one of this package, that of Recheck, or that of ctx.
func (q *Queue) Admit(ctx context.Context, req Request) (*Ticket, error) {
	doc := q.c.Document()
	service, ok := doc.Service(req.Service)
	if !ok {
		return nil, fmt.Errorf("%w: %s", ErrUnknownService, req.Service)
	}
	team, _ := doc.Team(req.Team)
	var timeout <-chan time.Time
	if !req.Background {
		timer := time.NewTimer(doc.Limits.QueueTimeout())
		defer timer.Stop()
		timeout = timer.C
	}
	p := q.pool(service.Pool)
	req.Avoid = slices.Clone(req.Avoid)
	for attempt := 1; ; attempt++ {
		g, err := q.wait(ctx, timeout, p, req, doc.Limits.QueueLength, team.Share)
		if err != nil {
			return nil, err
		}
		ticket, err := q.ticket(ctx, p, req, g)
		if err == nil || attempt == maxLeaseAttempts || !errors.Is(err, ErrLease) || ctx.Err() != nil {
			return ticket, err
		}
		req.Avoid = append(req.Avoid, g.candidate.Instance)
	}
}

func (q *Queue) wait(ctx context.Context, timeout <-chan time.Time, p *poolQueue, req Request, length, share int) (grant, error) {
	w, err := p.enqueue(req, length, share)
	if err != nil {
		return grant{}, err
	}
	select {
	case g := <-w.granted:
		return g, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-timeout:
		err = p.timeoutError()
	case <-q.stopped:
		err = ErrStopped
	}
	if p.leave(w) {
		return grant{}, err
	}
	// The grant came at the same moment as the end of the wait. Only a request whose caller is still there can use it.
	g := <-w.granted
	if ctx.Err() != nil {
		g.permit.Release()
		p.finished(req.Team)
		return grant{}, ctx.Err()
	}
	return g, nil
}

// ticket gets the worker lease and checks the request again, outside all locks.
func (q *Queue) ticket(ctx context.Context, p *poolQueue, req Request, g grant) (*Ticket, error) {
	t := &Ticket{
		Team: req.Team, Service: req.Service, Pool: p.name,
		Instance: g.candidate.Instance, Address: g.candidate.Address, permit: g.permit, pool: p,
	}
	leaseID, err := g.permit.Lease(ctx)
	if err != nil {
		observed := routing.ObservedFailure
		if ctx.Err() != nil || errors.Is(err, ErrLeaseExpired) {
			observed = routing.ObservedNothing // the instance is not the cause
		}
		t.Done(observed)
		return nil, fmt.Errorf("%w at instance %s: %w", ErrLease, g.candidate.Instance, err)
	}
	t.LeaseID = leaseID
	// The check comes last, because a lease of an instance that does not answer may take seconds.
	if req.Recheck != nil {
		if err := req.Recheck(); err != nil {
			t.Done(routing.ObservedNothing)
			return nil, err
		}
	}
	return t, nil
}
