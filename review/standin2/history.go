package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// errNotDue means that a case did not reach the point that it is about.
var errNotDue = errors.New("the case did not reach its point")

// startedTasks returns the number of tasks whose names begin with a prefix and that run or have ended now.
func (w *world) startedTasks(prefix string) int {
	tasks := map[string]bool{}
	for _, x := range w.allWorkers() {
		x.mu.Lock()
		for task := range x.running {
			tasks[task] = true
		}
		for task := range x.highest {
			tasks[task] = true
		}
		x.mu.Unlock()
	}
	n := 0
	for task := range tasks {
		if strings.HasPrefix(task, prefix) {
			n++
		}
	}
	return n
}

// doneTasks returns the number of tasks whose names begin with a prefix and that have ended done.
func (w *world) doneTasks(prefix string) int {
	n := 0
	for _, x := range w.allWorkers() {
		x.mu.Lock()
		for task := range x.finished {
			if strings.HasPrefix(task, prefix) {
				n++
			}
		}
		x.mu.Unlock()
	}
	return n
}

func (w *world) allWorkers() []*worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*worker(nil), w.workers...)
}

const (
	// watchTime bounds the wait for a step, and restTime is the time for which a step may have nothing running although
	// its turn has come. The rule's bound is 3 s, after contact_ms of calm.
	watchTime = 60 * time.Second
	restTime  = 20 * time.Second
)

// watchStep waits until a step of a job is done and checks that the next one runs. Room for all of it is there all the
// time. tasks is the number of tasks of the first of both.
func (w *world) watchStep(job string, step, next, tasks int) error {
	before, after := fmt.Sprintf("%s.0.%d.", job, step), fmt.Sprintf("%s.0.%d.", job, next)
	var due time.Time
	for deadline := time.Now().Add(watchTime); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		switch {
		case w.startedTasks(after) > 0:
			w.note("step %d runs", next)
			return nil
		case due.IsZero() && w.doneTasks(before) == tasks:
			due = time.Now()
			w.note("step %d is done: the turn of step %d has come", step, next)
		case !due.IsZero() && time.Since(due) > restTime:
			w.violate("LOST: for %.0f s job %s has nothing running while the turn of its step %d has come, with idle workers",
				time.Since(due).Seconds(), job, next)
			return nil
		}
	}
	return errNotDue
}
