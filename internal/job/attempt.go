package job

import (
	"context"
	"errors"
	"fmt"

	"github.com/qmuntal/stateless"

	"pollenlead/internal/admission"
	"pollenlead/internal/platform"
	"pollenlead/internal/record"
	"pollenlead/internal/routing"
	"pollenlead/internal/statemachine"
)

// state is where the work on a job is.
type state string

const (
	stateAdmitting state = "admitting"
	stateClaiming  state = "claiming"
	stateLaunching state = "launching"
	stateAdopting  state = "adopting"
	stateWatching  state = "watching"
	stateStopping  state = "stopping"
	stateFinishing state = "finishing"
	stateEnded     state = "ended"
)

// trigger is what happened in a state.
type trigger string

const (
	onAdmitted trigger = "admitted"
	onClaimed  trigger = "claimed"
	onRunning  trigger = "running"
	onOutcome  trigger = "outcome"
	onGone     trigger = "gone"
	onEnd      trigger = "end"
)

// newMachine returns the transitions of one attempt. An attempt in the log (job_start) ends only through finishing,
// stopping, or by being left to adoption.
func newMachine(initial state) *stateless.StateMachine {
	m := stateless.NewStateMachine(initial)
	m.Configure(stateAdmitting).Permit(onAdmitted, stateClaiming).Permit(onOutcome, stateFinishing).Permit(onEnd, stateEnded)
	m.Configure(stateClaiming).Permit(onClaimed, stateLaunching).Permit(onEnd, stateEnded)
	m.Configure(stateLaunching).Permit(onRunning, stateWatching).Permit(onOutcome, stateFinishing).
		Permit(onGone, stateStopping).Permit(onEnd, stateEnded)
	m.Configure(stateAdopting).Permit(onRunning, stateWatching).Permit(onOutcome, stateFinishing).
		Permit(onGone, stateStopping).Permit(onEnd, stateEnded)
	m.Configure(stateWatching).Permit(onOutcome, stateFinishing).Permit(onGone, stateStopping).Permit(onEnd, stateEnded)
	m.Configure(stateStopping).Permit(onEnd, stateEnded)
	m.Configure(stateFinishing).Permit(onEnd, stateEnded)
	return m
}

// attempt is the work on one job from waiting to the end of one attempt. One goroutine runs it.
type attempt struct {
	r   *Runner
	job statemachine.Job
	// gone ends when the job is no longer an unfinished job of this holder, admitting also at shutdown.
	gone      context.Context
	leave     context.CancelFunc
	admitting context.Context
	avoid     []string
	// waits is guarded by the runner's lock.
	waits bool

	capacity capacity
	observed routing.Observation
	finish   record.JobFinish
	// lease gets the worker lease of an adopted job.
	lease func(context.Context) (string, error)
	// mayRun says that the task may be running at the worker.
	mayRun bool
	// left leaves the capacity in use, because the task may go on until another instance adopts it.
	left bool
}

func (a *attempt) run() {
	initial := stateAdmitting
	if a.job.State == statemachine.JobStarted {
		initial = stateAdopting
	}
	m := newMachine(initial)
	steps := map[state]func() trigger{
		stateAdmitting: a.admit, stateClaiming: a.claim, stateLaunching: a.launch, stateAdopting: a.adopt,
		stateWatching: a.watch, stateStopping: a.stop, stateFinishing: a.commitFinish,
	}
	for {
		current := m.MustState().(state)
		if current == stateEnded {
			break
		}
		if err := m.Fire(steps[current]()); err != nil {
			panic(fmt.Sprintf("job %s: %v", a.job.ID, err)) // a step returned a trigger that its state does not have
		}
	}
	switch {
	case a.capacity.release == nil || a.left:
	case a.mayRun:
		a.capacity.abandon(a.observed)
	default:
		a.capacity.release(a.observed)
	}
}

func (a *attempt) worker() platform.Worker {
	return a.r.c.Worker(a.capacity.instance, a.capacity.address)
}

// taskID names the attempt at the worker, which runs an ID only once.
func (a *attempt) taskID() string { return fmt.Sprintf("%s-%d", a.job.ID, a.job.Attempt) }

func (a *attempt) admit() trigger {
	doc := a.r.c.Document()
	if _, ok := doc.Service(a.job.Service); !ok {
		return a.end(record.OutcomeFailed, "the document no longer has service "+a.job.Service)
	}
	if _, ok := doc.Team(a.job.Team); !ok {
		return a.end(record.OutcomeFailed, "the document no longer has team "+a.job.Team)
	}
	ticket, err := a.r.c.Admission.Admit(a.admitting, admission.Request{
		Team: a.job.Team, Service: a.job.Service, Urgent: a.job.Urgent, Avoid: a.avoid, Background: true,
	})
	if err != nil {
		a.r.delay(a.job.ID)
		return onEnd
	}
	a.capacity = ofTicket(ticket)
	a.r.admitted(a)
	return onAdmitted
}

// claim writes the intent to the log before the worker is asked. An unresolved intent is left to the next scan, which
// finds the job waiting or started.
func (a *attempt) claim() trigger {
	if a.admitting.Err() != nil {
		return onEnd
	}
	a.job.Attempt++
	a.job.Instance = a.capacity.instance
	// It is sent only once: while the log is down, waiting here would keep capacity from synchronous requests.
	outcomes, err := a.r.c.Log.Submit(a.gone, record.Op{JobStart: &record.JobStart{
		Job: a.job.ID, Attempt: a.job.Attempt, Instance: a.job.Instance,
	}})
	if err != nil || len(outcomes) != 1 || !outcomes[0].Accepted {
		a.r.delay(a.job.ID)
		return onEnd
	}
	return onClaimed
}

// launch starts the task. After a lost answer it repeats the start with the same ID while the lease holds.
func (a *attempt) launch() trigger {
	task := platform.Task{
		ID: a.taskID(), LeaseID: a.capacity.leaseID, Service: a.job.Service, RequestID: a.taskID(),
		ContentType: a.job.ContentType, Body: a.job.Body,
	}
	for began := a.r.c.Now(); ; {
		if a.gone.Err() != nil {
			return a.interrupted()
		}
		status, err := call(a.gone, func(ctx context.Context) (platform.TaskStatus, error) {
			return a.worker().StartTask(ctx, task)
		})
		if err == nil {
			return a.judge(status)
		}
		refused := (*platform.RefusedError)(nil)
		if errors.As(err, &refused) {
			return a.refusedBy(refused)
		}
		if errors.Is(err, platform.ErrNoEffect) && !a.mayRun {
			a.observed = routing.ObservedFailure
			return a.retryOrFail("the instance could not be reached: " + err.Error())
		}
		a.mayRun = a.mayRun || !errors.Is(err, platform.ErrNoEffect)
		if a.r.c.Now().Sub(began) > lostAfter {
			return a.lost("no answer to the start of the task")
		}
		sleep(a.gone, retryInterval)
	}
}

func (a *attempt) refusedBy(refused *platform.RefusedError) trigger {
	if refused.Refusal == platform.RefusedLeaving {
		a.observed = routing.ObservedLeaving
	}
	if a.mayRun {
		return a.lost("the start was not answered, and then " + refused.Error())
	}
	a.r.delay(a.job.ID)
	if a.job.Attempt >= maxAttempts {
		return a.end(record.OutcomeFailed, fmt.Sprintf("given up after %d attempts: %v", a.job.Attempt, refused))
	}
	return a.end(record.OutcomeRetry, refused.Error())
}

// watch polls the task until it ends.
func (a *attempt) watch() trigger {
	answered := a.r.c.Now()
	for {
		if !sleep(a.gone, pollInterval) {
			return a.interrupted()
		}
		status, err := call(a.gone, func(ctx context.Context) (platform.TaskStatus, error) {
			return a.worker().Task(ctx, a.taskID())
		})
		switch {
		case errors.Is(err, platform.ErrUnknownTask):
			return a.lost("the instance no longer knows the task")
		case err != nil && a.r.c.Now().Sub(answered) > lostAfter:
			return a.lost("the instance does not answer")
		case err != nil:
		case status.State == platform.TaskRunning:
			answered = a.r.c.Now()
		default:
			return a.judge(status)
		}
	}
}

// call bounds one call to a worker.
func call[T any](ctx context.Context, f func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f(ctx)
}

// interrupted is called when gone has ended: by a cancellation, by the loss of the job, or by the end of the process.
func (a *attempt) interrupted() trigger {
	if job, ok := a.r.c.Source.Job(a.job.ID); ok && job.State == statemachine.JobCancelled {
		return onGone
	}
	a.left = a.r.hard.Err() != nil
	return onEnd
}

// stop ends the task of a cancelled job. The capacity is in use until the worker has confirmed it or the lease is over.
func (a *attempt) stop() trigger {
	for began := a.r.c.Now(); a.r.c.Now().Sub(began) < lostAfter; {
		_, err := call(a.r.hard, func(ctx context.Context) (struct{}, error) {
			return struct{}{}, a.worker().StopTask(ctx, a.taskID())
		})
		if err == nil || errors.Is(err, platform.ErrUnknownTask) {
			// A start that is still under way is possible only if none was answered; the lease is closed then.
			a.mayRun = a.mayRun && err != nil
			break
		}
		if !sleep(a.r.hard, retryInterval) {
			break
		}
	}
	return onEnd
}
