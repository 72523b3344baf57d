package dispatch

import (
	"encoding/json"
	"math"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/overload"
	"pollenlead/internal/scheduling"
	"pollenlead/internal/workload"
)

const (
	// maxDrainTime bounds the drain time of a pool with hardly any usable worker.
	maxDrainTime = time.Minute
	// drainSteps is the number of iterations in which drainSeconds approaches the drain time from above.
	drainSteps = 10
	// stateLockTimeout bounds for how long the overload state, and with it the heartbeat, waits for the dispatcher.
	stateLockTimeout  = 50 * time.Millisecond
	stateLockInterval = time.Millisecond
	// maxStateReuse is the age up to which the overload state is published again while the dispatcher is busy.
	maxStateReuse = 800 * time.Millisecond
)

// publishedOverload is an encoded overload state and the boot clock at which it was worked out.
type publishedOverload struct {
	encoded json.RawMessage
	at      time.Duration
}

// OverloadState returns what the entry instances refuse at present, encoded. It is nil if they refuse nothing. It does
// not wait until a busy dispatcher, which may be restoring all jobs, is done: the leader's heartbeat contains the
// state, and a late heartbeat ends the term.
func (d *Dispatcher) OverloadState() json.RawMessage {
	if !d.lockWithin(stateLockTimeout) {
		last := d.publishedOverload.Load()
		if last == nil || bootclock.Now()-last.at > maxStateReuse {
			return nil
		}
		return last.encoded
	}
	defer d.mu.Unlock()
	encoded := d.nextOverload()
	d.publishedOverload.Store(&publishedOverload{encoded: encoded, at: bootclock.Now()})
	return encoded
}

// lockWithin locks mu unless that takes longer than the timeout. It reports whether it has locked it.
func (d *Dispatcher) lockWithin(timeout time.Duration) bool {
	for until := bootclock.Now() + timeout; ; time.Sleep(stateLockInterval) {
		if d.mu.TryLock() {
			return true
		}
		if bootclock.Now() >= until {
			return false
		}
	}
}

// nextOverload works out what the entry instances refuse at present. Callers hold mu.
func (d *Dispatcher) nextOverload() json.RawMessage {
	if !d.loaded {
		return nil
	}
	excess := d.rates.ExcessFractions(bootclock.Now())
	var loads map[string]overload.QueueLoad
	if len(excess) > 0 {
		loads = d.queueLoads(excess)
	}
	next := overload.Next(d.overload, loads, excess)
	d.logOverload(next)
	d.overload = next
	encoded, err := next.Encode()
	if err != nil {
		d.Log.Error().Err(err).Str("event", "bad_overload_state").Msg("overload state cannot be encoded")
	}
	return encoded
}

// queueLoads returns the load of each queue with waiting work. Queues without any are left out: a deployment may have
// many, and the state is read by all entry instances several times a second. Callers hold mu.
func (d *Dispatcher) queueLoads(excess map[string]float64) map[string]overload.QueueLoad {
	loads := map[string]overload.QueueLoad{}
	unchecked := d.uncheckedPools()
	for pool := range d.waiting {
		if unchecked[pool] {
			continue
		}
		wait, queues := d.drainTime(pool, excess)
		if wait == 0 {
			continue
		}
		for queue := range queues {
			loads[queue] = overload.QueueLoad{Wait: wait, OnTime: d.estimates.longestWait(d.queue(queue))}
		}
	}
	return loads
}

// drainTime returns the time that a pool takes for the work of its waiting jobs at its present capacity, and the queues
// of these jobs. Work that has no value any more counts for nothing, as it comes after all other work. The time is 0
// without a usable worker: that is an outage, after which the accepted work goes on. Callers hold mu.
func (d *Dispatcher) drainTime(
	pool string, excess map[string]float64,
) (wait time.Duration, queues map[string]bool) {
	now, work := d.now(), map[string]float64{}
	queues = map[string]bool{}
	for _, j := range d.waiting[pool] {
		for _, o := range j.Occurrences {
			if j.Spec.LongRunning() || d.rank(j, o, d.queue(j.Queue), now).Tier == scheduling.TierExpired {
				continue
			}
			work[j.Team] += d.estimates.waitingWork(o)
			queues[j.Queue] = true
		}
	}
	capacity := d.usableCPU(pool, now)
	if capacity == 0 {
		return 0, nil
	}
	seconds := min(d.drainSeconds(work, excess, float64(capacity)), maxDrainTime.Seconds())
	return time.Duration(seconds * float64(time.Second)), queues
}

// drainSeconds returns the time that a capacity takes for the work of all teams. Of a team with an upper limit, only
// what it may run within that time counts: the rest keeps nobody else waiting. As that depends on the result, the time
// is iterated. The work of a team beyond its share counts in full, so that a team at its upper limit has its own excess
// refused. Callers hold mu.
func (d *Dispatcher) drainSeconds(work, excess map[string]float64, capacity float64) float64 {
	seconds := math.Inf(1)
	for range drainSteps {
		sum := 0.0
		for team, w := range work {
			if limit := d.cpuLimit(team); limit > 0 && excess[team] == 0 {
				w = min(w, float64(limit)*seconds)
			}
			sum += w
		}
		seconds = sum / capacity
	}
	return seconds
}

// cpuLimit returns the upper limit of a team's CPU, or 0 if there is none. Callers hold mu.
func (d *Dispatcher) cpuLimit(team string) int64 {
	if c := d.Follower.Config(); c != nil {
		if t := c.Team(team); t != nil {
			return t.UpperLimit.CPUMilli
		}
	}
	return 0
}

// usableCPU returns the CPU capacity of the workers of a pool that may get tasks. Callers hold mu.
func (d *Dispatcher) usableCPU(pool string, now time.Time) int64 {
	sum, boot := int64(0), bootclock.Now()
	for _, a := range d.agents {
		if a.entry != nil && a.entry.Pool == pool && d.usable(a, now, boot) {
			sum += a.entry.Capacity.CPUMilli
		}
	}
	return sum
}

// logOverload logs the queues that begin or end to refuse work. Callers hold mu.
func (d *Dispatcher) logOverload(next overload.State) {
	for queue, s := range next {
		if _, before := d.overload[queue]; !before {
			d.counters.shedding.Add(1)
			d.Log.Info().Str("event", "overload_began").Str("queue", queue).Interface("teams", s.Teams).
				Int64("retry_ms", s.RetryMillis).Msg("queue refuses work beyond the shares of teams")
		}
	}
	for queue := range d.overload {
		if _, still := next[queue]; !still {
			d.Log.Info().Str("event", "overload_ended").Str("queue", queue).Msg("queue takes all work again")
		}
	}
}

// waitingWork returns the expected processor time of the tasks of an occurrence that have not run, in thousandths of a
// core times seconds.
func (e *estimates) waitingWork(o *workload.Occurrence) float64 {
	sum := 0.0
	for _, s := range o.Steps {
		if n := s.WaitingCount(); n > 0 {
			sum += e.model.Work(s.Job.Queue, s.Spec.Estimate, n, s.Spec.Charge().CPUMilli)
		}
	}
	return sum
}

// longestWait returns for how long a job of one step of typical duration may wait and still meet its objective.
func (e *estimates) longestWait(q *fleet.Queue) time.Duration {
	typical := e.model.Mean(q.Name, 0)
	return q.LatencyObjective + max(time.Duration((q.Stretch-1)*float64(typical)), 0)
}
