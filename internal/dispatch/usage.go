package dispatch

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/scheduling"
	"pollenlead/internal/usage"
)

const (
	// usageLogInterval is the interval between two log lines of a pool's use of instance time.
	usageLogInterval = 5 * time.Second
	// maxUsageInterval bounds the time that one snapshot stands for: after a pause the states in between are unknown.
	maxUsageInterval = time.Second
)

// usageCounter is the account of instance time that the process publishes.
type usageCounter struct {
	mu      sync.Mutex // guards account
	account *usage.Account
}

var _ expvar.Var = (*usageCounter)(nil)

func newUsageCounter() *usageCounter { return &usageCounter{account: usage.NewAccount()} }

func (c *usageCounter) add(snapshots map[string]usage.Snapshot, elapsed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for pool, s := range snapshots {
		c.account.Add(pool, s, elapsed)
	}
}

// pools returns the instance-seconds by pool and state.
func (c *usageCounter) pools() map[string]usage.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.account.Pools()
}

// String implements expvar.Var.
func (c *usageCounter) String() string {
	text, err := json.Marshal(c.pools())
	if err != nil {
		return `{}` // a map of numbers always encodes
	}
	return string(text)
}

// recordUsage accounts for the time since its last call by the present states of the instances, and logs the sums
// from time to time.
func (w *instanceDriver) recordUsage(pools []*scheduling.BalancePool) {
	now := bootclock.Now()
	elapsed := min(now-w.usageAt, maxUsageInterval)
	first := w.usageAt == 0
	w.usageAt = now
	if first {
		return
	}
	w.d.counters.usage.add(w.usageSnapshots(pools), elapsed)
	if now-w.usageLoggedAt >= usageLogInterval {
		w.usageLoggedAt = now
		w.logUsage()
	}
}

// usageSnapshots returns the present number of instances in each state by pool.
func (w *instanceDriver) usageSnapshots(pools []*scheduling.BalancePool) map[string]usage.Snapshot {
	d := w.d
	d.mu.Lock()
	defer d.mu.Unlock()
	standby := make(map[string]bool, len(pools))
	for _, p := range pools {
		standby[p.Name] = p.Standby
	}
	now, boot := d.now(), bootclock.Now()
	snapshots := make(map[string]usage.Snapshot, len(pools))
	for _, x := range w.listed {
		if snapshots[x.Pool] == nil {
			snapshots[x.Pool] = usage.Snapshot{}
		}
		snapshots[x.Pool].Add(w.instanceUsage(x, standby[x.Pool], now, boot))
	}
	for _, p := range pools {
		if s := snapshots[p.Name]; s != nil {
			s.MarkSurplus(scheduling.Surplus(p, scheduling.DefaultBalance))
		}
	}
	return snapshots
}

// instanceUsage returns the state of a listed instance for the account of instance time. Callers hold the
// dispatcher's mu.
func (w *instanceDriver) instanceUsage(
	x fleet.Instance, standby bool, now time.Time, boot time.Duration,
) usage.Instance {
	i := usage.Instance{Phase: x.Phase, Standby: standby, CPU: x.Capacity.CPUMilli}
	a := w.d.agents[x.Worker]
	if a == nil || a.entry == nil {
		return i
	}
	i.Contacted, i.Leaving, i.Usable = a.contacted, a.cordoned || a.entry.Draining, w.d.usable(a, now, boot)
	i.UsedCPU, i.Runs = a.used.CPUMilli, len(a.runs)
	for _, r := range a.runs {
		if r.Task.Step.Spec.LongRunning {
			i.LongRunning++
		}
	}
	return i
}

// logUsage logs the instance-seconds of each pool by state since the start of the process.
func (w *instanceDriver) logUsage() {
	for pool, seconds := range w.d.counters.usage.pools() {
		states := zerolog.Dict()
		for _, s := range usage.States {
			if seconds[s] > 0 {
				states.Float64(string(s), seconds[s])
			}
		}
		w.d.Log.Info().Str("event", "pool_usage").Str("pool", pool).Float64("total", seconds.Sum()).
			Dict("instance_seconds", states).Msg("use of instance time")
	}
}
