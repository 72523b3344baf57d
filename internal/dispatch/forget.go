package dispatch

import (
	"context"
	"errors"
	"time"

	"pollenlead/internal/store"
	"pollenlead/internal/workload"
)

// forgetBatch bounds the ended jobs that one append drops.
const forgetBatch = 100

// forget drops jobs whose state has been known for long enough. Callers hold mu.
func (d *Dispatcher) forget(now time.Time) {
	if !d.loaded || d.Bounds.StatusRetention == 0 || d.forgetting {
		return
	}
	var old []string
	for id, j := range d.jobs {
		if j.State.Ended() && !j.changed && now.Sub(j.EndedAt) >= d.Bounds.StatusRetention+endedKeptMore && len(old) < forgetBatch {
			old = append(old, id)
		}
	}
	if len(old) > 0 {
		d.forgetting = true
		go d.dropSubmissions(old)
	}
}

// dropSubmissions drops the submissions of jobs, and then their progress. In the other order a job could be taken for a new one.
func (d *Dispatcher) dropSubmissions(ids []string) {
	byPartition := map[int][]store.Record{}
	d.mu.Lock()
	for _, id := range ids {
		j := d.jobs[id]
		for n := range d.JobPartitions {
			if j != nil && j.partitions&(1<<n) != 0 {
				byPartition[n] = append(byPartition[n], store.Record{Key: workload.SubmissionKey(id)}, store.Record{Key: workload.CancelKey(id)})
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
	d.forgetting = false
	if failed != nil {
		d.Log.Info().Err(failed).Str("event", "forget_failed").Int("jobs", len(ids)).Msg("old jobs could not be dropped yet")
		return
	}
	for _, id := range ids {
		delete(d.jobs, id)
		d.changed[id] = nil // a nil job is dropped from the store
	}
	d.signal()
}
