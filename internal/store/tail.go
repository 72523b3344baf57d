package store

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/sleep"
)

// Tail follows a keyed topic: it reads the newest record of each key and then every record as it is appended.
type Tail struct {
	Store     Store
	Topic     string
	Partition int
	// Wait is the maximum time for which a read waits for a record. If it is 0, the tail reads at intervals of Pause.
	Wait, Pause time.Duration
	// Apply is called with each record. An older record of a key is never applied after a newer one.
	Apply func(Record)
	// Synced is called after the newest records have been read. keys maps each key that was read to whether it has a
	// value, and end is the offset at which the partition ended when the first of them were read.
	Synced func(keys map[string]bool, end int64)
	// Contact is called after each read that reached the end of the partition. All records that were appended before the
	// time at of the boot clock have been read.
	Contact func(at time.Duration)
	Log     zerolog.Logger

	// malformed is the number of malformed records that were logged.
	malformed int
}

const (
	// readTimeout bounds a read in addition to its wait. A slow store takes 240 ms or more to answer.
	readTimeout = 1200 * time.Millisecond
	// newestTimeout bounds the time until a page of newest records begins to arrive. It doubles with each attempt,
	// since the store may be slow. maxNewestAttempts bounds the attempts for one page.
	newestTimeout     = 600 * time.Millisecond
	maxNewestAttempts = 4
	// readRetryDelay is the delay after a failed read.
	readRetryDelay = 100 * time.Millisecond
	// maxLoggedMalformed bounds the malformed records of a topic that are logged.
	maxLoggedMalformed = 100
)

// Run follows the topic until ctx is done.
func (t *Tail) Run(ctx context.Context) {
	for ctx.Err() == nil {
		end, newest, err := t.CatchUp(ctx)
		if err != nil {
			sleep.For(ctx, readRetryDelay)
			continue
		}
		t.Follow(ctx, end, newest)
	}
}

// CatchUp applies the newest record of each key. It returns the offset from which to continue and the offset of each
// key's applied record: the pages are not a consistent snapshot, so the records that follow may be older than those
// of a page.
func (t *Tail) CatchUp(ctx context.Context) (end int64, newest map[string]int64, err error) {
	newest = make(map[string]int64)
	var keys map[string]bool
	if t.Synced != nil {
		keys = make(map[string]bool)
	}
	after, first := "", true
	sent := bootclock.Now()
	for {
		page, err := t.readNewest(ctx, after)
		if err != nil {
			return 0, nil, err
		}
		if first {
			end = page.End
		}
		for _, r := range page.Records {
			newest[r.Key] = r.Offset
			if keys != nil {
				keys[r.Key] = len(r.Value) > 0
			}
			t.apply(r)
		}
		first = false
		if page.After == "" || page.After == after {
			break
		}
		after = page.After
	}
	if t.Contact != nil {
		t.Contact(sent)
	}
	if t.Synced != nil {
		t.Synced(keys, end)
	}
	return end, newest, nil
}

// apply passes a record on. A record without a key is malformed and identifies nothing; the records after it still
// apply.
func (t *Tail) apply(r Record) {
	if r.Key != "" {
		t.Apply(r)
		return
	}
	if t.malformed++; t.malformed <= maxLoggedMalformed {
		t.Log.Warn().Str("event", "bad_record").Str("topic", t.Topic).Int("partition", t.Partition).
			Int64("offset", r.Offset).Msg("record without a key is skipped")
	}
}

// readNewest reads one page with up to maxNewestAttempts attempts, so that a slow store does not restart the whole
// catch-up.
func (t *Tail) readNewest(ctx context.Context, after string) (page Newest, err error) {
	for try := range maxNewestAttempts {
		page, err = t.tryNewest(ctx, after, newestTimeout<<try)
		if err == nil || ctx.Err() != nil {
			break
		}
		sleep.For(ctx, readRetryDelay)
	}
	return page, err
}

func (t *Tail) tryNewest(ctx context.Context, after string, timeout time.Duration) (Newest, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return t.Store.ReadNewest(ctx, t.Topic, t.Partition, after)
}

// Follow applies records from the given offset on. It returns when the history was trimmed or replaced, or when ctx
// is done.
func (t *Tail) Follow(ctx context.Context, from int64, newest map[string]int64) {
	for ctx.Err() == nil {
		sent := bootclock.Now()
		page, err := t.read(ctx, from)
		var trimmed *TrimmedError
		if errors.As(err, &trimmed) {
			t.Log.Info().Str("event", "history_trimmed").Str("topic", t.Topic).Int64("from", from).
				Int64("first", trimmed.First).Msg("records were deleted before they were read; reading the newest records")
			return
		}
		if err != nil {
			sleep.For(ctx, readRetryDelay)
			continue
		}
		if page.End < from {
			t.Log.Warn().Str("event", "history_replaced").Str("topic", t.Topic).Int64("from", from).
				Int64("end", page.End).Msg("topic ends before the read offset; reading the newest records")
			return
		}
		for _, r := range page.Records {
			from = r.Offset + 1
			if applied, ok := newest[r.Key]; !ok || applied < r.Offset {
				t.apply(r)
			}
		}
		if from >= page.End { // otherwise the page was cut at its size limit
			t.reportContact(sent, len(page.Records) == 0)
		}
		if t.Pause > 0 {
			sleep.For(ctx, t.Pause)
		}
	}
}

// reportContact calls Contact with the time up to which the tail is current. An empty page was produced at the end of
// the wait, any other at an unknown time during it.
func (t *Tail) reportContact(sent time.Duration, empty bool) {
	if t.Contact == nil {
		return
	}
	if empty && bootclock.Now()-sent >= t.Wait {
		sent += t.Wait
	}
	t.Contact(sent)
}

func (t *Tail) read(ctx context.Context, from int64) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, t.Wait+readTimeout)
	defer cancel()
	return t.Store.Read(ctx, t.Topic, t.Partition, from, t.Wait)
}
