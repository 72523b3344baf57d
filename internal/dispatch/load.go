package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"sync"
	"time"

	"pollenlead/internal/sleep"
	"pollenlead/internal/store"
	"pollenlead/internal/workload"
)

const (
	// jobReadWait is how long one read waits for the next accepted job.
	jobReadWait = 900 * time.Millisecond
	loadRetry   = 100 * time.Millisecond
	// maxPending bounds the cancellations of jobs that are not known.
	maxPending = 10_000
	// forgetBatch bounds the ended jobs that one append drops.
	forgetBatch = 100
)

// jobTail follows one partition of the jobs.
type jobTail struct {
	store.Tail
	end    int64
	newest map[string]int64
}

// follow applies records from where the newest ones were read.
func (t *jobTail) follow(ctx context.Context) {
	t.Follow(ctx, t.end, t.newest)
	for ctx.Err() == nil { // trimmed history: read the newest again
		t.Run(ctx)
	}
}

func (d *Dispatcher) jobTail(partition int) *jobTail {
	return &jobTail{Tail: store.Tail{
		Store: d.Store, Topic: d.JobTopic, Partition: partition, Wait: jobReadWait, Log: d.Log,
		Apply:   func(r store.Record) { d.apply(partition, r) },
		Contact: func(at time.Duration) { d.tailContact(partition, at) },
	}}
}

// tailContact notes that all jobs of a partition that were accepted before that moment of the boot clock are known.
func (d *Dispatcher) tailContact(partition int, at time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tailFresh[partition] = max(d.tailFresh[partition], at)
}

// load reads all jobs and their progress, the latter at least up to the offset fenced. It reports false when ctx is done.
func (d *Dispatcher) load(ctx context.Context, fenced int64) ([]*jobTail, bool) {
	began := d.now()
	d.tailFresh = make([]time.Duration, d.JobPartitions)
	tails := make([]*jobTail, d.JobPartitions)
	var reading sync.WaitGroup
	for i := range tails {
		tails[i] = d.jobTail(i)
		reading.Go(func() { tails[i].end, tails[i].newest = catchUp(ctx, &tails[i].Tail) })
	}
	progress := map[string][]byte{}
	own := store.Tail{Store: d.Store, Topic: d.ProgressTopic, Log: d.Log, Apply: func(r store.Record) { d.applyOwn(r, progress) }}
	for ctx.Err() == nil {
		if end, _ := catchUp(ctx, &own); end >= fenced {
			break
		}
		sleep.For(ctx, loadRetry)
	}
	reading.Wait()
	if ctx.Err() != nil {
		return nil, false
	}
	d.restore(progress)
	d.Log.Info().Str("event", "jobs_loaded").Int("jobs", len(d.jobs)).Int("open", d.openJobs()).Dur("took", d.now().Sub(began)).Msg("jobs read from the store")
	return tails, true
}

// openJobs returns the number of jobs that have not ended.
func (d *Dispatcher) openJobs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, jobs := range d.active {
		n += len(jobs)
	}
	return n
}

// catchUp reads the newest records until that succeeds or ctx is done.
func catchUp(ctx context.Context, t *store.Tail) (end int64, newest map[string]int64) {
	for ctx.Err() == nil {
		end, newest, err := t.CatchUp(ctx)
		if err == nil {
			return end, newest
		}
		sleep.For(ctx, loadRetry)
	}
	return 0, nil
}

// applyOwn applies a record that an earlier leader wrote.
func (d *Dispatcher) applyOwn(r store.Record, progress map[string][]byte) {
	kind, id := workload.ParseKey(r.Key)
	if len(r.Value) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var err error
	switch kind {
	case workload.KeyProgress:
		progress[id] = r.Value
	case workload.KeyWorkers:
		err = json.Unmarshal(r.Value, &d.storedWorkers)
	}
	if err != nil {
		d.Log.Warn().Err(err).Str("event", "bad_record").Str("key", r.Key).Msg("a record of an earlier leader cannot be read")
	}
}

// waveStored keeps the stored progress of a wave. Callers hold mu.
func (d *Dispatcher) waveStored(number string, value []byte) error {
	n, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		return err
	}
	var w waveRecord
	if err := json.Unmarshal(value, &w); err != nil {
		return err
	}
	d.waveRecords[n] = &w
	return nil
}

// loadedJob is a submission that was read while the jobs are loaded.
type loadedJob struct {
	value      []byte
	partitions uint64
}

// restore builds the jobs that were read, with their stored progress.
func (d *Dispatcher) restore(progress map[string][]byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for id, read := range d.reading {
		if j := d.restoreJob(id, read.value, progress[id], now); j != nil {
			j.partitions |= read.partitions
		}
	}
	for id := range progress {
		if _, known := d.reading[id]; !known { // its submission was dropped, but an earlier leader did not get to its progress
			d.changed[id] = nil
		}
	}
	d.reading = nil
	d.restoreWorkers()
	for _, j := range d.jobs {
		d.adopt(j)
	}
	d.loaded = true
	d.signal()
}

// restoreJob builds one job, or returns nil if its submission cannot be read. Callers hold mu.
func (d *Dispatcher) restoreJob(id string, submission, progress []byte, now time.Time) *job {
	w, ended := workload.DecodeEnded(id, submission, progress)
	if !ended {
		var err error
		if w, err = workload.DecodeSubmission(id, submission); err != nil {
			d.Log.Warn().Err(err).Str("event", "bad_record").Str("job", id).Msg("submission cannot be read")
			return nil
		}
	}
	if q := d.queue(w.Queue); q.Pool != "" {
		w.Pool = q.Pool
	}
	j := d.insert(w)
	if progress != nil && !ended {
		if err := w.Restore(progress, now); err != nil {
			d.Log.Error().Err(err).Str("event", "bad_progress").Str("job", id).Msg("stored progress cannot be read; the job is left alone")
			delete(d.active[j.Pool], id)
			return j
		}
	}
	if c, ok := d.pending[id]; ok {
		delete(d.pending, id)
		j.partitions |= c.partitions
		if w.Team == c.team {
			w.Cancel(now)
		}
	}
	j.visible = w.State
	return j
}

// insert adds a job to those that are known. Callers hold mu.
func (d *Dispatcher) insert(w *workload.Job) *job {
	j := &job{Job: w, visible: w.State}
	d.jobs[w.ID] = j
	if d.active[w.Pool] == nil {
		d.active[w.Pool] = map[string]*job{}
	}
	d.active[w.Pool][w.ID] = j
	d.counters.accepted.Add(1)
	return j
}

// adopt takes over a job that was there when the term began. Callers hold mu.
func (d *Dispatcher) adopt(j *job) {
	if j.State.Ended() {
		delete(d.active[j.Pool], j.ID)
	} else if j.Advance(d.timeOfDay(j), d.Bounds.Early/2) {
		d.touch(j)
	}
	if !j.State.Ended() {
		d.mayWait(j)
	}
	j.EachTask(func(t *workload.Task) {
		for _, r := range t.Runs {
			d.attach(r)
			if j.State.Ended() || t.Done {
				defer d.stopRun(r, "its task no longer runs")
			}
		}
	})
}

// attach counts a run at its worker and for its team. Callers hold mu.
func (d *Dispatcher) attach(r *workload.Run) {
	a := d.agent(r.Worker)
	a.runs[runKey{r.Task.Name(), r.Number}] = r
	a.used = a.used.Add(r.Task.Step.Spec.Charge())
	a.count(r, +1)
	d.charge(r.Task.Step.Job.Team, r.Task.Step.Spec.Need, +1)
}

// detach takes a run away that is known not to be at work. Callers hold mu.
func (d *Dispatcher) detach(a *agent, r *workload.Run) {
	key := runKey{r.Task.Name(), r.Number}
	if a.runs[key] != r {
		return
	}
	delete(a.runs, key)
	delete(d.unreleased, r)
	a.used = a.used.Sub(r.Task.Step.Spec.Charge())
	a.count(r, -1)
	d.charge(r.Task.Step.Job.Team, r.Task.Step.Spec.Need, -1)
	if len(a.runs) == 0 {
		a.idleSince = d.now()
	}
	d.mark(a)
}

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
	case workload.KeyWave, workload.KeyHome:
		d.applyFleet(kind, id, r.Value)
	}
}

// applyFleet applies what an earlier leader stored of waves and of the sizes of pools. Callers hold mu.
func (d *Dispatcher) applyFleet(kind workload.KeyKind, wave string, value []byte) {
	if d.loaded {
		return // this term's own record
	}
	var err error
	if kind == workload.KeyWave {
		err = d.waveStored(wave, value)
	} else {
		err = json.Unmarshal(value, &d.homeSizes)
	}
	if err != nil {
		d.Log.Warn().Err(err).Str("event", "bad_record").Str("wave", wave).Msg("what an earlier leader stored of the instances cannot be read")
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

// forget drops jobs whose state has been known for long enough. Callers hold mu.
func (d *Dispatcher) forget(now time.Time) {
	if !d.loaded || d.Bounds.StatusKept == 0 || d.forgetting {
		return
	}
	var old []string
	for id, j := range d.jobs {
		if j.State.Ended() && !j.changed && now.Sub(j.EndedAt) >= d.Bounds.StatusKept+endedKeptMore && len(old) < forgetBatch {
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
