package gateway

import "expvar"

// Metrics holds the counters of a gateway. Its creator publishes Map once.
type Metrics struct {
	Map *expvar.Map

	requests, answered, attempts, retries, aborted, abandoned, jobs, responseBytes expvar.Int
	refusals                                                                       *expvar.Map
}

// NewMetrics returns Metrics with all counters at zero.
func NewMetrics() *Metrics {
	m := &Metrics{Map: new(expvar.Map).Init(), refusals: new(expvar.Map).Init()}
	for name, v := range map[string]expvar.Var{
		"requests_total": &m.requests, "requests_answered_total": &m.answered, "attempts_total": &m.attempts,
		"retries_total": &m.retries, "responses_aborted_total": &m.aborted, "jobs_accepted_total": &m.jobs,
		"attempts_abandoned_total": &m.abandoned, "response_body_bytes": &m.responseBytes,
		"problems_by_reason_total": m.refusals,
	} {
		m.Map.Set(name, v)
	}
	return m
}

func (m *Metrics) countProblem(p *Problem) { m.refusals.Add(string(p.Reason), 1) }
