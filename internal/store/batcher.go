package store

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pollenlead/internal/bootclock"
)

const (
	// batchTimeout bounds one append of a batch. A slow store answers within it; a repeat before that would only
	// lengthen the queue at the partition.
	batchTimeout = 2500 * time.Millisecond
	// maxBatchItems bounds the items of one append, and maxQueuedItems those that wait for one.
	maxBatchItems  = 100
	maxQueuedItems = 256
)

// Batcher appends records to one partition with one call at a time. Records that arrive during a call are appended
// together by the next one. A partition processes its appends one after another, so single records would queue up
// there when the store is slow.
type Batcher struct {
	store     Store
	limits    Limits
	topic     string
	partition int
	queue     chan batchItem
	// pending is the number of items that are queued or being appended.
	pending atomic.Int32
}

// batchItem is a group of records that are appended by one call.
type batchItem struct {
	records []Record
	done    chan error // buffered, so that a result is not blocked by a waiter that has returned
}

// callSize returns the number of bytes that the records add to an append.
func (i *batchItem) callSize() int {
	size := 0
	for _, r := range i.records {
		size += r.CallSize()
	}
	return size
}

// NewBatcher returns a Batcher whose appends run until ctx is done.
func NewBatcher(ctx context.Context, s Store, limits Limits, topic string, partition int) *Batcher {
	g := &Batcher{
		store: s, limits: limits, topic: topic, partition: partition, queue: make(chan batchItem, maxQueuedItems),
	}
	go g.run(ctx)
	return g
}

// Append appends records by one call, all or none, together with those of others. If the queue is full, it returns
// ErrBusy without sending them, and ErrRefused if they exceed the limits of size. If ctx is done before the result
// arrives, the outcome is unknown.
func (g *Batcher) Append(ctx context.Context, records ...Record) error {
	item := batchItem{records: records, done: make(chan error, 1)}
	for _, r := range records {
		if !g.limits.Fits(r) {
			return fmt.Errorf("%w: record of %d bytes, at most %d are possible", ErrRefused, r.Size(), g.limits.Record)
		}
	}
	if size := item.callSize(); size > g.limits.Call {
		return fmt.Errorf("%w: records of %d bytes, at most %d are possible in a call", ErrRefused, size, g.limits.Call)
	}
	g.pending.Add(1)
	select {
	case g.queue <- item:
	default:
		g.pending.Add(-1)
		return ErrBusy
	}
	select {
	case err := <-item.done:
		return err
	case <-ctx.Done():
		return ErrUnknown
	}
}

func (g *Batcher) run(ctx context.Context) {
	var next *batchItem // does not fit into the batch before
	for {
		var batch []batchItem
		if next != nil {
			batch = append(batch, *next)
		} else {
			select {
			case <-ctx.Done():
				return
			case item := <-g.queue:
				batch = append(batch, item)
			}
		}
		batch, next = g.collect(batch)
		g.append(ctx, batch)
		g.pending.Add(-int32(len(batch)))
	}
}

// collect adds the queued items to the batch, up to maxBatchItems and to the size of a call. It returns the first item
// that does not fit any more, if there is one.
func (g *Batcher) collect(batch []batchItem) ([]batchItem, *batchItem) {
	size := batch[0].callSize()
	for len(batch) < maxBatchItems {
		select {
		case item := <-g.queue:
			if size += item.callSize(); size > g.limits.Call {
				return batch, &item
			}
			batch = append(batch, item)
		default:
			return batch, nil
		}
	}
	return batch, nil
}

// append appends a batch and reports the result to the waiting callers. If the store refuses it for good, each half is
// appended by itself, so that an item that cannot be stored fails alone.
func (g *Batcher) append(ctx context.Context, batch []batchItem) {
	err := g.appendOnce(ctx, batch)
	if half := len(batch) / 2; half > 0 && errors.Is(err, ErrRefused) {
		g.append(ctx, batch[:half])
		g.append(ctx, batch[half:])
		return
	}
	for _, item := range batch {
		item.done <- err
	}
}

func (g *Batcher) appendOnce(ctx context.Context, batch []batchItem) error {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	records := make([]Record, 0, len(batch))
	for _, item := range batch {
		records = append(records, item.records...)
	}
	_, err := g.store.Append(ctx, Append{Topic: g.topic, Partition: g.partition, Records: records})
	return err
}

// Batchers appends records to any of the partitions of a topic, with one Batcher for each.
type Batchers struct {
	partitions  []*Batcher
	preferred   int
	mu          sync.Mutex // guards failedUntil
	failedUntil []time.Duration
}

const (
	// partitionTimeout is the time after which a record that a partition has not acknowledged is appended to another
	// one as well.
	partitionTimeout = 1400 * time.Millisecond
	// failedPartitionDelay is the time for which a partition that failed to append a record is tried last.
	failedPartitionDelay = 2 * time.Second
)

// NewBatchers returns Batchers for all partitions of a topic. This process prefers one of them, so that its records
// wait for few appends of other processes and share batches. The appends run until ctx is done.
func NewBatchers(
	ctx context.Context, s Store, limits Limits, topic string, partitions, preferred int,
) *Batchers {
	g := &Batchers{preferred: preferred, failedUntil: make([]time.Duration, partitions)}
	for i := range partitions {
		g.partitions = append(g.partitions, NewBatcher(ctx, s, limits, topic, i))
	}
	return g
}

// Append appends records to one of the partitions, all or none, first to the preferred one. Partitions can fail
// independently, so records that one partition does not acknowledge in time go to the next; readers must tolerate a
// record that is in two partitions. Unless all attempts were refused, an error means that the outcome is unknown.
// Records that a partition refuses for good are not tried at the others.
func (g *Batchers) Append(ctx context.Context, records ...Record) error {
	unknown := false
	for n := range g.partitions {
		p := g.choose(n)
		err := g.appendTo(ctx, p, records)
		if err == nil {
			return nil
		}
		if errors.Is(err, ErrRefused) && !unknown {
			return err
		}
		g.markFailed(p)
		unknown = unknown || !errors.Is(err, ErrBusy) && !errors.Is(err, ErrFull)
		if ctx.Err() != nil {
			break
		}
	}
	if unknown {
		return ErrUnknown
	}
	return ErrBusy
}

func (g *Batchers) appendTo(ctx context.Context, partition int, records []Record) error {
	ctx, cancel := context.WithTimeout(ctx, partitionTimeout)
	defer cancel()
	return g.partitions[partition].Append(ctx, records...)
}

// choose returns the n-th partition in the order of preference, starting from the preferred one: first those without
// pending records of this process, then the others, and last those that failed recently.
func (g *Batchers) choose(n int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := bootclock.Now()
	count := len(g.partitions)
	rank := func(p int) int {
		switch {
		case now < g.failedUntil[p]:
			return 2
		case g.partitions[p].pending.Load() > 0:
			return 1
		}
		return 0
	}
	order := make([]int, count)
	for i := range count {
		order[i] = (g.preferred + i) % count
	}
	slices.SortStableFunc(order, func(a, b int) int { return rank(a) - rank(b) })
	return order[n%count]
}

func (g *Batchers) markFailed(partition int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failedUntil[partition] = bootclock.Now() + failedPartitionDelay
}
