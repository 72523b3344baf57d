// Package job runs the jobs of one entry instance: it starts, watches, finishes, stops and adopts them.
package job

import (
	"context"
	"errors"
	"time"

	"pollenlead/internal/admission"
	"pollenlead/internal/config"
	"pollenlead/internal/platform"
	"pollenlead/internal/record"
	"pollenlead/internal/routing"
	"pollenlead/internal/statemachine"
)

const (
	// maxWaiting bounds the jobs of one team, service and urgency that wait in admission at the same time, so that they
	// do not crowd out synchronous requests. With one bound for all, a team at its upper limit would block the others.
	maxWaiting = 8
	// maxFailedInstances is the number of different instances on which a job may fail before it ends as failed.
	maxFailedInstances = 3
	// maxFailures bounds the failures of a job in a pool with fewer instances than maxFailedInstances.
	maxFailures = 5
	// maxAttempts bounds all attempts of a job over all its holders. It is higher than maxFailures because refused
	// attempts count too.
	maxAttempts = 50
	// maxResultBytes is the maximum size of a result. Results are stored as records in the log.
	maxResultBytes = 256 << 10
	// pollInterval is the time between two status calls for a running task.
	pollInterval = 500 * time.Millisecond
	// retryInterval is the delay before a call or an attempt is repeated.
	retryInterval = time.Second
	// callTimeout bounds one call to a worker.
	callTimeout = 5 * time.Second
	// lostTimeout is the time without an answer from a worker after which its task counts as lost. It is longer than a
	// worker lease (10 s) with its guard interval, so the task has ended by then unless another process renews the
	// lease.
	lostTimeout = 30 * time.Second
	// earlierLeaseTimeout is the time after the end of a session after which nothing starts under its worker leases: they
	// last no longer than the session lease (10 s), and 2 s allow for different clock rates.
	earlierLeaseTimeout = 12 * time.Second
	// scanInterval is the minimum time between two scans of the applied state. A scan reads all jobs, and records may
	// arrive continuously.
	scanInterval = 200 * time.Millisecond
)

// Source is the runner's view of the applied state.
type Source interface {
	// Jobs returns the unfinished jobs of holder (statemachine.State.JobsOf).
	Jobs(holder string) []statemachine.Job
	Job(id string) (statemachine.Job, bool)
	// Finished returns the IDs of finished jobs that have not been forgotten.
	Finished() []string
	// Claims returns the ended claims of idempotency keys that have not been forgotten.
	Claims() []record.ClaimRef
	// Holders returns the holders of the open sessions.
	Holders() []string
	// Address returns the address of an instance that runs a worker.
	Address(instance string) (address string, ok bool)
	Changed() <-chan struct{}
}

// Submitter appends ops to the log. replica.Committer implements it.
type Submitter interface {
	Submit(ctx context.Context, ops ...record.Op) ([]statemachine.Outcome, error)
}

// Admitter grants jobs the capacity to run. admission.Queue implements it.
type Admitter interface {
	Admit(ctx context.Context, req admission.Request) (*admission.Ticket, error)
}

// Config holds the dependencies of a Runner. All fields are required.
type Config struct {
	// Holder returns the holder of this process's present session.
	Holder    func() string
	Source    Source
	Log       Submitter
	Admission Admitter
	Document  func() *config.Document
	Worker    func(instance, address string) platform.Worker
	// AcquireStarted acquires the unit and the slot of an adopted job, which are already in use.
	AcquireStarted func(team, service, instance string) *admission.Ticket
	Now            func() time.Time
	// NotSent is the error that Log returns if the ops will never take effect.
	NotSent error
}

// submit submits op repeatedly until it has been sent or ctx ends.
func (c *Config) submit(ctx context.Context, op record.Op) error {
	for {
		_, err := c.Log.Submit(ctx, op)
		if !errors.Is(err, c.NotSent) {
			return err
		}
		if !sleep(ctx, retryInterval) {
			return ctx.Err()
		}
	}
}

// sleep waits for d and reports whether it passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// capacity is the unit and the slot that an attempt uses.
type capacity struct {
	instance string
	address  string
	leaseID  string
	// release and abandon are the methods Done and Abandon of admission.Ticket.
	release func(routing.Observation)
	abandon func(routing.Observation)
	// refuseLease is the method LeaseRefused of admission.Ticket.
	refuseLease func(context.Context)
}

func capacityFromTicket(t *admission.Ticket) capacity {
	return capacity{
		instance: t.Instance, address: t.Address, leaseID: t.LeaseID,
		release: t.Done, abandon: t.Abandon, refuseLease: t.LeaseRefused,
	}
}
