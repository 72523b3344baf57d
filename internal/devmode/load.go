package devmode

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The proportions of the load.
const (
	urgentShare        = 0.05
	nonIdempotentShare = 0.10
	// keyedShare is the share of non-idempotent requests that carry an idempotency key. Each of these costs an append
	// to the log.
	keyedShare = 0.10
	// repeatShare is the share of requests with an idempotency key that are sent twice at the same time, to entry
	// instances chosen independently.
	repeatShare = 0.5
	minWorkMS   = 20
	maxWorkMS   = 120
	// maxOutstanding is the maximum number of concurrent requests. It limits the memory of this process.
	maxOutstanding = 8000
)

// loadTeam holds the properties of a team that its callers use.
type loadTeam struct {
	name string
	key  string
	// weight is the team's relative share of the requests.
	weight    int
	mayUrgent bool
}

// load generates the synchronous requests of all callers.
type load struct {
	services []string
	teams    []loadTeam
	// meanPerSecond is the arrival rate of each service before the multiplication by loadFactor.
	meanPerSecond float64
	entries       func() []string
	client        *http.Client
	tally         *tally
	seed          uint64
	prefix        string
	workFactor    int

	outstanding sync.WaitGroup
	slots       chan struct{}
}

// run sends requests until ctx ends, then waits until all requests have ended.
func (l *load) run(ctx context.Context) {
	l.slots = make(chan struct{}, maxOutstanding)
	var services sync.WaitGroup
	for n, service := range l.services {
		services.Go(func() { l.runService(ctx, n, service) })
	}
	services.Wait()
	l.outstanding.Wait()
}

// runService sends the requests of one service. The gaps between requests are exponentially distributed, with the rate
// that loadFactor gives at the time.
func (l *load) runService(ctx context.Context, n int, service string) {
	rng := rand.New(rand.NewPCG(l.seed, uint64(n)))
	start := time.Now()
	next := start
	for sequence := 0; ; sequence++ {
		rate := l.meanPerSecond * loadFactor(time.Since(start), n)
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		for _, c := range l.newRequests(rng, service, sequence) {
			l.send(c)
		}
	}
}

// newRequests returns one request, or two requests with the same idempotency key, each for a random entry instance.
func (l *load) newRequests(rng *rand.Rand, service string, sequence int) []callRequest {
	team := l.pickTeam(rng)
	entries := l.entries()
	c := callRequest{
		id:            fmt.Sprintf("%s%s-%d", l.prefix, service, sequence),
		entryURL:      entries[rng.IntN(len(entries))],
		service:       service,
		team:          team.name,
		key:           team.key,
		urgent:        team.mayUrgent && rng.Float64() < urgentShare,
		nonIdempotent: rng.Float64() < nonIdempotentShare,
		workMS:        (minWorkMS + rng.IntN(maxWorkMS-minWorkMS)) * l.workFactor,
	}
	if !c.nonIdempotent || rng.Float64() >= keyedShare {
		return []callRequest{c}
	}
	c.idempotencyKey = c.id
	if rng.Float64() >= repeatShare {
		return []callRequest{c}
	}
	repeat := c
	repeat.id = c.id + "-repeat"
	repeat.entryURL = entries[rng.IntN(len(entries))]
	return []callRequest{c, repeat}
}

func (l *load) pickTeam(rng *rand.Rand) loadTeam {
	total := 0
	for _, t := range l.teams {
		total += t.weight
	}
	n := rng.IntN(total)
	for _, t := range l.teams {
		if n < t.weight {
			return t
		}
		n -= t.weight
	}
	return l.teams[0]
}

// send sends the request in the background. The request does not end with the load's context, because the report counts
// every outcome.
//
// The body is derived from the work ID, so that a repeat with the same idempotency key has the same content.
func (l *load) send(c callRequest) {
	rng := rand.New(rand.NewPCG(l.seed, xxhash.Sum64String(c.workID())))
	l.slots <- struct{}{}
	l.outstanding.Go(func() {
		defer func() { <-l.slots }()
		l.tally.add(call(context.Background(), l.client, c, rng))
	})
}
