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
	triggerBegin, triggerDrained, triggerOverdue, triggerWithdraw, triggerRebooted, triggerBack, triggerProbed, triggerLost,
}

// Guards against a driver whose transitions are not those that the fold accepts: it would propose the same rejected op for ever.
func TestMachineMatchesTheFold(t *testing.T) {
	for _, phase := range []record.LeavePhase{
		record.LeaveCordoned, record.LeaveDraining, record.LeaveCheckpointing, record.LeaveStopping, record.LeaveRebooting,
		record.LeaveProbing, record.LeaveReturned, record.LeaveSkipped, record.LeaveFailed,
	} {
		t.Run(string(phase), func(t *testing.T) {
			is := is.New(t)
			var reached []record.LeavePhase
			for _, next := range triggers {
				op, err := opFor(Turn{Instance: "i", Phase: phase}, next)
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

// Guards against a stop under work, a reboot that counts as done before the instance was away, and waits without an end.
func TestDecide(t *testing.T) {
	m := config.Maintenance{DrainSeconds: 10, RebootSeconds: 20, ProbeSeconds: 5}
	for _, c := range []struct {
		sentence string
		turn     Turn
		seconds  int
		next     trigger
		call     action
	}{
		{"a cordoned instance begins to drain", Turn{Phase: record.LeaveCordoned, Live: true, Busy: true}, 0, triggerBegin, actionNone},
		{"work has the drain time to end", Turn{Phase: record.LeaveDraining, Live: true, Busy: true}, 9, "", actionNone},
		{"work that has not ended is checkpointed", Turn{Phase: record.LeaveDraining, Live: true, Busy: true}, 10, triggerOverdue, actionNone},
		{"work that cannot be moved makes the instance be skipped", Turn{Phase: record.LeaveCheckpointing, Live: true, Busy: true}, 10, triggerOverdue, actionNone},
		{"an idle instance stops", Turn{Phase: record.LeaveDraining, Live: true}, 0, triggerDrained, actionNone},
		{"an instance that left the list is waited for", Turn{Phase: record.LeaveDraining}, 9, "", actionNone},
		{"an instance that stays away while it drains is lost", Turn{Phase: record.LeaveDraining}, 10, triggerLost, actionNone},
		{"an aborted wave gives a draining instance back", Turn{Phase: record.LeaveDraining, Live: true, Aborting: true}, 0, triggerWithdraw, actionNone},
		{"a stopped instance is rebooted, also in an aborted wave", Turn{Phase: record.LeaveStopping, Live: true, Aborting: true}, 19, triggerRebooted, actionReboot},
		{"a platform that does not reboot is not waited for", Turn{Phase: record.LeaveStopping, Live: true}, 20, triggerLost, actionNone},
		{"a lagging list does not end a reboot", Turn{Phase: record.LeaveRebooting, Live: true}, 19, "", actionNone},
		{"an instance that was away and is live is back", Turn{Phase: record.LeaveRebooting, Live: true, Away: true}, 20, triggerBack, actionNone},
		{"an instance that does not return is lost", Turn{Phase: record.LeaveRebooting, Away: true}, 20, triggerLost, actionNone},
		{"an instance that is back is probed", Turn{Phase: record.LeaveProbing, Live: true, Away: true}, 4, triggerProbed, actionProbe},
		{"an instance that does not answer is lost", Turn{Phase: record.LeaveProbing, Live: true, Away: true}, 5, triggerLost, actionNone},
	} {
		t.Run(c.sentence, func(t *testing.T) {
			is := is.New(t)
			next, call := decide(c.turn, m, time.Duration(c.seconds)*time.Second)
			is.Equal(next, c.next)
			is.Equal(call, c.call)
			if next != "" {
				_, err := opFor(c.turn, next)
				is.NoErr(err)
			}
		})
	}
}
