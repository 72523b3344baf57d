package store

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/sleep"
)

// Tail follows a keyed topic: it reads the newest record of each key, and then every record as it is appended.
type Tail struct {
	Store     Store
	Topic     string
	Partition int
	// Wait is how long a read waits for a record. Without a wait the tail reads every Pause.
	Wait, Pause time.Duration
	// Apply gets each record. An older record of a key never follows a newer one.
	Apply func(Record)
	// Synced is called after the newest records have been read, with all keys that exist.
	Synced func(keys map[string]bool)
	// Contact is called after each successful read with the boot clock of a moment at which everything before was known.
	Contact func(at time.Duration)
	Log     zerolog.Logger
}

const (
	// tailTimeout bounds a read beyond its wait. A slow store answers after 240 ms and more.
	tailTimeout = 1200 * time.Millisecond
	// newestTimeout bounds the time until a page of newest records begins to arrive; each further try may take twice as long, as the store may be
	// slow. newestTries bounds the reads of one page.
	newestTimeout = 600 * time.Millisecond
	newestTries   = 4
	// tailRetry is the pause after a failed read.
	tailRetry = 100 * time.Millisecond
)

// Run follows the topic until ctx is done.
func (t *Tail) Run(ctx context.Context) {
	for ctx.Err() == nil {
		end, newest, err := t.CatchUp(ctx)
		if err != nil {
			sleep.For(ctx, tailRetry)
			continue
		}
		t.Follow(ctx, end, newest)
	}
}

// CatchUp applies the newest record of each key. It returns where to go on, and the offset of each key applied: the pages are
// no snapshot, so the records that follow may be older than what a page held.
func (t *Tail) CatchUp(ctx context.Context) (end int64, newest map[string]int64, err error) {
	newest = make(map[string]int64)
	keys := make(map[string]bool)
	after, first := "", true
	for {
		sent := bootclock.Now()
		page, err := t.readNewest(ctx, after)
		if err != nil {
			return 0, nil, err
		}
		if first {
			end = page.End
		}
		for _, r := range page.Records {
			newest[r.Key] = r.Offset
			keys[r.Key] = len(r.Value) > 0
			t.Apply(r)
		}
		if first && t.Contact != nil {
			t.Contact(sent)
		}
		first = false
		if page.After == "" || page.After == after {
			break
		}
		after = page.After
	}
	if t.Synced != nil {
		t.Synced(keys)
	}
	return end, newest, nil
}

// readNewest reads one page and repeats the read a few times: a slow store must not make the whole catch-up begin anew.
func (t *Tail) readNewest(ctx context.Context, after string) (page Newest, err error) {
	for try := range newestTries {
		page, err = t.tryNewest(ctx, after, newestTimeout<<try)
		if err == nil || ctx.Err() != nil {
			break
		}
		sleep.For(ctx, tailRetry)
	}
	return page, err
}

func (t *Tail) tryNewest(ctx context.Context, after string, timeout time.Duration) (Newest, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return t.Store.ReadNewest(ctx, t.Topic, t.Partition, after)
}

// Follow applies records from an offset on. It returns when the history was trimmed or replaced, or when ctx is done.
func (t *Tail) Follow(ctx context.Context, from int64, newest map[string]int64) {
	for ctx.Err() == nil {
		sent := bootclock.Now()
		page, err := t.read(ctx, from)
		var trimmed *TrimmedError
		if errors.As(err, &trimmed) {
			t.Log.Info().Str("event", "history_trimmed").Str("topic", t.Topic).Int64("from", from).Int64("first", trimmed.First).Msg("records were deleted before they were read; reading the newest")
			return
		}
		if err != nil {
			sleep.For(ctx, tailRetry)
			continue
		}
		if page.End < from {
			t.Log.Warn().Str("event", "history_replaced").Str("topic", t.Topic).Int64("from", from).Int64("end", page.End).Msg("the topic ends before what was read; reading the newest")
			return
		}
		for _, r := range page.Records {
			from = r.Offset + 1
			if applied, ok := newest[r.Key]; !ok || applied < r.Offset {
				t.Apply(r)
			}
		}
		t.contact(sent, len(page.Records) == 0)
		if t.Pause > 0 {
			sleep.For(ctx, t.Pause)
		}
	}
}

// contact reports how fresh the tail is. An empty answer was given at the end of the wait, any other at an unknown time of it.
func (t *Tail) contact(sent time.Duration, empty bool) {
	if t.Contact == nil {
		return
	}
	if empty && bootclock.Now()-sent >= t.Wait {
		sent += t.Wait
	}
	t.Contact(sent)
}

func (t *Tail) read(ctx context.Context, from int64) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, t.Wait+tailTimeout)
	defer cancel()
	return t.Store.Read(ctx, t.Topic, t.Partition, from, t.Wait)
}
