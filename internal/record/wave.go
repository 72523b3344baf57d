package record

// The kinds of ops of maintenance waves.
const (
	KindWaveStart    Kind = "wave_start"
	KindWaveControl  Kind = "wave_control"
	KindLeaveRequest Kind = "leave_request"
	KindLeaveAdvance Kind = "leave_advance"
	KindLeaveFail    Kind = "leave_fail"
)

// WaveStart starts a maintenance wave over all instances of the pools.
type WaveStart struct {
	Wave   string   `json:"wave"`
	Pools  []string `json:"pools"`
	Reason string   `json:"reason,omitempty"`
	Actor  string   `json:"actor"`
}

// WaveAction is what an operator does to an open wave.
type WaveAction string

// The actions. An aborted wave takes no further instances and ends when those that are down have returned.
const (
	WavePause  WaveAction = "pause"
	WaveResume WaveAction = "resume"
	WaveAbort  WaveAction = "abort"
)

// WaveControl changes an open wave.
type WaveControl struct {
	Wave   string     `json:"wave"`
	Action WaveAction `json:"action"`
	Actor  string     `json:"actor"`
}

// LeavePhase is how far the maintenance of one instance has come.
type LeavePhase string

// The phases in their order. LeaveCheckpointing is left out when the work ends within the drain time. The last three are
// final: LeaveSkipped when the work could not be moved or the wave was aborted, LeaveFailed when the instance did not return.
const (
	LeaveCordoned      LeavePhase = "cordoned"
	LeaveDraining      LeavePhase = "draining"
	LeaveCheckpointing LeavePhase = "checkpointing"
	LeaveStopping      LeavePhase = "stopping"
	LeaveRebooting     LeavePhase = "rebooting"
	LeaveProbing       LeavePhase = "probing"
	LeaveReturned      LeavePhase = "returned"
	LeaveSkipped       LeavePhase = "skipped"
	LeaveFailed        LeavePhase = "failed"
)

// nextPhases has the phases that leave_advance may move to. LeaveFailed is reached by leave_fail only.
var nextPhases = map[LeavePhase][]LeavePhase{
	LeaveCordoned:      {LeaveDraining, LeaveSkipped},
	LeaveDraining:      {LeaveStopping, LeaveCheckpointing, LeaveSkipped},
	LeaveCheckpointing: {LeaveStopping, LeaveSkipped},
	LeaveStopping:      {LeaveRebooting},
	LeaveRebooting:     {LeaveProbing},
	LeaveProbing:       {LeaveReturned},
}

// Next returns the phases that may follow.
func (p LeavePhase) Next() []LeavePhase { return nextPhases[p] }

// Final reports whether the maintenance of the instance has ended.
func (p LeavePhase) Final() bool { return p == LeaveReturned || p == LeaveSkipped || p == LeaveFailed }

// LeaveRequest asks to take an instance down. The fold accepts it only if the budget of the pool allows it.
type LeaveRequest struct {
	Wave     string `json:"wave"`
	Instance string `json:"instance"`
}

// LeaveAdvance records that the maintenance of an instance that is down has reached a phase.
type LeaveAdvance struct {
	Instance string     `json:"instance"`
	Phase    LeavePhase `json:"phase"`
}

// LeaveFail records that an instance that is down did not return.
type LeaveFail struct {
	Instance string `json:"instance"`
	Reason   string `json:"reason"`
}
