package devmode

import (
	"sync"
	"time"
)

// Report is the last line of the demo: what callers and workers saw.
type Report struct {
	StandIns string  `json:"stand_ins"`
	Seconds  float64 `json:"seconds"`

	Requests      int `json:"requests"`
	Answered      int `json:"answered"`
	RefusedNotRun int `json:"refused_not_run"`
	Unknown       int `json:"unknown"`
	// RepeatsRefused counts second submissions of an idempotency key that were refused as such.
	RepeatsRefused int `json:"repeats_refused"`
	Lost           int `json:"lost"`
	Doubled        int `json:"doubled"`
	WrongAnswer    int `json:"wrong_answer"`
	OverLimit      int `json:"over_limit"`
	// FalseRefusals counts refusals that said "not run" although a worker ran the work.
	FalseRefusals int `json:"false_refusals"`
	// Reverted counts looks at a document version that was older than one seen before at the same entry instance.
	Reverted int `json:"reverted"`
	// SlotsMax and ConnectionsMax are the highest numbers in use at one instance at any moment.
	SlotsMax       int `json:"slots_max"`
	ConnectionsMax int `json:"connections_max"`

	// LimitUsedPercentMax is the highest use that any team made of its upper limit.
	LimitUsedPercentMax float64 `json:"limit_used_percent_max"`

	Jobs          int `json:"jobs"`
	JobsSucceeded int `json:"jobs_succeeded"`
	JobsUnknown   int `json:"jobs_unknown"`
	JobsFailed    int `json:"jobs_failed"`
	JobsRefused   int `json:"jobs_refused"`

	// WaveBelowBudget counts looks at a pool below its availability budget, WaveCut the executions that a reboot cut off.
	WaveState       string  `json:"wave_state"`
	WavePauseReason string  `json:"wave_pause_reason,omitempty"`
	WaveReturned    int     `json:"wave_returned"`
	WaveSeconds     float64 `json:"wave_seconds"`
	WaveBelowBudget int     `json:"wave_below_budget"`
	WaveCut         int     `json:"wave_cut"`

	// ConfigSecondsMax counts from the answer to a publication, PublishSecondsMax from its sending to the answer.
	ConfigSecondsMax        float64 `json:"config_seconds_max"`
	PublishSecondsMax       float64 `json:"publish_seconds_max"`
	KeyWithdrawalSecondsMax float64 `json:"key_withdrawal_seconds_max"`
	LatencyP50MS            float64 `json:"latency_p50_ms"`
	LatencyP99MS            float64 `json:"latency_p99_ms"`
	UrgentP99MS             float64 `json:"urgent_p99_ms"`

	RefusalsByReason map[string]int `json:"refusals_by_reason"`
	UnknownByReason  map[string]int `json:"unknown_by_reason"`
	Recoveries       []Recovery     `json:"recoveries,omitempty"`
	Broken           []string       `json:"broken"`
}

// Recovery is the time from the end of a fault until requests were answered again at every entry instance.
type Recovery struct {
	Fault   string  `json:"fault"`
	Seconds float64 `json:"seconds"`
}

// The bounds of the promises, from the stated target.
const (
	configBound        = 5 * time.Second
	keyWithdrawalBound = 5 * time.Second
)

// check lists the promises that the figures break. noUnknown says that nothing happened in which an outcome may be unknown.
func (r *Report) check(noUnknown bool) {
	r.Broken = []string{}
	for _, promise := range []struct {
		broken bool
		name   string
	}{
		{r.Lost > 0, "lost"},
		{r.Doubled > 0, "doubled"},
		{r.WrongAnswer > 0, "wrong_answer"},
		{r.OverLimit > 0, "over_limit"},
		{r.FalseRefusals > 0, "false_refusals"},
		{r.Reverted > 0, "reverted"},
		{r.SlotsMax > instanceSlots, "slots_max"},
		{r.ConnectionsMax > instanceConns, "connections_max"},
		{r.ConfigSecondsMax > configBound.Seconds(), "config_seconds_max"},
		{r.KeyWithdrawalSecondsMax > keyWithdrawalBound.Seconds(), "key_withdrawal_seconds_max"},
		{r.WaveBelowBudget > 0, "wave_below_budget"},
		{r.WaveCut > 0, "wave_cut"},
		{r.Answered == 0, "answered"},
		{noUnknown && r.Unknown > 0, "unknown"},
	} {
		if promise.broken {
			r.Broken = append(r.Broken, promise.name)
		}
	}
}

// result is what one caller saw of one synchronous request.
type result struct {
	id            string
	work          string
	urgent        bool
	nonIdempotent bool
	outcome       outcome
	reason        string
	latency       time.Duration
}

// outcome is the caller's view of how a request ended.
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

// summarize fills in the report's figures of synchronous requests. executions tells how often workers ran a request.
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
