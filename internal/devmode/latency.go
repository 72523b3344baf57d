package devmode

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// latencies is a histogram of durations from 10 µs to 10 minutes with three significant digits.
type latencies struct {
	h *hdrhistogram.Histogram
}

func newLatencies() latencies {
	return latencies{h: hdrhistogram.New(10, int64(10*time.Minute/time.Microsecond), 3)}
}

func (l latencies) record(d time.Duration) {
	_ = l.h.RecordValue(max(d.Microseconds(), 10))
}

// quantileMS returns the given percentile (0 to 100) in milliseconds.
func (l latencies) quantileMS(percentile float64) float64 {
	return float64(l.h.ValueAtQuantile(percentile)) / 1000
}
