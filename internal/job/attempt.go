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

// state is the state of an attempt.
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

// trigger is an event that moves an attempt to another state.
type trigger string

const (
	onAdmitted trigger = "admitted"
	onClaimed  trigger = "claimed"
	onRunning  trigger = "running"
	onOutcome  trigger = "outcome"
	onGone     trigger = "gone" // the job was cancelled
	onEnd      trigger = "end"
)

// newMachine returns the state machine of one attempt. An attempt that is in the log (job_start) ends only by
// finishing, by stopping, or by being left for adoption by another entry instance.
func newMachine(initial state) *stateless.StateMachine {
	m := stateless.NewStateMachine(initial)
	m.Configure(stateAdmitting).Permit(onAdmitted, stateClaiming).Permit(onOutcome, stateFinishing).
		Permit(onEnd, stateEnded)
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

// attempt processes one job from waiting to the end of one attempt. One goroutine runs it.
type attempt struct {
	r   *Runner
	job statemachine.Job
	// jobCtx ends when the job is no longer an unfinished job of this holder; admitCtx ends then and also at shutdown.
	jobCtx    context.Context
	cancelJob context.CancelFunc
	admitCtx  context.Context
	avoid     []string
	// inAdmission means that the attempt counts in Runner.waiting. It is guarded by the runner's lock.
	inAdmission bool

	capacity    capacity
	observation routing.Observation
	finish      record.JobFinish
	// lease returns the ID of the worker lease of an adopted job.
	lease func(context.Context) (string, error)
	// mayBeRunning means that the task may be running at the worker.
	mayBeRunning bool
	// keepCapacity leaves the capacity in use at the end, because the task may continue until another entry instance
	// adopts it.
	keepCapacity bool
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
			panic(fmt.Sprintf("job %s: %v", a.job.ID, err)) // bug: a step returned a trigger that its state does not permit
		}
	}
	switch {
	case a.capacity.release == nil || a.keepCapacity:
	case a.mayBeRunning:
		a.capacity.abandon(a.observation)
	default:
		a.capacity.release(a.observation)
	}
}

func (a *attempt) worker() platform.Worker {
	return a.r.c.Worker(a.capacity.instance, a.capacity.address)
}

// taskID returns the ID of the attempt's task. A worker runs each ID at most once.
func (a *attempt) taskID() string { return fmt.Sprintf("%s-%d", a.job.ID, a.job.Attempt) }

func (a *attempt) admit() trigger {
	doc := a.r.c.Document()
	if _, ok := doc.Service(a.job.Service); !ok {
		return a.setOutcome(record.OutcomeFailed, "the document no longer has service "+a.job.Service)
	}
	if _, ok := doc.Team(a.job.Team); !ok {
		return a.setOutcome(record.OutcomeFailed, "the document no longer has team "+a.job.Team)
	}
	ticket, err := a.r.c.Admission.Admit(a.admitCtx, admission.Request{
		Team: a.job.Team, Service: a.job.Service, Urgent: a.job.Urgent, Avoid: a.avoid, Background: true,
	})
	if err != nil {
		a.r.delayRetry(a.job.ID)
		return onEnd
	}
	a.capacity = capacityFromTicket(ticket)
	a.r.leaveAdmission(a)
	return onAdmitted
}

// claim records the intent to start in the log before the worker is called. If the outcome of the submit is unknown,
// the next scan finds the job either waiting or started.
func (a *attempt) claim() trigger {
	if a.admitCtx.Err() != nil {
		return onEnd
	}
	a.job.Attempt++
	a.job.Instance = a.capacity.instance
	// The op is submitted only once: repeating it while the log is unavailable would withhold capacity from synchronous
	// requests.
	outcomes, err := a.r.c.Log.Submit(a.jobCtx, record.Op{JobStart: &record.JobStart{
		Job: a.job.ID, Attempt: a.job.Attempt, Instance: a.job.Instance,
	}})
	if err != nil || len(outcomes) != 1 || !outcomes[0].Accepted {
		a.r.delayRetry(a.job.ID)
		return onEnd
	}
	return onClaimed
}

// launch starts the task. After a lost answer it repeats the start with the same task ID until the worker answers or
// lostTimeout has passed.
func (a *attempt) launch() trigger {
	task := platform.Task{
		ID: a.taskID(), LeaseID: a.capacity.leaseID, Service: a.job.Service, RequestID: a.taskID(),
		ContentType: a.job.ContentType, Body: a.job.Body,
	}
	for began := a.r.c.Now(); ; {
		if a.jobCtx.Err() != nil {
			return a.interrupted()
		}
		status, err := call(a.jobCtx, func(ctx context.Context) (platform.TaskStatus, error) {
			return a.worker().StartTask(ctx, task)
		})
		if err == nil {
			return a.applyStatus(status)
		}
		refused := (*platform.RefusedError)(nil)
		if errors.As(err, &refused) {
			return a.handleRefusal(refused)
		}
		if errors.Is(err, platform.ErrNoEffect) && !a.mayBeRunning {
			a.observation = routing.ObservedFailure
			return a.retryOrFail("the instance could not be reached: " + err.Error())
		}
		a.mayBeRunning = a.mayBeRunning || !errors.Is(err, platform.ErrNoEffect)
		if a.r.c.Now().Sub(began) > lostTimeout {
			return a.endLost("no answer to the start of the task")
		}
		sleep(a.jobCtx, retryInterval)
	}
}

func (a *attempt) handleRefusal(refused *platform.RefusedError) trigger {
	switch refused.Refusal {
	case platform.RefusedLeaving:
		a.observation = routing.ObservedLeaving
	case platform.RefusedLeaseLapsed:
		a.capacity.refuseLease(a.jobCtx)
	}
	if a.mayBeRunning {
		return a.endLost("the start was not answered, and then " + refused.Error())
	}
	a.r.delayRetry(a.job.ID)
	if a.job.Attempt >= maxAttempts {
		return a.setOutcome(record.OutcomeFailed, fmt.Sprintf("given up after %d attempts: %v", a.job.Attempt, refused))
	}
	return a.setOutcome(record.OutcomeRetry, refused.Error())
}

// watch polls the task until it ends.
func (a *attempt) watch() trigger {
	answered := a.r.c.Now()
	for {
		if !sleep(a.jobCtx, pollInterval) {
			return a.interrupted()
		}
		status, err := call(a.jobCtx, func(ctx context.Context) (platform.TaskStatus, error) {
			return a.worker().Task(ctx, a.taskID())
		})
		switch {
		case errors.Is(err, platform.ErrUnknownTask):
			return a.endLost("the instance no longer knows the task")
		case err != nil && a.r.c.Now().Sub(answered) > lostTimeout:
			return a.endLost("the instance does not answer")
		case err != nil:
		case status.State == platform.TaskRunning:
			answered = a.r.c.Now()
		default:
			return a.applyStatus(status)
		}
	}
}

// call runs f with a context that is bounded by callTimeout.
func call[T any](ctx context.Context, f func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f(ctx)
}

// interrupted handles the end of jobCtx, which is caused by a cancellation, the loss of the job, or the end of the
// process.
func (a *attempt) interrupted() trigger {
	if job, ok := a.r.c.Source.Job(a.job.ID); ok && job.State == statemachine.JobCancelled {
		return onGone
	}
	a.keepCapacity = a.r.baseCtx.Err() != nil
	return onEnd
}

// stop ends the task of a cancelled job. The capacity stays in use until the worker has confirmed the stop or the lease
// has expired.
func (a *attempt) stop() trigger {
	for began := a.r.c.Now(); a.r.c.Now().Sub(began) < lostTimeout; {
		_, err := call(a.r.baseCtx, func(ctx context.Context) (struct{}, error) {
			return struct{}{}, a.worker().StopTask(ctx, a.taskID())
		})
		unknown := errors.Is(err, platform.ErrUnknownTask)
		// The stop of an adopted task is repeated while the start of the earlier holder may arrive after it.
		if err == nil || unknown && (a.mayBeRunning || !a.startMayArrive(began)) {
			// ErrUnknownTask does not rule out a start that is still in transit, if no start was answered. mayBeRunning
			// then stays set, and the capacity is abandoned, which closes the lease, instead of released.
			a.mayBeRunning = a.mayBeRunning && err != nil
			break
		}
		if !sleep(a.r.baseCtx, retryInterval) {
			break
		}
	}
	return onEnd
}
