package standin

import (
	"maps"
	"sync"
)

// Observer counts the executions on all workers that share it. It is safe for concurrent use.
type Observer struct {
	mu         sync.Mutex
	running    map[string]int
	maxRunning map[string]int
	executions map[string]int
}

// NewObserver returns an Observer whose counts are zero.
func NewObserver() *Observer {
	return &Observer{running: map[string]int{}, maxRunning: map[string]int{}, executions: map[string]int{}}
}

// begin counts the start of an execution by team and by caller request ID. An empty value is not counted.
func (o *Observer) begin(team, callerRequestID string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if callerRequestID != "" {
		o.executions[callerRequestID]++
	}
	if team != "" {
		o.running[team]++
		o.maxRunning[team] = max(o.maxRunning[team], o.running[team])
	}
}

func (o *Observer) end(team string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if team != "" {
		o.running[team]--
	}
}

// Running returns the number of executions of a team that run now.
func (o *Observer) Running(team string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.running[team]
}

// MaxRunning returns, per team, the highest number of executions that ran at the same time.
func (o *Observer) MaxRunning() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.maxRunning)
}

// Executions returns the number of executions that were started with a caller request ID.
func (o *Observer) Executions(callerRequestID string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.executions[callerRequestID]
}

// AllExecutions returns the number of executions that were started, per caller request ID.
func (o *Observer) AllExecutions() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.executions)
}
