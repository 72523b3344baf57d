package dispatch

import (
	"context"
	"errors"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/store"
	"pollenlead/internal/workload"
)

const (
	// maxRemovalBatch bounds the number of ended jobs whose submissions are removed at once.
	maxRemovalBatch = 100
	// removalRetryDelay is the time after which the removal of a submission is sent again if it has not been read
	// back. A partition that does not answer is read seconds later.
	removalRetryDelay = 5 * time.Second
)

// An expired job is removed in two steps. Its submissions are removed first, because a leader that finds a submission
// without progress takes the job for a new one. Its progress is removed after the leader has read the removal back in
// each of the partitions, and has found no repeated submission in any other one.

// removeExpiredJobs takes the next step of the removal of expired jobs. Callers hold mu.
func (d *Dispatcher) removeExpiredJobs(now time.Time) {
	if !d.loaded || d.Bounds.StatusRetention == 0 {
		return
	}
	boot := bootclock.Now()
	removals := map[int][]store.Record{}
	sent := 0
	for id, j := range d.jobs {
		d.compactJob(j)
		switch {
		case !d.expired(j, now):
		case j.partitions == 0 && d.jobsReadThrough() >= j.removalSentAt:
			delete(d.jobs, id)
			d.changed[id] = nil // a nil job removes the stored progress
			d.obsoleteKeys = append(d.obsoleteKeys, j.PartKeys()...)
			d.signal()
		case j.partitions != 0 && !d.removingJobs && sent < maxRemovalBatch &&
			(j.removalSentAt == 0 || boot-j.removalSentAt >= removalRetryDelay):
			sent++
			j.removalSentAt = boot
			d.addRemovals(removals, j)
		}
	}
	if !d.removingJobs {
		sent += d.addCancelRemovals(removals, maxRemovalBatch-sent, boot)
	}
	if sent > 0 {
		d.removingJobs = true
		go d.sendRemovals(removals)
	}
}

// compactJob forgets what is no longer needed of a job whose end is stored. Callers hold mu.
func (d *Dispatcher) compactJob(j *job) {
	if j.State.Ended() && !j.changed && j.published.Ended() && d.endedUnheard[j.ID] == nil {
		j.Compact()
	}
}

// expired reports whether the retention period of an ended job is over. The end of a job that ended in an earlier term
// was measured by another clock, which may differ by any amount, so its period counts from the start of this term.
// Callers hold mu.
func (d *Dispatcher) expired(j *job, now time.Time) bool {
	if !j.State.Ended() || !j.published.Ended() || j.changed {
		return false
	}
	since := j.EndedAt
	if j.endedBefore {
		since = d.wallStart
	}
	return now.Sub(since) >= d.Bounds.StatusRetention+endedRetentionMargin
}

// addRemovals adds the removal of a job's records in the partitions in which they were read. Callers hold mu.
func (d *Dispatcher) addRemovals(removals map[int][]store.Record, j *job) {
	for n := range d.JobPartitions {
		if j.partitions&(1<<n) != 0 {
			removals[n] = append(removals[n],
				store.Record{Key: workload.SubmissionKey(j.ID)}, store.Record{Key: workload.CancelKey(j.ID)})
			for _, key := range j.cancelKeys {
				removals[n] = append(removals[n], store.Record{Key: key})
			}
		}
	}
}

// sendRemovals appends removals of submissions. Their effect is known when they have been read back: an append without
// an answer may be carried out later.
func (d *Dispatcher) sendRemovals(removals map[int][]store.Record) {
	var failed error
	for n, records := range removals {
		ctx, cancel := context.WithTimeout(d.ctx, appendTimeout)
		_, err := d.Store.Append(ctx, store.Append{Topic: d.JobTopic, Partition: n, Records: records})
		cancel()
		failed = errors.Join(failed, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removingJobs = false
	if failed != nil {
		d.Log.Info().Err(failed).Str("event", "forget_failed").Msg("removal of expired jobs failed, retrying")
	}
}

// noteRemoval records that a partition no longer contains the submission of a job. Callers hold mu.
func (d *Dispatcher) noteRemoval(id string, partition int) {
	if j := d.jobs[id]; j != nil {
		j.partitions &^= 1 << partition
	}
}
