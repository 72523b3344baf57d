package store

import (
	"context"
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
	g := NewBatcher(ctx, s, "topic", 0)
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
	g := NewBatcher(ctx, s, "topic", 0)
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
	g := NewBatchers(ctx, s, "topic", 3, 1)
	is.NoErr(g.Append(ctx, Record{Key: "a"}))
	is.Equal(g.choose(0), 2) // the failed partition is tried last for some time
	is.Equal(g.choose(2), 1)
}

// TestGroupsTellTheTruth guards against reporting a record as refused that may be stored in one of the partitions.
func TestGroupsTellTheTruth(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	is.Equal(NewBatchers(ctx, &brokenStore{err: ErrBusy}, "topic", 1, 0).Append(ctx, Record{}), ErrBusy)
	is.Equal(NewBatchers(ctx, &brokenStore{err: ErrUnknown}, "topic", 1, 0).Append(ctx, Record{}), ErrUnknown)
}
