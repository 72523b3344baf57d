package replica

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"pollenlead/internal/platform"
)

// commit appends one record and retries until its outcome is known. It reports false if the record was certainly not
// appended. The ops are then queued again, so that callers whose context ends in the meantime get ErrNotSent.
func (c *Committer) commit(b *batch, retry *backoff.ExponentialBackOff) bool {
	for attempt := 1; b.ctx.Err() == nil && c.follower.Err() == nil; attempt++ {
		c.lastAppendStart = time.Now()
		offset, err := c.appendOnce(b, attempt)
		if b.ctx.Err() != nil {
			return true
		}
		if err == nil {
			// The record is in the log. If the follower passes its offset without delivering a result, a snapshot
			// covers the record. Appending it once more then yields a result that is marked as a duplicate.
			_ = c.follower.WaitFor(b.ctx, offset+1)
		} else if c.requeue(b) {
			return false
		}
		sleep(b.ctx, max(retry.NextBackOff(), appendInterval))
	}
	return true
}

// appendOnce tries the log and, if that fails, the relays in order. It records whether the record may have been
// appended.
func (c *Committer) appendOnce(b *batch, attempt int) (uint64, error) {
	offset, err := c.appendTo(b, c.log, attempt > 1)
	if err == nil || (!errors.Is(err, platform.ErrNoEffect) && attempt < relayAfterAttempts) {
		return offset, err
	}
	c.mu.Lock()
	relays := c.relays
	c.mu.Unlock()
	for _, relay := range relays {
		if b.ctx.Err() != nil {
			break
		}
		offset, relayErr := c.appendTo(b, relay, true)
		if relayErr == nil {
			c.count(func(s *CommitterStats) { s.Relayed++ })
			return offset, nil
		}
		err = errors.Join(err, relayErr)
	}
	return 0, err
}

func (c *Committer) appendTo(b *batch, a Appender, repeat bool) (uint64, error) {
	ctx, cancel := context.WithTimeout(b.ctx, appendTimeout)
	defer cancel()
	offset, err := a.Append(ctx, b.data)
	c.count(func(s *CommitterStats) {
		s.Appends++
		if repeat {
			s.Repeats++
		}
		if err != nil {
			s.FailedAppends++
		}
	})
	if !errors.Is(err, platform.ErrNoEffect) {
		c.markMaybeAppended(b)
	}
	return offset, err
}

// markMaybeAppended records that the record may have been appended. Submissions that were withdrawn in the meantime get
// ErrUnresolved.
func (c *Committer) markMaybeAppended(b *batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b.maybeAppended = true
	for _, s := range b.members {
		if s.withdrawErr != nil {
			c.reply(s, answer{err: fmt.Errorf("%w: %w", ErrUnresolved, s.withdrawErr)})
		}
	}
}

// requeue puts the ops of a record that was certainly not appended at the front of the queue. It reports false if the
// record may have been appended. The sequence number of the record is not used again.
func (c *Committer) requeue(b *batch) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.maybeAppended {
		return false
	}
	if c.inflight != b {
		return true
	}
	c.inflight = nil
	b.cancel()
	var waiting []*submission
	for _, s := range b.members {
		if s.withdrawErr != nil {
			c.reply(s, answer{err: fmt.Errorf("%w: %w", ErrNotSent, s.withdrawErr)})
		}
		if s.answered {
			continue // The caller no longer waits.
		}
		waiting = append(waiting, s)
		c.queuedOps += len(s.ops)
	}
	c.queue = append(waiting, c.queue...)
	return true
}

func (c *Committer) count(update func(*CommitterStats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update(&c.stats)
}
