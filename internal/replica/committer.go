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
	// appendInterval is the least time between two append starts, so that 9 entry instances make at most 225 a second.
	appendInterval = 40 * time.Millisecond
	// appendTimeout bounds one append. A record that is still on its way is appended again; its seq makes that harmless.
	appendTimeout = 2 * time.Second
	// relayAfter is the number of failed attempts without an answer after which peers are asked to append. A single lost
	// answer is resolved by reading, without a second copy of the record.
	relayAfter = 2
	// maxBatchBytes and maxBatchOps bound one record. Readers fetch several hundred records in one read.
	maxBatchBytes = 1 << 20
	maxBatchOps   = 512
	// defaultQueueOps bounds the ops that wait for a record.
	defaultQueueOps = 8192
)

// ErrNotSent says that the ops were never appended and never take effect.
var ErrNotSent = errors.New("the ops were not sent")

// ErrUnresolved says that an append with the ops was started and its outcome is not known: they may take effect later.
var ErrUnresolved = errors.New("the outcome of the ops is not known")

// Identity is the writer of records. Each incarnation is a ULID that no earlier run of the writer had.
type Identity struct {
	Writer      string
	Incarnation string
}

// Appender appends records on the committer's behalf: the log itself or a peer that relays. Its errors wrap
// platform.ErrNotSent or platform.ErrNoAnswer.
type Appender interface {
	Append(ctx context.Context, data []byte) (offset uint64, err error)
}

// CommitterOptions are the optional parts of a committer.
type CommitterOptions struct {
	// Relays are tried in order when the log cannot be reached.
	Relays []Appender
	// QueueOps bounds the ops that wait for a record. The default is 8192.
	QueueOps int
}

// CommitterStats counts what a committer did.
type CommitterStats struct {
	Records, Ops                   uint64
	Appends, Repeats, Relayed      uint64
	FailedAppends                  uint64
	NotSent, Unresolved, QueueFull uint64
}

// submission is the ops of one Submit. They go into one record.
type submission struct {
	ops  []record.Op
	size int
	done chan answer // buffered, gets exactly one answer

	// The committer's mutex guards these. withdrawn is why the caller gave up while the first append of the record was on its
	// way; the end of that append tells whether the ops were sent.
	answered  bool
	withdrawn error
}

type answer struct {
	outcomes []statemachine.Outcome
	err      error
}

// batch is one record on its way.
type batch struct {
	identity Identity
	seq      uint64
	data     []byte
	members  []*submission
	ctx      context.Context // ends when the outcome is known or the identity was replaced
	finish   context.CancelFunc
	sent     bool // an append has ended that may have taken effect; guarded by the committer's mutex
}

// Committer appends ops in group commits and reports the outcome that the fold gave each of them. It has one append
// outstanding at a time.
type Committer struct {
	log      platform.Log
	follower *Follower
	queueOps int
	wake     chan struct{}

	mu        sync.Mutex // guards the fields below
	relays    []Appender
	identity  Identity
	seq       uint64
	queue     []*submission
	queuedOps int
	inflight  *batch
	stopped   bool
	stats     CommitterStats

	lastStart time.Time // used only by the goroutine of Run
}

// NewCommitter returns a committer that learns outcomes from follower. It must be created before the follower runs.
func NewCommitter(log platform.Log, follower *Follower, identity Identity, opts CommitterOptions) *Committer {
	if opts.QueueOps <= 0 {
		opts.QueueOps = defaultQueueOps
	}
	c := &Committer{
		log:      log,
		follower: follower,
		relays:   opts.Relays,
		queueOps: opts.QueueOps,
		wake:     make(chan struct{}, 1),
		identity: identity,
	}
	follower.Subscribe(c.onResult)
	return c
}

// AddRelay adds an appender to try after all earlier ones. Call it before Run.
func (c *Committer) AddRelay(a Appender) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relays = append(c.relays, a)
}

// Identity returns the identity that new records get.
func (c *Committer) Identity() Identity {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.identity
}

// Stats returns what the committer counted.
func (c *Committer) Stats() CommitterStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// Submit appends the ops in one record and waits for the fold's outcome of each. The error wraps ErrNotSent if the ops
// never take effect, and ErrUnresolved if they may.
func (c *Committer) Submit(ctx context.Context, ops ...record.Op) ([]statemachine.Outcome, error) {
	return c.submit(ctx, nil, ops)
}

// SubmitAs is Submit on the condition that the identity is still the given one; otherwise the ops are not sent.
func (c *Committer) SubmitAs(ctx context.Context, identity Identity, ops ...record.Op) ([]statemachine.Outcome, error) {
	return c.submit(ctx, &identity, ops)
}

func (c *Committer) submit(ctx context.Context, identity *Identity, ops []record.Op) ([]statemachine.Outcome, error) {
	size, err := measure(ops)
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

// measure returns the encoded size of ops, or an error if they do not fit into one record.
func measure(ops []record.Op) (int, error) {
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
	case c.queuedOps+len(s.ops) > c.queueOps:
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

// withdraw ends a submission whose context ended. If the outcome arrived meanwhile, it stands.
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
	if b := c.inflight; b != nil && !b.sent && slices.Contains(b.members, s) {
		s.withdrawn = reason
		return
	}
	c.reply(s, answer{err: fmt.Errorf("%w: %w", ErrUnresolved, reason)})
}

// reply gives a submission its answer unless it has one. Callers hold c.mu.
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

// Reset gives the committer a new identity, after its session ended. Ops of the old identity that wait fail with
// ErrNotSent, those in a record fail with ErrUnresolved unless the record certainly was not appended.
func (c *Committer) Reset(identity Identity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(errors.New("the identity was replaced"))
	c.identity, c.seq = identity, 0
}

// fail ends everything that waits or is on its way. Callers hold c.mu.
func (c *Committer) fail(reason error) {
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
	c.inflight.finish()
	c.inflight = nil
}

// onResult resolves the record on its way. It runs on the follower's goroutine.
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
			// The first copy is covered by a snapshot, which does not keep outcomes.
			c.reply(s, answer{err: fmt.Errorf("%w: a snapshot covers record %d", ErrUnresolved, b.seq)})
			continue
		}
		c.reply(s, answer{outcomes: r.Outcomes[at : at+len(s.ops) : at+len(s.ops)]})
		at += len(s.ops)
	}
	c.inflight = nil
	b.finish()
}

// Run appends what is submitted until ctx ends or the follower has stopped for good, and then fails what is left.
func (c *Committer) Run(ctx context.Context) error {
	defer c.stop()
	pause := newRetry()
	for {
		select {
		case <-c.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		for c.waitTurn(ctx) {
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
			if c.commit(b, pause) {
				pause.Reset()
				continue
			}
			sleep(ctx, pause.NextBackOff())
		}
	}
}

func (c *Committer) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	c.fail(errors.New("the committer has stopped"))
}

// waitTurn waits until the next append may start, and reports false if ctx ended.
func (c *Committer) waitTurn(ctx context.Context) bool {
	if rest := appendInterval - time.Since(c.lastStart); rest > 0 {
		sleep(ctx, rest)
	}
	return ctx.Err() == nil
}

// nextBatch puts what waits into a record, up to its bounds.
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
	b.ctx, b.finish = context.WithCancel(ctx)
	c.inflight = b
	c.stats.Records++
	c.stats.Ops += uint64(len(ops))
	return b, nil
}
