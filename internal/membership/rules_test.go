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

// said returns what holder said at the given second, with the age of its log contact.
func said(holder string, second float64, logAge time.Duration, version uint64) heard {
	e := Entry{Name: "n-" + holder, Incarnation: holder, Holders: []string{holder}, LogAgeMillis: logAge.Milliseconds(), ConfigVersion: version}
	return heard{entry: e, made: at(second)}
}

// Guards against keyed work that is taken although a withdrawn key may not be known, and against needless refusals while
// the log is down for all. The time of the decision is second 100.
func TestContactRule(t *testing.T) {
	a, b := member{Name: "n-a", Holder: "a"}, member{Name: "n-b", Holder: "b"}
	listed := member{Name: "n-b"}
	cut, near := time.Minute, time.Second
	for name, c := range map[string]struct {
		logContact time.Time
		listKnown  bool
		members    []member
		heard      []heard
		ok         bool
		reason     string
	}{
		"log read 4 s ago":                {logContact: at(96), ok: true, reason: ReasonLogContact},
		"log read longer ago":             {logContact: at(95.9), members: []member{a}, listKnown: true, reason: ReasonNoContact},
		"all heard without the log":       {listKnown: true, members: []member{a, b}, heard: []heard{said("a", 97, cut, 1), said("b", 96, cut, 1)}, ok: true, reason: ReasonLogDownForAll},
		"one reached the log":             {listKnown: true, members: []member{a, b}, heard: []heard{said("a", 97, cut, 1), said("b", 99, near, 1)}, reason: ReasonNoContact},
		"a newcomer reached the log":      {listKnown: true, members: []member{a}, heard: []heard{said("a", 97, cut, 1), said("b", 99, near, 1)}, reason: ReasonNoContact},
		"log contact age of just 2 s":     {listKnown: true, members: []member{a}, heard: []heard{said("a", 99, logDownAfter, 1)}, reason: ReasonNoContact},
		"never had contact":               {listKnown: true, members: []member{a}, heard: []heard{said("a", 99, -time.Millisecond, 1)}, ok: true, reason: ReasonLogDownForAll},
		"one heard too long ago":          {listKnown: true, members: []member{a, b}, heard: []heard{said("a", 97, cut, 1), said("b", 95.9, cut, 1)}, reason: ReasonNoContact},
		"one not heard":                   {listKnown: true, members: []member{a, b}, heard: []heard{said("a", 97, cut, 1)}, reason: ReasonNoContact},
		"heard under another incarnation": {listKnown: true, members: []member{b}, heard: []heard{{entry: Entry{Name: "n-b", Holders: []string{"b2"}, LogAgeMillis: -1}, made: at(99)}}, reason: ReasonNoContact},
		"instance of the list heard":      {listKnown: true, members: []member{listed}, heard: []heard{said("b", 98, cut, 1)}, ok: true, reason: ReasonLogDownForAll},
		"list not known":                  {members: []member{a}, heard: []heard{said("a", 99, cut, 1)}, reason: ReasonNoContact},
		"a member has a newer document":   {listKnown: true, members: []member{a}, heard: []heard{said("a", 99, cut, 2)}, reason: ReasonDocumentBehind},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := &contactView{now: at(100), logContact: c.logContact, configVersion: 1, listKnown: c.listKnown, members: c.members, heard: map[string]heard{}}
			for _, h := range c.heard {
				v.heard[h.entry.Incarnation] = h
			}
			ok, reason := takesKeyedWork(v)
			is.Equal(ok, c.ok)
			is.Equal(reason, c.reason)
		})
	}
}

// Guards against members that are forgotten because the list lags, and against waiting for instances that are gone.
func TestOtherMembers(t *testing.T) {
	is := is.New(t)
	list := listView{}
	list.update(platform.Listing{Entries: []platform.EntryListing{{ID: "own"}, {ID: "gone"}, {ID: "listed"}}})
	list.update(platform.Listing{Entries: []platform.EntryListing{{ID: "own"}, {ID: "listed"}}})
	sessions := []statemachine.Session{{Name: "own", Holder: "o"}, {Name: "gone", Holder: "g"}, {Name: "new", Holder: "n"}}
	is.Equal(otherMembers("own", sessions, &list), []member{{Name: "new", Holder: "n"}, {Name: "listed"}})
}

// Guards against leases that outlive the renewal they stand for, revive after they expired, or shrink.
func TestLeaseEnd(t *testing.T) {
	is := is.New(t)
	is.Equal(renewedEnd(at(5), at(10), at(3)), at(13))  // counts from before the append
	is.Equal(renewedEnd(at(10), at(10), at(3)), at(10)) // expired when the outcome came
	is.Equal(renewedEnd(at(5), at(14), at(3)), at(14))  // an extension went further
	is.Equal(extendedEnd(at(9), at(10)), at(19))
	is.Equal(extendedEnd(at(10), at(10)), at(10))
}

// Guards against a holder that goes on after a pause: its lease must be invalid before anything else runs, a late outcome
// must not revive it, and a closed lease must not start again.
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

// Guards against revocations by an observer that was cut off, paused, or not allowed to act itself.
func TestRevocationDue(t *testing.T) {
	is := is.New(t)
	contact := replica.Contact{Last: at(99), UnbrokenSince: at(80)}
	is.True(revocationDue(at(100), at(88), contact, true))
	is.True(!revocationDue(at(100), at(88.1), contact, true))                                                         // renewed 11.9 s ago
	is.True(!revocationDue(at(100), at(88), contact, false))                                                          // own lease expired
	is.True(!revocationDue(at(100), at(50), replica.Contact{Last: at(99), UnbrokenSince: at(80.1)}, true))            // contact too short
	is.True(!revocationDue(at(100), at(50), replica.Contact{Last: at(97.9), UnbrokenSince: at(50)}, true))            // contact broken
	is.True(!revocationDue(at(100), at(50), replica.Contact{}, true))                                                 // no contact yet
	is.Equal(revokeAfter > leaseLength && revokeContact-contactWindow >= leaseLength+(revokeAfter-leaseLength), true) // section 7
}

// Guards against a renewal that is counted from before it was read, and revocations with an offset that was never seen.
func TestOverdueSessions(t *testing.T) {
	is := is.New(t)
	seen := map[string]renewalSeen{}
	sessions := []statemachine.Session{{Holder: "own", LastRenewal: 1}, {Holder: "a", LastRenewal: 2}}
	due := func(now time.Time) func(time.Time) bool {
		return func(at time.Time) bool { return now.Sub(at) >= revokeAfter }
	}
	is.Equal(len(overdueSessions(seen, sessions, "own", at(0), due(at(0)))), 0)
	sessions[1].LastRenewal = 5
	is.Equal(len(overdueSessions(seen, sessions, "own", at(11), due(at(11)))), 0)
	is.Equal(len(overdueSessions(seen, sessions, "own", at(22), due(at(22)))), 0)
	is.Equal(overdueSessions(seen, sessions, "own", at(23), due(at(23))), []record.SessionRevoke{{Holder: "a", LastRenewal: 5}})
	is.Equal(len(overdueSessions(seen, nil, "own", at(24), due(at(24)))), 0)
	is.Equal(len(seen), 0)
}

// Guards against entries that look younger than they are, and older entries that replace newer ones.
func TestDigestMergeAndAges(t *testing.T) {
	is := is.New(t)
	view := map[string]heard{}
	entry := func(counter uint64, age int64) []Entry {
		return []Entry{{Incarnation: "a", Counter: counter, AgeMillis: age}}
	}
	merge(view, entry(2, 500), at(10))
	is.Equal(view["a"].made, at(9.5))
	merge(view, entry(1, 0), at(11))    // an older counter
	merge(view, entry(2, 3000), at(11)) // the same entry by a longer way
	is.Equal(view["a"].made, at(9.5))
	merge(view, entry(2, 100), at(10)) // the same entry by a shorter way
	is.Equal(view["a"].made, at(9.9))
	sent := forwarded(view, at(12).Add(time.Microsecond), viewKeep)
	is.Equal(sent[0].AgeMillis, int64(2101)) // 2.1 s held, rounded up
	is.Equal(len(forwarded(view, at(100), viewKeep)), 0)
	forget(view, at(100), viewKeep)
	is.Equal(len(view), 0)
}

// Guards against peers that are never called, or called twice in one round.
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

// Guards against a difference that nobody reports because the first session does not, and against reports by all.
func TestListTurn(t *testing.T) {
	is := is.New(t)
	sessions := []string{"a", "b", "c"}
	ranks := map[int]bool{}
	for _, s := range sessions {
		ranks[rank(listResource, s, sessions)] = true
	}
	is.Equal(ranks, map[int]bool{0: true, 1: true, 2: true})
	is.Equal(rank(listResource, "x", sessions), -1)
	turn := listTurn{}.next(7)
	is.True(turn.due(0) && !turn.due(1) && !turn.due(-1))
	turn = turn.next(7).next(7).next(7)
	is.True(turn.due(1) && !turn.due(2))
	is.True(!turn.next(8).due(1)) // the version moved on
}

// Guards against reports that repeat what is folded, miss an instance that left, or undo a newer list.
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

// Guards against an empty or partial list that drops all slots of the fleet at once, against a small loss or a lasting large
// one that is never reported, and against holding back other changes meanwhile.
func TestGoneGuard(t *testing.T) {
	is := is.New(t)
	live, gone := map[string]bool{}, []record.Instance{}
	for n := range 10 {
		id := fmt.Sprintf("w%d", n)
		live[id] = true
		gone = append(gone, record.Instance{ID: id, Phase: record.PhaseGone})
	}
	fresh := record.Instance{ID: "new", Phase: record.PhaseLive}
	half, most := gone[:5], append([]record.Instance{fresh}, gone[:6]...)
	_, report := goneGuard{}.next(half, live)
	is.Equal(report, half)
	four := map[string]bool{"w0": true, "w1": true, "w2": true, "w3": true}
	_, report = goneGuard{}.next(gone[:4], four)
	is.Equal(len(report), 4)
	_, report = goneGuard{}.next(gone, four)
	is.Equal(len(report), 10) // six of them are gone already

	guard := goneGuard{}
	for range goneConfirmPolls - 1 {
		guard, report = guard.next(most, live)
		is.Equal(report, []record.Instance{fresh})
	}
	other, report := guard.next(gone, live)
	is.Equal(len(report), 0) // another answer starts from the beginning
	_, report = other.next(most, live)
	is.Equal(len(report), 1)
	_, report = guard.next(half, live)
	is.Equal(report, half)
	_, report = guard.next(most, live)
	is.Equal(report, most)
}
