package front

import "expvar"

// counters are the front's metrics.
var counters = newFrontCounters()

type frontCounters struct {
	accepted, cancelled, unknown expvar.Int
	refused                      expvar.Map // by status
}

func newFrontCounters() *frontCounters {
	c := &frontCounters{}
	m := expvar.NewMap("front")
	m.Set("jobs_accepted_total", &c.accepted)
	m.Set("cancellations_total", &c.cancelled)
	m.Set("outcomes_unknown_total", &c.unknown)
	m.Set("refused_total", c.refused.Init())
	return c
}
