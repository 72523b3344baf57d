package membership

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"pollenlead/internal/record"
	"pollenlead/internal/replica"
	"pollenlead/internal/statemachine"
)

const (
	// sessionCheckInterval is the interval between checks of the lease and of the session in the applied state.
	sessionCheckInterval = 100 * time.Millisecond
	// reopenDelay is the delay before the session is opened again, so that a session that cannot be opened does not fill
	// the log.
	reopenDelay = 500 * time.Millisecond
)

// errSessionLost reports that the session ended without being closed: it was revoked or its lease expired.
var errSessionLost = errors.New("session was revoked or its lease expired")

// runSession opens and maintains the session. After the session is lost, it opens another under a new incarnation.
func (m *Member) runSession(ctx context.Context) {
	for ctx.Err() == nil && !m.lease.isClosed() {
		err := m.openSession(ctx)
		if err == nil {
			err = m.maintainSession(ctx)
		}
		m.lease.drop()
		if ctx.Err() != nil || m.lease.isClosed() {
			return
		}
		if !errors.Is(err, replica.ErrNotSent) {
			m.count(func(s *Stats) { s.SessionsLost++ })
			m.replaceIncarnation()
		}
		sleep(ctx, reopenDelay)
	}
}

// replaceIncarnation assigns a new holder to the process. The previous holder stays in the process's digest entry until
// the end of its session is in the log.
func (m *Member) replaceIncarnation() {
	identity := replica.Identity{Writer: m.opts.Name, Incarnation: m.opts.NewIncarnation()}
	m.mu.Lock()
	m.holders = append(m.holders, identity.Incarnation)
	m.holders = m.holders[max(0, len(m.holders)-maxEntryHolders):]
	m.mu.Unlock()
	m.opts.Committer.Reset(identity)
}

// openSession opens a session and starts its lease.
func (m *Member) openSession(ctx context.Context) error {
	identity := m.opts.Committer.Identity()
	sent := m.opts.Clock()
	open := m.opts.Session
	outcomes, err := m.opts.Committer.SubmitAs(ctx, identity, record.Op{SessionOpen: &open})
	if err != nil {
		return fmt.Errorf("open session %s: %w", identity.Incarnation, err)
	}
	if !outcomes[0].Accepted {
		return fmt.Errorf("open session %s: rejected: %s", identity.Incarnation, outcomes[0].Reason)
	}
	m.lease.start(identity.Incarnation, sent)
	m.count(func(s *Stats) { s.SessionsOpened++ })
	m.removeEndedHolders()
	return nil
}

// removeEndedHolders removes the holders of this process whose sessions have ended, except the current one.
func (m *Member) removeEndedHolders() {
	open := map[string]bool{}
	m.opts.Follower.View(func(s *statemachine.State) {
		for _, session := range s.Sessions() {
			open[session.Holder] = true
		}
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.holders[len(m.holders)-1]
	m.holders = slices.DeleteFunc(m.holders, func(h string) bool { return h != current && !open[h] })
}

// maintainSession renews the lease until the session is lost. At most one renewal is outstanding.
func (m *Member) maintainSession(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	holder := m.lease.Holder()
	renewals := make(chan error, 1)
	renewing := false
	nextRenewal := m.opts.Clock().Add(renewInterval)
	ticker := time.NewTicker(sessionCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-renewals:
			renewing = false
			if errors.Is(err, replica.ErrNotSent) {
				nextRenewal = m.opts.Clock().Add(reopenDelay)
			} else if err != nil {
				return err
			}
		case <-ticker.C:
		}
		if m.lease.isClosed() {
			return nil
		}
		now := m.opts.Clock()
		if m.lease.Valid() && m.contactView(now).logDownForAll() {
			m.lease.extend(now)
		}
		if !m.lease.Valid() || !m.sessionOpen(holder) {
			return errSessionLost
		}
		if !renewing && !now.Before(nextRenewal) {
			renewing = true
			nextRenewal = now.Add(renewInterval)
			go func() { renewals <- m.renewOnce(ctx, holder) }()
		}
	}
}

// renewOnce submits one renewal. The renewed lease is measured from before the submission and takes effect only once
// the outcome is known.
func (m *Member) renewOnce(ctx context.Context, holder string) error {
	identity := replica.Identity{Writer: m.opts.Name, Incarnation: holder}
	sent := m.opts.Clock()
	outcomes, err := m.opts.Committer.SubmitAs(ctx, identity, record.Op{SessionRenew: &record.SessionRenew{}})
	if err != nil {
		return fmt.Errorf("renew session %s: %w", holder, err)
	}
	if !outcomes[0].Accepted {
		return errSessionLost
	}
	m.lease.renew(holder, sent)
	return nil
}

// sessionOpen reports whether the session of holder is open in the applied state.
func (m *Member) sessionOpen(holder string) (open bool) {
	m.opts.Follower.View(func(s *statemachine.State) { _, open = s.Session(holder) })
	return open
}

// Close closes the session immediately. It must be called after the last work has ended. The lease ends before the
// close is submitted, because the allotments are free from the moment the close is applied. A session whose open is
// still outstanding is closed too, because the open precedes the close.
func (m *Member) Close(ctx context.Context) error {
	m.lease.close()
	identity := m.opts.Committer.Identity()
	outcomes, err := m.opts.Committer.SubmitAs(ctx, identity, record.Op{SessionClose: &record.SessionClose{}})
	if err != nil {
		return fmt.Errorf("close session %s: %w", identity.Incarnation, err)
	}
	if o := outcomes[0]; !o.Accepted && o.Reason != statemachine.ReasonSessionNotOpen {
		return fmt.Errorf("close session %s: rejected: %s", identity.Incarnation, o.Reason)
	}
	return nil
}

// observedRenewal is the last renewal of a session and the time at which this process observed it.
type observedRenewal struct {
	offset uint64
	at     time.Time
}

// runRevoker proposes the revocation of sessions that are not renewed.
func (m *Member) runRevoker(ctx context.Context) {
	seen := map[string]observedRenewal{}
	for {
		sleep(ctx, sessionCheckInterval)
		if ctx.Err() != nil {
			return
		}
		for _, revoke := range m.dueRevocations(seen) {
			m.revoke(ctx, revoke)
		}
	}
}

// dueRevocations updates seen from the applied state and returns the revocations that are due. The state is read before
// the clock, so that the recorded time of a renewal is never earlier than the time at which it was read.
func (m *Member) dueRevocations(seen map[string]observedRenewal) []record.SessionRevoke {
	var sessions []statemachine.Session
	m.opts.Follower.View(func(s *statemachine.State) { sessions = s.Sessions() })
	contact := m.opts.Follower.Contact()
	now := m.opts.Clock()
	return overdueSessions(seen, sessions, m.lease.Holder(), now, func(at time.Time) bool {
		return revocationDue(now, at, contact, m.lease.Valid())
	})
}

// overdueSessions implements dueRevocations. due reports whether a session with a renewal observed at the given time
// may be revoked.
func overdueSessions(
	seen map[string]observedRenewal, sessions []statemachine.Session, own string, now time.Time, due func(time.Time) bool,
) []record.SessionRevoke {
	var revocations []record.SessionRevoke
	open := map[string]bool{}
	for _, session := range sessions {
		open[session.Holder] = true
		last, ok := seen[session.Holder]
		if !ok || last.offset != session.LastRenewal {
			seen[session.Holder] = observedRenewal{offset: session.LastRenewal, at: now}
			continue
		}
		if session.Holder != own && due(last.at) {
			revocations = append(revocations, record.SessionRevoke{Holder: session.Holder, LastRenewal: last.offset})
		}
	}
	for holder := range seen {
		if !open[holder] {
			delete(seen, holder)
		}
	}
	return revocations
}

// revoke proposes one revocation. The state machine rejects it if the session has been renewed or has ended.
func (m *Member) revoke(ctx context.Context, op record.SessionRevoke) {
	identity := replica.Identity{Writer: m.opts.Name, Incarnation: m.lease.Holder()}
	ctx, cancel := context.WithTimeout(ctx, revokeDelay-sessionLeaseTTL)
	defer cancel()
	outcomes, err := m.opts.Committer.SubmitAs(ctx, identity, record.Op{SessionRevoke: &op})
	m.count(func(s *Stats) {
		s.RevocationsProposed++
		if err == nil && outcomes[0].Accepted {
			s.RevocationsAccepted++
		}
	})
}
