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
	"pollenlead/internal/record"
	"pollenlead/internal/statemachine"
)

const (
	// maxAttempts bounds the instances that one request tries.
	maxAttempts = 3
	// claimWait is the longest wait for the claim of an idempotency key; normally it takes one group commit.
	claimWait = 5 * time.Second
	// settleWait bounds the settlement of an idempotency key while the log is down.
	settleWait = 30 * time.Second
	// maxIdempotencyKeyBytes keeps keys small, because the folded state holds them.
	maxIdempotencyKeyBytes = 256
)

// exchange is one synchronous request with all its attempts.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	id      Identity
	service config.Service
	path    string
	body    *replayBody
	// nonIdempotent requests are not sent again once their first byte may have reached an instance.
	nonIdempotent bool
	avoid         []string
	// run is RunMayHaveRun from the first attempt on that may have run. Later refusals do not change that.
	run     record.Execution
	claimed bool
}

func (g *Gateway) serveRequest(w http.ResponseWriter, r *http.Request) {
	g.c.Metrics.requests.Add(1)
	x, problem := g.newExchange(w, r)
	if problem == nil {
		problem = x.claim()
	}
	if problem != nil {
		g.fail(w, problem)
		return
	}
	// The key is settled also when the response is aborted by a panic.
	settled := false
	defer func() {
		if !settled {
			x.settleLater(record.ExecutionMayHaveRun)
		}
	}()
	problem = x.attempts()
	settled = true
	if problem == nil {
		g.c.Metrics.answered.Add(1)
		x.settleLater(record.ExecutionCompleted)
		return
	}
	if x.run == record.ExecutionNotRun {
		x.settle(record.ExecutionNotRun) // before the answer, so that the caller can use the key again
	} else {
		x.settleLater(x.run)
	}
	g.fail(w, problem.withRun(x.run))
}

func (g *Gateway) newExchange(w http.ResponseWriter, r *http.Request) (*exchange, *Problem) {
	doc := g.c.Document()
	id, problem := g.authenticate(doc, r)
	if problem != nil {
		return nil, problem
	}
	service, ok := doc.Service(chi.URLParam(r, "service"))
	if !ok {
		return nil, refuse(http.StatusNotFound, ReasonUnknownService, "no such service")
	}
	if problem := checkHeader(doc, id.Team, r); problem != nil {
		return nil, problem
	}
	if r.ContentLength > doc.Limits.BodyBytes {
		return nil, refuse(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, errBodyTooLarge.Error())
	}
	// An HTTP/1.0 caller cannot tell an aborted response from a complete one.
	if !r.ProtoAtLeast(1, 1) {
		return nil, refuse(http.StatusHTTPVersionNotSupported, ReasonInvalidRequest, "HTTP/1.1 is required")
	}
	// The backend server would get the request without its trailers, which may carry a checksum or a signature of the body.
	if len(r.Trailer) > 0 {
		return nil, refuse(http.StatusBadRequest, ReasonInvalidRequest, "request trailers are not supported")
	}
	if len(r.Header.Get(HeaderIdempotencyKey)) > maxIdempotencyKeyBytes {
		return nil, refuse(http.StatusBadRequest, ReasonInvalidRequest, "the idempotency key is too long")
	}
	servicePath, ok := pathOf(r)
	if !ok {
		return nil, refuse(http.StatusBadRequest, ReasonInvalidRequest, "the path has dot segments")
	}
	return &exchange{
		g: g, w: w, r: r, id: id, service: service, path: servicePath, body: newReplayBody(r.Body, doc.Limits.BodyBytes),
		nonIdempotent: isSet(r, HeaderNonIdempotent), run: record.ExecutionNotRun,
	}, nil
}

// pathOf returns the escaped path after ".../requests", with its slash. Dot segments, also escaped ones, could lead to
// resources of the instance other than the service.
func pathOf(r *http.Request) (string, bool) {
	for segment := range strings.SplitSeq(strings.ReplaceAll(r.URL.Path, `\`, "/"), "/") {
		if segment == "." || segment == ".." {
			return "", false
		}
	}
	_, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"), "/requests/")
	return "/" + rest, true
}

// claim claims the idempotency key, if there is one, before anything is started.
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
		return refuse(http.StatusServiceUnavailable, ReasonLogUnavailable, "claim the idempotency key: "+err.Error()).orLater()
	case outcome.Accepted:
		x.claimed = true
		return nil
	case outcome.Reason == statemachine.ReasonDuplicate:
		return refuse(http.StatusConflict, ReasonDuplicateRequest, outcome.Detail).withRun(record.ExecutionMayHaveRun)
	case outcome.Reason == statemachine.ReasonIdempotencyKeyConflict:
		return refuse(http.StatusConflict, ReasonIdempotencyKeyConflict, outcome.Detail)
	default:
		return refuse(http.StatusServiceUnavailable, ReasonRejected, string(outcome.Reason)+": "+outcome.Detail).orLater()
	}
}

type claimResult struct {
	outcome statemachine.Outcome
	err     error
}

// submitClaim waits for the claim up to claimWait. A claim that is accepted later is freed again, because this request is
// refused by then. It cannot be freed without knowing its outcome: the key may belong to another request of this process.
func (x *exchange) submitClaim(op record.Op) (statemachine.Outcome, error) {
	results := make(chan claimResult)
	waiting, stop := context.WithTimeout(x.r.Context(), claimWait)
	defer stop()
	x.g.settling.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(waiting), settleWait)
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

// fingerprint hashes method, path and body. The body must be read for it, so requests with an idempotency key are bounded
// to what can be replayed.
func (x *exchange) fingerprint() (string, *Problem) {
	h := sha256.New()
	h.Write([]byte(x.r.Method + "\x00" + x.service.Name + "\x00" + x.path + "?" + x.r.URL.RawQuery + "\x00"))
	body, _ := x.body.next()
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	for {
		n, err := body.Read(*buffer)
		h.Write((*buffer)[:n])
		if err != nil {
			break
		}
	}
	if err := x.body.failure(); err != nil {
		return "", bodyProblem(err)
	}
	if x.body.overflowed() {
		return "", refuse(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, "a request with an idempotency key has at most 64 KiB")
	}
	return hex.EncodeToString(h.Sum(nil)), nil
}

func bodyProblem(err error) *Problem {
	if errors.Is(err, errBodyTooLarge) {
		return refuse(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, err.Error())
	}
	return refuse(http.StatusBadRequest, ReasonBodyUnreadable, err.Error())
}

func (x *exchange) settleLater(run record.Execution) {
	if x.claimed {
		x.g.settling.Go(func() { x.submitSettle(run) })
	}
}

// settle waits for the settlement, but not for long: while the log is down, the answer is worth more than a free key.
func (x *exchange) settle(run record.Execution) {
	if !x.claimed {
		return
	}
	settled := make(chan struct{})
	x.g.settling.Go(func() {
		x.submitSettle(run)
		close(settled)
	})
	timer := time.NewTimer(claimWait)
	defer timer.Stop()
	select {
	case <-settled:
	case <-timer.C:
	}
}

// submitSettle gives up after settleWait: an unsettled key stays claimed, which is the safe side.
func (x *exchange) submitSettle(run record.Execution) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.r.Context()), settleWait)
	defer cancel()
	op := record.Op{RequestSettle: &record.RequestSettle{
		Team: x.id.Team, IdempotencyKey: x.r.Header.Get(HeaderIdempotencyKey), Run: run,
	}}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		if _, err := x.g.submit(ctx, op); !errors.Is(err, x.g.c.NotSent) {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// attempts runs the request on one instance after the other until one answers or no retry is allowed.
func (x *exchange) attempts() *Problem {
	x.g.c.Budgets.Request(x.service.Name)
	for n := 1; ; n++ {
		body, ok := x.body.next()
		if !ok {
			return refuse(http.StatusBadGateway, ReasonNoResponse, "the request body is too long to be sent again")
		}
		ticket, err := x.g.c.Admission.Admit(x.r.Context(), admission.Request{
			Team: x.id.Team, Service: x.service.Name, Urgent: isSet(x.r, HeaderUrgent), Avoid: slices.Clone(x.avoid),
			Recheck: x.g.recheck(x.id, x.r),
		})
		if err != nil {
			return admissionProblem(err)
		}
		problem, again := x.attempt(ticket, body)
		if problem == nil || !again || n == maxAttempts || x.body.overflowed() || !x.g.c.Budgets.Retry(x.service.Name) {
			return problem
		}
		x.avoid = append(x.avoid, ticket.Instance)
		x.g.c.Metrics.retries.Add(1)
	}
}
