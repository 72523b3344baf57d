package standin

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const hour = time.Hour

// startWorker starts a worker on the loopback interface and returns it with its URL.
func startWorker(t *testing.T, config WorkerConfig) (*Worker, string) {
	t.Helper()
	w := NewWorker(config)
	server, err := w.Start()
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = server.Close() })
	return w, server.URL
}

// openLease opens a lease that expires in an hour and returns its ID.
func openLease(t *testing.T, w *Worker, url string) string {
	t.Helper()
	is := is.New(t)
	var opened openLeaseResponse
	is.Equal(call(t, "POST", url+"/leases", openLeaseRequest{Holder: "entry-1"}, &opened), http.StatusOK)
	renewal := renewLeaseRequest{UntilMS: (w.Now() + hour).Milliseconds()}
	is.Equal(call(t, "POST", url+"/leases/"+opened.LeaseID+"/renew", renewal, nil), http.StatusOK)
	return opened.LeaseID
}

// expire makes a lease expire, as if the worker's clock had reached its expiry.
func expire(w *Worker, leaseID string) {
	w.mu.Lock()
	w.leases[leaseID].until = 0
	w.mu.Unlock()
	w.expireIfDue(leaseID)
}

// request returns a synchronous request under a lease.
func request(url, leaseID, body string, header map[string]string) *http.Request {
	r, _ := http.NewRequest("POST", url+"/services/echo/path", strings.NewReader(body))
	r.Header.Set("Lease-Id", leaseID)
	r.Header.Set("Request-Id", "r-1")
	for name, value := range header {
		r.Header.Set(name, value)
	}
	return r
}

func runningTasks(w *Worker) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

// Guards against work under a lease that was never renewed, has expired or is unknown, and against a renewal that
// revives an expired lease or moves an expiry back.
func TestWorkerLease(t *testing.T) {
	is := is.New(t)
	w, url := startWorker(t, WorkerConfig{ID: "w-1", Slots: 8, ClockStart: hour})
	start := func(leaseID string) (refusal refusalResponse) {
		task := startTaskRequest{TaskID: "t-" + leaseID, LeaseID: leaseID}
		is.Equal(call(t, "POST", url+"/tasks", task, &refusal), http.StatusConflict)
		return refusal
	}
	lapsed := refusalResponse{Refused: RefusedLeaseLapsed}
	var opened openLeaseResponse
	call(t, "POST", url+"/leases", openLeaseRequest{Holder: "entry-1"}, &opened)
	is.Equal(start(opened.LeaseID), lapsed) // no renewal yet
	is.Equal(start("unknown"), lapsed)

	renew := "/renew"
	early := renewLeaseRequest{UntilMS: opened.NowMS}
	// The renewal arrives after the expiry that it requests.
	is.Equal(call(t, "POST", url+"/leases/"+opened.LeaseID+renew, early, nil), http.StatusConflict)

	id := openLease(t, w, url)
	is.Equal(call(t, "POST", url+"/leases/"+id+renew, early, nil), http.StatusOK)
	is.True(w.leases[id].until >= 2*hour-time.Second) // the expiry did not move back
	expire(w, id)
	later := renewLeaseRequest{UntilMS: (w.Now() + hour).Milliseconds()}
	is.Equal(call(t, "POST", url+"/leases/"+id+renew, later, nil), http.StatusConflict)
	is.Equal(start(id), lapsed)

	call(t, "POST", url+"/leases", openLeaseRequest{Holder: "entry-1"}, &opened)
	w.mu.Lock()
	w.leases[opened.LeaseID].opened -= firstRenewalTimeout
	w.mu.Unlock()
	// The first renewal comes after the timeout.
	is.Equal(call(t, "POST", url+"/leases/"+opened.LeaseID+renew, later, nil), http.StatusConflict)
}

// Guards against a call under a lease of a worker's former life that takes effect in its next life, which has the same ID
// and address: a renewal by a time of the former clock, the start of a task, and a synchronous request.
func TestNextLifeRefusesTheFormerLease(t *testing.T) {
	is := is.New(t)
	former, formerURL := startWorker(t, WorkerConfig{ID: "w-1", Slots: 2, ClockStart: hour})
	lease := openLease(t, former, formerURL)
	next, url := startWorker(t, WorkerConfig{ID: "w-1", Slots: 2})
	is.True(openLease(t, next, url) != lease)
	renewal := renewLeaseRequest{UntilMS: (former.Now() + hour).Milliseconds()}
	is.Equal(call(t, "POST", url+"/leases/"+lease+"/renew", renewal, nil), http.StatusConflict)
	start := startTaskRequest{TaskID: "job-1", LeaseID: lease}
	is.Equal(call(t, "POST", url+"/tasks", start, nil), http.StatusConflict)
	resp, err := http.DefaultClient.Do(request(url, lease, "body", nil))
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusConflict)
	is.Equal(len(next.Executions()), 0)
}

// Guards against a lease that does not expire while the worker receives no calls.
func TestWorkerLeaseEndsByItself(t *testing.T) {
	w, url := startWorker(t, WorkerConfig{ID: "w-1", Slots: 8})
	id := openLease(t, w, url)
	w.mu.Lock()
	l := w.leases[id]
	l.until = 0
	l.expiry.Reset(time.Millisecond)
	w.mu.Unlock()
	waitUntil(func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.leases[id] == nil
	})
}

// Guards against work that continues after its lease has expired, when its units may already be granted to another
// holder.
func TestWorkerStopsWorkOfExpiredLease(t *testing.T) {
	is := is.New(t)
	observer := NewObserver()
	w, url := startWorker(t, WorkerConfig{ID: "w-1", Slots: 8, Observer: observer})
	id := openLease(t, w, url)
	body := []byte(`{"work_ms":3600000,"caller_request_id":"c-2","team":"counter"}`)
	is.Equal(call(t, "POST", url+"/tasks", startTaskRequest{TaskID: "t-1", LeaseID: id, Body: body}, nil), http.StatusOK)
	failed := make(chan error)
	go func() {
		header := map[string]string{"Work-Ms": "3600000", "Team": "counter", "Caller-Request-Id": "c-1"}
		_, err := http.DefaultClient.Do(request(url, id, "", header))
		failed <- err
	}()
	waitUntil(func() bool { return observer.Running("counter") == 2 })
	expire(w, id)
	is.Equal(observer.Running("counter"), 0)
	is.True(<-failed != nil)
	var task taskResponse
	call(t, "GET", url+"/tasks/t-1", nil, &task)
	is.Equal(task.State, taskLapsed)
	is.Equal(observer.MaxRunning(), map[string]int{"counter": 2})
	is.Equal(observer.AllExecutions(), map[string]int{"c-1": 1, "c-2": 1})
}

// Guards against a task that runs twice because its start was repeated, and against an adopted task that is stopped
// when its first lease is closed.
func TestWorkerTask(t *testing.T) {
	is := is.New(t)
	w, url := startWorker(t, WorkerConfig{ID: "w-1", Slots: 1})
	first, second := openLease(t, w, url), openLease(t, w, url)
	start := startTaskRequest{TaskID: "t-1", LeaseID: first, Body: []byte(`{"work_ms":3600000}`)}
	var task taskResponse
	is.Equal(call(t, "POST", url+"/tasks", start, &task), http.StatusOK)
	is.Equal(task, taskResponse{State: taskRunning})
	is.Equal(call(t, "POST", url+"/tasks", start, nil), http.StatusOK)
	var refusal refusalResponse
	is.Equal(call(t, "POST", url+"/tasks", startTaskRequest{TaskID: "t-2", LeaseID: first}, &refusal), http.StatusConflict)
	is.Equal(refusal.Refused, RefusedSlotsFull)

	is.Equal(call(t, "POST", url+"/tasks/t-1/adopt", adoptTaskRequest{LeaseID: "unknown"}, nil), http.StatusConflict)
	is.Equal(call(t, "POST", url+"/tasks/t-1/adopt", adoptTaskRequest{LeaseID: second}, nil), http.StatusNoContent)
	is.Equal(call(t, "DELETE", url+"/leases/"+first, nil, nil), http.StatusNoContent)
	is.Equal(runningTasks(w), 1)
	is.Equal(call(t, "POST", url+"/tasks/t-1/checkpoint", nil, nil), http.StatusNoContent)
	is.Equal(call(t, "POST", url+"/tasks/t-1/throttle", nil, nil), http.StatusNoContent)
	is.Equal(call(t, "POST", url+"/tasks/t-1/stop", nil, nil), http.StatusNoContent)
	call(t, "GET", url+"/tasks/t-1", nil, &task)
	is.Equal(task.State, taskStopped)

	is.Equal(call(t, "POST", url+"/tasks", startTaskRequest{TaskID: "t-3", LeaseID: second}, nil), http.StatusOK)
	waitUntil(func() bool { return runningTasks(w) == 0 })
	call(t, "GET", url+"/tasks/t-3", nil, &task)
	is.Equal(task.State, taskDone)
	is.Equal(string(task.Result), "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855")
	all := w.Executions()
	is.Equal(len(all), 2)
	is.Equal(all[0].Checkpoints, 1)
	is.True(all[0].Throttled && !all[0].End.IsZero())
	is.Equal(w.MaxSlotsUsed(), 1)

	call(t, "PUT", url+"/faults", WorkerFaults{Leaving: true}, nil)
	call(t, "POST", url+"/tasks", startTaskRequest{TaskID: "t-4", LeaseID: second}, &refusal)
	is.Equal(refusal.Refused, RefusedLeaving)
}

// Guards against a response with wrong contents, and against a fault after which the response appears complete.
func TestWorkerService(t *testing.T) {
	is := is.New(t)
	w, url := startWorker(t, WorkerConfig{ID: "w-1", Slots: 1})
	id := openLease(t, w, url)
	do := func() (*http.Response, string, error) {
		resp, err := http.DefaultClient.Do(request(url, id, "body", map[string]string{"Answer-Bytes": "100000"}))
		is.NoErr(err)
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		return resp, string(text), err
	}
	resp, text, err := do()
	is.NoErr(err)
	is.Equal(resp.Header.Get("Request-Id"), "r-1")
	is.Equal(text[:66], "230d8358dc8e8890b4c58deeb62912ee2f20357ae92a5cc861b98e68fe31acb5\nx")
	is.Equal(len(text), 65+100000)
	is.Equal(runningTasks(w), 0) // the slot is free when the client has received the response

	w.SetFaults(WorkerFaults{Truncate: true})
	_, _, err = do()
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	w.SetFaults(WorkerFaults{WrongRequestID: true})
	resp, _, _ = do()
	is.True(resp.Header.Get("Request-Id") != "r-1")
	w.SetFaults(WorkerFaults{FailAll: true})
	resp, _, _ = do()
	is.Equal(resp.StatusCode, http.StatusInternalServerError)
	is.Equal(len(w.Executions()), 4)
}

// Guards against a paused worker that responds or starts work.
func TestWorkerPause(t *testing.T) {
	is := is.New(t)
	w, url := startWorker(t, WorkerConfig{ID: "w-1", Slots: 1})
	id := openLease(t, w, url)
	call(t, "PUT", url+"/faults", WorkerFaults{Pause: true}, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := http.DefaultClient.Do(request(url, id, "", nil).WithContext(ctx))
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.Equal(len(w.Executions()), 0)
	call(t, "PUT", url+"/faults", WorkerFaults{}, nil)
	resp, err := http.DefaultClient.Do(request(url, id, "", nil))
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
}

// Guards against a worker that serves more connections than its limit or counts closed ones.
func TestWorkerConnections(t *testing.T) {
	is := is.New(t)
	w, url := startWorker(t, WorkerConfig{ID: "w-1", Slots: 1, Connections: 1})
	held, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	is.NoErr(err)
	waitUntil(func() bool { return w.OpenConnections() == 1 })
	client := &http.Client{Transport: &http.Transport{}}
	resp, err := client.Do(request(url, "any", "", nil))
	is.NoErr(err)
	text, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusConflict)
	is.Equal(strings.TrimSpace(string(text)), `{"refused":"connections_full"}`)
	is.Equal(w.MaxOpenConnections(), 1)
	is.Equal(w.RefusedConnections(), 1)
	is.NoErr(held.Close())
	waitUntil(func() bool { return w.OpenConnections() == 0 })
	openLease(t, w, url) // not refused
}

// Guards against usage that is reported before its lag has passed.
func TestWorkerUsageLag(t *testing.T) {
	is := is.New(t)
	w, url := startWorker(t, WorkerConfig{ID: "w-1", Slots: 1, UsageLag: hour})
	id := openLease(t, w, url)
	start := startTaskRequest{TaskID: "t-1", LeaseID: id, Body: []byte(`{"work_ms":3600000}`)}
	is.Equal(call(t, "POST", url+"/tasks", start, nil), http.StatusOK)
	var usage usageResponse
	call(t, "GET", url+"/usage", nil, &usage)
	is.Equal(usage.SlotsUsed, 0)
	w.mu.Lock()
	w.config.UsageLag = 0
	w.mu.Unlock()
	call(t, "GET", url+"/usage", nil, &usage)
	is.Equal(usage.SlotsUsed, 1)
}
