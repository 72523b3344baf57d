// Package store describes the platform's append-only store as the product uses it: partitions of records with offsets, and
// topics that keep the newest record of each key for good. The adapter implements it.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Record is one record of a keyed topic. An empty Value means that the key was dropped.
type Record struct {
	Offset int64
	Key    string
	Value  []byte
}

// Producer identifies a writer whose appends are fenced by epoch and made idempotent by sequence.
type Producer struct {
	Name     string
	Epoch    int64
	Sequence int64
}

// Append is one call that appends all of its records or none.
type Append struct {
	Topic     string
	Partition int
	Records   []Record
	// At is the offset at which the partition has to end, or nil.
	At *int64
	// Producer is nil for a plain append.
	Producer *Producer
}

// Page is the answer to a read. End is the offset after the last record of the partition and First the oldest offset kept.
type Page struct {
	Records    []Record
	End, First int64
}

// Newest is one page of the newest record of each key.
type Newest struct {
	Records []Record
	// End is the partition's end when the page was made.
	End int64
	// After is the key to continue with; it is "" on the last page.
	After string
}

// Store is the platform's store.
type Store interface {
	// Append returns the offset of the first record. Its errors are the ones of this package.
	Append(ctx context.Context, a Append) (first int64, err error)
	// Read returns the records from an offset on and waits up to wait for one.
	Read(ctx context.Context, topic string, partition int, from int64, wait time.Duration) (Page, error)
	// ReadNewest returns a page of the newest records whose keys follow after. The deadline of ctx bounds the time until the answer begins: a page
	// may be large and the link narrow.
	ReadNewest(ctx context.Context, topic string, partition int, after string) (Newest, error)
}

var (
	// ErrFenced means that the partition has seen a higher epoch of the producer.
	ErrFenced = errors.New("store: a higher epoch has written")
	// ErrBusy means that the store refused the call and did nothing.
	ErrBusy = errors.New("store: refused, nothing was done")
	// ErrUnknown means that no answer came: the call may have been carried out, or may be later.
	ErrUnknown = errors.New("store: no answer")
	// ErrFull means that the store takes no more records.
	ErrFull = errors.New("store: full")
)

// EndMismatchError means that the partition does not end at the offset asked for. Nothing was appended.
type EndMismatchError struct{ End int64 }

func (e *EndMismatchError) Error() string {
	return fmt.Sprintf("store: the partition ends at offset %d", e.End)
}

// SequenceError means that the sequence does not follow the producer's last one. Nothing was appended.
type SequenceError struct{ Expected int64 }

func (e *SequenceError) Error() string {
	return fmt.Sprintf("store: the producer's next sequence is %d", e.Expected)
}

// TrimmedError means that the records asked for have been deleted.
type TrimmedError struct{ First int64 }

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("store: the oldest offset kept is %d", e.First)
}
