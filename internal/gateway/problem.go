package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"

	"pollenlead/internal/record"
)

// Reason is the machine-readable reason of an error.
type Reason string

// The reasons of errors of the callers' interface.
const (
	ReasonUnauthorized           Reason = "unauthorized"
	ReasonKeyWithdrawn           Reason = "key_withdrawn"
	ReasonNoContact              Reason = "no_contact"
	ReasonUrgentNotAllowed       Reason = "urgent_not_allowed"
	ReasonUnknownService         Reason = "unknown_service"
	ReasonUnknownQueue           Reason = "unknown_queue"
	ReasonUnknownJob             Reason = "unknown_job"
	ReasonNotFound               Reason = "not_found"
	ReasonMethodNotAllowed       Reason = "method_not_allowed"
	ReasonInvalidRequest         Reason = "invalid_request"
	ReasonHeaderTooLarge         Reason = "header_too_large"
	ReasonBodyTooLarge           Reason = "body_too_large"
	ReasonBodyUnreadable         Reason = "body_unreadable"
	ReasonQueueFull              Reason = "queue_full"
	ReasonQueueTimeout           Reason = "queue_timeout"
	ReasonNoCapacity             Reason = "no_capacity"
	ReasonLogUnavailable         Reason = "log_unavailable"
	ReasonDuplicateRequest       Reason = "duplicate_request"
	ReasonIdempotencyKeyConflict Reason = "idempotency_key_conflict"
	ReasonInstanceRefused        Reason = "instance_refused"
	ReasonInstanceUnreachable    Reason = "instance_unreachable"
	ReasonNoResponse             Reason = "no_response"
	ReasonWrongResponse          Reason = "wrong_response"
	ReasonTimeout                Reason = "timeout"
	ReasonJobFinished            Reason = "job_finished"
	ReasonJobNotFinished         Reason = "job_not_finished"
	ReasonRejected               Reason = "rejected"
)

// retryAfterSeconds is the wait that is suggested to callers. Capacity moves between entry instances well within it.
const retryAfterSeconds = 1

// Problem is an error answer after RFC 9457.
type Problem struct {
	Type   string           `json:"type"`
	Title  string           `json:"title"`
	Status int              `json:"status"`
	Detail string           `json:"detail,omitempty"`
	Reason Reason           `json:"reason"`
	Run    record.Execution `json:"run"`

	retry bool
}

// refuse returns a Problem for work that has certainly not run.
func refuse(status int, reason Reason, detail string) *Problem {
	return &Problem{
		Type: "urn:pollenlead:problem:" + string(reason), Title: http.StatusText(status), Status: status,
		Detail: detail, Reason: reason, Run: record.ExecutionNotRun,
	}
}

// orLater marks a Problem as one where waiting helps.
func (p *Problem) orLater() *Problem {
	p.retry = true
	return p
}

func (p *Problem) withRun(run record.Execution) *Problem {
	p.Run = run
	return p
}

func (p *Problem) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Cache-Control", "no-store")
	if p.retry {
		h.Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	if p.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	writeBody(w, p.Status, p)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	writeBody(w, status, v)
}

// writeBody ignores write errors: the caller has gone, and nothing else can be told to it.
func writeBody(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
