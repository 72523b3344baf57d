package overload

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxAge is the age from which on a state is not used. It is less than a change of leader takes.
	maxAge = 1200 * time.Millisecond
	// minRetry and maxRetry bound the time after which a refused job may return.
	minRetry = time.Second
	maxRetry = 10 * time.Second
	// minRetrySpread is the smallest range of these times. Retry-After has whole seconds, so a shorter range would give
	// all jobs the same value.
	minRetrySpread = 2 * time.Second
	// hashSteps is the resolution of the fractions of refused jobs.
	hashSteps = 10_000
	// maxEncodedBytes bounds the published form, which all entry instances read with each heartbeat.
	maxEncodedBytes = 8 << 10
)

// Refusal is the answer to a job that is refused because of overload.
type Refusal struct {
	// RetryAfter is the time after which the job may be submitted again.
	RetryAfter time.Duration
}

// Refuse returns the refusal of a job that a team submits to a queue, or nil if the job is taken. It depends on the
// job's ID and the state alone, so that all entry instances with the same state decide alike. A state that is too old
// refuses nothing.
func (s State) Refuse(queue, team, job string, age time.Duration) *Refusal {
	shedding, ok := s[queue]
	if !ok || age > maxAge {
		return nil
	}
	hash := xxhash.Sum64String(job)
	if float64(hash%hashSteps) >= shedding.Teams[team]*hashSteps {
		return nil
	}
	return &Refusal{RetryAfter: shedding.retryAfter(hash)}
}

// retryAfter returns a time between one and two times that which the pool takes for the work that waits. It differs
// from job to job, so that refused jobs do not return all at once, also where the bounds of the time apply.
func (s Shedding) retryAfter(hash uint64) time.Duration {
	wait := time.Duration(min(max(s.RetryMillis, minRetry.Milliseconds()), maxRetry.Milliseconds()/2)) * time.Millisecond
	jitter := float64(hash/hashSteps%hashSteps) / hashSteps
	return wait + time.Duration(jitter*float64(max(wait, minRetrySpread)))
}

// Gate decides on an entry instance which jobs are refused. Its methods are safe for concurrent use.
type Gate struct {
	// Published returns the state as the leader published it last, encoded, and its age.
	Published func() (json.RawMessage, time.Duration)

	mu      sync.Mutex
	encoded json.RawMessage
	state   State
}

// Refuse returns the refusal of a job, or nil if the job is taken. A state that cannot be decoded refuses nothing.
func (g *Gate) Refuse(queue, team, job string) *Refusal {
	encoded, age := g.Published()
	if len(encoded) == 0 {
		return nil
	}
	return g.decode(encoded).Refuse(queue, team, job, age)
}

// decode returns the state, which is decoded once for each change.
func (g *Gate) decode(encoded json.RawMessage) State {
	g.mu.Lock()
	defer g.mu.Unlock()
	if bytes.Equal(encoded, g.encoded) {
		return g.state
	}
	g.encoded, g.state = encoded, nil
	if err := json.Unmarshal(encoded, &g.state); err != nil {
		g.state = nil
	}
	return g.state
}

// Encode returns the published form of a state, or nil for the state that refuses nothing. Of a state that takes more
// than maxEncodedBytes it leaves out teams and queues, which then refuse nothing.
func (s State) Encode() (json.RawMessage, error) {
	for len(s) > 0 {
		encoded, err := json.Marshal(s)
		if err != nil {
			return nil, fmt.Errorf("overload: encode state: %w", err)
		}
		if len(encoded) <= maxEncodedBytes {
			return encoded, nil
		}
		s = s.reduced()
	}
	return nil, nil
}

// reduced returns the state with half of its teams, those that are most beyond their shares, or with half of its
// queues, those with the longest waits, if there are more queues than teams.
func (s State) reduced() State {
	teams := 0
	for _, shedding := range s {
		teams = max(teams, len(shedding.Teams))
	}
	if teams <= len(s) {
		return largestHalf(s, func(x Shedding) float64 { return float64(x.RetryMillis) })
	}
	reduced := make(State, len(s))
	for queue, shedding := range s {
		shedding.Teams = largestHalf(shedding.Teams, func(fraction float64) float64 { return fraction })
		reduced[queue] = shedding
	}
	return reduced
}

// largestHalf returns the half of the entries with the largest sizes. Names break ties, so that successive states
// agree.
func largestHalf[V any](entries map[string]V, size func(V) float64) map[string]V {
	names := slices.SortedFunc(maps.Keys(entries), func(a, b string) int {
		return cmp.Or(cmp.Compare(size(entries[b]), size(entries[a])), cmp.Compare(a, b))
	})
	half := make(map[string]V, len(names)/2)
	for _, name := range names[:len(names)/2] {
		half[name] = entries[name]
	}
	return half
}
