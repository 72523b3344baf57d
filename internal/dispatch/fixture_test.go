package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/follow"
	"pollenlead/internal/store"
	"pollenlead/internal/workload"
)

// idleStore is a store in which nothing happens.
type idleStore struct{}

func (idleStore) Append(context.Context, store.Append) (int64, error) { return 0, nil }
func (idleStore) Read(context.Context, string, int, int64, time.Duration) (store.Page, error) {
	return store.Page{}, nil
}
func (idleStore) ReadNewest(context.Context, string, int, string) (store.Newest, error) {
	return store.Newest{}, nil
}

// newFixture returns a dispatcher that is loaded, has workers of 32 cores that answer, and runs no goroutine.
func newFixture(workers int) *Dispatcher {
	d := New(Options{Store: idleStore{}, Follower: follow.New(idleStore{}, follow.Decoder{}, zerolog.Nop()), Log: zerolog.Nop()})
	d.begunAt, d.wall = bootclock.Now(), time.Now()
	d.lastStored, d.fencedAt = d.begunAt, d.begunAt
	d.loaded = true
	ctx, stop := context.WithCancel(context.Background())
	d.ctx, d.stop = ctx, stop
	for i := range workers {
		a := d.agent(fmt.Sprintf("w%d", i))
		a.entry = &fleet.WorkerEntry{ID: a.id, Pool: "pool", Address: "127.0.0.1:1", Capacity: fleet.Resources{CPUMilli: 32000, MemoryMB: 65536}, Rack: fmt.Sprintf("r%d", i/4)}
		a.contacted, a.running = true, true
		a.clock, a.clockAt = 1000, bootclock.Now()+time.Hour
	}
	return d
}

// addJob adds a job of one step to the fixture.
func (d *Dispatcher) addJob(id string, step fleet.Step) *job {
	w := workload.NewJob(id, "queue", "pool", "team", &fleet.JobSpec{Steps: []fleet.Step{step}}, d.now())
	w.Advance(d.now(), 0)
	j := &job{Job: w, visible: w.State}
	d.jobs[id] = j
	if d.active["pool"] == nil {
		d.active["pool"] = map[string]*job{}
	}
	d.active["pool"][id] = j
	d.mayWait(j)
	return j
}

// BenchmarkPlaceBacklog is one decision over a pool whose burst has left 300 jobs waiting, with little room on each worker.
func BenchmarkPlaceBacklog(b *testing.B) {
	d := newFixture(11)
	for i := range 400 {
		d.addJob(fmt.Sprintf("%016x", i), fleet.Step{Count: 6, Need: fleet.Resources{CPUMilli: int64(700 + i%20*150), MemoryMB: 2500}, Estimate: 600 * time.Millisecond})
	}
	d.place()
	for b.Loop() {
		d.dirty["pool"] = true
		d.place()
	}
}
