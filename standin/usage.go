package standin

import (
	"net/http"
	"time"
)

const (
	// cpuMillisPerSlot and memoryBytesPerSlot are the usage that the stand-in reports for each slot in use.
	cpuMillisPerSlot   = 1000
	memoryBytesPerSlot = 256 << 20
)

// usageSample is the worker's usage from the time at until the next sample.
type usageSample struct {
	at    time.Time
	usage usageResponse
}

// usageResponse reports the usage. CPUMillis is in thousandths of a core.
type usageResponse struct {
	SlotsUsed       int   `json:"slots_used"`
	ConnectionsUsed int   `json:"connections_used"`
	CPUMillis       int64 `json:"cpu_millis"`
	MemoryBytes     int64 `json:"memory_bytes"`
}

// recordUsageLocked adds a sample of the current usage and drops the samples that no later response can contain.
func (w *Worker) recordUsageLocked() {
	slots := len(w.running)
	w.samples = append(w.samples, usageSample{at: time.Now(), usage: usageResponse{
		SlotsUsed:       slots,
		ConnectionsUsed: len(w.connections),
		CPUMillis:       int64(slots) * cpuMillisPerSlot,
		MemoryBytes:     int64(slots) * memoryBytesPerSlot,
	}})
	w.dropOldSamplesLocked()
}

// dropOldSamplesLocked drops the samples before the newest one that is at least as old as the lag.
func (w *Worker) dropOldSamplesLocked() {
	now := time.Now()
	for len(w.samples) > 1 && now.Sub(w.samples[1].at) >= w.config.UsageLag {
		w.samples = w.samples[1:]
	}
}

func (w *Worker) handleUsage(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	w.dropOldSamplesLocked()
	var usage usageResponse
	if len(w.samples) > 0 && time.Since(w.samples[0].at) >= w.config.UsageLag {
		usage = w.samples[0].usage
	}
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, usage)
}
