// Package relay carries the leader's calls to workers through other entry instances, its delegates, so that no single
// entry instance has to connect to every worker of a large fleet. Calls and answers travel in batches over one jsonrpc2
// connection to each delegate. A delegate makes no decisions: it sends a call once, or not at all if the call's
// deadline has passed, and returns the worker's answer.
//
// The guarantees of a call are the same as without delegates. A call without an answer may have been carried out or may
// still be carried out later; workers refuse the calls of an earlier term by its fencing token.
package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pollenlead/internal/worker"
)

// JSON-RPC methods. A leader opens a session with methodOpen and sends calls with methodCalls; the delegate sends
// answers with methodAnswers.
const (
	methodOpen    = "open"
	methodCalls   = "calls"
	methodAnswers = "answers"
)

const (
	// callInterval and answerInterval are the minimum times between two batches of a session. Calls and answers are
	// collected in the meantime, because each batch has a fixed cost. Calls are sent sooner, because a start waits for
	// its batch, while no caller waits for an answer.
	callInterval   = 15 * time.Millisecond
	answerInterval = 20 * time.Millisecond
	// heartbeatInterval is the maximum time between two batches of a delegate; an empty batch serves as a heartbeat.
	heartbeatInterval = 200 * time.Millisecond
	// maxRelayDelay is the time that a call through a delegate may take in addition to its timeout.
	maxRelayDelay = 300 * time.Millisecond
	// writeTimeout bounds the write of one batch.
	writeTimeout = time.Second
	// maxClockDrift is the maximum relative difference between the clock rates of two entry instances.
	maxClockDrift = 0.02
	// maxSpecs bounds the job specs that a session keeps.
	maxSpecs = 2048
)

// ErrDelegate means that the delegate did not answer. The state of the worker is unknown; it may have carried out the
// call.
var ErrDelegate = errors.New("relay: the delegate does not answer")

// openParams are the parameters of methodOpen.
type openParams struct {
	// Token is the fencing token of the leader's term.
	Token int64 `json:"token"`
}

// openResult is the result of methodOpen.
type openResult struct {
	// ClockMillis is the delegate's boot clock.
	ClockMillis int64 `json:"clock_ms"`
}

// payload carries a batch encoded as CBOR. The jsonrpc2 library decodes JSON parameters several times, and batches are
// most of a leader's traffic.
type payload struct {
	Body []byte `json:"body"`
}

// encodePayload returns the parameters of a notification that carries a batch.
func encodePayload(batch any) (payload, error) {
	body, err := cbor.Marshal(batch)
	if err != nil {
		return payload{}, fmt.Errorf("relay: encode a batch: %w", err)
	}
	return payload{Body: body}, nil
}

// decodePayload decodes the parameters of a notification into a batch.
func decodePayload(params *json.RawMessage, batch any) error {
	var p payload
	if err := json.Unmarshal(*params, &p); err != nil {
		return fmt.Errorf("relay: decode a batch: %w", err)
	}
	if err := cbor.Unmarshal(p.Body, batch); err != nil {
		return fmt.Errorf("relay: decode a batch: %w", err)
	}
	return nil
}

// callBatch is a batch of calls.
type callBatch struct {
	// Forget makes the delegate drop the specs of earlier batches; later calls do not refer to them.
	Forget bool   `cbor:"1,keyasint,omitempty"`
	Calls  []call `cbor:"2,keyasint,omitempty"`
}

// call is one call for a worker. Exactly one of Start, Stop, Pace and Hold is set.
type call struct {
	Number  uint64 `cbor:"1,keyasint,omitempty"`
	Worker  string `cbor:"2,keyasint,omitempty"`
	Address string `cbor:"3,keyasint,omitempty"`
	// UntilMillis is the delegate's boot clock after which the call must not be sent.
	UntilMillis int64 `cbor:"4,keyasint,omitempty"`
	// TimeoutMillis bounds the delegate's call to the worker.
	TimeoutMillis int64      `cbor:"5,keyasint,omitempty"`
	Start         *startCall `cbor:"6,keyasint,omitempty"`
	Stop          *runCall   `cbor:"7,keyasint,omitempty"`
	Pace          *runCall   `cbor:"8,keyasint,omitempty"`
	Hold          *holdCall  `cbor:"9,keyasint,omitempty"`
	// Incarnation is the one that the worker's address names.
	Incarnation int64 `cbor:"10,keyasint,omitempty"`
}

type startCall struct {
	Task string `cbor:"1,keyasint,omitempty"`
	Run  int    `cbor:"2,keyasint,omitempty"`
	// Spec is nil if an earlier start of the job in this session carried it.
	Spec           *string `cbor:"3,keyasint,omitempty"`
	DeadlineMillis int64   `cbor:"4,keyasint,omitempty"`
	Checkpoint     string  `cbor:"5,keyasint,omitempty"`
	Ticket         string  `cbor:"6,keyasint,omitempty"`
}

type runCall struct {
	Task    string `cbor:"1,keyasint,omitempty"`
	Run     int    `cbor:"2,keyasint,omitempty"`
	Percent int    `cbor:"3,keyasint,omitempty"`
}

type holdCall struct {
	Acknowledged   int64 `cbor:"1,keyasint,omitempty"`
	Seen           int64 `cbor:"2,keyasint,omitempty"`
	Incarnation    int64 `cbor:"3,keyasint,omitempty"`
	DeadlineMillis int64 `cbor:"4,keyasint,omitempty"`
	WaitMillis     int64 `cbor:"5,keyasint,omitempty"`
	Detail         bool  `cbor:"6,keyasint,omitempty"`
}

// answerBatch is a batch of answers.
type answerBatch struct {
	// ClockMillis is the delegate's boot clock.
	ClockMillis int64 `cbor:"1,keyasint,omitempty"`
	// Leaving means that the delegate stops soon and accepts no more calls.
	Leaving bool     `cbor:"2,keyasint,omitempty"`
	Answers []answer `cbor:"3,keyasint,omitempty"`
}

// answer is the outcome of one call.
type answer struct {
	Number  uint64  `cbor:"1,keyasint,omitempty"`
	Failure failure `cbor:"2,keyasint,omitempty"`
	Text    string  `cbor:"3,keyasint,omitempty"`
	// Reason is the worker's reason for a refusal.
	Reason worker.Refusal `cbor:"4,keyasint,omitempty"`
	// ClockMillis is the worker's clock.
	ClockMillis int64 `cbor:"5,keyasint,omitempty"`
	// Worker is the ID of the worker that Report is of. The leader applies a report even if no call waits for it any
	// more.
	Worker string  `cbor:"6,keyasint,omitempty"`
	Report *report `cbor:"7,keyasint,omitempty"`
}

// report is the difference between a worker's report and the previous one of the same worker in this session.
type report struct {
	Incarnation int64    `cbor:"1,keyasint,omitempty"`
	MoreEnds    bool     `cbor:"2,keyasint,omitempty"`
	Ended       []endRow `cbor:"3,keyasint,omitempty"`
	Changed     []runRow `cbor:"4,keyasint,omitempty"`
	Gone        []runKey `cbor:"5,keyasint,omitempty"`
}

type endRow struct {
	Number     int64          `cbor:"1,keyasint,omitempty"`
	Task       string         `cbor:"2,keyasint,omitempty"`
	Run        int            `cbor:"3,keyasint,omitempty"`
	Kind       worker.EndKind `cbor:"4,keyasint,omitempty"`
	Checkpoint string         `cbor:"5,keyasint,omitempty"`
}

type runRow struct {
	Task       string `cbor:"1,keyasint,omitempty"`
	Run        int    `cbor:"2,keyasint,omitempty"`
	Checkpoint string `cbor:"3,keyasint,omitempty"`
	Percent    int    `cbor:"4,keyasint,omitempty"`
	Load       int64  `cbor:"5,keyasint,omitempty"`
}

// runKey identifies a run at a worker.
type runKey struct {
	Task string `cbor:"1,keyasint,omitempty"`
	Run  int    `cbor:"2,keyasint,omitempty"`
}

// failure is the kind of an error. It lets the leader restore the error that the delegate's client returned.
type failure string

const (
	failureRefused     failure = "refused"
	failureNotSent     failure = "not_sent"
	failureUnknown     failure = "unknown"
	failureOtherWorker failure = "other_worker"
	failureUnhealthy   failure = "unhealthy"
	failureInvalid     failure = "invalid"
	failureOther       failure = "other"
	// failureOtherIncarnation is unknown to leaders of earlier versions, which send no incarnation and so never get it.
	failureOtherIncarnation failure = "other_incarnation"
)

// sentinels are the errors that carry no data besides their kind. The first one that matches is sent.
var sentinels = []struct {
	kind failure
	err  error
}{
	{failureOtherIncarnation, worker.ErrOtherIncarnation}, {failureNotSent, worker.ErrNotSent},
	{failureUnknown, worker.ErrUnknown}, {failureOtherWorker, worker.ErrOtherWorker},
	{failureUnhealthy, worker.ErrUnhealthy}, {failureInvalid, worker.ErrInvalid},
}

// encodeError stores the error of a call in its answer.
func (a *answer) encodeError(err error) {
	if err == nil {
		return
	}
	a.Failure, a.Text = failureOther, err.Error()
	var refused *worker.RefusedError
	if errors.As(err, &refused) {
		a.Failure, a.Reason, a.ClockMillis, a.Text = failureRefused, refused.Reason, refused.ClockMillis, ""
		return
	}
	for _, s := range sentinels {
		if errors.Is(err, s.err) {
			a.Failure = s.kind
			return
		}
	}
}

// decodeError returns the error that the delegate's client returned.
func (a *answer) decodeError(delegate string) error {
	switch a.Failure {
	case "":
		return nil
	case failureRefused:
		return &worker.RefusedError{Reason: a.Reason, ClockMillis: a.ClockMillis}
	}
	for _, s := range sentinels {
		if s.kind == a.Failure {
			return fmt.Errorf("%w: through %s: %s", s.err, delegate, a.Text)
		}
	}
	return fmt.Errorf("relay: through %s: %s", delegate, a.Text)
}

// jobOf returns the job ID that a task's name begins with.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

func millis(d time.Duration) int64 { return d.Milliseconds() }

func duration(millis int64) time.Duration { return time.Duration(millis) * time.Millisecond }
