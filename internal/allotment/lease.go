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
	// leaseRenewEvery leaves two tries within a session lease of 10 s.
	leaseRenewEvery = 4 * time.Second
	// leaseIdleAfter is how long an unused lease is renewed. Opening a lease costs a round trip on the request's path.
	leaseIdleAfter = 30 * time.Second
	// leaseCallTimeout bounds one lease call, so that an unreachable worker delays no other renewal for long.
	leaseCallTimeout = 2 * time.Second
	// leaseTick is how often the renewals and the retired leases that are due are looked for.
	leaseTick = 500 * time.Millisecond
	// leaseCallsParallel bounds the calls in flight.
	leaseCallsParallel = 32
)

// target is the worker to which a lease belongs.
type target struct {
	instance, address string
	connections       int
}

// errLeaseReplaced says that another lease has to be used.
var errLeaseReplaced = errors.New("the worker lease was replaced")

// leaseBook keeps the worker leases of this entry instance.
type leaseBook struct {
	cfg Config
	// kick wakes run when a retired lease may be closed or permits may be freed.
	kick chan struct{}

	mu sync.Mutex
	// leases has the lease under which new work of each instance starts.
	leases map[string]*workerLease
	// retired has the leases under which abandoned work may still run.
	retired map[*workerLease]struct{}
}

// workerLease is one lease at one worker. It is never opened twice: an expired one is replaced by another workerLease.
type workerLease struct {
	// over is set once the worker has confirmed that nothing runs under the lease.
	over atomic.Bool

	// The semaphore busy guards these; whoever holds it makes the calls to the worker.
	busy   chan struct{}
	target target
	holder string
	id     string
	// readAt is when the worker's clock showed workerNow or a later time.
	readAt    time.Time
	workerNow time.Duration
	// end is when the lease ends by the local clock.
	end time.Time

	// The book's mu guards these.
	lastUse time.Time
	// asked is the latest end that was ever asked for, whether or not the worker answered.
	asked time.Time
	// permits counts the permits whose work runs under the lease, without the abandoned ones.
	permits   int
	abandoned []*Permit
	// nextClose is when CloseLease may be called next.
	nextClose time.Time
}

func newLeaseBook(cfg Config) *leaseBook {
	return &leaseBook{
		cfg: cfg, kick: make(chan struct{}, 1),
		leases: map[string]*workerLease{}, retired: map[*workerLease]struct{}{},
	}
}

// of returns the lease of the permit or, if it has none yet, that of new work on its instance.
func (b *leaseBook) of(p *Permit) *workerLease {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.lease != nil {
		return p.lease
	}
	w, ok := b.leases[p.Instance]
	if !ok {
		w = &workerLease{busy: make(chan struct{}, 1), lastUse: b.cfg.Clock.Now()}
		b.leases[p.Instance] = w
	}
	return w
}

// lease returns the ID of a lease that is valid now, opening one if there is none, and counts the permit as its user. A
// permit keeps its lease, also a retired one, as long as that is valid: its work may run under it already.
func (b *leaseBook) lease(ctx context.Context, t target, p *Permit) (string, error) {
	for {
		id, err := b.tryLease(ctx, b.of(p), t, p)
		if !errors.Is(err, errLeaseReplaced) {
			return id, err
		}
	}
}

func (b *leaseBook) tryLease(ctx context.Context, w *workerLease, t target, p *Permit) (string, error) {
	select {
	case w.busy <- struct{}{}:
	case <-ctx.Done():
		return "", fmt.Errorf("lease of instance %s: %w", t.instance, ctx.Err())
	}
	defer func() { <-w.busy }()
	if !b.cfg.Session.Valid() {
		return "", ErrLeaseExpired
	}
	// The lease of an instance that came back under another address is one of the earlier worker.
	if w.id != "" && (!b.valid(w, b.cfg.Session.Holder()) || w.target.address != t.address) {
		b.replace(w, p)
		return "", errLeaseReplaced
	}
	w.target = t
	if w.id == "" {
		if err := b.open(ctx, w); err != nil {
			return "", fmt.Errorf("open lease of instance %s: %w", t.instance, err)
		}
	}
	// A unit of an ended session may have been granted to another holder since.
	if p.holder != "" && p.holder != w.holder {
		return "", ErrLeaseExpired
	}
	if !b.attach(w, p) {
		return "", errLeaseReplaced
	}
	return w.id, nil
}

// replace ends the use of a lease under which nothing may start any more.
func (b *leaseBook) replace(w *workerLease, p *Permit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leases[p.Instance] == w {
		delete(b.leases, p.Instance)
	}
	if p.lease == w {
		p.lease = nil
		w.permits--
	}
}

// attach counts the permit as a user of the lease. It reports false if the lease was retired meanwhile.
func (b *leaseBook) attach(w *workerLease, p *Permit) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.lastUse = b.cfg.Clock.Now()
	if p.lease == w {
		return true
	}
	if _, retired := b.retired[w]; retired || b.leases[p.Instance] != w {
		return false
	}
	p.lease = w
	w.permits++
	return true
}

// valid reports whether work may start under the lease. The caller holds busy.
func (b *leaseBook) valid(w *workerLease, holder string) bool {
	return w.id != "" && !w.over.Load() && w.holder == holder && b.cfg.Clock.Now().Before(w.end)
}

// open opens the lease at the worker. The caller holds busy.
func (b *leaseBook) open(ctx context.Context, w *workerLease) error {
	holder := b.cfg.Session.Holder()
	opened, err := b.worker(w).OpenLease(ctx, holder)
	if err != nil {
		return err
	}
	w.id, w.holder = opened.ID, holder
	w.workerNow, w.readAt = opened.Now, b.cfg.Clock.Now()
	if err := b.extend(ctx, w); err != nil {
		w.id = ""
		return err
	}
	return nil
}

// extend asks the worker to keep the lease until the end of the session lease. The worker read its clock before readAt, so
// by its clock workerNow + (end - readAt) is no later than end, however long this call takes. The caller holds busy.
func (b *leaseBook) extend(ctx context.Context, w *workerLease) error {
	if !b.cfg.Session.Valid() || b.cfg.Session.Holder() != w.holder {
		return ErrLeaseExpired
	}
	end := b.cfg.Session.End()
	b.mu.Lock()
	if end.After(w.asked) {
		w.asked = end
	}
	b.mu.Unlock()
	now, err := b.worker(w).RenewLease(ctx, w.id, w.workerNow+end.Sub(w.readAt))
	if err != nil {
		return err
	}
	w.workerNow, w.readAt, w.end = now, b.cfg.Clock.Now(), end
	return nil
}

func (b *leaseBook) worker(w *workerLease) platform.Worker {
	return b.cfg.Workers.Worker(w.target.instance, w.target.address, w.target.connections)
}

// run renews and closes leases until ctx ends.
func (b *leaseBook) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, leaseCallsParallel)
	each := func(leases []*workerLease, call func(context.Context, *workerLease)) {
		for _, w := range leases {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			wg.Go(func() {
				defer func() { <-slots }()
				call(ctx, w)
			})
		}
	}
	for ctx.Err() == nil {
		closing, freed := b.settle()
		for _, p := range freed {
			p.free()
		}
		each(closing, b.close)
		each(b.due(), b.renew)
		select {
		case <-ctx.Done():
		case <-b.kick:
		case <-b.cfg.Clock.After(leaseTick):
		}
	}
}

// due returns the leases that are not in a call and need a renewal, and forgets those that are unused and have lapsed.
func (b *leaseBook) due() []*workerLease {
	holder := b.cfg.Session.Holder()
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Clock.Now()
	var due []*workerLease
	check := func(w *workerLease, idle bool) (valid bool) {
		select {
		case w.busy <- struct{}{}:
		default:
			return true
		}
		defer func() { <-w.busy }()
		valid = b.valid(w, holder)
		if !idle && valid && now.Sub(w.readAt) >= leaseRenewEvery {
			due = append(due, w)
		}
		return valid
	}
	for instance, w := range b.leases {
		idle := w.permits == 0 && now.Sub(w.lastUse) >= leaseIdleAfter
		if !check(w, idle) && idle {
			delete(b.leases, instance)
		}
	}
	for w := range b.retired {
		check(w, w.permits == 0)
	}
	return due
}

// renew extends a lease that is still valid. An expired one is left to be replaced at its next use.
func (b *leaseBook) renew(ctx context.Context, w *workerLease) {
	select {
	case w.busy <- struct{}{}:
	default:
		return
	}
	defer func() { <-w.busy }()
	if !b.valid(w, b.cfg.Session.Holder()) || b.cfg.Clock.Now().Sub(w.readAt) < leaseRenewEvery {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	if isLapsed(b.extend(ctx, w)) {
		w.over.Store(true)
		b.wake()
	}
}

func isLapsed(err error) bool {
	refused := (*platform.RefusedError)(nil)
	return errors.As(err, &refused) && refused.Refusal == platform.RefusedLeaseLapsed
}

// refused notes that the worker does not accept the permit's lease any more, as after its restart.
func (b *leaseBook) refused(ctx context.Context, p *Permit, id string) {
	b.mu.Lock()
	w := p.lease
	b.mu.Unlock()
	if w == nil {
		return
	}
	select {
	case w.busy <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-w.busy }()
	if w.id == id {
		w.over.Store(true)
		b.wake()
	}
}
