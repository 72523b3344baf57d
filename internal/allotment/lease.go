package allotment

import (
	"context"
	"errors"
	"fmt"
	"sync"
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
	// leaseRenewTick is how often the renewals that are due are looked for.
	leaseRenewTick = 500 * time.Millisecond
	// leaseRenewParallel bounds the renewals in flight.
	leaseRenewParallel = 32
)

// target is the worker to which a lease belongs.
type target struct {
	instance, address string
	connections       int
}

// leaseBook keeps the worker leases of this entry instance.
type leaseBook struct {
	cfg Config

	mu     sync.Mutex
	leases map[string]*workerLease
}

// workerLease is the lease at one worker. mu of the book guards used and lastUse; the semaphore busy guards the rest, and
// whoever holds it makes the calls to the worker.
type workerLease struct {
	used    int
	lastUse time.Time

	busy   chan struct{}
	target target
	holder string
	id     string
	// readAt is when the worker's clock showed workerNow or a later time.
	readAt    time.Time
	workerNow time.Duration
	// end is when the lease ends by the local clock.
	end time.Time
}

func newLeaseBook(cfg Config) *leaseBook {
	return &leaseBook{cfg: cfg, leases: map[string]*workerLease{}}
}

// use counts the permits of an instance, so that its lease is renewed while work may run under it.
func (b *leaseBook) use(instance string, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.get(instance)
	w.used += n
	w.lastUse = b.cfg.Clock.Now()
}

func (b *leaseBook) get(instance string) *workerLease {
	w, ok := b.leases[instance]
	if !ok {
		w = &workerLease{busy: make(chan struct{}, 1)}
		b.leases[instance] = w
	}
	return w
}

// lease returns the ID and the holder of a lease that is valid now, opening one if there is none.
func (b *leaseBook) lease(ctx context.Context, t target) (id, holder string, err error) {
	b.mu.Lock()
	w := b.get(t.instance)
	b.mu.Unlock()
	select {
	case w.busy <- struct{}{}:
	case <-ctx.Done():
		return "", "", fmt.Errorf("lease of instance %s: %w", t.instance, ctx.Err())
	}
	defer func() { <-w.busy }()
	if !b.cfg.Session.Valid() {
		return "", "", ErrLeaseExpired
	}
	w.target = t
	if b.valid(w, b.cfg.Session.Holder()) {
		return w.id, w.holder, nil
	}
	if err := b.open(ctx, w); err != nil {
		return "", "", fmt.Errorf("open lease of instance %s: %w", t.instance, err)
	}
	return w.id, w.holder, nil
}

// valid reports whether work may start under the lease. The caller holds busy.
func (b *leaseBook) valid(w *workerLease, holder string) bool {
	return w.id != "" && w.holder == holder && b.cfg.Clock.Now().Before(w.end)
}

// open replaces the lease by a new one. The caller holds busy.
func (b *leaseBook) open(ctx context.Context, w *workerLease) error {
	w.id = ""
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

// run renews leases until ctx ends.
func (b *leaseBook) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, leaseRenewParallel)
	for {
		for _, w := range b.due() {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			wg.Go(func() {
				defer func() { <-slots }()
				b.renew(ctx, w)
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-b.cfg.Clock.After(leaseRenewTick):
		}
	}
}

// due returns the leases that are not in a call, and forgets those that are unused and have lapsed.
func (b *leaseBook) due() []*workerLease {
	holder := b.cfg.Session.Holder()
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Clock.Now()
	var due []*workerLease
	for instance, w := range b.leases {
		select {
		case w.busy <- struct{}{}:
		default:
			continue
		}
		idle := w.used == 0 && now.Sub(w.lastUse) >= leaseIdleAfter
		if idle && !b.valid(w, holder) {
			delete(b.leases, instance)
		}
		if !idle && b.valid(w, holder) && now.Sub(w.readAt) >= leaseRenewEvery {
			due = append(due, w)
		}
		<-w.busy
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
	err := b.extend(ctx, w)
	if refused := (*platform.RefusedError)(nil); errors.As(err, &refused) && refused.Refusal == platform.RefusedLeaseLapsed {
		w.id = ""
	}
}

// refused forgets a lease that the worker does not accept any more, as after its restart.
func (b *leaseBook) refused(ctx context.Context, instance, id string) {
	b.mu.Lock()
	w, ok := b.leases[instance]
	b.mu.Unlock()
	if !ok {
		return
	}
	select {
	case w.busy <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-w.busy }()
	if w.id == id {
		w.id = ""
	}
}
