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
	// minStepInterval is the minimum time between two steps. Without it, the driver would read the state for each of
	// several hundred records a second.
	minStepInterval = 500 * time.Millisecond
	// maxStepInterval is the maximum time between two steps: phases time out without a change of the state.
	maxStepInterval = 2 * time.Second
	// callTimeout bounds one reboot or probe call. A failed call is repeated in the next step.
	callTimeout = 5 * time.Second
	// submitTimeout bounds the wait for the outcome of a step's ops. Steps are idempotent, so the next one may repeat
	// them.
	submitTimeout = 10 * time.Second
	// maxCalls bounds the number of concurrent calls.
	maxCalls = 16
)

// Committer appends ops to the log.
type Committer interface {
	Submit(ctx context.Context, ops ...record.Op) ([]statemachine.Outcome, error)
}

// Replica is the local copy of the applied state. Changed returns a channel that is closed at the next change.
type Replica interface {
	View(read func(*statemachine.State))
	Changed() <-chan struct{}
}

// Lease is this process's session.
type Lease interface {
	Holder() string
	Valid() bool
}

// Rebooter restarts an instance. A repeated call with the same operation ID does not restart it again.
type Rebooter interface {
	Reboot(ctx context.Context, instance, operationID string) error
}

// Prober checks that an instance answers after its reboot.
type Prober interface {
	Probe(ctx context.Context, instance, address string) error
}

// Options are the dependencies of a driver.
type Options struct {
	Committer Committer
	Replica   Replica
	Lease     Lease
	Rebooter  Rebooter
	Prober    Prober
	Clock     func() time.Time
}

// Stats are the counters of a driver.
type Stats struct {
	Steps         uint64
	Ops           uint64
	RejectedOps   uint64
	FailedSubmits uint64
	FailedReboots uint64
	FailedProbes  uint64
	// InvalidTriggers counts decisions that the state machine rejected. A value other than 0 is a bug in this package.
	InvalidTriggers uint64
}

// Driver executes the waves for which this process's session is the preferred holder. The applied state holds
// everything that a successor needs except the start times of the phases. A successor restarts their timers, so after a
// takeover a phase may last longer than its limit, but never shorter.
type Driver struct {
	Options
	// phases is used only by Step.
	phases map[instanceKey]phaseStart

	mu    sync.Mutex // guards stats
	stats Stats
}

type instanceKey struct{ wave, instance string }

// phaseStart is a phase, the time at which this driver first saw it, and whether the instance had been away by then.
type phaseStart struct {
	phase     record.LeavePhase
	firstSeen time.Time
	away      bool
}

// NewDriver returns a driver.
func NewDriver(o Options) *Driver {
	return &Driver{Options: o, phases: map[instanceKey]phaseStart{}}
}

// Stats returns the counters.
func (d *Driver) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stats
}

func (d *Driver) updateStats(update func(*Stats)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	update(&d.stats)
}

// Run executes steps until ctx ends.
func (d *Driver) Run(ctx context.Context) error {
	for {
		// The channel is taken before the state is read, so that no change between the two is missed.
		changed := d.Replica.Changed()
		d.Step(ctx)
		if !wait(ctx, minStepInterval, nil) || !wait(ctx, maxStepInterval, changed) {
			return ctx.Err()
		}
	}
}

// wait blocks until the time has passed or changed is closed. It returns false if ctx ended.
func wait(ctx context.Context, length time.Duration, changed <-chan struct{}) bool {
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

// Step reads the state once and executes the actions that are due. Only one Step may run at a time.
func (d *Driver) Step(ctx context.Context) {
	d.updateStats(func(s *Stats) { s.Steps++ })
	if !d.Lease.Valid() {
		return
	}
	progress, snapshots, maintenance := d.readState()
	now := d.Clock()
	d.recordPhases(progress, now)
	ops := d.advance(ctx, progress, maintenance, now)
	for _, snapshot := range snapshots {
		for _, p := range NextInstances(snapshot, now) {
			ops = append(ops, record.Op{LeaveRequest: &record.LeaveRequest{Wave: snapshot.Wave, Instance: p.Instance}})
		}
	}
	// The calls may have taken long. If the session has ended since, its successor continues the waves.
	if len(ops) == 0 || !d.Lease.Valid() {
		return
	}
	d.submit(ctx, ops)
}

// readState copies the state of the waves that this session drives.
func (d *Driver) readState() (progress []InstanceProgress, snapshots []Snapshot, maintenance config.Maintenance) {
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
			progress = append(progress, progressOf(s, wave)...)
			if wave.State == statemachine.WaveRunning {
				snapshots = append(snapshots, TakeSnapshot(s, wave))
			}
		}
	})
	return progress, snapshots, maintenance
}

func progressOf(s *statemachine.State, wave *statemachine.Wave) []InstanceProgress {
	all := make([]InstanceProgress, 0, len(wave.Down))
	for _, id := range slices.Sorted(maps.Keys(wave.Down)) {
		down := wave.Down[id]
		progress := InstanceProgress{
			Wave: wave.ID, Instance: id, Phase: down.Phase, Away: down.Away,
			Aborting: wave.State == statemachine.WaveAborting, Busy: s.Busy(id),
		}
		if instance, ok := s.Instance(id); ok {
			progress.Live = instance.Facts.Phase == record.PhaseLive
			progress.Address = instance.Facts.Address
		}
		all = append(all, progress)
	}
	return all
}

// recordPhases records when each phase was first seen and removes instances that are no longer down.
func (d *Driver) recordPhases(progress []InstanceProgress, now time.Time) {
	seen := make(map[instanceKey]phaseStart, len(progress))
	for _, t := range progress {
		key := instanceKey{t.Wave, t.Instance}
		known, ok := d.phases[key]
		if !ok || known.phase != t.Phase {
			known = phaseStart{phase: t.Phase, firstSeen: now, away: t.Away}
		}
		seen[key] = known
	}
	d.phases = seen
}

// advance makes the calls that are due and returns the ops of the instances that enter a new phase.
func (d *Driver) advance(
	ctx context.Context, progress []InstanceProgress, m config.Maintenance, now time.Time,
) []record.Op {
	ops := make([]record.Op, len(progress))
	var calls errgroup.Group
	calls.SetLimit(maxCalls)
	for n, t := range progress {
		start := d.phases[instanceKey{t.Wave, t.Instance}]
		t.AwayBefore = start.away
		next, call := decide(t, m, now.Sub(start.firstSeen))
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
		d.updateStats(func(s *Stats) { s.InvalidTriggers++ })
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
func (d *Driver) call(ctx context.Context, t InstanceProgress, call action) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch call {
	case actionReboot:
		// The operation ID is the same for every driver and every repetition, so the platform restarts the instance
		// once.
		if err := d.Rebooter.Reboot(ctx, t.Instance, t.Wave+"/"+t.Instance); err != nil {
			d.updateStats(func(s *Stats) { s.FailedReboots++ })
			return false
		}
	case actionProbe:
		if err := d.Prober.Probe(ctx, t.Instance, t.Address); err != nil {
			d.updateStats(func(s *Stats) { s.FailedProbes++ })
			return false
		}
	}
	return true
}

// submit appends the ops. An op is rejected if another change came first; the next step reads the state after that
// change.
func (d *Driver) submit(ctx context.Context, ops []record.Op) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	outcomes, err := d.Committer.Submit(ctx, ops...)
	d.updateStats(func(s *Stats) {
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
