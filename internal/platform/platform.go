// Package platform defines the interfaces of the platform services that pollenlead uses: the append-only log, the
// list of instances and the workers.
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

// ErrNoEffect is wrapped by errors of calls that certainly had no effect: no connection was established, nothing was
// written to it, or the platform refused the call.
var ErrNoEffect = errors.New("the call had no effect")

// ErrOutcomeUnknown is wrapped by errors of calls whose outcome is unknown: the call may have taken effect, but no
// usable response arrived.
var ErrOutcomeUnknown = errors.New("no answer; the call may have taken effect")

// TrimmedError reports a read from an offset whose record the log has already trimmed. First is the oldest offset
// that is still stored.
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

// Batch is the result of Log.Read. First is the oldest offset that is still stored, and Next is the offset that the
// next append is assigned.
type Batch struct {
	First   uint64
	Next    uint64
	Entries []Entry
}

// Log is the platform's append-only log.
type Log interface {
	// Append appends one record and returns its offset. Errors wrap ErrNoEffect or ErrOutcomeUnknown.
	Append(ctx context.Context, data []byte) (offset uint64, err error)
	// Read returns up to limit records, starting at offset from. At the end of the log it waits up to wait for a new
	// record. It returns a *TrimmedError if the record at from was trimmed.
	Read(ctx context.Context, from uint64, limit int, wait time.Duration) (Batch, error)
}

// EntryListing describes an entry instance in the platform's list of instances.
type EntryListing struct {
	ID               string
	Address          string
	AvailabilityZone string
	Phase            record.Phase
}

// Listing is one version of the platform's list of instances. It may lag behind the actual state.
type Listing struct {
	Version uint64
	Workers []record.Instance
	Entries []EntryListing
}

// FleetList reads the platform's list of live and leaving instances. The list may lag behind the actual state.
type FleetList interface {
	List(ctx context.Context) (Listing, error)
}

// Rebooter reboots instances through the platform.
type Rebooter interface {
	// Reboot reboots an instance. It is idempotent per operation ID, so a caller retries a call whose outcome is
	// unknown with the same operation ID. Errors wrap ErrNoEffect or ErrOutcomeUnknown.
	Reboot(ctx context.Context, instance, operationID string) error
}

// Refusal is the reason for which a worker refused a request or task.
type Refusal string

// The reasons for which a worker refuses work.
const (
	RefusedLeaseLapsed     Refusal = "lease_lapsed"
	RefusedSlotsFull       Refusal = "slots_full"
	RefusedConnectionsFull Refusal = "connections_full"
	RefusedLeaving         Refusal = "leaving"
)

// RefusedError reports that a worker refused a request or task, which therefore did not run.
type RefusedError struct {
	Instance string
	Refusal  Refusal
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("instance %s refused the work: %s", e.Instance, e.Refusal)
}

// Is reports whether target is ErrNoEffect: refused work has no effect.
func (e *RefusedError) Is(target error) bool { return target == ErrNoEffect }

// Lease is a newly opened lease at a worker. Now is the reading of the worker's monotonic clock when it opened the
// lease. A worker never uses an ID twice, also not after it has restarted, so that it refuses calls under a lease that it
// opened before.
type Lease struct {
	ID  string
	Now time.Duration
}

// Task is one attempt to run a job on a worker.
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

// The states of a task. TaskLapsed means that the worker stopped the task because its lease expired.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	TaskStopped TaskState = "stopped"
	TaskLapsed  TaskState = "lapsed"
)

// TaskStatus is the state of a task as its worker reports it, with the result once the task is done.
type TaskStatus struct {
	State       TaskState
	Status      int
	ContentType string
	Result      []byte
}

// ErrUnknownTask is returned for a task ID that the worker does not have.
var ErrUnknownTask = errors.New("unknown task")

// Usage is the resource usage that a worker reports. The figures lag behind the actual usage.
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

// Worker is the client of one instance that runs tasks and backend servers. Errors wrap ErrNoEffect if the work
// certainly did not run, and ErrOutcomeUnknown if it may have run.
type Worker interface {
	// OpenLease opens a lease. No work can start under it until RenewLease sets its first expiry.
	OpenLease(ctx context.Context, holder string) (Lease, error)
	// RenewLease extends a lease until a time of the worker's clock and returns the current reading of that clock. An
	// expired lease is refused with RefusedLeaseLapsed.
	RenewLease(ctx context.Context, leaseID string, until time.Duration) (workerNow time.Duration, err error)
	CloseLease(ctx context.Context, leaseID string) error
	// Do sends a synchronous request. The response body is streamed, and the caller must close it. Do takes ownership
	// of req.Header and modifies it.
	Do(ctx context.Context, req ServiceRequest) (*http.Response, error)
	// StartTask starts a task. It is idempotent per task ID: a repeated call starts nothing and returns the task's
	// state.
	StartTask(ctx context.Context, task Task) (TaskStatus, error)
	Task(ctx context.Context, taskID string) (TaskStatus, error)
	StopTask(ctx context.Context, taskID string) error
	CheckpointTask(ctx context.Context, taskID string) error
	ThrottleTask(ctx context.Context, taskID string) error
	// AdoptTask moves a running task to another lease, so that it survives the end of its first one.
	AdoptTask(ctx context.Context, taskID, leaseID string) error
	Usage(ctx context.Context) (Usage, error)
}

// Workers returns clients of workers. maxConnections limits the connections that this process opens to the worker.
type Workers interface {
	Worker(instance, address string, maxConnections int) Worker
}
