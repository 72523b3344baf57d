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

// copyBytes is the size of copy buffers; it bounds the memory of a stream.
const copyBytes = 32 << 10

var buffers = sync.Pool{New: func() any {
	b := make([]byte, copyBytes)
	return &b
}}

// attempt sends the request to the ticket's instance. again says that another attempt is safe.
func (x *exchange) attempt(ticket *admission.Ticket, body io.Reader) (problem *Problem, again bool) {
	observed, ended := routing.ObservedNothing, false
	defer func() {
		if ended {
			ticket.Done(observed)
		} else {
			x.g.c.Metrics.abandoned.Add(1)
			ticket.Abandon(observed)
		}
	}()
	// The attempt goes on when the caller goes away: most backend servers finish what they have started, and only the end
	// of the response shows that the unit and the slot are free. To cancel and abandon the attempt would retire the worker
	// lease, and the unit would stay in use until the longest other work under that lease has ended.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.r.Context()), x.service.Timeout())
	defer cancel()
	x.g.c.Metrics.attempts.Add(1)
	requestID := ulid.Make().String()
	x.w.Header().Set(HeaderRequestID, requestID) // also for problems, so that both sides can name the attempt
	if x.r.ContentLength == 0 {
		body = nil
	}
	// Without full duplex the server would read the whole body before the first byte of a response.
	_ = http.NewResponseController(x.w).EnableFullDuplex()
	response, err := x.g.c.Worker(ticket.Instance, ticket.Address).Do(ctx, platform.ServiceRequest{
		Method: x.r.Method, Service: x.service.Name, Path: x.path, Query: x.r.URL.RawQuery,
		Header: forwardedHeader(x.r.Header, x.id.Team), Body: body, ContentLength: x.r.ContentLength,
		LeaseID: ticket.LeaseID, RequestID: requestID,
	})
	if err != nil {
		if isLeaseRefusal(err) {
			ticket.LeaseRefused(ctx)
		}
		ended = errors.Is(err, platform.ErrNoEffect) // refusals are among these
		problem, again, observed = x.explain(ctx, err)
		return problem, again
	}
	defer response.Body.Close()
	x.run = record.ExecutionMayHaveRun
	if problem := checkResponse(x.r.Method, response, requestID); problem != nil {
		observed = routing.ObservedFailure
		return problem, !x.nonIdempotent
	}
	observed = routing.ObservedSuccess
	if response.StatusCode >= http.StatusInternalServerError {
		observed = routing.ObservedFailure
	}
	x.writeHead(response, requestID)
	err = x.stream(response)
	ended = !errors.Is(err, errTruncated)
	if err != nil {
		if !ended {
			observed = routing.ObservedFailure
		}
		if !ended && ctx.Err() != nil {
			observed = routing.ObservedNothing
		}
		// The server closes the connection without the end of the response, so the caller sees that it is incomplete.
		x.g.c.Metrics.aborted.Add(1)
		panic(http.ErrAbortHandler)
	}
	return nil, false
}

func isLeaseRefusal(err error) bool {
	refused := (*platform.RefusedError)(nil)
	return errors.As(err, &refused) && refused.Refusal == platform.RefusedLeaseLapsed
}

// explain classifies an error without a response and notes whether the request may have run.
func (x *exchange) explain(ctx context.Context, err error) (*Problem, bool, routing.Observation) {
	refused := (*platform.RefusedError)(nil)
	if errors.As(err, &refused) {
		observed := routing.ObservedNothing
		if refused.Refusal == platform.RefusedLeaving {
			observed = routing.ObservedLeaving
		}
		return refuse(http.StatusServiceUnavailable, ReasonInstanceRefused, err.Error()).orLater(), true, observed
	}
	if errors.Is(err, platform.ErrNoEffect) {
		return refuse(http.StatusBadGateway, ReasonInstanceUnreachable, err.Error()).orLater(), true, routing.ObservedFailure
	}
	x.run = record.ExecutionMayHaveRun
	switch {
	case x.body.failure() != nil:
		return bodyProblem(x.body.failure()), false, routing.ObservedNothing
	case ctx.Err() != nil:
		// A retry after the whole time of the service would come too late for most callers.
		return refuse(http.StatusGatewayTimeout, ReasonTimeout, "no response within the service's time"), false, routing.ObservedFailure
	case x.r.Context().Err() != nil:
		return refuse(http.StatusBadGateway, ReasonNoResponse, "the caller went away"), false, routing.ObservedNothing
	}
	return refuse(http.StatusBadGateway, ReasonNoResponse, err.Error()), !x.nonIdempotent, routing.ObservedFailure
}

// checkResponse withholds responses that may belong to another request or whose end cannot be recognized.
func checkResponse(method string, response *http.Response, requestID string) *Problem {
	if response.Header.Get("Request-Id") != requestID {
		return refuse(http.StatusBadGateway, ReasonWrongResponse, "the response carries another request ID")
	}
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.ProtoMajor != 1 ||
		response.Uncompressed || bodiless(method, response.StatusCode)
	if !framed {
		return refuse(http.StatusBadGateway, ReasonWrongResponse, "the end of the response cannot be recognized")
	}
	return nil
}

func (x *exchange) writeHead(response *http.Response, requestID string) {
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
	if response.ContentLength < 0 && !bodiless(x.r.Method, response.StatusCode) {
		_ = http.NewResponseController(x.w).Flush() // a slow stream may not have any body for long
	}
}

var (
	errTruncated  = errors.New("the response was truncated")
	errCallerGone = errors.New("the caller went away")
)

// stream copies the body, and then the trailers. Each read is passed on at once, so slow streams reach the caller. When the
// caller is gone, the rest is read and dropped. An error that is not errTruncated says that the response came to its end.
func (x *exchange) stream(response *http.Response) error {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	controller := http.NewResponseController(x.w)
	total, gone := int64(0), false
	defer func() { x.g.c.Metrics.responseBytes.Add(total) }()
	for {
		n, err := response.Body.Read(*buffer)
		total += int64(n)
		if n > 0 && !gone {
			_, err := x.w.Write((*buffer)[:n])
			gone = err != nil
			if !gone && total != response.ContentLength {
				gone = controller.Flush() != nil
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return errTruncated
		}
	}
	if response.ContentLength >= 0 && total != response.ContentLength && !bodiless(x.r.Method, response.StatusCode) {
		return errTruncated
	}
	if gone {
		return errCallerGone
	}
	for name, values := range response.Trailer {
		x.w.Header()[name] = values
	}
	return nil
}

// bodiless reports whether a response has no body whatever its Content-Length says.
func bodiless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNotModified || status == http.StatusNoContent
}
