package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/store"
)

// concurrentReadStore counts how many pages of newest records are read concurrently.
type concurrentReadStore struct {
	emptyStore
	current, peak, pages atomic.Int32
}

func (s *concurrentReadStore) ReadNewest(context.Context, string, int, string) (store.Newest, error) {
	n := s.current.Add(1)
	defer s.current.Add(-1)
	for most := s.peak.Load(); n > most && !s.peak.CompareAndSwap(most, n); most = s.peak.Load() {
	}
	s.pages.Add(1)
	time.Sleep(5 * time.Millisecond)
	return store.Newest{}, nil
}

// TestLoadingLeavesRoomForHeartbeats guards against a new leader that reads all partitions at once. On a slow link
// the answers to its heartbeats arrived after all records, another entry instance claimed leadership, and no leader
// loaded the jobs for the rest of the day.
func TestLoadingLeavesRoomForHeartbeats(t *testing.T) {
	is := is.New(t)
	d := newFixture(0)
	defer d.stop()
	s := &concurrentReadStore{}
	d.Store, d.JobPartitions = s, 16
	tails, ok := d.load(t.Context(), 0)
	is.True(ok)
	is.Equal(len(tails), 16)
	is.Equal(s.pages.Load(), int32(17)) // each partition of the jobs, and the progress
	is.True(s.peak.Load() <= 3)         // the progress is read concurrently
}
