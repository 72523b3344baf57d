// Package jobbudget bounds the memory that the state of accepted jobs takes. The leader holds that state and counts it
// by team. With each heartbeat it publishes the Room that is left, and each entry instance refuses, by itself, jobs for
// which there is none. The decisions have no access to the network or the store.
package jobbudget

import "math"

const (
	// MemoryFraction is the fraction of an instance's memory that the state of jobs may take. The connections of callers
	// may take a quarter as well; the garbage collector needs room for both.
	MemoryFraction = 0.25
	// ownFraction is the fraction of the budget that is divided among the teams by their shares. The remainder is for
	// teams that need more than their own, in the order of acceptance.
	ownFraction = 0.5
	// periodFraction is the largest fraction of what is left that all entry instances may accept in one period. Each
	// counts what it has accepted in two, because the leader may not have read the last jobs when it publishes.
	periodFraction = 0.25
)

// Holdings is what the leader holds.
type Holdings struct {
	// Budget is the number of bytes that the state of jobs may take on the smallest instance that may lead.
	Budget int64
	// Teams holds the bytes of each team's jobs. Those without a team count under "".
	Teams map[string]int64
	// Shares holds the share of each team. A team with none has no room of its own.
	Shares map[string]float64
	// Instances is the number of entry instances that accept jobs.
	Instances int
}

// Room is what is left for further jobs, in bytes.
type Room struct {
	// Period is another number whenever the leader has counted the jobs again.
	Period int64 `json:"n"`
	// Held is what the leader holds.
	Held int64 `json:"held"`
	// Each is the fraction of what is left that one entry instance may accept in a period.
	Each float64 `json:"each"`
	// Common is for all teams that have no room of their own left.
	Common int64 `json:"common"`
	// Parts is what all teams together have of their own while they hold nothing. A team has as much of it as its share
	// of all shares.
	Parts int64 `json:"parts"`
	// Own is what is left to the teams that hold more than half of their own.
	Own map[string]int64 `json:"own,omitempty"`
}

// maxExcess is the ratio of what a leader may hold to its budget. What has been accepted may exceed the budget a
// little, and more if the instance has joined since.
const maxExcess = 1.1

// LeaderMemoryMB returns the memory of the smallest instance that can hold what the leader holds.
func LeaderMemoryMB(r Room) int {
	return int(math.Ceil(float64(r.Held) / (maxExcess * MemoryFraction) / (1 << 20)))
}

// Total returns the bytes of all jobs.
func (h Holdings) Total() int64 {
	sum := int64(0)
	for _, held := range h.Teams {
		sum += held
	}
	return sum
}

// Scarce reports whether the teams' own parts matter: more than half of what all teams have in common is taken.
func (h Holdings) Scarce() bool { return h.Total() > h.commonBudget()/2 }

func (h Holdings) commonBudget() int64 { return int64((1 - ownFraction) * float64(h.Budget)) }

func (h Holdings) ownBudget() int64 { return int64(ownFraction * float64(h.Budget)) }

// own returns the part of the budget that is a team's own.
func (h Holdings) own(team string) int64 {
	return int64(Fraction(h.Shares, team) * float64(h.ownBudget()))
}

// Fraction returns a team's share as a fraction of all shares.
func Fraction(shares map[string]float64, team string) float64 {
	sum := 0.0
	for _, share := range shares {
		sum += share
	}
	if sum <= 0 {
		return 0
	}
	return shares[team] / sum
}

// Room returns what is left. The jobs of a team count against its own part of the budget first, so that a
// team within it finds room however much the others hold.
func (h Holdings) Room(period int64) Room {
	r := Room{
		Period: period, Held: h.Total(), Each: periodFraction / float64(max(h.Instances, 1)), Parts: h.ownBudget(),
		Own: map[string]int64{},
	}
	beyond := int64(0)
	for team, held := range h.Teams {
		own := h.own(team)
		beyond += max(held-own, 0)
		if left := max(own-held, 0); own > 0 && left < own/2 {
			r.Own[team] = left
		}
	}
	r.Common = max(h.commonBudget()-beyond, 0)
	return r
}
