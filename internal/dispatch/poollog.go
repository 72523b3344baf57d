package dispatch

import (
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
)

// poolLogInterval is the shortest interval between two logs of the pools' backlogs.
const poolLogInterval = time.Second

// logPools logs the state of each pool in which tasks wait, and publishes the run times of the queues. Callers hold mu.
func (d *Dispatcher) logPools(now time.Time) {
	boot := bootclock.Now()
	if boot-d.poolsLogged < poolLogInterval {
		return
	}
	d.poolsLogged = boot
	d.counters.runTimes.set(d.estimates.model.Stats())
	d.logEvacuationWaits()
	for pool, jobs := range d.active {
		waiting := 0
		for _, j := range d.waiting[pool] {
			for _, o := range j.Occurrences {
				for _, s := range o.Steps {
					if s.Open > 0 && s.Ready() {
						waiting += s.WaitingCount()
					}
				}
			}
		}
		if waiting > 0 {
			d.logPool(pool, len(jobs), waiting, now, boot)
		}
	}
}

func (d *Dispatcher) logPool(pool string, jobs, waiting int, now time.Time, boot time.Duration) {
	var used, usable, capacity fleet.Resources
	listed, ready, runs := 0, 0, 0
	for _, a := range d.agents {
		if a.entry == nil || a.entry.Pool != pool {
			continue
		}
		listed++
		runs += len(a.runs)
		used = used.Add(a.used)
		capacity = capacity.Add(a.entry.Capacity)
		if d.usable(a, now, boot) {
			ready++
			usable = usable.Add(a.entry.Capacity)
		}
	}
	inflow := int64(0)
	if i := d.inflow[pool]; i != nil {
		inflow = i.Expected(boot, d.Bounds.Move+workerJoinDelay)
	}
	d.Log.Info().Str("event", "pool").Str("pool", pool).Int64("cpu_expected", inflow).Int("jobs", jobs).
		Int("tasks_waiting", waiting).Int("runs", runs).
		Int("workers", listed).Int("usable", ready).Int64("cpu_milli", capacity.CPUMilli).
		Int64("cpu_used", used.CPUMilli).Int64("cpu_usable", usable.CPUMilli).Int64("memory_mb", capacity.MemoryMB).
		Int64("memory_used", used.MemoryMB).Msg("tasks are waiting in pool")
}
