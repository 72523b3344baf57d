package standin

import (
	"net/http"
	"time"
)

const (
	// cpuMillisPerSlot and memoryBytesPerSlot are what the fake reports for each slot in use.
	cpuMillisPerSlot   = 1000
	memoryBytesPerSlot = 256 << 20
)

// usageSample is the worker's usage from a time on.
type usageSample struct {
	at    time.Time
	usage usageAnswer
}

// usageAnswer reports the CPU in thousandths of a core.
type usageAnswer struct {
	SlotsUsed       int   `json:"slots_used"`
	ConnectionsUsed int   `json:"connections_used"`
	CPUMillis       int64 `json:"cpu_millis"`
	MemoryBytes     int64 `json:"memory_bytes"`
}

// sampleLocked notes a change of the usage and drops what no answer needs any more.
func (w *Worker) sampleLocked() {
	slots := len(w.running)
	w.samples = append(w.samples, usageSample{at: time.Now(), usage: usageAnswer{
		SlotsUsed:       slots,
		ConnectionsUsed: len(w.connections),
		CPUMillis:       int64(slots) * cpuMillisPerSlot,
		MemoryBytes:     int64(slots) * memoryBytesPerSlot,
	}})
	w.trimSamplesLocked()
}

// trimSamplesLocked leaves as first sample the newest one that is older than the lag.
func (w *Worker) trimSamplesLocked() {
	now := time.Now()
	for len(w.samples) > 1 && now.Sub(w.samples[1].at) >= w.config.UsageLag {
		w.samples = w.samples[1:]
	}
}

func (w *Worker) handleUsage(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	w.trimSamplesLocked()
	var usage usageAnswer
	if len(w.samples) > 0 && time.Since(w.samples[0].at) >= w.config.UsageLag {
		usage = w.samples[0].usage
	}
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, usage)
}
