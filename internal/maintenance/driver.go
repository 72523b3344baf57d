package maintenance

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"pollenlead/internal/allot"
	"pollenlead/internal/config"
	"pollenlead/internal/record"
	"pollenlead/internal/statemachine"
)

const (
	// stepPause bounds the driver to two steps a second: at several hundred records a second it would otherwise read the
	// state for each of them.
	stepPause = 500 * time.Millisecond
	// stepInterval is the longest time between two steps, since timers run out without a change of the state.
	stepInterval = 2 * time.Second
	// callTimeout bounds one reboot or probe call. The next step repeats it.
	callTimeout = 5 * time.Second
	// submitTimeout bounds the wait for the outcome of a step. Steps are idempotent, so the next one may repeat it.
	submitTimeout = 10 * time.Second
	// maxCalls bounds the calls that are open at the same time.
	maxCalls = 16
)

// Committer appends ops to the log.
type Committer interface {
	Submit(ctx context.Context, ops ...record.Op) ([]statemachine.Outcome, error)
}

// Replica is the local copy of the folded state. Changed returns a channel that is closed at the next change.
type Replica interface {
	View(read func(*statemachine.State))
	Changed() <-chan struct{}
}

// Lease is this process's session.
type Lease interface {
	Holder() string
	Valid() bool
}

// Rebooter restarts an instance. Repeating it with the same operation ID restarts nothing again.
type Rebooter interface {
	Reboot(ctx context.Context, instance, operationID string) error
}

// Prober asks an instance that is back whether it answers.
type Prober interface {
	Probe(ctx context.Context, instance, address string) error
}

// Options are the parts that a driver needs.
type Options struct {
	Committer Committer
	Replica   Replica
	Lease     Lease
	Rebooter  Rebooter
	Prober    Prober
	Clock     func() time.Time
}

// Stats counts what a driver did.
type Stats struct {
	Steps         uint64
	Ops           uint64
	RejectedOps   uint64
	FailedSubmits uint64
	FailedReboots uint64
	FailedProbes  uint64
	// InvalidTriggers counts decisions that the state machine refused. It is a fault of this package if it is not 0.
	InvalidTriggers uint64
}

// Driver carries out the waves for which this process's session is preferred. All that a successor needs is in the folded
// state, apart from the times at which the phases began: a successor lets them begin anew, so a phase may last longer than
// its limit, but never shorter.
type Driver struct {
	Options
	// phases is only used by Step.
	phases map[turnKey]phaseSeen

	mu    sync.Mutex // guards stats
	stats Stats
}

type turnKey struct{ wave, instance string }

// phaseSeen is when this driver first saw a phase.
type phaseSeen struct {
	phase record.LeavePhase
	at    time.Time
}

// NewDriver returns a driver.
func NewDriver(o Options) *Driver {
	return &Driver{Options: o, phases: map[turnKey]phaseSeen{}}
}

// Stats returns the counters.
func (d *Driver) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stats
}

func (d *Driver) count(update func(*Stats)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	update(&d.stats)
}

// Run drives waves until ctx ends.
func (d *Driver) Run(ctx context.Context) error {
	for {
		// The channel is taken before the state is read, so that no change between the two is missed.
		changed := d.Replica.Changed()
		d.Step(ctx)
		if !pause(ctx, stepPause, nil) || !pause(ctx, stepInterval, changed) {
			return ctx.Err()
		}
	}
}

// pause waits for the time or the change, and returns false if ctx ended.
func pause(ctx context.Context, length time.Duration, changed <-chan struct{}) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// Step reads the state once and carries out what is due. Only one Step may run at a time.
func (d *Driver) Step(ctx context.Context) {
	d.count(func(s *Stats) { s.Steps++ })
	if !d.Lease.Valid() {
		return
	}
	turns, snapshots, maintenance := d.read()
	now := d.Clock()
	d.observe(turns, now)
	ops := d.advance(ctx, turns, maintenance, now)
	for _, snapshot := range snapshots {
		for _, p := range NextInstances(snapshot, now) {
			ops = append(ops, record.Op{LeaveRequest: &record.LeaveRequest{Wave: snapshot.Wave, Instance: p.Instance}})
		}
	}
	// The calls may have taken long. A session that ended meanwhile leaves the waves to its successor.
	if len(ops) == 0 || !d.Lease.Valid() {
		return
	}
	d.submit(ctx, ops)
}

// read copies what concerns the waves that this session drives.
func (d *Driver) read() (turns []Turn, snapshots []Snapshot, maintenance config.Maintenance) {
	own := d.Lease.Holder()
	d.Replica.View(func(s *statemachine.State) {
		waves := s.Waves()
		if len(waves) == 0 {
			return
		}
		maintenance = s.Config().Document.Maintenance
		var holders []string
		for _, session := range s.Sessions() {
			holders = append(holders, session.Holder)
		}
		for _, wave := range waves {
			if allot.Preferred("wave/"+wave.ID, holders) != own {
				continue
			}
			turns = append(turns, turnsOf(s, wave)...)
			if wave.State == statemachine.WaveRunning {
				snapshots = append(snapshots, Take(s, wave))
			}
		}
	})
	return turns, snapshots, maintenance
}

func turnsOf(s *statemachine.State, wave *statemachine.Wave) []Turn {
	turns := make([]Turn, 0, len(wave.Down))
	for _, id := range slices.Sorted(maps.Keys(wave.Down)) {
		down := wave.Down[id]
		turn := Turn{
			Wave: wave.ID, Instance: id, Phase: down.Phase, Away: down.Away,
			Aborting: wave.State == statemachine.WaveAborting, Busy: s.Busy(id),
		}
		if instance, ok := s.Instance(id); ok {
			turn.Live = instance.Facts.Phase == record.PhaseLive
			turn.Address = instance.Facts.Address
		}
		turns = append(turns, turn)
	}
	return turns
}

// observe notes when each phase was first seen and forgets the turns that ended.
func (d *Driver) observe(turns []Turn, now time.Time) {
	seen := make(map[turnKey]phaseSeen, len(turns))
	for _, t := range turns {
		key := turnKey{t.Wave, t.Instance}
		known, ok := d.phases[key]
		if !ok || known.phase != t.Phase {
			known = phaseSeen{phase: t.Phase, at: now}
		}
		seen[key] = known
	}
	d.phases = seen
}

// advance makes the calls that are due and returns the ops of the turns that have come further.
func (d *Driver) advance(ctx context.Context, turns []Turn, m config.Maintenance, now time.Time) []record.Op {
	ops := make([]record.Op, len(turns))
	var calls errgroup.Group
	calls.SetLimit(maxCalls)
	for n, t := range turns {
		next, call := decide(t, m, now.Sub(d.phases[turnKey{t.Wave, t.Instance}].at))
		if next == "" {
			continue
		}
		calls.Go(func() error {
			if !d.call(ctx, t, call) {
				return nil
			}
			op, err := opFor(t, next)
			if err == nil {
				ops[n] = op
			}
			return err
		})
	}
	if err := calls.Wait(); err != nil {
		d.count(func(s *Stats) { s.InvalidTriggers++ })
	}
	var due []record.Op
	for _, op := range ops {
		if op.Kind() != "" {
			due = append(due, op)
		}
	}
	return due
}

// call makes one call and reports whether it succeeded.
func (d *Driver) call(ctx context.Context, t Turn, call action) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch call {
	case actionReboot:
		// The ID is the same for every driver and every repetition, so the platform restarts the instance once.
		if err := d.Rebooter.Reboot(ctx, t.Instance, t.Wave+"/"+t.Instance); err != nil {
			d.count(func(s *Stats) { s.FailedReboots++ })
			return false
		}
	case actionProbe:
		if err := d.Prober.Probe(ctx, t.Instance, t.Address); err != nil {
			d.count(func(s *Stats) { s.FailedProbes++ })
			return false
		}
	}
	return true
}

// submit appends the ops. A rejected one was overtaken by another change, and the next step sees the state after it.
func (d *Driver) submit(ctx context.Context, ops []record.Op) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	outcomes, err := d.Committer.Submit(ctx, ops...)
	d.count(func(s *Stats) {
		s.Ops += uint64(len(ops))
		if err != nil {
			s.FailedSubmits++
		}
		for _, o := range outcomes {
			if !o.Accepted {
				s.RejectedOps++
			}
		}
	})
}
