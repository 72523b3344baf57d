package routing

import (
	"sync"
	"time"
)

// Parameters of the retry budget of a service.
const (
	// retriesPerRequest bounds the load that retries add while every request fails.
	retriesPerRequest = 0.1
	// retriesPerSecond allows a service with few requests to retry as well.
	retriesPerSecond = 1.0
	// maxRetryTokens bounds the burst of retries after a period without retries.
	maxRetryTokens = 20.0
)

type budget struct {
	tokens  float64
	updated time.Time
}

// Budgets holds the retry budget of each service. It is safe for concurrent use.
type Budgets struct {
	now func() time.Time

	mu       sync.Mutex
	services map[string]*budget
}

// NewBudgets returns budgets that read the time from now.
func NewBudgets(now func() time.Time) *Budgets {
	return &Budgets{now: now, services: map[string]*budget{}}
}

// Request adds the share of one request to the budget of service.
func (b *Budgets) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.refill(service)
	s.tokens = min(s.tokens+retriesPerRequest, maxRetryTokens)
}

// Retry reports whether service may retry now, and if so deducts the retry from the budget.
func (b *Budgets) Retry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.refill(service)
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// refill adds the retries earned since the last call and returns the budget of service. The caller holds mu.
func (b *Budgets) refill(service string) *budget {
	now := b.now()
	s, ok := b.services[service]
	if !ok {
		s = &budget{tokens: retriesPerSecond, updated: now}
		b.services[service] = s
	}
	s.tokens = min(s.tokens+now.Sub(s.updated).Seconds()*retriesPerSecond, maxRetryTokens)
	s.updated = now
	return s
}
