package maintenance

import (
	"context"
	"time"

	"github.com/qmuntal/stateless"

	"pollenlead/internal/config"
	"pollenlead/internal/record"
)

// trigger is an event that moves the maintenance of an instance to another phase.
type trigger string

// The triggers.
const (
	triggerBegin    trigger = "begin"
	triggerDrained  trigger = "drained"
	triggerOverdue  trigger = "overdue"
	triggerWithdraw trigger = "withdraw"
	triggerRebooted trigger = "rebooted"
	triggerReturned trigger = "back"
	triggerProbed   trigger = "probed"
	triggerLost     trigger = "lost"
)

// newMachine returns the state machine of one instance. Its state is *phase, which the caller has copied from the
// applied state. A transition changes only the copy; the driver submits the change as a record.
func newMachine(phase *record.LeavePhase) *stateless.StateMachine {
	m := stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return *phase, nil },
		func(_ context.Context, next stateless.State) error {
			*phase = next.(record.LeavePhase)
			return nil
		},
		stateless.FiringQueued,
	)
	m.Configure(record.LeaveCordoned).
		Permit(triggerBegin, record.LeaveDraining).
		Permit(triggerWithdraw, record.LeaveSkipped).
		Permit(triggerLost, record.LeaveFailed)
	m.Configure(record.LeaveDraining).
		Permit(triggerDrained, record.LeaveStopping).
		Permit(triggerOverdue, record.LeaveCheckpointing).
		Permit(triggerWithdraw, record.LeaveSkipped).
		Permit(triggerLost, record.LeaveFailed)
	m.Configure(record.LeaveCheckpointing).
		Permit(triggerDrained, record.LeaveStopping).
		Permit(triggerOverdue, record.LeaveSkipped).
		Permit(triggerWithdraw, record.LeaveSkipped).
		Permit(triggerLost, record.LeaveFailed)
	m.Configure(record.LeaveStopping).
		Permit(triggerRebooted, record.LeaveRebooting).
		Permit(triggerLost, record.LeaveFailed)
	m.Configure(record.LeaveRebooting).
		Permit(triggerReturned, record.LeaveProbing).
		Permit(triggerLost, record.LeaveFailed)
	m.Configure(record.LeaveProbing).
		Permit(triggerProbed, record.LeaveReturned).
		Permit(triggerLost, record.LeaveFailed)
	return m
}

// InstanceProgress is the maintenance of one instance that is down, as recorded in the applied state.
type InstanceProgress struct {
	Wave     string
	Instance string
	Address  string
	Phase    record.LeavePhase
	// Aborting means that the wave was aborted.
	Aborting bool
	// Live means that the platform's list shows the instance as live. Away means that the instance was absent from the
	// list at some time after it was stopped.
	Live bool
	Away bool
	// AwayBefore means that the instance had been absent when this driver first saw the phase.
	AwayBefore bool
	// Busy means that holders have slots or started jobs of the instance.
	Busy bool
}

// rebootVisibleDelay is the time after which the list shows that an instance is rebooting. The list is read every second
// and lags behind.
const rebootVisibleDelay = 5 * time.Second

// action is a call that the driver makes before the next trigger.
type action int

const (
	actionNone action = iota
	actionReboot
	actionProbe
)

// decide returns the trigger that is due for an instance, or "". If call is not actionNone, the trigger is due only
// after the call has succeeded. elapsed is the time since this driver first saw the phase.
func decide(t InstanceProgress, m config.Maintenance, elapsed time.Duration) (next trigger, call action) {
	switch t.Phase {
	case record.LeaveCordoned, record.LeaveDraining, record.LeaveCheckpointing:
		return decideDrain(t, elapsed >= m.DrainTimeout()), actionNone
	case record.LeaveStopping:
		if elapsed >= m.RebootTimeout() {
			return triggerLost, actionNone
		}
		return triggerRebooted, actionReboot
	case record.LeaveRebooting:
		switch {
		case t.Away && t.Live && (!t.AwayBefore || elapsed >= rebootVisibleDelay):
			// An instance that was absent before may have restarted by itself, and its reboot may still be ahead.
			return triggerReturned, actionNone
		case elapsed >= m.RebootTimeout():
			return triggerLost, actionNone
		}
	case record.LeaveProbing:
		switch {
		case elapsed >= m.ProbeTimeout():
			return triggerLost, actionNone
		case t.Live:
			return triggerProbed, actionProbe
		}
	}
	return "", actionNone
}

func decideDrain(t InstanceProgress, overdue bool) trigger {
	switch {
	case t.Aborting:
		return triggerWithdraw
	case !t.Live && overdue:
		return triggerLost
	case !t.Live:
		// The list may show the instance again. Until then it is not rebooted, since it may just have restarted.
		return ""
	case t.Phase == record.LeaveCordoned:
		return triggerBegin
	case !t.Busy:
		return triggerDrained
	case overdue:
		return triggerOverdue
	}
	return ""
}

// failureReasons are the reasons recorded for an instance that is lost in a phase.
var failureReasons = map[record.LeavePhase]string{
	record.LeaveCordoned:      "it left the list before its drain began",
	record.LeaveDraining:      "it left the list while it drained",
	record.LeaveCheckpointing: "it left the list while its tasks were checkpointed",
	record.LeaveStopping:      "the platform did not take the reboot in time",
	record.LeaveRebooting:     "it was not back from the reboot in time",
	record.LeaveProbing:       "it did not answer the probe in time",
}

// opFor fires the trigger and returns the op that records the resulting phase.
func opFor(t InstanceProgress, next trigger) (record.Op, error) {
	phase := t.Phase
	if err := newMachine(&phase).Fire(next); err != nil {
		return record.Op{}, err
	}
	if phase == record.LeaveFailed {
		return record.Op{LeaveFail: &record.LeaveFail{Instance: t.Instance, Reason: failureReasons[t.Phase]}}, nil
	}
	return record.Op{LeaveAdvance: &record.LeaveAdvance{Instance: t.Instance, Phase: phase}}, nil
}
