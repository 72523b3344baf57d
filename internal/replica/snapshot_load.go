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
	// maxSnapshotBytes bounds an unpacked snapshot. It is half of the 128 MB that control may use.
	maxSnapshotBytes = 64 << 20
)

// snapshotKey names one attempt to write a snapshot; two writers may try the same term.
type snapshotKey struct {
	term   uint64
	writer string
}

// snapshotParts gathers a snapshot during the backward scan.
type snapshotParts struct {
	begin  *record.SnapshotBegin
	chunks map[int][]byte
	bad    bool
}

// complete reports whether all parts were seen.
func (p *snapshotParts) complete() bool {
	return !p.bad && p.begin != nil && len(p.chunks) >= p.begin.Chunks
}

// loadSnapshot scans backwards from the end of the log for the newest complete snapshot that can be verified. It returns
// the first offset kept by the log, and no state if there is no usable snapshot.
func loadSnapshot(ctx context.Context, s Source) (*statemachine.State, uint64, error) {
	first, next, err := bounds(ctx, s)
	if err != nil {
		return nil, 0, err
	}
	found := map[snapshotKey]*snapshotParts{}
	for hi := next; hi > first; {
		lo := max(first, hi-min(hi, scanBlock))
		entries, err := readRange(ctx, s, lo, hi)
		if err != nil {
			return nil, 0, err
		}
		for i := len(entries) - 1; i >= 0; i-- {
			state, err := scanRecord(found, entries[i], first)
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

// bounds returns the oldest offset kept and the offset of the next append.
func bounds(ctx context.Context, s Source) (first, next uint64, err error) {
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

// scanRecord adds the snapshot ops of one record, the last op first, and returns the state of a snapshot that is complete.
func scanRecord(found map[snapshotKey]*snapshotParts, entry platform.Entry, first uint64) (*statemachine.State, error) {
	r, err := record.Decode(entry.Data)
	if newer := (*record.NewerSchemaError)(nil); errors.As(err, &newer) {
		return nil, fmt.Errorf("%w: offset %d has schema %d", statemachine.ErrNewerSchema, entry.Offset, newer.Schema)
	}
	if err != nil {
		return nil, nil // A malformed record has no effect on the state either.
	}
	for i := len(r.Ops) - 1; i >= 0; i-- {
		parts := addOp(found, r.Incarnation, r.Ops[i])
		if parts == nil || !parts.complete() {
			continue
		}
		state, err := parts.restore()
		if err != nil || state.Next() < first {
			parts.bad, parts.chunks = true, nil
			continue
		}
		return state, nil
	}
	return nil, nil
}

// addOp adds an op to the snapshot that it belongs to. Parts of a snapshot whose end was not seen are skipped: the scan
// goes backwards, so that snapshot is not complete.
func addOp(found map[snapshotKey]*snapshotParts, writer string, op record.Op) *snapshotParts {
	switch {
	case op.SnapshotEnd != nil:
		key := snapshotKey{op.SnapshotEnd.Term, writer}
		if found[key] == nil {
			found[key] = &snapshotParts{chunks: map[int][]byte{}}
		}
		return nil
	case op.SnapshotChunk != nil:
		parts := found[snapshotKey{op.SnapshotChunk.Term, writer}]
		if parts != nil && !parts.bad {
			parts.chunks[op.SnapshotChunk.Index] = op.SnapshotChunk.Data
		}
		return parts
	case op.SnapshotBegin != nil:
		parts := found[snapshotKey{op.SnapshotBegin.Term, writer}]
		if parts != nil {
			parts.begin = op.SnapshotBegin
		}
		return parts
	}
	return nil
}

// restore verifies the parts and builds the state.
func (p *snapshotParts) restore() (*statemachine.State, error) {
	var packed bytes.Buffer
	for i := range p.begin.Chunks {
		packed.Write(p.chunks[i])
	}
	sum := sha256.Sum256(packed.Bytes())
	if packed.Len() != p.begin.Bytes || hex.EncodeToString(sum[:]) != p.begin.SHA256 {
		return nil, fmt.Errorf("snapshot of term %d: checksum mismatch", p.begin.Term)
	}
	unpacker, err := gzip.NewReader(&packed)
	if err != nil {
		return nil, fmt.Errorf("snapshot of term %d: %w", p.begin.Term, err)
	}
	encoded, err := io.ReadAll(io.LimitReader(unpacker, maxSnapshotBytes+1))
	if err != nil {
		return nil, fmt.Errorf("snapshot of term %d: %w", p.begin.Term, err)
	}
	if len(encoded) > maxSnapshotBytes {
		return nil, fmt.Errorf("snapshot of term %d exceeds %d bytes", p.begin.Term, maxSnapshotBytes)
	}
	state, err := statemachine.Restore(encoded)
	if err != nil {
		return nil, err
	}
	if state.Next() != p.begin.Offset {
		return nil, fmt.Errorf("snapshot of term %d: state at offset %d, declared %d", p.begin.Term, state.Next(), p.begin.Offset)
	}
	return state, nil
}
