package leader

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"pollenlead/internal/store"
)

// memoryStore keeps the records of partition 0 of each topic in memory. A read does not wait for a record.
type memoryStore struct {
	mu     sync.Mutex
	topics map[string][]store.Record
}

func (s *memoryStore) Append(_ context.Context, a store.Append) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(s.topics[a.Topic]))
	if a.At != nil && *a.At != end {
		return 0, &store.EndMismatchError{End: end}
	}
	for n, r := range a.Records {
		r.Offset = end + int64(n)
		s.topics[a.Topic] = append(s.topics[a.Topic], r)
	}
	return end, nil
}

func (s *memoryStore) Read(
	_ context.Context, topic string, _ int, from int64, wait time.Duration,
) (store.Page, error) {
	time.Sleep(min(wait, 10*time.Millisecond))
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[topic]
	if from > int64(len(records)) {
		return store.Page{}, errors.New("read beyond the end")
	}
	return store.Page{Records: records[from:], End: int64(len(records))}, nil
}

func (s *memoryStore) ReadNewest(_ context.Context, topic string, _ int, _ string) (store.Newest, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string]store.Record{}
	for _, r := range s.topics[topic] {
		newest[r.Key] = r
	}
	page := store.Newest{End: int64(len(s.topics[topic]))}
	for _, r := range newest {
		page.Records = append(page.Records, r)
	}
	return page, nil
}

// largeAnnouncement is an append of the member record of a large entry instance.
func largeAnnouncement() store.Append {
	value := fmt.Appendf(nil, `{"cpu_share":4,"at_ms":%d}`, time.Now().UnixMilli())
	return store.Append{Topic: "members", Records: []store.Record{{Key: "large", Value: value}}}
}

// TestKilledInstanceGetsNoHandOver guards against a leader that gives up its term again and again for a larger entry
// instance that was killed, and of which only the member record is left.
func TestKilledInstanceGetsNoHandOver(t *testing.T) {
	is := is.New(t)
	s := &memoryStore{topics: map[string][]store.Record{}}
	_, err := s.Append(t.Context(), largeAnnouncement())
	is.NoErr(err)
	var terms atomic.Int64
	e := New(Options{
		Store: s, Topic: "leader", MemberTopic: "members", Name: "small", Holder: "small/1", Peer: "small:1", CPUShare: 1,
		Lead: func(ctx context.Context, _ int64) {
			terms.Add(1)
			<-ctx.Done()
		},
		Log: zerolog.Nop(),
	})
	ctx, cancel := context.WithTimeout(t.Context(), secondReadDelay+maxShareDelay+2*minTermBeforeHandOver)
	defer cancel()
	e.Run(ctx)
	is.Equal(terms.Load(), int64(1))
}

// TestLeaderHandsOverToARunningInstance guards against a small leader that keeps its term although a larger entry
// instance runs, and against an announcement of an earlier term that counts in a later one.
func TestLeaderHandsOverToARunningInstance(t *testing.T) {
	is := is.New(t)
	s := &memoryStore{topics: map[string][]store.Record{}}
	e := New(Options{Store: s, MemberTopic: "members", Name: "small", CPUShare: 1, Log: zerolog.Nop()})
	announce := func() {
		_, err := s.Append(t.Context(), largeAnnouncement())
		is.NoErr(err)
	}
	refresh := func() {
		_, err := e.members.refresh(t.Context())
		is.NoErr(err)
	}
	announce()
	for range 2 {
		e.members.setLeading(true)
		refresh()
		is.True(!e.members.mayHandOver())
		announce()
		refresh()
		is.True(e.members.mayHandOver())
		e.members.setLeading(false)
		refresh()
		is.True(!e.members.mayHandOver())
	}
}

// TestSmallLeaderHandsOverSoon guards against a small leader that keeps its term until the next regular announcements
// of larger entry instances, although they run: with a saturated processor it starts hardly anything meanwhile.
func TestSmallLeaderHandsOverSoon(t *testing.T) {
	is := is.New(t)
	s := &memoryStore{topics: map[string][]store.Record{}}
	options := func(name string, share float64, lead Lead) Options {
		return Options{
			Store: s, Topic: "leader", MemberTopic: "members", Name: name, Holder: name + "/1", Peer: name + ":1",
			CPUShare: share, Lead: lead, Log: zerolog.Nop(),
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	began := time.Now()
	large := New(options("large", 4, nil))
	go large.members.run(ctx)
	go func() {
		for ctx.Err() == nil {
			_ = large.readChain(ctx)
		}
	}()
	for !large.members.known() {
		time.Sleep(time.Millisecond)
	}
	ended := make(chan time.Duration, 1)
	small := New(options("small", 1, func(ctx context.Context, _ int64) {
		<-ctx.Done()
		ended <- time.Since(began)
	}))
	go small.Run(ctx)
	is.True(<-ended < memberInterval)
}
