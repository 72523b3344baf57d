package allotment

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"pollenlead/internal/platform"
)

const (
	// leaseRenewInterval is the interval between renewals of a worker lease. It allows two attempts within a session lease
	// of 10 s.
	leaseRenewInterval = 4 * time.Second
	// leaseIdleTimeout is the time for which an unused lease is still renewed, because opening a lease adds a round trip
	// to a request.
	leaseIdleTimeout = 30 * time.Second
	// leaseCallTimeout limits one lease call, so that an unreachable worker does not delay other renewals for long.
	leaseCallTimeout = 2 * time.Second
	// leaseCheckInterval is the interval between checks for leases to renew or close.
	leaseCheckInterval = 500 * time.Millisecond
	// maxLeaseCalls is the maximum number of concurrent lease calls.
	maxLeaseCalls = 32
)

// leaseTarget identifies the worker to which a lease belongs.
type leaseTarget struct {
	instance, address string
	connections       int
}

// errLeaseReplaced reports that the lease was replaced and the caller must use its replacement.
var errLeaseReplaced = errors.New("the worker lease was replaced")

// leaseManager opens, renews and closes the worker leases of this entry instance.
type leaseManager struct {
	cfg Config
	// wakeup wakes run when a retired lease may be closed or permits may be freed.
	wakeup chan struct{}

	mu sync.Mutex
	// leases holds, by instance, the lease under which new work starts.
	leases map[string]*workerLease
	// retired holds the leases under which abandoned work may still run.
	retired map[*workerLease]struct{}
}

// workerLease is one lease at one worker. It is opened at most once; an expired lease is replaced by a new workerLease.
type workerLease struct {
	// ended is set once the worker has confirmed that nothing runs under the lease.
	ended atomic.Bool

	// callSem is a semaphore that guards the fields below. Its owner makes the calls to the worker.
	callSem chan struct{}
	target  leaseTarget
	holder  string
	id      string
	// clockReadAt is a local time at which the worker's clock showed workerClock or a later time.
	clockReadAt time.Time
	workerClock time.Duration
	// end is the end of the lease by the local clock.
	end time.Time

	// The manager's mu guards the fields below.
	lastUse time.Time
	// maxRequestedEnd is the latest end that was requested from the worker, whether or not the worker answered.
	maxRequestedEnd time.Time
	// permits counts the permits whose work runs under the lease, excluding abandoned ones.
	permits   int
	abandoned []*Permit
	// nextClose is the earliest time of the next CloseLease call.
	nextClose time.Time
}

func newLeaseManager(cfg Config) *leaseManager {
	return &leaseManager{
		cfg: cfg, wakeup: make(chan struct{}, 1),
		leases: map[string]*workerLease{}, retired: map[*workerLease]struct{}{},
	}
}

// leaseFor returns the lease of the permit or, if it has none yet, the lease for new work on its instance.
func (m *leaseManager) leaseFor(p *Permit) *workerLease {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.lease != nil {
		return p.lease
	}
	w, ok := m.leases[p.Instance]
	if !ok {
		w = &workerLease{callSem: make(chan struct{}, 1), lastUse: m.cfg.Clock.Now()}
		m.leases[p.Instance] = w
	}
	return w
}

// lease returns the ID of a lease that is currently valid and counts the permit as its user. It opens a lease if there
// is none. A permit keeps its lease, even a retired one, while it is valid, because its work may already run under it.
func (m *leaseManager) lease(ctx context.Context, t leaseTarget, p *Permit) (string, error) {
	for {
		id, err := m.tryLease(ctx, m.leaseFor(p), t, p)
		if !errors.Is(err, errLeaseReplaced) {
			return id, err
		}
	}
}

// tryLease is one attempt of lease. It returns errLeaseReplaced if the lease must not be used any more.
func (m *leaseManager) tryLease(ctx context.Context, w *workerLease, t leaseTarget, p *Permit) (string, error) {
	select {
	case w.callSem <- struct{}{}:
	case <-ctx.Done():
		return "", fmt.Errorf("lease of instance %s: %w", t.instance, ctx.Err())
	}
	defer func() { <-w.callSem }()
	if !m.cfg.Session.Valid() {
		return "", ErrLeaseExpired
	}
	// If the address of the instance has changed, the lease belongs to the worker at the previous address.
	if w.id != "" && (!m.valid(w, m.cfg.Session.Holder()) || w.target.address != t.address) {
		m.replace(w, p)
		return "", errLeaseReplaced
	}
	w.target = t
	if w.id == "" {
		if err := m.open(ctx, w); err != nil {
			return "", fmt.Errorf("open lease of instance %s: %w", t.instance, err)
		}
	}
	// A unit of an ended session may have been granted to another holder.
	if p.holder != "" && p.holder != w.holder {
		return "", ErrLeaseExpired
	}
	if !m.attach(w, p) {
		return "", errLeaseReplaced
	}
	return w.id, nil
}

// replace ends the use of a lease under which no work may start any more.
func (m *leaseManager) replace(w *workerLease, p *Permit) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leases[p.Instance] == w {
		delete(m.leases, p.Instance)
	}
	if p.lease == w {
		p.lease = nil
		w.permits--
	}
}

// attach counts the permit as a user of the lease. It returns false if the lease has been retired or replaced.
func (m *leaseManager) attach(w *workerLease, p *Permit) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	w.lastUse = m.cfg.Clock.Now()
	if p.lease == w {
		return true
	}
	if _, retired := m.retired[w]; retired || m.leases[p.Instance] != w {
		return false
	}
	p.lease = w
	w.permits++
	return true
}

// valid reports whether work may start under the lease. The caller holds callSem.
func (m *leaseManager) valid(w *workerLease, holder string) bool {
	return w.id != "" && !w.ended.Load() && w.holder == holder && m.cfg.Clock.Now().Before(w.end)
}

// open opens the lease at the worker. The caller holds callSem.
func (m *leaseManager) open(ctx context.Context, w *workerLease) error {
	holder := m.cfg.Session.Holder()
	opened, err := m.worker(w).OpenLease(ctx, holder)
	if err != nil {
		return err
	}
	w.id, w.holder = opened.ID, holder
	w.workerClock, w.clockReadAt = opened.Now, m.cfg.Clock.Now()
	if err := m.extend(ctx, w); err != nil {
		w.id = ""
		return err
	}
	return nil
}

// extend requests that the worker extend the lease to the end of the session lease. The worker read its clock before
// clockReadAt, so workerClock + (end - clockReadAt) on its clock is no later than end, however long this call takes.
// The caller holds callSem.
func (m *leaseManager) extend(ctx context.Context, w *workerLease) error {
	if !m.cfg.Session.Valid() || m.cfg.Session.Holder() != w.holder {
		return ErrLeaseExpired
	}
	end := m.cfg.Session.End()
	m.mu.Lock()
	if end.After(w.maxRequestedEnd) {
		w.maxRequestedEnd = end
	}
	m.mu.Unlock()
	now, err := m.worker(w).RenewLease(ctx, w.id, w.workerClock+end.Sub(w.clockReadAt))
	if err != nil {
		return err
	}
	w.workerClock, w.clockReadAt, w.end = now, m.cfg.Clock.Now(), end
	return nil
}

func (m *leaseManager) worker(w *workerLease) platform.Worker {
	return m.cfg.Workers.Worker(w.target.instance, w.target.address, w.target.connections)
}

// run renews and closes leases until ctx ends.
func (m *leaseManager) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	callSlots := make(chan struct{}, maxLeaseCalls)
	each := func(leases []*workerLease, call func(context.Context, *workerLease)) {
		for _, w := range leases {
			select {
			case callSlots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			wg.Go(func() {
				defer func() { <-callSlots }()
				call(ctx, w)
			})
		}
	}
	for ctx.Err() == nil {
		closing, freed := m.collectEnded()
		for _, p := range freed {
			p.freeCapacity()
		}
		each(closing, m.close)
		each(m.dueForRenewal(), m.renew)
		select {
		case <-ctx.Done():
		case <-m.wakeup:
		case <-m.cfg.Clock.After(leaseCheckInterval):
		}
	}
}

// dueForRenewal returns the leases that need a renewal and have no call in progress. It also removes the leases that
// are unused and have expired.
func (m *leaseManager) dueForRenewal() []*workerLease {
	holder := m.cfg.Session.Holder()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Clock.Now()
	var due []*workerLease
	check := func(w *workerLease, idle bool) (valid bool) {
		select {
		case w.callSem <- struct{}{}:
		default:
			return true
		}
		defer func() { <-w.callSem }()
		valid = m.valid(w, holder)
		if !idle && valid && now.Sub(w.clockReadAt) >= leaseRenewInterval {
			due = append(due, w)
		}
		return valid
	}
	for instance, w := range m.leases {
		idle := w.permits == 0 && now.Sub(w.lastUse) >= leaseIdleTimeout
		if !check(w, idle) && idle {
			delete(m.leases, instance)
		}
	}
	for w := range m.retired {
		check(w, w.permits == 0)
	}
	return due
}

// renew extends a lease that is still valid. An expired lease is replaced at its next use.
func (m *leaseManager) renew(ctx context.Context, w *workerLease) {
	select {
	case w.callSem <- struct{}{}:
	default:
		return
	}
	defer func() { <-w.callSem }()
	if !m.valid(w, m.cfg.Session.Holder()) || m.cfg.Clock.Now().Sub(w.clockReadAt) < leaseRenewInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	if isLapsed(m.extend(ctx, w)) {
		w.ended.Store(true)
		m.wake()
	}
}

// isLapsed reports whether the worker refused a call because the lease has expired.
func isLapsed(err error) bool {
	refused := (*platform.RefusedError)(nil)
	return errors.As(err, &refused) && refused.Refusal == platform.RefusedLeaseLapsed
}

// markRefused records that the worker no longer accepts the permit's lease, for example after the worker restarted.
func (m *leaseManager) markRefused(ctx context.Context, p *Permit, id string) {
	m.mu.Lock()
	w := p.lease
	m.mu.Unlock()
	if w == nil {
		return
	}
	select {
	case w.callSem <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-w.callSem }()
	if w.id == id {
		w.ended.Store(true)
		m.wake()
	}
}
