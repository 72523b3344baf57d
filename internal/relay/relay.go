// Package relay carries the leader's calls to workers through other entry instances, its delegates, so that no single entry instance has to
// speak to every worker of a large fleet. Calls and answers travel in batches over one jsonrpc2 connection to each delegate. A delegate
// decides nothing: it sends a call once, or not at all if it gets to it too late, and answers with what the worker said.
//
// What the leader may assume does not change by it. A call without an answer may have been carried out, and may be later; the worker's
// fencing token refuses the calls of an earlier term.
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

// The methods. A leader opens a session by methodOpen and gives calls by methodCalls; the delegate answers by methodAnswers.
const (
	methodOpen    = "open"
	methodCalls   = "calls"
	methodAnswers = "answers"
)

const (
	// callPause and answerPause are the least times between two batches of a session. Calls and answers gather meanwhile, as each
	// batch has a cost of its own. Calls go out sooner: a start waits for its batch, while an answer delays nothing that a caller waits for.
	callPause   = 15 * time.Millisecond
	answerPause = 20 * time.Millisecond
	// aliveInterval is the longest time between two batches of a delegate; an empty one shows that it is there.
	aliveInterval = 200 * time.Millisecond
	// relayTime is how much longer a call may take through a delegate.
	relayTime = 300 * time.Millisecond
	// writeTimeout bounds the writing of one batch.
	writeTimeout = time.Second
	// clockDrift is the part by which the clocks of two entry instances may run apart.
	clockDrift = 0.02
	// maxSpecs bounds the specs that a session remembers.
	maxSpecs = 2048
)

// ErrDelegate means that the delegate did not answer. It says nothing of the worker, which may have carried out the call.
var ErrDelegate = errors.New("relay: the delegate does not answer")

// openParams begins a session.
type openParams struct {
	// Token is the fencing token of the leader's term.
	Token int64 `json:"token"`
}

// openResult is the delegate's answer.
type openResult struct {
	// ClockMillis is the delegate's boot clock.
	ClockMillis int64 `json:"clock_ms"`
}

// payload carries a batch in CBOR. The JSON around it is decoded several times over by the library, and batches are most of what a leader
// sends and receives.
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
	// Forget means that the specs sent until now are not referred to any more.
	Forget bool   `cbor:"1,keyasint,omitempty"`
	Calls  []call `cbor:"2,keyasint,omitempty"`
}

// call is one call for a worker. Exactly one of its last four fields is set.
type call struct {
	Number  uint64 `cbor:"1,keyasint,omitempty"`
	Worker  string `cbor:"2,keyasint,omitempty"`
	Address string `cbor:"3,keyasint,omitempty"`
	// UntilMillis is the delegate's boot clock after which the call must not be sent.
	UntilMillis int64 `cbor:"4,keyasint,omitempty"`
	// TimeoutMillis bounds the call.
	TimeoutMillis int64      `cbor:"5,keyasint,omitempty"`
	Start         *startCall `cbor:"6,keyasint,omitempty"`
	Stop          *runCall   `cbor:"7,keyasint,omitempty"`
	Pace          *runCall   `cbor:"8,keyasint,omitempty"`
	Hold          *holdCall  `cbor:"9,keyasint,omitempty"`
}

type startCall struct {
	Task string `cbor:"1,keyasint,omitempty"`
	Run  int    `cbor:"2,keyasint,omitempty"`
	// Spec is missing if an earlier start of the job in this session had it.
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
	// Leaving means that the delegate stops soon and should get no more calls.
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
	// Worker names whose report it is: the changes of a report are applied also when the leader no longer waits for it.
	Worker string  `cbor:"6,keyasint,omitempty"`
	Report *report `cbor:"7,keyasint,omitempty"`
}

// report is a worker's report as the changes since the last one of the same worker in this session.
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

// runKey names a run at a worker.
type runKey struct {
	Task string `cbor:"1,keyasint,omitempty"`
	Run  int    `cbor:"2,keyasint,omitempty"`
}

// failure is the kind of an error, so that it means the same on both sides.
type failure string

const (
	failureRefused     failure = "refused"
	failureNotSent     failure = "not_sent"
	failureUnknown     failure = "unknown"
	failureOtherWorker failure = "other_worker"
	failureUnhealthy   failure = "unhealthy"
	failureInvalid     failure = "invalid"
	failureOther       failure = "other"
)

// sentinels are the errors that need nothing but their kind.
var sentinels = []struct {
	kind failure
	err  error
}{
	{failureNotSent, worker.ErrNotSent}, {failureUnknown, worker.ErrUnknown}, {failureOtherWorker, worker.ErrOtherWorker},
	{failureUnhealthy, worker.ErrUnhealthy}, {failureInvalid, worker.ErrInvalid},
}

// encodeError puts the outcome of a call into its answer.
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

// decodeError returns the error that the delegate's client had.
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

// jobOf returns the job of a task by the task's name.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

func millis(d time.Duration) int64 { return d.Milliseconds() }

func duration(millis int64) time.Duration { return time.Duration(millis) * time.Millisecond }
