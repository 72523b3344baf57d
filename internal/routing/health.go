package routing

import (
	"sync"
	"time"
)

// Observation is what one attempt showed about its instance.
type Observation int

// The observations. ObservedNothing is for attempts that say nothing about the instance, such as a caller that went away.
const (
	ObservedNothing Observation = iota
	ObservedSuccess
	ObservedFailure
	ObservedLeaving
)

// The rules of ejection.
const (
	// consecutiveFailures ejects an instance that fails everything within a few requests.
	consecutiveFailures = 5
	// minWindowRequests keeps the failure ratio from being judged on a handful of requests.
	minWindowRequests = 20
	// failurePercent is the failure ratio from which on an instance is ejected.
	failurePercent = 50
	bucketLength   = time.Second
	windowBuckets  = 10
	firstEjection  = 5 * time.Second
	maxEjection    = 5 * time.Minute
	// forgiveAfter is the time without an ejection after which the next one is as short as the first.
	forgiveAfter = 10 * time.Minute
	// leavingHold bounds how long a refusal with "leaving" counts. The platform's list shows the instance well before that.
	leavingHold = 30 * time.Second
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

// Health keeps the recent results of each instance. It is safe for concurrent use.
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
		h.forgetOld(now)
		i = &instanceHealth{}
		h.instances[instance] = i
	}
	i.lastSeen = now
	if o == ObservedLeaving {
		i.leavingUntil = now.Add(leavingHold)
		return
	}
	i.count(now, o == ObservedFailure)
	if o == ObservedFailure && i.failing(now) {
		i.eject(now)
	}
}

// forgetOld drops instances that were not used for forgiveAfter, so that replaced instances do not add up. It is called
// with the lock held, when an instance is new.
func (h *Health) forgetOld(now time.Time) {
	for name, i := range h.instances {
		if now.Sub(i.lastSeen) > forgiveAfter {
			delete(h.instances, name)
		}
	}
}

// Ejected returns the instances that are ejected now, before the floor of Choose. It is nil if there are none.
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
	second := now.UnixNano() / int64(bucketLength)
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
	if i.consecutive >= consecutiveFailures {
		return true
	}
	oldest := now.UnixNano()/int64(bucketLength) - windowBuckets
	requests, failures := 0, 0
	for _, b := range i.buckets {
		if b.second > oldest {
			requests += b.requests
			failures += b.failures
		}
	}
	return requests >= minWindowRequests && failures*100 >= requests*failurePercent
}

// eject doubles the time with each ejection. After it, one more failure in a row ejects the instance again.
func (i *instanceHealth) eject(now time.Time) {
	if now.Sub(i.ejectedUntil) > forgiveAfter {
		i.ejections = 0
	}
	length := min(firstEjection<<min(i.ejections, 16), maxEjection)
	i.ejections++
	i.ejectedUntil = now.Add(length)
	i.buckets = [windowBuckets]bucket{}
	i.consecutive = consecutiveFailures - 1
}
