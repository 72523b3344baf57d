package devmode

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// balancerInterval is how often the balancer asks an entry instance whether it is ready.
const balancerInterval = 100 * time.Millisecond

// probeTimeout bounds one question of the balancer. An entry instance that does not answer within it counts as not ready.
const probeTimeout = time.Second

// target is an entry instance as the balancer knows it.
type target struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	CallersURL       string `json:"callers_url"`
	OperatorsURL     string `json:"operators_url"`
}

// balancer keeps which entry instances are ready, like the platform's balancer. It is safe for concurrent use.
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

// run asks all entry instances again and again until ctx ends.
func (b *balancer) run(ctx context.Context) {
	for {
		b.round(ctx)
		if !sleepUntil(ctx, time.Now().Add(balancerInterval)) {
			return
		}
	}
}

// round asks all entry instances at once, because one that is frozen must not delay what is learned of the others.
func (b *balancer) round(ctx context.Context) {
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

// callers returns the callers' URLs of the ready entry instances, or of all if none is ready.
func (b *balancer) callers() []string {
	return b.urls(b.ready, func(t target) string { return t.CallersURL })
}

// operators returns the operators' URLs of the entry instances that answered the last question, or of all if none did.
func (b *balancer) operators() []string {
	return b.urls(b.reachable, func(t target) string { return t.OperatorsURL })
}

func (b *balancer) urls(chosen map[string]bool, url func(target) string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var some, all []string
	for _, t := range b.targets() {
		all = append(all, url(t))
		if chosen[t.Name] {
			some = append(some, url(t))
		}
	}
	if len(some) == 0 {
		return all
	}
	return some
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
			return fmt.Errorf("entry instance %s is not ready: %w", waiting, ctx.Err())
		}
	}
}
