package leader

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/store"
)

// TestMembersLeaveOutTheGone guards against a leader that hands over to, or sends calls through, entry instances that are no longer there, and
// against records that cannot be read.
func TestMembersLeaveOutTheGone(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	tell := func(name string, share float64, age time.Duration) store.Record {
		return store.Record{Key: name, Value: fmt.Appendf(nil, `{"cpu_share":%g,"zone":"z","relay":"a:1","at_ms":%d}`, share, now.Add(-age).UnixMilli())}
	}
	list, settled := decodeMembers([]store.Record{tell("a", 0.2, 0), tell("b", 0.8, memberAge+time.Second), {Key: "c", Value: []byte("{")}, {Key: "d"}}, "a", now)
	is.Equal(list, []Member{{Name: "a", Zone: "z", Relay: "a:1", CPUShare: 0.2}})
	is.True(!settled)
	list, settled = decodeMembers([]store.Record{tell("a", 0.2, 0), tell("b", 0.8, memberInterval)}, "a", now)
	is.Equal(len(list), 2)
	is.True(settled) // the deployment has been running, so that no claim has to wait for others to start
}

// TestSmallInstancesClaimLater guards against a small entry instance that leads while a large one is there.
func TestSmallInstancesClaimLater(t *testing.T) {
	is := is.New(t)
	small := New(Options{Holder: "small", CPUShare: 0.2})
	large := New(Options{Holder: "large", CPUShare: 0.8})
	for _, e := range []*Election{small, large} {
		e.members.list = []Member{{Name: "small", CPUShare: 0.2}, {Name: "large", CPUShare: 0.8}}
	}
	is.True(small.delay() > large.delay())
	is.True(small.part() < handOverPart)
	is.Equal(large.part(), 1.0)
	alone := New(Options{Holder: "small", CPUShare: 0.2})
	is.True(alone.delay() <= claimSpread)
}

// TestNobodyClaimsBeforeTheMembersAreKnown guards against a small entry instance that leads first because it is the first to start, and hands
// over a moment later, and against one that never claims because the members cannot be read.
func TestNobodyClaimsBeforeTheMembersAreKnown(t *testing.T) {
	is := is.New(t)
	e := New(Options{Holder: "small", CPUShare: 0.2})
	e.read = true
	is.True(!e.mayClaim())
	is.Equal(e.wait(), membersWait) // it does not ask in a tight loop meanwhile
	e.members.noteRead()
	is.True(e.mayClaim())
	unread := New(Options{Holder: "small", CPUShare: 0.2})
	unread.read = true
	unread.members.began -= 2 * unreadAfter
	is.True(unread.mayClaim())
}

// TestPaceFollowsTheStore guards against a leader that waits so long for a lost answer that the others claim, and against one that gives
// up on a slow store.
func TestPaceFollowsTheStore(t *testing.T) {
	is := is.New(t)
	p := store.TimeoutEstimator{Min: leastTimeout, Max: callTimeout}
	is.Equal(p.Timeout(0), leastTimeout)
	is.True(2*leastTimeout+heartbeatInterval < claimAfter)
	for range 10 {
		p.Observe(300 * time.Millisecond)
	}
	is.True(p.Timeout(0) > 800*time.Millisecond)
	for range 30 {
		p.Observe(5 * time.Millisecond)
	}
	is.Equal(p.Timeout(0), leastTimeout)
}
