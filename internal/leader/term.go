package leader

import (
	"context"
	"errors"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/store"
)

// term leads until another entry instance has claimed, the work ends, this entry instance hands over or resigns, or
// ctx is done.
func (e *Election) term(ctx context.Context, token int64) {
	e.log.Info().Str("event", "term_begin").Int64("token", token).Msg("this entry instance leads")
	work, stop := context.WithCancel(ctx)
	e.members.setLeading(true)
	defer e.members.setLeading(false)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.refreshMembers(work)
		e.lead(work, token)
	}()
	reason := e.renew(ctx, token, done)
	stop()
	<-done
	if reason == endResigned || reason == endWorkDone || reason == endHandOver {
		e.release(ctx, token)
	}
	if reason == endResigned {
		close(e.resigned)
	}
	e.log.Info().Str("event", "term_end").Int64("token", token).Str("reason", string(reason)).
		Msg("this entry instance no longer leads")
}

// refreshMembers reads the members at the beginning of a term, because the last list may be outdated. It is bounded
// by refreshTimeout.
func (e *Election) refreshMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	_, _ = e.members.refresh(ctx)
}

// endReason is the reason for which a term ended.
type endReason string

const (
	endStopped  endReason = "process is stopping"
	endLost     endReason = "another entry instance has claimed"
	endResigned endReason = "resigned"
	endWorkDone endReason = "the leader's work ended"
	endHandOver endReason = "handing over to an entry instance with a larger CPU share"
)

// renew appends heartbeats until the term ends and returns the reason.
func (e *Election) renew(ctx context.Context, token int64, work <-chan struct{}) endReason {
	next := time.NewTimer(heartbeatInterval)
	defer next.Stop()
	began := bootclock.Now()
	for {
		if e.members.mayHandOver() && bootclock.Now()-began > minTermBeforeHandOver {
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
			return endWorkDone
		case <-changed:
			continue
		case <-next.C:
		}
		seen, sent := e.lastSeen, bootclock.Now()
		if lost := e.heartbeat(ctx, token); lost {
			return endLost
		}
		if e.lastSeen > seen {
			// The interval counts from the sending: on a slow store the term would otherwise be confirmed too rarely.
			next.Reset(max(heartbeatInterval-(bootclock.Now()-sent), heartbeatRetryDelay))
		} else {
			next.Reset(heartbeatRetryDelay) // the other entry instances have not read a heartbeat either
		}
	}
}

// heartbeat appends one heartbeat and reports whether the term is lost. A term is lost only when another entry
// instance has claimed, not when the store fails to answer.
func (e *Election) heartbeat(ctx context.Context, token int64) (lost bool) {
	began := bootclock.Now()
	if e.unconfirmedSince == 0 {
		e.unconfirmedSince = began
	}
	r := record{Holder: e.holder, Peer: e.peer, Token: token}
	if e.note != nil {
		r.Note = e.note()
	}
	_, err := e.append(ctx, r, e.pace.Timeout(0))
	e.pace.Observe(bootclock.Now() - began)
	if err == nil {
		return false
	}
	// After an unknown outcome or a conflicting record, the chain shows the current leader.
	page, err := e.readFrom(ctx, e.nextOffset, time.Millisecond)
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
	if l.Token != token {
		return true
	}
	if e.wroteOne(page.Records) { // a heartbeat without an answer was stored
		e.confirm(e.unconfirmedSince)
	}
	return false
}

// release appends a record that allows the others to claim at once.
func (e *Election) release(ctx context.Context, token int64) {
	r := record{Holder: e.holder, Peer: e.peer, Token: token, Released: true}
	if _, err := e.append(ctx, r, callTimeout); err != nil {
		e.log.Warn().Err(err).Str("event", "release_failed").
			Msg("leadership could not be released; others claim after the claim timeout")
	}
}
