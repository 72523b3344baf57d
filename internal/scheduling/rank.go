package scheduling

import (
	"cmp"
	"time"
)

// Rank is the position of a PendingStep among the others of its pool.
type Rank struct {
	// Tier separates work by what it is still worth.
	Tier Tier
	// Priority is the queue's priority; 0 comes first.
	Priority int
	// Slack is the time for which the work may still wait: to be done within its objective, or, in the tiers of excess
	// and expired work, within the time in which it has value.
	Slack time.Duration
	// Submitted breaks ties in favor of the older job.
	Submitted time.Time
}

// Tier is a class of urgency.
type Tier uint8

// The tiers, most urgent first.
const (
	// TierServing is work that runs until it is cancelled and has value only while it runs.
	TierServing Tier = iota
	// TierOnTime is work that has a sufficient chance to meet its objective if it starts now.
	TierOnTime
	// TierLate is work that will probably miss its objective and still has value when it is done.
	TierLate
	// TierExcess is work of a team beyond its share that still has value.
	TierExcess
	// TierExpired is work that will probably not be done in the time in which it has value.
	TierExpired
)

// MarshalText implements encoding.TextMarshaler.
func (t Tier) MarshalText() ([]byte, error) { return []byte(tierNames[t]), nil }

var tierNames = [...]string{"serving", "on_time", "late", "excess", "expired"}

const (
	// onTimeProbability is the probability of meeting the objective from which on work counts as on time. The work that
	// is nearest to its limit comes first, so under overload every job that is started has about this chance. It is below
	// one half because instances that are ordered for a burst shorten the wait.
	onTimeProbability = 0.4
	// valueProbability is the probability of having value when it is done below which work comes last.
	valueProbability = 0.05
	// lateFactor is the multiple of its objective after which a job has no value.
	lateFactor = 3
)

// Timing is what the rank of a job depends on.
type Timing struct {
	// Elapsed is the time since the submission, or since a scheduled job was due.
	Elapsed time.Duration
	// Stretch and LatencyObjective define the objective: Stretch times the whole work, plus LatencyObjective.
	Stretch          float64
	LatencyObjective time.Duration
	// Excess means that the job is beyond its team's share.
	Excess bool
	// Total and Left are the durations of the whole and of the remaining work that such jobs do not exceed with the
	// given probability.
	Total, Left func(p float64) time.Duration
}

// objective returns the objective of a job at the quantile p of its duration.
func (t *Timing) objective(p float64) time.Duration {
	return time.Duration(t.Stretch*float64(t.Total(p))) + t.LatencyObjective
}

// Classify returns the tier of a job that is not long-running, and its slack. The objective grows with the duration, so
// that of several possible durations the shortest leaves the least time.
func (t *Timing) Classify() (Tier, time.Duration) {
	p := 1 - onTimeProbability
	if t.Stretch < 1 { // the longer the job is, the less it may wait
		p = onTimeProbability
	}
	objective, needed := t.objective(p), t.Elapsed+t.Left(p)
	slack, late := objective-needed, lateFactor*objective-needed
	switch {
	case late < 0 && t.expired():
		return TierExpired, late
	case t.Excess:
		return TierExcess, late
	case slack < 0:
		return TierLate, slack
	}
	return TierOnTime, slack
}

// expired reports whether the job will not be done in the time in which it has value, however long its work is.
func (t *Timing) expired() bool {
	for _, p := range []float64{valueProbability, 1 - valueProbability} {
		if lateFactor*t.objective(p) >= t.Elapsed+t.Left(p) {
			return false
		}
	}
	return true
}

// compare orders ranks; the lower one is served first.
func (r Rank) compare(o Rank) int {
	if r.Tier != o.Tier {
		return int(r.Tier) - int(o.Tier)
	}
	if r.Priority != o.Priority {
		return r.Priority - o.Priority
	}
	if r.Slack != o.Slack {
		return cmp.Compare(r.Slack, o.Slack)
	}
	return r.Submitted.Compare(o.Submitted)
}
