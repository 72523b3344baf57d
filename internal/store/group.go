package store

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pollenlead/internal/bootclock"
)

const (
	// groupTimeout bounds one append of a group. A slow store still answers within it; a repeat before that would only lengthen
	// the queue at the partition.
	groupTimeout = 2500 * time.Millisecond
	// groupRecords bounds the records of one append.
	groupRecords = 100
	groupQueue   = 256
)

// Group appends records to one partition, one call at a time: what arrives while a call is under way goes with the next one. A
// partition takes its appends one after another, so single records would queue there when the store is slow.
type Group struct {
	store     Store
	topic     string
	partition int
	queue     chan groupItem
	// pending is the number of records that wait or are on their way.
	pending atomic.Int32
}

type groupItem struct {
	record Record
	done   chan error // buffered, so that a waiter may leave
}

// NewGroup returns a group whose appends run until ctx is done.
func NewGroup(ctx context.Context, s Store, topic string, partition int) *Group {
	g := &Group{store: s, topic: topic, partition: partition, queue: make(chan groupItem, groupQueue)}
	go g.run(ctx)
	return g
}

// Append appends one record with others. After ctx is done the outcome is unknown, unless the record had not been sent.
func (g *Group) Append(ctx context.Context, r Record) error {
	item := groupItem{record: r, done: make(chan error, 1)}
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

func (g *Group) run(ctx context.Context) {
	for {
		var batch []groupItem
		select {
		case <-ctx.Done():
			return
		case item := <-g.queue:
			batch = append(batch, item)
		}
		batch = g.fill(batch)
		err := g.append(ctx, batch)
		g.pending.Add(-int32(len(batch)))
		for _, item := range batch {
			item.done <- err
		}
	}
}

// fill adds what waits already.
func (g *Group) fill(batch []groupItem) []groupItem {
	for len(batch) < groupRecords {
		select {
		case item := <-g.queue:
			batch = append(batch, item)
		default:
			return batch
		}
	}
	return batch
}

func (g *Group) append(ctx context.Context, batch []groupItem) error {
	ctx, cancel := context.WithTimeout(ctx, groupTimeout)
	defer cancel()
	records := make([]Record, len(batch))
	for i, item := range batch {
		records[i] = item.record
	}
	_, err := g.store.Append(ctx, Append{Topic: g.topic, Partition: g.partition, Records: records})
	return err
}

// Batchers appends to any of the partitions of a topic.
type Batchers struct {
	partitions []*Group
	preferred  int
	mu         sync.Mutex // guards badUntil
	badUntil   []time.Duration
}

const (
	// tryNext is how long an append may take before the record goes to another partition as well.
	tryNext = 1400 * time.Millisecond
	// avoidPartition is how long a partition that did not take a record comes last.
	avoidPartition = 2 * time.Second
)

// NewBatchers returns groups for all partitions of a topic, of which this process prefers one: its records then wait for few other
// appends, and go together. The appends run until ctx is done.
func NewBatchers(ctx context.Context, s Store, topic string, partitions, preferred int) *Batchers {
	g := &Batchers{preferred: preferred, badUntil: make([]time.Duration, partitions)}
	for i := range partitions {
		g.partitions = append(g.partitions, NewGroup(ctx, s, topic, i))
	}
	return g
}

// Append appends a record to one of the partitions, first to the preferred one. Partitions may be away singly, so a record
// that one does not take in time goes to the next; readers must bear a record in two partitions. Unless every try was refused, an
// error means that the outcome is unknown.
func (g *Batchers) Append(ctx context.Context, r Record) error {
	unknown := false
	for n := range g.partitions {
		p := g.choose(n)
		err := g.try(ctx, p, r)
		if err == nil {
			return nil
		}
		g.avoid(p)
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

func (g *Batchers) try(ctx context.Context, partition int, r Record) error {
	ctx, cancel := context.WithTimeout(ctx, tryNext)
	defer cancel()
	return g.partitions[partition].Append(ctx, r)
}

// choose returns the n-th partition from the preferred one on: first those where nothing of this process waits, then the others, and last
// those that did not work lately.
func (g *Batchers) choose(n int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := bootclock.Now()
	count := len(g.partitions)
	rank := func(p int) int {
		switch {
		case now < g.badUntil[p]:
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

func (g *Batchers) avoid(partition int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.badUntil[partition] = bootclock.Now() + avoidPartition
}
