// Package worker describes the agent of an instance as the leader uses it: it starts and stops tasks, renews their common
// lease, and lists what runs and what has ended. The adapter implements it.
package worker

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Address says where a worker is and which one is meant there.
type Address struct {
	ID      string
	Address string
	// Zone is the worker's availability zone.
	Zone string
}

// Start orders one run of a task.
type Start struct {
	Task string
	Run  int
	Spec string
	// DeadlineMillis is the end of the worker's lease on the worker's clock.
	DeadlineMillis int64
	FencingToken   int64
	// Checkpoint is where to resume from, or "".
	Checkpoint string
	// Ticket is the advice service's permission, or "".
	Ticket string
}

// Refusal says why a worker refused a start.
type Refusal string

// The reasons of a refusal.
const (
	RefusedFence  Refusal = "fence"
	RefusedOld    Refusal = "old"
	RefusedLate   Refusal = "late"
	RefusedRoom   Refusal = "room"
	RefusedTicket Refusal = "ticket"
)

// RefusedError is a worker's refusal. The worker has not carried out the order.
type RefusedError struct {
	Reason Refusal
	// ClockMillis is the worker's clock at the refusal.
	ClockMillis int64
}

func (e *RefusedError) Error() string { return fmt.Sprintf("worker: refused, reason %s", e.Reason) }

var (
	// ErrNotSent means that the call did not reach a worker.
	ErrNotSent = errors.New("worker: not sent")
	// ErrUnknown means that no answer came: the call may have been carried out, or may be later.
	ErrUnknown = errors.New("worker: no answer")
	// ErrOtherWorker means that another worker has the address.
	ErrOtherWorker = errors.New("worker: another worker has the address")
	// ErrUnhealthy means that the worker refused because it is unhealthy and has done nothing.
	ErrUnhealthy = errors.New("worker: unhealthy, nothing was done")
	// ErrInvalid means that the worker does not accept such an order.
	ErrInvalid = errors.New("worker: invalid order")
)

// Running is a run at work on a worker.
type Running struct {
	Task       string
	Run        int
	Checkpoint string
	// Percent is the progress of the run; for a long-running task 100 means that it is at work.
	Percent int
	// Load is the tail latency in milliseconds of a serving task, and the processor use in thousandths of a core of any other.
	Load int64
}

// EndKind says how a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	// EndLapsed means that the lease expired.
	EndLapsed EndKind = "lapsed"
	// EndBroken means that another member of the gang ended.
	EndBroken EndKind = "broken"
	// EndAlone means that the run waited in vain for the other members of its gang.
	EndAlone EndKind = "alone"
)

// End is a run that has ended. Numbers rise within one incarnation of a worker.
type End struct {
	Number     int64
	Task       string
	Run        int
	Kind       EndKind
	Checkpoint string
}

// Hold renews the worker's lease, acknowledges ends and asks for the present lists.
type Hold struct {
	FencingToken   int64
	Acknowledged   int64
	DeadlineMillis int64 // 0 leaves the lease as it is
	Wait           time.Duration
	// Seen is the highest end of the incarnation that the leader has seen; one that passes the report on may leave out what it has.
	Seen, Incarnation int64
	// Detail asks for every change of progress and load, also where the report is passed on.
	Detail bool
}

// Report is the answer to a Hold.
type Report struct {
	ClockMillis int64
	// Incarnation changes when the worker has started again; 0 if the worker does not say it.
	Incarnation int64
	Running     []Running
	Ended       []End
	// MoreEnds means that the worker has more ends than it has listed.
	MoreEnds bool
}

// Client calls workers. Every call is bounded by its context.
type Client interface {
	// Start returns the worker's clock.
	Start(ctx context.Context, to Address, s Start) (clockMillis int64, err error)
	Stop(ctx context.Context, to Address, task string, run int, token int64) error
	// SetPace lets a run work at a share of its speed, in percent.
	SetPace(ctx context.Context, to Address, task string, run, percent int, token int64) error
	Hold(ctx context.Context, to Address, h Hold) (Report, error)
}

// Advice names the workers that may run a step, with the ticket that a start there has to carry.
type Advice struct {
	Tickets  map[string]string
	Validity time.Duration
}
