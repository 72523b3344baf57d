package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pollenlead/internal/store"
)

// partitions is a store that keeps the sequence number of each producer in each partition. The partitions for which
// failing is set return that error, and those for which silent is set never answer.
type partitions struct {
	store.Store
	mu      sync.Mutex
	last    map[string]int64
	calls   int
	failing map[replica]error
	silent  map[replica]bool
}

func newPartitions() *partitions {
	return &partitions{last: map[string]int64{}, failing: map[replica]error{}, silent: map[replica]bool{}}
}

func (s *partitions) Append(ctx context.Context, a store.Append) (int64, error) {
	p := replica{a.Topic, a.Partition}
	s.mu.Lock()
	s.calls++
	silent := s.silent[p]
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return 0, store.ErrUnknown
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.failing[p]; err != nil {
		return 0, err
	}
	key := fmt.Sprint(p, a.Producer.Name)
	last, known := s.last[key]
	if known && last != a.Producer.Sequence {
		return 0, &store.SequenceError{Expected: last + 1}
	}
	s.last[key] = a.Producer.Sequence
	return 0, nil
}

// setFailing replaces the errors of the failing partitions. Claims that are decided may still have appends under way.
func (s *partitions) setFailing(faults map[replica]error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = faults
}

func newClaims(s store.Store) *Claims {
	return &Claims{Store: s, Topics: []string{"a", "b", "c", "d"}, Partitions: 8}
}

const id = "0000000000001042"

// TestSecondOwnerIsRefused guards against an accepted job whose place another account's job takes, and against a
// repeated submission of the same account that is refused.
func TestSecondOwnerIsRefused(t *testing.T) {
	is := is.New(t)
	s := newPartitions()
	c := newClaims(s)
	is.NoErr(c.Claim(t.Context(), id, "one"))
	is.Equal(s.calls, majority)
	is.True(errors.Is(c.Claim(t.Context(), id, "two"), ErrTaken))
	is.NoErr(c.Claim(t.Context(), id, "one"))
	is.NoErr(c.Claim(t.Context(), "0000000000001043", "two"))
}

// TestOneUnavailablePartition guards against submissions that are refused while one partition is unavailable, and
// against a second owner that is accepted meanwhile because the first claim cannot be read.
func TestOneUnavailablePartition(t *testing.T) {
	for n := range replicas {
		for _, fault := range []error{store.ErrBusy, store.ErrUnknown, nil} {
			t.Run(fmt.Sprint(n, fault), func(t *testing.T) {
				is := is.New(t)
				s := newPartitions()
				c := newClaims(s)
				if fault == nil {
					s.silent[c.replicasOf(id)[n]] = true
				} else {
					s.failing[c.replicasOf(id)[n]] = fault
				}
				began := time.Now()
				is.NoErr(c.Claim(t.Context(), id, "one"))
				is.True(time.Since(began) < replicaTimeout)
				is.True(errors.Is(c.Claim(t.Context(), id, "two"), ErrTaken))
				is.NoErr(c.Claim(t.Context(), id, "one"))
			})
		}
	}
}

// TestTooFewReplicas guards against an ID that is given away while the store cannot say who holds it.
func TestTooFewReplicas(t *testing.T) {
	is := is.New(t)
	s := newPartitions()
	c := newClaims(s)
	is.NoErr(c.Claim(t.Context(), id, "one"))
	targets, faults := c.replicasOf(id), map[replica]error{}
	for _, p := range targets[:majority] {
		faults[p] = store.ErrBusy
	}
	s.setFailing(faults)
	is.True(errors.Is(c.Claim(t.Context(), id, "two"), ErrUnavailable))
	s.setFailing(nil)
	is.NoErr(c.Claim(t.Context(), id, "one"))
}

// TestOneOwnerAtMost guards against two owners that hold one ID, whichever partitions fail meanwhile and however the
// claims interleave.
func TestOneOwnerAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newPartitions()
		c := newClaims(s)
		holder := ""
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			faults := map[replica]error{}
			for _, p := range c.replicasOf(id) {
				if rapid.Bool().Draw(t, "fails") {
					faults[p] = rapid.SampledFrom([]error{store.ErrBusy, store.ErrUnknown}).Draw(t, "fault")
				}
			}
			s.setFailing(faults)
			outcomes := map[string]error{}
			var mu sync.Mutex
			var claims sync.WaitGroup
			for _, owner := range []string{"one", "two", "three"} {
				claims.Go(func() {
					err := c.Claim(context.Background(), id, owner)
					mu.Lock()
					defer mu.Unlock()
					outcomes[owner] = err
				})
			}
			claims.Wait()
			for owner, err := range outcomes {
				if err != nil {
					continue
				}
				if holder != "" && holder != owner {
					t.Fatalf("%s and %s hold the ID", holder, owner)
				}
				holder = owner
			}
		}
	})
}
