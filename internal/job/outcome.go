package job

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pollenlead/internal/platform"
	"pollenlead/internal/record"
	"pollenlead/internal/routing"
)

// applyStatus evaluates the status of a task and returns the next trigger.
func (a *attempt) applyStatus(status platform.TaskStatus) trigger {
	a.mayBeRunning = status.State == platform.TaskRunning
	switch status.State {
	case platform.TaskRunning:
		return onRunning
	case platform.TaskDone:
		a.observation = routing.ObservedSuccess
		if len(status.Result) > maxResultBytes {
			return a.setOutcome(record.OutcomeFailed,
				fmt.Sprintf("the result has %d bytes; at most %d are kept", len(status.Result), maxResultBytes))
		}
		a.setResult(status)
		return a.setOutcome(record.OutcomeSucceeded, "")
	case platform.TaskFailed:
		a.observation = routing.ObservedFailure
		if len(status.Result) <= maxResultBytes {
			a.setResult(status)
		}
		if a.job.NonIdempotent {
			return a.setOutcome(record.OutcomeFailed, "the task failed")
		}
		return a.retryOrFail("the task failed")
	default:
		return a.endLost("the task was ended on the instance: " + string(status.State))
	}
}

func (a *attempt) setResult(status platform.TaskStatus) {
	a.finish.Status, a.finish.ContentType, a.finish.Result = status.Status, status.ContentType, status.Result
}

// retryOrFail ends an attempt that did not run, or that failed and may be repeated. The job fails if it has reached a
// limit of failures.
func (a *attempt) retryOrFail(reason string) trigger {
	if a.r.recordFailure(a.job, a.capacity.instance) {
		return a.setOutcome(record.OutcomeFailed, "given up after repeated failures: "+reason)
	}
	return a.setOutcome(record.OutcomeRetry, reason)
}

// endLost ends an attempt that may have run and whose result is not available.
func (a *attempt) endLost(reason string) trigger {
	if a.job.NonIdempotent {
		return a.setOutcome(record.OutcomeUnknown, reason)
	}
	if a.observation == routing.ObservedNothing {
		a.observation = routing.ObservedFailure
	}
	return a.retryOrFail(reason)
}

func (a *attempt) setOutcome(outcome record.JobOutcome, reason string) trigger {
	a.finish.Outcome, a.finish.Reason = outcome, reason
	if outcome == record.OutcomeRetry {
		a.finish.Status, a.finish.ContentType, a.finish.Result = 0, "", nil
	}
	return onOutcome
}

// commitFinish records the end of the attempt in the log. The unit and the slot stay in use until then, because the
// state machine counts them for the started job.
func (a *attempt) commitFinish() trigger {
	a.finish.Job, a.finish.Attempt = a.job.ID, a.job.Attempt
	if err := a.r.c.submit(a.r.baseCtx, record.Op{JobFinish: &a.finish}); err != nil {
		a.keepCapacity = a.r.baseCtx.Err() != nil
	}
	return onEnd
}

// adopt takes over a started job of an ended session, or of this session if the outcome of its job_start record was
// unknown.
func (a *attempt) adopt() trigger {
	a.capacity = capacity{instance: a.job.Instance}
	address, ok := a.r.c.Source.Address(a.job.Instance)
	if !ok {
		return a.endLost("the instance of the started attempt is gone")
	}
	a.capacity.address = address
	for began := a.r.c.Now(); ; {
		t, err := a.adoptOnce()
		switch {
		case err == nil:
			return t
		case a.jobCtx.Err() != nil:
			return a.interrupted()
		case errors.Is(err, platform.ErrUnknownTask) && !a.startMayArrive(began):
			return a.endLost("the instance does not know the task of the earlier holder")
		case a.r.c.Now().Sub(began) > lostTimeout:
			return a.endLost("the task could not be adopted: " + err.Error())
		}
		sleep(a.jobCtx, retryInterval)
	}
}

// startMayArrive reports whether the earlier holder may have sent a start that has not reached the worker yet, given
// that the adoption began at the given time. A holder that closes its session leaves its worker leases open, because
// its tasks go on under them.
func (a *attempt) startMayArrive(began time.Time) bool {
	return a.job.Adopted && !a.job.LeaseExpired && a.r.c.Now().Sub(began) < earlierLeaseTimeout
}

func (a *attempt) adoptOnce() (trigger, error) {
	status, err := call(a.jobCtx, func(ctx context.Context) (platform.TaskStatus, error) {
		return a.worker().Task(ctx, a.taskID())
	})
	if err != nil {
		return "", err
	}
	if status.State != platform.TaskRunning {
		return a.applyStatus(status), nil
	}
	if a.capacity.release == nil {
		ticket := a.r.c.AcquireStarted(a.job.Team, a.job.Service, a.job.Instance)
		a.capacity.release, a.capacity.abandon = ticket.Done, ticket.Abandon
		a.mayBeRunning = true
		a.lease = ticket.Lease
	}
	_, err = call(a.jobCtx, func(ctx context.Context) (struct{}, error) {
		leaseID, err := a.lease(ctx)
		if err != nil {
			return struct{}{}, err
		}
		a.capacity.leaseID = leaseID
		return struct{}{}, a.worker().AdoptTask(ctx, a.taskID(), leaseID)
	})
	return onRunning, err
}
