package dispatch

import (
	"encoding/json"
	"time"

	"pollenlead/internal/store"
	"pollenlead/internal/workload"
)

// maxPending bounds the cancellations of jobs that are not known.
const maxPending = 10_000

// apply applies a record of a job that an entry instance has written.
func (d *Dispatcher) apply(partition int, r store.Record) {
	kind, id := workload.ParseKey(r.Key)
	if len(r.Value) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch kind {
	case workload.KeySubmission:
		d.submitted(id, r)
		d.note(id, partition)
	case workload.KeyCancel:
		var c workload.Cancellation
		if err := json.Unmarshal(r.Value, &c); err != nil {
			d.Log.Warn().Err(err).Str("event", "bad_record").Str("key", r.Key).Msg("cancellation cannot be read")
			return
		}
		d.cancelled(id, c.Team)
		d.note(id, partition)
	case workload.KeyWave, workload.KeyHomeSizes:
		d.applyFleet(kind, id, r.Value)
	}
}

// note remembers where a job has records. Callers hold mu.
func (d *Dispatcher) note(id string, partition int) {
	if j := d.jobs[id]; j != nil {
		j.partitions |= 1 << partition
	}
	if read := d.reading[id]; read != nil {
		read.partitions |= 1 << partition
	}
	if c, ok := d.pending[id]; ok {
		c.partitions |= 1 << partition
		d.pending[id] = c
	}
}

// submitted adds a job. A repeat of a known job changes nothing. Callers hold mu.
func (d *Dispatcher) submitted(id string, r store.Record) {
	if !d.loaded {
		if d.reading[id] == nil {
			d.reading[id] = &loadedJob{value: r.Value}
		}
		return
	}
	if d.jobs[id] != nil {
		return
	}
	w, err := workload.DecodeSubmission(id, r.Value)
	if err != nil {
		d.Log.Warn().Err(err).Str("event", "bad_record").Str("key", r.Key).Msg("submission cannot be read")
		return
	}
	if q := d.queue(w.Queue); q.Pool != "" {
		w.Pool = q.Pool
	}
	j := d.insert(w)
	if c, ok := d.pending[id]; ok {
		delete(d.pending, id)
		j.partitions |= c.partitions
		defer d.cancelled(id, c.team)
	}
	d.advance(j)
	d.Log.Info().Str("event", "job_seen").Str("job", id).Str("queue", w.Queue).Str("team", w.Team).Str("pool", w.Pool).
		Int("steps", len(w.Spec.Steps)).Int64("offset", r.Offset).Dur("age", time.Since(w.Submitted)).Msg("job taken over from the store")
	d.mayWait(j)
	d.signal()
}

// cancelled cancels a job for a team. Callers hold mu.
func (d *Dispatcher) cancelled(id, team string) {
	j := d.jobs[id]
	if j == nil {
		if len(d.pending) < maxPending || !d.loaded {
			d.pending[id] = cancellation{team: team}
		}
		return
	}
	if j.Team != team || j.State.Ended() {
		return
	}
	j.Cancel(d.now())
	j.visible = j.State
	d.Log.Info().Str("event", "job_cancelled").Str("job", id).Str("team", team).Msg("job cancelled")
	d.touch(j)
	d.stopRuns(j)
}

// stopRuns stops all runs of a job that has ended. Callers hold mu.
func (d *Dispatcher) stopRuns(j *job) {
	j.EachTask(func(t *workload.Task) {
		for _, r := range t.Runs {
			d.stopRun(r, "its job has ended")
		}
	})
}
