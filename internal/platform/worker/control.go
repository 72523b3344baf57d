package worker

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"pollenlead/internal/platform"
)

type openLeaseRequest struct {
	Holder string `json:"holder"`
}

type openLeaseResponse struct {
	LeaseID string `json:"lease_id"`
	NowMS   int64  `json:"now_ms"`
}

type renewLeaseRequest struct {
	UntilMS int64 `json:"until_ms"`
}

type renewLeaseResponse struct {
	NowMS int64 `json:"now_ms"`
}

// OpenLease implements platform.Worker.
func (c *Client) OpenLease(ctx context.Context, holder string) (platform.Lease, error) {
	var response openLeaseResponse
	err := c.call(ctx, "open lease", http.MethodPost, "/leases", openLeaseRequest{Holder: holder}, &response)
	if err != nil {
		return platform.Lease{}, err
	}
	return platform.Lease{ID: response.LeaseID, Now: time.Duration(response.NowMS) * time.Millisecond}, nil
}

// RenewLease implements platform.Worker. The expiry is rounded down to a millisecond, so that the worker never keeps
// the lease for longer than requested.
func (c *Client) RenewLease(ctx context.Context, leaseID string, until time.Duration) (time.Duration, error) {
	path := "/leases/" + url.PathEscape(leaseID) + "/renew"
	var response renewLeaseResponse
	err := c.call(ctx, "renew lease", http.MethodPost, path, renewLeaseRequest{UntilMS: until.Milliseconds()}, &response)
	if err != nil {
		return 0, err
	}
	return time.Duration(response.NowMS) * time.Millisecond, nil
}

// CloseLease implements platform.Worker. The worker stops the work that still runs under the lease.
func (c *Client) CloseLease(ctx context.Context, leaseID string) error {
	return c.call(ctx, "close lease", http.MethodDelete, "/leases/"+url.PathEscape(leaseID), nil, nil)
}

type startTaskRequest struct {
	TaskID      string `json:"task_id"`
	LeaseID     string `json:"lease_id"`
	Service     string `json:"service"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
	RequestID   string `json:"request_id"`
}

type taskResponse struct {
	State       platform.TaskState `json:"state"`
	Status      int                `json:"status"`
	ContentType string             `json:"content_type"`
	Result      []byte             `json:"result"`
}

func (a taskResponse) status() platform.TaskStatus {
	return platform.TaskStatus{State: a.State, Status: a.Status, ContentType: a.ContentType, Result: a.Result}
}

type adoptTaskRequest struct {
	LeaseID string `json:"lease_id"`
}

type usageResponse struct {
	SlotsUsed       int   `json:"slots_used"`
	ConnectionsUsed int   `json:"connections_used"`
	CPUMillis       int64 `json:"cpu_millis"`
	MemoryBytes     int64 `json:"memory_bytes"`
}

// StartTask implements platform.Worker. After ErrOutcomeUnknown the caller may retry with the same task ID.
func (c *Client) StartTask(ctx context.Context, task platform.Task) (platform.TaskStatus, error) {
	req := startTaskRequest{
		TaskID:      task.ID,
		LeaseID:     task.LeaseID,
		Service:     task.Service,
		ContentType: task.ContentType,
		Body:        task.Body,
		RequestID:   task.RequestID,
	}
	var response taskResponse
	if err := c.call(ctx, "start task", http.MethodPost, "/tasks", req, &response); err != nil {
		return platform.TaskStatus{}, err
	}
	return response.status(), nil
}

// Task implements platform.Worker.
func (c *Client) Task(ctx context.Context, taskID string) (platform.TaskStatus, error) {
	var response taskResponse
	if err := c.callTask(ctx, "read task", http.MethodGet, taskID, "", nil, &response); err != nil {
		return platform.TaskStatus{}, err
	}
	return response.status(), nil
}

// StopTask implements platform.Worker.
func (c *Client) StopTask(ctx context.Context, taskID string) error {
	return c.callTask(ctx, "stop task", http.MethodPost, taskID, "/stop", nil, nil)
}

// CheckpointTask implements platform.Worker.
func (c *Client) CheckpointTask(ctx context.Context, taskID string) error {
	return c.callTask(ctx, "checkpoint task", http.MethodPost, taskID, "/checkpoint", nil, nil)
}

// ThrottleTask implements platform.Worker.
func (c *Client) ThrottleTask(ctx context.Context, taskID string) error {
	return c.callTask(ctx, "throttle task", http.MethodPost, taskID, "/throttle", nil, nil)
}

// AdoptTask implements platform.Worker. Adopting a task that has ended has no effect and is not an error.
func (c *Client) AdoptTask(ctx context.Context, taskID, leaseID string) error {
	return c.callTask(ctx, "adopt task", http.MethodPost, taskID, "/adopt", adoptTaskRequest{LeaseID: leaseID}, nil)
}

// Usage implements platform.Worker.
func (c *Client) Usage(ctx context.Context) (platform.Usage, error) {
	var response usageResponse
	if err := c.call(ctx, "read usage", http.MethodGet, "/usage", nil, &response); err != nil {
		return platform.Usage{}, err
	}
	return platform.Usage(response), nil
}
