package dispatch

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"pollenlead/internal/sleep"
	"pollenlead/internal/store"
	"pollenlead/internal/workload"
)

// The end of a job is published when it is stored, and not before: until then only the worker and this leader may know
// it. If both are lost, the next leader runs the task again although clients were told that the job is done.
//
// While the partition of the progress does not answer, the end is stored in the spare partitions of the same topic, and
// published when one of them has accepted it. A leader fences and reads each spare partition at the beginning of its
// term, as it does with the progress, so it knows every end that an earlier leader can publish.

const (
	// maxSparePartitions bounds the partitions that hold ends, because each leader fences and reads all of them at its
	// start. That more than three are away together with the partition of the progress is rare.
	maxSparePartitions = 3
	// spareEndDelay is how long an end waits for the progress to be stored before it is stored in the spare partitions.
	spareEndDelay = 300 * time.Millisecond
	// spareInterval is the interval between two checks for ends to store or to remove.
	spareInterval = 50 * time.Millisecond
)

// spareEnd is the end of a job that spare partitions may hold.
type spareEnd struct {
	// EndedAtMillis is the Unix time of the end. It distinguishes the job from a later one with the same ID.
	EndedAtMillis int64 `json:"ended_ms"`

	// partitions is a bit set of the spare partitions that may hold the end.
	partitions uint64
	// obsolete means that the progress of the job holds the end, or that the job was removed.
	obsolete bool
}

// publish makes the end of a job visible to clients. Callers hold mu.
func (d *Dispatcher) publish(j *job, state workload.State) {
	if j.published.Ended() || !state.Ended() {
		return
	}
	j.published = state
	took := j.EndedAt.Sub(j.Submitted)
	d.counters.countJobEnd(state, took)
	now := d.now()
	phases, late := j.phases(now), j.late(state, now)
	if late {
		d.counters.late.add(phases)
	}
	spare := d.spareEnds[j.ID]
	d.Log.Info().Str("event", "job_ended").Str("job", j.ID).Str("queue", j.Queue).Str("team", j.Team).
		Str("state", string(state)).
		Dur("took", took).Dur("first_start_after", j.firstStart).Dur("objective", j.objective).
		Int("runs_failed", j.failures).Bool("late", late).Bool("in_spare_partition", spare != nil && !spare.obsolete).
		Object("phases", phases).Msg("job ended")
}

// noteStarted records that a worker has started a task of the job, and makes it visible to clients. Unlike an end, this
// need not be stored first: the next leader learns of it from the worker. Callers hold mu.
func (d *Dispatcher) noteStarted(w *workload.Job) {
	if w.Started {
		return
	}
	w.MarkStarted()
	if j := d.jobs[w.ID]; j != nil && j.published == workload.StatePending {
		j.published = workload.StateRunning
	}
}

// progressStored records that the progress of a job is stored. Callers hold mu.
func (d *Dispatcher) progressStored(j *job, state workload.State) {
	if state.Ended() {
		delete(d.unpublished, j)
		if e := d.spareEnds[j.ID]; e != nil {
			e.obsolete = true
		}
	}
	d.publish(j, state)
}

// sparePartitions returns the number of spare partitions. They follow partition 0, which holds the progress.
func (d *Dispatcher) sparePartitions() int { return max(min(d.JobPartitions-1, maxSparePartitions), 0) }

// openSparePartitions fences the spare partitions and reads the ends that earlier leaders have stored there. It returns
// nil if the term has ended.
func (d *Dispatcher) openSparePartitions(ctx context.Context) []*committer {
	committers := make([]*committer, d.sparePartitions())
	var opening sync.WaitGroup
	var ended atomic.Bool
	for i := range committers {
		c := newCommitter(d, i+1)
		committers[i] = c
		opening.Go(func() {
			if _, ok := c.fence(ctx); !ok {
				ended.Store(true)
				return
			}
			catchUp(ctx, &store.Tail{
				Store: d.Store, Topic: d.ProgressTopic, Partition: c.partition, Log: d.Log,
				Apply: func(r store.Record) { d.applySpareRecord(c.partition, r) },
			})
		})
	}
	opening.Wait()
	if ended.Load() || ctx.Err() != nil {
		return nil
	}
	return committers
}

// applySpareRecord applies a record that an earlier leader wrote to a spare partition.
func (d *Dispatcher) applySpareRecord(partition int, r store.Record) {
	kind, id := workload.ParseKey(r.Key)
	if kind != workload.KeyDone || len(r.Value) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.spareEnds[id]
	if e == nil {
		e = &spareEnd{}
		d.spareEnds[id] = e
	}
	e.partitions |= 1 << partition
	if err := json.Unmarshal(r.Value, e); err != nil {
		e.obsolete = true
		d.Log.Warn().Err(err).Str("event", "bad_record").Str("key", r.Key).Msg("end of a job cannot be decoded")
	}
}

// restoreSpareEnds ends the jobs whose end an earlier leader has stored in a spare partition only.
func (d *Dispatcher) restoreSpareEnds() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spareEndsRead = true
	d.markAllDirty()
	d.signal()
	for id, e := range d.spareEnds {
		j := d.jobs[id]
		if e.obsolete || j == nil || j.State.Ended() || d.isLaterJob(j, e) {
			e.obsolete = true
			continue
		}
		j.MarkDone(time.UnixMilli(e.EndedAtMillis))
		j.published = j.State
		d.markChanged(j)
		d.stopRuns(j)
		d.Log.Info().Str("event", "end_restored").Str("job", id).Msg("end of a job read from a spare partition")
	}
}

// isLaterJob reports whether the end belongs to an earlier job with the same ID. An attempt to store an end may be
// carried out after the removal of the end. An ID may be used again after the retention period, which begins with the
// end; a submission may be repeated as long as its job is open.
func (d *Dispatcher) isLaterJob(j *job, e *spareEnd) bool {
	return d.Bounds.StatusRetention > 0 &&
		j.Submitted.Sub(time.UnixMilli(e.EndedAtMillis)) >= d.Bounds.StatusRetention
}

// runSpareEnds restores the ends in the opened spare partitions and maintains them until ctx is done. While a spare
// partition is away, leases are renewed and ends applied, but nothing is started. It ends the term if there are no
// committers, because a later leader has begun.
func (d *Dispatcher) runSpareEnds(ctx context.Context, committers []*committer) {
	if committers == nil {
		d.stop()
		return
	}
	d.restoreSpareEnds()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for _, c := range committers {
		tasks.Go(func() { d.maintainSpareEnds(ctx, c) })
	}
}

// maintainSpareEnds stores ends in a spare partition while the progress cannot be stored, publishes them, and removes
// them when the progress is stored, until ctx is done. It ends the term if a later leader has begun.
func (d *Dispatcher) maintainSpareEnds(ctx context.Context, c *committer) {
	for ctx.Err() == nil {
		sleep.For(ctx, spareInterval)
		records := d.takeSpareRecords(c.partition)
		if len(records) == 0 {
			continue
		}
		if err := c.append(ctx, records); err != nil {
			if ctx.Err() == nil {
				d.Log.Info().Err(err).Str("event", "term_lost").Int64("token", d.Token).Int("partition", c.partition).
					Msg("term ended")
				d.stop()
			}
			return
		}
		d.applySpareCommitted(c.partition, records)
	}
}

// takeSpareRecords returns the records to append to a spare partition: ends to store and ends to remove.
func (d *Dispatcher) takeSpareRecords(partition int) []store.Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	var records []store.Record
	bit := uint64(1) << partition
	now := d.now()
	for j := range d.unpublished {
		if j.published.Ended() || j.State != workload.StateDone || now.Sub(j.EndedAt) < spareEndDelay {
			continue
		}
		e := d.spareEnds[j.ID]
		if e == nil {
			e = &spareEnd{EndedAtMillis: j.EndedAt.UnixMilli()}
			d.spareEnds[j.ID] = e
		}
		if e.obsolete || e.partitions&bit != 0 || len(records) >= maxBatchRecords {
			continue // the records of an obsolete end are removed first
		}
		value, err := json.Marshal(e)
		if err != nil {
			d.Log.Error().Err(err).Str("event", "bad_progress").Str("job", j.ID).Msg("end of a job cannot be encoded")
			continue
		}
		e.partitions |= bit
		records = append(records, store.Record{Key: workload.DoneKey(j.ID), Value: value})
	}
	for id, e := range d.spareEnds {
		if e.obsolete && e.partitions&bit != 0 && len(records) < maxBatchRecords {
			records = append(records, store.Record{Key: workload.DoneKey(id)})
		}
	}
	return records
}

// applySpareCommitted publishes the ends that a spare partition has accepted, and forgets those that were removed from
// it.
func (d *Dispatcher) applySpareCommitted(partition int, records []store.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	stored := 0
	for _, r := range records {
		_, id := workload.ParseKey(r.Key)
		e, j := d.spareEnds[id], d.jobs[id]
		switch {
		case e == nil:
		case len(r.Value) == 0:
			e.partitions &^= 1 << partition
			if e.partitions == 0 {
				delete(d.spareEnds, id)
			}
		case j != nil && d.unpublished[j] && !j.published.Ended():
			stored++
			d.publish(j, j.State)
		}
	}
	if stored > 0 {
		d.counters.spareEnds.Add(int64(stored))
		d.Log.Info().Str("event", "spare_ends").Int("ends", stored).Int("partition", partition).
			Msg("ends are published from a spare partition, the progress cannot be stored")
	}
}
