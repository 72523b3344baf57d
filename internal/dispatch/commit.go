package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/sleep"
	"pollenlead/internal/store"
	"pollenlead/internal/workload"
)

const (
	// producerName identifies the leader's appends; their epoch is the term's fencing token.
	producerName  = "dispatcher"
	appendTimeout = 1200 * time.Millisecond
	// leastAppendTimeout is the least time that a try of an append of progress may take. All starts wait for it, and the repeat of a try whose
	// answer was lost gets the answer of the first.
	leastAppendTimeout = 250 * time.Millisecond
	// appendRetry is the pause after the first append without success; it grows with each up to maxAppendRetry, as refused
	// calls are priced too.
	appendRetry    = 30 * time.Millisecond
	maxAppendRetry = 150 * time.Millisecond
	// confirmInterval is the time without an append after which an empty one asks whether the term still holds.
	confirmInterval = time.Second
	// slowAppend is the time after which an append is logged.
	slowAppend = 250 * time.Millisecond
	// maxBatchRecords bounds one append well below the store's limit of bytes.
	maxBatchRecords = 500
)

// committer appends the progress of jobs in groups. Only the goroutine that decides uses it.
type committer struct {
	d        *Dispatcher
	sequence int64
	// slow means that the append under way has been logged as slow.
	slow bool
	// end is the offset at which the partition has to end before the next append. Another end means that an append of an earlier
	// leader was carried out after this one had read the partition.
	end int64
	// pace is how fast the store takes appends.
	pace store.TimeoutEstimator
}

func newCommitter(d *Dispatcher) *committer {
	return &committer{d: d, pace: store.TimeoutEstimator{Min: leastAppendTimeout, Max: appendTimeout}}
}

// batch is what one append stores.
type batch struct {
	records []store.Record
	states  map[*job]workload.State
	starts  []*workload.Run
	ends    map[*agent]int64
	// workers is the set of workers that the batch stores, nil if it has not changed.
	workers map[string]string
	// confirm asks for an append even without records.
	confirm bool
}

// errForeignRecords means that the partition holds records that this leader has not read.
var errForeignRecords = errors.New("dispatch: an earlier leader's append was carried out late")

// fence makes the store refuse the appends of all earlier terms, and returns the end of the partition after it. What an earlier
// leader stored lies before that. It reports false if this term is over already.
func (c *committer) fence(ctx context.Context) (end int64, ok bool) {
	value := strconv.AppendInt(nil, c.d.Token, 10)
	err := c.append(ctx, []store.Record{{Key: workload.TermKey, Value: value}})
	return c.end, err == nil
}

// next returns what has to be stored now, or nil. An empty batch makes sure from time to time that no other leader has begun, as
// leases are renewed only for a while without that.
func (c *committer) next() *batch {
	if b := c.d.gather(); b != nil {
		return b
	}
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	if bootclock.Now()-c.d.lastStored > confirmInterval {
		return &batch{confirm: true}
	}
	return nil
}

// run stores a batch and then lets starts and acknowledgements go out. An error means that the term is over.
func (c *committer) run(ctx context.Context, b *batch) error {
	if len(b.records) > 0 || b.confirm {
		if err := c.append(ctx, b.records); err != nil {
			return err
		}
	}
	c.d.committed(b)
	return nil
}

// append repeats one append until its outcome is known. One without records takes no number of the sequence.
func (c *committer) append(ctx context.Context, records []store.Record) error {
	if len(records) > 0 {
		c.sequence++
	}
	unanswered := 0
	began := bootclock.Now()
	for tries := 1; ctx.Err() == nil; tries++ {
		sent := bootclock.Now()
		first, err := c.try(ctx, records, unanswered)
		c.watch(tries, len(records), bootclock.Now()-began, err)
		var unexpected *store.SequenceError
		switch {
		case err == nil:
			c.d.stored(sent)
			return c.advance(first, len(records))
		case errors.Is(err, store.ErrFenced):
			return err
		case errors.As(err, &unexpected) && unanswered > 0:
			// A try without an answer may be carried out later under its number, and would then pass for the next append.
			return fmt.Errorf("%w: sequence %d sent, %d expected", errForeignRecords, c.sequence, unexpected.Expected)
		case errors.As(err, &unexpected):
			// The store may count records where this client counts calls.
			c.d.Log.Warn().Str("event", "sequence").Int64("sent", c.sequence).Int64("expected", unexpected.Expected).Msg("the store expects another sequence")
			c.sequence = unexpected.Expected
			continue
		case !errors.Is(err, store.ErrBusy) && !errors.Is(err, store.ErrUnknown):
			c.d.Log.Error().Err(err).Str("event", "append_failed").Int("records", len(records)).Msg("progress cannot be stored")
		}
		if errors.Is(err, store.ErrUnknown) {
			unanswered++
		}
		c.d.counters.appendRetries.Add(1)
		sleep.For(ctx, min(appendRetry*time.Duration(tries), maxAppendRetry))
	}
	return ctx.Err()
}

// watch logs when appends begin to take long and when they no longer do.
func (c *committer) watch(tries, records int, took time.Duration, outcome error) {
	slow := took > slowAppend
	if slow == c.slow && !(slow && outcome == nil) {
		return
	}
	c.slow = slow && outcome != nil
	c.d.Log.Info().Str("event", "append_slow").Int("try", tries).Dur("took", took).Int("records", records).AnErr("outcome", outcome).Msg("the store takes long to append progress")
}

// try sends an append once. Its time counts only if it has an answer: lost answers are no sign of a slow store.
func (c *committer) try(ctx context.Context, records []store.Record, unanswered int) (first int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.pace.Timeout(unanswered)+c.d.lag.timeout(0))
	defer cancel()
	began := bootclock.Now()
	first, err = c.d.Store.Append(ctx, store.Append{
		Topic: c.d.ProgressTopic, Records: records,
		Producer: &store.Producer{Name: producerName, Epoch: c.d.Token, Sequence: c.sequence},
	})
	if !errors.Is(err, store.ErrUnknown) {
		c.pace.Observe(bootclock.Now() - began)
	}
	return first, err
}

// advance checks that nobody else has written since the last append.
func (c *committer) advance(first int64, records int) error {
	if records == 0 {
		return nil
	}
	if c.end != 0 && first != c.end {
		return fmt.Errorf("%w: offset %d where %d was expected", errForeignRecords, first, c.end)
	}
	c.end = first + int64(records)
	return nil
}

// stored notes that the store has accepted an append that was sent at a moment of the boot clock. When the answer arrived does not count: behind a
// narrow link or after a pause another leader may have begun meanwhile.
func (d *Dispatcher) stored(sent time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastStored = sent
}

// gather takes what has to be stored, or returns nil if nothing has.
func (d *Dispatcher) gather() *batch {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := &batch{states: map[*job]workload.State{}, ends: map[*agent]int64{}}
	for id, j := range d.changed {
		if len(b.records) >= maxBatchRecords {
			break
		}
		delete(d.changed, id)
		if j == nil {
			b.drop(id)
			continue
		}
		if err := b.add(j); err != nil {
			d.Log.Error().Err(err).Str("event", "bad_progress").Str("job", id).Msg("progress cannot be encoded")
		}
	}
	d.addWorkers(b)
	if len(d.changed) > 0 {
		d.signal()
	} else {
		for _, a := range d.agents {
			if a.seenEnd > a.storedEnd {
				b.ends[a] = a.seenEnd
			}
		}
	}
	if len(b.records) == 0 && len(b.ends) == 0 {
		return nil
	}
	return b
}

// add takes a job's progress and the runs that may start once it is stored.
func (b *batch) add(j *job) error {
	value, err := json.Marshal(j.Progress())
	if err != nil {
		return err
	}
	j.changed = false
	b.records = append(b.records, store.Record{Key: workload.ProgressKey(j.ID), Value: value})
	b.states[j] = j.State
	j.EachTask(func(t *workload.Task) {
		for _, r := range t.Runs {
			if !r.Stored {
				b.starts = append(b.starts, r)
			}
		}
	})
	return nil
}

// drop removes the progress of a job whose submission has been dropped.
func (b *batch) drop(id string) {
	b.records = append(b.records, store.Record{Key: workload.ProgressKey(id)})
}

// committed lets out what a stored batch allows.
func (d *Dispatcher) committed(b *batch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b.workers != nil {
		d.storedWorkers = b.workers
	}
	for j, state := range b.states {
		delete(d.unshown, j)
		d.show(j, state)
	}
	for _, r := range b.starts {
		r.Stored = true
		delete(d.unreleased, r)
		if r.Phase == workload.RunAssigned {
			d.send(r)
		}
	}
	for a, n := range b.ends {
		a.storedEnd = max(a.storedEnd, n)
		if a.storedEnd >= a.seenEnd {
			clear(a.unstoredJobs)
		}
		a.nudge()
	}
}

// show makes a stored state visible to callers. Callers hold mu.
func (d *Dispatcher) show(j *job, state workload.State) {
	if j.visible == state || j.visible.Ended() {
		return
	}
	j.visible = state
	if !state.Ended() {
		return
	}
	took := j.EndedAt.Sub(j.Submitted)
	d.counters.ended(state, took)
	d.Log.Info().Str("event", "job_ended").Str("job", j.ID).Str("queue", j.Queue).Str("team", j.Team).Str("state", string(state)).
		Dur("took", took).Dur("first_start_after", j.firstStart).Dur("objective", j.objective).Int("runs_failed", j.failures).
		Msg("job ended")
}
