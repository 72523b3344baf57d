package overload

import (
	"math"
	"time"
)

const (
	// minExcess is the number of jobs per second beyond its share from which on a team is over its share.
	minExcess = 1
	// recoveredFraction is the fraction of the limit below which the expected wait has to fall before a queue takes all
	// work again, so that the state does not alternate with each decision.
	recoveredFraction = 0.5
	// minFraction is the smallest fraction of jobs that is refused.
	minFraction = 0.02
)

func decay(elapsed, window time.Duration) float64 {
	return math.Exp(-float64(max(elapsed, 0)) / float64(window))
}

// QueueLoad is what a queue's state depends on.
type QueueLoad struct {
	// Wait is the time that the pool takes for all work that waits now, at its present capacity.
	Wait time.Duration
	// OnTime is for how long a typical job of the queue can wait and still meet its objective.
	OnTime time.Duration
}

// Shedding is what the entry instances refuse of one queue.
type Shedding struct {
	// Teams holds the fractions of the jobs that are refused, by team.
	Teams map[string]float64 `json:"teams"`
	// RetryMillis is the time that the pool takes for the work that waits.
	RetryMillis int64 `json:"retry_ms"`
}

// State is what the entry instances refuse, by queue. The leader publishes it, and its zero value refuses nothing.
type State map[string]Shedding

// Next returns the state that follows from the loads of the queues and the fractions of the teams' jobs that are beyond
// their shares. A queue sheds the excess of such teams from the moment when the work that waits takes longer than a job
// can wait: the excess comes after all other work, so it would only be done late. What is within a share is not shed.
func Next(previous State, loads map[string]QueueLoad, excess map[string]float64) State {
	next := State{}
	teams := refusedFractions(excess)
	if len(teams) == 0 {
		return next
	}
	for queue, load := range loads {
		_, shedding := previous[queue]
		if load.Wait > waitLimit(load.OnTime, shedding) {
			next[queue] = Shedding{Teams: teams, RetryMillis: load.Wait.Milliseconds()}
		}
	}
	return next
}

// refusedFractions rounds the fractions, which keeps the published state short, and leaves out the negligible ones. It
// rounds down: a fraction of 1 would refuse also what is within the share of a team.
func refusedFractions(excess map[string]float64) map[string]float64 {
	refused := map[string]float64{}
	for team, fraction := range excess {
		if fraction >= minFraction {
			refused[team] = math.Floor(fraction*100) / 100
		}
	}
	return refused
}

// waitLimit returns the wait above which a queue sheds work.
func waitLimit(onTime time.Duration, shedding bool) time.Duration {
	if shedding {
		return time.Duration(recoveredFraction * float64(onTime))
	}
	return onTime
}
