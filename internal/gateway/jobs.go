package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/oklog/ulid/v2"

	"pollenlead/internal/record"
	"pollenlead/internal/statemachine"
)

// submitWait is the longest wait for the acceptance or the cancellation of a job; normally it takes one group commit. While
// the log is down the committer keeps trying, so without a bound callers would get no answer until the log is back.
const submitWait = 5 * time.Second

// JobStatus is the answer about a job.
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

// JobResult is the result of a finished job.
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

func statusOf(j statemachine.Job) JobStatus {
	return JobStatus{
		ID: j.ID, Name: j.Name, Team: j.Team, Service: j.Service, State: j.State, Attempts: j.Attempt, Instance: j.Instance,
		Urgent: j.Urgent, Reason: j.Reason, ResultBytes: len(j.Result),
	}
}

func (g *Gateway) submitToService(w http.ResponseWriter, r *http.Request) {
	id, problem := g.authenticate(g.c.Document(), r)
	if problem != nil {
		g.fail(w, problem)
		return
	}
	g.submitJob(w, r, record.JobAccept{
		Team: id.Team, KeyID: id.KeyID, Service: chi.URLParam(r, "service"), IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
	})
}

// submitToQueue takes jobs without a key only on open queues, which charge the team that the document names.
func (g *Gateway) submitToQueue(w http.ResponseWriter, r *http.Request) {
	doc := g.c.Document()
	queue, known := doc.Queue(chi.URLParam(r, "queue"))
	op := record.JobAccept{Queue: queue.Name, Service: queue.Service, IdempotencyKey: r.Header.Get(HeaderIdempotencyKey)}
	if known && queue.Open {
		if ok, reason := g.c.TakesKeyedWork(); !ok {
			g.fail(w, refuse(http.StatusServiceUnavailable, ReasonNoContact, reason).orLater())
			return
		}
		op.Team = queue.Team
		if op.IdempotencyKey != "" {
			// Anyone may submit here, so these keys must not name the jobs that the team submits with its own key.
			op.IdempotencyKey = "queue/" + queue.Name + "/" + op.IdempotencyKey
		}
		if isSet(r, HeaderUrgent) {
			g.fail(w, refuse(http.StatusForbidden, ReasonUrgentNotAllowed, "an open queue has no urgent work"))
			return
		}
		g.submitJob(w, r, op)
		return
	}
	id, problem := g.authenticate(doc, r)
	if problem == nil && !known {
		problem = refuse(http.StatusNotFound, ReasonUnknownQueue, "no such queue")
	}
	if problem != nil {
		g.fail(w, problem)
		return
	}
	op.Team, op.KeyID = id.Team, id.KeyID
	g.submitJob(w, r, op)
}

func (g *Gateway) submitJob(w http.ResponseWriter, r *http.Request, op record.JobAccept) {
	doc := g.c.Document()
	problem := checkHeader(doc, op.Team, r)
	if problem == nil && len(r.Header.Get(HeaderIdempotencyKey)) > maxIdempotencyKeyBytes {
		problem = refuse(http.StatusBadRequest, ReasonInvalidRequest, "the idempotency key is too long")
	}
	if problem == nil {
		op.Body, problem = readJobBody(r, doc.Limits.JobBodyBytes)
	}
	if problem != nil {
		g.fail(w, problem)
		return
	}
	op.Job = ulid.Make().String()
	op.Name = r.Header.Get(HeaderJobName)
	op.ContentType = r.Header.Get("Content-Type")
	op.NonIdempotent = isSet(r, HeaderNonIdempotent)
	op.Urgent = isSet(r, HeaderUrgent)
	if op.IdempotencyKey != "" {
		op.Fingerprint = jobFingerprint(op)
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitWait)
	defer cancel()
	outcome, err := g.submit(ctx, record.Op{JobAccept: &op})
	switch {
	case err != nil:
		problem := refuse(http.StatusServiceUnavailable, ReasonLogUnavailable, err.Error()).orLater()
		if !errors.Is(err, g.c.NotSent) {
			problem.Run = record.ExecutionMayHaveRun // the acceptance may still take effect
		}
		g.fail(w, problem)
	case outcome.Accepted:
		g.c.Metrics.jobs.Add(1)
		g.answerJob(w, http.StatusAccepted, outcome.Job, op)
	case outcome.Reason == statemachine.ReasonDuplicate:
		g.answerJob(w, http.StatusOK, outcome.Job, op)
	default:
		g.fail(w, rejection(outcome))
	}
}

// answerJob falls back to what was submitted: the job may have been forgotten between its outcome and this read.
func (g *Gateway) answerJob(w http.ResponseWriter, status int, id string, op record.JobAccept) {
	job, ok := g.c.Job(id)
	if !ok {
		job = statemachine.Job{ID: id, Name: op.Name, Team: op.Team, Service: op.Service, State: statemachine.JobWaiting}
	}
	w.Header().Set("Location", "/v1/jobs/"+id)
	if op.KeyID == "" {
		writeJSON(w, status, JobStatus{ID: id, State: job.State})
		return
	}
	writeJSON(w, status, statusOf(job))
}

func readJobBody(r *http.Request, limit int64) ([]byte, *Problem) {
	if r.ContentLength > limit {
		return nil, bodyProblem(errBodyTooLarge)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, bodyProblem(err)
	}
	if int64(len(body)) > limit {
		return nil, bodyProblem(errBodyTooLarge)
	}
	return body, nil
}

func jobFingerprint(op record.JobAccept) string {
	h := sha256.New()
	h.Write([]byte(op.Service + "\x00" + op.ContentType + "\x00"))
	h.Write(op.Body)
	return hex.EncodeToString(h.Sum(nil))
}

func rejection(outcome statemachine.Outcome) *Problem {
	switch outcome.Reason {
	case statemachine.ReasonIdempotencyKeyConflict:
		return refuse(http.StatusConflict, ReasonIdempotencyKeyConflict, outcome.Detail)
	case statemachine.ReasonKeyWithdrawn:
		return refuse(http.StatusUnauthorized, ReasonKeyWithdrawn, outcome.Detail)
	case statemachine.ReasonUnknownService:
		return refuse(http.StatusNotFound, ReasonUnknownService, outcome.Detail)
	case statemachine.ReasonJobsFull:
		return refuse(http.StatusServiceUnavailable, ReasonQueueFull, outcome.Detail).orLater()
	default:
		return refuse(http.StatusServiceUnavailable, ReasonRejected, string(outcome.Reason)+": "+outcome.Detail).orLater()
	}
}

// ownJob finds a job of the caller's team. The job of another team is answered like one that does not exist.
func (g *Gateway) ownJob(w http.ResponseWriter, r *http.Request) (statemachine.Job, bool) {
	id, problem := g.authenticate(g.c.Document(), r)
	if problem != nil {
		g.fail(w, problem)
		return statemachine.Job{}, false
	}
	job, ok := g.c.Job(chi.URLParam(r, "id"))
	if !ok || job.Team != id.Team {
		g.fail(w, refuse(http.StatusNotFound, ReasonUnknownJob, "no such job"))
		return statemachine.Job{}, false
	}
	return job, true
}

func (g *Gateway) jobStatus(w http.ResponseWriter, r *http.Request) {
	if job, ok := g.ownJob(w, r); ok {
		writeJSON(w, http.StatusOK, statusOf(job))
	}
}

func (g *Gateway) jobResult(w http.ResponseWriter, r *http.Request) {
	job, ok := g.ownJob(w, r)
	if !ok {
		return
	}
	if !job.Finished() {
		run := record.ExecutionNotRun
		if job.Attempt > 0 {
			run = record.ExecutionMayHaveRun
		}
		g.fail(w, refuse(http.StatusConflict, ReasonJobNotFinished, "the job is "+string(job.State)).withRun(run).orLater())
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
	job, ok := g.ownJob(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitWait)
	defer cancel()
	outcome, err := g.submit(ctx, record.Op{JobCancel: &record.JobCancel{Jobs: []string{job.ID}, Actor: "team " + job.Team}})
	if err != nil {
		g.fail(w, refuse(http.StatusServiceUnavailable, ReasonLogUnavailable, err.Error()).withRun(record.ExecutionMayHaveRun).orLater())
		return
	}
	if !outcome.Accepted {
		g.fail(w, refuse(http.StatusConflict, ReasonJobFinished, "the job has finished").withRun(record.ExecutionMayHaveRun))
		return
	}
	job.State = statemachine.JobCancelled
	writeJSON(w, http.StatusOK, statusOf(job))
}
