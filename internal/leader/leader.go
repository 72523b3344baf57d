// Package leader elects one leader among the entry instances through the platform's store. Leadership is a chain of records
// in one partition, each appended under the condition that the partition ends at the offset its writer knows. The offset of
// the record that begins a term gives the term's fencing token.
package leader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/sleep"
	"pollenlead/internal/store"
)

const (
	// heartbeatInterval is the time between two heartbeats of the leader.
	heartbeatInterval = 400 * time.Millisecond
	// heartbeatRetry is the pause after a heartbeat that the store did not take.
	heartbeatRetry = 50 * time.Millisecond
	// claimAfter is the silence of the leader after which another claims. With the lease of tasks it has to leave time for the
	// new leader to renew the leases.
	claimAfter = 1500 * time.Millisecond
	// claimSpread delays the claims of different entry instances by different times, so that few of them race.
	claimSpread = 150 * time.Millisecond
	// processorDelay is the longest delay for a processor share below the largest one, so that a large entry instance leads.
	processorDelay = 500 * time.Millisecond
	// handOverPart is the part of the largest share below which a leader hands over, and handOverAfter how long it leads first.
	handOverPart  = 0.75
	handOverAfter = 2 * time.Second
	// readWait is how long a read waits for a record.
	readWait = 500 * time.Millisecond
	// callTimeout bounds a call to the store beyond its wait. A slow store answers after 240 ms and more.
	callTimeout = 1200 * time.Millisecond
	// leastTimeout and callTimeout bound the time that a heartbeat may take: a lost answer has to show soon enough for another heartbeat before the
	// others claim.
	leastTimeout = 450 * time.Millisecond
	// membersWait is how long a read waits while the members are not known yet, before which nobody claims.
	membersWait = 100 * time.Millisecond
	// retryDelay is the pause after a failed call.
	retryDelay = 100 * time.Millisecond
	recordKey  = "leader"
	partition  = 0
)

// record is one link of the chain.
type record struct {
	Holder string `json:"holder"`
	// Peer is where the other entry instances call the leader.
	Peer string `json:"peer"`
	// Token is the term's fencing token; 0 in the record that begins the term.
	Token int64 `json:"token,omitempty"`
	// Released means that the leader has given up its term.
	Released bool `json:"released,omitempty"`
}

// Leader is who leads, as far as this entry instance knows.
type Leader struct {
	Holder string
	Peer   string
	Token  int64
}

// Lead runs the leader's work for one term until ctx is done.
type Lead func(ctx context.Context, token int64)

// Election takes part in the election. Its methods may be called from any goroutine.
type Election struct {
	store     store.Store
	topic     string
	holder    string
	peer      string
	spread    time.Duration
	members   *members
	lead      Lead
	log       zerolog.Logger
	mu        sync.Mutex // guards what follows
	known     Leader
	released  bool
	changed   chan struct{} // closed and replaced when known changes
	resigning bool
	resigned  chan struct{}
	// confirmed is the boot clock at which the last record of ours that was accepted had been sent.
	confirmed time.Duration

	// Only the goroutine of Run uses these.
	end      int64                  // end of the partition, as far as read
	lastSeen time.Duration          // boot clock at the newest record's receipt
	read     bool                   // the last read succeeded
	pace     store.TimeoutEstimator // how fast the store takes heartbeats
}

// Options configures an election.
type Options struct {
	Store store.Store
	// Topic and MemberTopic keep the newest record of each key.
	Topic, MemberTopic string
	// Name is the entry instance's name.
	Name string
	// Holder is unique for each start of a process.
	Holder string
	// Peer is where other entry instances call this one.
	Peer string
	// Zone, Relay and CPUShare tell the others what this entry instance is (Member).
	Zone, Relay string
	CPUShare    float64
	Lead        Lead
	Log         zerolog.Logger
}

// New returns an election that has not begun.
func New(o Options) *Election {
	h := fnv.New32a()
	_, _ = h.Write([]byte(o.Holder))
	e := &Election{
		store: o.Store, topic: o.Topic, holder: o.Holder, peer: o.Peer, lead: o.Lead, log: o.Log,
		spread:  claimSpread * time.Duration(h.Sum32()%100) / 100,
		changed: make(chan struct{}), resigned: make(chan struct{}), end: -1,
		pace: store.TimeoutEstimator{Min: leastTimeout, Max: callTimeout},
	}
	e.members = &members{
		store: o.Store, topic: o.MemberTopic, self: Member{Name: o.Name, Zone: o.Zone, Relay: o.Relay, CPUShare: o.CPUShare}, log: o.Log,
		began: bootclock.Now(),
	}
	return e
}

// Members returns the entry instances that have told of themselves lately. While this one leads, the list is renewed every few seconds.
func (e *Election) Members() []Member { return e.members.snapshot() }

// part is this entry instance's processor share as a part of the largest one.
func (e *Election) part() float64 {
	largest := e.members.largest()
	if largest <= 0 {
		return 1
	}
	return min(e.members.self.CPUShare/largest, 1)
}

// delay is how much later than the first this entry instance claims.
func (e *Election) delay() time.Duration {
	return e.spread + time.Duration((1-e.part())*float64(processorDelay))
}

// Current returns the present leader and a channel that is closed when that changes.
func (e *Election) Current() (Leader, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known, e.changed
}

// ConfirmedAt returns the boot clock of a moment until which nobody else had begun a term, if this entry instance leads. Nobody else begins one
// earlier than claimAfter later.
func (e *Election) ConfirmedAt() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.confirmed
}

// Resign gives up leadership and takes part in no further election. It returns when a term under way has been given up.
func (e *Election) Resign(ctx context.Context) {
	e.mu.Lock()
	first := !e.resigning
	e.resigning = true
	leading := e.known.Holder == e.holder
	if first {
		close(e.changed)
		e.changed = make(chan struct{})
	}
	e.mu.Unlock()
	if first {
		go e.members.leave(ctx)
	}
	if !leading {
		return
	}
	select {
	case <-e.resigned:
	case <-ctx.Done():
	}
}

func (e *Election) isResigning() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resigning
}

// Run takes part in the election until ctx is done.
func (e *Election) Run(ctx context.Context) {
	go e.members.run(ctx)
	for ctx.Err() == nil {
		if err := e.follow(ctx); err != nil {
			e.read = false
			sleep.For(ctx, retryDelay)
			continue
		}
		if !e.mayClaim() {
			continue
		}
		token, err := e.claim(ctx)
		if err != nil {
			e.log.Info().Err(err).Str("event", "claim_failed").Int64("end", e.end).Msg("leadership claim was not accepted")
			continue
		}
		e.term(ctx, token)
	}
}

// vacant reports whether nobody leads for certain: no record, a released term, or a term of an earlier start of this process.
func (e *Election) vacant() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known.Holder == "" || e.released || e.known.Peer == e.peer && e.known.Holder != e.holder
}

// mayClaim reports whether the leader has been silent for long enough.
func (e *Election) mayClaim() bool {
	if !e.read || e.isResigning() || !e.members.known() {
		return false
	}
	none := e.vacant()
	silent := bootclock.Now() - e.lastSeen
	if none {
		return silent >= e.delay()
	}
	return silent >= claimAfter+e.delay()
}

// follow reads what is new in the chain.
func (e *Election) follow(ctx context.Context) error {
	if e.end < 0 {
		return e.catchUp(ctx)
	}
	page, err := e.readFrom(ctx, e.end, e.wait())
	var trimmed *store.TrimmedError
	if errors.As(err, &trimmed) {
		return e.catchUp(ctx)
	}
	if err != nil {
		return err
	}
	e.read = true
	for _, r := range page.Records {
		e.observe(r)
	}
	if page.End < e.end { // the store's history was replaced
		e.end = -1
	}
	return nil
}

// wait is how long the next read may wait: until a claim would be possible.
func (e *Election) wait() time.Duration {
	if !e.members.known() {
		return membersWait
	}
	none := e.vacant()
	limit := claimAfter + e.delay()
	if none {
		limit = e.delay()
	}
	left := limit - (bootclock.Now() - e.lastSeen)
	return max(min(left, readWait), time.Millisecond)
}

func (e *Election) readFrom(ctx context.Context, from int64, wait time.Duration) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	return e.store.Read(ctx, e.topic, partition, from, wait)
}

// catchUp reads the newest record without its history.
func (e *Election) catchUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := e.store.ReadNewest(ctx, e.topic, partition, "")
	if err != nil {
		return err
	}
	e.read = true
	e.lastSeen = bootclock.Now()
	for _, r := range page.Records {
		if r.Key == recordKey {
			e.observe(r)
		}
	}
	e.end = page.End
	return nil
}

// observe applies one record of the chain.
func (e *Election) observe(r store.Record) {
	e.end = max(e.end, r.Offset+1)
	if r.Key != recordKey {
		return
	}
	var w record
	if err := json.Unmarshal(r.Value, &w); err != nil {
		e.log.Warn().Err(err).Str("event", "bad_leader_record").Int64("offset", r.Offset).Msg("leadership record cannot be read")
		return
	}
	e.lastSeen = bootclock.Now()
	if w.Token == 0 {
		w.Token = r.Offset + 1
	}
	e.publish(Leader{Holder: w.Holder, Peer: w.Peer, Token: w.Token}, w.Released)
}

func (e *Election) publish(l Leader, released bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known == l && e.released == released {
		return
	}
	if e.known.Token != l.Token || e.released != released {
		e.log.Info().Str("event", "leader").Str("holder", l.Holder).Int64("token", l.Token).Bool("released", released).Msg("leader changed")
	}
	e.known, e.released = l, released
	close(e.changed)
	e.changed = make(chan struct{})
}

// claim appends the record that begins a term.
func (e *Election) claim(ctx context.Context) (int64, error) {
	offset, err := e.append(ctx, record{Holder: e.holder, Peer: e.peer}, callTimeout)
	if err == nil {
		return offset + 1, nil
	}
	if !errors.Is(err, store.ErrUnknown) {
		return 0, err
	}
	// The claim may have been accepted: the chain tells.
	page, readErr := e.readFrom(ctx, e.end, time.Millisecond)
	if readErr != nil {
		return 0, errors.Join(err, readErr)
	}
	for _, r := range page.Records {
		e.observe(r)
	}
	if l, _ := e.Current(); l.Holder == e.holder && len(page.Records) > 0 {
		return l.Token, nil
	}
	return 0, err
}

// append adds a link at the known end.
func (e *Election) append(ctx context.Context, r record, timeout time.Duration) (int64, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return 0, fmt.Errorf("leader: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	at, sent := e.end, bootclock.Now()
	offset, err := e.store.Append(ctx, store.Append{
		Topic: e.topic, Partition: partition, At: &at, Records: []store.Record{{Key: recordKey, Value: value}},
	})
	if err != nil {
		return 0, err
	}
	e.observe(store.Record{Offset: offset, Key: recordKey, Value: value})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.confirmed = sent
	return offset, nil
}
