package worker

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/platform"
	"pollenlead/standin"
)

// start returns a worker stand-in with one slot, its client, and a lease that ends in an hour.
func start(t *testing.T) (*standin.Worker, platform.Worker, string) {
	t.Helper()
	is := is.New(t)
	w := standin.NewWorker(standin.WorkerConfig{ID: "w-1", Slots: 1, Connections: 4, ClockStart: time.Hour})
	server, err := w.Start()
	is.NoErr(err)
	t.Cleanup(func() { _ = server.Close() })
	c := NewPool(time.Minute).Worker("w-1", server.Address, 4)
	lease, err := c.OpenLease(t.Context(), "entry-1")
	is.NoErr(err)
	is.True(lease.Now >= time.Hour)
	now, err := c.RenewLease(t.Context(), lease.ID, lease.Now+time.Hour)
	is.NoErr(err)
	is.True(now >= lease.Now)
	return w, c, lease.ID
}

func request(leaseID string) platform.ServiceRequest {
	return platform.ServiceRequest{
		Method:        http.MethodPost,
		Service:       "price-check",
		Path:          "/a%2Fb//c",
		Query:         "q=1",
		Header:        http.Header{"Caller-Request-Id": {"c-1"}, "Connection": {"close"}},
		Body:          strings.NewReader("body"),
		ContentLength: 4,
		LeaseID:       leaseID,
		RequestID:     "r-1",
	}
}

func refusalIn(err error) platform.Refusal {
	var refused *platform.RefusedError
	if !errors.As(err, &refused) || !errors.Is(err, platform.ErrNoEffect) || errors.Is(err, platform.ErrOutcomeUnknown) {
		return ""
	}
	return refused.Refusal
}

// Guards against a request that reaches the backend server changed, and against refusals that are not taken as certain.
func TestDo(t *testing.T) {
	is := is.New(t)
	w, c, lease := start(t)
	resp, err := c.Do(t.Context(), request(lease))
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(string(body), "230d8358dc8e8890b4c58deeb62912ee2f20357ae92a5cc861b98e68fe31acb5\n")
	is.Equal(w.Executions()[0].CallerRequestID, "c-1")

	_, err = c.Do(t.Context(), request("unknown"))
	is.Equal(refusalIn(err), platform.RefusedLeaseLapsed)
	w.SetFaults(standin.WorkerFaults{Leaving: true})
	_, err = c.Do(t.Context(), request(lease))
	is.Equal(refusalIn(err), platform.RefusedLeaving)
	is.Equal(len(w.Executions()), 1)
}

// Guards against another request's response reaching a caller, and against a truncated response that looks complete.
func TestDoWrongResponse(t *testing.T) {
	is := is.New(t)
	w, c, lease := start(t)
	w.SetFaults(standin.WorkerFaults{WrongRequestID: true})
	_, err := c.Do(t.Context(), request(lease))
	var wrong *WrongRequestIDError
	is.True(errors.As(err, &wrong))
	is.Equal(wrong.Sent, "r-1")
	is.True(errors.Is(wrong, platform.ErrOutcomeUnknown))
	is.True(errors.Is(err, platform.ErrOutcomeUnknown))
	_, err = c.Do(t.Context(), request("unknown"))
	is.True(errors.As(err, &wrong)) // a refusal of another request says nothing about this one

	w.SetFaults(standin.WorkerFaults{Truncate: true})
	resp, err := c.Do(t.Context(), request(lease))
	is.NoErr(err)
	_, err = io.ReadAll(resp.Body)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	resp.Body.Close()
}

// Guards against a path that leads out of the service to the worker's own interface, and against a path, query or header
// that changes on its way.
func TestDoPath(t *testing.T) {
	is := is.New(t)
	var seen *http.Request
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen = r.Clone(r.Context())
		w.Header().Set("Request-Id", "r-1")
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, `{"error":"stock changed"}`)
	}))
	defer server.Close()
	c := NewPool(0).Worker("w-1", server.Listener.Addr().String(), 1)
	resp, err := c.Do(t.Context(), request("l"))
	is.NoErr(err) // status 409 of the backend server is not a refusal
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(string(body), `{"error":"stock changed"}`)
	is.Equal(seen.RequestURI, "/services/price-check/a%2Fb//c?q=1")
	is.Equal(seen.Header.Get("Lease-Id"), "l")
	is.Equal(seen.Header.Get("Connection"), "")
	is.Equal(seen.Header.Get("Accept-Encoding"), "")
	for _, path := range []string{"../../leases", "a/%2e%2e/b", "a%2F..%2Fb"} {
		req := request("l")
		req.Path = path
		_, err := c.Do(t.Context(), req)
		is.True(errors.Is(err, platform.ErrNoEffect))
		is.True(errors.Is(err, errDotSegment))
	}
}

// Guards against lease and task calls whose answers are misread: an expired lease, a repeated start, a task that is not
// known, a task that was adopted.
func TestControlCalls(t *testing.T) {
	is := is.New(t)
	_, c, first := start(t)
	second, err := c.OpenLease(t.Context(), "entry-2")
	is.NoErr(err)
	is.Equal(refusalIn(c.AdoptTask(t.Context(), "t-1", second.ID)), platform.Refusal(""))
	is.True(errors.Is(c.AdoptTask(t.Context(), "t-1", second.ID), platform.ErrUnknownTask))

	task := platform.Task{ID: "t-1", LeaseID: first, RequestID: "r-1", Body: []byte(`{"work_ms":3600000}`)}
	for range 2 {
		status, err := c.StartTask(t.Context(), task)
		is.NoErr(err)
		is.Equal(status, platform.TaskStatus{State: platform.TaskRunning})
	}
	_, err = c.StartTask(t.Context(), platform.Task{ID: "t-2", LeaseID: first})
	is.Equal(refusalIn(err), platform.RefusedSlotsFull)
	usage, err := c.Usage(t.Context())
	is.NoErr(err)
	is.Equal(usage.SlotsUsed, 1)

	is.Equal(refusalIn(c.AdoptTask(t.Context(), "t-1", second.ID)), platform.RefusedLeaseLapsed)
	_, err = c.RenewLease(t.Context(), second.ID, second.Now+time.Hour)
	is.NoErr(err)
	is.NoErr(c.AdoptTask(t.Context(), "t-1", second.ID))
	is.NoErr(c.CloseLease(t.Context(), first))
	is.NoErr(c.CheckpointTask(t.Context(), "t-1"))
	is.NoErr(c.ThrottleTask(t.Context(), "t-1"))
	status, err := c.Task(t.Context(), "t-1")
	is.NoErr(err)
	is.Equal(status.State, platform.TaskRunning)
	is.NoErr(c.StopTask(t.Context(), "t-1"))
	status, err = c.Task(t.Context(), "t-1")
	is.NoErr(err)
	is.Equal(status.State, platform.TaskStopped)

	_, err = c.RenewLease(t.Context(), first, 100*time.Hour)
	is.Equal(refusalIn(err), platform.RefusedLeaseLapsed)
	_, err = c.Task(t.Context(), "t-9")
	is.True(errors.Is(err, platform.ErrUnknownTask))
}

// Guards against a client per call, which would open connections without bound, and a limit that cannot change.
func TestPool(t *testing.T) {
	is := is.New(t)
	p := NewPool(0)
	c := p.Worker("w-1", "127.0.0.1:1", 8).(*Client)
	before := c.transport.Load()
	is.True(p.Worker("w-1", "127.0.0.1:1", 8) == platform.Worker(c))
	is.True(c.transport.Load() == before)
	is.True(p.Worker("w-1", "127.0.0.1:1", 16) == platform.Worker(c))
	is.Equal(c.transport.Load().MaxConnsPerHost, 16)
	is.True(p.Worker("w-1", "127.0.0.1:2", 8) != platform.Worker(c))
	p.Retain(func(_, address string) bool { return address == "127.0.0.1:2" })
	is.Equal(len(p.clients), 1)
}
