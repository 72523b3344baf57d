package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/platform"
	"pollenlead/internal/record"
	"pollenlead/internal/replica"
	"pollenlead/internal/statemachine"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// entryFrom returns an entry that holder created at the given second, with the age of its log contact.
func entryFrom(holder string, second float64, logAge time.Duration, version uint64) receivedEntry {
	e := Entry{
		Name: "n-" + holder, Incarnation: holder, Holders: []string{holder},
		LogAgeMillis: logAge.Milliseconds(), ConfigVersion: version,
	}
	return receivedEntry{entry: e, madeAt: at(second)}
}

// Guards against accepting work although its key may have been withdrawn, and against needless rejections while the log
// is down for all. The decision is made at second 100.
func TestContactRule(t *testing.T) {
	a, b := member{Name: "n-a", Holder: "a"}, member{Name: "n-b", Holder: "b"}
	listed := member{Name: "n-b"}
	lostContact, recentContact := time.Minute, time.Second
	for name, c := range map[string]struct {
		logContact time.Time
		listKnown  bool
		members    []member
		entries    []receivedEntry
		ok         bool
		reason     string
	}{
		"log read 4 s ago": {logContact: at(96), ok: true, reason: ReasonLogContact},
		"log read longer ago": {
			logContact: at(95.9), members: []member{a}, listKnown: true, reason: ReasonNoContact,
		},
		"all members without log contact": {
			listKnown: true, members: []member{a, b},
			entries: []receivedEntry{entryFrom("a", 97, lostContact, 1), entryFrom("b", 96, lostContact, 1)},
			ok:      true, reason: ReasonLogDownForAll,
		},
		"one member with log contact": {
			listKnown: true, members: []member{a, b},
			entries: []receivedEntry{entryFrom("a", 97, lostContact, 1), entryFrom("b", 99, recentContact, 1)},
			reason:  ReasonNoContact,
		},
		"a new instance with log contact": {
			listKnown: true, members: []member{a},
			entries: []receivedEntry{entryFrom("a", 97, lostContact, 1), entryFrom("b", 99, recentContact, 1)},
			reason:  ReasonNoContact,
		},
		"log contact age of just 2 s": {
			listKnown: true, members: []member{a},
			entries: []receivedEntry{entryFrom("a", 99, logContactTimeout, 1)},
			reason:  ReasonNoContact,
		},
		"never had contact": {
			listKnown: true, members: []member{a},
			entries: []receivedEntry{entryFrom("a", 99, -time.Millisecond, 1)},
			ok:      true, reason: ReasonLogDownForAll,
		},
		"one entry is too old": {
			listKnown: true, members: []member{a, b},
			entries: []receivedEntry{entryFrom("a", 97, lostContact, 1), entryFrom("b", 95.9, lostContact, 1)},
			reason:  ReasonNoContact,
		},
		"one entry is missing": {
			listKnown: true, members: []member{a, b},
			entries: []receivedEntry{entryFrom("a", 97, lostContact, 1)},
			reason:  ReasonNoContact,
		},
		"entry of another incarnation": {
			listKnown: true, members: []member{b},
			entries: []receivedEntry{{entry: Entry{Name: "n-b", Holders: []string{"b2"}, LogAgeMillis: -1}, madeAt: at(99)}},
			reason:  ReasonNoContact,
		},
		"entry of a listed instance": {
			listKnown: true, members: []member{listed},
			entries: []receivedEntry{entryFrom("b", 98, lostContact, 1)},
			ok:      true, reason: ReasonLogDownForAll,
		},
		"list not known": {
			members: []member{a},
			entries: []receivedEntry{entryFrom("a", 99, lostContact, 1)},
			reason:  ReasonNoContact,
		},
		"a member has a newer document": {
			listKnown: true, members: []member{a},
			entries: []receivedEntry{entryFrom("a", 99, lostContact, 2)},
			reason:  ReasonDocumentBehind,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := &contactView{
				now: at(100), logContact: c.logContact, configVersion: 1, listKnown: c.listKnown,
				members: c.members, entries: map[string]receivedEntry{},
			}
			for _, h := range c.entries {
				v.entries[h.entry.Incarnation] = h
			}
			ok, reason := takesKeyedWork(v)
			is.Equal(ok, c.ok)
			is.Equal(reason, c.reason)
		})
	}
}

// Guards against members that are missed because the list lags, and against waiting for instances that are gone.
func TestOtherMembers(t *testing.T) {
	is := is.New(t)
	list := listView{}
	list.update(platform.Listing{Entries: []platform.EntryListing{{ID: "own"}, {ID: "gone"}, {ID: "listed"}}})
	list.update(platform.Listing{Entries: []platform.EntryListing{{ID: "own"}, {ID: "listed"}}})
	sessions := []statemachine.Session{{Name: "own", Holder: "o"}, {Name: "gone", Holder: "g"}, {Name: "new", Holder: "n"}}
	is.Equal(otherMembers("own", sessions, &list), []member{{Name: "new", Holder: "n"}, {Name: "listed"}})
}

// Guards against leases that outlast their renewal, that become valid again after they expired, or that are shortened.
func TestLeaseEnd(t *testing.T) {
	is := is.New(t)
	is.Equal(renewedEnd(at(5), at(10), at(3)), at(13))  // measured from before the append was sent
	is.Equal(renewedEnd(at(10), at(10), at(3)), at(10)) // expired before the outcome was known
	is.Equal(renewedEnd(at(5), at(14), at(3)), at(14))  // an extension has a later end
	is.Equal(extendedEnd(at(9), at(10)), at(19))
	is.Equal(extendedEnd(at(10), at(10)), at(10))
}

// Guards against a holder that continues after a pause of its process: its lease must be invalid before anything else
// runs, a late outcome must not make it valid again, and a closed lease must not start again.
func TestPausedHolder(t *testing.T) {
	is := is.New(t)
	now := at(0)
	lease := &SessionLease{clock: func() time.Time { return now }}
	lease.start("a", at(0))
	is.True(lease.Valid())
	decided := now
	now = at(11) // the pause
	is.True(!lease.Valid())
	lease.renew("a", at(3))
	lease.extend(decided)
	is.True(!lease.Valid())
	lease.start("b", at(11))
	lease.renew("a", at(20)) // another holder's renewal
	is.Equal(lease.End(), at(21))
	lease.close()
	lease.start("c", at(11))
	is.Equal(lease.Holder(), "")
}

// Guards against revocations by a member that had no log contact, was paused, or has no valid lease itself.
func TestRevocationDue(t *testing.T) {
	is := is.New(t)
	contact := replica.Contact{Last: at(99), UnbrokenSince: at(80)}
	is.True(revocationDue(at(100), at(88), contact, true))
	// renewed 11.9 s ago
	is.True(!revocationDue(at(100), at(88.1), contact, true))
	// own lease expired
	is.True(!revocationDue(at(100), at(88), contact, false))
	// contact too short
	is.True(!revocationDue(at(100), at(50), replica.Contact{Last: at(99), UnbrokenSince: at(80.1)}, true))
	// contact broken
	is.True(!revocationDue(at(100), at(50), replica.Contact{Last: at(97.9), UnbrokenSince: at(50)}, true))
	// no contact yet
	is.True(!revocationDue(at(100), at(50), replica.Contact{}, true))
	// A member without log contact cannot revoke a session before its extended lease and the margin have passed.
	is.Equal(revokeDelay > sessionLeaseTTL &&
		minRevokerContact-contactWindow >= sessionLeaseTTL+(revokeDelay-sessionLeaseTTL), true)
}

// Guards against a renewal whose age is measured from before it was read, and against revocations with an offset that
// was not read.
func TestOverdueSessions(t *testing.T) {
	is := is.New(t)
	seen := map[string]observedRenewal{}
	sessions := []statemachine.Session{{Holder: "own", LastRenewal: 1}, {Holder: "a", LastRenewal: 2}}
	due := func(now time.Time) func(time.Time) bool {
		return func(at time.Time) bool { return now.Sub(at) >= revokeDelay }
	}
	is.Equal(len(overdueSessions(seen, sessions, "own", at(0), due(at(0)))), 0)
	sessions[1].LastRenewal = 5
	is.Equal(len(overdueSessions(seen, sessions, "own", at(11), due(at(11)))), 0)
	is.Equal(len(overdueSessions(seen, sessions, "own", at(22), due(at(22)))), 0)
	is.Equal(overdueSessions(seen, sessions, "own", at(23), due(at(23))),
		[]record.SessionRevoke{{Holder: "a", LastRenewal: 5}})
	is.Equal(len(overdueSessions(seen, nil, "own", at(24), due(at(24)))), 0)
	is.Equal(len(seen), 0)
}

// Guards against entries that appear younger than they are, and against older entries that replace newer ones.
func TestDigestMergeAndAges(t *testing.T) {
	is := is.New(t)
	view := map[string]receivedEntry{}
	entry := func(counter uint64, age int64) []Entry {
		return []Entry{{Incarnation: "a", Counter: counter, AgeMillis: age}}
	}
	mergeDigest(view, entry(2, 500), at(10))
	is.Equal(view["a"].madeAt, at(9.5))
	mergeDigest(view, entry(1, 0), at(11))    // an older counter
	mergeDigest(view, entry(2, 3000), at(11)) // the same entry over a longer path
	is.Equal(view["a"].madeAt, at(9.5))
	mergeDigest(view, entry(2, 100), at(10)) // the same entry over a shorter path
	is.Equal(view["a"].madeAt, at(9.9))
	sent := digestOf(view, at(12).Add(time.Microsecond), entryRetention)
	is.Equal(sent[0].AgeMillis, int64(2101)) // 2.1 s held, rounded up
	is.Equal(len(digestOf(view, at(100), entryRetention)), 0)
	dropExpired(view, at(100), entryRetention)
	is.Equal(len(view), 0)
}

// Guards against peers that are never called, or are called twice in one round.
func TestRotation(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	called := map[string]int{}
	for round := range 8 {
		chosen := rotation(names, round, heartbeatFanout)
		is.Equal(len(chosen), heartbeatFanout)
		for _, name := range chosen {
			called[name]++
		}
	}
	for _, name := range names {
		is.Equal(called[name], 3)
	}
	is.Equal(rotation([]string{"a"}, 5, heartbeatFanout), []string{"a"})
	is.Equal(len(rotation(nil, 1, heartbeatFanout)), 0)
}

// Guards against a difference that is never reported because the session of the first rank does not report it, and
// against reports by all sessions at once.
func TestReportTurn(t *testing.T) {
	is := is.New(t)
	sessions := []string{"a", "b", "c"}
	ranks := map[int]bool{}
	for _, s := range sessions {
		ranks[rendezvousRank(listResource, s, sessions)] = true
	}
	is.Equal(ranks, map[int]bool{0: true, 1: true, 2: true})
	is.Equal(rendezvousRank(listResource, "x", sessions), -1)
	turn := reportTurn{}.next(7)
	is.True(turn.mayReport(0) && !turn.mayReport(1) && !turn.mayReport(-1))
	turn = turn.next(7).next(7).next(7)
	is.True(turn.mayReport(1) && !turn.mayReport(2))
	is.True(!turn.next(8).mayReport(1)) // the list version has changed
}

// Guards against reports that repeat the applied state, omit an instance that is gone, or revert a newer list.
func TestListChanges(t *testing.T) {
	is := is.New(t)
	state := statemachine.New()
	write := func(op record.Op, seq uint64) {
		data, err := record.Encode(record.Record{Writer: "w", Incarnation: "i", Seq: seq, Ops: []record.Op{op}})
		is.NoErr(err)
		_, err = state.Apply(state.Next(), data)
		is.NoErr(err)
	}
	w1 := record.Instance{ID: "w1", Phase: record.PhaseLive, Slots: 8}
	w2 := record.Instance{ID: "w2", Phase: record.PhaseLive, Slots: 8}
	write(record.Op{SessionOpen: &record.SessionOpen{}}, 1)
	write(record.Op{InstancesReport: &record.InstancesReport{ListVersion: 5, Instances: []record.Instance{w1, w2}}}, 2)
	is.Equal(len(listChanges(platform.Listing{Version: 5, Workers: []record.Instance{w1, w2}}, state)), 0)
	is.Equal(len(listChanges(platform.Listing{Version: 4}, state)), 0)
	w1.Phase = record.PhaseLeaving
	is.Equal(listChanges(platform.Listing{Version: 6, Workers: []record.Instance{w1}}, state),
		[]record.Instance{w1, {ID: "w2", Phase: record.PhaseGone}})
}

// Guards against an empty or partial list that removes all slots of the fleet at once, against a small loss or a
// lasting large one that is never reported, and against holding back other changes at the same time.
func TestGoneLimiter(t *testing.T) {
	is := is.New(t)
	live, gone := map[string]bool{}, []record.Instance{}
	for n := range 10 {
		id := fmt.Sprintf("w%d", n)
		live[id] = true
		gone = append(gone, record.Instance{ID: id, Phase: record.PhaseGone})
	}
	fresh := record.Instance{ID: "new", Phase: record.PhaseLive}
	half, most := gone[:5], append([]record.Instance{fresh}, gone[:6]...)
	_, report := goneLimiter{}.next(half, live)
	is.Equal(report, half)
	four := map[string]bool{"w0": true, "w1": true, "w2": true, "w3": true}
	_, report = goneLimiter{}.next(gone[:4], four)
	is.Equal(len(report), 4)
	_, report = goneLimiter{}.next(gone, four)
	is.Equal(len(report), 10) // six of them are not live in the applied state

	limiter := goneLimiter{}
	for range goneConfirmPolls - 1 {
		limiter, report = limiter.next(most, live)
		is.Equal(report, []record.Instance{fresh})
	}
	other, report := limiter.next(gone, live)
	is.Equal(len(report), 0) // a different set of gone instances restarts the count
	_, report = other.next(most, live)
	is.Equal(len(report), 1)
	_, report = limiter.next(half, live)
	is.Equal(report, half)
	_, report = limiter.next(most, live)
	is.Equal(report, most)
}
