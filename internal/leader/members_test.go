package leader

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/store"
)

// TestLargestShareIgnoresTheGone guards against a leader that hands over to entry instances that are no longer there, and against
// records that cannot be read.
func TestLargestShareIgnoresTheGone(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	tell := func(share float64, age time.Duration) store.Record {
		return store.Record{Value: fmt.Appendf(nil, `{"cpu_share":%g,"at_ms":%d}`, share, now.Add(-age).UnixMilli())}
	}
	is.Equal(largestShare([]store.Record{tell(0.2, 0), tell(0.8, memberAge+time.Second), {Value: []byte("{")}}, now), 0.2)
	is.Equal(largestShare([]store.Record{tell(0.2, 0), tell(0.8, memberInterval)}, now), 0.8)
}

// TestSmallInstancesClaimLater guards against a small entry instance that leads while a large one is there.
func TestSmallInstancesClaimLater(t *testing.T) {
	is := is.New(t)
	small := New(Options{Holder: "small", CPUShare: 0.2})
	large := New(Options{Holder: "large", CPUShare: 0.8})
	small.setLargest(0.8)
	large.setLargest(0.8)
	is.True(small.delay() > large.delay())
	is.True(small.part() < handOverPart)
	is.Equal(large.part(), 1.0)
	alone := New(Options{Holder: "small", CPUShare: 0.2})
	is.True(alone.delay() <= claimSpread)
}

// TestPaceFollowsTheStore guards against a leader that waits so long for a lost answer that the others claim, and against one that gives
// up on a slow store.
func TestPaceFollowsTheStore(t *testing.T) {
	is := is.New(t)
	var p pace
	is.Equal(p.timeout(), leastTimeout)
	is.True(2*leastTimeout+heartbeatInterval < claimAfter)
	for range 10 {
		p.observe(300 * time.Millisecond)
	}
	is.True(p.timeout() > 800*time.Millisecond)
	for range 30 {
		p.observe(5 * time.Millisecond)
	}
	is.Equal(p.timeout(), leastTimeout)
}
