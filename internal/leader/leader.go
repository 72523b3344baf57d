// Package leader elects one leader among the entry instances through the platform's store. Leadership is a chain of
// records in one partition. Each record is appended on condition that the partition ends at the offset that its
// writer last read. The offset of the record that begins a term determines the term's fencing token.
package leader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/sleep"
	"pollenlead/internal/store"
)

const (
	// heartbeatInterval is the interval between heartbeats of the leader.
	heartbeatInterval = 400 * time.Millisecond
	// heartbeatRetryDelay is the delay after a heartbeat that was not stored.
	heartbeatRetryDelay = 50 * time.Millisecond
	// claimTimeout is the time without a record of the leader after which another entry instance claims. Together
	// with the lease of tasks it has to leave the new leader enough time to renew the leases.
	claimTimeout = 1500 * time.Millisecond
	// maxClaimJitter bounds the jitter that is added to claims, so that few entry instances claim at the same time.
	maxClaimJitter = 150 * time.Millisecond
	// tooSmallDelay is added to the claims of an entry instance that is too small to lead. Any other one claims before.
	tooSmallDelay = 1500 * time.Millisecond
	// maxShareDelay is the largest delay of claims for a CPU share below the largest one, so that a large entry
	// instance becomes leader.
	maxShareDelay = 500 * time.Millisecond
	// handOverFraction is the fraction of the largest CPU share of a running entry instance below which a leader hands
	// over. minTermBeforeHandOver is how long it leads first.
	handOverFraction      = 0.75
	minTermBeforeHandOver = 2 * time.Second
	// readWait is the maximum time for which a read waits for a record.
	readWait = 500 * time.Millisecond
	// callTimeout bounds a call to the store in addition to its wait. A slow store takes 240 ms or more to answer.
	callTimeout = 1200 * time.Millisecond
	// minHeartbeatTimeout and callTimeout bound the timeout of a heartbeat: a lost answer has to be detected early
	// enough to send another heartbeat before the others claim.
	minHeartbeatTimeout = 450 * time.Millisecond
	// membersPollInterval is the maximum wait of a read while the members are unknown. No entry instance claims until
	// they are known.
	membersPollInterval = 100 * time.Millisecond
	// retryDelay is the delay after a failed call.
	retryDelay = 100 * time.Millisecond
	recordKey  = "leader"
	partition  = 0
)

// record is one record of the chain.
type record struct {
	Holder string `json:"holder"`
	// Peer is the address at which the other entry instances call the leader.
	Peer string `json:"peer"`
	// Token is the term's fencing token, or 0 in the record that begins the term.
	Token int64 `json:"token,omitempty"`
	// CPUShare is the leader's CPU share in the record that begins the term, or 0.
	CPUShare float64 `json:"cpu_share,omitempty"`
	// Released means that the leader has ended its term.
	Released bool `json:"released,omitempty"`
	// Note is what the leader tells all entry instances with a heartbeat; see Options.
	Note json.RawMessage `json:"note,omitempty"`
}

// Leader is the current leader as last read by this entry instance.
type Leader struct {
	Holder string
	Peer   string
	Token  int64
}

// Lead runs the leader's work for one term, until ctx is done.
type Lead func(ctx context.Context, token int64)

// Election takes part in the election. Its methods are safe for concurrent use.
type Election struct {
	store     store.Store
	topic     string
	holder    string
	peer      string
	jitter    time.Duration
	members   *members
	lead      Lead
	log       zerolog.Logger
	mu        sync.Mutex // guards the fields up to confirmed
	current   Leader
	released  bool
	changed   chan struct{} // closed and replaced when current or released changes, or on resignation
	resigning bool
	resigned  chan struct{}
	// confirmed is the boot clock at the time of sending the most recent accepted record of this entry instance. If the
	// answer to that record was lost, it may be the time of an earlier one.
	confirmed time.Duration
	// leaderNote is the note of the newest record, and notedAt the boot clock of its receipt.
	leaderNote json.RawMessage
	notedAt    time.Duration
	// note returns the note of this entry instance; see Options.
	note func() json.RawMessage

	// The following fields are used only by the goroutine of Run.
	nextOffset int64         // end of the partition, as far as read
	lastSeen   time.Duration // boot clock at the newest record's receipt
	lastReadOK bool          // the last read succeeded
	// unreadable means that the newest record of the chain is not one of a leader, so the present leader is not known.
	unreadable bool
	// unconfirmedSince is the boot clock at the time of sending the first heartbeat since the last one that is known to
	// be stored; 0 if there is none.
	unconfirmedSince time.Duration
	pace             store.TimeoutEstimator // determines the timeout of heartbeats
}

// Options configures an election.
type Options struct {
	Store store.Store
	// Topic and MemberTopic retain the newest record of each key.
	Topic, MemberTopic string
	// Name is the entry instance's name.
	Name string
	// Holder is unique for each start of a process.
	Holder string
	// Peer is the address at which other entry instances call this one.
	Peer string
	// Zone, Relay, CPUShare and MemoryMB describe this entry instance to the others; see Member.
	Zone, Relay string
	CPUShare    float64
	MemoryMB    int
	Lead        Lead
	// Note returns what this entry instance tells the others with each heartbeat while it leads. It may be nil.
	Note func() json.RawMessage
	// LeaderMemoryMB returns the memory that a leader needs. An entry instance with less leads only if no other one
	// claims. It may be nil.
	LeaderMemoryMB func() int
	Log            zerolog.Logger
}

// New returns an Election; Run starts it.
func New(o Options) *Election {
	h := fnv.New32a()
	_, _ = h.Write([]byte(o.Holder))
	e := &Election{
		store: o.Store, topic: o.Topic, holder: o.Holder, peer: o.Peer, lead: o.Lead, note: o.Note, log: o.Log,
		jitter:  maxClaimJitter * time.Duration(h.Sum32()%100) / 100,
		changed: make(chan struct{}), resigned: make(chan struct{}), nextOffset: -1,
		pace: store.TimeoutEstimator{Min: minHeartbeatTimeout, Max: callTimeout},
	}
	e.members = &members{
		store: o.Store, topic: o.MemberTopic,
		self:           Member{Name: o.Name, Zone: o.Zone, Relay: o.Relay, CPUShare: o.CPUShare, MemoryMB: o.MemoryMB},
		leaderMemoryMB: o.LeaderMemoryMB,
		log:            o.Log, startedAt: bootclock.Now(), prompted: make(chan struct{}, 1), woken: make(chan struct{}, 1),
	}
	return e
}

// Members returns the entry instances that have recently announced themselves. While this one leads, the list is
// refreshed every few seconds.
func (e *Election) Members() []Member { return e.members.snapshot() }

// shareRatio returns the ratio of this entry instance's CPU share to the largest one.
func (e *Election) shareRatio() float64 {
	largest := e.members.largest()
	if largest <= 0 {
		return 1
	}
	return min(e.members.self.CPUShare/largest, 1)
}

// claimDelay returns the time by which this entry instance delays its claims.
func (e *Election) claimDelay() time.Duration {
	delay := e.jitter + time.Duration((1-e.shareRatio())*float64(maxShareDelay))
	if !e.members.self.mayLead(e.members.leastMemory()) {
		delay += tooSmallDelay
	}
	return delay
}

// Current returns the current leader and a channel that is closed when the leader changes.
func (e *Election) Current() (Leader, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current, e.changed
}

// ConfirmedAt returns the latest time of the boot clock at which it is certain that no other entry instance had begun a
// term, if this one leads. No other begins a term until claimTimeout after that time.
func (e *Election) ConfirmedAt() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.confirmed
}

// Resign ends this entry instance's term, if it leads, and its participation in elections. It returns when the term
// has ended or ctx is done.
func (e *Election) Resign(ctx context.Context) {
	e.mu.Lock()
	first := !e.resigning
	e.resigning = true
	leading := e.current.Holder == e.holder
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
		if err := e.readChain(ctx); err != nil {
			e.lastReadOK = false
			sleep.For(ctx, retryDelay)
			continue
		}
		if !e.mayClaim() {
			continue
		}
		token, err := e.claim(ctx)
		if err != nil {
			e.log.Info().Err(err).Str("event", "claim_failed").Int64("end", e.nextOffset).
				Msg("leadership claim was not accepted")
			continue
		}
		e.term(ctx, token)
	}
}

// vacant reports whether it is certain that there is no leader: there is no record, or the last term was released, or
// it belongs to an earlier start of this process.
func (e *Election) vacant() bool {
	if e.unreadable {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current.Holder == "" || e.released || e.current.Peer == e.peer && e.current.Holder != e.holder
}

// mayClaim reports whether the leader's last record is old enough for this entry instance to claim.
func (e *Election) mayClaim() bool {
	if !e.lastReadOK || e.isResigning() || !e.members.known() {
		return false
	}
	none := e.vacant()
	silent := bootclock.Now() - e.lastSeen
	if none {
		return silent >= e.claimDelay()
	}
	return silent >= claimTimeout+e.claimDelay()
}

// readChain reads the new records of the chain.
func (e *Election) readChain(ctx context.Context) error {
	if e.nextOffset < 0 {
		return e.catchUp(ctx)
	}
	page, err := e.readFrom(ctx, e.nextOffset, e.nextWait())
	var trimmed *store.TrimmedError
	if errors.As(err, &trimmed) {
		return e.catchUp(ctx)
	}
	if err != nil {
		return err
	}
	for _, r := range page.Records {
		e.observe(r)
	}
	if !e.lastReadOK { // the records may have waited for as long as reads have failed
		e.keepNote(nil)
	}
	e.lastReadOK = true
	if page.End < e.nextOffset { // the history of the topic was replaced
		e.nextOffset = -1
	}
	return nil
}

// nextWait returns the maximum wait of the next read: the time until this entry instance may claim.
func (e *Election) nextWait() time.Duration {
	if !e.members.known() {
		return membersPollInterval
	}
	none := e.vacant()
	limit := claimTimeout + e.claimDelay()
	if none {
		limit = e.claimDelay()
	}
	left := limit - (bootclock.Now() - e.lastSeen)
	return max(min(left, readWait), time.Millisecond)
}

func (e *Election) readFrom(ctx context.Context, from int64, wait time.Duration) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	return e.store.Read(ctx, e.topic, partition, from, wait)
}

// catchUp reads the newest record without the ones before it.
func (e *Election) catchUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := e.store.ReadNewest(ctx, e.topic, partition, "")
	if err != nil {
		return err
	}
	e.lastReadOK = true
	e.lastSeen = bootclock.Now()
	for _, r := range page.Records {
		if r.Key == recordKey {
			e.observe(r)
		}
	}
	e.keepNote(nil) // the newest record may be of any age
	e.nextOffset = page.End
	return nil
}

// observe applies one record of the chain.
func (e *Election) observe(r store.Record) {
	e.nextOffset = max(e.nextOffset, r.Offset+1)
	if r.Key != recordKey {
		return
	}
	w, err := decodeRecord(r)
	e.unreadable = err != nil
	if err != nil {
		e.log.Warn().Err(err).Str("event", "bad_leader_record").Int64("offset", r.Offset).
			Msg("leadership record is not one of a leader and is skipped")
		return
	}
	e.lastSeen = bootclock.Now()
	if w.Token == 0 {
		w.Token = r.Offset + 1
		e.members.prompt(w)
	}
	e.keepNote(w.Note)
	e.publish(Leader{Holder: w.Holder, Peer: w.Peer, Token: w.Token}, w.Released)
}

// Note returns the note of the leader's newest heartbeat and the time since its receipt. A record without a note, as it
// begins and ends a term, removes the former one. There is none after a read that may return records of any age: the
// first one, and the one after a failed read.
func (e *Election) Note() (json.RawMessage, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaderNote, bootclock.Now() - e.notedAt
}

// keepNote replaces the note of the leader's newest heartbeat; nil removes it.
func (e *Election) keepNote(note json.RawMessage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaderNote, e.notedAt = note, bootclock.Now()
}

// wroteOne reports whether this entry instance wrote one of the records. Others may be records that no leader has
// written.
func (e *Election) wroteOne(records []store.Record) bool {
	return slices.ContainsFunc(records, func(r store.Record) bool {
		w, err := decodeRecord(r)
		return r.Key == recordKey && err == nil && w.Holder == e.holder
	})
}

// decodeRecord decodes a record of the chain. Another writer may have left it. A record without a holder would end the
// present term, and a token from beyond the record's own offset would outrank all later terms.
func decodeRecord(r store.Record) (record, error) {
	var w record
	if err := json.Unmarshal(r.Value, &w); err != nil {
		return record{}, err
	}
	if w.Holder == "" || w.Token < 0 || w.Token > r.Offset+1 {
		return record{}, fmt.Errorf("holder is %q and token is %d at offset %d", w.Holder, w.Token, r.Offset)
	}
	return w, nil
}

func (e *Election) publish(l Leader, released bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current == l && e.released == released {
		return
	}
	if e.current.Token != l.Token || e.released != released {
		e.log.Info().Str("event", "leader").Str("holder", l.Holder).Int64("token", l.Token).Bool("released", released).
			Msg("leader changed")
	}
	e.current, e.released = l, released
	close(e.changed)
	e.changed = make(chan struct{})
}

// claim appends the record that begins a term and returns the term's fencing token.
func (e *Election) claim(ctx context.Context) (int64, error) {
	share := e.members.self.CPUShare
	offset, err := e.append(ctx, record{Holder: e.holder, Peer: e.peer, CPUShare: share}, callTimeout)
	if err == nil {
		return offset + 1, nil
	}
	if !errors.Is(err, store.ErrUnknown) {
		return 0, err
	}
	// The claim may have been accepted; the chain shows whether it was.
	page, readErr := e.readFrom(ctx, e.nextOffset, time.Millisecond)
	if readErr != nil {
		return 0, errors.Join(err, readErr)
	}
	for _, r := range page.Records {
		e.observe(r)
	}
	if l, _ := e.Current(); l.Holder == e.holder && e.wroteOne(page.Records) {
		return l.Token, nil
	}
	return 0, err
}

// append appends a record to the chain, on condition that nobody else has appended one since the last read.
func (e *Election) append(ctx context.Context, r record, timeout time.Duration) (int64, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return 0, fmt.Errorf("leader: encode record: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	at, sent := e.nextOffset, bootclock.Now()
	offset, err := e.store.Append(ctx, store.Append{
		Topic: e.topic, Partition: partition, At: &at, Records: []store.Record{{Key: recordKey, Value: value}},
	})
	if err != nil {
		return 0, err
	}
	e.observe(store.Record{Offset: offset, Key: recordKey, Value: value})
	e.confirm(sent)
	return offset, nil
}

// confirm records that a record of this entry instance that was sent at the given boot clock or later was accepted.
func (e *Election) confirm(sent time.Duration) {
	e.unconfirmedSince = 0
	e.mu.Lock()
	defer e.mu.Unlock()
	e.confirmed = max(e.confirmed, sent)
}
