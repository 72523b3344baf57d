// Package platform defines what pollenlead uses of the platform: the append-only log, the list of instances, and workers.
package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"pollenlead/internal/record"
)

// ErrNoEffect says that a call certainly had no effect: the connection was refused or the platform refused the call.
var ErrNoEffect = errors.New("the call had no effect")

// ErrOutcomeUnknown says that a call may have taken effect, but its answer did not arrive.
var ErrOutcomeUnknown = errors.New("no answer; the call may have taken effect")

// TrimmedError says that records from the requested offset on are no longer all kept.
type TrimmedError struct {
	First uint64
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("records before offset %d were trimmed", e.First)
}

// Entry is one record of the log with its offset.
type Entry struct {
	Offset uint64
	Data   []byte
}

// Batch is the answer to a read. First is the oldest offset kept, Next the offset that the next append will get.
type Batch struct {
	First   uint64
	Next    uint64
	Entries []Entry
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds one record. Errors wrap ErrNotSent or ErrNoAnswer.
	Append(ctx context.Context, data []byte) (offset uint64, err error)
	// Read returns up to limit records from offset from on. At the end of the log it waits up to wait for a record.
	// It returns a *TrimmedError if from was trimmed.
	Read(ctx context.Context, from uint64, limit int, wait time.Duration) (Batch, error)
}

// EntryListing is an entry instance in the platform's list.
type EntryListing struct {
	ID               string
	Address          string
	AvailabilityZone string
	Phase            record.Phase
}

// Listing is one answer of the platform's list. It may lag behind the truth.
type Listing struct {
	Version uint64
	Workers []record.Instance
	Entries []EntryListing
}

// FleetList is the platform's lagging list of live and leaving instances.
type FleetList interface {
	List(ctx context.Context) (Listing, error)
}

// Maintainer lets the platform maintain instances.
type Maintainer interface {
	// Reboot restarts an instance. Repeating it with the same operation ID restarts nothing again, so a caller that does not
	// know whether its call arrived repeats it. Errors wrap ErrNotSent or ErrNoAnswer.
	Reboot(ctx context.Context, instance, operationID string) error
}

// Refusal is why a worker did not run work.
type Refusal string

// The refusals of a worker.
const (
	RefusedLeaseLapsed     Refusal = "lease_lapsed"
	RefusedSlotsFull       Refusal = "slots_full"
	RefusedConnectionsFull Refusal = "connections_full"
	RefusedLeaving         Refusal = "leaving"
)

// RefusedError says that a worker refused work, so it did not run.
type RefusedError struct {
	Instance string
	Refusal  Refusal
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("instance %s refused the work: %s", e.Instance, e.Refusal)
}

// Is makes a refusal match ErrNotSent.
func (e *RefusedError) Is(target error) bool { return target == ErrNoEffect }

// Lease is a new lease at a worker. Now is the worker's monotonic clock when it opened the lease.
type Lease struct {
	ID  string
	Now time.Duration
}

// Task is a job's attempt on a worker.
type Task struct {
	ID          string
	LeaseID     string
	Service     string
	RequestID   string
	ContentType string
	Body        []byte
}

// TaskState is the state of a task on a worker.
type TaskState string

// The states of a task. A lapsed task was stopped because its lease ran out.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	TaskStopped TaskState = "stopped"
	TaskLapsed  TaskState = "lapsed"
)

// TaskStatus is a worker's answer about a task.
type TaskStatus struct {
	State       TaskState
	Status      int
	ContentType string
	Result      []byte
}

// ErrUnknownTask says that the worker has no task with that ID.
var ErrUnknownTask = errors.New("unknown task")

// Usage is what a worker reports of itself, with a lag.
type Usage struct {
	SlotsUsed       int
	ConnectionsUsed int
	CPUMillis       int64
	MemoryBytes     int64
}

// ServiceRequest is a synchronous request to a backend server. Path is relative to the service and in escaped form.
type ServiceRequest struct {
	Method        string
	Service       string
	Path          string
	Query         string
	Header        http.Header
	Body          io.Reader
	ContentLength int64
	LeaseID       string
	RequestID     string
}

// Worker is one instance that runs tasks and backend servers. Errors wrap ErrNotSent where the work certainly did not
// run, and ErrNoAnswer where it may have run.
type Worker interface {
	// OpenLease opens a lease that runs out at once unless RenewLease extends it.
	OpenLease(ctx context.Context, holder string) (Lease, error)
	// RenewLease sets the expiry of a lease to a time of the worker's clock and returns that clock. An expired lease is
	// refused with RefusedLeaseLapsed.
	RenewLease(ctx context.Context, leaseID string, until time.Duration) (workerNow time.Duration, err error)
	CloseLease(ctx context.Context, leaseID string) error
	// Do sends a synchronous request. The answer's body streams; the caller closes it. Do takes over and changes req.Header.
	Do(ctx context.Context, req ServiceRequest) (*http.Response, error)
	// StartTask starts a task. Repeating it with the same ID runs nothing and returns the task's state.
	StartTask(ctx context.Context, task Task) (TaskStatus, error)
	Task(ctx context.Context, taskID string) (TaskStatus, error)
	StopTask(ctx context.Context, taskID string) error
	CheckpointTask(ctx context.Context, taskID string) error
	ThrottleTask(ctx context.Context, taskID string) error
	// AdoptTask moves a running task to another lease.
	AdoptTask(ctx context.Context, taskID, leaseID string) error
	Usage(ctx context.Context) (Usage, error)
}

// Workers returns the client of a worker. maxConnections bounds the connections that this process opens to it.
type Workers interface {
	Worker(instance, address string, maxConnections int) Worker
}
