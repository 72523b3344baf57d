package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/oklog/ulid/v2"

	"pollenlead/internal/admission"
	"pollenlead/internal/platform"
	"pollenlead/internal/record"
	"pollenlead/internal/routing"
)

// copyBufferBytes is the size of a copy buffer. It bounds the memory that copying one response takes.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)
	return &b
}}

// runAttempt sends the request to the ticket's instance. It returns no Problem if the response was passed on to the
// caller. retryable reports whether another attempt is safe.
func (x *exchange) runAttempt(ticket *admission.Ticket, body io.Reader) (problem *Problem, retryable bool) {
	observed, workEnded := routing.ObservedNothing, false
	defer func() {
		if workEnded {
			ticket.Done(observed)
		} else {
			x.g.cfg.Metrics.abandoned.Add(1)
			ticket.Abandon(observed)
		}
	}()
	// The attempt continues when the caller disconnects: most backend servers finish what they have started, and only
	// the end of the response shows that the unit and the slot are free. Cancelling and abandoning the attempt would
	// retire the worker lease, and the unit would stay in use until the longest other work under that lease has ended.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.r.Context()), x.service.Timeout())
	defer cancel()
	x.g.cfg.Metrics.attempts.Add(1)
	requestID := ulid.Make().String()
	x.w.Header().Set(HeaderRequestID, requestID) // also set on problems, so that both sides can identify the attempt
	if x.r.ContentLength == 0 {
		body = nil
	}
	// Without full duplex the server would read the whole request body before it writes the first byte of a response.
	_ = http.NewResponseController(x.w).EnableFullDuplex()
	response, err := x.g.cfg.Worker(ticket.Instance, ticket.Address).Do(ctx, platform.ServiceRequest{
		Method: x.r.Method, Service: x.service.Name, Path: x.path, Query: x.r.URL.RawQuery,
		Header: forwardedHeader(x.r.Header, x.id.Team), Body: body, ContentLength: x.r.ContentLength,
		LeaseID: ticket.LeaseID, RequestID: requestID,
	})
	if err != nil {
		if isLeaseRefusal(err) {
			ticket.LeaseRefused(ctx)
		}
		workEnded = errors.Is(err, platform.ErrNoEffect) // includes refusals
		problem, retryable, observed = x.classifyError(ctx, err)
		return problem, retryable
	}
	defer response.Body.Close()
	x.execution = record.ExecutionMayHaveRun
	if problem := checkResponse(x.r.Method, response, requestID); problem != nil {
		observed = routing.ObservedFailure
		return problem, !x.nonIdempotent
	}
	observed = routing.ObservedSuccess
	if response.StatusCode >= http.StatusInternalServerError {
		observed = routing.ObservedFailure
	}
	x.writeHeader(response, requestID)
	err = x.stream(response)
	workEnded = !errors.Is(err, errTruncated)
	if err != nil {
		if !workEnded {
			observed = routing.ObservedFailure
		}
		if !workEnded && ctx.Err() != nil {
			observed = routing.ObservedNothing
		}
		// This panic makes the server close the connection without ending the response, so that the caller detects that
		// it is incomplete.
		x.g.cfg.Metrics.aborted.Add(1)
		panic(http.ErrAbortHandler)
	}
	return nil, false
}

func isLeaseRefusal(err error) bool {
	refused := (*platform.RefusedError)(nil)
	return errors.As(err, &refused) && refused.Refusal == platform.RefusedLeaseLapsed
}

// classifyError classifies an error for which there is no response, and records whether the request may have run. The
// boolean reports whether another attempt is safe.
func (x *exchange) classifyError(ctx context.Context, err error) (*Problem, bool, routing.Observation) {
	refused := (*platform.RefusedError)(nil)
	if errors.As(err, &refused) {
		observed := routing.ObservedNothing
		if refused.Refusal == platform.RefusedLeaving {
			observed = routing.ObservedLeaving
		}
		return newProblem(http.StatusServiceUnavailable, ReasonInstanceRefused, err.Error()).withRetryAfter(), true, observed
	}
	if errors.Is(err, platform.ErrNoEffect) {
		return newProblem(http.StatusBadGateway, ReasonInstanceUnreachable, err.Error()).withRetryAfter(), true,
			routing.ObservedFailure
	}
	x.execution = record.ExecutionMayHaveRun
	switch {
	case x.body.readError() != nil:
		return bodyProblem(x.body.readError()), false, routing.ObservedNothing
	case ctx.Err() != nil:
		// A retry after the full timeout of the service would be too late for most callers.
		return newProblem(http.StatusGatewayTimeout, ReasonTimeout, "no response within the service's time"), false,
			routing.ObservedFailure
	case x.r.Context().Err() != nil:
		return newProblem(http.StatusBadGateway, ReasonNoResponse, "the caller went away"), false, routing.ObservedNothing
	}
	return newProblem(http.StatusBadGateway, ReasonNoResponse, err.Error()), !x.nonIdempotent, routing.ObservedFailure
}

// checkResponse rejects a response that may belong to another request or whose end cannot be detected.
func checkResponse(method string, response *http.Response, requestID string) *Problem {
	if response.Header.Get("Request-Id") != requestID {
		return newProblem(http.StatusBadGateway, ReasonWrongResponse, "the response carries another request ID")
	}
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.ProtoMajor != 1 ||
		response.Uncompressed || hasNoBody(method, response.StatusCode)
	if !framed {
		return newProblem(http.StatusBadGateway, ReasonWrongResponse, "the end of the response cannot be recognized")
	}
	return nil
}

func (x *exchange) writeHeader(response *http.Response, requestID string) {
	h := x.w.Header()
	removeHopByHop(response.Header)
	response.Header.Del("Request-Id")
	for name, values := range response.Header {
		h[name] = values
	}
	h.Set(HeaderRequestID, requestID)
	if len(response.Trailer) > 0 {
		names := make([]string, 0, len(response.Trailer))
		for name := range response.Trailer {
			names = append(names, name)
		}
		slices.Sort(names)
		h.Set("Trailer", strings.Join(names, ", "))
	}
	x.w.WriteHeader(response.StatusCode)
	if response.ContentLength < 0 && !hasNoBody(x.r.Method, response.StatusCode) {
		_ = http.NewResponseController(x.w).Flush() // the first bytes of a slow stream may take long
	}
}

var (
	errTruncated          = errors.New("the response was truncated")
	errCallerDisconnected = errors.New("the caller disconnected")
)

// stream copies the body and then the trailers. Each read is flushed at once, so that slow streams reach the caller.
// After the caller has disconnected, the rest of the body is read and discarded. Any error other than errTruncated
// means that the response was read to its end.
func (x *exchange) stream(response *http.Response) error {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	controller := http.NewResponseController(x.w)
	total, disconnected := int64(0), false
	defer func() { x.g.cfg.Metrics.responseBytes.Add(total) }()
	for {
		n, err := response.Body.Read(*buffer)
		total += int64(n)
		if n > 0 && !disconnected {
			_, err := x.w.Write((*buffer)[:n])
			disconnected = err != nil
			if !disconnected && total != response.ContentLength {
				disconnected = controller.Flush() != nil
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return errTruncated
		}
	}
	if response.ContentLength >= 0 && total != response.ContentLength && !hasNoBody(x.r.Method, response.StatusCode) {
		return errTruncated
	}
	if disconnected {
		return errCallerDisconnected
	}
	for name, values := range response.Trailer {
		x.w.Header()[name] = values
	}
	return nil
}

// hasNoBody reports whether a response has no body regardless of its Content-Length.
func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNotModified || status == http.StatusNoContent
}
