package maintenance

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/config"
	"pollenlead/internal/record"
)

var triggers = []trigger{
	triggerBegin, triggerDrained, triggerOverdue, triggerWithdraw,
	triggerRebooted, triggerReturned, triggerProbed, triggerLost,
}

// TestMachineMatchesStateMachine guards against transitions of the driver that the replicated state machine rejects:
// the driver would submit the same op forever.
func TestMachineMatchesStateMachine(t *testing.T) {
	for _, phase := range []record.LeavePhase{
		record.LeaveCordoned, record.LeaveDraining, record.LeaveCheckpointing, record.LeaveStopping, record.LeaveRebooting,
		record.LeaveProbing, record.LeaveReturned, record.LeaveSkipped, record.LeaveFailed,
	} {
		t.Run(string(phase), func(t *testing.T) {
			is := is.New(t)
			var reached []record.LeavePhase
			for _, next := range triggers {
				op, err := opFor(InstanceProgress{Instance: "i", Phase: phase}, next)
				switch {
				case err != nil:
				case op.LeaveFail != nil:
					is.True(!phase.Final())
					is.True(op.LeaveFail.Reason != "")
				default:
					reached = append(reached, op.LeaveAdvance.Phase)
				}
			}
			slices.Sort(reached)
			is.Equal(slices.Compact(reached), slices.Sorted(slices.Values(phase.Next())))
		})
	}
}

// TestDecide guards against an instance that is stopped while it has work, a reboot that counts as complete before the
// instance was absent, and phases without a time limit.
func TestDecide(t *testing.T) {
	m := config.Maintenance{DrainSeconds: 10, RebootSeconds: 20, ProbeSeconds: 5}
	for _, c := range []struct {
		name     string
		progress InstanceProgress
		seconds  int
		next     trigger
		call     action
	}{
		{
			"a cordoned instance begins to drain",
			InstanceProgress{Phase: record.LeaveCordoned, Live: true, Busy: true}, 0, triggerBegin, actionNone,
		},
		{
			"work may continue for the drain time",
			InstanceProgress{Phase: record.LeaveDraining, Live: true, Busy: true}, 9, "", actionNone,
		},
		{
			"work that has not ended in the drain time is checkpointed",
			InstanceProgress{Phase: record.LeaveDraining, Live: true, Busy: true}, 10, triggerOverdue, actionNone,
		},
		{
			"an instance whose work cannot be moved is skipped",
			InstanceProgress{Phase: record.LeaveCheckpointing, Live: true, Busy: true}, 10, triggerOverdue, actionNone,
		},
		{
			"an idle instance stops",
			InstanceProgress{Phase: record.LeaveDraining, Live: true}, 0, triggerDrained, actionNone,
		},
		{
			"an instance absent from the list may return within the drain time",
			InstanceProgress{Phase: record.LeaveDraining}, 9, "", actionNone,
		},
		{
			"an instance absent for longer than the drain time is lost",
			InstanceProgress{Phase: record.LeaveDraining}, 10, triggerLost, actionNone,
		},
		{
			"an aborted wave withdraws from a draining instance",
			InstanceProgress{Phase: record.LeaveDraining, Live: true, Aborting: true}, 0, triggerWithdraw, actionNone,
		},
		{
			"a stopped instance is rebooted, also in an aborted wave",
			InstanceProgress{Phase: record.LeaveStopping, Live: true, Aborting: true}, 19, triggerRebooted, actionReboot,
		},
		{
			"an instance that the platform does not reboot in time is lost",
			InstanceProgress{Phase: record.LeaveStopping, Live: true}, 20, triggerLost, actionNone,
		},
		{
			"a list that lags does not end a reboot",
			InstanceProgress{Phase: record.LeaveRebooting, Live: true}, 19, "", actionNone,
		},
		{
			"an instance that was absent and is live has returned",
			InstanceProgress{Phase: record.LeaveRebooting, Live: true, Away: true}, 20, triggerReturned, actionNone,
		},
		{
			"an instance that was absent before its reboot may not have rebooted yet",
			InstanceProgress{Phase: record.LeaveRebooting, Live: true, Away: true, AwayBefore: true}, 4, "", actionNone,
		},
		{
			"an instance that was absent before its reboot has returned",
			InstanceProgress{Phase: record.LeaveRebooting, Live: true, Away: true, AwayBefore: true}, 5,
			triggerReturned, actionNone,
		},
		{
			"an instance that does not return is lost",
			InstanceProgress{Phase: record.LeaveRebooting, Away: true}, 20, triggerLost, actionNone,
		},
		{
			"an instance that has returned is probed",
			InstanceProgress{Phase: record.LeaveProbing, Live: true, Away: true}, 4, triggerProbed, actionProbe,
		},
		{
			"an instance that does not answer is lost",
			InstanceProgress{Phase: record.LeaveProbing, Live: true, Away: true}, 5, triggerLost, actionNone,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			next, call := decide(c.progress, m, time.Duration(c.seconds)*time.Second)
			is.Equal(next, c.next)
			is.Equal(call, c.call)
			if next != "" {
				_, err := opFor(c.progress, next)
				is.NoErr(err)
			}
		})
	}
}
