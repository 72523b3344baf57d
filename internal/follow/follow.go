// Package follow tracks the newest configuration, the maintenance waves and the evacuations of availability zones that
// operators have requested, and how up to date they are.
package follow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/store"
)

// readWait is the maximum time for which a read waits for a change. A response without a change also proves that the
// configuration is current, so the wait is well below the time after which a withdrawn key must not be accepted.
const readWait = 400 * time.Millisecond

// Decoder decodes the operator's records. The platform adapter provides it.
type Decoder struct {
	Topic     string
	ConfigKey string
	Config    func(value []byte) (*fleet.Config, error)
	IsWave    func(key string) bool
	Wave      func(value []byte) (*fleet.WaveRequest, error)
	// Evacuation returns the availability zone of a key that requests an evacuation, and reports whether the key is one.
	// A record without a value takes the request back. Nil stands for no such keys.
	Evacuation func(key string) (zone string, ok bool)
}

// Wave is a wave request with the time at which it was first read.
type Wave struct {
	fleet.WaveRequest
	SeenAt time.Duration // boot clock
}

// Follower reads the operator's records as they are appended. Its methods are safe for concurrent use.
type Follower struct {
	decoder Decoder
	log     zerolog.Logger
	store   store.Store

	mu      sync.Mutex // guards the following fields
	config  *fleet.Config
	waves   map[string]Wave
	freshAt time.Duration // boot clock at which config was current; 0 before the first contact
	changed chan struct{} // closed and replaced when config, waves or evacuations change
	// evacuations holds the requests with the offsets of their records.
	evacuations evacuations
	// evacuated holds the zones with a request. The map is replaced and never modified, so that readers need no lock.
	evacuated atomic.Pointer[map[string]bool]
}

// New returns a Follower; Run starts it.
func New(s store.Store, d Decoder, log zerolog.Logger) *Follower {
	f := &Follower{
		store: s, decoder: d, log: log, waves: map[string]Wave{}, changed: make(chan struct{}), evacuations: evacuations{},
	}
	f.evacuated.Store(&map[string]bool{})
	return f
}

// Run reads the records until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	tail := &store.Tail{
		Store: f.store, Topic: f.decoder.Topic, Wait: readWait, Apply: f.apply, Contact: f.contact,
		Synced: f.syncEvacuations, Log: f.log,
	}
	tail.Run(ctx)
}

// Config returns the newest configuration, or nil before the first one is read.
func (f *Follower) Config() *fleet.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

// Changed returns a channel that is closed when the configuration, the waves or the evacuations change.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Waves returns the requested waves.
func (f *Follower) Waves() []Wave {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]Wave, 0, len(f.waves))
	for _, w := range f.waves {
		list = append(list, w)
	}
	return list
}

// Age returns the time for which the configuration may have been out of date, and whether there has been any contact
// with the store.
func (f *Follower) Age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return bootclock.Now() - f.freshAt, f.freshAt > 0
}

func (f *Follower) contact(at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freshAt = max(f.freshAt, at)
}

func (f *Follower) apply(r store.Record) {
	zone, evacuation := f.evacuatedZone(r.Key)
	switch {
	case evacuation:
		f.applyEvacuation(zone, r)
	case len(r.Value) == 0:
	case r.Key == f.decoder.ConfigKey:
		f.applyConfig(r)
	case f.decoder.IsWave(r.Key):
		f.applyWave(r)
	}
}

func (f *Follower) applyConfig(r store.Record) {
	c, err := f.decoder.Config(r.Value)
	if err != nil {
		f.log.Warn().Err(err).Str("event", "bad_config").Int64("offset", r.Offset).
			Msg("configuration record cannot be decoded")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.config != nil && c.Version <= f.config.Version {
		return // a stale read of the store may return an older version
	}
	f.config = c
	f.notify()
	f.log.Info().Str("event", "config").Int64("version", c.Version).Int("queues", len(c.Queues)).
		Int("teams", len(c.Teams)).Msg("configuration applied")
}

func (f *Follower) applyWave(r store.Record) {
	w, err := f.decoder.Wave(r.Value)
	if err != nil {
		f.log.Warn().Err(err).Str("event", "bad_wave").Int64("offset", r.Offset).
			Msg("wave record cannot be decoded")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.waves[r.Key]; known {
		return
	}
	f.waves[r.Key] = Wave{WaveRequest: *w, SeenAt: bootclock.Now()}
	f.notify()
	f.log.Info().Str("event", "wave").Int64("wave", w.Number).Int("instances", len(w.Instances)).
		Dur("finish_by", w.FinishBy).Int("max_down", w.MaxDown).Msg("wave requested")
}

// notify wakes the goroutines that wait on Changed. The caller holds mu.
func (f *Follower) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}
