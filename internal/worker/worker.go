// Package worker defines the calls of the leader to the agent of an instance, the worker. A worker starts and stops
// tasks, keeps them under one lease, and reports the runs that are in progress or have ended. The adapter implements
// Client.
package worker

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Address is the network address of a worker with the ID of the worker that is expected there.
type Address struct {
	ID      string
	Address string
	// Zone is the worker's availability zone.
	Zone string
	// Incarnation is the one of the worker that an order is meant for; 0 for any. A worker may start again under its ID
	// at the same address, so an order is sent only on a connection on which this incarnation has answered. A renewal
	// reaches any incarnation.
	Incarnation int64
}

// Start is the request to start one run of a task.
type Start struct {
	Task string
	Run  int
	Spec string
	// DeadlineMillis is the end of the worker's lease, on the worker's clock.
	DeadlineMillis int64
	FencingToken   int64
	// Checkpoint is the checkpoint to resume from, or "".
	Checkpoint string
	// Ticket is the permission from the advice service, or "".
	Ticket string
}

// Refusal is the reason for which a worker refused a call.
type Refusal string

// Reasons of refusals.
const (
	RefusedFence  Refusal = "fence"
	RefusedOld    Refusal = "old"
	RefusedLate   Refusal = "late"
	RefusedRoom   Refusal = "room"
	RefusedTicket Refusal = "ticket"
)

// RefusedError reports that a worker refused a call and did not carry it out.
type RefusedError struct {
	Reason Refusal
	// ClockMillis is the worker's clock at the refusal.
	ClockMillis int64
}

func (e *RefusedError) Error() string { return fmt.Sprintf("worker: refused, reason %s", e.Reason) }

var (
	// ErrNotSent means that the call did not reach a worker.
	ErrNotSent = errors.New("worker: not sent")
	// ErrUnknown means that no answer arrived. The call may have been carried out or may still be carried out later.
	ErrUnknown = errors.New("worker: no answer")
	// ErrOtherWorker means that a worker with another ID answers at the address.
	ErrOtherWorker = errors.New("worker: another worker has the address")
	// ErrOtherIncarnation means that an order was not sent, because the worker has started again under its ID.
	ErrOtherIncarnation = errors.New("worker: another incarnation of the worker answers")
	// ErrUnhealthy means that the worker refused the call because it is unhealthy, and did not carry it out.
	ErrUnhealthy = errors.New("worker: unhealthy, nothing was done")
	// ErrInvalid means that the worker does not accept such a call.
	ErrInvalid = errors.New("worker: invalid order")
)

// Running is a run in progress on a worker.
type Running struct {
	Task       string
	Run        int
	Checkpoint string
	// Percent is the progress of the run; for a long-running task 100 means that it has started up and is working.
	Percent int
	// Load is the tail latency of a serving task in milliseconds, and the CPU usage of any other task in thousandths of
	// a core.
	Load int64
}

// EndKind is the way in which a run ended.
type EndKind string

// Kinds of ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	// EndLapsed means that the lease expired.
	EndLapsed EndKind = "lapsed"
	// EndGangMemberEnded means that another member of the gang ended.
	EndGangMemberEnded EndKind = "broken"
	// EndGangTimeout means that the other members of the run's gang did not start in time.
	EndGangTimeout EndKind = "alone"
)

// End is a run that has ended. Numbers increase within one incarnation of a worker.
type End struct {
	Number     int64
	Task       string
	Run        int
	Kind       EndKind
	Checkpoint string
}

// Hold is the request that renews the worker's lease, acknowledges ends and fetches a Report.
type Hold struct {
	FencingToken   int64
	Acknowledged   int64
	DeadlineMillis int64 // 0 leaves the lease as it is
	Wait           time.Duration
	// Seen is the highest number of an end that the leader has seen of Incarnation. A relay of the report may leave out
	// ends up to it.
	Seen, Incarnation int64
	// Detail requests every change of progress and load, even if the report is relayed.
	Detail bool
}

// Report is the answer to a Hold.
type Report struct {
	ClockMillis int64
	// Incarnation changes when the worker restarts; 0 if the worker does not report it.
	Incarnation int64
	Running     []Running
	Ended       []End
	// MoreEnds means that the worker has more ends than it listed in Ended.
	MoreEnds bool
}

// Client calls workers. Every call is bounded by its context, and is not sent any more once MaySend returns an error.
type Client interface {
	// Start returns the worker's clock.
	Start(ctx context.Context, to Address, s Start) (clockMillis int64, err error)
	Stop(ctx context.Context, to Address, task string, run int, token int64) error
	// SetPace limits a run to a percentage of its full speed.
	SetPace(ctx context.Context, to Address, task string, run, percent int, token int64) error
	Hold(ctx context.Context, to Address, h Hold) (Report, error)
}

// Advice lists the workers that may run a step, each with the ticket that a start on it must carry.
type Advice struct {
	Tickets  map[string]string
	Validity time.Duration
}
