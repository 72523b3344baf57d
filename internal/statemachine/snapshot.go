package statemachine

import "pollenlead/internal/record"

// SnapshotProgress describes a snapshot in the log: the offset that it covers, the session that writes it, and the
// offsets of its first and last record.
type SnapshotProgress struct {
	Term   uint64 `json:"term"`
	Holder string `json:"holder"`
	// Offset is the offset of the first record that the snapshot does not cover.
	Offset  uint64 `json:"offset"`
	Chunks  int    `json:"chunks"`
	Written int    `json:"written"`
	BeginAt uint64 `json:"begin_at"`
	EndAt   uint64 `json:"end_at,omitempty"`
}

// CompleteSnapshot returns the newest complete snapshot.
func (s *State) CompleteSnapshot() (SnapshotProgress, bool) {
	if s.d.WholeSnapshot == nil {
		return SnapshotProgress{}, false
	}
	return *s.d.WholeSnapshot, true
}

// SnapshotTerm returns the term of the newest snapshot that was begun.
func (s *State) SnapshotTerm() uint64 { return s.d.SnapshotTerm }

func (s *State) applySnapshotOp(offset uint64, session *Session, op record.Op) Outcome {
	switch {
	case op.SnapshotBegin != nil:
		return s.beginSnapshot(offset, session, *op.SnapshotBegin)
	case op.SnapshotChunk != nil:
		return s.addSnapshotChunk(session, *op.SnapshotChunk)
	default:
		return s.endSnapshot(offset, session, *op.SnapshotEnd)
	}
}

func (s *State) beginSnapshot(offset uint64, session *Session, op record.SnapshotBegin) Outcome {
	if op.Term != s.d.SnapshotTerm+1 {
		return rejected(ReasonStaleTerm, "the last term is %d", s.d.SnapshotTerm)
	}
	if op.Chunks < 1 || op.Offset > offset {
		return rejected(ReasonInvalid, "%d chunks up to offset %d", op.Chunks, op.Offset)
	}
	s.d.SnapshotTerm = op.Term
	s.d.Snapshot = &SnapshotProgress{
		Term: op.Term, Holder: session.Holder, Offset: op.Offset, Chunks: op.Chunks, BeginAt: offset,
	}
	return accepted()
}

func (s *State) addSnapshotChunk(session *Session, op record.SnapshotChunk) Outcome {
	p := s.d.Snapshot
	if p == nil || p.Term != op.Term || p.Holder != session.Holder {
		return rejected(ReasonStaleTerm, "term %d is not being written by %s", op.Term, session.Holder)
	}
	if op.Index != p.Written || op.Index >= p.Chunks {
		return rejected(ReasonInvalid, "chunk %d, expected %d of %d", op.Index, p.Written, p.Chunks)
	}
	p.Written++
	return accepted()
}

func (s *State) endSnapshot(offset uint64, session *Session, op record.SnapshotEnd) Outcome {
	p := s.d.Snapshot
	if p == nil || p.Term != op.Term || p.Holder != session.Holder {
		return rejected(ReasonStaleTerm, "term %d is not being written by %s", op.Term, session.Holder)
	}
	if p.Written != p.Chunks {
		return rejected(ReasonInvalid, "%d of %d chunks were written", p.Written, p.Chunks)
	}
	p.EndAt = offset
	s.d.WholeSnapshot, s.d.Snapshot = p, nil
	return accepted()
}
