package devmode

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The load of jobs.
const (
	jobsPerSecond = 10.0
	minJobWorkMS  = 50
	maxJobWorkMS  = 500
	// jobSubmitPart is the part of the demo during which jobs are submitted, so that the last ones end within it.
	jobSubmitPart = 0.8
	// jobResultTimeout bounds the wait for the last results. A job without a result by then is lost.
	jobResultTimeout = 60 * time.Second
)

// jobBody is the body of a job for the worker stand-in.
type jobBody struct {
	WorkMS          int    `json:"work_ms"`
	CallerRequestID string `json:"caller_request_id"`
	Team            string `json:"team"`
	Sequence        int    `json:"sequence"`
}

// acceptedJob is a job that pollenlead said it had accepted.
type acceptedJob struct {
	id            string
	requestID     string
	key           string
	sum           string
	nonIdempotent bool
	state         string
	wrong         bool
}

// jobLoad submits jobs and checks that each accepted one gets its result.
type jobLoad struct {
	system *system
	client *http.Client

	mu       sync.Mutex
	accepted []*acceptedJob
	refused  int
}

func newJobLoad(s *system) *jobLoad {
	return &jobLoad{system: s, client: newCallerClient()}
}

func (l *jobLoad) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.system.moment(jobSubmitPart))
	defer cancel()
	rng := rand.New(rand.NewPCG(l.system.options.Seed, 99))
	var submissions sync.WaitGroup
	defer submissions.Wait()
	for n := 0; ; n++ {
		if !sleepUntil(ctx, time.Now().Add(time.Duration(rng.ExpFloat64()/jobsPerSecond*float64(time.Second)))) {
			return
		}
		entries := l.system.entries.callers()
		team := l.system.teams[rng.IntN(len(l.system.teams))]
		id := fmt.Sprintf("%sjob-%d", l.system.prefix, n)
		body, err := json.Marshal(jobBody{
			WorkMS: minJobWorkMS + rng.IntN(maxJobWorkMS-minJobWorkMS), CallerRequestID: id, Team: team.name, Sequence: n,
		})
		if err != nil {
			return
		}
		sum := sha256.Sum256(body)
		j := &acceptedJob{
			requestID: id, key: l.system.keys.teams[team.name],
			sum: hex.EncodeToString(sum[:]), nonIdempotent: rng.Float64() < nonIdempotentShare,
		}
		entry, service := entries[rng.IntN(len(entries))], l.system.services[rng.IntN(len(l.system.services))]
		submissions.Go(func() { l.submit(entry, service, body, j) })
	}
}

func (l *jobLoad) submit(entry, service string, body []byte, j *acceptedJob) {
	req, err := http.NewRequest(http.MethodPost, entry+"/v1/services/"+service+"/jobs", bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+j.key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", j.requestID)
	if j.nonIdempotent {
		req.Header.Set("Pollenlead-Non-Idempotent", "true")
	}
	var status struct {
		ID string `json:"id"`
	}
	code, err := l.do(req, &status)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil || code >= 300 || status.ID == "" {
		l.refused++
		return
	}
	j.id = status.ID
	l.accepted = append(l.accepted, j)
}

func (l *jobLoad) do(req *http.Request, answer any) (int, error) {
	resp, err := l.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, err
	}
	return resp.StatusCode, json.Unmarshal(data, answer)
}

// awaitResults asks for every accepted job until each has ended or the time is over.
func (l *jobLoad) awaitResults(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, jobResultTimeout)
	defer cancel()
	for {
		open := 0
		for _, j := range l.accepted {
			if j.state == "" && !l.fetch(ctx, j) {
				open++
			}
		}
		if open == 0 || !sleepUntil(ctx, time.Now().Add(5*pollInterval)) {
			return
		}
	}
}

// fetch reports whether the job has ended, and keeps how.
func (l *jobLoad) fetch(ctx context.Context, j *acceptedJob) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.system.entries.callers()[0]+"/v1/jobs/"+j.id+"/result", nil)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+j.key)
	var result struct {
		State        string `json:"state"`
		ResultBase64 []byte `json:"result_base64"`
	}
	code, err := l.do(req, &result)
	if err != nil || code != http.StatusOK {
		return false
	}
	switch result.State {
	case "succeeded":
		j.wrong = string(result.ResultBase64) != j.sum
	case "failed", "unknown", "cancelled":
	default:
		return false
	}
	j.state = result.State
	return true
}

func (l *jobLoad) summarize(r *Report, executions func(id string) int) {
	r.JobsRefused = l.refused
	for _, j := range l.accepted {
		r.Jobs++
		switch {
		case j.state == "":
			r.Lost++
		case j.wrong:
			r.WrongAnswer++
		case j.state == "succeeded":
			r.JobsSucceeded++
		case j.state == "unknown":
			r.JobsUnknown++
		case j.state == "failed":
			r.JobsFailed++
		}
		if j.nonIdempotent && executions(j.requestID) > 1 {
			r.Doubled++
		}
	}
}
