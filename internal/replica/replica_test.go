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

// Guards against a lost answer that makes the committer repeat an op, skip it, or report a guess.
func TestLostAnswerAtEveryAppend(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	log.lose = 1000
	n := startNode(t, log, "a")
	n.open(t)
	for i := range 5 {
		outcomes, err := n.c.Submit(t.Context(), report(fmt.Sprint(i)), renew())
		is.NoErr(err)
		is.Equal(len(outcomes), 2)
		is.Equal(outcomes[0].Kind, record.KindInstancesReport)
		is.True(outcomes[0].Accepted && outcomes[1].Accepted)
	}
	effective, instances := log.effects(t, "a-1")
	is.Equal(effective, 6)
	is.Equal(len(instances), 5)
}

// Guards against a record stored twice by the log that takes effect twice.
func TestDuplicateAppends(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	log.double = 1000
	n := startNode(t, log, "a")
	n.open(t)
	for range 3 {
		_, err := n.c.Submit(t.Context(), renew())
		is.NoErr(err)
	}
	effective, _ := log.effects(t, "a-1")
	is.Equal(effective, 4)
	is.Equal(len(log.data), 8)
}

// Guards against an op that takes effect after its caller was told that it was not sent.
func TestWithdrawnOpNeverTakesEffect(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	n := startNode(t, log, "a")
	n.open(t)
	log.set(func() { log.outage = true })
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	results := make([]error, 20)
	for i := range results {
		callers.Go(func() { _, results[i] = n.c.Submit(ctx, report(fmt.Sprint(i))) })
	}
	for n.c.Stats().FailedAppends == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	callers.Wait()
	log.set(func() { log.outage = false })
	_, err := n.c.Submit(t.Context(), renew())
	is.NoErr(err)
	_, instances := log.effects(t, "a-1")
	for i, err := range results {
		is.True(errors.Is(err, ErrNotSent) || errors.Is(err, ErrUnresolved))
		is.True(!errors.Is(err, ErrNotSent) || !instances[fmt.Sprint(i)])
	}
}

// heldLog refuses appends, each only when the test lets it end.
type heldLog struct {
	*fakeLog
	held    atomic.Bool
	began   chan struct{}
	release chan struct{}
}

func (l *heldLog) Append(ctx context.Context, data []byte) (uint64, error) {
	if !l.held.Load() {
		return l.fakeLog.Append(ctx, data)
	}
	l.began <- struct{}{}
	<-l.release
	return 0, platform.ErrNoEffect
}

// Guards against an unknown outcome for a caller who gives up while an append is on its way that is then refused.
func TestWithdrawnDuringARefusedAppendIsNotSent(t *testing.T) {
	is := is.New(t)
	log := &heldLog{fakeLog: newFakeLog(), began: make(chan struct{}), release: make(chan struct{})}
	n := startNode(t, log, "a")
	n.open(t)
	log.held.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() {
		_, err := n.c.Submit(ctx, report("x"))
		result <- err
	}()
	<-log.began
	cancel()
	log.held.Store(false)
	// The caller must have been seen to give up before the append ends.
	for withdrawn := false; !withdrawn; time.Sleep(time.Millisecond) {
		n.c.mu.Lock()
		withdrawn = n.c.inflight.members[0].withdrawn != nil
		n.c.mu.Unlock()
	}
	log.release <- struct{}{}
	is.True(errors.Is(<-result, ErrNotSent))
}

// Guards against a full queue that grows or blocks, and against ops of a replaced identity that are sent under the new one.
func TestFullQueueAndReset(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	log.outage = true
	f := NewFollower(log, FollowerOptions{})
	c := NewCommitter(log, f, Identity{"a", "a-1"}, CommitterOptions{QueueOps: 2})
	waiting := make(chan error, 1)
	go func() {
		_, err := c.Submit(t.Context(), renew(), renew())
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
	_, err := c.Submit(t.Context(), renew())
	is.True(errors.Is(err, ErrNotSent)) // full
	b, err := c.nextBatch(t.Context())
	is.NoErr(err)
	c.Reset(Identity{"a", "a-2"})
	is.True(errors.Is(<-waiting, ErrUnresolved)) // it was in a record
	is.True(b.ctx.Err() != nil)
	_, err = c.SubmitAs(t.Context(), Identity{"a", "a-1"}, renew())
	is.True(errors.Is(err, ErrNotSent))
}

// Guards against records that exceed the bounds of a record or mix up the outcomes of different callers.
func TestGroupCommitBounds(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	n := startNode(t, log, "a")
	n.open(t)
	_, err := n.c.Submit(t.Context(), make([]record.Op, maxBatchOps+1)...)
	is.True(errors.Is(err, ErrNotSent))
	var callers sync.WaitGroup
	for i := range 600 {
		callers.Go(func() {
			ops := []record.Op{renew()}
			if i%2 == 0 {
				ops = []record.Op{{JobForget: &record.JobForget{}}, renew()}
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

// Guards against a follower or committer that gives up during an outage.
func TestOutageThenRecovery(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	log.outage = true
	n := startNode(t, log, "a")
	done := make(chan struct{})
	go func() { defer close(done); n.open(t) }()
	for n.c.Stats().FailedAppends < 4 || n.f.Stats().FailedReads < 4 {
		time.Sleep(time.Millisecond)
	}
	is.True(n.f.LastContact().IsZero())
	log.set(func() { log.outage = false })
	<-done
}

// Guards against a node that is cut off from the log alone and does not use its peers.
func TestPeersRelayReadsAndAppends(t *testing.T) {
	is := is.New(t)
	peer, cut := newFakeLog(), newFakeLog()
	cut.outage = true
	n := startNode(t, cut, "a", peer)
	n.open(t)
	is.True(n.f.Stats().PeerReads > 0)
	// The submitter learns its outcome when the record is folded. The committer counts the relayed append when that call
	// returns, and the follower marks contact when the batch is folded whole, so both may come a moment later.
	for n.c.Stats().Relayed == 0 || n.f.LastContact().IsZero() {
		time.Sleep(time.Millisecond)
	}
}

// Guards against an old binary that guesses the meaning of newer records, and callers that wait for it for ever.
func TestNewerSchemaStops(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	n := startNode(t, log, "a")
	n.open(t)
	_, err := log.Append(t.Context(), []byte(`{"schema":99}`))
	is.NoErr(err)
	for n.f.Err() == nil {
		<-n.f.Changed()
	}
	is.True(errors.Is(n.f.Err(), statemachine.ErrNewerSchema))
	is.True(n.f.WaitFor(t.Context(), 1000) != nil)
	_, err = n.c.Submit(t.Context(), renew())
	is.True(errors.Is(err, ErrNotSent) || errors.Is(err, ErrUnresolved))
}

// Guards against a start from a trimmed log that misses state, and against trust in a damaged snapshot.
func TestSnapshots(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	n := startNode(t, log, "a")
	n.open(t)
	_, err := n.c.Submit(t.Context(), report("early"))
	is.NoErr(err)
	is.NoErr(n.w.WriteSnapshot(t.Context()))
	whole := uint64(0)
	n.f.View(func(s *statemachine.State) { p, _ := s.CompleteSnapshot(); whole = p.Offset })
	log.set(func() { log.first = whole })
	_, err = n.c.Submit(t.Context(), report("late"))
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

// Guards against a running follower that stops or skips records when the log trims what it has not read.
func TestTrimmedWhileRunning(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	n := startNode(t, log, "a")
	n.open(t)
	slow := NewFollower(log, FollowerOptions{})
	is.NoErr(slow.advance(t.Context()))
	for i := range 3 {
		_, err := n.c.Submit(t.Context(), report(fmt.Sprint(i)))
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

// Guards against an outcome that is guessed when the follower jumps over the record by a snapshot.
func TestRecordCoveredBySnapshotIsUnresolved(t *testing.T) {
	is := is.New(t)
	c := NewCommitter(nil, NewFollower(nil, FollowerOptions{}), Identity{"a", "a-1"}, CommitterOptions{})
	result := make(chan error, 1)
	go func() {
		_, err := c.Submit(t.Context(), renew())
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

// Guards against contact that is claimed before the end of the log was read: a withdrawn key may lie in between.
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

// Guards against a snapshot that mixes the chunks of two writers.
func TestStaleSnapshotTermAborts(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	a, b := startNode(t, log, "a"), startNode(t, log, "b")
	a.open(t)
	b.open(t)
	id := a.c.Identity()
	is.NoErr(a.w.submit(t.Context(), id, record.Op{SnapshotBegin: &record.SnapshotBegin{Term: 1, Chunks: 1}}))
	is.NoErr(b.f.WaitFor(t.Context(), a.f.Applied()))
	is.NoErr(b.w.WriteSnapshot(t.Context()))
	err := a.w.submit(t.Context(), id, record.Op{SnapshotChunk: &record.SnapshotChunk{Term: 1}})
	is.True(errors.Is(err, ErrStaleTerm))
}

// Guards against a delayed answer or a gap that counts as contact, on which revocations and keyed work depend.
func TestContact(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	is.Equal(answeredAt(start, start.Add(time.Minute), time.Second), start.Add(time.Second))
	is.Equal(answeredAt(start, start.Add(time.Millisecond), time.Second), start.Add(time.Millisecond))
	c := Contact{}
	is.Equal(c.UnbrokenFor(start), time.Duration(0))
	for i := range 10 {
		now := start.Add(time.Duration(i) * unbrokenGap)
		c = c.mark(now, now)
	}
	is.Equal(c.UnbrokenFor(c.Last), 9*unbrokenGap)
	is.Equal(c.UnbrokenFor(c.Last.Add(unbrokenGap+1)), time.Duration(0))
	// A late answer that counts for a time within the gap arrives after the contact was reported as broken.
	late := c.Last.Add(unbrokenGap + 1)
	c = c.mark(c.Last.Add(unbrokenGap), late)
	is.Equal(c.UnbrokenSince, late)
}

// Guards against a log without snapshots, one full of them, and a writer's role that no session takes.
func TestSnapshotPolicy(t *testing.T) {
	is := is.New(t)
	is.True(!SnapshotDue(0, snapshotEvery, 0))
	is.True(SnapshotDue(0, snapshotEvery+1, 0))
	is.True(SnapshotDue(5000, 9000, 6000))
	is.True(!SnapshotDue(5000, 5600, 5000))
	sessions := []string{"a", "b", "c"}
	first := 0
	for _, s := range sessions {
		if SnapshotTurn(s, sessions, 0) {
			first++
		}
		is.True(SnapshotTurn(s, sessions, 2*snapshotTakeover))
	}
	is.Equal(first, 1)
	is.True(!SnapshotTurn("unknown", sessions, time.Hour))
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
