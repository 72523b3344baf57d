package replica

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"

	"pollenlead/internal/platform"
	"pollenlead/internal/record"
	"pollenlead/internal/statemachine"
)

const (
	// scanBlock is the number of records that one step of the backward scan covers.
	scanBlock = readLimit
	// maxSnapshotBytes is the maximum size of a decompressed snapshot. It is half of the 128 MB of memory that the
	// control functions may use.
	maxSnapshotBytes = 64 << 20
)

// snapshotKey identifies one attempt to write a snapshot. Two writers may try the same term.
type snapshotKey struct {
	term   uint64
	writer string
}

// snapshotParts collects the parts of one snapshot during the backward scan.
type snapshotParts struct {
	begin   *record.SnapshotBegin
	chunks  map[int][]byte
	invalid bool
}

// complete reports whether all parts of a valid snapshot have been collected.
func (p *snapshotParts) complete() bool {
	return !p.invalid && p.begin != nil && len(p.chunks) >= p.begin.Chunks
}

// loadSnapshot scans the log backwards from its end for the newest complete snapshot that can be verified. It also
// returns the oldest offset that the log retains. The state is nil if there is no usable snapshot.
func loadSnapshot(ctx context.Context, s Source) (*statemachine.State, uint64, error) {
	first, next, err := logBounds(ctx, s)
	if err != nil {
		return nil, 0, err
	}
	snapshots := map[snapshotKey]*snapshotParts{}
	for hi := next; hi > first; {
		lo := max(first, hi-min(hi, scanBlock))
		entries, err := readRange(ctx, s, lo, hi)
		if err != nil {
			return nil, 0, err
		}
		for i := len(entries) - 1; i >= 0; i-- {
			state, err := scanRecord(snapshots, entries[i], first)
			if err != nil {
				return nil, 0, err
			}
			if state != nil {
				return state, first, nil
			}
		}
		hi = lo
	}
	return nil, first, nil
}

// logBounds returns the oldest offset that the log retains and the offset of the next append.
func logBounds(ctx context.Context, s Source) (first, next uint64, err error) {
	batch, err := s.Read(ctx, 0, 1, 0)
	if trimmed := (*platform.TrimmedError)(nil); errors.As(err, &trimmed) {
		batch, err = s.Read(ctx, trimmed.First, 1, 0)
	}
	return batch.First, batch.Next, err
}

func readRange(ctx context.Context, s Source, lo, hi uint64) ([]platform.Entry, error) {
	var entries []platform.Entry
	for at := lo; at < hi; {
		batch, err := s.Read(ctx, at, int(hi-at), 0)
		if err != nil {
			return nil, err
		}
		if len(batch.Entries) == 0 {
			return nil, fmt.Errorf("%w: no record at offset %d", errBadBatch, at)
		}
		entries = append(entries, batch.Entries...)
		at += uint64(len(batch.Entries))
	}
	return entries, nil
}

// scanRecord adds the snapshot ops of one record, last op first. It returns the state as soon as a snapshot is complete
// and verified, and otherwise nil.
func scanRecord(
	snapshots map[snapshotKey]*snapshotParts, entry platform.Entry, first uint64,
) (*statemachine.State, error) {
	r, err := record.Decode(entry.Data)
	if newer := (*record.NewerSchemaError)(nil); errors.As(err, &newer) {
		return nil, fmt.Errorf("%w: offset %d has schema %d", statemachine.ErrNewerSchema, entry.Offset, newer.Schema)
	}
	if err != nil {
		return nil, nil // A malformed record has no effect on the state.
	}
	for i := len(r.Ops) - 1; i >= 0; i-- {
		parts := addOp(snapshots, r.Incarnation, r.Ops[i])
		if parts == nil || !parts.complete() {
			continue
		}
		state, err := parts.restore()
		if err != nil || state.Next() < first {
			parts.invalid, parts.chunks = true, nil
			continue
		}
		return state, nil
	}
	return nil, nil
}

// addOp adds an op to its snapshot. Parts of a snapshot whose end has not been read are skipped: because the scan goes
// backwards, that snapshot is incomplete.
func addOp(snapshots map[snapshotKey]*snapshotParts, writer string, op record.Op) *snapshotParts {
	switch {
	case op.SnapshotEnd != nil:
		key := snapshotKey{op.SnapshotEnd.Term, writer}
		if snapshots[key] == nil {
			snapshots[key] = &snapshotParts{chunks: map[int][]byte{}}
		}
		return nil
	case op.SnapshotChunk != nil:
		parts := snapshots[snapshotKey{op.SnapshotChunk.Term, writer}]
		if parts != nil && !parts.invalid {
			parts.chunks[op.SnapshotChunk.Index] = op.SnapshotChunk.Data
		}
		return parts
	case op.SnapshotBegin != nil:
		parts := snapshots[snapshotKey{op.SnapshotBegin.Term, writer}]
		if parts != nil {
			parts.begin = op.SnapshotBegin
		}
		return parts
	}
	return nil
}

// restore verifies the parts and builds the state.
func (p *snapshotParts) restore() (*statemachine.State, error) {
	var compressed bytes.Buffer
	for i := range p.begin.Chunks {
		compressed.Write(p.chunks[i])
	}
	sum := sha256.Sum256(compressed.Bytes())
	if compressed.Len() != p.begin.Bytes || hex.EncodeToString(sum[:]) != p.begin.SHA256 {
		return nil, fmt.Errorf("snapshot of term %d: checksum mismatch", p.begin.Term)
	}
	decompressor, err := gzip.NewReader(&compressed)
	if err != nil {
		return nil, fmt.Errorf("snapshot of term %d: read gzip header: %w", p.begin.Term, err)
	}
	encoded, err := io.ReadAll(io.LimitReader(decompressor, maxSnapshotBytes+1))
	if err != nil {
		return nil, fmt.Errorf("snapshot of term %d: decompress: %w", p.begin.Term, err)
	}
	if len(encoded) > maxSnapshotBytes {
		return nil, fmt.Errorf("snapshot of term %d exceeds the limit of %d bytes", p.begin.Term, maxSnapshotBytes)
	}
	state, err := statemachine.Restore(encoded)
	if err != nil {
		return nil, err
	}
	if state.Next() != p.begin.Offset {
		return nil, fmt.Errorf("snapshot of term %d: state is at offset %d, expected %d",
			p.begin.Term, state.Next(), p.begin.Offset)
	}
	return state, nil
}
