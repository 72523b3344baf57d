package admission

import (
	"container/list"
	"errors"
	"sync"

	"pollenlead/internal/routing"
)

// grant is the capacity that was assigned to a waiting request.
type grant struct {
	permit    Permit
	candidate routing.Candidate
}

// waiter is a request in the queue of a pool. Its element is nil once it has left the queue.
type waiter struct {
	req     Request
	arrival uint64
	// granted is buffered for one grant, so that dispatch never blocks.
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

// poolQueue is the queue of one pool. It keeps lists per team, so that the cost of a choice depends on the number of
// teams and not on the number of waiting requests.
type poolQueue struct {
	queue *Queue
	cfg   Config
	name  string

	mu       sync.Mutex
	teams    map[string]*teamQueue
	arrivals uint64
	// length is the number of waiting synchronous requests; waiting includes jobs.
	length        int
	waiting       int
	choiceCounter uint64
	// lastAcquireErr is the ledger's error that ended the last dispatch. It determines the error of a queue timeout.
	lastAcquireErr error
	// candidateBuffer, heads and headWaiters are reused between dispatches. headWaiters holds the waiter of each head.
	candidateBuffer []routing.Candidate
	heads           []Head
	headWaiters     []*waiter
}

// team returns the queue of a team and creates it if it does not exist.
func (p *poolQueue) team(name string) *teamQueue {
	t, ok := p.teams[name]
	if !ok {
		t = &teamQueue{share: 1}
		p.teams[name] = t
	}
	return t
}

// enqueue adds a waiter and admits as many requests as possible. Both happen under one acquisition of the lock, because
// all requests of the pool contend for it.
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
	p.queue.waiting.Add(1)
	w := &waiter{req: req, arrival: p.arrivals, granted: make(chan grant, 1), list: &t.normal}
	if req.Urgent {
		w.list = &t.urgent
	}
	w.element = w.list.PushBack(w)
	p.cfg.Ledger.SetQueued(req.Team, p.name, t.queued())
	p.dispatchLocked()
	return w, nil
}

// stopWaiting removes a waiter and reports whether it was still waiting.
func (p *poolQueue) stopWaiting(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.element == nil {
		return false
	}
	p.removeLocked(w)
	return true
}

// removeLocked removes a waiter from its list. The caller holds mu.
func (p *poolQueue) removeLocked(w *waiter) {
	w.list.Remove(w.element)
	w.element = nil
	p.waiting--
	p.queue.waiting.Add(-1)
	if !w.req.Background {
		p.length--
	}
	p.cfg.Ledger.SetQueued(w.req.Team, p.name, p.teams[w.req.Team].queued())
}

// timeoutError returns ErrLeaseExpired if the last dispatch failed because of it, and ErrQueueTimeout otherwise.
func (p *poolQueue) timeoutError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if errors.Is(p.lastAcquireErr, ErrLeaseExpired) {
		return ErrLeaseExpired
	}
	return ErrQueueTimeout
}

// finished records the end of a running request and admits the next one. It also wakes Run, because requests in other
// pools may be waiting for the team's unit.
func (p *poolQueue) finished(team string) {
	p.mu.Lock()
	p.team(team).running--
	p.dispatchLocked()
	p.mu.Unlock()
	if p.queue.waiting.Load() == 0 {
		return
	}
	select {
	case p.queue.wakeup <- struct{}{}:
	default:
	}
}

// appendUsage appends the usage of each team that has running or waiting requests in the pool.
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

// dispatch admits requests until the free capacity serves none of those that wait.
func (p *poolQueue) dispatch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatchLocked()
}

// dispatchLocked implements dispatch. The caller holds mu.
func (p *poolQueue) dispatchLocked() {
	if p.waiting == 0 {
		return
	}
	candidates := p.candidates()
	ejected := p.cfg.Health.Ejected()
	p.collectHeads()
	for {
		i := Next(p.heads)
		if i < 0 {
			return
		}
		if !p.cfg.Ledger.HasTeamUnit(p.heads[i].Team) {
			p.blockTeam(p.heads[i].Team)
			continue
		}
		w := p.headWaiters[i]
		c, ok := routing.Choose(candidates, ejected, w.req.Avoid, p.choiceCounter)
		if !ok {
			if len(w.req.Avoid) == 0 {
				return // no instance has a free slot
			}
			p.heads[i].Blocked = true
			continue
		}
		p.choiceCounter++
		permit, err := p.cfg.Ledger.Acquire(w.req.Team, c.Instance)
		switch {
		case err == nil:
			p.lastAcquireErr = nil
			countUsed(candidates, c.Instance)
			p.grant(i, grant{permit: permit, candidate: c})
		case errors.Is(err, ErrNoTeamUnit):
			p.blockTeam(w.req.Team)
		case errors.Is(err, ErrNoSlot):
			markFull(candidates, c.Instance)
		default:
			p.lastAcquireErr = err
			return
		}
	}
}

// candidates returns the instances of the pool that are not leaving. The slice is reused by the next call.
func (p *poolQueue) candidates() []routing.Candidate {
	p.candidateBuffer = p.cfg.Ledger.AppendCandidates(p.candidateBuffer[:0], p.name)
	all := p.candidateBuffer
	staying := all[:0]
	for _, c := range all {
		if !p.cfg.Fleet.Leaving(c.Instance) {
			staying = append(staying, c)
		}
	}
	return staying
}

// countUsed counts a slot that this dispatch acquired, so that the candidates are read from the ledger only once per
// dispatch.
func countUsed(candidates []routing.Candidate, instance string) {
	for i := range candidates {
		if candidates[i].Instance == instance {
			candidates[i].Used++
		}
	}
}

// markFull marks an instance as full after the ledger reported that it has no free slot.
func markFull(candidates []routing.Candidate, instance string) {
	for i := range candidates {
		if candidates[i].Instance == instance {
			candidates[i].Used = candidates[i].Held
		}
	}
}

// grant assigns the capacity to the waiter of head i and replaces the head by the next waiter of the same list.
func (p *poolQueue) grant(i int, g grant) {
	w := p.headWaiters[i]
	p.removeLocked(w)
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
	p.headWaiters[i] = front.Value.(*waiter)
	p.heads[i].Arrival = p.headWaiters[i].arrival
}

// blockTeam blocks all heads of a team.
func (p *poolQueue) blockTeam(team string) {
	for k := range p.heads {
		if p.heads[k].Team == team {
			p.heads[k].Blocked = true
		}
	}
}

// collectHeads collects the first waiter of each list and removes unused team queues. The iteration order of the map
// has no effect on the choice, because arrival numbers are unique.
func (p *poolQueue) collectHeads() {
	p.heads, p.headWaiters = p.heads[:0], p.headWaiters[:0]
	for name, t := range p.teams {
		if t.queued() == 0 {
			if t.running == 0 {
				delete(p.teams, name)
			}
			continue
		}
		running := t.running + p.cfg.Fleet.PeerRunning(name, p.name)
		for _, l := range []*list.List{&t.urgent, &t.normal} {
			front := l.Front()
			if front == nil {
				continue
			}
			w := front.Value.(*waiter)
			p.heads = append(p.heads, Head{
				Team: name, Urgent: w.req.Urgent, Arrival: w.arrival, Running: running, Share: t.share,
			})
			p.headWaiters = append(p.headWaiters, w)
		}
	}
}
