package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/sleep"
	"pollenlead/internal/worker"
)

const (
	// refreshInterval is the time between two reads of the member list.
	refreshInterval = time.Second
	// failedDelegateDelay is the time for which a member is not chosen again after its session as a delegate failed.
	failedDelegateDelay = 5 * time.Second
	// maxDialAttempts is the number of candidates that are tried before calls bypass delegates for directInterval.
	maxDialAttempts = 3
	directInterval  = time.Second
	// defaultTimeout bounds calls whose context has no deadline.
	defaultTimeout = time.Second
)

// Options configures a client.
type Options struct {
	// Direct calls workers without a delegate.
	Direct worker.Client
	// Members returns the present entry instances.
	Members func() []Member
	// Self is the address where this entry instance accepts calls for workers.
	Self string
	// Token is the fencing token of the term.
	Token int64
	Log   zerolog.Logger
}

// Client calls workers through delegates in a large deployment, and directly in a small one or while no delegate is
// reachable. It implements worker.Client for one term of a leader.
type Client struct {
	Options
	ctx context.Context

	mu      sync.Mutex // guards what follows
	members []Member
	shards  map[string][]*delegateShard // by availability zone
	failed  map[string]time.Duration    // by address: boot clock at which a delegate failed or was reserved
}

// delegateShard is the share of a zone's workers that one delegate serves. The workers stay in the shard when another
// entry instance becomes its delegate.
type delegateShard struct {
	zone    string
	mu      sync.Mutex // guards what follows; not held while connecting
	session *session
	dialing chan struct{} // closed when the current connection attempt ends; nil if there is none
	// directUntil is the boot clock until which calls bypass delegates, because none could be reached.
	directUntil time.Duration
}

// NewClient returns a client that runs until ctx is done.
func NewClient(ctx context.Context, o Options) *Client {
	c := &Client{Options: o, ctx: ctx, shards: map[string][]*delegateShard{}, failed: map[string]time.Duration{}}
	c.refresh()
	go c.refreshLoop()
	return c
}

func (c *Client) refreshLoop() {
	for c.ctx.Err() == nil {
		sleep.For(c.ctx, refreshInterval)
		c.refresh()
	}
}

// refresh reads the present members. Shards are added as the deployment grows and stay when it shrinks.
func (c *Client) refresh() {
	members := c.Members()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = members
	for zone, n := range delegatesPerZone(members) {
		for len(c.shards[zone]) < n {
			c.shards[zone] = append(c.shards[zone], &delegateShard{zone: zone})
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

// call sends a call through a session. The delegate may use all the time that ctx leaves for the call; the leader waits
// up to maxRelayDelay longer, unless ctx is cancelled.
func (c *Client) call(ctx context.Context, s *session, to worker.Address, x call) callResult {
	// The delegate counts the time left from here, so a call that was prepared before a pause must not get that far.
	if err := cmp.Or(ctx.Err(), worker.MaySend(ctx)); err != nil {
		return callResult{err: fmt.Errorf("%w: %w", worker.ErrNotSent, err)}
	}
	timeout := defaultTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	x.Worker, x.Address, x.Incarnation = to.ID, to.Address, to.Incarnation
	wait, cancel := context.WithCancel(c.ctx)
	defer cancel()
	stopWatching := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})
	defer stopWatching()
	return s.call(wait, x, max(timeout, time.Millisecond))
}

// sessionFor returns the session with the delegate of a worker, or nil if the worker has to be called directly.
func (c *Client) sessionFor(ctx context.Context, to worker.Address) *session {
	c.mu.Lock()
	shards := c.shards[to.Zone]
	c.mu.Unlock()
	if len(shards) == 0 {
		return nil
	}
	return c.shardSession(ctx, shards[shardOf(to.ID, len(shards))])
}

// shardSession returns the session of a shard and connects to a delegate if there is none.
func (c *Client) shardSession(ctx context.Context, shard *delegateShard) *session {
	for ctx.Err() == nil {
		shard.mu.Lock()
		if s := shard.session; s != nil && s.usable() {
			shard.mu.Unlock()
			return s
		}
		if bootclock.Now() < shard.directUntil {
			shard.mu.Unlock()
			return nil
		}
		if shard.dialing == nil {
			shard.dialing = make(chan struct{})
			go c.connect(shard, shard.session)
		}
		dialing := shard.dialing
		shard.mu.Unlock()
		select {
		case <-dialing:
		case <-ctx.Done():
		}
	}
	return nil
}

// connect finds a delegate for a shard whose last session has ended.
func (c *Client) connect(shard *delegateShard, old *session) {
	if old != nil {
		c.markFailed(old.member)
	}
	var s *session
	for range maxDialAttempts {
		m, ok := c.reserve(shard.zone)
		if !ok {
			break
		}
		var err error
		if s, err = openSession(c.ctx, m, c.Token, c.mostDelegatesResponsive, c.Log); err == nil {
			break
		}
		c.Log.Info().Str("event", "delegate_unreachable").Str("delegate", m.Name).Err(err).
			Msg("could not open a session with the delegate")
	}
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.session = s
	if s == nil {
		shard.directUntil = bootclock.Now() + directInterval
	} else {
		c.release(s.member)
		c.Log.Info().Str("event", "delegate").Str("delegate", s.member.Name).Str("zone", shard.zone).
			Msg("opened a session with a delegate")
	}
	close(shard.dialing)
	shard.dialing = nil
}

// markFailed excludes a member from being chosen for failedDelegateDelay.
func (c *Client) markFailed(m Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed[m.Address] = bootclock.Now()
}

// release ends the reservation of a member, so that it may be chosen again once its session has ended.
func (c *Client) release(m Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.failed, m.Address)
}

// reserve returns the best candidate for a shard that serves no other shard and has not failed within
// failedDelegateDelay. No other shard gets the candidate until it is released or failedDelegateDelay has passed.
func (c *Client) reserve(zone string) (Member, bool) {
	inUse := c.delegateAddresses()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := bootclock.Now()
	all := candidates(c.members, zone, c.Self, func(m Member) bool {
		at, failed := c.failed[m.Address]
		return inUse[m.Address] || failed && now-at < failedDelegateDelay
	})
	if len(all) == 0 {
		return Member{}, false
	}
	c.failed[all[0].Address] = now
	return all[0], true
}

// delegateAddresses returns the addresses of the present delegates.
func (c *Client) delegateAddresses() map[string]bool {
	addresses := map[string]bool{}
	for _, s := range c.sessions() {
		addresses[s.member.Address] = true
	}
	return addresses
}

// sessions returns the present session of each shard that has one.
func (c *Client) sessions() []*session {
	c.mu.Lock()
	var all []*delegateShard
	for _, shards := range c.shards {
		all = append(all, shards...)
	}
	c.mu.Unlock()
	var sessions []*session
	for _, shard := range all {
		shard.mu.Lock()
		if shard.session != nil {
			sessions = append(sessions, shard.session)
		}
		shard.mu.Unlock()
	}
	return sessions
}

// mostDelegatesResponsive reports whether at most half of the delegates are slow, or there is only one. If more than
// half are slow, the cause is this entry instance or its link, and new connections would add to the load.
func (c *Client) mostDelegatesResponsive() bool {
	slow, all := 0, c.sessions()
	for _, s := range all {
		if s.isSlow() {
			slow++
		}
	}
	return len(all) == 1 || 2*slow <= len(all)
}
