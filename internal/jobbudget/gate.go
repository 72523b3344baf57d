package jobbudget

import (
	"bytes"
	"encoding/json"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minRetry and retrySpread bound the time after which a refused job may return. Room comes back when jobs end, and
	// those refused at the same time return by and by.
	minRetry    = 2 * time.Second
	retrySpread = 8 * time.Second
	// jitterSteps is the resolution of the spread.
	jitterSteps = 1024
)

// Refusal is the answer to a job for which there is no room.
type Refusal struct {
	// RetryAfter is the time after which the job may be submitted again.
	RetryAfter time.Duration
}

// Gate decides on an entry instance which jobs are refused. Its methods are safe for concurrent use.
type Gate struct {
	// Published returns the Room that the leader published last, encoded, or nothing if none is known.
	Published func() json.RawMessage
	// Leaderless returns what may be accepted in each leaderlessPeriod while no leader publishes a Room.
	Leaderless func() Room
	// Fraction returns a team's share as a fraction of all shares.
	Fraction func(team string) float64
	// Now returns the time of a monotonic clock.
	Now func() time.Duration

	mu      sync.Mutex
	encoded json.RawMessage
	room    Room
	// current and last are what has been accepted in this period and in the one before.
	current, last accepted
	// publishedAt is when a new Room was found, leaderlessAt when the last period without a leader began, admittedAt when
	// the last job was admitted.
	publishedAt, leaderlessAt, admittedAt time.Duration
}

const (
	// leaderlessAfter is the time without a new Room after which no leader is taken to publish any: there is none, or one of an
	// earlier version. It is longer than a change of leader takes.
	leaderlessAfter  = 10 * time.Second
	leaderlessPeriod = time.Second
	// countedAfter is the age from which on a leader that publishes a Room has counted an accepted job.
	countedAfter = time.Second
)

// accepted counts bytes.
type accepted struct {
	common int64
	own    map[string]int64
}

// Admit counts a job of a team that takes some bytes. It returns its refusal if there is no room for it.
func (g *Gate) Admit(team, job string, size int64) *Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.update()
	if g.fits(team, size) {
		g.admittedAt = g.Now()
		return nil
	}
	jitter := float64(xxhash.Sum64String(job)%jitterSteps) / jitterSteps
	return &Refusal{RetryAfter: minRetry + time.Duration(jitter*float64(retrySpread))}
}

// fits reports whether there is room for a job, and takes it.
func (g *Gate) fits(team string, size int64) bool {
	switch {
	case g.allows(g.own(team), g.current.own[team]+g.last.own[team], size):
		g.current.own[team] += size
	case g.allows(g.room.Common, g.current.common+g.last.common, size):
		g.current.common += size
	default:
		return false
	}
	return true
}

// allows reports whether a job may be accepted of what is left, after others of it in this period and the last one. The
// first job may exceed the part of this entry instance: in a large deployment, a job of many steps always does.
func (g *Gate) allows(left, accepted, size int64) bool {
	return float64(accepted+size) <= g.room.Each*float64(left) || accepted == 0 && size <= left
}

// own returns what is left of a team's own part.
func (g *Gate) own(team string) int64 {
	if left, ok := g.room.Own[team]; ok {
		return left
	}
	return int64(g.Fraction(team) * float64(g.room.Parts))
}

// update reads the published room. A new period begins when the leader has counted the jobs again. While the leader
// changes none does, so that what is accepted meanwhile stays bounded.
func (g *Gate) update() {
	now := g.Now()
	if encoded := g.Published(); len(encoded) > 0 && !bytes.Equal(encoded, g.encoded) {
		g.encoded = encoded
		g.apply(encoded, now)
		return
	}
	if g.publishedAt > 0 && now-g.publishedAt < leaderlessAfter {
		return
	}
	if now-g.leaderlessAt >= leaderlessPeriod {
		g.leaderlessAt = now
		g.beginPeriod(g.Leaderless(), now)
	}
}

// apply applies a published room.
func (g *Gate) apply(encoded json.RawMessage, now time.Duration) {
	var next Room
	if json.Unmarshal(encoded, &next) != nil {
		return
	}
	g.publishedAt = now
	if next.Period != g.room.Period {
		g.beginPeriod(next, now)
	}
}

func (g *Gate) beginPeriod(r Room, now time.Duration) {
	g.room, g.last, g.current = r, g.current, accepted{own: map[string]int64{}}
	if now-g.admittedAt > countedAfter {
		g.last = accepted{}
	}
}
