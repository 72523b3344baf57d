package dispatch

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"pollenlead/internal/sleep"
	"pollenlead/internal/store"
	"pollenlead/internal/workload"
)

const (
	// jobReadWait is how long one read waits for the next accepted job.
	jobReadWait    = 900 * time.Millisecond
	loadRetryDelay = 100 * time.Millisecond
	// maxConcurrentReads bounds the partitions of the jobs that are read concurrently at the start of a term. If all
	// were read at once on a slow link, the answers to heartbeats would wait behind seconds of records, and another
	// entry instance would claim leadership before anything is loaded.
	maxConcurrentReads = 2
)

// jobTail follows one partition of the jobs.
type jobTail struct {
	store.Tail
	end    int64
	newest map[string]int64
}

// follow applies records from the offset up to which the newest ones were read.
func (t *jobTail) follow(ctx context.Context) {
	t.Follow(ctx, t.end, t.newest)
	for ctx.Err() == nil { // the history was trimmed: read the newest records again
		t.Run(ctx)
	}
}

func (d *Dispatcher) jobTail(partition int) *jobTail {
	return &jobTail{Tail: store.Tail{
		Store: d.Store, Topic: d.JobTopic, Partition: partition, Wait: jobReadWait, Log: d.Log,
		Apply:   func(r store.Record) { d.applyJobRecord(partition, r) },
		Contact: func(at time.Duration) { d.tailContact(partition, at) },
	}}
}

// tailContact records that all jobs of a partition that were accepted before the given boot clock have been read.
func (d *Dispatcher) tailContact(partition int, at time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.jobsReadAt[partition] = max(d.jobsReadAt[partition], at)
}

// load reads all jobs and their progress, the latter at least up to the offset fenced. It reports false when ctx is
// done.
func (d *Dispatcher) load(ctx context.Context, fenced int64) ([]*jobTail, bool) {
	began := d.now()
	d.jobsReadAt = make([]time.Duration, d.JobPartitions)
	tails := make([]*jobTail, d.JobPartitions)
	var reading sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentReads)
	for i := range tails {
		tails[i] = d.jobTail(i)
		reading.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			tails[i].end, tails[i].newest = catchUp(ctx, &tails[i].Tail)
		})
	}
	progress := map[string]store.Record{}
	own := store.Tail{
		Store: d.Store, Topic: d.ProgressTopic, Log: d.Log,
		Apply: func(r store.Record) { d.applyProgressRecord(r, progress) },
	}
	for ctx.Err() == nil {
		if end, _ := catchUp(ctx, &own); end >= fenced {
			break
		}
		sleep.For(ctx, loadRetryDelay)
	}
	reading.Wait()
	if ctx.Err() != nil {
		return nil, false
	}
	d.restoreCordons()
	d.restore(progress)
	d.Log.Info().Str("event", "jobs_loaded").Int64("token", d.Token).Int64("fenced", fenced).Int("jobs", len(d.jobs)).
		Int("open", d.openJobs()).
		Dur("took", d.now().Sub(began)).Msg("jobs read from the store")
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
		sleep.For(ctx, loadRetryDelay)
	}
	return 0, nil
}

// applyProgressRecord applies a record that an earlier leader wrote to the progress topic.
func (d *Dispatcher) applyProgressRecord(r store.Record, progress map[string]store.Record) {
	kind, id := workload.ParseKey(r.Key)
	if len(r.Value) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var err error
	switch kind {
	case workload.KeyProgress:
		progress[id] = r
	case workload.KeyPart:
		if d.loadedParts[id] == nil {
			d.loadedParts[id] = map[string][]byte{}
		}
		d.loadedParts[id][r.Key] = r.Value
	case workload.KeyWorkers:
		err = json.Unmarshal(r.Value, &d.storedWorkers)
	case workload.KeyQueuePools:
		err = json.Unmarshal(r.Value, &d.storedQueuePools)
	}
	if err != nil {
		d.Log.Warn().Err(err).Str("event", "bad_record").Str("key", r.Key).
			Msg("record of an earlier leader cannot be decoded")
	}
}

// restoreWaveRecord decodes and keeps the stored progress of a wave. Callers hold mu.
func (d *Dispatcher) restoreWaveRecord(number string, value []byte) error {
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

// loadedJob is a submission that was read before all jobs were loaded.
type loadedJob struct {
	value      []byte
	partitions uint64
}

// restore creates the jobs that were read, with their stored progress.
func (d *Dispatcher) restore(progress map[string]store.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	open := map[string][]restoredJob{} // by pool
	for id, read := range d.loadedJobs {
		j := d.restoreJob(id, read.value, progress[id].Value, now)
		read.value = nil // the records of all jobs would otherwise be held beside the decoded jobs
		if j == nil {
			continue
		}
		j.partitions |= read.partitions
		if !j.State.Ended() {
			open[j.Pool] = append(open[j.Pool], restoredJob{j, progress[id]})
		}
	}
	d.replaySubmissions()
	d.logRestored(open)
	for id := range progress {
		if _, known := d.loadedJobs[id]; !known { // an earlier leader removed the submission, but not yet the progress
			d.changed[id] = nil
		}
	}
	for id, parts := range d.loadedParts {
		if _, known := d.loadedJobs[id]; !known || progress[id].Value == nil { // left by an earlier job
			d.obsoleteKeys = slices.AppendSeq(d.obsoleteKeys, maps.Keys(parts))
		}
	}
	d.loadedJobs, d.loadedParts = nil, nil
	d.restoreWorkers()
	for _, j := range d.jobs {
		d.adoptJob(j)
	}
	d.loaded = true
	d.signal()
}

// restoredJob is an open job at the beginning of a term with the record of its progress, which is empty if an earlier
// leader stored none.
type restoredJob struct {
	*job
	progress store.Record
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (r restoredJob) MarshalZerologObject(e *zerolog.Event) {
	runs := 0
	r.EachTask(func(t *workload.Task) { runs += len(t.Runs) })
	e.Str("job", r.ID).Str("state", string(r.State)).Bool("stored", len(r.progress.Value) > 0).
		Int64("offset", r.progress.Offset).Int("runs", runs)
}

// maxRestoredPerLine bounds the jobs in one log line. One line for each job would take the place of other lines under
// the limit of the log, as several hundred jobs may be open.
const maxRestoredPerLine = 50

// logRestored logs what this leader believes about the open jobs of each pool at the beginning of its term. Callers
// hold mu.
func (d *Dispatcher) logRestored(open map[string][]restoredJob) {
	for pool, jobs := range open {
		for part := range slices.Chunk(jobs, maxRestoredPerLine) {
			list := zerolog.Arr()
			for _, r := range part {
				list.Object(r)
			}
			d.Log.Info().Str("event", "jobs_restored").Str("pool", pool).Array("jobs", list).
				Msg("open jobs read from the store at the beginning of the term")
		}
	}
}

// restoreJob creates one job, or returns nil if its submission cannot be decoded. Callers hold mu.
func (d *Dispatcher) restoreJob(id string, submission, progress []byte, now time.Time) *job {
	parts := d.loadedParts[id]
	w, ended := workload.DecodeEnded(id, submission, progress)
	if ended = ended && len(parts) == 0; !ended { // parts hold the remaining runs
		var err error
		if w, err = workload.DecodeSubmission(id, submission); err != nil {
			d.Log.Warn().Err(err).Str("event", "bad_record").Str("job", id).Msg("submission cannot be decoded")
			return nil
		}
	}
	if q := d.queue(w.Queue); q.Pool != "" {
		w.Pool = q.Pool
	}
	j := d.insert(w)
	if progress != nil && !ended {
		if err := w.Restore(progress, parts, now); err != nil {
			d.Log.Error().Err(err).Str("event", "bad_progress").Str("job", id).
				Msg("stored progress cannot be decoded, job is suspended")
			delete(d.active[j.Pool], id)
			return j
		}
	}
	if d.takeCancellations(j) && !w.State.Ended() {
		w.Cancel(now)
		d.noteEnded(j)
	}
	j.published = w.State
	return j
}

// insert adds a job to the known jobs. Callers hold mu.
func (d *Dispatcher) insert(w *workload.Job) *job {
	j := &job{Job: w, published: w.State}
	d.jobs[w.ID] = j
	d.addActive(j)
	d.counters.accepted.Add(1)
	return j
}

// addActive adds a job that has not ended to those of its pool. Callers hold mu.
func (d *Dispatcher) addActive(j *job) {
	if d.active[j.Pool] == nil {
		d.active[j.Pool] = map[string]*job{}
	}
	d.active[j.Pool][j.ID] = j
}

// adoptJob takes over a job that existed when the term began. Callers hold mu.
func (d *Dispatcher) adoptJob(j *job) {
	if j.State.Ended() {
		j.endedBefore = true
		delete(d.active[j.Pool], j.ID)
	} else if j.Advance(d.occurrenceClock(j), d.Bounds.EarlyStart/2) {
		d.markChanged(j)
	}
	if !j.State.Ended() {
		d.markWaiting(j)
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

// applyInstanceRecord applies a record of an earlier leader on waves or on the sizes of pools. Callers hold mu.
func (d *Dispatcher) applyInstanceRecord(kind workload.KeyKind, wave string, value []byte) {
	if d.loaded {
		return // this term's own record
	}
	var err error
	if kind == workload.KeyWave {
		err = d.restoreWaveRecord(wave, value)
	} else {
		err = json.Unmarshal(value, &d.homeSizes)
	}
	if err != nil {
		d.Log.Warn().Err(err).Str("event", "bad_record").Str("wave", wave).
			Msg("record of an earlier leader on instances cannot be decoded")
	}
}
