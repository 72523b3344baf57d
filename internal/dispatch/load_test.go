package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/store"
)

// crowdedStore counts how many pages of newest records are read at the same time.
type crowdedStore struct {
	idleStore
	now, most, pages atomic.Int32
}

func (s *crowdedStore) ReadNewest(context.Context, string, int, string) (store.Newest, error) {
	n := s.now.Add(1)
	defer s.now.Add(-1)
	for most := s.most.Load(); n > most && !s.most.CompareAndSwap(most, n); most = s.most.Load() {
	}
	s.pages.Add(1)
	time.Sleep(5 * time.Millisecond)
	return store.Newest{}, nil
}

// TestLoadingLeavesRoomForHeartbeats guards against a new leader that reads all partitions at once: on a narrow link the answers to its heartbeats
// came behind all of them, another entry instance claimed, and for the rest of the day nobody got to load the jobs.
func TestLoadingLeavesRoomForHeartbeats(t *testing.T) {
	is := is.New(t)
	d := newFixture(0)
	defer d.stop()
	s := &crowdedStore{}
	d.Store, d.JobPartitions = s, 16
	tails, ok := d.load(t.Context(), 0)
	is.True(ok)
	is.Equal(len(tails), 16)
	is.Equal(s.pages.Load(), int32(17)) // each partition of the jobs, and the progress
	is.True(s.most.Load() <= 3)         // the progress is read beside
}
