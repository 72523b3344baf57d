package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/oklog/ulid/v2"

	"pollenlead/internal/ingress"
	"pollenlead/internal/record"
	"pollenlead/internal/statemachine"
)

// submitTimeout bounds the wait for the acceptance or the cancellation of a job, which normally takes one group commit.
// The committer keeps retrying during an outage of the log, so without a bound callers would get no answer until it
// ends.
const submitTimeout = 5 * time.Second

// JobStatus is the response body that describes a job.
type JobStatus struct {
	ID          string                `json:"id"`
	Name        string                `json:"name,omitempty"`
	Team        string                `json:"team,omitempty"`
	Service     string                `json:"service,omitempty"`
	State       statemachine.JobState `json:"state"`
	Attempts    int                   `json:"attempts"`
	Instance    string                `json:"instance,omitempty"`
	Urgent      bool                  `json:"urgent,omitempty"`
	Reason      string                `json:"reason,omitempty"`
	ResultBytes int                   `json:"result_bytes"`
}

// JobResult is the response body with the result of a finished job.
type JobResult struct {
	ID           string                `json:"id"`
	State        statemachine.JobState `json:"state"`
	Run          record.Execution      `json:"run,omitempty"`
	StatusCode   int                   `json:"status_code,omitempty"`
	ContentType  string                `json:"content_type,omitempty"`
	ResultBase64 []byte                `json:"result_base64,omitempty"`
	ResultBytes  int                   `json:"result_bytes"`
	Reason       string                `json:"reason,omitempty"`
}

func newJobStatus(j statemachine.Job) JobStatus {
	return JobStatus{
		ID: j.ID, Name: j.Name, Team: j.Team, Service: j.Service, State: j.State, Attempts: j.Attempt, Instance: j.Instance,
		Urgent: j.Urgent, Reason: j.Reason, ResultBytes: len(j.Result),
	}
}

func (g *Gateway) submitToService(w http.ResponseWriter, r *http.Request) {
	id, problem := g.authenticate(g.cfg.Document(), r)
	if problem != nil {
		g.writeProblem(w, problem)
		return
	}
	g.submitJob(w, r, record.JobAccept{
		Team: id.Team, KeyID: id.KeyID, Service: chi.URLParam(r, "service"),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
	})
}

// submitToQueue accepts jobs without a key only on open queues. Such jobs are charged to the team that the document
// assigns to the queue.
func (g *Gateway) submitToQueue(w http.ResponseWriter, r *http.Request) {
	doc := g.cfg.Document()
	queue, known := doc.Queue(chi.URLParam(r, "queue"))
	op := record.JobAccept{Queue: queue.Name, Service: queue.Service, IdempotencyKey: r.Header.Get(HeaderIdempotencyKey)}
	if known && queue.Open {
		if ok, reason := g.cfg.TakesKeyedWork(); !ok {
			g.writeProblem(w, newProblem(http.StatusServiceUnavailable, ReasonNoContact, reason).withRetryAfter())
			return
		}
		op.Team = queue.Team
		if op.IdempotencyKey != "" {
			// Anyone may submit to an open queue. The prefix prevents these idempotency keys from matching the jobs
			// that the team submits with its own API key.
			op.IdempotencyKey = "queue/" + queue.Name + "/" + op.IdempotencyKey
		}
		if isTrue(r, HeaderUrgent) {
			g.writeProblem(w, newProblem(http.StatusForbidden, ReasonUrgentNotAllowed, "an open queue has no urgent work"))
			return
		}
		g.submitJob(w, r, op)
		return
	}
	id, problem := g.authenticate(doc, r)
	if problem == nil && !known {
		problem = newProblem(http.StatusNotFound, ReasonUnknownQueue, "no such queue")
	}
	if problem != nil {
		g.writeProblem(w, problem)
		return
	}
	op.Team, op.KeyID = id.Team, id.KeyID
	g.submitJob(w, r, op)
}

func (g *Gateway) submitJob(w http.ResponseWriter, r *http.Request, op record.JobAccept) {
	doc := g.cfg.Document()
	problem := checkHeader(doc, op.Team, r)
	if problem == nil && len(r.Header.Get(HeaderIdempotencyKey)) > maxIdempotencyKeyBytes {
		problem = newProblem(http.StatusBadRequest, ReasonInvalidRequest, "the idempotency key is too long")
	}
	if problem == nil {
		op.Body, problem = readJobBody(w, r, doc.Limits.JobBodyBytes)
	}
	if problem != nil {
		g.writeProblem(w, problem)
		return
	}
	op.Job = ulid.Make().String()
	op.Name = r.Header.Get(HeaderJobName)
	op.ContentType = r.Header.Get("Content-Type")
	op.NonIdempotent = isTrue(r, HeaderNonIdempotent)
	op.Urgent = isTrue(r, HeaderUrgent)
	if op.IdempotencyKey != "" {
		op.Fingerprint = jobFingerprint(op)
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	outcome, err := g.submit(ctx, record.Op{JobAccept: &op})
	switch {
	case err != nil:
		problem := newProblem(http.StatusServiceUnavailable, ReasonLogUnavailable, err.Error()).withRetryAfter()
		if !errors.Is(err, g.cfg.NotSent) {
			problem.Run = record.ExecutionMayHaveRun // the op may still be applied
		}
		g.writeProblem(w, problem)
	case outcome.Accepted:
		g.cfg.Metrics.jobs.Add(1)
		g.writeJob(w, http.StatusAccepted, outcome.Job, op)
	case outcome.Reason == statemachine.ReasonDuplicate:
		g.writeJob(w, http.StatusOK, outcome.Job, op)
	default:
		g.writeProblem(w, rejectionProblem(outcome))
	}
}

// writeJob answers with the status of a submitted job. If the job is no longer in the state because it was removed
// after its outcome, the answer is built from the submitted op.
func (g *Gateway) writeJob(w http.ResponseWriter, status int, id string, op record.JobAccept) {
	job, ok := g.cfg.Job(id)
	if !ok {
		job = statemachine.Job{ID: id, Name: op.Name, Team: op.Team, Service: op.Service, State: statemachine.JobWaiting}
	}
	w.Header().Set("Location", "/v1/jobs/"+id)
	if op.KeyID == "" {
		writeJSON(w, status, JobStatus{ID: id, State: job.State})
		return
	}
	writeJSON(w, status, newJobStatus(job))
}

func readJobBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *Problem) {
	body, err := ingress.ReadBody(w, r, limit)
	if err != nil {
		w.Header().Set("Connection", "close") // the rest of the body is unread
		return nil, bodyProblem(err)
	}
	return body, nil
}

func jobFingerprint(op record.JobAccept) string {
	h := sha256.New()
	h.Write([]byte(op.Service + "\x00" + op.ContentType + "\x00"))
	h.Write(op.Body)
	return hex.EncodeToString(h.Sum(nil))
}

func rejectionProblem(outcome statemachine.Outcome) *Problem {
	switch outcome.Reason {
	case statemachine.ReasonIdempotencyKeyConflict:
		return newProblem(http.StatusConflict, ReasonIdempotencyKeyConflict, outcome.Detail)
	case statemachine.ReasonKeyWithdrawn:
		return newProblem(http.StatusUnauthorized, ReasonKeyWithdrawn, outcome.Detail)
	case statemachine.ReasonUnknownService:
		return newProblem(http.StatusNotFound, ReasonUnknownService, outcome.Detail)
	case statemachine.ReasonJobsFull:
		return newProblem(http.StatusServiceUnavailable, ReasonQueueFull, outcome.Detail).withRetryAfter()
	default:
		return newProblem(http.StatusServiceUnavailable, ReasonRejected, string(outcome.Reason)+": "+outcome.Detail).
			withRetryAfter()
	}
}

// teamJob returns the requested job if it belongs to the caller's team. For the job of another team it sends the same
// answer as for a job that does not exist.
func (g *Gateway) teamJob(w http.ResponseWriter, r *http.Request) (statemachine.Job, bool) {
	id, problem := g.authenticate(g.cfg.Document(), r)
	if problem != nil {
		g.writeProblem(w, problem)
		return statemachine.Job{}, false
	}
	job, ok := g.cfg.Job(chi.URLParam(r, "id"))
	if !ok || job.Team != id.Team {
		g.writeProblem(w, newProblem(http.StatusNotFound, ReasonUnknownJob, "no such job"))
		return statemachine.Job{}, false
	}
	return job, true
}

func (g *Gateway) jobStatus(w http.ResponseWriter, r *http.Request) {
	if job, ok := g.teamJob(w, r); ok {
		writeJSON(w, http.StatusOK, newJobStatus(job))
	}
}

func (g *Gateway) jobResult(w http.ResponseWriter, r *http.Request) {
	job, ok := g.teamJob(w, r)
	if !ok {
		return
	}
	if !job.Finished() {
		run := record.ExecutionNotRun
		if job.Attempt > 0 {
			run = record.ExecutionMayHaveRun
		}
		g.writeProblem(w, newProblem(http.StatusConflict, ReasonJobNotFinished, "the job is "+string(job.State)).
			withExecution(run).withRetryAfter())
		return
	}
	result := JobResult{
		ID: job.ID, State: job.State, StatusCode: job.Status, ContentType: job.ResultContentType,
		ResultBase64: job.Result, ResultBytes: len(job.Result), Reason: job.Reason,
	}
	if job.State == statemachine.JobUnknown {
		result.Run = record.ExecutionMayHaveRun
	}
	writeJSON(w, http.StatusOK, result)
}

func (g *Gateway) cancelJob(w http.ResponseWriter, r *http.Request) {
	job, ok := g.teamJob(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	outcome, err := g.submit(ctx, record.Op{
		JobCancel: &record.JobCancel{Jobs: []string{job.ID}, Actor: "team " + job.Team},
	})
	if err != nil {
		g.writeProblem(w, newProblem(http.StatusServiceUnavailable, ReasonLogUnavailable, err.Error()).
			withExecution(record.ExecutionMayHaveRun).withRetryAfter())
		return
	}
	if !outcome.Accepted {
		g.writeProblem(w, newProblem(http.StatusConflict, ReasonJobFinished, "the job has finished").
			withExecution(record.ExecutionMayHaveRun))
		return
	}
	job.State = statemachine.JobCancelled
	writeJSON(w, http.StatusOK, newJobStatus(job))
}
