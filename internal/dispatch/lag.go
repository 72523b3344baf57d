package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/sleep"
)

const (
	// lagInterval is the interval between two measurements of the lag. lagDecay is the factor by which the measured
	// value decreases while the lag falls.
	lagInterval = 25 * time.Millisecond
	lagDecay    = 0.9
	// lagFactor is the multiple of the lag that is added to a timeout, because an answer passes through several
	// goroutines. maxLagAllowance bounds the addition.
	lagFactor       = 6
	maxLagAllowance = 2 * time.Second
)

// lagMeter measures how late the goroutines of this process are scheduled. A leader with a saturated processor reads
// answers late. Without longer timeouts it would take sound workers for silent ones, open new connections and let
// leases expire.
type lagMeter struct{ nanos atomic.Int64 }

// run measures the lag until ctx is done.
func (m *lagMeter) run(ctx context.Context) {
	for ctx.Err() == nil {
		began := bootclock.Now()
		sleep.For(ctx, lagInterval)
		m.observe(bootclock.Now() - began - lagInterval)
	}
}

func (m *lagMeter) observe(late time.Duration) {
	kept := time.Duration(float64(m.nanos.Load()) * lagDecay)
	m.nanos.Store(int64(max(late, kept, 0)))
}

// timeout returns the timeout for a call that takes at most d on an idle processor.
func (m *lagMeter) timeout(d time.Duration) time.Duration {
	return d + min(lagFactor*time.Duration(m.nanos.Load()), maxLagAllowance)
}
