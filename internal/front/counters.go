package front

import (
	"expvar"

	"pollenlead/internal/metrics"
)

// counters holds the metrics of this package.
var counters = newFrontCounters()

type frontCounters struct {
	accepted, cancelled, unknown expvar.Int
	// shed counts the submissions that were refused because of overload.
	shed    expvar.Int
	noRoom  expvar.Map // submissions refused for want of memory for their state, by team
	refused expvar.Map // by status code
	// acceptMillis is the time from the receipt of a submission until it is stored.
	acceptMillis *metrics.Histogram
}

func newFrontCounters() *frontCounters {
	c := &frontCounters{}
	m := expvar.NewMap("front")
	m.Set("jobs_accepted_total", &c.accepted)
	m.Set("cancellations_total", &c.cancelled)
	m.Set("outcomes_unknown_total", &c.unknown)
	m.Set("jobs_shed_total", &c.shed)
	m.Set("jobs_without_room_total", c.noRoom.Init())
	m.Set("refused_total", c.refused.Init())
	c.acceptMillis = metrics.NewHistogram()
	m.Set("accept_milliseconds", c.acceptMillis)
	return c
}
