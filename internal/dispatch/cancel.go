package dispatch

import (
	"encoding/json"
	"math"
	"slices"
	"time"
	"unique"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/store"
	"pollenlead/internal/workload"
)

// Clients choose the IDs of jobs, so cancellations of several clients may have one ID, before and after a job of one of
// them is known. Each is kept and judged by itself.

// maxPendingCancels bounds the stored cancellations that apply to no known job.
const maxPendingCancels = 10_000

// cancellation is a stored cancellation that applies to no known job.
type cancellation struct {
	// by is shared with the cancellations of other IDs by the same client, as there may be hundreds of thousands.
	by unique.Handle[workload.Cancellation]
	// partitions is a bit set of the partitions in which the cancellation was read.
	partitions uint64
	// readAt is the boot clock at which it was read first, and removalSentAt that at which its removal was last sent; 0 if
	// it was not.
	readAt, removalSentAt time.Duration
}

// pendingCancels holds the cancellations that apply to no known job.
type pendingCancels struct {
	byID  map[string][]cancellation
	count int
}

// add adds a cancellation that was read in a partition, unless it is known and there are as many as most.
func (p *pendingCancels) add(id string, c workload.Cancellation, partition, most int) {
	by := unique.Make(c)
	list := p.byID[id]
	i := slices.IndexFunc(list, func(known cancellation) bool { return known.by == by })
	switch {
	case i >= 0: // a repeated one, perhaps in another partition
		list[i].partitions |= 1 << partition
	case p.count < most:
		p.byID[id] = append(list, cancellation{by: by, partitions: 1 << partition, readAt: bootclock.Now()})
		p.count++
	}
}

// removeFunc removes the cancellations of an ID for which remove returns true.
func (p *pendingCancels) removeFunc(id string, remove func(*cancellation) bool) {
	list := p.byID[id]
	left := list[:0]
	for i := range list {
		if !remove(&list[i]) {
			left = append(left, list[i])
		}
	}
	p.count -= len(list) - len(left)
	clear(list[len(left):])
	if len(left) == 0 {
		delete(p.byID, id)
		return
	}
	p.byID[id] = left
}

// readCancellation applies the record of a cancellation. Callers hold mu.
func (d *Dispatcher) readCancellation(id string, r store.Record, partition int) {
	var c workload.Cancellation
	if err := json.Unmarshal(r.Value, &c); err != nil {
		d.Log.Warn().Err(err).Str("event", "bad_record").Str("key", r.Key).Msg("cancellation cannot be decoded")
		return
	}
	d.applyCancellation(id, c, partition)
	d.notePartition(id, partition)
}

// applyCancellation cancels the job with an ID, or keeps the cancellation if it is not one of that job. Callers hold
// mu.
func (d *Dispatcher) applyCancellation(id string, c workload.Cancellation, partition int) {
	j := d.jobs[id]
	if j == nil || !d.cancels(c, j) {
		most := maxPendingCancels
		if !d.loaded {
			most = math.MaxInt // a job that is read later may be cancelled by any of them
		}
		d.pendingCancels.add(id, c, partition, most)
		return
	}
	j.noteCancellation(c)
	d.cancelJob(j)
}

// takeCancellations takes the cancellations of a new job from the pending ones, and reports whether there are any.
// Those of other clients stay pending until they are removed from the store. Callers hold mu.
func (d *Dispatcher) takeCancellations(j *job) (cancelled bool) {
	if len(d.pendingCancels.byID[j.ID]) == 0 {
		return false
	}
	d.pendingCancels.removeFunc(j.ID, func(c *cancellation) bool {
		j.partitions |= c.partitions
		own := d.cancels(c.by.Value(), j)
		if own {
			j.noteCancellation(c.by.Value())
			cancelled = true
		}
		return own
	})
	return cancelled
}

// noteCancellation keeps the key of a cancellation of the job, which is removed from the store with the job.
func (j *job) noteCancellation(c workload.Cancellation) {
	if key := c.Key(j.ID); !slices.Contains(j.cancelKeys, key) {
		j.cancelKeys = append(j.cancelKeys, key)
	}
}

// cancelJob cancels a job and stops its runs. Callers hold mu.
func (d *Dispatcher) cancelJob(j *job) {
	if j.State.Ended() {
		return
	}
	j.Cancel(d.now())
	j.published = j.State
	d.Log.Info().Str("event", "job_cancelled").Str("job", j.ID).Str("queue", j.Queue).Str("team", j.Team).
		Msg("job cancelled")
	d.markChanged(j)
	d.stopRuns(j)
}

// addCancelRemovals adds the removal of up to a number of old cancellations that apply to no job, and returns how many
// it added. Clients may cancel any number of IDs that nobody has used. The key that all clients share is removed with
// the job if there is one. Callers hold mu.
func (d *Dispatcher) addCancelRemovals(removals map[int][]store.Record, most int, boot time.Duration) (added int) {
	for id, list := range d.pendingCancels.byID {
		for i := range list {
			if added == most {
				return added
			}
			if d.removableCancellation(&list[i], boot) {
				added++
				list[i].removalSentAt = boot
				d.addCancelRemoval(removals, id, &list[i])
			}
		}
	}
	return added
}

// addCancelRemoval adds the removal of a cancellation from the partitions in which it was read. Callers hold mu.
func (d *Dispatcher) addCancelRemoval(removals map[int][]store.Record, id string, c *cancellation) {
	records := []store.Record{{Key: c.by.Value().Key(id)}}
	if d.jobs[id] == nil {
		records = append(records, store.Record{Key: workload.CancelKey(id)})
	}
	for n := range d.JobPartitions {
		if c.partitions&(1<<n) != 0 {
			removals[n] = append(removals[n], records...)
		}
	}
}

// removableCancellation reports whether the removal of a pending cancellation may be sent now. Callers hold mu.
func (d *Dispatcher) removableCancellation(c *cancellation, boot time.Duration) bool {
	if boot-c.readAt < d.Bounds.StatusRetention+endedRetentionMargin {
		return false
	}
	return c.removalSentAt == 0 || boot-c.removalSentAt >= removalRetryDelay
}

// noteCancelRemoval records that a partition no longer contains a client's cancellation. Callers hold mu.
func (d *Dispatcher) noteCancelRemoval(id, key string, partition int) {
	d.pendingCancels.removeFunc(id, func(c *cancellation) bool {
		if c.by.Value().Key(id) == key {
			c.partitions &^= 1 << partition
		}
		return c.partitions == 0
	})
}
