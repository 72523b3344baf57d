package record

import "reflect"

// Kind is the kind of an op. It equals the name of the op's JSON field.
type Kind string

// The kinds of ops.
const (
	KindConfigPublish   Kind = "config_publish"
	KindSessionOpen     Kind = "session_open"
	KindSessionRenew    Kind = "session_renew"
	KindSessionClose    Kind = "session_close"
	KindSessionRevoke   Kind = "session_revoke"
	KindDemand          Kind = "demand"
	KindRelease         Kind = "release"
	KindInstancesReport Kind = "instances_report"
	KindInstanceMove    Kind = "instance_move"
	KindJobAccept       Kind = "job_accept"
	KindJobStart        Kind = "job_start"
	KindJobFinish       Kind = "job_finish"
	KindJobCancel       Kind = "job_cancel"
	KindJobForget       Kind = "job_forget"
	KindRequestClaim    Kind = "request_claim"
	KindRequestSettle   Kind = "request_settle"
	KindClaimsForget    Kind = "claims_forget"
	KindSnapshotBegin   Kind = "snapshot_begin"
	KindSnapshotChunk   Kind = "snapshot_chunk"
	KindSnapshotEnd     Kind = "snapshot_end"
)

// Op is one operation on the replicated state, which the state machine accepts or rejects. Exactly one field is set.
type Op struct {
	ConfigPublish   *ConfigPublish   `json:"config_publish,omitempty"`
	SessionOpen     *SessionOpen     `json:"session_open,omitempty"`
	SessionRenew    *SessionRenew    `json:"session_renew,omitempty"`
	SessionClose    *SessionClose    `json:"session_close,omitempty"`
	SessionRevoke   *SessionRevoke   `json:"session_revoke,omitempty"`
	Demand          *Demand          `json:"demand,omitempty"`
	Release         *Release         `json:"release,omitempty"`
	InstancesReport *InstancesReport `json:"instances_report,omitempty"`
	InstanceMove    *InstanceMove    `json:"instance_move,omitempty"`
	JobAccept       *JobAccept       `json:"job_accept,omitempty"`
	JobStart        *JobStart        `json:"job_start,omitempty"`
	JobFinish       *JobFinish       `json:"job_finish,omitempty"`
	JobCancel       *JobCancel       `json:"job_cancel,omitempty"`
	JobForget       *JobForget       `json:"job_forget,omitempty"`
	RequestClaim    *RequestClaim    `json:"request_claim,omitempty"`
	RequestSettle   *RequestSettle   `json:"request_settle,omitempty"`
	ClaimsForget    *ClaimsForget    `json:"claims_forget,omitempty"`
	SnapshotBegin   *SnapshotBegin   `json:"snapshot_begin,omitempty"`
	SnapshotChunk   *SnapshotChunk   `json:"snapshot_chunk,omitempty"`
	SnapshotEnd     *SnapshotEnd     `json:"snapshot_end,omitempty"`
	WaveStart       *WaveStart       `json:"wave_start,omitempty"`
	WaveControl     *WaveControl     `json:"wave_control,omitempty"`
	LeaveRequest    *LeaveRequest    `json:"leave_request,omitempty"`
	LeaveAdvance    *LeaveAdvance    `json:"leave_advance,omitempty"`
	LeaveFail       *LeaveFail       `json:"leave_fail,omitempty"`
}

// kindByField maps the index of a field of Op to its kind.
var kindByField = func() []Kind {
	t := reflect.TypeFor[Op]()
	kinds := make([]Kind, t.NumField())
	for i := range kinds {
		tag := t.Field(i).Tag.Get("json")
		kinds[i] = Kind(tag[:len(tag)-len(",omitempty")])
	}
	return kinds
}()

// Kind returns the kind of the op, or "" unless exactly one field is set.
func (o Op) Kind() Kind {
	v := reflect.ValueOf(o)
	kind := Kind("")
	for i, k := range kindByField {
		if v.Field(i).IsNil() {
			continue
		}
		if kind != "" {
			return ""
		}
		kind = k
	}
	return kind
}

// ConfigPublish replaces the document in force if Expect is the current version.
type ConfigPublish struct {
	Expect   uint64 `json:"expect"`
	Document string `json:"document"`
	Actor    string `json:"actor"`
}

// SessionOpen opens the session of the writer's incarnation.
type SessionOpen struct {
	AvailabilityZone string `json:"availability_zone"`
	Region           string `json:"region"`
	PeerAddress      string `json:"peer_address"`
	CallerAddress    string `json:"caller_address"`
}

// SessionRenew renews the session of the writer's incarnation.
type SessionRenew struct{}

// SessionClose ends the session of the writer's incarnation and frees its allotments.
type SessionClose struct{}

// SessionRevoke ends the session of another holder. It is valid only while LastRenewal is the offset of the holder's
// newest renewal, so that a renewal that is appended before the revocation invalidates it.
type SessionRevoke struct {
	Holder      string `json:"holder"`
	LastRenewal uint64 `json:"last_renewal"`
}

// ResourceDemand is the demand of a holder for one resource: the amount in use and the amount that its queued work
// needs.
type ResourceDemand struct {
	Name   string `json:"name"`
	Wanted int    `json:"wanted"`
}

// Demand replaces the earlier demand of the writer for the named teams and pools.
type Demand struct {
	Teams []ResourceDemand `json:"teams,omitempty"`
	Pools []ResourceDemand `json:"pools,omitempty"`
}

// TeamUnits is a number of units of the upper limit of a team.
type TeamUnits struct {
	Name  string `json:"name"`
	Units int    `json:"units"`
}

// InstanceSlots is a number of slots of one instance.
type InstanceSlots struct {
	Instance string `json:"instance"`
	Slots    int    `json:"slots"`
}

// Release returns unused allotments of the writer.
type Release struct {
	Teams []TeamUnits     `json:"teams,omitempty"`
	Slots []InstanceSlots `json:"slots,omitempty"`
}

// Phase is the state of an instance in the platform's list of instances.
type Phase string

// The phases of an instance. Gone means that the list no longer has the instance.
const (
	PhaseLive    Phase = "live"
	PhaseLeaving Phase = "leaving"
	PhaseGone    Phase = "gone"
)

// Instance describes one worker instance as the platform's list reports it.
type Instance struct {
	ID               string `json:"id"`
	Address          string `json:"address,omitempty"`
	Region           string `json:"region,omitempty"`
	AvailabilityZone string `json:"availability_zone,omitempty"`
	Rack             string `json:"rack,omitempty"`
	Phase            Phase  `json:"phase"`
	Slots            int    `json:"slots,omitempty"`
	Connections      int    `json:"connections,omitempty"`
	Cores            int    `json:"cores,omitempty"`
	MemoryBytes      int64  `json:"memory_bytes,omitempty"`
	Accelerators     int    `json:"accelerators,omitempty"`
}

// InstancesReport contains changes of the platform's list. ListVersion orders the reports of different writers.
type InstancesReport struct {
	ListVersion uint64     `json:"list_version"`
	Instances   []Instance `json:"instances"`
}

// InstanceMove moves an instance from one pool to another.
type InstanceMove struct {
	Instance string `json:"instance"`
	From     string `json:"from"`
	To       string `json:"to"`
	Actor    string `json:"actor"`
}

// JobAccept accepts a job and stores it in the replicated state.
type JobAccept struct {
	Job            string `json:"job"`
	Name           string `json:"name,omitempty"`
	Team           string `json:"team"`
	KeyID          string `json:"key_id,omitempty"`
	Queue          string `json:"queue,omitempty"`
	Service        string `json:"service"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Fingerprint    string `json:"fingerprint,omitempty"`
	NonIdempotent  bool   `json:"non_idempotent,omitempty"`
	Urgent         bool   `json:"urgent,omitempty"`
	ContentType    string `json:"content_type,omitempty"`
	Body           []byte `json:"body,omitempty"`
}

// JobStart records that an attempt is about to start. It is appended before the worker is called.
type JobStart struct {
	Job      string `json:"job"`
	Attempt  int    `json:"attempt"`
	Instance string `json:"instance"`
}

// JobOutcome is the outcome of an attempt of a job.
type JobOutcome string

// The outcomes of an attempt. OutcomeUnknown means that a non-idempotent job may have run. OutcomeRetry is not final:
// the attempt certainly did not run, or the job is idempotent, and the job waits for its next attempt.
const (
	OutcomeSucceeded JobOutcome = "succeeded"
	OutcomeFailed    JobOutcome = "failed"
	OutcomeUnknown   JobOutcome = "unknown"
	OutcomeRetry     JobOutcome = "retry"
)

// JobFinish ends an attempt.
type JobFinish struct {
	Job         string     `json:"job"`
	Attempt     int        `json:"attempt"`
	Outcome     JobOutcome `json:"outcome"`
	Status      int        `json:"status,omitempty"`
	ContentType string     `json:"content_type,omitempty"`
	Result      []byte     `json:"result,omitempty"`
	Reason      string     `json:"reason,omitempty"`
}

// JobCancel cancels every named job that has not finished.
type JobCancel struct {
	Jobs  []string `json:"jobs"`
	Actor string   `json:"actor"`
}

// JobForget removes finished jobs whose result retention has expired.
type JobForget struct {
	Jobs []string `json:"jobs"`
}

// RequestClaim claims an idempotency key for a synchronous request. It is appended before the request is started.
type RequestClaim struct {
	Team           string `json:"team"`
	IdempotencyKey string `json:"idempotency_key"`
	Service        string `json:"service"`
	Fingerprint    string `json:"fingerprint"`
}

// Execution states whether the work of a request or job may have run.
type Execution string

// The values of Execution. ExecutionCompleted is used by request_settle only.
const (
	ExecutionNotRun     Execution = "not_run"
	ExecutionMayHaveRun Execution = "may_have_run"
	ExecutionCompleted  Execution = "completed"
)

// RequestSettle records the end of a request with a claimed key. ExecutionNotRun frees the key for another request.
type RequestSettle struct {
	Team           string    `json:"team"`
	IdempotencyKey string    `json:"idempotency_key"`
	Run            Execution `json:"run"`
}

// ClaimRef identifies a claimed idempotency key.
type ClaimRef struct {
	Team           string `json:"team"`
	IdempotencyKey string `json:"idempotency_key"`
}

// ClaimsForget removes claims whose retention has expired.
type ClaimsForget struct {
	Claims []ClaimRef `json:"claims"`
}

// SnapshotBegin begins the snapshot of Term, which must be the last term plus one. The writer then writes its chunks.
type SnapshotBegin struct {
	Term   uint64 `json:"term"`
	Offset uint64 `json:"offset"`
	Chunks int    `json:"chunks"`
	Bytes  int    `json:"bytes"`
	SHA256 string `json:"sha256"`
}

// SnapshotChunk is one part of the snapshot of Term.
type SnapshotChunk struct {
	Term  uint64 `json:"term"`
	Index int    `json:"index"`
	Data  []byte `json:"data"`
}

// SnapshotEnd completes the snapshot of Term.
type SnapshotEnd struct {
	Term uint64 `json:"term"`
}
