package dispatch

import (
	"context"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/store"
)

// followWorkers updates the agents from the workers' entries.
func (d *Dispatcher) followWorkers(ctx context.Context) {
	tail := &store.Tail{
		Store: d.Store, Topic: d.WorkerTopic, Pause: entryPollInterval, Log: d.Log,
		Apply: d.applyEntry, Synced: d.removeMissingEntries,
	}
	tail.Run(ctx)
}

func (d *Dispatcher) applyEntry(r store.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(r.Value) == 0 {
		d.removeEntry(r.Key)
		return
	}
	e, err := d.DecodeEntry(r.Key, r.Value)
	if err != nil {
		d.counters.badEntries.Add(1)
		return
	}
	if c := d.Follower.Config(); c == nil || c.Pool(e.Pool) == nil {
		d.counters.badEntries.Add(1)
		return
	}
	d.updateEntry(e)
}

// removeMissingEntries removes the entries of workers that were deleted while the history was not read.
func (d *Dispatcher) removeMissingEntries(keys map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, a := range d.agents {
		if a.entry != nil && !keys[id] {
			d.removeEntry(id)
		}
	}
}

// updateEntry applies a worker's entry. Callers hold mu.
func (d *Dispatcher) updateEntry(e *fleet.WorkerEntry) {
	a := d.agent(e.ID)
	old := a.entry
	a.entry = e
	if old == nil || old.Sequence != e.Sequence {
		a.entryAt = bootclock.Now()
	}
	if a.idleSince.IsZero() {
		a.idleSince = d.now()
	}
	if old == nil || old.Draining != e.Draining {
		d.Log.Info().Str("event", "worker").Str("worker", e.ID).Str("pool", e.Pool).Bool("draining", e.Draining).
			Int64("sequence", e.Sequence).Msg("worker's state changed")
		d.markDirty(a)
		d.signal()
	}
	if e.Incarnation != 0 && a.incarnation != 0 && e.Incarnation > a.incarnation {
		d.resetRestarted(a, e.Incarnation)
	}
	if e.Draining && (old == nil || !old.Draining) {
		d.evacuate(a)
	}
	if !a.renewing && d.ctx != nil {
		var ctx context.Context
		ctx, a.stop = context.WithCancel(d.ctx)
		a.renewing = true
		go d.renew(ctx, a)
	}
}

// removeEntry applies the removal of a worker's entry. A worker that was draining has left. Any other worker may only
// be cut off from the store, and continues to run under its lease. Callers hold mu.
func (d *Dispatcher) removeEntry(id string) {
	a := d.agents[id]
	if a == nil || a.entry == nil {
		return
	}
	d.Log.Info().Str("event", "worker_gone").Str("worker", id).Int("runs", len(a.runs)).
		Bool("draining", a.entry.Draining).Msg("worker's entry was removed")
	a.entry = nil
	a.stopRenewal()
}
