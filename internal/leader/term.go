package leader

import (
	"context"
	"errors"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/store"
)

// term leads until another has claimed, the work ends by itself, or ctx is done.
func (e *Election) term(ctx context.Context, token int64) {
	e.log.Info().Str("event", "term_begin").Int64("token", token).Msg("this entry instance leads")
	work, stop := context.WithCancel(ctx)
	e.members.setLeads(true)
	defer e.members.setLeads(false)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.refreshMembers(work)
		e.lead(work, token)
	}()
	reason := e.renew(ctx, token, done)
	stop()
	<-done
	if reason == endResigned || reason == endWork || reason == endHandOver {
		e.release(ctx, token)
	}
	if reason == endResigned {
		close(e.resigned)
	}
	e.log.Info().Str("event", "term_end").Int64("token", token).Str("reason", string(reason)).Msg("this entry instance no longer leads")
}

// refreshMembers reads the members at the beginning of a term, for a short time: the list of before may be old.
func (e *Election) refreshMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	_, _ = e.members.refresh(ctx)
}

// endReason says why a term ended.
type endReason string

const (
	endStopped  endReason = "process stops"
	endLost     endReason = "another entry instance has claimed"
	endResigned endReason = "resigned"
	endWork     endReason = "the leader's work ended"
	endHandOver endReason = "a larger entry instance is there"
)

// renew appends heartbeats and returns when the term is over.
func (e *Election) renew(ctx context.Context, token int64, work <-chan struct{}) endReason {
	next := time.NewTimer(heartbeatInterval)
	defer next.Stop()
	began := bootclock.Now()
	for {
		if e.part() < handOverPart && bootclock.Now()-began > handOverAfter {
			return endHandOver
		}
		if e.isResigning() {
			return endResigned
		}
		_, changed := e.Current()
		select {
		case <-ctx.Done():
			return endStopped
		case <-work:
			return endWork
		case <-changed:
			continue
		case <-next.C:
		}
		seen := e.lastSeen
		if lost := e.heartbeat(ctx, token); lost {
			return endLost
		}
		if e.lastSeen > seen {
			next.Reset(heartbeatInterval)
		} else {
			next.Reset(heartbeatRetry) // the others have not heard of the leader either
		}
	}
}

// heartbeat appends one heartbeat and reports whether the term is lost. A store that does not answer loses no term: only
// another's claim does.
func (e *Election) heartbeat(ctx context.Context, token int64) (lost bool) {
	began := bootclock.Now()
	_, err := e.append(ctx, record{Holder: e.holder, Peer: e.peer, Token: token}, e.pace.Timeout(0))
	e.pace.Observe(bootclock.Now() - began)
	if err == nil {
		return false
	}
	// An unknown outcome and another's record both show in the chain.
	page, err := e.readFrom(ctx, e.end, time.Millisecond)
	var trimmed *store.TrimmedError
	if errors.As(err, &trimmed) {
		err = e.catchUp(ctx)
	}
	if err != nil {
		return false
	}
	for _, r := range page.Records {
		e.observe(r)
	}
	l, _ := e.Current()
	return l.Token != token
}

// release tells the others that they may claim at once.
func (e *Election) release(ctx context.Context, token int64) {
	if _, err := e.append(ctx, record{Holder: e.holder, Peer: e.peer, Token: token, Released: true}, callTimeout); err != nil {
		e.log.Warn().Err(err).Str("event", "release_failed").Msg("leadership could not be released; it ends by silence")
	}
}
