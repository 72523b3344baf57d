package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"pollenlead/internal/platform"
	"pollenlead/internal/record"
	"pollenlead/internal/statemachine"
)

const (
	// appendInterval is the minimum time between the starts of two appends. It limits 9 entry instances to a total of
	// 225 appends per second.
	appendInterval = 40 * time.Millisecond
	// appendTimeout bounds one append. After it the record is appended again, even if the first append may still take
	// effect: the sequence number of the record marks the second copy as a duplicate.
	appendTimeout = 2 * time.Second
	// relayAfterAttempts is the number of unanswered attempts after which peers are asked to append. A single lost
	// answer is resolved by reading the log, without a second copy of the record.
	relayAfterAttempts = 2
	// maxBatchBytes and maxBatchOps bound one record, because readers fetch several hundred records in one read.
	maxBatchBytes = 1 << 20
	maxBatchOps   = 512
	// defaultMaxQueuedOps is the default bound on the ops that wait for a record.
	defaultMaxQueuedOps = 8192
)

// ErrNotSent is returned if the ops were not appended and never take effect.
var ErrNotSent = errors.New("the ops were not sent")

// ErrUnresolved is returned if an append of the ops was started and its outcome is unknown. The ops may still take
// effect.
var ErrUnresolved = errors.New("the outcome of the ops is not known")

// Identity identifies the writer of records. Incarnation is a ULID that is unique to one run of the writer.
type Identity struct {
	Writer      string
	Incarnation string
}

// Appender appends records for a committer. It is either the log itself or a peer that relays appends to the log. Its
// errors wrap platform.ErrNoEffect or platform.ErrOutcomeUnknown.
type Appender interface {
	Append(ctx context.Context, data []byte) (offset uint64, err error)
}

// CommitterOptions are the optional parts of a committer.
type CommitterOptions struct {
	// Relays are tried in order when the log cannot be reached.
	Relays []Appender
	// MaxQueuedOps bounds the ops that wait for a record. The default is 8192.
	MaxQueuedOps int
}

// CommitterStats holds the counters of a committer.
type CommitterStats struct {
	Records, Ops                   uint64
	Appends, Repeats, Relayed      uint64
	FailedAppends                  uint64
	NotSent, Unresolved, QueueFull uint64
}

// submission holds the ops of one call of Submit. They are appended in a single record.
type submission struct {
	ops  []record.Op
	size int
	done chan answer // buffered; receives exactly one answer

	// The committer's mutex guards the fields below. withdrawErr is the error of the caller's context if that ended
	// during the first append of the record. The result of that append decides between ErrNotSent and ErrUnresolved.
	answered    bool
	withdrawErr error
}

type answer struct {
	outcomes []statemachine.Outcome
	err      error
}

// batch is a record whose outcome is not known yet.
type batch struct {
	identity      Identity
	seq           uint64
	data          []byte
	members       []*submission
	ctx           context.Context // ends when the outcome is known or the identity is replaced
	cancel        context.CancelFunc
	maybeAppended bool // an append that may have taken effect has ended; guarded by the committer's mutex
}

// Committer appends ops in group commits and reports the outcome of each op in the replicated state machine. At most
// one append is outstanding at a time.
type Committer struct {
	log          platform.Log
	follower     *Follower
	maxQueuedOps int
	wake         chan struct{}

	mu        sync.Mutex // guards the fields below
	relays    []Appender
	identity  Identity
	seq       uint64
	queue     []*submission
	queuedOps int
	inflight  *batch
	stopped   bool
	stats     CommitterStats

	lastAppendStart time.Time // used only by the goroutine of Run
}

// NewCommitter returns a committer that receives outcomes from follower. It must be created before follower.Run is
// called.
func NewCommitter(log platform.Log, follower *Follower, identity Identity, opts CommitterOptions) *Committer {
	if opts.MaxQueuedOps <= 0 {
		opts.MaxQueuedOps = defaultMaxQueuedOps
	}
	c := &Committer{
		log:          log,
		follower:     follower,
		relays:       opts.Relays,
		maxQueuedOps: opts.MaxQueuedOps,
		wake:         make(chan struct{}, 1),
		identity:     identity,
	}
	follower.Subscribe(c.onResult)
	return c
}

// AddRelay adds an appender that is tried after all earlier ones. It must be called before Run.
func (c *Committer) AddRelay(a Appender) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relays = append(c.relays, a)
}

// Identity returns the identity under which new records are written.
func (c *Committer) Identity() Identity {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.identity
}

// Stats returns the current counters.
func (c *Committer) Stats() CommitterStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// Submit appends the ops in one record and waits for the outcome of each. The error wraps ErrNotSent if the ops never
// take effect, and ErrUnresolved if they may.
func (c *Committer) Submit(ctx context.Context, ops ...record.Op) ([]statemachine.Outcome, error) {
	return c.submit(ctx, nil, ops)
}

// SubmitAs is like Submit, but returns ErrNotSent if the identity of the committer is no longer the given one.
func (c *Committer) SubmitAs(ctx context.Context, identity Identity, ops ...record.Op) ([]statemachine.Outcome, error) {
	return c.submit(ctx, &identity, ops)
}

func (c *Committer) submit(ctx context.Context, identity *Identity, ops []record.Op) ([]statemachine.Outcome, error) {
	size, err := encodedSize(ops)
	if err != nil {
		return nil, err
	}
	s := &submission{ops: ops, size: size, done: make(chan answer, 1)}
	if err := c.enqueue(ctx, identity, s); err != nil {
		return nil, err
	}
	select {
	case a := <-s.done:
		return a.outcomes, a.err
	case <-ctx.Done():
	}
	c.withdraw(s, ctx.Err())
	a := <-s.done
	return a.outcomes, a.err
}

// encodedSize returns the encoded size of ops in bytes, or an error if they do not fit into one record.
func encodedSize(ops []record.Op) (int, error) {
	if len(ops) == 0 || len(ops) > maxBatchOps {
		return 0, fmt.Errorf("%w: %d ops, allowed are 1 to %d", ErrNotSent, len(ops), maxBatchOps)
	}
	size := 0
	for i, op := range ops {
		if op.Kind() == "" {
			return 0, fmt.Errorf("%w: op %d does not have exactly one kind", ErrNotSent, i)
		}
		encoded, err := json.Marshal(op)
		if err != nil {
			return 0, fmt.Errorf("%w: encode op %d: %v", ErrNotSent, i, err)
		}
		size += len(encoded) + 1
	}
	if size > maxBatchBytes {
		return 0, fmt.Errorf("%w: %d bytes of ops exceed the limit of %d", ErrNotSent, size, maxBatchBytes)
	}
	return size, nil
}

func (c *Committer) enqueue(ctx context.Context, identity *Identity, s *submission) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var reason error
	switch {
	case ctx.Err() != nil:
		reason = ctx.Err()
	case c.stopped:
		reason = errors.New("the committer has stopped")
	case identity != nil && *identity != c.identity:
		reason = errors.New("the identity was replaced")
	case c.queuedOps+len(s.ops) > c.maxQueuedOps:
		c.stats.QueueFull++
		reason = errors.New("the queue is full")
	}
	if reason != nil {
		c.stats.NotSent++
		return fmt.Errorf("%w: %w", ErrNotSent, reason)
	}
	c.queue = append(c.queue, s)
	c.queuedOps += len(s.ops)
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

// withdraw answers a submission whose context has ended. An outcome that has arrived in the meantime is kept.
func (c *Committer) withdraw(s *submission, reason error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, queued := range c.queue {
		if queued != s {
			continue
		}
		c.queue = append(c.queue[:i:i], c.queue[i+1:]...)
		c.queuedOps -= len(s.ops)
		c.reply(s, answer{err: fmt.Errorf("%w: %w", ErrNotSent, reason)})
		return
	}
	if b := c.inflight; b != nil && !b.maybeAppended && slices.Contains(b.members, s) {
		s.withdrawErr = reason
		return
	}
	c.reply(s, answer{err: fmt.Errorf("%w: %w", ErrUnresolved, reason)})
}

// reply sends an answer to a submission that has none yet. The caller must hold c.mu.
func (c *Committer) reply(s *submission, a answer) {
	if s.answered {
		return
	}
	s.answered = true
	s.done <- a
	if errors.Is(a.err, ErrNotSent) {
		c.stats.NotSent++
	}
	if errors.Is(a.err, ErrUnresolved) {
		c.stats.Unresolved++
	}
}

// Reset replaces the identity of the committer after its session has ended. Queued ops of the old identity fail with
// ErrNotSent. Ops in a record fail with ErrUnresolved unless the record was certainly not appended.
func (c *Committer) Reset(identity Identity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failPending(errors.New("the identity was replaced"))
	c.identity, c.seq = identity, 0
}

// failPending fails all queued submissions and the outstanding record. The caller must hold c.mu.
func (c *Committer) failPending(reason error) {
	for _, s := range c.queue {
		c.reply(s, answer{err: fmt.Errorf("%w: %w", ErrNotSent, reason)})
	}
	c.queue, c.queuedOps = nil, 0
	if c.inflight == nil {
		return
	}
	for _, s := range c.inflight.members {
		c.reply(s, answer{err: fmt.Errorf("%w: %w", ErrUnresolved, reason)})
	}
	c.inflight.cancel()
	c.inflight = nil
}

// onResult answers the submissions of the outstanding record. It runs on the follower's goroutine.
func (c *Committer) onResult(r statemachine.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.inflight
	if b == nil || r.Malformed || r.Record.Incarnation != b.identity.Incarnation || r.Record.Seq != b.seq {
		return
	}
	at := 0
	for _, s := range b.members {
		if r.Duplicate {
			// The first copy is covered by a snapshot, and snapshots do not hold outcomes.
			c.reply(s, answer{err: fmt.Errorf("%w: a snapshot covers record %d", ErrUnresolved, b.seq)})
			continue
		}
		c.reply(s, answer{outcomes: r.Outcomes[at : at+len(s.ops) : at+len(s.ops)]})
		at += len(s.ops)
	}
	c.inflight = nil
	b.cancel()
}

// Run appends submitted ops until ctx ends or the follower stops with a permanent error. It then fails all pending ops.
func (c *Committer) Run(ctx context.Context) error {
	defer c.stop()
	retry := newBackoff()
	for {
		select {
		case <-c.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		for c.waitAppendInterval(ctx) {
			if err := c.follower.Err(); err != nil {
				return err
			}
			b, err := c.nextBatch(ctx)
			if err != nil {
				return err
			}
			if b == nil {
				break
			}
			if c.commit(b, retry) {
				retry.Reset()
				continue
			}
			sleep(ctx, retry.NextBackOff())
		}
	}
}

func (c *Committer) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	c.failPending(errors.New("the committer has stopped"))
}

// waitAppendInterval waits until the next append may start. It reports false if ctx has ended.
func (c *Committer) waitAppendInterval(ctx context.Context) bool {
	if rest := appendInterval - time.Since(c.lastAppendStart); rest > 0 {
		sleep(ctx, rest)
	}
	return ctx.Err() == nil
}

// nextBatch encodes queued submissions into one record, up to maxBatchOps and maxBatchBytes. It returns nil if the
// queue is empty.
func (c *Committer) nextBatch(ctx context.Context) (*batch, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var members []*submission
	var ops []record.Op
	size := 0
	for len(c.queue) > 0 {
		s := c.queue[0]
		if len(ops)+len(s.ops) > maxBatchOps || size+s.size > maxBatchBytes {
			break
		}
		c.queue = c.queue[1:]
		members, ops, size = append(members, s), append(ops, s.ops...), size+s.size
	}
	if len(members) == 0 {
		return nil, nil
	}
	c.queuedOps -= len(ops)
	c.seq++
	data, err := record.Encode(record.Record{
		Writer: c.identity.Writer, Incarnation: c.identity.Incarnation, AtUnixMS: time.Now().UnixMilli(),
		Seq: c.seq, Ops: ops,
	})
	if err != nil {
		for _, s := range members {
			c.reply(s, answer{err: fmt.Errorf("%w: %w", ErrNotSent, err)})
		}
		return nil, err
	}
	b := &batch{identity: c.identity, seq: c.seq, data: data, members: members}
	b.ctx, b.cancel = context.WithCancel(ctx)
	c.inflight = b
	c.stats.Records++
	c.stats.Ops += uint64(len(ops))
	return b, nil
}
