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

// fakeLog is an in-memory log with faults.
type fakeLog struct {
	mu      sync.Mutex
	first   uint64
	data    [][]byte
	grown   chan struct{}
	outage  bool
	lose    int // the next appends take effect but give no answer
	double  int // the next appends are stored twice
	appends int
}

func newFakeLog() *fakeLog { return &fakeLog{grown: make(chan struct{})} }

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
	if l.double > 0 {
		l.double--
		l.data = append(l.data, data)
	}
	close(l.grown)
	l.grown = make(chan struct{})
	if l.lose > 0 {
		l.lose--
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
		grown := l.grown
		l.mu.Unlock()
		if err != nil || len(batch.Entries) > 0 || wait == 0 {
			return batch, err
		}
		select {
		case <-grown:
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

// node is a running follower and committer.
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

// open opens the node's session; it waits until the log can be reached.
func (n *node) open(t *testing.T) {
	is := is.New(t)
	outcomes, err := n.c.Submit(t.Context(), record.Op{SessionOpen: &record.SessionOpen{}})
	is.NoErr(err)
	is.True(outcomes[0].Accepted)
}

func renew() record.Op { return record.Op{SessionRenew: &record.SessionRenew{}} }

// report is an op whose effects can be counted: the instances that exist.
func report(id string) record.Op {
	return record.Op{InstancesReport: &record.InstancesReport{Instances: []record.Instance{{ID: id, Phase: record.PhaseLive}}}}
}

// effects counts the records with an outcome that folding the whole log gives to the writer.
func (l *fakeLog) effects(t *testing.T, incarnation string) (effective int, instances map[string]bool) {
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
