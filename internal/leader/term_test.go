package leader

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/store"
)

// slowStore stores records whose appends get no answer, as a store does that answers after the timeout of the call.
type slowStore struct {
	store.Store
	records []store.Record
}

func (s *slowStore) Append(_ context.Context, a store.Append) (int64, error) {
	r := a.Records[0]
	r.Offset = int64(len(s.records))
	s.records = append(s.records, r)
	return 0, store.ErrUnknown
}

func (s *slowStore) Read(_ context.Context, _ string, _ int, from int64, _ time.Duration) (store.Page, error) {
	return store.Page{Records: s.records[from:], End: int64(len(s.records))}, nil
}

// TestUnansweredHeartbeatConfirmsTheTerm guards against a leader that gives no order to instances for seconds while a
// slow store accepts its heartbeats, but answers them too late.
func TestUnansweredHeartbeatConfirmsTheTerm(t *testing.T) {
	is := is.New(t)
	s := &slowStore{}
	e := New(Options{Store: s, Holder: "h"})
	e.nextOffset = 0
	e.publish(Leader{Holder: "h", Token: 1}, false)
	before := e.ConfirmedAt()
	is.True(!e.heartbeat(t.Context(), 1))
	first := e.ConfirmedAt()
	is.True(first > before)
	time.Sleep(2 * time.Millisecond)
	is.True(!e.heartbeat(t.Context(), 1))
	is.True(e.ConfirmedAt() > first)
}

// TestLateHeartbeatConfirmsFromItsSending guards against a leader that takes a heartbeat that was carried out late for
// the one that it has sent since, and so gives orders although another entry instance may have claimed.
func TestLateHeartbeatConfirmsFromItsSending(t *testing.T) {
	is := is.New(t)
	s := &slowStore{}
	e := New(Options{Store: s, Holder: "h"})
	e.nextOffset = 0
	e.publish(Leader{Holder: "h", Token: 1}, false)
	e.store = &lostStore{slowStore: s}
	is.True(!e.heartbeat(t.Context(), 1)) // sent, not carried out yet
	sent := e.unconfirmedSince
	is.Equal(e.ConfirmedAt(), time.Duration(0))
	e.store = s
	time.Sleep(5 * time.Millisecond)
	is.True(!e.heartbeat(t.Context(), 1))
	is.Equal(e.ConfirmedAt(), sent)
}

// lostStore loses every append.
type lostStore struct{ *slowStore }

func (*lostStore) Append(context.Context, store.Append) (int64, error) { return 0, store.ErrUnknown }

// TestNoteEndsWithTheTerm guards against entry instances that go on with what a former leader told them, and against a
// note that does not arrive with the heartbeat.
func TestNoteEndsWithTheTerm(t *testing.T) {
	is := is.New(t)
	s := &slowStore{}
	note := json.RawMessage(`{"queue":{}}`)
	leader := New(Options{Store: s, Holder: "h", Note: func() json.RawMessage { return note }})
	leader.nextOffset = 0
	leader.publish(Leader{Holder: "h", Token: 1}, false)
	is.True(!leader.heartbeat(t.Context(), 1))
	other := New(Options{Store: s, Holder: "o"})
	other.nextOffset, other.lastReadOK = 0, true
	is.NoErr(other.readChain(t.Context()))
	read, age := other.Note()
	is.Equal(read, note)
	is.True(age < time.Second)
	time.Sleep(5 * time.Millisecond)
	_, later := other.Note()
	is.True(later > age) // it grows old without further heartbeats
	_, _ = other.claim(t.Context())
	read, _ = other.Note()
	is.Equal(read, nil)
}

// ReadNewest returns the newest record, as all have one key.
func (s *slowStore) ReadNewest(context.Context, string, int, string) (store.Newest, error) {
	return store.Newest{Records: s.records[len(s.records)-1:], End: int64(len(s.records))}, nil
}

// TestNoteOfUnknownAgeIsNotUsed guards against an entry instance that refuses work by the last note of a leader that is
// gone, because it has just started or was cut off from the store while the note was written.
func TestNoteOfUnknownAgeIsNotUsed(t *testing.T) {
	is := is.New(t)
	s := &slowStore{}
	note := json.RawMessage(`{"queue":{}}`)
	leader := New(Options{Store: s, Holder: "h", Note: func() json.RawMessage { return note }})
	leader.nextOffset = 0
	leader.publish(Leader{Holder: "h", Token: 1}, false)
	is.True(!leader.heartbeat(t.Context(), 1))

	started := New(Options{Store: s, Holder: "s"})
	is.NoErr(started.readChain(t.Context()))
	read, _ := started.Note()
	is.Equal(read, nil)

	cutOff := New(Options{Store: s, Holder: "c"})
	cutOff.nextOffset = 0 // Run has noted a failed read
	is.NoErr(cutOff.readChain(t.Context()))
	read, _ = cutOff.Note()
	is.Equal(read, nil)

	for _, e := range []*Election{started, cutOff} {
		is.True(!leader.heartbeat(t.Context(), 1))
		is.NoErr(e.readChain(t.Context()))
		read, _ = e.Note()
		is.Equal(read, note) // the next heartbeat is fresh
	}
}
