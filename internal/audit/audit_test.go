package audit

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"pollenlead/internal/record"
	"pollenlead/internal/statemachine"
)

func moveResult(offset uint64, actor string, accepted bool) statemachine.Result {
	op := record.Op{InstanceMove: &record.InstanceMove{
		Instance: "w-" + strconv.FormatUint(offset, 10), From: "a", To: "b", Actor: actor,
	}}
	renew := record.Op{SessionRenew: &record.SessionRenew{}}
	return statemachine.Result{
		Offset: offset,
		Record: record.Record{
			Writer: "entry-1", Incarnation: "x", Seq: offset + 1, AtUnixMS: 1000, Ops: []record.Op{op, renew},
		},
		Outcomes: []statemachine.Outcome{
			{Kind: op.Kind(), Accepted: accepted, Reason: statemachine.ReasonStalePool},
			{Kind: renew.Kind(), Accepted: true},
		},
	}
}

// TestTrailKeepsNewestChanges guards against a trail that grows without bound, drops the newest entries, or records
// routine renewals.
func TestTrailKeepsNewestChanges(t *testing.T) {
	is := is.New(t)
	trail := NewTrail(10)
	for offset := range uint64(100) {
		trail.Observe(moveResult(offset, "alice", true))
	}
	entries := trail.Select(Query{})
	is.True(len(entries) >= 10 && len(entries) <= 20)
	is.Equal(entries[len(entries)-1].Offset, uint64(99))
	is.Equal(trail.Select(Query{Limit: 1})[0].Object, "w-99")
}

// TestEntriesCarryActorAndReason guards against a rejected change that is recorded as accepted, and against an entry
// without its actor.
func TestEntriesCarryActorAndReason(t *testing.T) {
	is := is.New(t)
	trail := NewTrail(10)
	trail.Observe(moveResult(1, "alice", false))
	trail.Observe(moveResult(2, "bob", true))
	found := trail.Select(Query{Actor: "alice"})
	is.Equal(len(found), 1)
	is.Equal(found[0].Accepted, false)
	is.Equal(found[0].Reason, statemachine.ReasonStalePool)
	is.Equal(len(trail.Select(Query{Object: "w-2"})), 1)
}
