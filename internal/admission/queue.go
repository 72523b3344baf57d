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

// The errors of Admit. Each of them guarantees that the request has not run.
var (
	ErrQueueFull      = errors.New("the queue of the pool is full")
	ErrQueueTimeout   = errors.New("no capacity became free within the queue time")
	ErrNoContact      = errors.New("this entry instance has no contact with the log or its peers")
	ErrKeyWithdrawn   = errors.New("the key was withdrawn while the request waited")
	ErrUnknownService = errors.New("unknown service")
	ErrLease          = errors.New("no worker lease")
	ErrStopped        = errors.New("admission has stopped")
)

// The errors of Ledger.Acquire and Permit.Lease, to be matched with errors.Is.
var (
	ErrLeaseExpired = errors.New("the session lease has expired")
	ErrNoTeamUnit   = errors.New("no free team unit")
	ErrNoSlot       = errors.New("no free slot")
)

const (
	// maxLeaseAttempts is the maximum number of instances that one request tries when no worker lease can be obtained.
	maxLeaseAttempts = 3
	// recheckInterval is the interval at which waiting requests are dispatched without a change of the ledger. It is
	// needed because the ejection of an instance ends after a time, without an event.
	recheckInterval = 250 * time.Millisecond
)

// Permit is a team unit and a slot in use.
type Permit interface {
	// Lease returns the ID of the worker lease under which the work must start.
	Lease(ctx context.Context) (leaseID string, err error)
	// LeaseRefused reports that the instance refused the lease as expired. The next start then uses a new lease.
	LeaseRefused(ctx context.Context, leaseID string)
	// Release ends the use of the permit after its work has ended.
	Release()
	// Abandon ends the use of the permit while its work may still run. freed is called once the work can no longer run.
	Abandon(freed func())
}

// Ledger accounts for the team units and slots of this entry instance. SetQueued is called under the lock of a pool's
// queue, so an implementation must not call back into admission.
type Ledger interface {
	// AppendCandidates appends the instances of the pool on which this process holds slots.
	AppendCandidates(to []routing.Candidate, pool string) []routing.Candidate
	// Acquire takes one unit of the team and one slot of the instance.
	Acquire(team, instance string) (Permit, error)
	// HasTeamUnit reports whether the team has a free unit.
	HasTeamUnit(team string) bool
	// SetQueued sets the number of waiting requests of the team in the pool.
	SetQueued(team, pool string, n int)
	// Changed returns a channel that is closed when units or slots may have become free.
	Changed() <-chan struct{}
}

// Fleet provides the state of the other entry instances and of the worker instances.
type Fleet interface {
	// PeerRunning returns the number of requests of the team that run in the pool on behalf of the peers, according to
	// their last reports.
	PeerRunning(team, pool string) int
	// Leaving reports whether the platform lists the worker instance as leaving.
	Leaving(instance string) bool
}

// Request is a request or job that waits for capacity.
type Request struct {
	Team    string
	Service string
	Urgent  bool
	// Avoid lists the instances on which earlier attempts of this request failed.
	Avoid []string
	// Background marks a job: it waits without a time limit and does not count towards the length of the queue. The job
	// runner limits the number of waiting jobs.
	Background bool
	// Recheck is called after the request has left the queue and its worker lease is open. If it returns an error, the
	// request fails with that error. It may be nil.
	Recheck func() error
}

// Config holds the dependencies of a Queue. All fields are required.
type Config struct {
	Document func() *config.Document
	Ledger   Ledger
	Fleet    Fleet
	Health   *routing.Health
}

// Queue admits the requests of one entry instance. It is safe for concurrent use.
type Queue struct {
	cfg Config

	mu      sync.Mutex
	pools   map[string]*poolQueue
	stopped chan struct{}
	// waiting counts the waiting requests of all pools. wakeup wakes Run.
	waiting atomic.Int64
	wakeup  chan struct{}
}

// New returns a Queue. Waiting requests are woken only while Run is running.
func New(c Config) *Queue {
	return &Queue{cfg: c, pools: map[string]*poolQueue{}, stopped: make(chan struct{}), wakeup: make(chan struct{}, 1)}
}

// Run dispatches waiting requests when the ledger changes, until ctx ends. Requests that are still waiting then fail
// with ErrStopped.
func (q *Queue) Run(ctx context.Context) {
	defer close(q.stopped)
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	for {
		changed := q.cfg.Ledger.Changed()
		q.dispatchAll()
		select {
		case <-changed:
		case <-q.wakeup:
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

// pool returns the queue of a pool and creates it if it does not exist.
func (q *Queue) pool(name string) *poolQueue {
	q.mu.Lock()
	defer q.mu.Unlock()
	p, ok := q.pools[name]
	if !ok {
		p = &poolQueue{queue: q, cfg: q.cfg, name: name, teams: map[string]*teamQueue{}}
		q.pools[name] = p
	}
	return p
}

// Running returns the number of the team's requests and jobs that this entry instance runs in the pool.
func (q *Queue) Running(team, pool string) int {
	p := q.pool(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	if t, ok := p.teams[team]; ok {
		return t.running
	}
	return 0
}

// Usage is the number of running and queued requests of a team in a pool on this entry instance.
type Usage struct {
	Team    string
	Pool    string
	Running int
	Queued  int
}

// Usage returns the usage of each team and pool with running or queued requests, for heartbeats. The order is
// undefined.
func (q *Queue) Usage() []Usage {
	q.mu.Lock()
	defer q.mu.Unlock()
	var usage []Usage
	for _, p := range q.pools {
		usage = p.appendUsage(usage)
	}
	return usage
}

// Ticket is the right to run one request on one instance. The holder must call Done or Abandon once.
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

// Adopt counts a job that an earlier holder started as running in the pool of its service. permit holds the job's unit
// and slot. The ticket has no lease yet.
func (q *Queue) Adopt(team, service, instance string, permit Permit) *Ticket {
	// A job of a service that the document no longer contains is counted under the empty pool name.
	known, _ := q.cfg.Document().Service(service)
	p := q.pool(known.Pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.team(team).running++
	return &Ticket{Team: team, Service: service, Pool: p.name, Instance: instance, permit: permit, pool: p}
}

// Lease returns the worker lease of an adopted job.
func (t *Ticket) Lease(ctx context.Context) (string, error) { return t.permit.Lease(ctx) }

// LeaseRefused reports that the instance refused the ticket's lease as expired.
func (t *Ticket) LeaseRefused(ctx context.Context) {
	if t.permit != nil {
		t.permit.LeaseRefused(ctx, t.LeaseID)
	}
}

// Done releases the capacity and records the observation about the instance. Only the first call of Done or Abandon has
// an effect.
func (t *Ticket) Done(o routing.Observation) {
	t.done.Do(func() {
		t.pool.cfg.Health.Observe(t.Instance, o)
		t.permit.Release()
		t.pool.finished(t.Team)
	})
}

// Abandon records the observation about the instance and keeps the capacity in use until the ledger reports that the
// work has ended. It is for attempts that may still be running. Only the first call of Done or Abandon has an effect.
func (t *Ticket) Abandon(o routing.Observation) {
	t.done.Do(func() {
		t.pool.cfg.Health.Observe(t.Instance, o)
		t.permit.Abandon(func() { t.pool.finished(t.Team) })
	})
}

// Admit waits until the request may run. The error is one of this package's errors, the error of Recheck or that of
// ctx.
func (q *Queue) Admit(ctx context.Context, req Request) (*Ticket, error) {
	doc := q.cfg.Document()
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
		g, err := q.awaitGrant(ctx, timeout, p, req, doc.Limits.QueueLength, team.Share)
		if err != nil {
			return nil, err
		}
		ticket, err := q.newTicket(ctx, p, req, g)
		if err == nil || attempt == maxLeaseAttempts || !errors.Is(err, ErrLease) || ctx.Err() != nil {
			return ticket, err
		}
		req.Avoid = append(req.Avoid, g.candidate.Instance)
	}
}

// awaitGrant enqueues the request and waits until it is granted capacity or its wait ends.
func (q *Queue) awaitGrant(
	ctx context.Context, timeout <-chan time.Time, p *poolQueue, req Request, length, share int,
) (grant, error) {
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
	if p.stopWaiting(w) {
		return grant{}, err
	}
	// The capacity was granted concurrently with the end of the wait. The request uses it unless its context has ended.
	g := <-w.granted
	if ctx.Err() != nil {
		g.permit.Release()
		p.finished(req.Team)
		return grant{}, ctx.Err()
	}
	return g, nil
}

// newTicket obtains the worker lease and calls Recheck, without holding any lock.
func (q *Queue) newTicket(ctx context.Context, p *poolQueue, req Request, g grant) (*Ticket, error) {
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
	// The check comes last, because opening a lease on an instance that does not answer may take seconds.
	if req.Recheck != nil {
		if err := req.Recheck(); err != nil {
			t.Done(routing.ObservedNothing)
			return nil, err
		}
	}
	return t, nil
}
