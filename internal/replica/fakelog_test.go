package replica

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/platform"
	"pollenlead/internal/record"
	"pollenlead/internal/statemachine"
)

// fakeLog is an in-memory log with injectable faults.
type fakeLog struct {
	mu          sync.Mutex
	first       uint64
	data        [][]byte
	appended    chan struct{}
	outage      bool
	loseAnswers int // the number of next appends that take effect but return no answer
	storeTwice  int // the number of next appends that are stored twice
	appends     int
}

func newFakeLog() *fakeLog { return &fakeLog{appended: make(chan struct{})} }

func (l *fakeLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func (l *fakeLog) Append(ctx context.Context, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	if l.outage {
		return 0, fmt.Errorf("outage: %w", platform.ErrNoEffect)
	}
	offset := uint64(len(l.data))
	l.data = append(l.data, data)
	if l.storeTwice > 0 {
		l.storeTwice--
		l.data = append(l.data, data)
	}
	close(l.appended)
	l.appended = make(chan struct{})
	if l.loseAnswers > 0 {
		l.loseAnswers--
		return 0, fmt.Errorf("lost: %w", platform.ErrOutcomeUnknown)
	}
	return offset, ctx.Err()
}

func (l *fakeLog) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (platform.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		batch, err := l.batch(from, limit)
		appended := l.appended
		l.mu.Unlock()
		if err != nil || len(batch.Entries) > 0 || wait == 0 {
			return batch, err
		}
		select {
		case <-appended:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return batch, ctx.Err()
		}
	}
}

func (l *fakeLog) batch(from uint64, limit int) (platform.Batch, error) {
	if l.outage {
		return platform.Batch{}, fmt.Errorf("outage: %w", platform.ErrNoEffect)
	}
	if from < l.first {
		return platform.Batch{}, &platform.TrimmedError{First: l.first}
	}
	b := platform.Batch{First: l.first, Next: uint64(len(l.data))}
	for at := from; at < b.Next && len(b.Entries) < limit; at++ {
		b.Entries = append(b.Entries, platform.Entry{Offset: at, Data: l.data[at]})
	}
	return b, nil
}

// node is a running follower and committer with a snapshot writer.
type node struct {
	f *Follower
	c *Committer
	w *SnapshotWriter
}

func startNode(t *testing.T, log platform.Log, name string, peers ...platform.Log) *node {
	ctx, cancel := context.WithCancel(context.Background())
	f := NewFollower(log, FollowerOptions{})
	c := NewCommitter(log, f, Identity{Writer: name, Incarnation: name + "-1"}, CommitterOptions{})
	for _, peer := range peers {
		f.AddSource(peer)
		c.AddRelay(peer)
	}
	var running sync.WaitGroup
	running.Go(func() { _ = f.Run(ctx) })
	running.Go(func() { _ = c.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return &node{f: f, c: c, w: NewSnapshotWriter(f, c, nil)}
}

// openSession opens the session of the node. It blocks until the log can be reached.
func (n *node) openSession(t *testing.T) {
	is := is.New(t)
	outcomes, err := n.c.Submit(t.Context(), record.Op{SessionOpen: &record.SessionOpen{}})
	is.NoErr(err)
	is.True(outcomes[0].Accepted)
}

func renewOp() record.Op { return record.Op{SessionRenew: &record.SessionRenew{}} }

// reportOp returns an op that creates the instance id, so that the effects of ops can be counted.
func reportOp(id string) record.Op {
	return record.Op{InstancesReport: &record.InstancesReport{
		Instances: []record.Instance{{ID: id, Phase: record.PhaseLive}},
	}}
}

// countEffects applies the whole log to a new state. It returns the number of records of the incarnation that are no
// duplicates, and the IDs of the instances that exist at the end.
func (l *fakeLog) countEffects(t *testing.T, incarnation string) (effective int, instances map[string]bool) {
	is := is.New(t)
	l.mu.Lock()
	defer l.mu.Unlock()
	state := statemachine.New()
	instances = map[string]bool{}
	for offset, data := range l.data {
		result, err := state.Apply(uint64(offset), data)
		is.NoErr(err)
		if result.Record.Incarnation == incarnation && !result.Duplicate {
			effective++
		}
	}
	for _, instance := range state.Instances() {
		instances[instance.Facts.ID] = true
	}
	return effective, instances
}
