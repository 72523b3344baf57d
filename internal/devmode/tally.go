package devmode

import (
	"sync"
	"time"
)

// Report is the output of the demo. It counts what callers and workers observed.
type Report struct {
	StandIns string  `json:"stand_ins"`
	Seconds  float64 `json:"seconds"`

	Requests      int `json:"requests"`
	Answered      int `json:"answered"`
	RefusedNotRun int `json:"refused_not_run"`
	Unknown       int `json:"unknown"`
	// RepeatsRefused counts requests that were rejected because of a repeated idempotency key.
	RepeatsRefused int `json:"repeats_refused"`
	Lost           int `json:"lost"`
	Doubled        int `json:"doubled"`
	WrongAnswer    int `json:"wrong_answer"`
	OverLimit      int `json:"over_limit"`
	// FalseRefusals counts requests that were rejected as not run although a worker executed them.
	FalseRefusals int `json:"false_refusals"`
	// VersionRegressions counts polls of an entry instance that returned an older document version than a previous poll
	// of the same instance.
	VersionRegressions int `json:"reverted"`
	// SlotsMax and ConnectionsMax are the highest numbers in use at one worker at any time.
	SlotsMax       int `json:"slots_max"`
	ConnectionsMax int `json:"connections_max"`

	// LimitUsedPercentMax is the highest usage of an upper limit by any team.
	LimitUsedPercentMax float64 `json:"limit_used_percent_max"`

	Jobs          int `json:"jobs"`
	JobsSucceeded int `json:"jobs_succeeded"`
	JobsUnknown   int `json:"jobs_unknown"`
	JobsFailed    int `json:"jobs_failed"`
	JobsRefused   int `json:"jobs_refused"`

	// WaveBelowBudget counts polls that found a pool below its availability budget, WaveInterrupted the executions that
	// reboots interrupted.
	WaveState       string  `json:"wave_state"`
	WavePauseReason string  `json:"wave_pause_reason,omitempty"`
	WaveReturned    int     `json:"wave_returned"`
	WaveSeconds     float64 `json:"wave_seconds"`
	WaveBelowBudget int     `json:"wave_below_budget"`
	WaveInterrupted int     `json:"wave_cut"`

	// ConfigSecondsMax is the highest time from the response to a publication until the document was in force at every
	// entry instance, PublishSecondsMax the highest time from the request to the response.
	ConfigSecondsMax        float64 `json:"config_seconds_max"`
	PublishSecondsMax       float64 `json:"publish_seconds_max"`
	KeyWithdrawalSecondsMax float64 `json:"key_withdrawal_seconds_max"`
	LatencyP50MS            float64 `json:"latency_p50_ms"`
	LatencyP99MS            float64 `json:"latency_p99_ms"`
	UrgentP99MS             float64 `json:"urgent_p99_ms"`

	RefusalsByReason map[string]int `json:"refusals_by_reason"`
	UnknownByReason  map[string]int `json:"unknown_by_reason"`
	Recoveries       []Recovery     `json:"recoveries,omitempty"`
	Violated         []string       `json:"broken"`
}

// Recovery is the time from the end of a fault until every entry instance answered requests again.
type Recovery struct {
	Fault   string  `json:"fault"`
	Seconds float64 `json:"seconds"`
}

// The limits of the guaranteed delays, from the stated target.
const (
	maxConfigDelay        = 5 * time.Second
	maxKeyWithdrawalDelay = 5 * time.Second
)

// checkGuarantees sets Violated to the guarantees that the report shows as violated. noUnknown is set for runs in which
// no event may leave the outcome of a request unknown.
func (r *Report) checkGuarantees(noUnknown bool) {
	r.Violated = []string{}
	for _, guarantee := range []struct {
		violated bool
		name     string
	}{
		{r.Lost > 0, "lost"},
		{r.Doubled > 0, "doubled"},
		{r.WrongAnswer > 0, "wrong_answer"},
		{r.OverLimit > 0, "over_limit"},
		{r.FalseRefusals > 0, "false_refusals"},
		{r.VersionRegressions > 0, "reverted"},
		{r.SlotsMax > instanceSlots, "slots_max"},
		{r.ConnectionsMax > instanceConnections, "connections_max"},
		{r.ConfigSecondsMax > maxConfigDelay.Seconds(), "config_seconds_max"},
		{r.KeyWithdrawalSecondsMax > maxKeyWithdrawalDelay.Seconds(), "key_withdrawal_seconds_max"},
		{r.WaveBelowBudget > 0, "wave_below_budget"},
		{r.WaveInterrupted > 0, "wave_cut"},
		{r.Answered == 0, "answered"},
		{noUnknown && r.Unknown > 0, "unknown"},
	} {
		if guarantee.violated {
			r.Violated = append(r.Violated, guarantee.name)
		}
	}
}

// result is the result of one synchronous request from the caller's point of view.
type result struct {
	id            string
	work          string
	urgent        bool
	nonIdempotent bool
	outcome       outcome
	reason        string
	latency       time.Duration
}

// outcome classifies the end of a request from the caller's point of view.
type outcome int

const (
	outcomeAnswered outcome = iota
	outcomeRefusedNotRun
	outcomeUnknown
	outcomeLost
	outcomeWrongAnswer
)

// tally collects results. It is safe for concurrent use.
type tally struct {
	mu      sync.Mutex
	results []result
}

func (t *tally) add(r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.results = append(t.results, r)
}

// summarize sets the figures of synchronous requests in the report. executions returns the number of times that workers
// executed a request.
func (t *tally) summarize(r *Report, executions func(id string) int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	all, urgent := newLatencies(), newLatencies()
	r.RefusalsByReason, r.UnknownByReason = map[string]int{}, map[string]int{}
	runs := map[string]int{}
	for _, res := range t.results {
		r.Requests++
		ran := executions(res.id)
		if res.nonIdempotent {
			runs[res.work] += ran
		}
		switch res.outcome {
		case outcomeAnswered:
			r.Answered++
			all.record(res.latency)
			if res.urgent {
				urgent.record(res.latency)
			}
		case outcomeRefusedNotRun:
			r.RefusedNotRun++
			r.RefusalsByReason[res.reason]++
			if ran > 0 {
				r.FalseRefusals++
			}
		case outcomeUnknown:
			r.countUnknown(res)
		case outcomeLost:
			r.Lost++
		case outcomeWrongAnswer:
			r.WrongAnswer++
		}
	}
	for _, n := range runs {
		if n > 1 {
			r.Doubled++
		}
	}
	r.LatencyP50MS, r.LatencyP99MS = all.quantileMS(50), all.quantileMS(99)
	r.UrgentP99MS = urgent.quantileMS(99)
}

func (r *Report) countUnknown(res result) {
	if res.reason == "duplicate_request" {
		r.RepeatsRefused++
		return
	}
	r.Unknown++
	r.UnknownByReason[res.reason]++
}
