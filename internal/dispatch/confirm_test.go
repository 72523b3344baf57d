package dispatch

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/scheduling"
	"pollenlead/internal/store"
)

// producerStore accepts appends as the store does: none of an earlier epoch. during is called while an append is under
// way.
type producerStore struct {
	emptyStore
	epoch   int64
	appends []store.Append
	during  func()
}

func (s *producerStore) Append(_ context.Context, a store.Append) (int64, error) {
	if s.during != nil {
		s.during()
	}
	if a.Producer == nil || a.Producer.Epoch < s.epoch {
		return 0, store.ErrFenced
	}
	s.epoch = a.Producer.Epoch
	s.appends = append(s.appends, a)
	return 0, nil
}

// newWave returns a driver and a wave of one drained instance that was switched off.
func newWave(d *Dispatcher) (*instanceDriver, *wave) {
	w := newInstanceDriver(d)
	w.listed = map[string]fleet.Instance{"m0": {ID: "m0", Phase: fleet.InstanceUp}}
	return w, &wave{
		request:   fleet.WaveRequest{Number: 1},
		instances: map[string]*waveInstance{"m0": {phase: scheduling.MaintenanceDraining}},
	}
}

// TestOrderAfterSlowAppendNeedsATerm guards against two leaders that take instances of one wave down at once: a former
// leader whose append of the wave's progress ended with an outage of the store sent the order that followed it.
func TestOrderAfterSlowAppendNeedsATerm(t *testing.T) {
	is := is.New(t)
	d := newFixture(0)
	defer d.stop()
	service, slow := &slowInstances{}, &producerStore{}
	d.Instances, d.Store = service, slow
	confirmed := bootclock.Now()
	d.LastConfirmed = func() time.Duration { return confirmed }
	slow.during = func() { confirmed -= 2 * time.Second } // the outage
	w, x := newWave(d)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drain(t.Context(), x)
	is.Equal(len(slow.appends), 1)
	is.Equal(service.orders.Load(), int32(0))
	is.Equal(x.instances["m0"].phase, scheduling.MaintenanceDraining) // the planned order is given up
	slow.during = nil
	confirmed = bootclock.Now()
	w.drain(t.Context(), x)
	is.Equal(service.orders.Load(), int32(1))
}

// TestFormerLeaderStoresNoWaves guards against progress of a wave that a former leader stores over that of its
// successor: the next leader would not know of the instances that the successor has taken down.
func TestFormerLeaderStoresNoWaves(t *testing.T) {
	is := is.New(t)
	shared := &producerStore{}
	former, successor := newFixture(0), newFixture(0)
	former.Store, former.Token, successor.Store, successor.Token = shared, 3, shared, 8
	defer former.stop()
	defer successor.stop()
	stored := func(d *Dispatcher) bool {
		w, x := newWave(d)
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.store(t.Context(), x)
	}
	is.True(stored(former))
	is.True(stored(successor))
	is.True(!stored(former))
	is.True(former.ctx.Err() != nil) // its term is over
	is.True(successor.ctx.Err() == nil)
}

// TestHeldOrdersAreLoggedOnce guards against a line in the log for each step without a confirmed term.
func TestHeldOrdersAreLoggedOnce(t *testing.T) {
	is := is.New(t)
	d := newFixture(0)
	defer d.stop()
	var log strings.Builder
	d.Log = zerolog.New(&log)
	confirmed := bootclock.Now()
	d.LastConfirmed = func() time.Duration { return confirmed }
	w := newInstanceDriver(d)
	for _, age := range []time.Duration{0, 2 * time.Second, 3 * time.Second, 0, 0} {
		confirmed = bootclock.Now() - age
		is.Equal(w.mayOrderNow(), age == 0)
	}
	is.Equal(strings.Count(log.String(), "orders_held"), 1)
	is.Equal(strings.Count(log.String(), "orders_resumed"), 1)
}
