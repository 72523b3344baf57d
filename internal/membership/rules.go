package membership

import (
	"time"

	"pollenlead/internal/replica"
)

const (
	// sessionLeaseTTL is the duration of the session lease, measured from before the append of the renewal was sent.
	sessionLeaseTTL = 10 * time.Second
	// renewInterval is the interval between renewals. It allows two more renewals within the lease after one was lost.
	renewInterval = 3 * time.Second
	// revokeDelay is the time without a renewal after which a session may be revoked: the session lease plus a margin of
	// 2 s for different clock rates.
	revokeDelay = 12 * time.Second
	// minRevokerContact is the minimum duration of unbroken log contact before a member may revoke a session. A holder
	// that receives an entry of a member without log contact can therefore rely on this member not revoking any session
	// for minRevokerContact less the age of the entry.
	minRevokerContact = 20 * time.Second
	// contactWindow is the maximum age of log contact and digest entries in the contact rule. With at most 1 s for a late
	// answer it ensures that a withdrawn key is rejected within 5 s.
	contactWindow = 4 * time.Second
	// logContactTimeout is the age of the last log contact above which a member's contact counts as lost.
	logContactTimeout = 2 * time.Second
)

// member is another entry instance. The log counts as down for all only if a recent entry of every member is known.
// Holder is empty for an instance that is known only from the platform's list.
type member struct {
	Name   string
	Holder string
}

// contactView is the input of the contact rule.
type contactView struct {
	now           time.Time
	logContact    time.Time
	configVersion uint64
	listKnown     bool
	members       []member
	entries       map[string]receivedEntry
}

// newestEntry returns the newest entry of a member. An entry belongs to a session only if it lists the session's
// holder, because another process of the same name proves nothing about the first one.
func (v *contactView) newestEntry(m member) (receivedEntry, bool) {
	var best receivedEntry
	found := false
	for _, h := range v.entries {
		if !belongsTo(h.entry, m) || (found && !h.madeAt.After(best.madeAt)) {
			continue
		}
		best, found = h, true
	}
	return best, found
}

// belongsTo reports whether the entry was created by the member's process.
func belongsTo(e Entry, m member) bool {
	if m.Holder == "" {
		return e.Name == m.Name
	}
	for _, holder := range e.Holders {
		if holder == m.Holder {
			return true
		}
	}
	return false
}

// logDownForAll reports whether an entry of every other member was received within the window and none of them had log
// contact. It returns false while the list is not known, because members may be missing then.
func (v *contactView) logDownForAll() bool {
	if !v.listKnown {
		return false
	}
	for _, m := range v.members {
		h, ok := v.newestEntry(m)
		if !ok || v.now.Sub(h.madeAt) > contactWindow || !h.logDown() {
			return false
		}
	}
	// An instance that joined after this one lost contact with the log is not a known member, but its log contact counts.
	for _, h := range v.entries {
		if v.now.Sub(h.madeAt) <= contactWindow && !h.logDown() {
			return false
		}
	}
	return true
}

// documentIsNewest reports whether no received entry has a newer document. The document of a member that had log
// contact for longer than this instance may withdraw a key.
func (v *contactView) documentIsNewest() bool {
	for _, h := range v.entries {
		if h.entry.ConfigVersion > v.configVersion {
			return false
		}
	}
	return true
}

// The reasons of the contact rule.
const (
	ReasonLogContact     = "log_contact"
	ReasonLogDownForAll  = "log_down_for_all"
	ReasonNoContact      = "no_contact"
	ReasonDocumentBehind = "document_behind"
)

// takesKeyedWork implements the contact rule: work with a key is accepted while this instance has log contact, or while
// the log is down for all members and none of them has a newer document, in which a key may be withdrawn.
func takesKeyedWork(v *contactView) (bool, string) {
	if hasLogContact(v.now, v.logContact) {
		return true, ReasonLogContact
	}
	if !v.logDownForAll() {
		return false, ReasonNoContact
	}
	if !v.documentIsNewest() {
		return false, ReasonDocumentBehind
	}
	return true, ReasonLogDownForAll
}

func hasLogContact(now, last time.Time) bool {
	return !last.IsZero() && now.Sub(last) <= contactWindow
}

// revocationDue reports whether a session whose last renewal was read at the time seen may be revoked.
func revocationDue(now, seen time.Time, contact replica.Contact, leaseValid bool) bool {
	return leaseValid && now.Sub(seen) >= revokeDelay && contact.UnbrokenFor(now) >= minRevokerContact
}

// renewedEnd returns the end of a lease after a renewal that was sent at the given time. An expired lease stays
// expired, because its work has ended and the process continues under a new incarnation.
func renewedEnd(now, end, sent time.Time) time.Time {
	renewed := sent.Add(sessionLeaseTTL)
	if !now.Before(end) || renewed.Before(end) {
		return end
	}
	return renewed
}

// extendedEnd returns the end of a lease that is extended while the log is down for all. No member can revoke the
// session within the next 16 s.
func extendedEnd(now, end time.Time) time.Time {
	return renewedEnd(now, end, now)
}
