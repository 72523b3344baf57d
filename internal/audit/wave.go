package audit

import (
	"fmt"
	"strings"

	"pollenlead/internal/record"
)

// describeWave returns the entry of an op of a maintenance wave.
func describeWave(op record.Op) (Entry, bool) {
	switch {
	case op.WaveStart != nil:
		w := op.WaveStart
		return Entry{
			Actor: w.Actor, Object: w.Wave, Text: "start a wave over " + strings.Join(w.Pools, ", ") + ": " + w.Reason,
		}, true
	case op.WaveControl != nil:
		w := op.WaveControl
		return Entry{Actor: w.Actor, Object: w.Wave, Text: string(w.Action) + " the wave"}, true
	case op.LeaveRequest != nil:
		return Entry{Object: op.LeaveRequest.Instance, Text: "take down in wave " + op.LeaveRequest.Wave}, true
	case op.LeaveAdvance != nil:
		return Entry{Object: op.LeaveAdvance.Instance, Text: "maintenance reached " + string(op.LeaveAdvance.Phase)}, true
	case op.LeaveFail != nil:
		return Entry{Object: op.LeaveFail.Instance, Text: fmt.Sprintf("maintenance failed: %s", op.LeaveFail.Reason)}, true
	default:
		return Entry{}, false
	}
}
