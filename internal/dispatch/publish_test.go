package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/follow"
	"pollenlead/internal/store"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

// TestEndIsPublishedOnlyOnceStored guards against a job that is shown as done while only its worker and this leader
// know the end. Each case is a way in which both were lost later, so that the next leader ran the task again.
func TestEndIsPublishedOnlyOnceStored(t *testing.T) {
	for name, change := range map[string]func(d *Dispatcher, a *agent){
		// The store answers the other entry instances, which elect another leader.
		"leader without the store": func(*Dispatcher, *agent) {},
		// The leader reads an answer of the store from before a pause in which another leader has begun.
		"leader after a pause":   func(d *Dispatcher, _ *agent) { awaitConfiguration(t, d) },
		"worker is draining":     func(_ *Dispatcher, a *agent) { a.entry.Draining = true },
		"worker does not answer": func(_ *Dispatcher, a *agent) { a.silentSince = bootclock.Now() },
		"worker has left and is forgotten": func(d *Dispatcher, a *agent) {
			a.entry, a.renewing = nil, false
			d.expireLeases()
		},
		"worker has started again under its ID": func(d *Dispatcher, a *agent) {
			d.applyReport(a, worker.Report{ClockMillis: 1, Incarnation: 2}, bootclock.Now())
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newFixture(1)
			defer d.stop()
			d.Bounds.MaxLease = leaseDuration
			j := d.addJob("0011223344556677", oneTask)
			d.place()
			endRun(t, d, j)
			change(d, d.agent("w0"))

			b := d.collectBatch()
			d.tick()
			d.releaseUnstored(bootclock.Now() - 2*time.Second) // the append has been in progress for so long
			is.Equal(j.published, workload.StateRunning)
			d.applyCommitted(b)
			is.Equal(j.published, workload.StateDone)
		})
	}
}

// awaitConfiguration makes the leader follow a store that answers, and waits for its first answer.
func awaitConfiguration(t *testing.T, d *Dispatcher) {
	t.Helper()
	d.Follower = follow.New(emptyStore{}, follow.Decoder{}, zerolog.Nop())
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	go d.Follower.Run(ctx)
	for _, ok := d.Follower.Age(); !ok; _, ok = d.Follower.Age() {
		time.Sleep(time.Millisecond)
	}
}

// endRun lets the only run of a placed job end done at worker w0.
func endRun(t *testing.T, d *Dispatcher, j *job) {
	t.Helper()
	run := j.Task(0, 0, 0).Runs[0]
	run.Stored, run.Released, run.Phase = true, true, workload.RunActive
	d.applyReport(d.agent("w0"), worker.Report{ClockMillis: 1, Incarnation: 1, Ended: []worker.End{
		{Number: 1, Task: run.Task.Name(), Run: 1, Kind: worker.EndDone},
	}}, bootclock.Now())
	is.New(t).Equal(j.State, workload.StateDone)
}

// spareStore keeps the newest records of each partition. It refuses appends to unavailable partitions, and appends of
// an earlier epoch.
type spareStore struct {
	emptyStore
	mu          sync.Mutex
	partitions  [3]sparePartition
	unavailable map[int]bool
}

type sparePartition struct {
	newest     map[string][]byte
	epoch, end int64
}

func newSpareStore(unavailable ...int) *spareStore {
	s := &spareStore{unavailable: map[int]bool{}}
	for i := range s.partitions {
		s.partitions[i].newest = map[string][]byte{}
	}
	for _, p := range unavailable {
		s.unavailable[p] = true
	}
	return s
}

func (s *spareStore) Append(_ context.Context, a store.Append) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.partitions[a.Partition]
	if s.unavailable[a.Partition] {
		return 0, store.ErrBusy
	}
	if a.Producer.Epoch < p.epoch {
		return 0, store.ErrFenced
	}
	p.epoch = a.Producer.Epoch
	for _, r := range a.Records {
		p.newest[r.Key] = r.Value
	}
	p.end += int64(len(a.Records))
	return p.end - int64(len(a.Records)), nil
}

func (s *spareStore) ReadNewest(_ context.Context, _ string, partition int, _ string) (store.Newest, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := store.Newest{End: s.partitions[partition].end}
	for key, value := range s.partitions[partition].newest {
		page.Records = append(page.Records, store.Record{Key: key, Value: value})
	}
	return page, nil
}

// put writes a record to a partition as a call that is carried out late.
func (s *spareStore) put(partition int, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitions[partition].newest[key] = []byte(value)
	s.partitions[partition].end++
}

// holders returns the partitions that hold the end of a job.
func (s *spareStore) holders(id string) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []int
	for p := range s.partitions {
		if len(s.partitions[p].newest[workload.DoneKey(id)]) > 0 {
			list = append(list, p)
		}
	}
	return list
}

func (s *spareStore) setUnavailable(partition int, unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable[partition] = unavailable
}

const spareJob = "0011223344556677"

// newSpareFixture returns a leader of a term with one worker and one open job.
func newSpareFixture(t *testing.T, s *spareStore, token int64) (*Dispatcher, *job) {
	t.Helper()
	d := newFixture(1)
	t.Cleanup(d.stop)
	d.Store, d.JobPartitions, d.Token, d.Bounds.StatusRetention = s, len(s.partitions), token, time.Minute
	return d, d.addJob(spareJob, oneTask)
}

// runSpare opens the spare partitions of a leader and maintains them until the returned function is called.
func runSpare(t *testing.T, d *Dispatcher) (stop func()) {
	t.Helper()
	committers := d.openSparePartitions(d.ctx)
	is.New(t).Equal(len(committers), 2)
	d.restoreSpareEnds()
	var tasks sync.WaitGroup
	for _, c := range committers {
		tasks.Go(func() { d.maintainSpareEnds(d.ctx, c) })
	}
	stop = func() { d.stop(); tasks.Wait() }
	t.Cleanup(stop)
	return stop
}

// maintainUntilTermEnds maintains a spare partition of a leader whose term has to end thereby.
func maintainUntilTermEnds(t *testing.T, d *Dispatcher, c *committer) {
	t.Helper()
	ctx, cancel := context.WithTimeout(d.ctx, 10*time.Second)
	defer cancel()
	d.maintainSpareEnds(ctx, c)
	is.New(t).True(d.ctx.Err() != nil)
}

// await waits until a condition is met while the dispatcher's mu is held.
func await(t *testing.T, d *Dispatcher, condition func() bool) {
	t.Helper()
	met := func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return condition()
	}
	for deadline := time.Now().Add(20 * time.Second); !met(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 20 s")
		}
	}
}

// TestEndInASparePartitionOutlastsTheLeader guards against a job that is shown as done only seconds after its end
// because the partition of the progress is unavailable, and a spare one too, and against a next leader that runs the
// task of such a job again.
func TestEndInASparePartitionOutlastsTheLeader(t *testing.T) {
	is := is.New(t)
	s := newSpareStore(0)
	d, j := newSpareFixture(t, s, 1)
	stop := runSpare(t, d)
	d.place()
	s.setUnavailable(1, true)
	endRun(t, d, j)
	await(t, d, func() bool { return j.published == workload.StateDone })
	is.Equal(s.holders(spareJob), []int{2})
	stop()

	s.setUnavailable(1, false)
	next, restored := newSpareFixture(t, s, 2)
	open := next.addJob("0011223344556678", oneTask)
	runSpare(t, next)
	next.place()
	is.Equal(restored.published, workload.StateDone)
	is.Equal(len(restored.Task(0, 0, 0).Runs), 0)
	is.Equal(len(open.Task(0, 0, 0).Runs), 1)
}

// TestPausedLeaderPublishesNoSpareEnds guards against a leader that was paused and shows a job as done although the
// next leader has read the spare partitions before the end was stored there, and runs the task again.
func TestPausedLeaderPublishesNoSpareEnds(t *testing.T) {
	is := is.New(t)
	s := newSpareStore(0)
	d, j := newSpareFixture(t, s, 1)
	committers := d.openSparePartitions(t.Context())
	next, _ := newSpareFixture(t, s, 2)
	is.True(next.openSparePartitions(t.Context()) != nil)
	d.place()
	endRun(t, d, j)
	j.EndedAt = j.EndedAt.Add(-2 * spareEndDelay)
	maintainUntilTermEnds(t, d, committers[0])
	is.Equal(j.published, workload.StateRunning)
	is.Equal(d.openSparePartitions(t.Context()), nil)
}

// TestLateSpareEndIsNotPublished guards against a leader whose append to a spare partition waits in the store until the
// next leader has fenced and read the partition, and is carried out then.
func TestLateSpareEndIsNotPublished(t *testing.T) {
	is := is.New(t)
	s := newSpareStore(0)
	d, j := newSpareFixture(t, s, 1)
	committers := d.openSparePartitions(t.Context())
	s.put(1, workload.TermKey, "2") // the next leader's fence, which the waiting append passes
	d.place()
	endRun(t, d, j)
	j.EndedAt = j.EndedAt.Add(-2 * spareEndDelay)
	maintainUntilTermEnds(t, d, committers[0])
	is.Equal(j.published, workload.StateRunning)
}

// TestSpareEndsAreRemovedOnceStored guards against records of ends that remain in the store for ever.
func TestSpareEndsAreRemovedOnceStored(t *testing.T) {
	is := is.New(t)
	s := newSpareStore(0)
	d, j := newSpareFixture(t, s, 1)
	runSpare(t, d)
	d.place()
	endRun(t, d, j)
	await(t, d, func() bool { return j.published == workload.StateDone })
	d.applyCommitted(d.collectBatch())
	await(t, d, func() bool { return len(d.spareEnds) == 0 })
	is.Equal(s.holders(spareJob), nil)
}

// TestSpareEndsOfRemovedJobsAreRemoved guards against ends that an earlier leader left in a spare partition and that
// would end a later job with the same ID.
func TestSpareEndsOfRemovedJobsAreRemoved(t *testing.T) {
	is := is.New(t)
	s := newSpareStore()
	s.put(2, workload.DoneKey("0011223344556678"), `{"at_ms":1,"ended_ms":1}`)
	d, _ := newSpareFixture(t, s, 1)
	runSpare(t, d)
	await(t, d, func() bool { return len(d.spareEnds) == 0 })
	is.Equal(s.holders("0011223344556678"), nil)
}

// TestSpareEndOfAnEarlierJobWithTheSameID guards against a job that is shown as done without having run: the end of an
// earlier job with the same ID was left in a spare partition.
func TestSpareEndOfAnEarlierJobWithTheSameID(t *testing.T) {
	is := is.New(t)
	s := newSpareStore()
	s.put(1, workload.DoneKey(spareJob), `{"at_ms":1,"ended_ms":1}`)
	d, j := newSpareFixture(t, s, 1)
	runSpare(t, d)
	d.place()
	is.Equal(j.State, workload.StatePending) // its task is assigned and not started yet
	is.Equal(len(j.Task(0, 0, 0).Runs), 1)
}

// TestObsoleteSpareEndIsNotReused guards against a job that is shown as done by a record that is removed at once: the
// end of an earlier job with the same ID was to be removed from the spare partition.
func TestObsoleteSpareEndIsNotReused(t *testing.T) {
	is := is.New(t)
	s := newSpareStore(0)
	s.put(1, workload.DoneKey(spareJob), `{"at_ms":1,"ended_ms":1}`)
	d, j := newSpareFixture(t, s, 1)
	committers := d.openSparePartitions(d.ctx)
	is.Equal(len(committers), 2)
	d.restoreSpareEnds()
	d.place()
	endRun(t, d, j)
	j.EndedAt = j.EndedAt.Add(-2 * spareEndDelay)
	for range 3 { // the partitions answer in turn
		for _, c := range []*committer{committers[1], committers[0]} {
			if records := d.takeSpareRecords(c.partition); len(records) > 0 {
				is.NoErr(c.append(d.ctx, records))
				d.applySpareCommitted(c.partition, records)
			}
			is.True(!j.published.Ended() || len(s.holders(spareJob)) > 0)
		}
	}
	is.Equal(j.published, workload.StateDone)
	next, restored := newSpareFixture(t, s, 2)
	is.Equal(len(next.openSparePartitions(next.ctx)), 2)
	next.restoreSpareEnds()
	is.Equal(restored.State, workload.StateDone)
}

// TestSpareEndOfAResubmittedJob guards against a job that is shown as done and runs again under the next leader: a
// client had repeated its submission later than the retention period, while it was still running.
func TestSpareEndOfAResubmittedJob(t *testing.T) {
	is := is.New(t)
	s := newSpareStore()
	d, j := newSpareFixture(t, s, 1)
	millis := func(age time.Duration) int64 { return j.Submitted.Add(-age).UnixMilli() }
	s.put(1, workload.DoneKey(spareJob),
		fmt.Sprintf(`{"at_ms":%d,"ended_ms":%d}`, millis(2*time.Minute), millis(-time.Second)))
	runSpare(t, d)
	d.place()
	is.Equal(j.State, workload.StateDone)
	is.Equal(len(j.Task(0, 0, 0).Runs), 0)
}

// topicStore records the topics whose newest records were read.
type topicStore struct {
	*spareStore
	read sync.Map
}

func (s *topicStore) ReadNewest(ctx context.Context, topic string, partition int, after string) (store.Newest, error) {
	s.read.Store(topic, true)
	switch topic {
	case "jobs":
		return store.Newest{}, nil
	case "workers":
		return store.Newest{Records: []store.Record{{Key: "w0", Value: []byte("{}")}}}, nil
	}
	return s.spareStore.ReadNewest(ctx, topic, partition, after)
}

// TestNewLeaderRenewsLeasesWithoutASparePartition guards against a new leader that reaches no worker while one spare
// partition is away, so that the leases of all runs expire. It may start nothing until then: an end may be stored
// there.
func TestNewLeaderRenewsLeasesWithoutASparePartition(t *testing.T) {
	is := is.New(t)
	s := &topicStore{spareStore: newSpareStore(2)}
	d := newFixture(1)
	d.stop()
	d.Store, d.JobPartitions, d.Token = s, len(s.partitions), 1
	d.Workers = &unresponsiveWorkers{}
	d.JobTopic, d.ProgressTopic, d.WorkerTopic = "jobs", "progress", "workers"
	d.agent("w0").stop = func() {}
	d.DecodeEntry = func(string, []byte) (*fleet.WorkerEntry, error) { return d.agent("w0").entry, nil }
	d.loaded, d.spareEndsRead = false, false
	d.addSubmission(spareJob, submissionOf(t, spareJob))
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); d.Run(ctx) }()
	defer func() { stop(); <-done }()

	waitFor(t, "the workers' entries are read", func() bool { _, ok := s.read.Load("workers"); return ok })
	runs := func() int {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.jobs[spareJob].Task(0, 0, 0).Runs)
	}
	time.Sleep(3 * tickInterval)
	is.Equal(runs(), 0)
	s.setUnavailable(2, false)
	waitFor(t, "the task is assigned", func() bool { return runs() == 1 })
}
