package standin

import (
	"maps"
	"sync"
)

// Observer counts executions over all workers that share it. It is safe for concurrent use.
type Observer struct {
	mu         sync.Mutex
	running    map[string]int
	highest    map[string]int
	executions map[string]int
}

// NewObserver returns an Observer that has seen nothing.
func NewObserver() *Observer {
	return &Observer{running: map[string]int{}, highest: map[string]int{}, executions: map[string]int{}}
}

// begin counts the start of an execution. Work without a team or caller request ID is not counted under that name.
func (o *Observer) begin(team, callerRequestID string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if callerRequestID != "" {
		o.executions[callerRequestID]++
	}
	if team != "" {
		o.running[team]++
		o.highest[team] = max(o.highest[team], o.running[team])
	}
}

func (o *Observer) end(team string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if team != "" {
		o.running[team]--
	}
}

// Running returns how many executions of a team run now.
func (o *Observer) Running(team string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.running[team]
}

// MaxRunning returns per team the highest number of executions that ran at once.
func (o *Observer) MaxRunning() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.highest)
}

// Executions returns how often work with a caller request ID was started.
func (o *Observer) Executions(callerRequestID string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.executions[callerRequestID]
}

// AllExecutions returns the number of starts per caller request ID.
func (o *Observer) AllExecutions() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.executions)
}
