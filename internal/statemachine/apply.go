package statemachine

import (
	"errors"
	"fmt"

	"pollenlead/internal/record"
)

// ErrNewerSchema is returned for a record with a newer schema than this binary supports. The state machine must stop at
// such a record, because an older binary cannot interpret it.
var ErrNewerSchema = errors.New("record of a newer schema")

// ErrOffset is returned for a record that is applied out of order.
var ErrOffset = errors.New("record out of order")

// Result is the result of applying one record.
type Result struct {
	Offset    uint64
	Record    record.Record
	Malformed bool
	// Duplicate reports that a record with the same or a later sequence number of the incarnation was applied before, so
	// this record changed nothing.
	Duplicate bool
	// Outcomes contains one entry per op.
	Outcomes []Outcome
}

// Apply applies the record at offset. The only errors are ErrNewerSchema and ErrOffset; both leave the state unchanged.
func (s *State) Apply(offset uint64, encoded []byte) (Result, error) {
	if offset != s.d.Next {
		return Result{}, fmt.Errorf("%w: got offset %d, want %d", ErrOffset, offset, s.d.Next)
	}
	r, err := record.Decode(encoded)
	if newer := (*record.NewerSchemaError)(nil); errors.As(err, &newer) {
		return Result{}, fmt.Errorf("%w: offset %d has schema %d", ErrNewerSchema, offset, newer.Schema)
	}
	s.d.Next = offset + 1
	if err != nil {
		s.d.MalformedCount++
		return Result{Offset: offset, Malformed: true}, nil
	}
	return s.applyRecord(offset, r), nil
}

// SkipTo advances to a later offset and skips offsets that have no record in the log, such as those of a log that was
// trimmed before its first record.
func (s *State) SkipTo(offset uint64) {
	s.d.Next = max(s.d.Next, offset)
}

func (s *State) applyRecord(offset uint64, r record.Record) Result {
	result := Result{Offset: offset, Record: r}
	if !s.advanceSeq(r) {
		result.Duplicate = true
		return result
	}
	s.nextOffset = s.d.Next
	for _, op := range r.Ops {
		outcome := s.applyOp(offset, r, op)
		outcome.Kind = op.Kind()
		result.Outcomes = append(result.Outcomes, outcome)
	}
	if session, ok := s.d.Sessions[r.Incarnation]; ok {
		session.Seq = r.Seq
	}
	s.endCompletedWaves()
	s.grantFreeCapacity()
	return result
}

// advanceSeq reports whether the record is newer than every applied record of its incarnation.
func (s *State) advanceSeq(r record.Record) bool {
	if session, ok := s.d.Sessions[r.Incarnation]; ok {
		return r.Seq > session.Seq
	}
	for _, closed := range s.d.ClosedSessions {
		if closed.Holder == r.Incarnation {
			return r.Seq > closed.Seq
		}
	}
	return true
}

func (s *State) applyOp(offset uint64, r record.Record, op record.Op) Outcome {
	if op.SessionOpen != nil {
		return s.openSession(offset, r, *op.SessionOpen)
	}
	session, ok := s.d.Sessions[r.Incarnation]
	if !ok {
		return rejected(ReasonSessionNotOpen, "%s has no open session", r.Incarnation)
	}
	switch {
	case op.SessionRenew != nil:
		session.LastRenewal = offset
		return accepted()
	case op.SessionClose != nil:
		return s.closeSession(session, r.Seq)
	case op.SessionRevoke != nil:
		return s.revokeSession(session, *op.SessionRevoke)
	case op.ConfigPublish != nil:
		return s.publishConfig(offset, *op.ConfigPublish)
	case op.Demand != nil:
		return s.setDemand(session, *op.Demand)
	case op.Release != nil:
		return s.release(session, *op.Release)
	case op.InstancesReport != nil:
		return s.reportInstances(*op.InstancesReport)
	case op.InstanceMove != nil:
		return s.moveInstance(*op.InstanceMove)
	case op.JobAccept != nil:
		return s.acceptJob(session, *op.JobAccept)
	case op.JobStart != nil:
		return s.startJob(session, *op.JobStart)
	case op.JobFinish != nil:
		return s.finishJob(session, *op.JobFinish)
	case op.JobCancel != nil:
		return s.cancelJobs(*op.JobCancel)
	case op.JobForget != nil:
		return s.forgetJobs(*op.JobForget)
	case op.RequestClaim != nil:
		return s.claimRequest(session, *op.RequestClaim)
	case op.RequestSettle != nil:
		return s.settleRequest(session, *op.RequestSettle)
	case op.ClaimsForget != nil:
		return s.forgetClaims(*op.ClaimsForget)
	case isWaveOp(op):
		return s.applyWaveOp(offset, op)
	default:
		return s.applySnapshotOp(offset, session, op)
	}
}
