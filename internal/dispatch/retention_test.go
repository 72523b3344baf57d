package dispatch

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/store"
	"pollenlead/internal/workload"
)

// appendStore records the appends that it accepts.
type appendStore struct {
	emptyStore
	onAppend func(store.Append) // called before the append is answered

	mu      sync.Mutex // guards appends
	appends []store.Append
}

func (s *appendStore) Append(_ context.Context, a store.Append) (int64, error) {
	s.mu.Lock()
	s.appends = append(s.appends, a)
	s.mu.Unlock()
	if s.onAppend != nil {
		s.onAppend(a)
	}
	return 0, nil
}

// count returns the number of appends so far.
func (s *appendStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.appends)
}

const endedID = "0011223344556677"

// submissionOf returns the record of a submission, as an entry instance appends it.
func submissionOf(t *testing.T, id string) store.Record {
	t.Helper()
	value, err := json.Marshal(workload.Submission{
		Queue: "queue", Pool: "pool", Team: "team", Spec: &fleet.JobSpec{Steps: []fleet.Step{oneTask}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return store.Record{Key: workload.SubmissionKey(id), Value: value}
}

// addEndedJob adds a job that ended long before now and whose submission was read in partition 0.
func addEndedJob(d *Dispatcher, id string) *job {
	j := d.addJob(id, oneTask)
	j.State, j.published = workload.StateDone, workload.StateDone
	j.EndedAt = d.now().Add(-time.Hour)
	delete(d.active["pool"], id)
	d.notePartition(id, 0)
	return j
}

// readAllJobs records that all partitions of the jobs have been read up to now.
func readAllJobs(d *Dispatcher) {
	for n := range d.JobPartitions {
		d.tailContact(n, bootclock.Now())
	}
}

// waitFor waits until the condition holds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timeout waiting until %s", what)
		}
	}
}

// removalDone reports whether no removal is being sent.
func removalDone(d *Dispatcher) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.removingJobs
}

// TestRepeatedSubmissionDuringRemovalStaysKnown guards against the removal of the progress of an expired job while a
// repeated submission of it remains in another partition. The next leader took the job for a new one and ran it again.
func TestRepeatedSubmissionDuringRemovalStaysKnown(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	d.JobPartitions, d.jobsReadAt = 2, make([]time.Duration, 2)
	d.Bounds.StatusRetention = time.Second
	addEndedJob(d, endedID)
	repeated := submissionOf(t, endedID)
	once := sync.Once{}
	s := &appendStore{onAppend: func(store.Append) { once.Do(func() { d.applyJobRecord(1, repeated) }) }}
	d.Store = s

	d.tick()
	waitFor(t, "the removal is sent", func() bool { return s.count() > 0 && removalDone(d) })
	d.applyJobRecord(0, store.Record{Key: workload.SubmissionKey(endedID), Offset: 1})
	readAllJobs(d)
	d.tick()
	is.True(d.jobs[endedID] != nil) // partition 1 still holds its submission
	_, removed := d.changed[endedID]
	is.True(!removed)
}

// TestProgressIsRemovedLast guards against the removal of the progress of an expired job before all partitions have
// been read up to the removal of its submission: one that is read later may hold a repeated submission.
func TestProgressIsRemovedLast(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	d.JobPartitions, d.jobsReadAt = 2, make([]time.Duration, 2)
	d.Bounds.StatusRetention = time.Second
	addEndedJob(d, endedID)
	s := &appendStore{}
	d.Store = s
	d.tick()
	waitFor(t, "the removal is sent", func() bool { return s.count() > 0 && removalDone(d) })
	is.Equal(s.count(), 1) // only the partition that holds its submission
	removed := func() bool {
		d.tick()
		progress, removing := d.changed[endedID]
		return d.jobs[endedID] == nil && removing && progress == nil
	}
	is.True(!removed())
	d.applyJobRecord(0, store.Record{Key: workload.SubmissionKey(endedID), Offset: 1})
	d.tailContact(0, bootclock.Now())
	is.True(!removed()) // partition 1 may hold a repeated submission
	readAllJobs(d)
	is.True(removed())
}

// TestClockAheadKeepsEndedJobs guards against a new leader whose clock is ahead of that of its predecessor and that
// removes jobs that have just ended. A submission that was repeated after that ran again.
func TestClockAheadKeepsEndedJobs(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	d.loaded, d.JobPartitions, d.jobsReadAt = false, 1, make([]time.Duration, 1)
	d.Bounds.StatusRetention = 2 * time.Minute
	s := &appendStore{}
	d.Store = s
	d.applyJobRecord(0, submissionOf(t, endedID))
	progress, err := json.Marshal(workload.Progress{State: workload.StateDone, EndedAtMillis: time.Now().UnixMilli(), Next: 1})
	is.NoErr(err)
	d.wallStart = d.wallStart.Add(time.Hour)
	d.restore(map[string]store.Record{endedID: {Key: workload.ProgressKey(endedID), Value: progress}})
	readAllJobs(d)
	is.Equal(d.jobs[endedID].State, workload.StateDone)
	d.tick()
	is.True(removalDone(d))
	is.Equal(s.count(), 0)
	d.bootStart -= 3 * time.Minute // the term has lasted longer than the retention period
	d.tick()
	waitFor(t, "the removal is sent", func() bool { return s.count() > 0 && removalDone(d) })
}

// TestJobIsNotRemovedBeforeItsEndIsStored guards against the removal of a job that was never shown as ended: the
// append of its end had been waiting for the progress partition for longer than the retention period.
func TestJobIsNotRemovedBeforeItsEndIsStored(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	d.JobPartitions, d.jobsReadAt = 1, make([]time.Duration, 1)
	d.Bounds.StatusRetention = time.Second
	s := &appendStore{}
	d.Store = s
	j := addEndedJob(d, endedID)
	j.published = workload.StatePending
	d.markChanged(j)
	b := d.collectBatch() // its append is in progress
	d.tick()
	is.True(!d.removingJobs)
	d.applyCommitted(b)
	d.tick()
	waitFor(t, "the removal is sent", func() bool { return s.count() > 0 && removalDone(d) })
}

// TestOldCancellationsAreRemoved guards against cancellations of IDs that nobody has used, which fill the store and the
// memory of each next leader, and against the removal of one whose job may still appear.
func TestOldCancellationsAreRemoved(t *testing.T) {
	is := is.New(t)
	d, s := newFixture(1), &appendStore{}
	defer d.stop()
	d.Store, d.JobPartitions = s, 2
	d.Bounds.StatusRetention = time.Minute
	for partition := range 2 {
		d.applyJobRecord(partition, store.Record{
			Key: workload.CancelKey(endedID), Value: []byte(`{"queue":"queue","team":"team"}`),
		})
	}
	remove := func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.removeExpiredJobs(d.now())
	}
	remove()
	is.Equal(s.count(), 0)
	d.mu.Lock()
	d.pendingCancels.byID[endedID][0].readAt -= time.Hour
	d.mu.Unlock()
	remove()
	waitFor(t, "the removals are sent", func() bool { return s.count() == 2 })
	own := workload.Cancellation{Queue: "queue", Team: "team"}.Key(endedID)
	is.Equal(s.appends[0].Records, []store.Record{{Key: own}, {Key: workload.CancelKey(endedID)}})
	for partition := range 2 {
		is.Equal(d.pendingCancels.count, 1) // until both removals have been read back
		for _, r := range s.appends[partition].Records {
			d.applyJobRecord(partition, r)
		}
	}
	is.Equal(d.pendingCancels.count, 0)
	is.Equal(len(d.pendingCancels.byID), 0)
}

// TestCancellationsOfOthersAreRemoved guards against cancellations of a known job by other clients that stay in the
// store for ever, and against the removal of the key that all clients share while it may hold the owner's cancellation.
func TestCancellationsOfOthersAreRemoved(t *testing.T) {
	is := is.New(t)
	d, s := newFixture(1), &appendStore{}
	defer d.stop()
	d.Store, d.JobPartitions = s, 1
	d.Bounds.StatusRetention = time.Minute
	j := d.addJob(endedID, oneTask)
	own := workload.Cancellation{Queue: "queue", Team: "team", Address: "h/queue/"}
	other := workload.Cancellation{Queue: "queue", Team: "other", Address: "h/queue/"}
	for _, c := range []workload.Cancellation{own, other} {
		value, err := json.Marshal(c)
		is.NoErr(err)
		d.applyJobRecord(0, store.Record{Key: c.Key(endedID), Value: value})
		d.applyJobRecord(0, store.Record{Key: workload.CancelKey(endedID), Value: value})
	}
	is.Equal(j.State, workload.StateCancelled)
	removals := map[int][]store.Record{}
	is.Equal(d.addCancelRemovals(removals, 10, bootclock.Now()+time.Hour), 1)
	is.Equal(removals[0], []store.Record{{Key: other.Key(endedID)}})
	clear(removals)
	d.addRemovals(removals, j)
	is.Equal(removals[0], []store.Record{
		{Key: workload.SubmissionKey(endedID)}, {Key: workload.CancelKey(endedID)}, {Key: own.Key(endedID)},
	})
}
