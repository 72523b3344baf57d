package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowStore blocks each append until release is closed, and counts the appends.
type slowStore struct {
	mu      sync.Mutex
	calls   int
	records int
	release chan struct{}
}

func (s *slowStore) Append(_ context.Context, a Append) (int64, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.records += len(a.Records)
	return 0, nil
}

func (s *slowStore) Read(context.Context, string, int, int64, time.Duration) (Page, error) {
	return Page{}, nil
}

func (s *slowStore) ReadNewest(context.Context, string, int, string) (Newest, error) {
	return Newest{}, nil
}

// TestBatcherBatchesAppends guards against one append per record while the store is slow: a partition processes its
// appends one after another, and single ones queued up until the store refused them.
func TestBatcherBatchesAppends(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	s := &slowStore{release: make(chan struct{})}
	g := NewBatcher(ctx, s, DefaultLimits, "topic", 0)
	const records = 20
	var waiting sync.WaitGroup
	errs := make([]error, records)
	for i := range records {
		waiting.Go(func() { errs[i] = g.Append(ctx, Record{Key: fmt.Sprint(i)}) })
	}
	close(s.release)
	waiting.Wait()
	for _, err := range errs {
		is.NoErr(err)
	}
	is.Equal(s.records, records)
	is.True(s.calls <= records)
}

// TestBatcherCancelledWaitIsUnknown guards against reporting that a record was not stored although it may be, when
// the caller stops waiting.
func TestBatcherCancelledWaitIsUnknown(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	s := &slowStore{release: make(chan struct{})}
	g := NewBatcher(ctx, s, DefaultLimits, "topic", 0)
	short, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	is.Equal(g.Append(short, Record{Key: "k"}), ErrUnknown)
	close(s.release)
}

// brokenStore fails the appends to one partition with err.
type brokenStore struct {
	slowStore
	broken int
	err    error
}

func (s *brokenStore) Append(ctx context.Context, a Append) (int64, error) {
	if a.Partition == s.broken {
		return 0, s.err
	}
	return s.slowStore.Append(ctx, a)
}

// TestGroupsSkipFailedPartition guards against refusing a job because one partition of the store is unavailable.
func TestGroupsSkipFailedPartition(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	s := &brokenStore{slowStore: slowStore{release: make(chan struct{})}, broken: 1, err: ErrUnknown}
	close(s.release)
	g := NewBatchers(ctx, s, DefaultLimits, "topic", 3, 1)
	is.NoErr(g.Append(ctx, Record{Key: "a"}))
	is.Equal(g.choose(0), 2) // the failed partition is tried last for some time
	is.Equal(g.choose(2), 1)
}

// TestGroupsTellTheTruth guards against reporting a record as refused that may be stored in one of the partitions.
func TestGroupsTellTheTruth(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for _, err := range []error{ErrBusy, ErrUnknown, ErrRefused} {
		is.Equal(NewBatchers(ctx, &brokenStore{err: err}, DefaultLimits, "topic", 1, 0).Append(ctx, Record{}), err)
	}
}

// sizedStore refuses appends over its limits, as the platform does, and counts the records that it stores.
type sizedStore struct {
	slowStore
	limits Limits
	odd    string // key that is refused for another reason
}

func (s *sizedStore) Append(ctx context.Context, a Append) (int64, error) {
	size := 0
	for _, r := range a.Records {
		size += r.CallSize()
		if !s.limits.Fits(r) || r.Key == s.odd {
			return 0, ErrRefused
		}
	}
	if size > s.limits.Call {
		return 0, ErrRefused
	}
	return s.slowStore.Append(ctx, a)
}

// TestRefusedRecordFailsAlone guards against submissions that are refused, or whose outcome is reported as unknown,
// because a record in the same append exceeds the store's limits or all of them together do.
func TestRefusedRecordFailsAlone(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	limits := Limits{Record: 1000, Call: 3000}
	s := &sizedStore{slowStore: slowStore{release: make(chan struct{})}, limits: limits, odd: "3"}
	g := NewBatchers(ctx, s, limits, "topic", 2, 0)
	const records = 30
	var waiting sync.WaitGroup
	errs := make([]error, records)
	for i := range records {
		size := 900
		if i == 7 {
			size = 1200
		}
		waiting.Go(func() { errs[i] = g.Append(ctx, Record{Key: fmt.Sprint(i), Value: make([]byte, size)}) })
	}
	// The oversized record is not queued, and the odd one may have been refused already.
	for g.partitions[0].pending.Load()+g.partitions[1].pending.Load() < records-2 {
		time.Sleep(time.Millisecond)
	}
	close(s.release)
	waiting.Wait()
	for i, err := range errs {
		is.Equal(err != nil, i == 3 || i == 7)
		is.Equal(errors.Is(err, ErrRefused), i == 3 || i == 7)
	}
	is.Equal(s.records, records-2)
}

// TestRecordsOfOneCallStayTogether guards against an acknowledged group of records of which only a part is stored: a
// leader of another version may read the missing one alone.
func TestRecordsOfOneCallStayTogether(t *testing.T) {
	is := is.New(t)
	limits := Limits{Record: 1000, Call: 3000}
	s := &sizedStore{slowStore: slowStore{release: make(chan struct{})}, limits: limits, odd: "bad"}
	close(s.release)
	g := NewBatchers(t.Context(), s, limits, "topic", 1, 0)
	is.NoErr(g.Append(t.Context(), Record{Key: "a"}, Record{Key: "b"}))
	is.Equal(s.records, 2)
	is.True(errors.Is(g.Append(t.Context(), Record{Key: "c"}, Record{Key: "bad"}), ErrRefused))
	is.True(errors.Is(g.Append(t.Context(), Record{Key: "c"}, Record{Value: make([]byte, 1200)}), ErrRefused))
	is.True(errors.Is(g.Append(t.Context(), []Record{
		{Value: make([]byte, 900)}, {Value: make([]byte, 900)}, {Value: make([]byte, 900)}, {Value: make([]byte, 900)},
	}...), ErrRefused))
	is.Equal(s.records, 2)
}
