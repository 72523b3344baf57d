package devmode

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// latencies is a histogram of durations from 10 µs to 10 minutes with three digits.
type latencies struct {
	h *hdrhistogram.Histogram
}

func newLatencies() latencies {
	return latencies{h: hdrhistogram.New(10, int64(10*time.Minute/time.Microsecond), 3)}
}

func (l latencies) record(d time.Duration) {
	_ = l.h.RecordValue(max(d.Microseconds(), 10))
}

func (l latencies) quantileMS(q float64) float64 {
	return float64(l.h.ValueAtQuantile(q)) / 1000
}
