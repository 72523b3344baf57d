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

// The job load.
const (
	jobsPerSecond = 10.0
	minJobWorkMS  = 50
	maxJobWorkMS  = 500
	// jobSubmitFraction is the fraction of the demo's duration during which jobs are submitted. It is below 1 so that
	// the last jobs end within the demo.
	jobSubmitFraction = 0.8
	// jobResultTimeout is the timeout of the wait for the last results. A job without a result by then counts as lost.
	jobResultTimeout = 60 * time.Second
)

// jobBody is the body of a job for the worker stand-in.
type jobBody struct {
	WorkMS          int    `json:"work_ms"`
	CallerRequestID string `json:"caller_request_id"`
	Team            string `json:"team"`
	Sequence        int    `json:"sequence"`
}

// acceptedJob is a job whose submission pollenlead has accepted.
type acceptedJob struct {
	id            string
	requestID     string
	key           string
	checksum      string
	nonIdempotent bool
	state         string
	wrongResult   bool
}

// jobLoad submits jobs and checks that every accepted job gets its result.
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
	ctx, cancel := context.WithTimeout(ctx, l.system.fractionOfRun(jobSubmitFraction))
	defer cancel()
	rng := rand.New(rand.NewPCG(l.system.options.Seed, 99))
	var submissions sync.WaitGroup
	defer submissions.Wait()
	for n := 0; ; n++ {
		if !sleepUntil(ctx, time.Now().Add(time.Duration(rng.ExpFloat64()/jobsPerSecond*float64(time.Second)))) {
			return
		}
		entries := l.system.balancer.callersURLs()
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
			checksum: hex.EncodeToString(sum[:]), nonIdempotent: rng.Float64() < nonIdempotentShare,
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

// awaitResults polls the result of every accepted job until all jobs have ended or jobResultTimeout has passed.
func (l *jobLoad) awaitResults(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, jobResultTimeout)
	defer cancel()
	for {
		pending := 0
		for _, j := range l.accepted {
			if j.state == "" && !l.fetchResult(ctx, j) {
				pending++
			}
		}
		if pending == 0 || !sleepUntil(ctx, time.Now().Add(5*pollInterval)) {
			return
		}
	}
}

// fetchResult reports whether the job has ended, and records its final state.
func (l *jobLoad) fetchResult(ctx context.Context, j *acceptedJob) bool {
	url := l.system.balancer.callersURLs()[0] + "/v1/jobs/" + j.id + "/result"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
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
		j.wrongResult = string(result.ResultBase64) != j.checksum
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
		case j.wrongResult:
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
