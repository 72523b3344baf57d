package leader

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/store"
)

var oddLeaderRecords = []string{
	"", "\x00", "null", "{}", "[]", "5", `{"holder":5}`, `{"holder":""}`, `{"holder":"x","token":-1}`,
	`{"holder":"x","token":9223372036854775807}`, `{"holder":"x","token":1e400}`, strings.Repeat("[", 200_000),
}

// TestOddLeaderRecordEndsNoTerm guards against a change of leader because of a record that no leader has written, and
// against a claim before the time that the present leader counts on: a new process that finds such a record does not
// know whether there is a leader.
func TestOddLeaderRecordEndsNoTerm(t *testing.T) {
	for _, value := range oddLeaderRecords {
		is := is.New(t)
		e := New(Options{Holder: "b", Peer: "b:1"})
		e.members.markReady()
		e.lastReadOK = true
		e.observe(store.Record{Offset: 4, Key: recordKey, Value: []byte(`{"holder":"a","peer":"a:1"}`)})
		seen := e.lastSeen
		e.observe(store.Record{Offset: 5, Key: recordKey, Value: []byte(value)})
		l, _ := e.Current()
		is.Equal(l, Leader{Holder: "a", Peer: "a:1", Token: 5})
		is.Equal(e.lastSeen, seen)
		is.Equal(e.nextOffset, int64(6))

		fresh := New(Options{Holder: "c", Peer: "c:1"})
		fresh.members.markReady()
		fresh.lastReadOK = true
		fresh.observe(store.Record{Offset: 5, Key: recordKey, Value: []byte(value)})
		fresh.lastSeen = bootclock.Now() - claimTimeout*9/10
		is.True(!fresh.mayClaim())
		fresh.lastSeen = bootclock.Now() - claimTimeout - maxClaimJitter - maxShareDelay
		is.True(fresh.mayClaim())
		fresh.observe(store.Record{Offset: 6, Key: recordKey, Value: []byte(`{"holder":"a","token":5,"released":true}`)})
		is.True(fresh.vacant())
	}
}

// TestOddRecordConfirmsNoTerm guards against a leader that takes a record of another writer for its own heartbeat, and
// so counts on a term that others may already have ended.
func TestOddRecordConfirmsNoTerm(t *testing.T) {
	is := is.New(t)
	s := &slowStore{records: []store.Record{{Key: recordKey, Value: []byte("null")}}}
	e := New(Options{Store: &lostStore{slowStore: s}, Holder: "h"})
	e.nextOffset = 0
	e.publish(Leader{Holder: "h", Token: 1}, false)
	is.True(!e.heartbeat(t.Context(), 1)) // the term is not lost either
	is.Equal(e.ConfirmedAt(), time.Duration(0))
	_, err := e.claim(t.Context())
	is.True(err != nil)
	e.store = s
	is.True(!e.heartbeat(t.Context(), 1))
	is.True(e.ConfirmedAt() > 0)
}

// TestOddMembersAreSkipped guards against leaders that hand over again and again to an entry instance that does not
// exist, and against a member that never expires.
func TestOddMembersAreSkipped(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_700_000_000_000)
	records := []store.Record{{Key: "a", Value: []byte(`{"cpu_share":0.5,"at_ms":1700000000000}`)}}
	for _, value := range []string{
		"", "\x00", "null", "5", `{"cpu_share":1e308,"at_ms":1700000000000}`, `{"cpu_share":1e400,"at_ms":1700000000000}`,
		`{"cpu_share":-1,"at_ms":1700000000000}`, `{"cpu_share":1,"at_ms":9223372036854775807}`,
		`{"cpu_share":1,"at_ms":-9223372036854775808}`, `{"cpu_share":1,"at_ms":1e400}`, `{"cpu_share":1,"at_ms":4102444800000}`,
		`{"relay":5,"at_ms":1700000000000}`, strings.Repeat(`{"a":`, 200_000),
	} {
		records = append(records, store.Record{Key: "odd", Value: []byte(value)})
	}
	records = append(records, store.Record{Value: []byte(`{"cpu_share":1,"at_ms":1700000000000}`)}) // without a key
	records = append(records, store.Record{Key: "b", Value: []byte(`{"cpu_share":0.25,"at_ms":1700000000000}`)})
	list, _ := decodeMembers(records, "a", now)
	is.Equal(list, []Member{{Name: "a", CPUShare: 0.5}, {Name: "b", CPUShare: 0.25}})
}
