// Package job runs the jobs that one entry instance holds: it starts, watches, finishes, stops and adopts them.
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
	// maxWaiting bounds the jobs of one team, service and urgency that wait in admission at a time, so that they do not crowd
	// out synchronous requests. It is not a common bound, because then one team at its upper limit would block the others.
	maxWaiting = 8
	// maxFailedInstances is the number of different instances on which a job fails before it is given up.
	maxFailedInstances = 3
	// maxFailures bounds the failures of a job in a pool that has fewer instances than maxFailedInstances.
	maxFailures = 5
	// maxAttempts bounds all attempts of a job over all its holders. It is higher than maxFailures because refused
	// attempts count too.
	maxAttempts = 50
	// maxResultBytes is the largest result that is kept, because results are records of the log.
	maxResultBytes = 256 << 10
	// pollInterval is the time between two questions about a running task.
	pollInterval = 500 * time.Millisecond
	// retryInterval is the wait before a call or an attempt is repeated.
	retryInterval = time.Second
	// callTimeout bounds one call to a worker.
	callTimeout = 5 * time.Second
	// lostAfter is how long a worker may be silent before its task counts as lost. It is longer than a worker lease (10 s)
	// and its guard, so the task has ended by then unless another process renews the lease.
	lostAfter = 30 * time.Second
	// scanInterval bounds the scans of the folded state while records arrive all the time: a scan reads all jobs.
	scanInterval = 200 * time.Millisecond
)

// Source is what the runner reads of the folded state.
type Source interface {
	// Jobs returns the unfinished jobs of holder (fold.State.JobsOf).
	Jobs(holder string) []statemachine.Job
	Job(id string) (statemachine.Job, bool)
	// Finished returns the IDs of finished jobs that are not forgotten yet.
	Finished() []string
	// Claims returns the ended claims of idempotency keys that are not forgotten yet.
	Claims() []record.ClaimRef
	// Holders returns the open sessions.
	Holders() []string
	// Address returns the address of a worker instance.
	Address(instance string) (address string, ok bool)
	Changed() <-chan struct{}
}

// Submitter appends ops to the log; replica.Committer is one.
type Submitter interface {
	Submit(ctx context.Context, ops ...record.Op) ([]statemachine.Outcome, error)
}

// Admitter gives jobs the right to run; admission.Queue is one.
type Admitter interface {
	Admit(ctx context.Context, req admission.Request) (*admission.Ticket, error)
}

// Config holds what a Runner works with. All fields are required.
type Config struct {
	// Holder returns the holder of the session that this process has now.
	Holder    func() string
	Source    Source
	Log       Submitter
	Admission Admitter
	Document  func() *config.Document
	Worker    func(instance, address string) platform.Worker
	// AcquireStarted takes the unit and the slot of an adopted job, which are in use already.
	AcquireStarted func(team, service, instance string) *admission.Ticket
	Now            func() time.Time
	// NotSent is the error of Log that says that the ops will never take effect.
	NotSent error
}

// submit appends op until it was sent or ctx ends.
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

// sleep reports whether the time passed before ctx ended.
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

// capacity is the unit and the slot of an attempt.
type capacity struct {
	instance string
	address  string
	leaseID  string
	// release and abandon are those of admission.Ticket.
	release func(routing.Observation)
	abandon func(routing.Observation)
}

func ofTicket(t *admission.Ticket) capacity {
	return capacity{instance: t.Instance, address: t.Address, leaseID: t.LeaseID, release: t.Done, abandon: t.Abandon}
}
