package dispatch

import (
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/store"
	"pollenlead/internal/workload"
)

// applyJobRecord applies a record of a job that an entry instance has written.
func (d *Dispatcher) applyJobRecord(partition int, r store.Record) {
	kind, id := workload.ParseKey(r.Key)
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(r.Value) == 0 {
		switch kind {
		case workload.KeySubmission:
			d.noteRemoval(id, partition)
		case workload.KeyCancel:
			d.noteCancelRemoval(id, r.Key, partition)
		}
		return
	}
	switch kind {
	case workload.KeySubmission:
		d.addSubmission(id, r)
		d.notePartition(id, partition)
	case workload.KeyCancel:
		d.readCancellation(id, r, partition)
	case workload.KeyWave, workload.KeyHomeSizes:
		d.applyInstanceRecord(kind, id, r.Value)
	}
}

// notePartition records that a partition contains a record of the job. Callers hold mu.
func (d *Dispatcher) notePartition(id string, partition int) {
	if j := d.jobs[id]; j != nil {
		j.partitions |= 1 << partition
	}
	if read := d.loadedJobs[id]; read != nil {
		read.partitions |= 1 << partition
	}
}

// addSubmission adds a job. A repeated submission of a known job has no effect. Callers hold mu.
func (d *Dispatcher) addSubmission(id string, r store.Record) {
	if !d.loaded {
		if d.loadedJobs[id] == nil {
			d.loadedJobs[id] = &loadedJob{value: r.Value}
		}
		return
	}
	if d.jobs[id] != nil {
		return
	}
	w, err := workload.DecodeSubmission(id, r.Value)
	if err != nil {
		d.Log.Warn().Err(err).Str("event", "bad_record").Str("key", r.Key).Msg("submission cannot be decoded")
		return
	}
	if q := d.queue(w.Queue); q.Pool != "" {
		w.Pool = q.Pool
	}
	j := d.insert(w)
	j.readAfter = max(d.now().Sub(w.Submitted), 0)
	d.noteSubmission(j, bootclock.Now())
	if d.takeCancellations(j) {
		defer d.cancelJob(j)
	}
	d.advance(j)
	d.Log.Info().Str("event", "job_seen").Str("job", id).Str("queue", w.Queue).Str("team", w.Team).Str("pool", w.Pool).
		Int("steps", len(w.Spec.Steps)).Bool("excess", j.excess).Int64("offset", r.Offset).
		Dur("age", time.Since(w.Submitted)).
		Msg("job read from the store")
	d.markWaiting(j)
	d.signal()
}

// stopRuns stops all runs of a job that has ended. Callers hold mu.
func (d *Dispatcher) stopRuns(j *job) {
	j.EachTask(func(t *workload.Task) {
		for _, r := range t.Runs {
			d.stopRun(r, "its job has ended")
		}
	})
}
