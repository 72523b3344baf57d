package job

import (
	"context"
	"errors"
	"fmt"

	"pollenlead/internal/platform"
	"pollenlead/internal/record"
	"pollenlead/internal/routing"
)

// judge turns a worker's answer into the next trigger.
func (a *attempt) judge(status platform.TaskStatus) trigger {
	a.mayRun = status.State == platform.TaskRunning
	switch status.State {
	case platform.TaskRunning:
		return onRunning
	case platform.TaskDone:
		a.observed = routing.ObservedSuccess
		if len(status.Result) > maxResultBytes {
			return a.end(record.OutcomeFailed, fmt.Sprintf("the result has %d bytes; at most %d are kept", len(status.Result), maxResultBytes))
		}
		a.withResult(status)
		return a.end(record.OutcomeSucceeded, "")
	case platform.TaskFailed:
		a.observed = routing.ObservedFailure
		if len(status.Result) <= maxResultBytes {
			a.withResult(status)
		}
		if a.job.NonIdempotent {
			return a.end(record.OutcomeFailed, "the task failed")
		}
		return a.retryOrFail("the task failed")
	default:
		return a.lost("the task was ended on the instance: " + string(status.State))
	}
}

func (a *attempt) withResult(status platform.TaskStatus) {
	a.finish.Status, a.finish.ContentType, a.finish.Result = status.Status, status.ContentType, status.Result
}

// retryOrFail ends an attempt that did not run, or that failed and may be repeated.
func (a *attempt) retryOrFail(reason string) trigger {
	if a.r.failed(a.job, a.capacity.instance) {
		return a.end(record.OutcomeFailed, "given up after repeated failures: "+reason)
	}
	return a.end(record.OutcomeRetry, reason)
}

// lost ends an attempt that may have run and whose result cannot be had.
func (a *attempt) lost(reason string) trigger {
	if a.job.NonIdempotent {
		return a.end(record.OutcomeUnknown, reason)
	}
	if a.observed == routing.ObservedNothing {
		a.observed = routing.ObservedFailure
	}
	return a.retryOrFail(reason)
}

func (a *attempt) end(outcome record.JobOutcome, reason string) trigger {
	a.finish.Outcome, a.finish.Reason = outcome, reason
	if outcome == record.OutcomeRetry {
		a.finish.Status, a.finish.ContentType, a.finish.Result = 0, "", nil
	}
	return onOutcome
}

// commitFinish writes the end of the attempt to the log. The unit and the slot stay in use until then, because the fold
// counts them for the started job.
func (a *attempt) commitFinish() trigger {
	a.finish.Job, a.finish.Attempt = a.job.ID, a.job.Attempt
	if err := a.r.c.submit(a.r.hard, record.Op{JobFinish: &a.finish}); err != nil {
		a.left = a.r.hard.Err() != nil
	}
	return onEnd
}

// adopt takes over a started job: of an ended session, or of this one when the outcome of its job_start was unclear.
func (a *attempt) adopt() trigger {
	a.capacity = capacity{instance: a.job.Instance}
	address, ok := a.r.c.Source.Address(a.job.Instance)
	if !ok {
		return a.lost("the instance of the started attempt is gone")
	}
	a.capacity.address = address
	for began := a.r.c.Now(); ; {
		t, err := a.adoptOnce()
		switch {
		case err == nil:
			return t
		case a.gone.Err() != nil:
			return a.interrupted()
		case errors.Is(err, platform.ErrUnknownTask):
			return a.lost("the instance does not know the task of the earlier holder")
		case a.r.c.Now().Sub(began) > lostAfter:
			return a.lost("the task could not be adopted: " + err.Error())
		}
		sleep(a.gone, retryInterval)
	}
}

func (a *attempt) adoptOnce() (trigger, error) {
	status, err := call(a.gone, func(ctx context.Context) (platform.TaskStatus, error) {
		return a.worker().Task(ctx, a.taskID())
	})
	if err != nil {
		return "", err
	}
	if status.State != platform.TaskRunning {
		return a.judge(status), nil
	}
	if a.capacity.release == nil {
		ticket := a.r.c.AcquireStarted(a.job.Team, a.job.Service, a.job.Instance)
		a.capacity.release, a.capacity.abandon = ticket.Done, ticket.Abandon
		a.mayRun = true
		a.lease = ticket.Lease
	}
	_, err = call(a.gone, func(ctx context.Context) (struct{}, error) {
		leaseID, err := a.lease(ctx)
		if err != nil {
			return struct{}{}, err
		}
		a.capacity.leaseID = leaseID
		return struct{}{}, a.worker().AdoptTask(ctx, a.taskID(), leaseID)
	})
	return onRunning, err
}
