package dispatch

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/sleep"
	"pollenlead/internal/store"
	"pollenlead/internal/workload"
)

const (
	// producerName identifies the leader's appends; their epoch is the term's fencing token.
	producerName  = "dispatcher"
	appendTimeout = 1200 * time.Millisecond
	// minAppendTimeout is the shortest timeout for one attempt to append progress. It is short because all starts
	// wait for the append, and because a repeat of an attempt whose answer was lost gets the answer of the first.
	minAppendTimeout = 250 * time.Millisecond
	// appendRetryDelay is the delay after the first failed append. It grows with each failure up to
	// maxAppendRetryDelay, because refused calls are charged too.
	appendRetryDelay    = 30 * time.Millisecond
	maxAppendRetryDelay = 150 * time.Millisecond
	// confirmInterval is the time without an append after which an empty append checks that the term still holds.
	confirmInterval = time.Second
	// slowAppendThreshold is the duration above which an append is logged.
	slowAppendThreshold = 250 * time.Millisecond
	// maxBatchRecords bounds the records of one append, and maxBatchBytes their size, which takes the store 50 ms.
	maxBatchRecords = 500
	maxBatchBytes   = 1 << 20
)

// committer appends records to one partition of the topic of progress. Only one goroutine uses it.
type committer struct {
	d *Dispatcher
	// partition is 0 for the progress of jobs, and otherwise a spare partition.
	partition int
	sequence  int64
	// slowLogged means that the append in progress has been logged as slow.
	slowLogged bool
	// end is the offset at which the partition has to end before the next append. A different end means that an
	// append of an earlier leader was carried out after this leader had read the partition.
	end int64
	// pace derives the timeout of an append from the durations of earlier ones.
	pace store.TimeoutEstimator
}

func newCommitter(d *Dispatcher, partition int) *committer {
	return &committer{d: d, partition: partition, pace: store.TimeoutEstimator{Min: minAppendTimeout, Max: appendTimeout}}
}

// endMark is a number up to which the ends of a worker are stored. Numbers begin anew with each restart of the worker.
type endMark struct {
	number   int64
	restarts int
}

// errForeignRecords means that the partition holds records that this leader has not read.
var errForeignRecords = errors.New("dispatch: append of an earlier leader was carried out late")

// fence makes the store refuse the appends of all earlier terms. It returns the end of the partition after that; all
// records of earlier leaders lie before it. It reports false if this term has already ended.
func (c *committer) fence(ctx context.Context) (end int64, ok bool) {
	value := strconv.AppendInt(nil, c.d.Token, 10)
	err := c.append(ctx, []store.Record{{Key: workload.TermKey, Value: value}})
	if errors.Is(err, store.ErrRefused) {
		c.d.Log.Error().Err(err).Str("event", "fence_refused").Int("partition", c.partition).
			Msg("the store refuses the record that begins a term")
	}
	return c.end, err == nil
}

// next returns the batch to store now, or nil. If nothing was appended for confirmInterval, it returns an empty
// batch, which confirms that no other leader has begun: without such a confirmation leases are renewed only for a
// limited time.
func (c *committer) next() *batch {
	if b := c.d.collectBatch(); b != nil {
		return b
	}
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	if bootclock.Now()-c.d.lastStored > confirmInterval {
		return &batch{confirm: true}
	}
	return nil
}

// run stores a batch and then sends the starts and acknowledgements that depend on it. An error means that the term
// has ended.
func (c *committer) run(ctx context.Context, b *batch) error {
	if len(b.items) > 0 || b.confirm {
		if err := c.store(ctx, b.items); err != nil {
			return err
		}
	}
	c.d.applyCommitted(b)
	return nil
}

// store appends the records of some items. If the store refuses them, it appends each half of them, so that a record
// that cannot be stored does not hold up the others, and marks that record as refused.
func (c *committer) store(ctx context.Context, items []*batchItem) error {
	records := make([]store.Record, len(items))
	for i, item := range items {
		records[i] = item.record
	}
	err := c.append(ctx, records)
	switch {
	case !errors.Is(err, store.ErrRefused) || len(items) == 0:
		return err
	case len(items) == 1:
		items[0].refused = err
		return nil
	}
	half := len(items) / 2
	if err := c.store(ctx, items[:half]); err != nil {
		return err
	}
	return c.store(ctx, items[half:])
}

// append repeats one append until its outcome is known. An append without records takes no sequence number. An error
// that is not store.ErrRefused means that the term has ended.
func (c *committer) append(ctx context.Context, records []store.Record) error {
	if len(records) > 0 {
		c.sequence++
	}
	unanswered := 0
	began := bootclock.Now()
	for tries := 1; ctx.Err() == nil; tries++ {
		sent := bootclock.Now()
		first, err := c.tryAppend(ctx, records, unanswered)
		c.logSlow(tries, len(records), bootclock.Now()-began, err)
		var unexpected *store.SequenceError
		switch {
		case err == nil:
			if c.partition == 0 { // a new leader fences the spare partitions later, and counts leases from its first fence
				c.d.recordStoreContact(sent)
			}
			return c.checkOffset(first, len(records))
		case errors.Is(err, store.ErrFenced):
			return err
		case errors.Is(err, store.ErrRefused):
			if len(records) > 0 {
				c.sequence-- // the store has not counted the append
			}
			return err
		case errors.As(err, &unexpected) && unanswered > 0:
			// An attempt without an answer may be carried out later under its sequence number, and would then be
			// taken for the next append.
			return fmt.Errorf("%w: sent sequence number %d, store expects %d",
				errForeignRecords, c.sequence, unexpected.Expected)
		case errors.As(err, &unexpected):
			// The store may number records, whereas this client numbers calls.
			c.d.Log.Warn().Str("event", "sequence").Int64("sent", c.sequence).
				Int64("expected", unexpected.Expected).Msg("store expects a different sequence number")
			c.sequence = unexpected.Expected
			continue
		case !errors.Is(err, store.ErrBusy) && !errors.Is(err, store.ErrUnknown):
			c.d.Log.Error().Err(err).Str("event", "append_failed").Int("records", len(records)).
				Msg("progress cannot be stored")
		}
		if errors.Is(err, store.ErrUnknown) {
			unanswered++
		}
		c.d.counters.appendRetries.Add(1)
		sleep.For(ctx, min(appendRetryDelay*time.Duration(tries), maxAppendRetryDelay))
	}
	return ctx.Err()
}

// logSlow logs when appends become slow and when they are no longer slow.
func (c *committer) logSlow(tries, records int, took time.Duration, outcome error) {
	slow := took > slowAppendThreshold
	if c.partition != 0 || slow == c.slowLogged && !(slow && outcome == nil) {
		return
	}
	c.slowLogged = slow && outcome != nil
	c.d.Log.Info().Str("event", "append_slow").Int("try", tries).Dur("took", took).Int("records", records).
		AnErr("outcome", outcome).Msg("append of progress is slow")
}

// tryAppend sends an append once. Its duration is observed only if an answer arrives: lost answers do not indicate a
// slow store.
func (c *committer) tryAppend(ctx context.Context, records []store.Record, unanswered int) (first int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.pace.Timeout(unanswered)+c.d.lag.timeout(0))
	defer cancel()
	began := bootclock.Now()
	first, err = c.d.Store.Append(ctx, store.Append{
		Topic: c.d.ProgressTopic, Partition: c.partition, Records: records,
		Producer: &store.Producer{Name: producerName, Epoch: c.d.Token, Sequence: c.sequence},
	})
	if !errors.Is(err, store.ErrUnknown) {
		c.pace.Observe(bootclock.Now() - began)
	}
	return first, err
}

// checkOffset returns an error if another leader has written since the last append.
func (c *committer) checkOffset(first int64, records int) error {
	if records == 0 {
		return nil
	}
	if c.end != 0 && first != c.end {
		return fmt.Errorf("%w: appended at offset %d, expected %d", errForeignRecords, first, c.end)
	}
	c.end = first + int64(records)
	return nil
}

// recordStoreContact records that the store has accepted an append that was sent at the given boot clock. The arrival
// of the answer does not count: on a slow link or after a pause, another leader may have begun in the meantime.
func (d *Dispatcher) recordStoreContact(sent time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastStored = sent
}
