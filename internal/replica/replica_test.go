package replica

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/platform"
	"pollenlead/internal/record"
	"pollenlead/internal/statemachine"
)

// Guards against an op that takes effect twice, is skipped or gets a wrong outcome because the answer to its append was
// lost. All answers are lost here.
func TestLostAnswerAtEveryAppend(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	log.loseAnswers = 1000
	n := startNode(t, log, "a")
	n.openSession(t)
	for i := range 5 {
		outcomes, err := n.c.Submit(t.Context(), reportOp(fmt.Sprint(i)), renewOp())
		is.NoErr(err)
		is.Equal(len(outcomes), 2)
		is.Equal(outcomes[0].Kind, record.KindInstancesReport)
		is.True(outcomes[0].Accepted && outcomes[1].Accepted)
	}
	effective, instances := log.countEffects(t, "a-1")
	is.Equal(effective, 6)
	is.Equal(len(instances), 5)
}

// Guards against a record that takes effect twice because the log stored it twice.
func TestDuplicateAppends(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	log.storeTwice = 1000
	n := startNode(t, log, "a")
	n.openSession(t)
	for range 3 {
		_, err := n.c.Submit(t.Context(), renewOp())
		is.NoErr(err)
	}
	effective, _ := log.countEffects(t, "a-1")
	is.Equal(effective, 4)
	is.Equal(len(log.data), 8)
}

// Guards against an op that takes effect although its caller got ErrNotSent. The callers' context ends during an outage
// of the log, which then recovers.
func TestWithdrawnOpNeverTakesEffect(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	n := startNode(t, log, "a")
	n.openSession(t)
	log.set(func() { log.outage = true })
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	results := make([]error, 20)
	for i := range results {
		callers.Go(func() { _, results[i] = n.c.Submit(ctx, reportOp(fmt.Sprint(i))) })
	}
	for n.c.Stats().FailedAppends == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	callers.Wait()
	log.set(func() { log.outage = false })
	_, err := n.c.Submit(t.Context(), renewOp())
	is.NoErr(err)
	_, instances := log.countEffects(t, "a-1")
	for i, err := range results {
		is.True(errors.Is(err, ErrNotSent) || errors.Is(err, ErrUnresolved))
		is.True(!errors.Is(err, ErrNotSent) || !instances[fmt.Sprint(i)])
	}
}

// blockingLog blocks each append until the test releases it, and then refuses it.
type blockingLog struct {
	*fakeLog
	blocked atomic.Bool
	started chan struct{}
	release chan struct{}
}

func (l *blockingLog) Append(ctx context.Context, data []byte) (uint64, error) {
	if !l.blocked.Load() {
		return l.fakeLog.Append(ctx, data)
	}
	l.started <- struct{}{}
	<-l.release
	return 0, platform.ErrNoEffect
}

// Guards against ErrUnresolved for a caller whose context ends during an append that the log then refuses. The ops were
// certainly not sent, so the error must be ErrNotSent.
func TestWithdrawnDuringARefusedAppendIsNotSent(t *testing.T) {
	is := is.New(t)
	log := &blockingLog{fakeLog: newFakeLog(), started: make(chan struct{}), release: make(chan struct{})}
	n := startNode(t, log, "a")
	n.openSession(t)
	log.blocked.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() {
		_, err := n.c.Submit(ctx, reportOp("x"))
		result <- err
	}()
	<-log.started
	cancel()
	log.blocked.Store(false)
	// The committer must have processed the withdrawal before the append ends.
	for withdrawn := false; !withdrawn; time.Sleep(time.Millisecond) {
		n.c.mu.Lock()
		withdrawn = n.c.inflight.members[0].withdrawErr != nil
		n.c.mu.Unlock()
	}
	log.release <- struct{}{}
	is.True(errors.Is(<-result, ErrNotSent))
}

// Guards against a full queue that accepts more ops or blocks, and against ops of a replaced identity that are sent
// under the new one.
func TestFullQueueAndReset(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	log.outage = true
	f := NewFollower(log, FollowerOptions{})
	c := NewCommitter(log, f, Identity{"a", "a-1"}, CommitterOptions{MaxQueuedOps: 2})
	waiting := make(chan error, 1)
	go func() {
		_, err := c.Submit(t.Context(), renewOp(), renewOp())
		waiting <- err
	}()
	for {
		c.mu.Lock()
		queued := c.queuedOps
		c.mu.Unlock()
		if queued == 2 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	_, err := c.Submit(t.Context(), renewOp())
	is.True(errors.Is(err, ErrNotSent)) // full
	b, err := c.nextBatch(t.Context())
	is.NoErr(err)
	c.Reset(Identity{"a", "a-2"})
	is.True(errors.Is(<-waiting, ErrUnresolved)) // the ops were in a record
	is.True(b.ctx.Err() != nil)
	_, err = c.SubmitAs(t.Context(), Identity{"a", "a-1"}, renewOp())
	is.True(errors.Is(err, ErrNotSent))
}

// Guards against a group commit that exceeds the maximum number of ops in a record, or that returns outcomes to the
// wrong caller.
func TestGroupCommitBounds(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	n := startNode(t, log, "a")
	n.openSession(t)
	_, err := n.c.Submit(t.Context(), make([]record.Op, maxBatchOps+1)...)
	is.True(errors.Is(err, ErrNotSent))
	var callers sync.WaitGroup
	for i := range 600 {
		callers.Go(func() {
			ops := []record.Op{renewOp()}
			if i%2 == 0 {
				ops = []record.Op{{JobForget: &record.JobForget{}}, renewOp()}
			}
			outcomes, err := n.c.Submit(context.Background(), ops...)
			if err != nil || len(outcomes) != len(ops) || outcomes[0].Kind != ops[0].Kind() {
				t.Errorf("outcomes %v, error %v", outcomes, err)
			}
		})
	}
	callers.Wait()
	for _, data := range log.data {
		r, err := record.Decode(data)
		is.NoErr(err)
		is.True(len(r.Ops) <= maxBatchOps)
	}
}

// Guards against a follower or committer that stops retrying during an outage of the log.
func TestOutageThenRecovery(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	log.outage = true
	n := startNode(t, log, "a")
	done := make(chan struct{})
	go func() { defer close(done); n.openSession(t) }()
	for n.c.Stats().FailedAppends < 4 || n.f.Stats().FailedReads < 4 {
		time.Sleep(time.Millisecond)
	}
	is.True(n.f.LastContact().IsZero())
	log.set(func() { log.outage = false })
	<-done
}

// Guards against a node that cannot reach the log and does not read and append through its peers.
func TestPeersRelayReadsAndAppends(t *testing.T) {
	is := is.New(t)
	peer, cut := newFakeLog(), newFakeLog()
	cut.outage = true
	n := startNode(t, cut, "a", peer)
	n.openSession(t)
	is.True(n.f.Stats().PeerReads > 0)
	// Submit returns as soon as the record is applied. The committer counts the relayed append when that call returns,
	// and the follower updates contact when the whole batch is applied, so both may happen slightly later.
	for n.c.Stats().Relayed == 0 || n.f.LastContact().IsZero() {
		time.Sleep(time.Millisecond)
	}
}

// Guards against an old binary that applies records of a newer schema, and against callers that wait forever after the
// follower has stopped because of one.
func TestNewerSchemaStops(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	n := startNode(t, log, "a")
	n.openSession(t)
	_, err := log.Append(t.Context(), []byte(`{"schema":99}`))
	is.NoErr(err)
	for n.f.Err() == nil {
		<-n.f.Changed()
	}
	is.True(errors.Is(n.f.Err(), statemachine.ErrNewerSchema))
	is.True(n.f.WaitFor(t.Context(), 1000) != nil)
	_, err = n.c.Submit(t.Context(), renewOp())
	is.True(errors.Is(err, ErrNotSent) || errors.Is(err, ErrUnresolved))
}

// Guards against a start from a trimmed log that loses state, and against the use of a damaged snapshot in place of the
// older intact one.
func TestSnapshots(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	n := startNode(t, log, "a")
	n.openSession(t)
	_, err := n.c.Submit(t.Context(), reportOp("early"))
	is.NoErr(err)
	is.NoErr(n.w.WriteSnapshot(t.Context()))
	complete := uint64(0)
	n.f.View(func(s *statemachine.State) { p, _ := s.CompleteSnapshot(); complete = p.Offset })
	log.set(func() { log.first = complete })
	_, err = n.c.Submit(t.Context(), reportOp("late"))
	is.NoErr(err)
	is.NoErr(n.w.WriteSnapshot(t.Context()))
	for _, corrupt := range []bool{false, true} {
		if corrupt {
			log.corruptNewestChunk(t)
		}
		other := startNode(t, log, fmt.Sprint("b", corrupt))
		is.NoErr(other.f.WaitFor(t.Context(), n.f.Applied()))
		is.Equal(other.f.Stats().SnapshotLoads, uint64(1))
		is.Equal(hash(n.f), hash(other.f))
	}
}

// Guards against a running follower that stops or skips records when the log trims records that it has not read yet.
func TestTrimmedWhileRunning(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	n := startNode(t, log, "a")
	n.openSession(t)
	slow := NewFollower(log, FollowerOptions{})
	is.NoErr(slow.advance(t.Context()))
	for i := range 3 {
		_, err := n.c.Submit(t.Context(), reportOp(fmt.Sprint(i)))
		is.NoErr(err)
	}
	covered := n.f.Applied()
	is.NoErr(n.w.WriteSnapshot(t.Context()))
	log.set(func() { log.first = covered })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = slow.Run(ctx) }()
	is.NoErr(slow.WaitFor(t.Context(), n.f.Applied()))
	is.Equal(hash(slow), hash(n.f))
}

// Guards against an invented outcome when the follower skips the record by loading a snapshot that covers it.
func TestRecordCoveredBySnapshotIsUnresolved(t *testing.T) {
	is := is.New(t)
	c := NewCommitter(nil, NewFollower(nil, FollowerOptions{}), Identity{"a", "a-1"}, CommitterOptions{})
	result := make(chan error, 1)
	go func() {
		_, err := c.Submit(t.Context(), renewOp())
		result <- err
	}()
	<-c.wake
	b, err := c.nextBatch(t.Context())
	is.NoErr(err)
	r, err := record.Decode(b.data)
	is.NoErr(err)
	c.onResult(statemachine.Result{Record: r, Duplicate: true})
	is.True(errors.Is(<-result, ErrUnresolved))
}

// Guards against contact that is reported before the end of the log has been read. A record that withdraws a key may be
// among those that were not read yet.
func TestContactNeedsEndOfLog(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	for range readLimit + 1 {
		_, err := log.Append(t.Context(), []byte("malformed"))
		is.NoErr(err)
	}
	f := NewFollower(log, FollowerOptions{})
	is.NoErr(f.advance(t.Context()))
	is.True(f.LastContact().IsZero())
	is.NoErr(f.advance(t.Context()))
	is.True(!f.LastContact().IsZero())
}

// Guards against a snapshot with chunks of two writers. The second writer begins a newer term before the first has
// ended its snapshot.
func TestStaleSnapshotTermAborts(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	a, b := startNode(t, log, "a"), startNode(t, log, "b")
	a.openSession(t)
	b.openSession(t)
	id := a.c.Identity()
	is.NoErr(a.w.submit(t.Context(), id, record.Op{SnapshotBegin: &record.SnapshotBegin{Term: 1, Chunks: 1}}))
	is.NoErr(b.f.WaitFor(t.Context(), a.f.Applied()))
	is.NoErr(b.w.WriteSnapshot(t.Context()))
	err := a.w.submit(t.Context(), id, record.Op{SnapshotChunk: &record.SnapshotChunk{Term: 1}})
	is.True(errors.Is(err, ErrStaleTerm))
}

// Guards against a delayed answer or a gap between reads that counts as unbroken contact. Session revocations and the
// acceptance of keyed work depend on contact.
func TestContact(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	is.Equal(effectiveReadTime(start, start.Add(time.Minute), time.Second), start.Add(time.Second))
	is.Equal(effectiveReadTime(start, start.Add(time.Millisecond), time.Second), start.Add(time.Millisecond))
	c := Contact{}
	is.Equal(c.UnbrokenFor(start), time.Duration(0))
	for i := range 10 {
		now := start.Add(time.Duration(i) * maxContactGap)
		c = c.update(now, now)
	}
	is.Equal(c.UnbrokenFor(c.Last), 9*maxContactGap)
	is.Equal(c.UnbrokenFor(c.Last.Add(maxContactGap+1)), time.Duration(0))
	// The effective time of a late answer lies within the gap, but it arrives after contact was reported as broken.
	late := c.Last.Add(maxContactGap + 1)
	c = c.update(c.Last.Add(maxContactGap), late)
	is.Equal(c.UnbrokenSince, late)
}

// Guards against a log without snapshots, a log filled by snapshots, and a due snapshot that no session may write.
func TestSnapshotPolicy(t *testing.T) {
	is := is.New(t)
	is.True(!SnapshotDue(0, maxTailRecords, 0))
	is.True(SnapshotDue(0, maxTailRecords+1, 0))
	is.True(SnapshotDue(5000, 9000, 6000))
	is.True(!SnapshotDue(5000, 5600, 5000))
	sessions := []string{"a", "b", "c"}
	first := 0
	for _, s := range sessions {
		if MayWriteSnapshot(s, sessions, 0) {
			first++
		}
		is.True(MayWriteSnapshot(s, sessions, 2*snapshotTakeoverDelay))
	}
	is.Equal(first, 1)
	is.True(!MayWriteSnapshot("unknown", sessions, time.Hour))
}

func hash(f *Follower) (sum [32]byte) {
	f.View(func(s *statemachine.State) { sum, _ = s.Hash() })
	return sum
}

func (l *fakeLog) corruptNewestChunk(t *testing.T) {
	is := is.New(t)
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.data) - 1; i >= 0; i-- {
		r, err := record.Decode(l.data[i])
		is.NoErr(err)
		if r.Ops[0].SnapshotChunk != nil {
			r.Ops[0].SnapshotChunk.Data[20] ^= 1
			l.data[i], err = record.Encode(r)
			is.NoErr(err)
			return
		}
	}
}

var _ platform.Log = (*fakeLog)(nil)
