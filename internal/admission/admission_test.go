package admission

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/config"
	"pollenlead/internal/routing"
)

// fakeLedger holds units per team and slots per instance of its only pool, "p".
type fakeLedger struct {
	mu       sync.Mutex
	units    map[string]int
	slots    []routing.Candidate
	queued   map[string]int
	changed  chan struct{}
	acquire  error
	lease    error
	released int
	// abandoned holds one function per abandoned permit, which frees it.
	abandoned []func()
}

func newLedger(units map[string]int, slots ...routing.Candidate) *fakeLedger {
	return &fakeLedger{units: units, slots: slots, queued: map[string]int{}, changed: make(chan struct{})}
}

type fakePermit struct {
	l        *fakeLedger
	team     string
	instance int
}

func (p *fakePermit) Lease(context.Context) (string, error) { return "lease", p.l.lease }

func (p *fakePermit) LeaseRefused(context.Context, string) {}

func (p *fakePermit) Release() {
	p.l.mu.Lock()
	defer p.l.mu.Unlock()
	p.l.units[p.team]++
	p.l.slots[p.instance].Used--
	p.l.released++
}

// Guards against capacity that counts as free while abandoned work may still use it, and against fair sharing that
// ignores such work.
func TestAbandonedTicketStaysInUse(t *testing.T) {
	is := is.New(t)
	l := newLedger(map[string]int{"a": 1}, routing.Candidate{Instance: "i", Held: 1})
	q := newQueue(l, fakeFleet{})
	ticket, err := q.Admit(t.Context(), Request{Team: "a", Service: "s"})
	is.NoErr(err)
	ticket.Abandon(routing.ObservedNothing)
	ticket.Done(routing.ObservedNothing)
	is.Equal(q.Running("a", "p"), 1)
	is.True(!l.HasTeamUnit("a"))
	l.abandoned[0]()
	is.Equal(q.Running("a", "p"), 0)
	is.True(l.HasTeamUnit("a"))
}

// Guards against adopted jobs that fair sharing and heartbeats ignore, or that are still counted after they have ended.
func TestAdoptedJobIsCounted(t *testing.T) {
	is := is.New(t)
	l := newLedger(map[string]int{"t1": 1}, routing.Candidate{Instance: "i", Used: 1, Held: 1})
	q := newQueue(l, fakeFleet{})
	ticket := q.Adopt("t1", "s", "i", &fakePermit{l: l, team: "t1"})
	is.Equal(q.Usage(), []Usage{{Team: "t1", Pool: "p", Running: 1}})
	id, err := ticket.Lease(t.Context())
	is.NoErr(err)
	is.Equal(id, "lease")
	ticket.Done(routing.ObservedSuccess)
	is.Equal(len(q.Usage()), 0)
}

func (p *fakePermit) Abandon(freed func()) {
	p.l.mu.Lock()
	defer p.l.mu.Unlock()
	p.l.abandoned = append(p.l.abandoned, func() { p.Release(); freed() })
}

func (l *fakeLedger) AppendCandidates(to []routing.Candidate, _ string) []routing.Candidate {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append(to, l.slots...)
}

func (l *fakeLedger) Acquire(team, instance string) (Permit, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.acquire != nil {
		return nil, l.acquire
	}
	if l.units[team] == 0 {
		return nil, ErrNoTeamUnit
	}
	for i := range l.slots {
		if s := &l.slots[i]; s.Instance == instance && s.Used < s.Held {
			s.Used++
			l.units[team]--
			return &fakePermit{l: l, team: team, instance: i}, nil
		}
	}
	return nil, ErrNoSlot
}

func (l *fakeLedger) HasTeamUnit(team string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.units[team] > 0
}

func (l *fakeLedger) SetQueued(team, _ string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queued[team] = n
}

func (l *fakeLedger) queuedNow() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.queued)
}

func (l *fakeLedger) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *fakeLedger) update(edit func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	edit()
	close(l.changed)
	l.changed = make(chan struct{})
}

type fakeFleet map[string]int

func (f fakeFleet) PeerRunning(team, _ string) int { return f[team] }
func (f fakeFleet) Leaving(instance string) bool   { return instance == "leaving" }

func newQueue(l *fakeLedger, f fakeFleet) *Queue {
	doc := &config.Document{
		Limits:   config.Limits{QueueLength: 3, QueueSeconds: 10},
		Services: []config.Service{{Name: "s", Pool: "p"}, {Name: "s2", Pool: "p2"}},
	}
	for i := range 26 {
		doc.Teams = append(doc.Teams, config.Team{Name: fmt.Sprintf("t%d", i), Share: 1 + i%3})
	}
	return New(Config{
		Document: func() *config.Document { return doc }, Ledger: l, Fleet: f, Health: routing.NewHealth(time.Now),
	})
}

// run runs test with virtual time while q.Run is running.
func run(t *testing.T, l *fakeLedger, f fakeFleet, test func(t *testing.T, q *Queue)) {
	synctest.Test(t, func(t *testing.T) {
		l.changed = make(chan struct{}) // a channel created outside the synctest bubble would block virtual time
		q := newQueue(l, f)
		ctx, cancel := context.WithCancel(t.Context())
		go q.Run(ctx)
		test(t, q)
		cancel()
		synctest.Wait()
	})
}

type result struct {
	name   string
	ticket *Ticket
	err    error
}

// admit starts Admit and waits until the request is queued or Admit has returned.
func admit(ctx context.Context, q *Queue, results chan<- result, name string, req Request) {
	req.Service = "s"
	go func() {
		ticket, err := q.Admit(ctx, req)
		results <- result{name, ticket, err}
	}()
	synctest.Wait()
}

// Guards against an unfair order. The order is urgency, then running/share, then arrival, and a blocked team must not
// hold up the others.
func TestNext(t *testing.T) {
	is := is.New(t)
	heads := []Head{
		{Team: "a", Urgent: true, Blocked: true},
		{Team: "b", Running: 2, Share: 4, Arrival: 3},
		{Team: "c", Running: 1, Share: 2, Arrival: 2},
		{Team: "d", Running: 1, Share: 1, Arrival: 1},
	}
	is.Equal(Next(heads), 2)
	heads[3].Urgent = true
	is.Equal(Next(heads), 3)
	is.Equal(Next(heads[:1]), -1)
	is.Equal(Next(nil), -1)
}

// Guards against a team at its upper limit that blocks other teams, and against an order that ignores the requests that
// peers run.
func TestAdmitOrder(t *testing.T) {
	l := newLedger(map[string]int{"t0": 0, "t1": 9, "t2": 9},
		routing.Candidate{Instance: "i", Held: 1}, routing.Candidate{Instance: "leaving", Held: 9})
	run(t, l, fakeFleet{"t1": 40}, func(t *testing.T, q *Queue) {
		is := is.New(t)
		results := make(chan result, 9)
		admit(t.Context(), q, results, "first", Request{Team: "t1"})
		admit(t.Context(), q, results, "limited", Request{Team: "t0", Urgent: true, Background: true})
		admit(t.Context(), q, results, "busy fleet", Request{Team: "t1"})
		admit(t.Context(), q, results, "idle fleet", Request{Team: "t2"})
		admit(t.Context(), q, results, "urgent", Request{Team: "t1", Urgent: true})
		is.Equal(l.queuedNow(), map[string]int{"t0": 1, "t1": 2, "t2": 1})
		for _, want := range []string{"first", "urgent", "idle fleet", "busy fleet"} {
			r := <-results
			is.NoErr(r.err)
			is.Equal(r.name, want)
			is.Equal(r.ticket.LeaseID, "lease")
			r.ticket.Done(routing.ObservedSuccess)
			r.ticket.Done(routing.ObservedSuccess) // must not release twice
			synctest.Wait()
		}
		l.update(func() { l.units["t0"] = 1 })
		r := <-results
		is.Equal(r.name, "limited")
		r.ticket.Done(routing.ObservedSuccess)
		is.Equal(l.queuedNow(), map[string]int{"t0": 0, "t1": 0, "t2": 0})
		is.Equal(l.slots[0].Used, 0)
	})
}

// Guards against a request that waits for the next periodic dispatch although a unit of its team was released in
// another pool.
func TestAdmitAfterUnitOfOtherPool(t *testing.T) {
	l := newLedger(map[string]int{"t0": 1}, routing.Candidate{Instance: "i", Held: 9})
	run(t, l, nil, func(t *testing.T, q *Queue) {
		is := is.New(t)
		other, err := q.Admit(t.Context(), Request{Team: "t0", Service: "s2"})
		is.NoErr(err)
		results := make(chan result, 1)
		admit(t.Context(), q, results, "a", Request{Team: "t0"})
		is.Equal(len(q.Usage()), 2)
		before := time.Now()
		other.Done(routing.ObservedSuccess)
		is.NoErr((<-results).err)
		is.Equal(time.Now(), before) // no virtual time has passed, so no periodic dispatch ran
	})
}

// Guards against unbounded queues, against waiters that outlast the queue timeout or their caller's context, and
// against a wrong error.
func TestAdmitEndsWaiting(t *testing.T) {
	l := newLedger(map[string]int{"t0": 9}, routing.Candidate{Instance: "i"})
	run(t, l, nil, func(t *testing.T, q *Queue) {
		is := is.New(t)
		results := make(chan result, 9)
		ctx, cancel := context.WithCancel(t.Context())
		admit(ctx, q, results, "cancelled", Request{Team: "t0"})
		admit(t.Context(), q, results, "a", Request{Team: "t0"})
		admit(t.Context(), q, results, "b", Request{Team: "t0"})
		admit(t.Context(), q, results, "full", Request{Team: "t0"})
		is.True(errors.Is((<-results).err, ErrQueueFull))
		cancel()
		is.True(errors.Is((<-results).err, context.Canceled))
		is.Equal(l.queuedNow()["t0"], 2)
		time.Sleep(10 * time.Second) // virtual
		is.True(errors.Is((<-results).err, ErrQueueTimeout))
		is.True(errors.Is((<-results).err, ErrQueueTimeout))
		is.Equal(l.queuedNow()["t0"], 0)
		l.update(func() { l.slots[0].Held, l.acquire = 1, ErrLeaseExpired })
		admit(t.Context(), q, results, "expired", Request{Team: "t0"})
		time.Sleep(10 * time.Second)
		is.True(errors.Is((<-results).err, ErrLeaseExpired))
		_, err := q.Admit(t.Context(), Request{Team: "t0", Service: "none"})
		is.True(errors.Is(err, ErrUnknownService))
	})
}

// Guards against capacity that leaks when a request is rejected after it was granted a slot.
func TestAdmitReleasesCapacity(t *testing.T) {
	l := newLedger(map[string]int{"t0": 9}, routing.Candidate{Instance: "i", Held: 1})
	run(t, l, nil, func(t *testing.T, q *Queue) {
		is := is.New(t)
		_, err := q.Admit(t.Context(), Request{Team: "t0", Service: "s", Recheck: func() error { return ErrKeyWithdrawn }})
		is.True(errors.Is(err, ErrKeyWithdrawn))
		l.lease = errors.New("connection refused")
		_, err = q.Admit(t.Context(), Request{Team: "t0", Service: "s"})
		is.True(errors.Is(err, ErrLease))
		is.Equal(l.released, 1+maxLeaseAttempts)
		is.Equal(l.units["t0"], 9)
		is.Equal(len(q.Usage()), 0)
	})
}

// BenchmarkAdmitWithWaiters measures one admission and one release while 5,000 requests of 26 teams wait.
func BenchmarkAdmitWithWaiters(b *testing.B) {
	units := map[string]int{}
	slots := make([]routing.Candidate, 12)
	for i := range slots {
		slots[i] = routing.Candidate{Instance: fmt.Sprintf("i%d", i), AvailabilityZone: fmt.Sprintf("z%d", i%3), Held: 4}
	}
	for i := range 26 {
		units[fmt.Sprintf("t%d", i)] = 1000
	}
	l := newLedger(units, slots...)
	q := newQueue(l, nil)
	p := q.pool("p")
	for i := range 5000 + b.N {
		if _, err := p.enqueue(Request{Team: fmt.Sprintf("t%d", i%26), Background: true}, 0, 1); err != nil {
			b.Fatal(err)
		}
	}
	p.dispatch()
	b.ResetTimer()
	for i := range b.N {
		team := fmt.Sprintf("t%d", i%26)
		(&fakePermit{l: l, team: team, instance: i % 12}).Release()
		p.finished(team)
	}
}
