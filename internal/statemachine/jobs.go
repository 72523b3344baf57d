package statemachine

import (
	"pollenlead/internal/record"
)

// The size of a snapshot is limited to 64 MiB. At maxJobBytesForAccept no more jobs are accepted, and beyond
// maxJobBytesForResult no more results are stored, so that the jobs never make the state too large for a snapshot.
// Without a snapshot no entry instance could start after a trim of the log.
const (
	maxJobBytesForAccept = 36 << 20
	maxJobBytesForResult = 52 << 20
	// jobOverheadBytes is the estimated encoded size of a job without its body and result.
	jobOverheadBytes = 400
)

// estimateJobBytes returns the approximate size of a job in the encoded state, where bodies and results are in base64.
func estimateJobBytes(job *Job) int { return jobOverheadBytes + (len(job.Body)+len(job.Result))*4/3 }

// JobState is the state of a job.
type JobState string

// The states of a job.
const (
	JobWaiting   JobState = "waiting"
	JobStarted   JobState = "started"
	JobSucceeded JobState = "succeeded"
	JobFailed    JobState = "failed"
	JobUnknown   JobState = "unknown"
	JobCancelled JobState = "cancelled"
)

// Job is an accepted job. It stays in the state until a job_forget op removes it some time after it finished.
type Job struct {
	ID             string   `json:"id"`
	Name           string   `json:"name,omitempty"`
	Team           string   `json:"team"`
	Service        string   `json:"service"`
	IdempotencyKey string   `json:"idempotency_key,omitempty"`
	Fingerprint    string   `json:"fingerprint,omitempty"`
	NonIdempotent  bool     `json:"non_idempotent,omitempty"`
	Urgent         bool     `json:"urgent,omitempty"`
	ContentType    string   `json:"content_type,omitempty"`
	Body           []byte   `json:"body,omitempty"`
	State          JobState `json:"state"`
	Holder         string   `json:"holder"`
	Attempt        int      `json:"attempt"`
	Instance       string   `json:"instance,omitempty"`
	// Adopted reports that an earlier holder started the current attempt.
	Adopted bool `json:"adopted,omitempty"`
	// LeaseExpired reports that the unit and the slot of the current attempt ended with a revoked session or for lack of
	// an open session. The worker lease of the attempt has expired, so the task no longer runs.
	LeaseExpired      bool   `json:"lapsed,omitempty"`
	Status            int    `json:"status,omitempty"`
	ResultContentType string `json:"result_content_type,omitempty"`
	Result            []byte `json:"result,omitempty"`
	Reason            string `json:"reason,omitempty"`
}

// Finished reports whether the job is in a final state.
func (j *Job) Finished() bool { return j.State != JobWaiting && j.State != JobStarted }

// Job returns a copy of a job. Its slices must not be changed.
func (s *State) Job(id string) (Job, bool) {
	j, ok := s.d.Jobs[id]
	if !ok {
		return Job{}, false
	}
	return *j, true
}

// JobsOf returns the unfinished jobs of holder, ordered by ID.
func (s *State) JobsOf(holder string) []Job {
	var jobs []Job
	open := s.openJobs[holder]
	for _, id := range sortedKeys(open) {
		jobs = append(jobs, *open[id])
	}
	return jobs
}

// FinishedJobs returns the IDs of the finished jobs that are still stored, in order.
func (s *State) FinishedJobs() []string {
	var ids []string
	for _, id := range sortedKeys(s.d.Jobs) {
		if s.d.Jobs[id].Finished() {
			ids = append(ids, id)
		}
	}
	return ids
}

// JobCounts returns the number of jobs by state.
func (s *State) JobCounts() map[JobState]int {
	counts := map[JobState]int{}
	for _, j := range s.d.Jobs {
		counts[j.State]++
	}
	return counts
}

// scopedKey joins a team and an idempotency key, which is unique within the team. Team names never contain a zero byte.
func scopedKey(team, idempotencyKey string) string { return team + "\x00" + idempotencyKey }

func (s *State) acceptJob(session *Session, op record.JobAccept) Outcome {
	if op.Job == "" {
		return rejected(ReasonInvalid, "no job ID")
	}
	if _, ok := s.d.Jobs[op.Job]; ok {
		return Outcome{Reason: ReasonDuplicate, Job: op.Job}
	}
	team, ok := s.doc.Team(op.Team)
	if !ok {
		return rejected(ReasonUnknownTeam, "team %s", op.Team)
	}
	if _, ok := s.doc.Service(op.Service); !ok {
		return rejected(ReasonUnknownService, "service %s", op.Service)
	}
	if !s.isAuthorized(op) {
		return rejected(ReasonKeyWithdrawn, "key %s of team %s", op.KeyID, team.Name)
	}
	if op.IdempotencyKey != "" {
		if outcome, taken := s.checkIdempotencyKey(op); taken {
			return outcome
		}
	}
	if s.jobBytes >= maxJobBytesForAccept {
		return rejected(ReasonJobsFull, "the jobs that are kept take %d bytes, the limit is %d",
			s.jobBytes, maxJobBytesForAccept)
	}
	if op.IdempotencyKey != "" {
		s.d.JobKeys[scopedKey(op.Team, op.IdempotencyKey)] = op.Job
	}
	s.d.Jobs[op.Job] = &Job{
		ID: op.Job, Name: op.Name, Team: op.Team, Service: op.Service, IdempotencyKey: op.IdempotencyKey,
		Fingerprint: op.Fingerprint, NonIdempotent: op.NonIdempotent, Urgent: op.Urgent, ContentType: op.ContentType,
		Body: op.Body, State: JobWaiting, Holder: session.Holder,
	}
	s.addJob(s.d.Jobs[op.Job])
	return Outcome{Accepted: true, Job: op.Job}
}

// isAuthorized checks the API key, or the open queue, against the document in force at the offset of the job.
func (s *State) isAuthorized(op record.JobAccept) bool {
	if op.KeyID == "" {
		queue, ok := s.doc.Queue(op.Queue)
		return ok && queue.Open && queue.Team == op.Team && queue.Service == op.Service
	}
	team, _ := s.doc.Team(op.Team)
	for _, key := range team.Keys {
		if key.ID == op.KeyID {
			return true
		}
	}
	return false
}

// checkIdempotencyKey returns the outcome for a job whose idempotency key is in use, and false if the key is free.
func (s *State) checkIdempotencyKey(op record.JobAccept) (Outcome, bool) {
	key := scopedKey(op.Team, op.IdempotencyKey)
	if _, ok := s.d.Claims[key]; ok {
		return rejected(ReasonIdempotencyKeyConflict, "a synchronous request used the key"), true
	}
	id, ok := s.d.JobKeys[key]
	if !ok {
		return Outcome{}, false
	}
	if s.d.Jobs[id].Fingerprint != op.Fingerprint {
		return rejected(ReasonIdempotencyKeyConflict, "job %s has other content", id), true
	}
	return Outcome{Reason: ReasonDuplicate, Job: id}, true
}

func (s *State) startJob(session *Session, op record.JobStart) Outcome {
	job, ok := s.d.Jobs[op.Job]
	switch {
	case !ok:
		return rejected(ReasonUnknownJob, "job %s", op.Job)
	case job.Holder != session.Holder:
		return rejected(ReasonNotHolder, "job %s is held by %s", op.Job, job.Holder)
	case job.State != JobWaiting:
		return rejected(ReasonJobNotWaiting, "job %s is %s", op.Job, job.State)
	case op.Attempt != job.Attempt+1:
		return rejected(ReasonStaleAttempt, "job %s had %d attempts", op.Job, job.Attempt)
	}
	started := s.startedOf(session.Holder)
	if s.TeamUnits(session.Holder, job.Team) <= started.teams[job.Team] {
		return rejected(ReasonNoTeamUnit, "team %s", job.Team)
	}
	if s.InstanceSlots(session.Holder, op.Instance) <= started.instances[op.Instance] {
		return rejected(ReasonNoSlot, "instance %s", op.Instance)
	}
	s.removeJob(job)
	job.State = JobStarted
	job.Attempt = op.Attempt
	job.Instance = op.Instance
	job.Adopted, job.LeaseExpired = false, false
	s.addJob(job)
	return accepted()
}

func (s *State) finishJob(session *Session, op record.JobFinish) Outcome {
	job, ok := s.d.Jobs[op.Job]
	switch {
	case !ok:
		return rejected(ReasonUnknownJob, "job %s", op.Job)
	case job.Finished():
		return rejected(ReasonJobFinished, "job %s is %s", op.Job, job.State)
	case job.Holder != session.Holder:
		return rejected(ReasonNotHolder, "job %s is held by %s", op.Job, job.Holder)
	case op.Attempt != job.Attempt:
		return rejected(ReasonStaleAttempt, "job %s is at attempt %d", op.Job, job.Attempt)
	}
	s.removeJob(job)
	defer s.addJob(job)
	if s.jobBytes+len(op.Result)*4/3 > maxJobBytesForResult {
		op.Result, op.Reason = nil, "the result was not kept: the jobs that are kept take too many bytes"
	}
	return endAttempt(job, op)
}

func endAttempt(job *Job, op record.JobFinish) Outcome {
	// A waiting job that can never run may end as failed. Every other outcome requires a started attempt.
	if job.State != JobStarted && op.Outcome != record.OutcomeFailed {
		return rejected(ReasonInvalid, "job %s has not started", job.ID)
	}
	switch op.Outcome {
	case record.OutcomeSucceeded:
		job.State = JobSucceeded
	case record.OutcomeFailed:
		job.State = JobFailed
	case record.OutcomeUnknown:
		job.State = JobUnknown
	case record.OutcomeRetry:
		if job.NonIdempotent && job.Adopted {
			// Only the holder that started the attempt can rule out that it reached the worker.
			return rejected(ReasonMayHaveRun, "non-idempotent job %s was started by an earlier holder", job.ID)
		}
		job.State, job.Instance, job.Adopted, job.LeaseExpired, job.Reason = JobWaiting, "", false, false, op.Reason
		return accepted()
	default:
		return rejected(ReasonInvalid, "outcome %q", op.Outcome)
	}
	job.Status, job.ResultContentType, job.Result, job.Reason = op.Status, op.ContentType, op.Result, op.Reason
	job.Body = nil
	return accepted()
}

// cancelJobs cancels every named job that has not finished. The op is accepted if it cancelled at least one job.
func (s *State) cancelJobs(op record.JobCancel) Outcome {
	cancelled := 0
	for _, id := range op.Jobs {
		job, ok := s.d.Jobs[id]
		if !ok || job.Finished() {
			continue
		}
		s.removeJob(job)
		job.State, job.Body, job.Reason = JobCancelled, nil, "cancelled by "+op.Actor
		s.addJob(job)
		cancelled++
	}
	if cancelled == 0 {
		return rejected(ReasonJobFinished, "none of %d jobs could be cancelled", len(op.Jobs))
	}
	return accepted()
}

func (s *State) forgetJobs(op record.JobForget) Outcome {
	for _, id := range op.Jobs {
		if job, ok := s.d.Jobs[id]; ok && !job.Finished() {
			return rejected(ReasonJobNotFinished, "job %s", id)
		}
	}
	for _, id := range op.Jobs {
		job, ok := s.d.Jobs[id]
		if !ok {
			continue
		}
		if job.IdempotencyKey != "" {
			delete(s.d.JobKeys, scopedKey(job.Team, job.IdempotencyKey))
		}
		s.removeJob(job)
		delete(s.d.Jobs, id)
	}
	return accepted()
}
