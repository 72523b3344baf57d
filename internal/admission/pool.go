package admission

import (
	"container/list"
	"errors"
	"sync"

	"pollenlead/internal/routing"
)

// grant is the capacity that a waiting request got.
type grant struct {
	permit    Permit
	candidate routing.Candidate
}

type waiter struct {
	req     Request
	arrival uint64
	// granted has room for one grant, so that dispatch never blocks.
	granted chan grant
	element *list.Element
	list    *list.List
}

// teamQueue holds the waiting and running requests of one team in one pool.
type teamQueue struct {
	share   int
	running int
	urgent  list.List
	normal  list.List
}

func (t *teamQueue) queued() int { return t.urgent.Len() + t.normal.Len() }

// poolQueue is the queue of one pool. Lists per team make each choice cost the number of teams, not of waiting requests.
type poolQueue struct {
	q    *Queue
	c    Config
	name string

	mu       sync.Mutex
	teams    map[string]*teamQueue
	arrivals uint64
	// length is the number of waiting synchronous requests; waiting also counts jobs.
	length  int
	waiting int
	turn    uint64
	// lastRefusal is the ledger's error that ended the last dispatch, to explain a timeout.
	lastRefusal error
	// buffer, heads and owners are reused between dispatches. owners has the waiter of each head.
	buffer []routing.Candidate
	heads  []Head
	owners []*waiter
}

func (p *poolQueue) team(name string) *teamQueue {
	t, ok := p.teams[name]
	if !ok {
		t = &teamQueue{share: 1}
		p.teams[name] = t
	}
	return t
}

// enqueue adds a waiter and admits what can be admitted, under one lock because all requests of the pool take it.
func (p *poolQueue) enqueue(req Request, length, share int) (*waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !req.Background {
		if p.length >= length {
			return nil, ErrQueueFull
		}
		p.length++
	}
	t := p.team(req.Team)
	t.share = share
	p.arrivals++
	p.waiting++
	p.q.waiting.Add(1)
	w := &waiter{req: req, arrival: p.arrivals, granted: make(chan grant, 1), list: &t.normal}
	if req.Urgent {
		w.list = &t.urgent
	}
	w.element = w.list.PushBack(w)
	p.c.Ledger.SetQueued(req.Team, p.name, t.queued())
	p.dispatchLocked()
	return w, nil
}

// leave removes a waiter and reports whether it was still waiting.
func (p *poolQueue) leave(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.element == nil {
		return false
	}
	p.remove(w)
	return true
}

// remove is called with the lock held.
func (p *poolQueue) remove(w *waiter) {
	w.list.Remove(w.element)
	w.element = nil
	p.waiting--
	p.q.waiting.Add(-1)
	if !w.req.Background {
		p.length--
	}
	p.c.Ledger.SetQueued(w.req.Team, p.name, p.teams[w.req.Team].queued())
}

func (p *poolQueue) timeoutError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if errors.Is(p.lastRefusal, ErrLeaseExpired) {
		return ErrLeaseExpired
	}
	return ErrQueueTimeout
}

// finished records the end of a running request and admits the next one. The team's unit may be of use in other pools too.
func (p *poolQueue) finished(team string) {
	p.mu.Lock()
	p.team(team).running--
	p.dispatchLocked()
	p.mu.Unlock()
	if p.q.waiting.Load() == 0 {
		return
	}
	select {
	case p.q.kick <- struct{}{}:
	default:
	}
}

func (p *poolQueue) appendUsage(usage []Usage) []Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, t := range p.teams {
		if t.running > 0 || t.queued() > 0 {
			usage = append(usage, Usage{Team: name, Pool: p.name, Running: t.running, Queued: t.queued()})
		}
	}
	return usage
}

// dispatch admits requests until no free capacity suits any of them.
func (p *poolQueue) dispatch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatchLocked()
}

// dispatchLocked is called with the lock held.
func (p *poolQueue) dispatchLocked() {
	if p.waiting == 0 {
		return
	}
	candidates := p.candidates()
	ejected := p.c.Health.Ejected()
	p.fillHeads()
	for {
		i := Next(p.heads)
		if i < 0 {
			return
		}
		if !p.c.Ledger.HasTeamUnit(p.heads[i].Team) {
			p.block(p.heads[i].Team)
			continue
		}
		w := p.owners[i]
		c, ok := routing.Choose(candidates, ejected, w.req.Avoid, p.turn)
		if !ok {
			if len(w.req.Avoid) == 0 {
				return // no instance has a free slot
			}
			p.heads[i].Blocked = true
			continue
		}
		p.turn++
		permit, err := p.c.Ledger.Acquire(w.req.Team, c.Instance)
		switch {
		case err == nil:
			p.lastRefusal = nil
			use(candidates, c.Instance)
			p.grant(i, grant{permit: permit, candidate: c})
		case errors.Is(err, ErrNoTeamUnit):
			p.block(w.req.Team)
		case errors.Is(err, ErrNoSlot):
			fill(candidates, c.Instance)
		default:
			p.lastRefusal = err
			return
		}
	}
}

// candidates returns the instances of the pool that are not leaving. The slice is valid until the next call.
func (p *poolQueue) candidates() []routing.Candidate {
	p.buffer = p.c.Ledger.AppendCandidates(p.buffer[:0], p.name)
	all := p.buffer
	staying := all[:0]
	for _, c := range all {
		if !p.c.Fleet.Leaving(c.Instance) {
			staying = append(staying, c)
		}
	}
	return staying
}

// use counts a slot that this dispatch took, so that the ledger is asked for candidates only once per dispatch.
func use(candidates []routing.Candidate, instance string) {
	for i := range candidates {
		if candidates[i].Instance == instance {
			candidates[i].Used++
		}
	}
}

// fill marks an instance that turned out to be full.
func fill(candidates []routing.Candidate, instance string) {
	for i := range candidates {
		if candidates[i].Instance == instance {
			candidates[i].Used = candidates[i].Held
		}
	}
}

// grant hands the capacity to the waiter of head i and puts the next waiter of its list in its place.
func (p *poolQueue) grant(i int, g grant) {
	w := p.owners[i]
	p.remove(w)
	t := p.teams[w.req.Team]
	t.running++
	w.granted <- g
	for k := range p.heads {
		if p.heads[k].Team == w.req.Team {
			p.heads[k].Running++
		}
	}
	front := w.list.Front()
	if front == nil {
		p.heads[i].Blocked = true
		return
	}
	p.owners[i] = front.Value.(*waiter)
	p.heads[i].Arrival = p.owners[i].arrival
}

func (p *poolQueue) block(team string) {
	for k := range p.heads {
		if p.heads[k].Team == team {
			p.heads[k].Blocked = true
		}
	}
}

// fillHeads collects the first waiter of each list. The order of the map does not matter, because arrivals are unique.
func (p *poolQueue) fillHeads() {
	p.heads, p.owners = p.heads[:0], p.owners[:0]
	for name, t := range p.teams {
		if t.queued() == 0 {
			if t.running == 0 {
				delete(p.teams, name)
			}
			continue
		}
		running := t.running + p.c.Fleet.PeerRunning(name, p.name)
		for _, l := range []*list.List{&t.urgent, &t.normal} {
			front := l.Front()
			if front == nil {
				continue
			}
			w := front.Value.(*waiter)
			p.heads = append(p.heads, Head{
				Team: name, Urgent: w.req.Urgent, Arrival: w.arrival, Running: running, Share: t.share,
			})
			p.owners = append(p.owners, w)
		}
	}
}
