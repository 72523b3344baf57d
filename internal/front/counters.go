package front

import (
	"expvar"

	"pollenlead/internal/metrics"
)

// counters are the front's metrics.
var counters = newFrontCounters()

type frontCounters struct {
	accepted, cancelled, unknown expvar.Int
	refused                      expvar.Map // by status
	// acceptMillis is the time in which a submission was stored.
	acceptMillis *metrics.Histogram
}

func newFrontCounters() *frontCounters {
	c := &frontCounters{}
	m := expvar.NewMap("front")
	m.Set("jobs_accepted_total", &c.accepted)
	m.Set("cancellations_total", &c.cancelled)
	m.Set("outcomes_unknown_total", &c.unknown)
	m.Set("refused_total", c.refused.Init())
	c.acceptMillis = metrics.NewHistogram()
	m.Set("accept_milliseconds", c.acceptMillis)
	return c
}
