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

// sequenceStore numbers appends as the platform does: one without records takes no number.
type sequenceStore struct {
	idleStore
	last, end int64
	refused   int
	// lose makes the next append go without an answer.
	lose bool
}

func (s *sequenceStore) Append(_ context.Context, a store.Append) (int64, error) {
	if s.lose {
		s.lose = false
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
	return newCommitter(d)
}

var oneRecord = []store.Record{{Key: "p/1", Value: []byte("{}")}}

// TestConfirmTakesNoNumber guards against appends that are refused after each empty one: its number is not counted by the store.
func TestConfirmTakesNoNumber(t *testing.T) {
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

// TestSequenceAfterALostAnswerEndsTheTerm guards against a new number for an append of which an earlier try may still be carried out under the
// old one: it would be taken for the next append, which is then answered and not stored.
func TestSequenceAfterALostAnswerEndsTheTerm(t *testing.T) {
	is := is.New(t)
	s := &sequenceStore{}
	c := newCommitterFixture(s)
	defer c.d.stop()
	is.NoErr(c.append(t.Context(), oneRecord))
	s.last-- // the store counts in another way than this client
	s.lose = true
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

// TestTermEndsWithoutTheElection guards against a leader whose work has ended and that goes on sending heartbeats: its term ended only when
// another had claimed, which none does while there are heartbeats.
func TestTermEndsWithoutTheElection(t *testing.T) {
	is := is.New(t)
	s := &fencedStore{}
	d := New(Options{Store: s, JobPartitions: 2, Follower: follow.New(s, follow.Decoder{}, zerolog.Nop()), Log: zerolog.Nop()})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.Run(context.WithoutCancel(t.Context()))
	}()
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("the leader's work has not ended")
	}
	is.Equal(s.appends, 2)
}

// TestSetOfWorkersIsStoredSeldom guards against a record of the whole set of workers with each append while instances move: on a fleet of 540
// it was most of what a leader wrote.
func TestSetOfWorkersIsStoredSeldom(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	first := &batch{}
	d.addWorkers(first)
	is.Equal(len(first.records), 1)
	d.storedWorkers = first.workers
	d.agent("w1").entry, d.agent("w1").contacted = d.agent("w0").entry, true
	soon := &batch{}
	d.addWorkers(soon)
	is.Equal(len(soon.records), 0)
	d.workersAt -= workersInterval
	later := &batch{}
	d.addWorkers(later)
	is.Equal(len(later.records), 1)
	is.Equal(len(later.workers), 2)
}

// losingStore carries out appends and loses the answers of some.
type losingStore struct {
	sequenceStore
	// lost is how many more answers are lost, and delay how long the others take.
	lost  int
	delay time.Duration
}

func (s *losingStore) Append(ctx context.Context, a store.Append) (int64, error) {
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

// TestLostAnswerOfAnAppendShowsSoon guards against a leader that waits 1.2 s for each lost answer, and with it all starts and ends: while the
// store loses a third of them, little runs.
func TestLostAnswerOfAnAppendShowsSoon(t *testing.T) {
	is := is.New(t)
	s := &losingStore{lost: 1}
	c := newCommitterFixture(&s.sequenceStore)
	defer c.d.stop()
	c.d.Store = s
	began := time.Now()
	is.NoErr(c.append(t.Context(), oneRecord))
	is.True(time.Since(began) < 2*leastAppendTimeout)
	for range 5 { // lost answers do not make it more patient
		s.lost = 1
		is.NoErr(c.append(t.Context(), oneRecord))
	}
	is.Equal(c.pace.Timeout(0), leastAppendTimeout)
}

// TestSlowStoreGetsItsTime guards against a leader that gives up each append at a slow store.
func TestSlowStoreGetsItsTime(t *testing.T) {
	is := is.New(t)
	s := &losingStore{delay: 300 * time.Millisecond}
	c := newCommitterFixture(&s.sequenceStore)
	defer c.d.stop()
	c.d.Store = s
	for range 4 {
		is.NoErr(c.append(t.Context(), oneRecord))
	}
	is.True(c.pace.Timeout(0) > s.delay) // the first try is enough from now on
}

// TestLateAnswerRenewsNothing guards against a leader that renews leases beyond what its successor counts with: the answer to its last append has
// arrived late, behind a narrow link or after a pause, and the fence was set meanwhile.
func TestLateAnswerRenewsNothing(t *testing.T) {
	is := is.New(t)
	s := &losingStore{delay: 200 * time.Millisecond}
	c := newCommitterFixture(&s.sequenceStore)
	defer c.d.stop()
	c.d.Store = s
	sent := bootclock.Now()
	is.NoErr(c.append(t.Context(), oneRecord))
	is.True(c.d.lastStored < sent+s.delay/2)
	s.lost = 1
	sent = bootclock.Now()
	is.NoErr(c.append(t.Context(), oneRecord)) // the try that was answered counts
	is.True(c.d.lastStored >= sent+leastAppendTimeout)
	is.True(c.d.lastStored < sent+leastAppendTimeout+s.delay)
}
