package routing

import (
	"sync"
	"time"
)

// Observation is the result of one attempt, as far as it concerns the health of the instance.
type Observation int

// The observations. ObservedNothing is for attempts that carry no information about the instance, such as those whose
// caller disconnected.
const (
	ObservedNothing Observation = iota
	ObservedSuccess
	ObservedFailure
	ObservedLeaving
)

// Parameters of ejection.
const (
	// maxConsecutiveFailures is the number of consecutive failures that ejects an instance, so that one that fails
	// every request is ejected within a few requests.
	maxConsecutiveFailures = 5
	// minWindowRequests is the number of requests in the window below which the failure ratio is not evaluated.
	minWindowRequests = 20
	// failurePercent is the failure ratio at which an instance is ejected.
	failurePercent = 50
	bucketInterval = time.Second
	windowBuckets  = 10
	firstEjection  = 5 * time.Second
	maxEjection    = 5 * time.Minute
	// ejectionResetAfter is the time without an ejection after which the next one is as short as the first.
	ejectionResetAfter = 10 * time.Minute
	// leavingTTL is the time for which a refusal with "leaving" excludes the instance. The platform's list shows the
	// instance as leaving well before that.
	leavingTTL = 30 * time.Second
)

type bucket struct {
	second   int64
	requests int
	failures int
}

type instanceHealth struct {
	consecutive  int
	buckets      [windowBuckets]bucket
	ejections    int
	ejectedUntil time.Time
	leavingUntil time.Time
	lastSeen     time.Time
}

// Health holds the recent results of each instance. It is safe for concurrent use.
type Health struct {
	now func() time.Time

	mu        sync.Mutex
	instances map[string]*instanceHealth
}

// NewHealth returns a Health that reads the time from now.
func NewHealth(now func() time.Time) *Health {
	return &Health{now: now, instances: map[string]*instanceHealth{}}
}

// Observe records the result of one attempt.
func (h *Health) Observe(instance string, o Observation) {
	if o == ObservedNothing {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	i, ok := h.instances[instance]
	if !ok {
		h.evictStale(now)
		i = &instanceHealth{}
		h.instances[instance] = i
	}
	i.lastSeen = now
	if o == ObservedLeaving {
		i.leavingUntil = now.Add(leavingTTL)
		return
	}
	i.count(now, o == ObservedFailure)
	if o == ObservedFailure && i.failing(now) {
		i.eject(now)
	}
}

// evictStale removes instances that were not used for ejectionResetAfter, so that replaced instances do not
// accumulate. Observe calls it with mu held when it adds an instance.
func (h *Health) evictStale(now time.Time) {
	for name, i := range h.instances {
		if now.Sub(i.lastSeen) > ejectionResetAfter {
			delete(h.instances, name)
		}
	}
}

// Ejected returns the instances that are ejected now, before Choose applies its limit, or nil if there are none.
func (h *Health) Ejected() map[string]Ejection {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	var ejected map[string]Ejection
	for name, i := range h.instances {
		e := Ejection{Until: i.ejectedUntil}
		if i.leavingUntil.After(now) {
			e = Ejection{Until: i.leavingUntil, Leaving: true}
		}
		if !e.Until.After(now) {
			continue
		}
		if ejected == nil {
			ejected = map[string]Ejection{}
		}
		ejected[name] = e
	}
	return ejected
}

func (i *instanceHealth) count(now time.Time, failed bool) {
	second := now.UnixNano() / int64(bucketInterval)
	b := &i.buckets[second%windowBuckets]
	if b.second != second {
		*b = bucket{second: second}
	}
	b.requests++
	if !failed {
		i.consecutive = 0
		return
	}
	b.failures++
	i.consecutive++
}

func (i *instanceHealth) failing(now time.Time) bool {
	if now.Before(i.ejectedUntil) {
		return false
	}
	if i.consecutive >= maxConsecutiveFailures {
		return true
	}
	oldest := now.UnixNano()/int64(bucketInterval) - windowBuckets
	requests, failures := 0, 0
	for _, b := range i.buckets {
		if b.second > oldest {
			requests += b.requests
			failures += b.failures
		}
	}
	return requests >= minWindowRequests && failures*100 >= requests*failurePercent
}

// eject ejects the instance, each time for twice as long as before. Afterwards a single failure ejects it again,
// unless a success comes first.
func (i *instanceHealth) eject(now time.Time) {
	if now.Sub(i.ejectedUntil) > ejectionResetAfter {
		i.ejections = 0
	}
	length := min(firstEjection<<min(i.ejections, 16), maxEjection)
	i.ejections++
	i.ejectedUntil = now.Add(length)
	i.buckets = [windowBuckets]bucket{}
	i.consecutive = maxConsecutiveFailures - 1
}
