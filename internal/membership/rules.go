package membership

import (
	"time"

	"pollenlead/internal/replica"
)

const (
	// leaseLength is the session lease, from before the renewal's append was sent.
	leaseLength = 10 * time.Second
	// renewInterval leaves time for two more renewals within the lease when one is lost.
	renewInterval = 3 * time.Second
	// revokeAfter is the lease plus a guard of 2 s for different clock rates.
	revokeAfter = 12 * time.Second
	// revokeContact is the unbroken log contact that a revocation needs. A holder that hears from a member without log
	// contact therefore knows that this member cannot revoke for revokeContact less the entry's age.
	revokeContact = 20 * time.Second
	// contactWindow is the age up to which log contact and digest entries count for keyed work. With at most 1 s for a
	// late answer it keeps the bound of 5 s for withdrawn keys.
	contactWindow = 4 * time.Second
	// logDownAfter is the log contact age above which a member's contact is broken.
	logDownAfter = 2 * time.Second
)

// member is another entry instance that must be heard before the log counts as down for all. Holder is empty for an
// instance that only the platform's list shows.
type member struct {
	Name   string
	Holder string
}

// contactView is what the contact rule decides on.
type contactView struct {
	now           time.Time
	logContact    time.Time
	configVersion uint64
	listKnown     bool
	members       []member
	heard         map[string]heard
}

// find returns the newest entry of a member. A session must be heard under its own holder: another process under the same
// name proves nothing about the first.
func (v *contactView) find(m member) (heard, bool) {
	var best heard
	found := false
	for _, h := range v.heard {
		if !covers(h.entry, m) || (found && !h.made.After(best.made)) {
			continue
		}
		best, found = h, true
	}
	return best, found
}

func covers(e Entry, m member) bool {
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

// logDownForAll reports whether every other member was heard within the window and none of them had log contact. It is
// false while the list is not known, because members may then be missing.
func (v *contactView) logDownForAll() bool {
	if !v.listKnown {
		return false
	}
	for _, m := range v.members {
		h, ok := v.find(m)
		if !ok || v.now.Sub(h.made) > contactWindow || !h.logDown() {
			return false
		}
	}
	// An instance that joined after this one lost the log is no known member yet, but its contact counts as well.
	for _, h := range v.heard {
		if v.now.Sub(h.made) <= contactWindow && !h.logDown() {
			return false
		}
	}
	return true
}

// documentIsNewest reports whether no member that was heard has a newer document. A member that read the log for longer
// than this instance may know a withdrawn key.
func (v *contactView) documentIsNewest() bool {
	for _, h := range v.heard {
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

// takesKeyedWork is the contact rule.
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

// revocationDue reports whether a session whose last renewal was read at seen may be revoked.
func revocationDue(now, seen time.Time, contact replica.Contact, leaseValid bool) bool {
	return leaseValid && now.Sub(seen) >= revokeAfter && contact.UnbrokenFor(now) >= revokeContact
}

// renewedEnd is the end of a lease after a renewal that was sent at the time given. An expired lease stays expired: its
// work has ended, and the process continues under a new incarnation.
func renewedEnd(now, end, sent time.Time) time.Time {
	renewed := sent.Add(leaseLength)
	if !now.Before(end) || renewed.Before(end) {
		return end
	}
	return renewed
}

// extendedEnd is the end of a lease while the log is down for all: no member can revoke within the next 16 s.
func extendedEnd(now, end time.Time) time.Time {
	return renewedEnd(now, end, now)
}
