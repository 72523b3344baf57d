package replica

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"pollenlead/internal/platform"
)

// commit appends one record until its outcome is known. It reports false if the record certainly was not appended; its
// ops then wait again, so that callers who give up meanwhile learn that the ops were not sent.
func (c *Committer) commit(b *batch, pause *backoff.ExponentialBackOff) bool {
	for attempt := 1; b.ctx.Err() == nil && c.follower.Err() == nil; attempt++ {
		c.lastStart = time.Now()
		offset, err := c.appendOnce(b, attempt)
		if b.ctx.Err() != nil {
			return true
		}
		if err == nil {
			// The record is in the log. If it was passed without a result, a snapshot covered it, and appending it once
			// more shows that it is a duplicate.
			_ = c.follower.WaitFor(b.ctx, offset+1)
		} else if c.requeue(b) {
			return false
		}
		sleep(b.ctx, max(pause.NextBackOff(), appendInterval))
	}
	return true
}

// appendOnce tries the log and, if that fails, the relays. It notes whether the record may have been appended.
func (c *Committer) appendOnce(b *batch, attempt int) (uint64, error) {
	offset, err := c.appendTo(b, c.log, attempt > 1)
	if err == nil || (!errors.Is(err, platform.ErrNoEffect) && attempt < relayAfter) {
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
		c.markSent(b)
	}
	return offset, err
}

// markSent notes that the record may have been appended. Callers who gave up meanwhile cannot know the outcome any more.
func (c *Committer) markSent(b *batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b.sent = true
	for _, s := range b.members {
		if s.withdrawn != nil {
			c.reply(s, answer{err: fmt.Errorf("%w: %w", ErrUnresolved, s.withdrawn)})
		}
	}
}

// requeue puts the ops of a record that was certainly not appended in front of those that wait, and reports false if the
// record may have been appended. The record's seq is not used again.
func (c *Committer) requeue(b *batch) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.sent {
		return false
	}
	if c.inflight != b {
		return true
	}
	c.inflight = nil
	b.finish()
	var waiting []*submission
	for _, s := range b.members {
		if s.withdrawn != nil {
			c.reply(s, answer{err: fmt.Errorf("%w: %w", ErrNotSent, s.withdrawn)})
		}
		if s.answered {
			continue // Its caller has gone.
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
