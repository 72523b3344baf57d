package dispatch

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/follow"
	"pollenlead/internal/store"
)

// sequenceStore numbers appends as the platform does: an append without records takes no sequence number.
type sequenceStore struct {
	emptyStore
	last, end int64
	refused   int
	// loseNext makes the next append return no answer.
	loseNext bool
}

func (s *sequenceStore) Append(_ context.Context, a store.Append) (int64, error) {
	if s.loseNext {
		s.loseNext = false
		return 0, store.ErrUnknown
	}
	if len(a.Records) == 0 {
		return s.end, nil
	}
	if a.Producer.Sequence != s.last+1 {
		s.refused++
		return 0, &store.SequenceError{Expected: s.last + 1}
	}
	s.last++
	s.end += int64(len(a.Records))
	return s.end - int64(len(a.Records)), nil
}

func newCommitterFixture(s *sequenceStore) *committer {
	d := newFixture(0)
	d.Store = s
	return newCommitter(d, 0)
}

var oneRecord = []store.Record{{Key: "p/1", Value: []byte("{}")}}

// TestConfirmTakesNoSequenceNumber guards against appends that are refused after each empty append, because this
// client counted a sequence number for it and the store did not.
func TestConfirmTakesNoSequenceNumber(t *testing.T) {
	is := is.New(t)
	s := &sequenceStore{}
	c := newCommitterFixture(s)
	defer c.d.stop()
	for _, records := range [][]store.Record{oneRecord, nil, nil, oneRecord, nil, oneRecord} {
		is.NoErr(c.append(t.Context(), records))
	}
	is.Equal(s.refused, 0)
	is.Equal(s.last, int64(3))
}

// TestSequenceAfterALostAnswerEndsTheTerm guards against a new sequence number for an append of which an earlier
// attempt may still be carried out under the old one. The attempt would be taken for the next append, which is then
// answered and not stored.
func TestSequenceAfterALostAnswerEndsTheTerm(t *testing.T) {
	is := is.New(t)
	s := &sequenceStore{}
	c := newCommitterFixture(s)
	defer c.d.stop()
	is.NoErr(c.append(t.Context(), oneRecord))
	s.last-- // the store numbers appends differently from this client
	s.loseNext = true
	is.True(errors.Is(c.append(t.Context(), oneRecord), errForeignRecords))
	is.NoErr(c.append(t.Context(), nil))
}

// fencedStore accepts the append that begins a term, and no other.
type fencedStore struct{ appends int }

func (s *fencedStore) Append(context.Context, store.Append) (int64, error) {
	s.appends++
	if s.appends > 1 {
		return 0, store.ErrFenced
	}
	return 0, nil
}

func (s *fencedStore) Read(ctx context.Context, _ string, _ int, _ int64, _ time.Duration) (store.Page, error) {
	<-ctx.Done()
	return store.Page{}, store.ErrUnknown
}

func (s *fencedStore) ReadNewest(context.Context, string, int, string) (store.Newest, error) {
	return store.Newest{End: 1}, nil
}

// TestTermEndsWithoutTheElection guards against a leader that has stopped working but continues to send heartbeats.
// Its term would end only when another entry instance claims leadership, which none does while heartbeats arrive.
func TestTermEndsWithoutTheElection(t *testing.T) {
	is := is.New(t)
	s := &fencedStore{}
	d := New(Options{
		Store: s, JobPartitions: 2, Follower: follow.New(s, follow.Decoder{}, zerolog.Nop()), Log: zerolog.Nop(),
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.Run(context.WithoutCancel(t.Context()))
	}()
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("Run has not returned within 20 s of the refused append")
	}
	is.Equal(s.appends, 2)
}

// TestWorkerSetIsStoredAtIntervals guards against a record of the whole set of workers in each append while instances
// move. On a fleet of 540 it was most of what a leader wrote.
func TestWorkerSetIsStoredAtIntervals(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	first := &batch{}
	d.addWorkers(first)
	is.Equal(len(first.records()), 1)
	d.storedWorkers = first.workers
	d.agent("w1").entry, d.agent("w1").contacted = d.agent("w0").entry, true
	soon := &batch{}
	d.addWorkers(soon)
	is.Equal(len(soon.records()), 0)
	d.workersAt -= workerSetInterval
	later := &batch{}
	d.addWorkers(later)
	is.Equal(len(later.records()), 1)
	is.Equal(len(later.workers), 2)
}

// lossyStore carries out appends and loses the answers of some.
type lossyStore struct {
	sequenceStore
	// lost is the number of further answers to lose, and delay the duration of the other appends.
	lost  int
	delay time.Duration
	// arrivals holds the boot clock at which each append arrived.
	arrivals []time.Duration
}

func (s *lossyStore) Append(ctx context.Context, a store.Append) (int64, error) {
	s.arrivals = append(s.arrivals, bootclock.Now())
	if s.lost > 0 {
		s.lost--
		<-ctx.Done()
		return 0, store.ErrUnknown
	}
	select {
	case <-time.After(s.delay):
		return s.sequenceStore.Append(ctx, a)
	case <-ctx.Done():
		return 0, store.ErrUnknown
	}
}

// TestLostAppendAnswerIsRetriedSoon guards against a leader that waits 1.2 s for each lost answer, and delays all
// starts and ends for as long. While the store loses a third of the answers, little would run.
func TestLostAppendAnswerIsRetriedSoon(t *testing.T) {
	is := is.New(t)
	s := &lossyStore{lost: 1}
	c := newCommitterFixture(&s.sequenceStore)
	defer c.d.stop()
	c.d.Store = s
	began := time.Now()
	is.NoErr(c.append(t.Context(), oneRecord))
	is.True(time.Since(began) < 2*minAppendTimeout)
	for range 5 { // lost answers do not extend the timeout
		s.lost = 1
		is.NoErr(c.append(t.Context(), oneRecord))
	}
	is.Equal(c.pace.Timeout(0), minAppendTimeout)
}

// TestSlowStoreGetsItsTime guards against a leader whose appends all time out at a slow store.
func TestSlowStoreGetsItsTime(t *testing.T) {
	is := is.New(t)
	s := &lossyStore{delay: 300 * time.Millisecond}
	c := newCommitterFixture(&s.sequenceStore)
	defer c.d.stop()
	c.d.Store = s
	for range 4 {
		is.NoErr(c.append(t.Context(), oneRecord))
	}
	is.True(c.pace.Timeout(0) > s.delay) // from now on the first attempt succeeds
}

// TestLateAnswerDoesNotExtendLeases guards against a leader that renews leases for longer than its successor expects.
// The answer to its last append arrives late, on a slow link or after a pause, and the successor's fence is set in
// the meantime.
func TestLateAnswerDoesNotExtendLeases(t *testing.T) {
	is := is.New(t)
	s := &lossyStore{delay: 200 * time.Millisecond}
	c := newCommitterFixture(&s.sequenceStore)
	defer c.d.stop()
	c.d.Store = s
	is.NoErr(c.append(t.Context(), oneRecord))
	is.True(c.d.lastStored <= s.arrivals[len(s.arrivals)-1])
	s.lost, s.arrivals = 1, nil
	is.NoErr(c.append(t.Context(), oneRecord))
	answered := len(s.arrivals) - 1 // the attempt that was answered counts, from its sending
	is.True(answered >= 1)
	is.True(c.d.lastStored > s.arrivals[answered-1])
	is.True(c.d.lastStored <= s.arrivals[answered])
}
