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

// WaveAction is an action of an operator on an open wave.
type WaveAction string

// The actions. An aborted wave takes down no further instances and ends once the maintenance of those that are down has
// ended.
const (
	WavePause  WaveAction = "pause"
	WaveResume WaveAction = "resume"
	WaveAbort  WaveAction = "abort"
)

// WaveControl pauses, resumes or aborts an open wave.
type WaveControl struct {
	Wave   string     `json:"wave"`
	Action WaveAction `json:"action"`
	Actor  string     `json:"actor"`
}

// LeavePhase is the phase of the maintenance of one instance.
type LeavePhase string

// The phases in their order. LeaveCheckpointing is omitted if the work ends within the drain timeout. The last three
// are final: LeaveReturned after a successful probe, LeaveSkipped if the work could not be moved or the wave was
// aborted, and LeaveFailed if the instance did not return.
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

// nextPhases contains the phases that leave_advance may set next, by the current phase. Only leave_fail sets
// LeaveFailed.
var nextPhases = map[LeavePhase][]LeavePhase{
	LeaveCordoned:      {LeaveDraining, LeaveSkipped},
	LeaveDraining:      {LeaveStopping, LeaveCheckpointing, LeaveSkipped},
	LeaveCheckpointing: {LeaveStopping, LeaveSkipped},
	LeaveStopping:      {LeaveRebooting},
	LeaveRebooting:     {LeaveProbing},
	LeaveProbing:       {LeaveReturned},
}

// Next returns the phases that may follow p.
func (p LeavePhase) Next() []LeavePhase { return nextPhases[p] }

// Final reports whether the maintenance of the instance has ended.
func (p LeavePhase) Final() bool { return p == LeaveReturned || p == LeaveSkipped || p == LeaveFailed }

// LeaveRequest takes an instance down. The state machine accepts it only if the availability budget of the pool permits
// it.
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
