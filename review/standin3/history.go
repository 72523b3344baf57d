package main

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// history is what workers have run.
type history struct {
	mu   sync.Mutex // guards runs
	runs []*pastRun
}

// pastRun is one run of a work item.
type pastRun struct {
	task, worker, how string
	run               int
	began, ended      time.Time
}

func (h *history) begin(task string, run int, worker string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs = append(h.runs, &pastRun{task: task, worker: worker, run: run, began: time.Now()})
}

func (h *history) end(task string, run int, how string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range slices.Backward(h.runs) {
		if r.task == task && r.run == run && r.how == "" {
			r.how, r.ended = how, time.Now()
			return
		}
	}
}

// of returns the runs of a job in the order of their starts.
func (h *history) of(job string) []pastRun {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []pastRun
	for _, r := range h.runs {
		if strings.HasPrefix(r.task, job+".") {
			list = append(list, *r)
		}
	}
	return list
}
