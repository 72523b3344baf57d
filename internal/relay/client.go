package relay

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/sleep"
	"pollenlead/internal/worker"
)

const (
	// refreshInterval is the time between two looks at the members.
	refreshInterval = time.Second
	// avoidFailed is how long a delegate that was given up is not chosen again.
	avoidFailed = 5 * time.Second
	// dialTries is how many candidates are tried before calls go to the workers without a delegate, for directTime.
	dialTries  = 3
	directTime = time.Second
	// defaultTimeout bounds calls without a deadline of their own.
	defaultTimeout = time.Second
)

// Options configures a client.
type Options struct {
	// Direct calls workers without a delegate.
	Direct worker.Client
	// Members returns the entry instances that are there.
	Members func() []Member
	// Self is the address where this entry instance itself takes calls for workers.
	Self string
	// Token is the fencing token of the term.
	Token int64
	Log   zerolog.Logger
}

// Client calls workers through delegates on a large deployment, and directly on a small one or where no delegate answers. It implements
// worker.Client for one term of a leader.
type Client struct {
	Options
	ctx context.Context

	mu      sync.Mutex // guards what follows
	members []Member
	places  map[string][]*delegatePlace // by availability zone
	failed  map[string]time.Duration    // by address: boot clock at which a delegate was given up
}

// delegatePlace is the place of one delegate. Its workers stay with it when another entry instance takes the place.
type delegatePlace struct {
	zone    string
	mu      sync.Mutex // guards what follows; not held while connecting
	session *session
	dialing chan struct{} // closed when the connecting under way has ended; nil if none is
	// directUntil is the boot clock until which calls go to the workers themselves, as no delegate could be reached.
	directUntil time.Duration
}

// NewClient returns a client that works until ctx is done.
func NewClient(ctx context.Context, o Options) *Client {
	c := &Client{Options: o, ctx: ctx, places: map[string][]*delegatePlace{}, failed: map[string]time.Duration{}}
	c.refresh()
	go c.run()
	return c
}

func (c *Client) run() {
	for c.ctx.Err() == nil {
		sleep.For(c.ctx, refreshInterval)
		c.refresh()
	}
}

// refresh takes up the present members. Places are added as the deployment grows and stay when it shrinks.
func (c *Client) refresh() {
	members := c.Members()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = members
	for zone, n := range delegatesPerZone(members) {
		for len(c.places[zone]) < n {
			c.places[zone] = append(c.places[zone], &delegatePlace{zone: zone})
		}
	}
}

// Start implements worker.Client.
func (c *Client) Start(ctx context.Context, to worker.Address, s worker.Start) (int64, error) {
	session := c.sessionFor(ctx, to)
	if session == nil {
		return c.Direct.Start(ctx, to, s)
	}
	spec := s.Spec
	a := c.call(ctx, session, to, call{Start: &startCall{
		Task: s.Task, Run: s.Run, Spec: &spec, DeadlineMillis: s.DeadlineMillis, Checkpoint: s.Checkpoint, Ticket: s.Ticket,
	}})
	return a.clockMillis, a.err
}

// Stop implements worker.Client.
func (c *Client) Stop(ctx context.Context, to worker.Address, task string, run int, token int64) error {
	session := c.sessionFor(ctx, to)
	if session == nil {
		return c.Direct.Stop(ctx, to, task, run, token)
	}
	return c.call(ctx, session, to, call{Stop: &runCall{Task: task, Run: run}}).err
}

// SetPace implements worker.Client.
func (c *Client) SetPace(ctx context.Context, to worker.Address, task string, run, percent int, token int64) error {
	session := c.sessionFor(ctx, to)
	if session == nil {
		return c.Direct.SetPace(ctx, to, task, run, percent, token)
	}
	return c.call(ctx, session, to, call{Pace: &runCall{Task: task, Run: run, Percent: percent}}).err
}

// Hold implements worker.Client.
func (c *Client) Hold(ctx context.Context, to worker.Address, h worker.Hold) (worker.Report, error) {
	session := c.sessionFor(ctx, to)
	if session == nil {
		return c.Direct.Hold(ctx, to, h)
	}
	a := c.call(ctx, session, to, call{Hold: &holdCall{
		Acknowledged: h.Acknowledged, Seen: h.Seen, Incarnation: h.Incarnation, DeadlineMillis: h.DeadlineMillis,
		WaitMillis: millis(h.Wait), Detail: h.Detail,
	}})
	return a.report, a.err
}

// call passes on a call. The time that ctx leaves is the delegate's for the call; the leader itself waits for a little longer.
func (c *Client) call(ctx context.Context, s *session, to worker.Address, x call) answered {
	timeout := defaultTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	x.Worker, x.Address = to.ID, to.Address
	return s.call(c.ctx, x, max(timeout, time.Millisecond))
}

// sessionFor returns the session of the delegate of a worker, or nil if the worker has to be called directly.
func (c *Client) sessionFor(ctx context.Context, to worker.Address) *session {
	c.mu.Lock()
	places := c.places[to.Zone]
	c.mu.Unlock()
	if len(places) == 0 {
		return nil
	}
	return c.sessionAt(ctx, places[placeOf(to.ID, len(places))])
}

// sessionAt returns the session of a place and connects to a delegate if there is none.
func (c *Client) sessionAt(ctx context.Context, p *delegatePlace) *session {
	for ctx.Err() == nil {
		p.mu.Lock()
		if s := p.session; s != nil && s.usable() {
			p.mu.Unlock()
			return s
		}
		if bootclock.Now() < p.directUntil {
			p.mu.Unlock()
			return nil
		}
		if p.dialing == nil {
			p.dialing = make(chan struct{})
			go c.connect(p, p.session)
		}
		dialing := p.dialing
		p.mu.Unlock()
		select {
		case <-dialing:
		case <-ctx.Done():
		}
	}
	return nil
}

// connect finds a delegate for a place whose last session has ended.
func (c *Client) connect(p *delegatePlace, old *session) {
	if old != nil {
		c.avoid(old.member)
	}
	var s *session
	for range dialTries {
		m, ok := c.claim(p.zone)
		if !ok {
			break
		}
		var err error
		if s, err = openSession(c.ctx, m, c.Token, c.mostAreFast, c.Log); err == nil {
			break
		}
		c.Log.Info().Str("event", "delegate_unreachable").Str("delegate", m.Name).Err(err).Msg("an entry instance cannot be a delegate now")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.session = s
	if s == nil {
		p.directUntil = bootclock.Now() + directTime
	} else {
		c.release(s.member)
		c.Log.Info().Str("event", "delegate").Str("delegate", s.member.Name).Str("zone", p.zone).Msg("a delegate passes on the calls for its workers")
	}
	close(p.dialing)
	p.dialing = nil
}

// avoid keeps a member from being chosen for a while.
func (c *Client) avoid(m Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed[m.Address] = bootclock.Now()
}

// release lets a member that was claimed be chosen again once its session has ended.
func (c *Client) release(m Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.failed, m.Address)
}

// claim returns the best candidate for a place that has no place yet and has not failed lately. Until it is released, no other place takes it.
func (c *Client) claim(zone string) (Member, bool) {
	busy := c.busy()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := bootclock.Now()
	all := candidates(c.members, zone, c.Self, func(m Member) bool {
		at, failed := c.failed[m.Address]
		return busy[m.Address] || failed && now-at < avoidFailed
	})
	if len(all) == 0 {
		return Member{}, false
	}
	c.failed[all[0].Address] = now
	return all[0], true
}

// busy returns the addresses of the present delegates.
func (c *Client) busy() map[string]bool {
	busy := map[string]bool{}
	for _, s := range c.sessions() {
		busy[s.member.Address] = true
	}
	return busy
}

// sessions returns the present session of each place that has one.
func (c *Client) sessions() []*session {
	c.mu.Lock()
	var all []*delegatePlace
	for _, places := range c.places {
		all = append(all, places...)
	}
	c.mu.Unlock()
	var sessions []*session
	for _, p := range all {
		p.mu.Lock()
		if p.session != nil {
			sessions = append(sessions, p.session)
		}
		p.mu.Unlock()
	}
	return sessions
}

// mostAreFast reports whether at most half of the delegates are slow. If more are, it is this entry instance or its link that is slow, and new
// connections would make that worse.
func (c *Client) mostAreFast() bool {
	slow, all := 0, c.sessions()
	for _, s := range all {
		if s.slow() {
			slow++
		}
	}
	return len(all) == 1 || 2*slow <= len(all)
}
