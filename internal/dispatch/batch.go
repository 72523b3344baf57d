package dispatch

import (
	"encoding/json"
	"maps"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/store"
	"pollenlead/internal/workload"
)

// unstorableRetryDelay is the time for which nothing of a job is started after the store has refused its progress.
const unstorableRetryDelay = 10 * time.Second

// batch is the content of one append.
type batch struct {
	items []*batchItem
	bytes int
	// jobs holds the jobs of which progress is stored.
	jobs map[*job]bool
	ends map[*agent]endMark
	// workers is the set of workers that the batch stores; nil if it has not changed.
	workers map[string]string
	// queuePools is the set of pools by queue that the batch stores; nil if it has not changed.
	queuePools map[string][]string
	// confirm requests an append even without records.
	confirm bool
}

// batchItem is one record of a batch.
type batchItem struct {
	record store.Record
	// job is the job whose progress the record holds, with its state at that time; nil for any other record.
	job      *job
	progress workload.ProgressRecord
	state    workload.State
	// refused is the reason for which the store does not accept the record.
	refused error
}

func newBatch() *batch { return &batch{jobs: map[*job]bool{}, ends: map[*agent]endMark{}} }

// records returns the records of the batch.
func (b *batch) records() []store.Record {
	records := make([]store.Record, len(b.items))
	for i, item := range b.items {
		records[i] = item.record
	}
	return records
}

func (b *batch) add(item *batchItem) {
	b.items = append(b.items, item)
	b.bytes += item.record.CallSize()
}

// full reports whether the batch takes no further job.
func (b *batch) full() bool { return len(b.items) >= maxBatchRecords || b.bytes >= maxBatchBytes }

// collectBatch returns everything that has to be stored, up to the size of a batch, or nil if there is nothing.
func (d *Dispatcher) collectBatch() *batch {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := newBatch()
	for id, j := range d.changed {
		if b.full() {
			break
		}
		if j == nil {
			b.removeProgress(id)
			delete(d.changed, id)
		} else if d.addProgress(b, j) {
			j.changed = false
			delete(d.changed, id)
		}
	}
	for len(d.obsoleteKeys) > 0 && !b.full() {
		b.add(&batchItem{record: store.Record{Key: d.obsoleteKeys[0]}})
		d.obsoleteKeys = d.obsoleteKeys[1:]
	}
	d.addWorkers(b)
	d.addQueuePools(b)
	if len(d.changed) > 0 || len(d.obsoleteKeys) > 0 {
		d.signal()
	} else {
		for _, a := range d.agents {
			if applied := a.appliedEnd(); applied > a.storedEnd {
				b.ends[a] = endMark{applied, a.restarts}
			}
		}
	}
	if len(b.items) == 0 && len(b.ends) == 0 {
		return nil
	}
	return b
}

// addProgress adds the changed records of a job's progress to a batch, and reports whether all of them are in it. The
// records of a job go into one append if they fit into one that is empty. Callers hold mu.
func (d *Dispatcher) addProgress(b *batch, j *job) bool {
	records, err := j.ChangedRecords(d.StoreLimits.Record - 1 - store.MaxKeyBytes)
	if err != nil {
		d.Log.Error().Err(err).Str("event", "bad_progress").Str("job", j.ID).Msg("progress cannot be encoded")
	}
	size := 0
	for _, r := range records {
		size += storeRecord(r).CallSize()
	}
	if len(b.items) > 0 && b.bytes+size > maxBatchBytes {
		return false
	}
	for _, r := range records {
		item := &batchItem{record: storeRecord(r), job: j, progress: r, state: j.State}
		if !d.StoreLimits.Fits(item.record) {
			d.recordRefused(b, item, store.ErrRefused)
			continue
		}
		if b.bytes+item.record.CallSize() > d.StoreLimits.Call {
			return false
		}
		j.Take(r)
		b.add(item)
		b.jobs[j] = true
	}
	return true
}

func storeRecord(r workload.ProgressRecord) store.Record {
	return store.Record{Key: r.Key, Value: r.Value}
}

// addQueuePools adds the pools of the batch's jobs to the stored pools of their queues. Callers hold mu.
func (d *Dispatcher) addQueuePools(b *batch) {
	next := d.nextQueuePools(maps.Keys(b.jobs))
	if next == nil {
		return
	}
	value, err := json.Marshal(next)
	if err != nil {
		d.Log.Error().Err(err).Str("event", "bad_queue_pools").Msg("the pools of the queues cannot be encoded")
		return
	}
	// As with the set of workers, what the append takes out counts as not stored from now on.
	maps.DeleteFunc(d.storedQueuePools, func(queue string, _ []string) bool { return next[queue] == nil })
	b.add(&batchItem{record: store.Record{Key: workload.QueuePoolsKey, Value: value}})
	b.queuePools = next
}

// removeProgress removes the stored progress of a job whose submission has been removed.
func (b *batch) removeProgress(id string) {
	b.add(&batchItem{record: store.Record{Key: workload.ProgressKey(id)}})
}

// applyCommitted publishes the states of a stored batch, sends its starts and allows the acknowledgement of its ends.
func (d *Dispatcher) applyCommitted(b *batch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, item := range b.items {
		if item.refused != nil {
			d.recordRefused(b, item, item.refused)
		}
	}
	if b.workers != nil {
		d.storedWorkers = b.workers
	}
	if b.queuePools != nil {
		d.storedQueuePools = b.queuePools
	}
	for _, item := range b.items {
		if item.refused == nil && item.job != nil {
			d.applyStored(item)
		}
	}
	for a, end := range b.ends {
		if end.restarts != a.restarts {
			continue
		}
		a.storedEnd = max(a.storedEnd, end.number)
		a.wakeRenewal()
	}
}

// applyStored publishes the state of a job whose progress is stored, and sends the starts that waited for it. Callers
// hold mu.
func (d *Dispatcher) applyStored(item *batchItem) {
	if item.record.Key == workload.ProgressKey(item.job.ID) {
		d.progressStored(item.job, item.state)
	}
	for _, r := range item.progress.Runs {
		r.Stored = true
		delete(d.unreleased, r)
		if r.Phase == workload.RunAssigned {
			d.sendStart(r)
		}
	}
}

// recordRefused handles a record that the store does not accept. Its job starts nothing for a while; other work goes
// on. Runs that were not sent yet are given up, and the rest of the record is stored with the next change of the job.
// Callers hold mu.
func (d *Dispatcher) recordRefused(b *batch, item *batchItem, reason error) {
	d.counters.recordsRefused.Add(1)
	switch item.record.Key {
	case workload.WorkersKey:
		b.workers = nil
	case workload.QueuePoolsKey:
		b.queuePools = nil
	}
	j := item.job
	if j == nil || j.unstorableUntil == 0 { // logged once for each job
		d.Log.Error().Err(reason).Str("event", "record_refused").Str("key", item.record.Key).
			Int("bytes", item.record.Size()).Msg("the store does not accept a record")
	}
	if j == nil {
		return
	}
	j.unstorableUntil = bootclock.Now() + unstorableRetryDelay
	j.Return(item.progress)
	for _, r := range item.progress.Runs {
		if !r.Released && d.attached(r) {
			d.dropRun(d.agent(r.Worker), r)
		}
	}
}
