package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"pollenlead/internal/admission"
	"pollenlead/internal/config"
	"pollenlead/internal/ingress"
	"pollenlead/internal/record"
	"pollenlead/internal/statemachine"
)

const (
	// maxAttempts is the maximum number of instances to which one request is sent.
	maxAttempts = 3
	// claimTimeout bounds the wait for the claim of an idempotency key, which normally takes one group commit.
	claimTimeout = 5 * time.Second
	// settleTimeout bounds the settlement of an idempotency key during an outage of the log.
	settleTimeout = 30 * time.Second
	// maxIdempotencyKeyBytes is the maximum length of an idempotency key. Keys must be small, because the replicated
	// state holds them.
	maxIdempotencyKeyBytes = 256
)

// exchange is the handling of one synchronous request with all its attempts.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	id      Identity
	service config.Service
	path    string
	body    *replayableBody
	// nonIdempotent prevents a retry once the first byte of the request may have reached an instance.
	nonIdempotent  bool
	avoidInstances []string
	// execution is set to ExecutionMayHaveRun by the first attempt that may have run. Refusals of later attempts do not
	// reset it.
	execution record.Execution
	claimed   bool
}

func (g *Gateway) serveRequest(w http.ResponseWriter, r *http.Request) {
	g.cfg.Metrics.requests.Add(1)
	x, problem := g.newExchange(w, r)
	if problem == nil {
		problem = x.claim()
	}
	if problem != nil {
		g.writeProblem(w, problem)
		return
	}
	// The key is settled even if a panic aborts the response.
	settled := false
	defer func() {
		if !settled {
			x.settleAsync(record.ExecutionMayHaveRun)
		}
	}()
	problem = x.runAttempts()
	settled = true
	if problem == nil {
		g.cfg.Metrics.answered.Add(1)
		x.settleAsync(record.ExecutionCompleted)
		return
	}
	if x.execution == record.ExecutionNotRun {
		x.settleAndWait(record.ExecutionNotRun) // before the answer, so that the caller can reuse the key
	} else {
		x.settleAsync(x.execution)
	}
	g.writeProblem(w, problem.withExecution(x.execution))
}

func (g *Gateway) newExchange(w http.ResponseWriter, r *http.Request) (*exchange, *Problem) {
	doc := g.cfg.Document()
	id, problem := g.authenticate(doc, r)
	if problem != nil {
		return nil, problem
	}
	service, ok := doc.Service(chi.URLParam(r, "service"))
	if !ok {
		return nil, newProblem(http.StatusNotFound, ReasonUnknownService, "no such service")
	}
	if problem := checkHeader(doc, id.Team, r); problem != nil {
		return nil, problem
	}
	if r.ContentLength > doc.Limits.BodyBytes {
		return nil, newProblem(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, errBodyTooLarge.Error())
	}
	// An HTTP/1.0 caller cannot distinguish an aborted response from a complete one.
	if !r.ProtoAtLeast(1, 1) {
		return nil, newProblem(http.StatusHTTPVersionNotSupported, ReasonInvalidRequest, "HTTP/1.1 is required")
	}
	// Trailers are not forwarded, and the backend server would process the request without a checksum or a signature
	// that they may contain.
	if len(r.Trailer) > 0 {
		return nil, newProblem(http.StatusBadRequest, ReasonInvalidRequest, "request trailers are not supported")
	}
	if len(r.Header.Get(HeaderIdempotencyKey)) > maxIdempotencyKeyBytes {
		return nil, newProblem(http.StatusBadRequest, ReasonInvalidRequest, "the idempotency key is too long")
	}
	servicePath, ok := requestPath(r)
	if !ok {
		return nil, newProblem(http.StatusBadRequest, ReasonInvalidRequest, "the path has dot segments")
	}
	return &exchange{
		g: g, w: w, r: r, id: id, service: service, path: servicePath,
		body:          newReplayableBody(r, doc.Limits.BodyBytes),
		nonIdempotent: isTrue(r, HeaderNonIdempotent), execution: record.ExecutionNotRun,
	}, nil
}

// requestPath returns the escaped path after ".../requests", with its leading slash. It reports false if the path has
// dot segments, escaped or not, because these could address resources of the instance other than the service.
func requestPath(r *http.Request) (string, bool) {
	for segment := range strings.SplitSeq(strings.ReplaceAll(r.URL.Path, `\`, "/"), "/") {
		if segment == "." || segment == ".." {
			return "", false
		}
	}
	_, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"), "/requests/")
	return "/" + rest, true
}

// claim claims the idempotency key of the request, if it has one. It must be called before the first attempt.
func (x *exchange) claim() *Problem {
	key := x.r.Header.Get(HeaderIdempotencyKey)
	if key == "" {
		return nil
	}
	fingerprint, problem := x.fingerprint()
	if problem != nil {
		return problem
	}
	op := record.Op{RequestClaim: &record.RequestClaim{
		Team: x.id.Team, IdempotencyKey: key, Service: x.service.Name, Fingerprint: fingerprint,
	}}
	outcome, err := x.submitClaim(op)
	switch {
	case err != nil:
		return newProblem(http.StatusServiceUnavailable, ReasonLogUnavailable, "claim the idempotency key: "+err.Error()).
			withRetryAfter()
	case outcome.Accepted:
		x.claimed = true
		return nil
	case outcome.Reason == statemachine.ReasonDuplicate:
		return newProblem(http.StatusConflict, ReasonDuplicateRequest, outcome.Detail).
			withExecution(record.ExecutionMayHaveRun)
	case outcome.Reason == statemachine.ReasonIdempotencyKeyConflict:
		return newProblem(http.StatusConflict, ReasonIdempotencyKeyConflict, outcome.Detail)
	default:
		return newProblem(http.StatusServiceUnavailable, ReasonRejected, string(outcome.Reason)+": "+outcome.Detail).
			withRetryAfter()
	}
}

type claimResult struct {
	outcome statemachine.Outcome
	err     error
}

// submitClaim submits the claim and waits up to claimTimeout for its outcome. A claim that is accepted after that is
// released, because the request has been refused by then. A claim whose outcome is unknown cannot be released: the key
// may belong to another request of this process.
func (x *exchange) submitClaim(op record.Op) (statemachine.Outcome, error) {
	results := make(chan claimResult)
	waiting, stop := context.WithTimeout(x.r.Context(), claimTimeout)
	defer stop()
	x.g.settlements.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(waiting), settleTimeout)
		defer cancel()
		outcome, err := x.g.submit(ctx, op)
		select {
		case results <- claimResult{outcome, err}:
		case <-waiting.Done():
			if err == nil && outcome.Accepted {
				x.submitSettle(record.ExecutionNotRun)
			}
		}
	})
	select {
	case r := <-results:
		return r.outcome, r.err
	case <-waiting.Done():
		return statemachine.Outcome{}, waiting.Err()
	}
}

// fingerprint returns a hash of method, path and body. It has to read the whole body, so the body of a request with an
// idempotency key is limited to maxReplayBytes.
func (x *exchange) fingerprint() (string, *Problem) {
	h := sha256.New()
	h.Write([]byte(x.r.Method + "\x00" + x.service.Name + "\x00" + x.path + "?" + x.r.URL.RawQuery + "\x00"))
	body, _ := x.body.nextAttempt()
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := body.Read(*buffer)
		h.Write((*buffer)[:n])
		if err != nil {
			break
		}
	}
	if err := x.body.readError(); err != nil {
		return "", bodyProblem(err)
	}
	if x.body.overflowed() {
		return "", newProblem(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge,
			"a request with an idempotency key has at most 64 KiB")
	}
	return hex.EncodeToString(h.Sum(nil)), nil
}

func bodyProblem(err error) *Problem {
	switch {
	case errors.Is(err, errBodyTooLarge), errors.Is(err, ingress.ErrTooLarge):
		return newProblem(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, errBodyTooLarge.Error())
	case errors.Is(err, ingress.ErrNoMemory):
		return newProblem(http.StatusServiceUnavailable, ReasonNoCapacity, err.Error()).withRetryAfter()
	default:
		return newProblem(http.StatusBadRequest, ReasonBodyUnreadable, err.Error())
	}
}

// settleAsync settles a claimed idempotency key in the background.
func (x *exchange) settleAsync(run record.Execution) {
	if x.claimed {
		x.g.settlements.Go(func() { x.submitSettle(run) })
	}
}

// settleAndWait settles a claimed idempotency key and waits up to claimTimeout for it. During an outage of the log, a
// prompt answer matters more to the caller than a released key.
func (x *exchange) settleAndWait(run record.Execution) {
	if !x.claimed {
		return
	}
	settled := make(chan struct{})
	x.g.settlements.Go(func() {
		x.submitSettle(run)
		close(settled)
	})
	timer := time.NewTimer(claimTimeout)
	defer timer.Stop()
	select {
	case <-settled:
	case <-timer.C:
	}
}

// submitSettle retries until the settlement has been sent, for at most settleTimeout. A key that is not settled stays
// claimed, which prevents a second execution.
func (x *exchange) submitSettle(run record.Execution) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.r.Context()), settleTimeout)
	defer cancel()
	op := record.Op{RequestSettle: &record.RequestSettle{
		Team: x.id.Team, IdempotencyKey: x.r.Header.Get(HeaderIdempotencyKey), Run: run,
	}}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		if _, err := x.g.submit(ctx, op); !errors.Is(err, x.g.cfg.NotSent) {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// runAttempts sends the request to one instance after another until one answers or no retry is allowed.
func (x *exchange) runAttempts() *Problem {
	x.g.cfg.Budgets.Request(x.service.Name)
	for n := 1; ; n++ {
		body, ok := x.body.nextAttempt()
		if !ok {
			return newProblem(http.StatusBadGateway, ReasonNoResponse, "the request body is too long to be sent again")
		}
		ticket, err := x.g.cfg.Admission.Admit(x.r.Context(), admission.Request{
			Team: x.id.Team, Service: x.service.Name, Urgent: isTrue(x.r, HeaderUrgent), Avoid: slices.Clone(x.avoidInstances),
			Recheck: x.g.recheck(x.id, x.r),
		})
		if err != nil {
			return admissionProblem(err)
		}
		problem, again := x.runAttempt(ticket, body)
		if problem == nil || !again || n == maxAttempts || x.body.overflowed() ||
			!x.g.cfg.Budgets.Retry(x.service.Name) {
			return problem
		}
		x.avoidInstances = append(x.avoidInstances, ticket.Instance)
		x.g.cfg.Metrics.retries.Add(1)
	}
}
