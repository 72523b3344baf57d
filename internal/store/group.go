package store

import (
	"context"
	"time"
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
	select {
	case g.queue <- item:
	default:
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
