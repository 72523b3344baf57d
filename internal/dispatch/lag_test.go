package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSaturatedLeaderExtendsTimeouts guards against a leader with a saturated processor that takes sound workers for
// silent ones, and lets their leases expire, because it reads their answers late.
func TestSaturatedLeaderExtendsTimeouts(t *testing.T) {
	is := is.New(t)
	var m lagMeter
	is.Equal(m.timeout(orderTimeout), orderTimeout)
	m.observe(100 * time.Millisecond)
	is.Equal(m.timeout(orderTimeout), orderTimeout+lagFactor*100*time.Millisecond)
	m.observe(10 * time.Second)
	is.Equal(m.timeout(orderTimeout), orderTimeout+maxLagAllowance)
	for range 200 {
		m.observe(0)
	}
	is.True(m.timeout(orderTimeout) < orderTimeout+10*time.Millisecond) // the allowance falls again
}
