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
	// snapshotEvery is the number of records after a complete snapshot that make the next one due.
	snapshotEvery = 20_000
	// minSnapshotEvery keeps a log with a short retention from being filled by snapshots.
	minSnapshotEvery = 1_000
	// snapshotChunkBytes is the size of one chunk before its base64 form.
	snapshotChunkBytes = 256 << 10
	// snapshotResource is the rendezvous name of the writer's role.
	snapshotResource = "snapshot"
	// snapshotTakeover is how long a snapshot is due without progress before the next session in order tries. Writing
	// one of 64 MB takes about 256 appends, which is 10 s at one append per 40 ms.
	snapshotTakeover = 30 * time.Second
)

// ErrStaleTerm says that another session began a newer snapshot.
var ErrStaleTerm = errors.New("another session writes a newer snapshot")

// SnapshotWriter writes snapshots of the folded state to the log.
type SnapshotWriter struct {
	follower  *Follower
	committer *Committer
	clock     func() time.Time

	mu       sync.Mutex // guards the fields below
	dueSince time.Time
	dueTerm  uint64
}

// NewSnapshotWriter returns a writer that submits through committer. A nil clock means time.Now.
func NewSnapshotWriter(follower *Follower, committer *Committer, clock func() time.Time) *SnapshotWriter {
	if clock == nil {
		clock = time.Now
	}
	return &SnapshotWriter{follower: follower, committer: committer, clock: clock}
}

// SnapshotDue reports whether a snapshot is due: the tail since the last complete one, which covers the records before
// last, has more than 20,000 records or is more than half of what the log keeps.
func SnapshotDue(first, next, last uint64) bool {
	tail := next - min(last, next)
	trims := first > 0
	return tail > snapshotEvery || (trims && tail > minSnapshotEvery && tail > (next-first)/2)
}

// SnapshotTurn reports whether holder may write a snapshot that has been due for the given time. The session with the
// highest rendezvous score goes first; each further one may take over after another 30 s.
func SnapshotTurn(holder string, sessions []string, due time.Duration) bool {
	rank := rendezvousRank(snapshotResource, holder, sessions)
	return rank >= 0 && due >= time.Duration(rank)*snapshotTakeover
}

// rendezvousRank returns the place of holder in the order of scores for resource, or -1 if it has no session.
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

// ShouldWrite reports whether a snapshot is due and it is this session's turn to write it.
func (w *SnapshotWriter) ShouldWrite() bool {
	var next, last, term uint64
	var holders []string
	w.follower.View(func(s *statemachine.State) {
		whole, _ := s.CompleteSnapshot()
		next, last, term = s.Next(), whole.Offset, s.SnapshotTerm()
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
	return SnapshotTurn(w.committer.Identity().Incarnation, holders, now.Sub(w.dueSince))
}

// Run writes a snapshot whenever it is due and this session's turn, until ctx ends. failed is told of each attempt that
// did not succeed; it may be nil.
func (w *SnapshotWriter) Run(ctx context.Context, failed func(error)) error {
	pause := newRetry()
	for {
		sleep(ctx, retryMax)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !w.ShouldWrite() {
			continue
		}
		if err := w.WriteSnapshot(ctx); err != nil {
			if failed != nil {
				failed(err)
			}
			sleep(ctx, pause.NextBackOff())
			continue
		}
		pause.Reset()
	}
}

// WriteSnapshot writes the current state to the log. It ends with ErrStaleTerm when another session began a newer one.
func (w *SnapshotWriter) WriteSnapshot(ctx context.Context) error {
	identity := w.committer.Identity()
	term, offset, packed, err := w.pack()
	if err != nil {
		return err
	}
	chunks := slices.Collect(slices.Chunk(packed, snapshotChunkBytes))
	sum := sha256.Sum256(packed)
	begin := &record.SnapshotBegin{
		Term: term, Offset: offset, Chunks: len(chunks), Bytes: len(packed), SHA256: hex.EncodeToString(sum[:]),
	}
	if err := w.submit(ctx, identity, record.Op{SnapshotBegin: begin}); err != nil {
		return fmt.Errorf("begin snapshot %d: %w", term, err)
	}
	for i, data := range chunks {
		if err := w.submit(ctx, identity, record.Op{SnapshotChunk: &record.SnapshotChunk{Term: term, Index: i, Data: data}}); err != nil {
			return fmt.Errorf("chunk %d of snapshot %d: %w", i, term, err)
		}
	}
	if err := w.submit(ctx, identity, record.Op{SnapshotEnd: &record.SnapshotEnd{Term: term}}); err != nil {
		return fmt.Errorf("end snapshot %d: %w", term, err)
	}
	return nil
}

// pack encodes the state under the read lock and compresses it after that.
func (w *SnapshotWriter) pack() (term, offset uint64, packed []byte, err error) {
	var encoded []byte
	w.follower.View(func(s *statemachine.State) {
		term, offset = s.SnapshotTerm()+1, s.Next()
		encoded, err = s.Encode()
	})
	if err != nil {
		return 0, 0, nil, err
	}
	if len(encoded) > maxSnapshotBytes {
		return 0, 0, nil, fmt.Errorf("state of %d bytes exceeds the snapshot limit of %d", len(encoded), maxSnapshotBytes)
	}
	var buffer bytes.Buffer
	packer := gzip.NewWriter(&buffer)
	if _, err := packer.Write(encoded); err != nil {
		return 0, 0, nil, fmt.Errorf("compress snapshot: %w", err)
	}
	if err := packer.Close(); err != nil {
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
		return fmt.Errorf("rejected: %s: %s", o.Reason, o.Detail)
	}
}
