package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

type clock struct{ t time.Time }

func (c *clock) now() time.Time { return c.t }

func observe(h *Health, instance string, o Observation, n int) {
	for range n {
		h.Observe(instance, o)
	}
}

// TestChoosePrefersFreeInstancesAndSpreads guards against choosing full instances, and against load that concentrates
// in one availability zone.
func TestChoosePrefersFreeInstancesAndSpreads(t *testing.T) {
	is := is.New(t)
	candidates := []Candidate{
		{Instance: "a", AvailabilityZone: "z1", Used: 4, Held: 4},
		{Instance: "b", AvailabilityZone: "z1", Used: 1, Held: 4},
		{Instance: "c", AvailabilityZone: "z2", Used: 1, Held: 4},
	}
	for turn := range uint64(6) {
		c, ok := Choose(candidates, nil, nil, turn)
		is.True(ok)
		is.Equal(c.Instance, "c")
	}
	_, ok := Choose(candidates[:1], nil, nil, 0)
	is.True(!ok)
	_, ok = Choose(nil, nil, nil, 0)
	is.True(!ok)
}

// TestChooseAvoids guards against a retry on the instance that has just failed, and against a retry that is rejected
// although an avoided instance is the only usable one.
func TestChooseAvoids(t *testing.T) {
	is := is.New(t)
	candidates := []Candidate{{Instance: "a", Held: 1}, {Instance: "b", Used: 1, Held: 1}}
	_, ok := Choose(candidates, nil, []string{"a"}, 0)
	is.True(!ok) // b is only full, so the request waits for it
	c, ok := Choose(candidates[:1], nil, []string{"a"}, 0)
	is.True(ok)
	is.Equal(c.Instance, "a")
}

// TestChooseFloor guards against ejecting a whole pool when the cause is not in the instances, and against choosing
// instances that are leaving.
func TestChooseFloor(t *testing.T) {
	is := is.New(t)
	t0 := time.Unix(1000, 0)
	candidates := []Candidate{{Instance: "a", Held: 1}, {Instance: "b", Held: 1}, {Instance: "c", Held: 1}}
	ejected := map[string]Ejection{"a": {Until: t0}, "b": {Until: t0.Add(2)}, "c": {Until: t0.Add(1)}}
	seen := map[string]bool{}
	for turn := range uint64(3) {
		c, ok := Choose(candidates, ejected, nil, turn)
		is.True(ok)
		seen[c.Instance] = true
	}
	is.Equal(seen, map[string]bool{"a": true, "c": true})
	ejected = map[string]Ejection{"a": {Leaving: true}, "b": {Leaving: true}, "c": {Leaving: true}}
	_, ok := Choose(candidates, ejected, nil, 0)
	is.True(!ok)
}

// TestHealthEjectsForLongerEachTime guards against a failing instance that is not ejected, or whose ejections do not
// become longer.
func TestHealthEjectsForLongerEachTime(t *testing.T) {
	is := is.New(t)
	c := &clock{t: time.Unix(1000, 0)}
	h := NewHealth(c.now)
	observe(h, "a", ObservedFailure, maxConsecutiveFailures-1)
	h.Observe("a", ObservedSuccess)
	observe(h, "a", ObservedFailure, maxConsecutiveFailures-1)
	is.Equal(len(h.Ejected()), 0) // a success resets the count
	h.Observe("a", ObservedFailure)
	is.Equal(h.Ejected()["a"].Until, c.t.Add(firstEjection))
	c.t = c.t.Add(firstEjection)
	is.Equal(len(h.Ejected()), 0)
	h.Observe("a", ObservedFailure)
	is.Equal(h.Ejected()["a"].Until, c.t.Add(2*firstEjection))
}

// TestHealthFailureRatioOverWindow guards against an instance that fails every second request, which the count of
// consecutive failures never detects.
func TestHealthFailureRatioOverWindow(t *testing.T) {
	is := is.New(t)
	c := &clock{t: time.Unix(1000, 0)}
	h := NewHealth(c.now)
	for range minWindowRequests/2 - 1 {
		h.Observe("a", ObservedSuccess)
		h.Observe("a", ObservedFailure)
	}
	c.t = c.t.Add(windowBuckets * bucketInterval)
	h.Observe("a", ObservedSuccess)
	h.Observe("a", ObservedFailure)
	is.Equal(len(h.Ejected()), 0) // the old results have left the window
	for range minWindowRequests {
		h.Observe("a", ObservedSuccess)
		h.Observe("a", ObservedFailure)
	}
	is.Equal(len(h.Ejected()), 1)
}

// TestHealthLeaving guards against sending requests to an instance that refused work because it is leaving, before
// the platform's list shows it.
func TestHealthLeaving(t *testing.T) {
	is := is.New(t)
	h := NewHealth((&clock{t: time.Unix(1000, 0)}).now)
	h.Observe("a", ObservedLeaving)
	is.True(h.Ejected()["a"].Leaving)
}

// TestBudgetBoundsRetries guards against retries that multiply the load while every request fails.
func TestBudgetBoundsRetries(t *testing.T) {
	is := is.New(t)
	c := &clock{t: time.Unix(1000, 0)}
	b := NewBudgets(c.now)
	retries := 0
	for range 1000 {
		b.Request("s")
		if b.Retry("s") {
			retries++
		}
	}
	is.True(retries >= 100 && retries <= 102)
	c.t = c.t.Add(time.Second)
	is.True(b.Retry("s"))
	is.True(!b.Retry("s"))
}
