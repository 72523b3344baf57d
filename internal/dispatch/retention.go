package dispatch

import (
	"context"
	"errors"
	"time"

	"pollenlead/internal/store"
	"pollenlead/internal/workload"
)

// maxRemovalBatch bounds the number of ended jobs that are removed at once.
const maxRemovalBatch = 100

// removeExpiredJobs starts the removal of ended jobs whose retention period is over. Callers hold mu.
func (d *Dispatcher) removeExpiredJobs(now time.Time) {
	if !d.loaded || d.Bounds.StatusRetention == 0 || d.removingJobs {
		return
	}
	var old []string
	for id, j := range d.jobs {
		if j.State.Ended() && !j.changed && now.Sub(j.EndedAt) >= d.Bounds.StatusRetention+endedRetentionMargin &&
			len(old) < maxRemovalBatch {
			old = append(old, id)
		}
	}
	if len(old) > 0 {
		d.removingJobs = true
		go d.removeJobs(old)
	}
}

// removeJobs removes the submissions of jobs from the store, and then their progress. In the reverse order, a job
// without progress would be taken for a new one.
func (d *Dispatcher) removeJobs(ids []string) {
	byPartition := map[int][]store.Record{}
	d.mu.Lock()
	for _, id := range ids {
		j := d.jobs[id]
		for n := range d.JobPartitions {
			if j != nil && j.partitions&(1<<n) != 0 {
				byPartition[n] = append(byPartition[n],
					store.Record{Key: workload.SubmissionKey(id)}, store.Record{Key: workload.CancelKey(id)})
			}
		}
	}
	d.mu.Unlock()
	var failed error
	for n, records := range byPartition {
		ctx, cancel := context.WithTimeout(d.ctx, appendTimeout)
		_, err := d.Store.Append(ctx, store.Append{Topic: d.JobTopic, Partition: n, Records: records})
		cancel()
		failed = errors.Join(failed, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removingJobs = false
	if failed != nil {
		d.Log.Info().Err(failed).Str("event", "forget_failed").Int("jobs", len(ids)).
			Msg("removal of expired jobs failed, retrying")
		return
	}
	for _, id := range ids {
		delete(d.jobs, id)
		d.changed[id] = nil // a nil job removes the stored progress
	}
	d.signal()
}
