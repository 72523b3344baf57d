package replica

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"pollenlead/internal/allot"
	"pollenlead/internal/record"
	"pollenlead/internal/statemachine"
)

const (
	// maxTailRecords is the number of records after a complete snapshot above which the next snapshot is due.
	maxTailRecords = 20_000
	// minTailRecords is the number of records after a complete snapshot up to which no snapshot is due. It prevents
	// snapshots from filling a log with a short retention.
	minTailRecords = 1_000
	// snapshotChunkBytes is the maximum size of one chunk before base64 encoding.
	snapshotChunkBytes = 256 << 10
	// snapshotResource is the resource name under which rendezvous hashing selects the snapshot writer.
	snapshotResource = "snapshot"
	// snapshotTakeoverDelay is the time for which a snapshot is due without progress before the next session in
	// rendezvous order may write it. A snapshot of 64 MB takes about 256 appends; one append per 40 ms makes that 10 s.
	snapshotTakeoverDelay = 30 * time.Second
)

// ErrStaleTerm is returned if another session has begun a newer snapshot.
var ErrStaleTerm = errors.New("another session has begun a newer snapshot")

// SnapshotWriter writes snapshots of the replicated state to the log.
type SnapshotWriter struct {
	follower  *Follower
	committer *Committer
	clock     func() time.Time

	mu       sync.Mutex // guards the fields below
	dueSince time.Time
	dueTerm  uint64
}

// NewSnapshotWriter returns a writer that submits through committer. If clock is nil, time.Now is used.
func NewSnapshotWriter(follower *Follower, committer *Committer, clock func() time.Time) *SnapshotWriter {
	if clock == nil {
		clock = time.Now
	}
	return &SnapshotWriter{follower: follower, committer: committer, clock: clock}
}

// SnapshotDue reports whether a snapshot is due. The last complete snapshot covers the records before offset last, the
// log retains the records from first on, and next is the offset of the next record. A snapshot is due if more than
// 20,000 records follow the last one, or if the log has been trimmed and these are more than 1,000 records and more
// than half of those that the log retains.
func SnapshotDue(first, next, last uint64) bool {
	tail := next - min(last, next)
	trimmed := first > 0
	return tail > maxTailRecords || (trimmed && tail > minTailRecords && tail > (next-first)/2)
}

// MayWriteSnapshot reports whether holder may write a snapshot that has been due for the given duration. The session
// with the highest rendezvous score may write at once; each further session may take over after another 30 s.
func MayWriteSnapshot(holder string, sessions []string, due time.Duration) bool {
	rank := rendezvousRank(snapshotResource, holder, sessions)
	return rank >= 0 && due >= time.Duration(rank)*snapshotTakeoverDelay
}

// rendezvousRank returns the index of holder among the sessions in descending order of their rendezvous scores for
// resource, or -1 if it has no session.
func rendezvousRank(resource, holder string, sessions []string) int {
	order := slices.Clone(sessions)
	slices.SortFunc(order, func(a, b string) int {
		if allot.Preferred(resource, []string{a, b}) == a {
			return -1
		}
		return 1
	})
	return slices.Index(order, holder)
}

// ShouldWrite reports whether a snapshot is due and this session may write it.
func (w *SnapshotWriter) ShouldWrite() bool {
	var next, last, term uint64
	var holders []string
	w.follower.View(func(s *statemachine.State) {
		complete, _ := s.CompleteSnapshot()
		next, last, term = s.Next(), complete.Offset, s.SnapshotTerm()
		for _, session := range s.Sessions() {
			holders = append(holders, session.Holder)
		}
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock()
	if !SnapshotDue(w.follower.First(), next, last) {
		w.dueSince = time.Time{}
		return false
	}
	if w.dueSince.IsZero() || w.dueTerm != term {
		w.dueSince, w.dueTerm = now, term
	}
	return MayWriteSnapshot(w.committer.Identity().Incarnation, holders, now.Sub(w.dueSince))
}

// Run writes a snapshot whenever ShouldWrite reports true, until ctx ends. It calls onError with the error of each
// failed attempt; onError may be nil.
func (w *SnapshotWriter) Run(ctx context.Context, onError func(error)) error {
	retry := newBackoff()
	for {
		sleep(ctx, retryMax)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !w.ShouldWrite() {
			continue
		}
		if err := w.WriteSnapshot(ctx); err != nil {
			if onError != nil {
				onError(err)
			}
			sleep(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
	}
}

// WriteSnapshot writes the current state to the log. It returns ErrStaleTerm if another session has begun a newer
// snapshot.
func (w *SnapshotWriter) WriteSnapshot(ctx context.Context) error {
	identity := w.committer.Identity()
	term, offset, compressed, err := w.encodeSnapshot()
	if err != nil {
		return err
	}
	chunks := slices.Collect(slices.Chunk(compressed, snapshotChunkBytes))
	sum := sha256.Sum256(compressed)
	begin := &record.SnapshotBegin{
		Term: term, Offset: offset, Chunks: len(chunks), Bytes: len(compressed), SHA256: hex.EncodeToString(sum[:]),
	}
	if err := w.submit(ctx, identity, record.Op{SnapshotBegin: begin}); err != nil {
		return fmt.Errorf("begin snapshot %d: %w", term, err)
	}
	for i, data := range chunks {
		if err := w.submit(ctx, identity, record.Op{
			SnapshotChunk: &record.SnapshotChunk{Term: term, Index: i, Data: data},
		}); err != nil {
			return fmt.Errorf("write chunk %d of snapshot %d: %w", i, term, err)
		}
	}
	if err := w.submit(ctx, identity, record.Op{SnapshotEnd: &record.SnapshotEnd{Term: term}}); err != nil {
		return fmt.Errorf("end snapshot %d: %w", term, err)
	}
	return nil
}

// encodeSnapshot encodes the state under the read lock and compresses it after releasing the lock.
func (w *SnapshotWriter) encodeSnapshot() (term, offset uint64, compressed []byte, err error) {
	var encoded []byte
	w.follower.View(func(s *statemachine.State) {
		term, offset = s.SnapshotTerm()+1, s.Next()
		encoded, err = s.Encode()
	})
	if err != nil {
		return 0, 0, nil, err
	}
	if len(encoded) > maxSnapshotBytes {
		return 0, 0, nil, fmt.Errorf("state of %d bytes exceeds the snapshot limit of %d bytes",
			len(encoded), maxSnapshotBytes)
	}
	var buffer bytes.Buffer
	compressor := gzip.NewWriter(&buffer)
	if _, err := compressor.Write(encoded); err != nil {
		return 0, 0, nil, fmt.Errorf("compress snapshot: %w", err)
	}
	if err := compressor.Close(); err != nil {
		return 0, 0, nil, fmt.Errorf("compress snapshot: %w", err)
	}
	return term, offset, buffer.Bytes(), nil
}

func (w *SnapshotWriter) submit(ctx context.Context, identity Identity, op record.Op) error {
	outcomes, err := w.committer.SubmitAs(ctx, identity, op)
	if err != nil {
		return err
	}
	switch o := outcomes[0]; {
	case o.Accepted:
		return nil
	case o.Reason == statemachine.ReasonStaleTerm:
		return ErrStaleTerm
	default:
		return fmt.Errorf("op rejected: %s: %s", o.Reason, o.Detail)
	}
}
