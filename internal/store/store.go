// Package store defines the interface to the platform's append-only store: partitions of records with offsets, and
// topics that retain the newest record of each key. The platform adapter implements it.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Record is one record of a keyed topic. An empty Value means that the key was deleted.
type Record struct {
	Offset int64
	Key    string
	Value  []byte
}

// Size returns the number of bytes of the record that count against Limits.Record: the length of the key, the key and
// the value.
func (r Record) Size() int { return 1 + len(r.Key) + len(r.Value) }

// recordPrefixBytes is the length that precedes each record in an append.
const recordPrefixBytes = 4

// CallSize returns the number of bytes that the record adds to an append.
func (r Record) CallSize() int { return recordPrefixBytes + r.Size() }

// MaxKeyBytes is the size of the longest key that the store accepts.
const MaxKeyBytes = 255

// Limits holds the store's limits of size in bytes: of one record, and of all records of one append.
type Limits struct{ Record, Call int }

// DefaultLimits apply if the settings name none.
var DefaultLimits = Limits{Record: 256 << 10, Call: 2 << 20}

// Fits reports whether the store accepts the record.
func (l Limits) Fits(r Record) bool {
	return len(r.Key) <= MaxKeyBytes && r.Size() <= l.Record && r.CallSize() <= l.Call
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
	// At is the offset at which the partition must end for the append to succeed, or nil.
	At *int64
	// Producer is nil for an append without fencing.
	Producer *Producer
}

// Page is the result of a read. End is the offset after the last record of the partition, and First the oldest offset
// that is retained.
type Page struct {
	Records    []Record
	End, First int64
}

// Newest is one page of the newest record of each key.
type Newest struct {
	Records []Record
	// End is the end of the partition at the time of the read.
	End int64
	// After is the key from which to continue, or "" on the last page.
	After string
}

// Store is the platform's store.
type Store interface {
	// Append returns the offset of the first record. It returns the errors of this package.
	Append(ctx context.Context, a Append) (first int64, err error)
	// Read returns the records from the given offset on, and waits up to wait for the first one.
	Read(ctx context.Context, topic string, partition int, from int64, wait time.Duration) (Page, error)
	// ReadNewest returns a page of the newest records whose keys follow after. The deadline of ctx bounds the time
	// until the response begins, since a page may be large and the network slow.
	ReadNewest(ctx context.Context, topic string, partition int, after string) (Newest, error)
}

var (
	// ErrFenced means that the partition has accepted a higher epoch of the producer.
	ErrFenced = errors.New("store: fenced by a higher epoch of the producer")
	// ErrBusy means that the store refused the call without any effect.
	ErrBusy = errors.New("store: call refused without effect")
	// ErrUnknown means that no answer arrived: the call may have been carried out, or may be carried out later.
	ErrUnknown = errors.New("store: no answer, outcome unknown")
	// ErrRefused means that the store refused the call without any effect, and that a repetition would be refused as well.
	ErrRefused = errors.New("store: call refused for good")
	// ErrFull means that the store accepts no more records.
	ErrFull = errors.New("store: full")
)

// EndMismatchError means that the partition does not end at the requested offset. Nothing was appended.
type EndMismatchError struct{ End int64 }

func (e *EndMismatchError) Error() string {
	return fmt.Sprintf("store: append offset does not match: partition ends at offset %d", e.End)
}

// SequenceError means that the sequence does not follow the producer's last one. Nothing was appended.
type SequenceError struct{ Expected int64 }

func (e *SequenceError) Error() string {
	return fmt.Sprintf("store: sequence does not match: expected %d", e.Expected)
}

// TrimmedError means that the requested records have been deleted.
type TrimmedError struct{ First int64 }

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("store: records were deleted: oldest retained offset is %d", e.First)
}
