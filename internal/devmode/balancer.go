package devmode

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// balancerInterval is the interval between two readiness probes of an entry instance.
const balancerInterval = 100 * time.Millisecond

// probeTimeout is the timeout of one readiness probe. An entry instance that does not respond in time counts as not
// ready.
const probeTimeout = time.Second

// target is an entry instance to which the balancer can send requests.
type target struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	CallersURL       string `json:"callers_url"`
	OperatorsURL     string `json:"operators_url"`
}

// balancer tracks which entry instances are ready, as the load balancer of a real platform does. It is safe for
// concurrent use.
type balancer struct {
	targets func() []target
	client  *http.Client

	mu        sync.Mutex
	ready     map[string]bool
	reachable map[string]bool
}

func newBalancer(targets func() []target) *balancer {
	return &balancer{
		targets: targets, client: &http.Client{Timeout: probeTimeout},
		ready: map[string]bool{}, reachable: map[string]bool{},
	}
}

// run probes all entry instances periodically until ctx ends.
func (b *balancer) run(ctx context.Context) {
	for {
		b.probeAll(ctx)
		if !sleepUntil(ctx, time.Now().Add(balancerInterval)) {
			return
		}
	}
}

// probeAll probes all entry instances concurrently, so that a frozen one does not delay the probes of the others.
func (b *balancer) probeAll(ctx context.Context) {
	var probes sync.WaitGroup
	for _, t := range b.targets() {
		probes.Go(func() {
			reachable, ready := b.probe(ctx, t)
			b.mu.Lock()
			defer b.mu.Unlock()
			b.reachable[t.Name], b.ready[t.Name] = reachable, ready
		})
	}
	probes.Wait()
}

func (b *balancer) probe(ctx context.Context, t target) (reachable, ready bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, t.OperatorsURL+"/readyz", nil)
	if err != nil {
		return false, false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false, false
	}
	_ = resp.Body.Close()
	return true, resp.StatusCode == http.StatusOK
}

// callersURLs returns the URLs for callers of the ready entry instances, or of all of them if none is ready.
func (b *balancer) callersURLs() []string {
	return b.urls(b.ready, func(t target) string { return t.CallersURL })
}

// operatorsURLs returns the URLs for operators of the entry instances that responded to the last probe, or of all of
// them if none did.
func (b *balancer) operatorsURLs() []string {
	return b.urls(b.reachable, func(t target) string { return t.OperatorsURL })
}

func (b *balancer) urls(chosen map[string]bool, url func(target) string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var selected, all []string
	for _, t := range b.targets() {
		all = append(all, url(t))
		if chosen[t.Name] {
			selected = append(selected, url(t))
		}
	}
	if len(selected) == 0 {
		return all
	}
	return selected
}

// awaitReady waits until every entry instance is ready.
func (b *balancer) awaitReady(ctx context.Context) error {
	for {
		waiting := ""
		for _, t := range b.targets() {
			if _, ready := b.probe(ctx, t); !ready {
				waiting = t.Name
			}
		}
		if waiting == "" {
			return nil
		}
		if !sleepUntil(ctx, time.Now().Add(pollInterval)) {
			return fmt.Errorf("wait until entry instance %s is ready: %w", waiting, ctx.Err())
		}
	}
}
