package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"
)

// taskState is the state of a task.
type taskState string

const (
	taskRunning taskState = "running"
	taskDone    taskState = "done"
	taskFailed  taskState = "failed"
	taskStopped taskState = "stopped"
	taskLapsed  taskState = "lapsed"
)

// task is one attempt to run a job. It is guarded by the worker's mutex.
type task struct {
	execution *execution
	state     taskState
	status    int
	result    []byte      // reported once the task is done
	end       time.Time   // when the work will be done
	timer     *time.Timer // fires at end
}

type startTaskRequest struct {
	TaskID      string `json:"task_id"`
	LeaseID     string `json:"lease_id"`
	Service     string `json:"service"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
	RequestID   string `json:"request_id"`
}

// taskWork is the part of the JSON body of a task that the backend server interprets.
type taskWork struct {
	WorkMS          int64  `json:"work_ms"`
	CallerRequestID string `json:"caller_request_id"`
	Team            string `json:"team"`
}

type adoptTaskRequest struct {
	LeaseID string `json:"lease_id"`
}

type taskResponse struct {
	State       taskState `json:"state"`
	Status      int       `json:"status"`
	ContentType string    `json:"content_type"`
	Result      []byte    `json:"result"`
}

func (t *task) response() taskResponse {
	a := taskResponse{State: t.state, Status: t.status}
	if t.state == taskDone {
		a.ContentType, a.Result = "text/plain", t.result
	}
	return a
}

func (w *Worker) handleStartTask(rw http.ResponseWriter, r *http.Request) {
	var req startTaskRequest
	if !readJSON(rw, r, &req) {
		return
	}
	if req.TaskID == "" {
		http.Error(rw, "task_id is missing", http.StatusBadRequest)
		return
	}
	// A delayed start takes effect even if its client has disconnected, as on a slow network.
	time.Sleep(milliseconds(w.Faults().DelayMS))
	w.mu.Lock()
	response, refused := w.startTaskLocked(req)
	w.mu.Unlock()
	if refused != "" {
		refuse(rw, r, refused)
		return
	}
	if !w.awaitResumed(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(rw, http.StatusOK, response)
}

func (w *Worker) startTaskLocked(req startTaskRequest) (response taskResponse, refused string) {
	if t := w.tasks[req.TaskID]; t != nil {
		return t.response(), ""
	}
	var work taskWork
	// A body that cannot be decoded is work with a duration of zero.
	_ = json.Unmarshal(req.Body, &work)
	sum := sha256.Sum256(req.Body)
	t := &task{state: taskRunning, result: hex.AppendEncode(nil, sum[:])}
	t.execution = &execution{
		Execution: Execution{
			RequestID:       req.RequestID,
			TaskID:          req.TaskID,
			CallerRequestID: work.CallerRequestID,
			Team:            work.Team,
			LeaseID:         req.LeaseID,
		},
		stop: t.stopLocked,
	}
	if refused := w.beginLocked(t.execution); refused != "" {
		return taskResponse{}, refused
	}
	w.tasks[req.TaskID] = t
	if w.faults.FailAll {
		w.endLocked(t.execution)
		t.state, t.status = taskFailed, http.StatusInternalServerError
		return t.response(), ""
	}
	duration := milliseconds(work.WorkMS)
	t.end = time.Now().Add(duration)
	t.timer = time.AfterFunc(duration, func() { w.finishTask(t) })
	return t.response(), ""
}

// finishTask marks a task as done, unless it was stopped or throttled in the meantime.
func (w *Worker) finishTask(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	// The timer may be late: if the lease has expired by now, the task has lapsed instead.
	w.liveLeaseLocked(t.execution.LeaseID)
	if t.state != taskRunning || time.Now().Before(t.end) {
		return
	}
	w.endLocked(t.execution)
	t.state, t.status = taskDone, http.StatusOK
}

// stopLocked sets the final state of a task that is stopped. It is the stop function of its execution.
func (t *task) stopLocked(state taskState) {
	t.timer.Stop()
	t.state = state
}

func (w *Worker) handleTask(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	t := w.tasks[r.PathValue("id")]
	var response taskResponse
	if t != nil {
		response = t.response()
	}
	w.mu.Unlock()
	if t == nil {
		http.Error(rw, "unknown task", http.StatusNotFound)
		return
	}
	writeJSON(rw, http.StatusOK, response)
}

// handleTaskCall returns a handler that applies change to a running task. A call for a task that has ended succeeds
// without effect.
func (w *Worker) handleTaskCall(change func(*Worker, *task)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		t := w.tasks[r.PathValue("id")]
		if t != nil && t.state == taskRunning {
			change(w, t)
		}
		w.mu.Unlock()
		if t == nil {
			http.Error(rw, "unknown task", http.StatusNotFound)
			return
		}
		rw.WriteHeader(http.StatusNoContent)
	}
}

func (w *Worker) stopTaskLocked(t *task) {
	w.endLocked(t.execution)
	t.stopLocked(taskStopped)
}

func (w *Worker) checkpointTaskLocked(t *task) { t.execution.Checkpoints++ }

// throttleTaskLocked doubles the remaining duration of a task. Further calls have no effect.
func (w *Worker) throttleTaskLocked(t *task) {
	if t.execution.Throttled {
		return
	}
	t.execution.Throttled = true
	left := 2 * time.Until(t.end)
	t.end = time.Now().Add(left)
	t.timer.Reset(left)
}

// handleAdoptTask moves a running task to another live lease. It has no effect on a task that has ended.
func (w *Worker) handleAdoptTask(rw http.ResponseWriter, r *http.Request) {
	var req adoptTaskRequest
	if !readJSON(rw, r, &req) {
		return
	}
	w.mu.Lock()
	t := w.tasks[r.PathValue("id")]
	live := w.liveLeaseLocked(req.LeaseID) != nil
	if t != nil && live && t.state == taskRunning && w.liveLeaseLocked(t.execution.LeaseID) != nil {
		t.execution.LeaseID = req.LeaseID
	}
	w.mu.Unlock()
	switch {
	case t == nil:
		http.Error(rw, "unknown task", http.StatusNotFound)
	case !live:
		refuse(rw, r, RefusedLeaseLapsed)
	default:
		rw.WriteHeader(http.StatusNoContent)
	}
}
