package dispatch

import (
	"encoding/json"
	"expvar"
	"sync/atomic"

	"pollenlead/internal/runtimes"
)

// runTimesVar publishes what the leader knows of the run times of each queue.
type runTimesVar struct {
	stats atomic.Pointer[map[string]runtimes.Stats]
}

var _ expvar.Var = (*runTimesVar)(nil)

func (v *runTimesVar) set(stats map[string]runtimes.Stats) { v.stats.Store(&stats) }

// String implements expvar.Var.
func (v *runTimesVar) String() string {
	stats := v.stats.Load()
	if stats == nil {
		return `{}`
	}
	text, err := json.Marshal(*stats)
	if err != nil {
		return `{}` // maps of numbers always encode
	}
	return string(text)
}
