package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/sleep"
)

const (
	// lagInterval is the time between two measurements of the lag, and lagDecay the part of the last figure that is kept while it falls.
	lagInterval = 25 * time.Millisecond
	lagDecay    = 0.9
	// lagFactor is how many times the lag a call may take longer, as an answer passes several goroutines, and mostLagTime bounds that.
	lagFactor   = 6
	mostLagTime = 2 * time.Second
)

// lagMeter measures how late this process gets the processor. A leader whose processor is saturated reads answers late; without more time for them
// it takes sound workers for silent ones, opens new connections, and lets leases expire.
type lagMeter struct{ nanos atomic.Int64 }

// run measures until ctx is done.
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

// timeout returns how long a call may take that takes at most d while the processor is free.
func (m *lagMeter) timeout(d time.Duration) time.Duration {
	return d + min(lagFactor*time.Duration(m.nanos.Load()), mostLagTime)
}
