// Package metrics provides a latency histogram that is published through expvar.
package metrics

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxMillis is the highest value that a histogram records; longer times count as this value.
	maxMillis = 600_000
	// significantDigits is the number of significant decimal digits of a recorded time.
	significantDigits = 2
)

// Histogram is a distribution of times in milliseconds. It is safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

var _ expvar.Var = (*Histogram)(nil)

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{h: hdrhistogram.New(1, maxMillis, significantDigits)}
}

// Observe records a time. Times outside the range of the histogram are clamped to it.
func (h *Histogram) Observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// The clamped value is within the histogram's range, so RecordValue cannot fail.
	_ = h.h.RecordValue(min(max(d.Milliseconds(), 0), maxMillis))
}

// Summary holds the published statistics of a histogram, in milliseconds except Count.
type Summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   int64   `json:"p50"`
	P90   int64   `json:"p90"`
	P99   int64   `json:"p99"`
	Max   int64   `json:"max"`
}

// String implements expvar.Var.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := Summary{
		Count: h.h.TotalCount(), Mean: h.h.Mean(), P50: h.h.ValueAtQuantile(50), P90: h.h.ValueAtQuantile(90),
		P99: h.h.ValueAtQuantile(99), Max: h.h.Max(),
	}
	text, err := json.Marshal(s)
	if err != nil {
		return `{}` // a summary of numbers always encodes
	}
	return string(text)
}
