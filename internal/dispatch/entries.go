package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

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
	if err == nil {
		c := d.Follower.Config()
		if c == nil {
			d.counters.badEntries.Add(1)
			d.entryLog.note(r.Key)
			return // the entry is read again with the worker's next heartbeat
		}
		if c.Pool(e.Pool) == nil {
			err = errors.New("pool is not in the configuration")
		}
	}
	if err != nil {
		d.rejectEntry(r, err)
		return
	}
	d.updateEntry(e)
}

// rejectEntry records an entry that names no worker. The entry that its worker had before stays in use, because the
// worker's answers show whether it is there. Callers hold mu.
func (d *Dispatcher) rejectEntry(r store.Record, err error) {
	d.counters.badEntries.Add(1)
	d.entryLog.note(r.Key)
	reason := err.Error()
	reason = reason[:min(len(reason), maxReasonBytes)] // the error of a number contains all its digits
	if d.entryLog.first(r.Key, reason) {
		d.Log.Warn().Str("event", "bad_worker_entry").Str("error", reason).Str("worker", r.Key).Int64("offset", r.Offset).
			Int("bytes", len(r.Value)).Msg("worker's entry is not used")
	}
}

// removeMissingEntries removes the entries of workers that were deleted while the history was not read.
func (d *Dispatcher) removeMissingEntries(keys map[string]bool, _ int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entriesRead = true
	for id, a := range d.agents {
		if a.entry != nil && !keys[id] {
			d.removeEntry(id)
		}
	}
}

// updateEntry applies a worker's entry. Anyone who can write to the topic may have left it, so an entry is only used if
// it fits what the worker itself has answered; no run is dropped because of an entry. Callers hold mu.
func (d *Dispatcher) updateEntry(e *fleet.WorkerEntry) {
	a := d.agent(e.ID)
	if a.accepts(e) {
		d.useEntry(a, e)
		return
	}
	if d.entryLog.first(e.ID, "unconfirmed") {
		d.Log.Info().Str("event", "entry_unconfirmed").Str("worker", e.ID).Int64("incarnation", e.Incarnation).
			Int64("reported_incarnation", a.incarnation).Str("pool", e.Pool).Str("address", e.Address).
			Msg("worker's entry contradicts the worker's own answers and waits to be confirmed")
	}
	d.counters.unconfirmedEntries.Add(1)
	a.claim = e
}

// accepts reports whether an entry may be used without a further answer of the worker. Callers hold mu.
func (a *agent) accepts(e *fleet.WorkerEntry) bool {
	switch {
	case a.entry == nil || a.incarnation == 0:
		return true // the worker has not answered, or does not report its incarnation
	case e.Incarnation == a.entry.Incarnation && sameProperties(e, a.entry):
		return true
	case e.Incarnation != a.incarnation:
		return false
	case a.entry.Incarnation != a.incarnation:
		return true // the present entry was written before the worker's restart
	}
	// The worker's own entries are repeated with each heartbeat. One odd entry is not, but the present entry may also be
	// the odd one.
	return a.claim != nil && a.claim.Incarnation == e.Incarnation && a.claim.Sequence < e.Sequence &&
		sameProperties(a.claim, e)
}

// sameProperties reports whether two entries agree in what never changes while a worker lives.
func sameProperties(e, o *fleet.WorkerEntry) bool {
	return e.Pool == o.Pool && e.Address == o.Address && e.Zone == o.Zone && e.Capacity == o.Capacity &&
		slices.Equal(e.Labels, o.Labels)
}

// confirmEntry records that the worker has answered at an address. If only the entry that waits to be confirmed agrees
// with the answer, it replaces the present one: the worker has started again under its ID.
func (d *Dispatcher) confirmEntry(a *agent, address string, incarnation int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a.answeredAt, a.answeredTime = address, bootclock.Now()
	if a.entry == nil || a.entry.Incarnation == incarnation && a.entry.Address == address {
		return
	}
	if c := a.claim; c != nil && c.Incarnation == incarnation && c.Address == address {
		d.useEntry(a, c)
	}
}

// applyOtherWorker applies the answer of another worker to a call that was sent at the given boot clock. If the worker
// had answered at that address before the call, it lives no more and its runs are gone. Otherwise the address is only
// the claim of an entry, and the worker may still run its tasks elsewhere.
func (d *Dispatcher) applyOtherWorker(a *agent, address string, sent time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if address != a.answeredAt || sent < a.answeredTime {
		return
	}
	a.answeredAt = ""
	a.treatAsSilent(bootclock.Now())
	d.dropRuns(a, "another worker has its address")
}

// useEntry makes an entry the worker's present one. Callers hold mu.
func (d *Dispatcher) useEntry(a *agent, e *fleet.WorkerEntry) {
	old := a.entry
	if old == nil && a.incarnation != 0 && e.Incarnation != a.incarnation && a.silentSince == 0 {
		a.silentSince = bootclock.Now() // nothing is placed on the worker until it has answered
	}
	a.entry, a.claim = e, nil
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
	if e.Draining && (old == nil || !old.Draining) {
		d.stopMovableRuns(a)
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
	a.entry, a.claim = nil, nil
	a.stopRenewal()
}

// maxLoggedEntries bounds the workers and reasons that entryLog remembers: the topic may hold any number of odd
// entries.
const maxLoggedEntries = 1000

// maxReasonBytes bounds the logged reason.
const maxReasonBytes = 200

// entryLog selects the entries to log: one for each worker ID and reason, because entries are repeated with each
// heartbeat.
type entryLog struct {
	seen map[[2]string]bool
	// unused holds the IDs of workers of which an entry was not used, up to maxLoggedEntries.
	unused map[string]bool
}

// note records that an entry of a worker was not used.
func (l *entryLog) note(id string) {
	if l.unused == nil {
		l.unused = map[string]bool{}
	}
	if len(l.unused) < maxLoggedEntries {
		l.unused[id] = true
	}
}

// mayBeUnused reports whether an entry of the worker may have been read and not used.
func (l *entryLog) mayBeUnused(id string) bool {
	return l.unused[id] || len(l.unused) >= maxLoggedEntries
}

// first reports whether an entry is the first one of its worker that is not used for that reason. It also reports false
// once maxLoggedEntries have been logged.
func (l *entryLog) first(id, reason string) bool {
	key := [2]string{id, reason}
	if l.seen[key] || len(l.seen) >= maxLoggedEntries {
		return false
	}
	if l.seen == nil {
		l.seen = map[[2]string]bool{}
	}
	l.seen[key] = true
	return true
}
