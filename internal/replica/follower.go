// Package replica keeps the local copy of the control state: Follower tails the log and folds it, Committer appends to it.
package replica

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"pollenlead/internal/platform"
	"pollenlead/internal/statemachine"
)

const (
	// readWait is how long a read waits at the end of the log. It is half of unbrokenGap, so that an idle log does not
	// look like broken contact.
	readWait = time.Second
	// readGrace is how long an answer may be late. With readWait it stays below the 4 s of the contact rule, so that a
	// silent log leaves time to ask a peer.
	readGrace = 2 * time.Second
	// readLimit bounds the records of one read. A record has at most about 1 MiB, so a read stays at half of the 128 MB
	// that control may use.
	readLimit = 64
	// probeInterval is the time between attempts to return to the log while a peer relays it.
	probeInterval = 5 * time.Second
	// probeTimeout bounds such an attempt, because it delays the reads through the peer.
	probeTimeout = time.Second
	// retryInitial and retryMax bound the pauses between failed attempts.
	retryInitial = 50 * time.Millisecond
	retryMax     = time.Second
)

// ErrNoSnapshot says that the log was trimmed and holds no usable snapshot.
var ErrNoSnapshot = errors.New("the log was trimmed and has no usable snapshot")

// errBadBatch says that a source answered with records that do not follow the requested offset.
var errBadBatch = errors.New("the answer does not continue the log")

// Source is where a follower reads the log: the log itself or a peer that relays it.
type Source interface {
	Read(ctx context.Context, from uint64, limit int, wait time.Duration) (platform.Batch, error)
}

// FollowerOptions are the optional parts of a follower.
type FollowerOptions struct {
	// Clock returns the time with a monotonic reading. The default is time.Now.
	Clock func() time.Time
	// Peers are tried in order when the log cannot be read.
	Peers []Source
}

// FollowerStats counts what a follower did.
type FollowerStats struct {
	Records, Duplicates, Malformed uint64
	FailedReads, PeerReads         uint64
	SnapshotLoads                  uint64
}

// Follower tails the log and owns the folded state.
type Follower struct {
	clock func() time.Time

	mu      sync.RWMutex // guards state and contact
	state   *statemachine.State
	contact Contact

	applied atomic.Uint64 // the next offset after the last record whose subscribers have returned
	first   atomic.Uint64 // the oldest offset that the log keeps

	noteMu      sync.Mutex // guards the fields below
	changed     chan struct{}
	subscribers []func(statemachine.Result)
	sources     []Source
	err         error
	stats       FollowerStats

	// The fields below are used only by the goroutine of Run.
	loaded    bool
	current   int // index of the source that answered last
	lastProbe time.Time
}

// NewFollower returns a follower of log. It reads nothing before Run.
func NewFollower(log platform.Log, opts FollowerOptions) *Follower {
	if opts.Clock == nil {
		opts.Clock = time.Now
	}
	return &Follower{
		clock:   opts.Clock,
		state:   statemachine.New(),
		changed: make(chan struct{}),
		sources: append([]Source{log}, opts.Peers...),
	}
}

// AddSource adds a source to try after all earlier ones. Call it before Run.
func (f *Follower) AddSource(s Source) {
	f.noteMu.Lock()
	defer f.noteMu.Unlock()
	f.sources = append(f.sources, s)
}

// Subscribe adds a function that gets the result of every record in order, on the follower's goroutine and without a lock
// held. Records that a snapshot covers have no result. Call it before Run.
func (f *Follower) Subscribe(notify func(statemachine.Result)) {
	f.noteMu.Lock()
	defer f.noteMu.Unlock()
	f.subscribers = append(f.subscribers, notify)
}

// View calls read with the state under the read lock. read must not block and must not keep references to the state.
func (f *Follower) View(read func(*statemachine.State)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	read(f.state)
}

// Applied is the next offset to read. The results of all records before it were delivered.
func (f *Follower) Applied() uint64 { return f.applied.Load() }

// First is the oldest offset that the log kept at the last read.
func (f *Follower) First() uint64 { return f.first.Load() }

// Changed returns a channel that is closed at the next change of the state. Call it again after that.
func (f *Follower) Changed() <-chan struct{} {
	f.noteMu.Lock()
	defer f.noteMu.Unlock()
	return f.changed
}

// WaitFor waits until Applied is at least offset.
func (f *Follower) WaitFor(ctx context.Context, offset uint64) error {
	for {
		changed := f.Changed()
		if f.Applied() >= offset {
			return nil
		}
		if err := f.Err(); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Contact returns when the end of the log was read.
func (f *Follower) Contact() Contact {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.contact
}

// LastContact is when the end of the log was last read, directly or through a peer, by the monotonic clock.
func (f *Follower) LastContact() time.Time { return f.Contact().Last }

// Err returns why the follower stopped for good, or nil.
func (f *Follower) Err() error {
	f.noteMu.Lock()
	defer f.noteMu.Unlock()
	return f.err
}

// Stats returns what the follower counted.
func (f *Follower) Stats() FollowerStats {
	f.noteMu.Lock()
	defer f.noteMu.Unlock()
	return f.stats
}

func (f *Follower) count(update func(*FollowerStats)) {
	f.noteMu.Lock()
	defer f.noteMu.Unlock()
	update(&f.stats)
}

// Run follows the log until ctx ends or a record of a newer schema arrives.
func (f *Follower) Run(ctx context.Context) error {
	pause := newRetry()
	for ctx.Err() == nil {
		err := f.advance(ctx)
		if err == nil {
			pause.Reset()
			continue
		}
		if errors.Is(err, statemachine.ErrNewerSchema) {
			f.stop(err)
			return err
		}
		if trimmed := (*platform.TrimmedError)(nil); f.loaded && errors.As(err, &trimmed) {
			f.loaded = false
			continue
		}
		f.count(func(s *FollowerStats) { s.FailedReads++ })
		sleep(ctx, pause.NextBackOff())
	}
	return ctx.Err()
}

// advance loads a snapshot or reads and applies one batch.
func (f *Follower) advance(ctx context.Context) error {
	if !f.loaded {
		if err := f.load(ctx); err != nil {
			return err
		}
		f.loaded = true
	}
	from := f.applied.Load()
	batch, answered, err := f.read(ctx, from, readLimit, readWait)
	if err != nil {
		return err
	}
	if err := f.apply(batch.Entries); err != nil {
		return err
	}
	if f.applied.Load() >= batch.Next {
		f.mu.Lock()
		f.contact = f.contact.mark(answered, f.clock())
		f.mu.Unlock()
	}
	return nil
}

// load replaces the state by the newest usable snapshot. Without one it starts at the beginning of an untrimmed log.
func (f *Follower) load(ctx context.Context) error {
	state, first, err := loadSnapshot(ctx, sourceFunc(func(ctx context.Context, from uint64, limit int, wait time.Duration) (platform.Batch, error) {
		batch, _, err := f.read(ctx, from, limit, wait)
		return batch, err
	}))
	if err != nil {
		return err
	}
	if state == nil && first > 0 {
		return ErrNoSnapshot
	}
	if state == nil || state.Next() < f.applied.Load() {
		// The state in memory is newer than what the log offers, or both are at the beginning.
		if f.applied.Load() >= first {
			return nil
		}
		return ErrNoSnapshot
	}
	f.mu.Lock()
	f.state = state
	f.mu.Unlock()
	f.applied.Store(state.Next())
	f.count(func(s *FollowerStats) { s.SnapshotLoads++ })
	f.notifyChanged()
	return nil
}

func (f *Follower) apply(entries []platform.Entry) error {
	f.noteMu.Lock()
	subscribers := f.subscribers
	f.noteMu.Unlock()
	if len(entries) > 0 {
		defer f.notifyChanged()
	}
	for _, entry := range entries {
		f.mu.Lock()
		result, err := f.state.Apply(entry.Offset, entry.Data)
		f.mu.Unlock()
		if err != nil {
			return err
		}
		f.countResult(result)
		for _, notify := range subscribers {
			notify(result)
		}
		f.applied.Store(entry.Offset + 1)
	}
	return nil
}

func (f *Follower) countResult(r statemachine.Result) {
	f.count(func(s *FollowerStats) {
		s.Records++
		if r.Duplicate {
			s.Duplicates++
		}
		if r.Malformed {
			s.Malformed++
		}
	})
}

func (f *Follower) notifyChanged() {
	f.noteMu.Lock()
	defer f.noteMu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Follower) stop(err error) {
	f.noteMu.Lock()
	f.err = err
	f.noteMu.Unlock()
	f.notifyChanged()
}

// read asks the source that answered last, then the others. While a peer relays, it returns to the log when it can.
func (f *Follower) read(ctx context.Context, from uint64, limit int, wait time.Duration) (platform.Batch, time.Time, error) {
	f.noteMu.Lock()
	sources := f.sources
	f.noteMu.Unlock()
	if f.current != 0 && f.clock().Sub(f.lastProbe) >= probeInterval {
		f.lastProbe = f.clock()
		batch, answered, err := f.readFrom(ctx, sources[0], from, limit, 0, probeTimeout)
		if err == nil || isTrimmed(err) {
			f.current = 0
			return batch, answered, err
		}
	}
	var errs []error
	for i := range sources {
		index := (f.current + i) % len(sources)
		batch, answered, err := f.readFrom(ctx, sources[index], from, limit, wait, wait+readGrace)
		if err == nil || isTrimmed(err) {
			if index != f.current {
				f.current, f.lastProbe = index, f.clock()
			}
			if index > 0 {
				f.count(func(s *FollowerStats) { s.PeerReads++ })
			}
			return batch, answered, err
		}
		errs = append(errs, fmt.Errorf("read from offset %d, source %d: %w", from, index, err))
		if ctx.Err() != nil {
			break
		}
	}
	return platform.Batch{}, time.Time{}, errors.Join(errs...)
}

func (f *Follower) readFrom(ctx context.Context, s Source, from uint64, limit int, wait, timeout time.Duration) (platform.Batch, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := f.clock()
	batch, err := s.Read(ctx, from, limit, wait)
	if err != nil {
		return batch, time.Time{}, err
	}
	f.first.Store(batch.First)
	return batch, answeredAt(sent, f.clock(), wait), checkBatch(batch, from)
}

// checkBatch reports an error unless the batch continues the log at from.
func checkBatch(batch platform.Batch, from uint64) error {
	if batch.Next < from {
		return fmt.Errorf("%w: its end %d is before offset %d", errBadBatch, batch.Next, from)
	}
	for i, entry := range batch.Entries {
		if entry.Offset != from+uint64(i) {
			return fmt.Errorf("%w: offset %d in place of %d", errBadBatch, entry.Offset, from+uint64(i))
		}
	}
	return nil
}

type sourceFunc func(ctx context.Context, from uint64, limit int, wait time.Duration) (platform.Batch, error)

func (read sourceFunc) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (platform.Batch, error) {
	return read(ctx, from, limit, wait)
}

func isTrimmed(err error) bool {
	trimmed := (*platform.TrimmedError)(nil)
	return errors.As(err, &trimmed)
}

func newRetry() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = retryInitial, retryMax
	b.Reset()
	return b
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
