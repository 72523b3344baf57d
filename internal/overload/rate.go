// Package overload decides which work is served first and which is refused when not all of it can be served in time.
// Its functions are pure: they read no clock and have no access to the network or the store.
package overload

import "time"

const (
	// burstWindow is the time for which a team's rate may be used at once after a pause.
	burstWindow = time.Second
	// arrivalWindow is the time over which a team's arriving jobs are averaged.
	arrivalWindow = time.Second
)

// Rates counts the jobs of each team against its share, which is the number of jobs per second that it is entitled to
// when not all work can be served. All jobs are counted in one place, so the counts are exact.
type Rates struct{ teams map[string]*rate }

// rate is a token bucket of one team.
type rate struct {
	tokens float64
	at     time.Duration
	// arrived and excess are decaying numbers of jobs per second: all, and those that found the bucket empty.
	arrived, excess float64
	// excessAt is the time of the last job that found the bucket empty.
	excessAt time.Duration
}

// NewRates returns the counts of teams that have submitted nothing.
func NewRates() *Rates { return &Rates{teams: map[string]*rate{}} }

// Admit counts a job that a team submitted at the time now of a monotonic clock. It reports whether the team's share
// covers the job. A share of 0 has no limit.
func (r *Rates) Admit(team string, share float64, now time.Duration) bool {
	if team == "" || share <= 0 {
		return true
	}
	t := r.teams[team]
	if t == nil {
		t = &rate{tokens: bucketSize(share), at: now}
		r.teams[team] = t
	}
	t.advance(share, now)
	t.arrived += 1 / arrivalWindow.Seconds()
	if t.tokens < 1 {
		t.excess += 1 / arrivalWindow.Seconds()
		t.excessAt = t.at
		return false
	}
	t.tokens--
	return true
}

// bucketSize returns the number of jobs that a share covers at once after a pause.
func bucketSize(share float64) float64 { return max(share*burstWindow.Seconds(), 1) }

// advance adds the tokens of the time since the last job. An earlier time than that of the last job adds none.
func (t *rate) advance(share float64, now time.Duration) {
	elapsed := max(now-t.at, 0)
	t.at = max(t.at, now)
	t.tokens = min(t.tokens+share*elapsed.Seconds(), bucketSize(share))
	keep := decay(elapsed, arrivalWindow)
	t.arrived *= keep
	t.excess *= keep
}

// ExcessFractions returns, for each team that has submitted more than its share within the arrivalWindow, the fraction
// of its jobs that was beyond it. Of a large excess the decaying number alone lasts for several times the
// arrivalWindow.
func (r *Rates) ExcessFractions(now time.Duration) map[string]float64 {
	fractions := map[string]float64{}
	for team, t := range r.teams {
		excess := t.excess * decay(now-t.at, arrivalWindow)
		if excess >= minExcess && now-t.excessAt <= arrivalWindow {
			fractions[team] = t.excess / t.arrived
		}
	}
	return fractions
}

// WouldAdmit reports whether Admit would count a job of the team as within its share now. It counts no job.
func (r *Rates) WouldAdmit(team string, share float64, now time.Duration) bool {
	t := r.teams[team]
	if t == nil || share <= 0 {
		return true
	}
	next := *t
	next.advance(share, now)
	return next.tokens >= 1
}
