// Package replica maintains the local copy of the control state. Follower tails the log and applies its records to the
// replicated state machine, Committer appends records to the log, and SnapshotWriter writes snapshots of the state to
// it.
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
	// readWait is the time for which a read at the end of the log waits for new records. It is half of maxContactGap,
	// so that an idle log is not mistaken for broken contact.
	readWait = time.Second
	// readTimeoutMargin is added to the wait of a read to get its timeout. With readWait the timeout is 3 s. That is
	// below the 4 s after which an instance without contact stops accepting keyed work, so that time remains to read
	// through a peer when the log does not answer.
	readTimeoutMargin = 2 * time.Second
	// readLimit is the maximum number of records in one read. A record has at most about 1 MiB, so a read takes at most
	// half of the 128 MB of memory that the control functions may use.
	readLimit = 64
	// probeInterval is the time between attempts to read from the log itself while reads go through a peer.
	probeInterval = 5 * time.Second
	// probeTimeout bounds such an attempt, because reads through the peer wait for it.
	probeTimeout = time.Second
	// retryInitial and retryMax are the initial and the maximum delay between failed attempts.
	retryInitial = 50 * time.Millisecond
	retryMax     = time.Second
)

// ErrNoSnapshot is returned if the log was trimmed and holds no usable snapshot.
var ErrNoSnapshot = errors.New("the log was trimmed and holds no usable snapshot")

// errBadBatch is returned if the records in an answer do not continue the log at the requested offset.
var errBadBatch = errors.New("the answer does not continue the log at the requested offset")

// Source provides the records of the log to a follower. It is either the log itself or a peer that relays reads.
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

// FollowerStats holds the counters of a follower.
type FollowerStats struct {
	Records, Duplicates, Malformed uint64
	FailedReads, PeerReads         uint64
	SnapshotLoads                  uint64
}

// Follower tails the log and owns the state that results from its records.
type Follower struct {
	clock func() time.Time

	mu      sync.RWMutex // guards state and contact
	state   *statemachine.State
	contact Contact

	applied atomic.Uint64 // the offset after the last record whose subscribers have returned
	first   atomic.Uint64 // the oldest offset that the log retains

	notifyMu    sync.Mutex // guards the fields below
	changed     chan struct{}
	subscribers []func(statemachine.Result)
	sources     []Source
	err         error
	stats       FollowerStats

	// The fields below are used only by the goroutine of Run.
	loaded        bool
	currentSource int // index of the source of the last successful read
	lastProbe     time.Time
}

// NewFollower returns a follower of log. It does not read before Run is called.
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

// AddSource adds a source that is tried after all earlier ones. It must be called before Run.
func (f *Follower) AddSource(s Source) {
	f.notifyMu.Lock()
	defer f.notifyMu.Unlock()
	f.sources = append(f.sources, s)
}

// Subscribe adds a function that is called with the result of each record, in log order. It runs on the follower's
// goroutine without a lock held. Records that a snapshot covers yield no result. Subscribe must be called before Run.
func (f *Follower) Subscribe(notify func(statemachine.Result)) {
	f.notifyMu.Lock()
	defer f.notifyMu.Unlock()
	f.subscribers = append(f.subscribers, notify)
}

// View calls read with the state under the read lock. read must not block and must not retain references to the state.
func (f *Follower) View(read func(*statemachine.State)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	read(f.state)
}

// Applied returns the next offset to read. The results of all earlier records have been delivered to the subscribers.
func (f *Follower) Applied() uint64 { return f.applied.Load() }

// First returns the oldest offset that the log retained at the last read.
func (f *Follower) First() uint64 { return f.first.Load() }

// Changed returns a channel that is closed at the next change of the state. Each call returns the channel for the next
// change after it.
func (f *Follower) Changed() <-chan struct{} {
	f.notifyMu.Lock()
	defer f.notifyMu.Unlock()
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

// Contact returns the times at which the end of the log was read.
func (f *Follower) Contact() Contact {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.contact
}

// LastContact returns the monotonic time at which the end of the log was last read, directly or through a peer.
func (f *Follower) LastContact() time.Time { return f.Contact().Last }

// Err returns the permanent error that stopped the follower, or nil.
func (f *Follower) Err() error {
	f.notifyMu.Lock()
	defer f.notifyMu.Unlock()
	return f.err
}

// Stats returns the current counters.
func (f *Follower) Stats() FollowerStats {
	f.notifyMu.Lock()
	defer f.notifyMu.Unlock()
	return f.stats
}

func (f *Follower) count(update func(*FollowerStats)) {
	f.notifyMu.Lock()
	defer f.notifyMu.Unlock()
	update(&f.stats)
}

// Run follows the log until ctx ends or a record with a newer schema is read.
func (f *Follower) Run(ctx context.Context) error {
	retry := newBackoff()
	for ctx.Err() == nil {
		err := f.advance(ctx)
		if err == nil {
			retry.Reset()
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
		sleep(ctx, retry.NextBackOff())
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
		f.contact = f.contact.update(answered, f.clock())
		f.mu.Unlock()
	}
	return nil
}

// load replaces the state with the newest usable snapshot. If there is none, an untrimmed log is read from its
// beginning.
func (f *Follower) load(ctx context.Context) error {
	state, first, err := loadSnapshot(ctx, sourceFunc(
		func(ctx context.Context, from uint64, limit int, wait time.Duration) (platform.Batch, error) {
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
		// The state in memory is newer than the newest snapshot, or there is no snapshot and the log is not trimmed.
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
	f.notifyMu.Lock()
	subscribers := f.subscribers
	f.notifyMu.Unlock()
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
	f.notifyMu.Lock()
	defer f.notifyMu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Follower) stop(err error) {
	f.notifyMu.Lock()
	f.err = err
	f.notifyMu.Unlock()
	f.notifyChanged()
}

// read reads from the source of the last successful read, and on failure from the others in turn. While reads go
// through a peer, it tries the log itself every probeInterval. The returned time is the effective time of the read.
func (f *Follower) read(
	ctx context.Context, from uint64, limit int, wait time.Duration,
) (platform.Batch, time.Time, error) {
	f.notifyMu.Lock()
	sources := f.sources
	f.notifyMu.Unlock()
	if f.currentSource != 0 && f.clock().Sub(f.lastProbe) >= probeInterval {
		f.lastProbe = f.clock()
		batch, answered, err := f.readFrom(ctx, sources[0], from, limit, 0, probeTimeout)
		if err == nil || isTrimmed(err) {
			f.currentSource = 0
			return batch, answered, err
		}
	}
	var errs []error
	for i := range sources {
		index := (f.currentSource + i) % len(sources)
		batch, answered, err := f.readFrom(ctx, sources[index], from, limit, wait, wait+readTimeoutMargin)
		if err == nil || isTrimmed(err) {
			if index != f.currentSource {
				f.currentSource, f.lastProbe = index, f.clock()
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

func (f *Follower) readFrom(
	ctx context.Context, s Source, from uint64, limit int, wait, timeout time.Duration,
) (platform.Batch, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := f.clock()
	batch, err := s.Read(ctx, from, limit, wait)
	if err != nil {
		return batch, time.Time{}, err
	}
	f.first.Store(batch.First)
	return batch, effectiveReadTime(sent, f.clock(), wait), checkBatch(batch, from)
}

// checkBatch returns an error unless the entries of the batch follow each other without a gap, starting at offset from.
func checkBatch(batch platform.Batch, from uint64) error {
	if batch.Next < from {
		return fmt.Errorf("%w: the next offset %d is before the requested offset %d", errBadBatch, batch.Next, from)
	}
	for i, entry := range batch.Entries {
		if entry.Offset != from+uint64(i) {
			return fmt.Errorf("%w: got offset %d, expected %d", errBadBatch, entry.Offset, from+uint64(i))
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

func newBackoff() *backoff.ExponentialBackOff {
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
