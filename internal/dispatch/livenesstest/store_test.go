package livenesstest

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"pollenlead/internal/store"
)

// storeModel is a store whose answers may be late, lost or refusals.
type storeModel struct {
	mu         sync.Mutex
	limits     store.Limits
	partitions map[string]*partition
	changed    chan struct{} // closed and replaced with each append
	// busyUntil and lossyUntil are the ends of the times in which calls are refused, and in which answers are lost.
	busyUntil, lossyUntil time.Time
	calls                 int
}

type partition struct {
	records []store.Record
	newest  map[string]store.Record
	epoch   int64
	last    int64 // sequence number
	answers map[int64]int64
}

func newStoreModel(limits store.Limits) *storeModel {
	return &storeModel{limits: limits, partitions: map[string]*partition{}, changed: make(chan struct{})}
}

// partition returns a partition. Callers hold mu.
func (s *storeModel) partition(topic string, n int) *partition {
	key := fmt.Sprint(topic, "/", n)
	if s.partitions[key] == nil {
		s.partitions[key] = &partition{newest: map[string]store.Record{}, answers: map[int64]int64{}}
	}
	return s.partitions[key]
}

// put appends a record as the operator, a worker or an entry instance does.
func (s *storeModel) put(topic string, n int, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition(topic, n).add(store.Record{Key: key, Value: value})
	s.notify()
}

func (p *partition) add(r store.Record) {
	r.Offset = int64(len(p.records))
	p.records = append(p.records, r)
	p.newest[r.Key] = r
}

// notify wakes the waiting reads. Callers hold mu.
func (s *storeModel) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// appendTime is the time that an append takes.
const appendTime = 4 * time.Millisecond

func (s *storeModel) Append(ctx context.Context, a store.Append) (int64, error) {
	time.Sleep(appendTime)
	s.mu.Lock()
	now := time.Now()
	if now.Before(s.busyUntil) {
		s.mu.Unlock()
		return 0, store.ErrBusy
	}
	first, err := s.append(a)
	s.calls++
	lost := now.Before(s.lossyUntil) && s.calls%2 == 0
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
		return 0, store.ErrUnknown
	}
	return first, err
}

// append executes an append. Callers hold mu.
func (s *storeModel) append(a store.Append) (int64, error) {
	p := s.partition(a.Topic, a.Partition)
	size := 0
	for _, r := range a.Records {
		size += r.CallSize()
		if !s.limits.Fits(r) {
			return 0, store.ErrRefused
		}
	}
	if size > s.limits.Call {
		return 0, store.ErrRefused
	}
	if w := a.Producer; w != nil {
		if w.Epoch < p.epoch {
			return 0, store.ErrFenced
		}
		if w.Epoch > p.epoch {
			p.epoch, p.last = w.Epoch, w.Sequence-1
			clear(p.answers)
		}
		if len(a.Records) > 0 {
			if first, repeated := p.answers[w.Sequence]; repeated {
				return first, nil
			}
			if w.Sequence != p.last+1 {
				return 0, &store.SequenceError{Expected: p.last + 1}
			}
			p.last, p.answers[w.Sequence] = w.Sequence, int64(len(p.records))
		}
	}
	first := int64(len(p.records))
	for _, r := range a.Records {
		p.add(r)
	}
	s.notify()
	return first, nil
}

func (s *storeModel) Read(
	ctx context.Context, topic string, n int, from int64, wait time.Duration,
) (store.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		busy, p, changed := time.Now().Before(s.busyUntil), s.partition(topic, n), s.changed
		page := store.Page{End: int64(len(p.records)), Records: slices.Clone(p.records[min(from, int64(len(p.records))):])}
		s.mu.Unlock()
		if busy {
			return store.Page{}, store.ErrBusy
		}
		if len(page.Records) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return store.Page{}, store.ErrUnknown
		}
	}
}

func (s *storeModel) ReadNewest(_ context.Context, topic string, n int, _ string) (store.Newest, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.busyUntil) {
		return store.Newest{}, store.ErrBusy
	}
	p := s.partition(topic, n)
	page := store.Newest{End: int64(len(p.records))}
	for _, key := range slices.Sorted(maps.Keys(p.newest)) {
		if r := p.newest[key]; len(r.Value) > 0 {
			page.Records = append(page.Records, r)
		}
	}
	return page, nil
}
