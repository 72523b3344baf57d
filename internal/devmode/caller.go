package devmode

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// callerTimeout is the timeout of a caller's request. It is longer than the maximum queueing time plus the service
// timeout, so a request that times out was lost by pollenlead.
const callerTimeout = 45 * time.Second

// callRequest is one synchronous request of a caller. Two requests with the same idempotency key ask for the same work.
type callRequest struct {
	id             string
	entryURL       string
	service        string
	team           string
	key            string
	urgent         bool
	nonIdempotent  bool
	idempotencyKey string
	workMS         int
}

// workID identifies the work that the request asks for. Non-idempotent work must not run more than once, even if
// several requests ask for it.
func (c callRequest) workID() string {
	if c.idempotencyKey != "" {
		return c.idempotencyKey
	}
	return c.id
}

// newCallerClient returns the HTTP client that all callers share.
func newCallerClient() *http.Client {
	return &http.Client{
		Timeout: callerTimeout,
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
			MaxIdleConnsPerHost: 512,
			MaxIdleConns:        4096,
			IdleConnTimeout:     30 * time.Second,
		},
	}
}

// call sends the request, checks the response against the request, and returns the outcome.
func call(ctx context.Context, client *http.Client, c callRequest, rng *rand.Rand) result {
	body := randomBody(rng)
	r := result{id: c.id, work: c.workID(), urgent: c.urgent, nonIdempotent: c.nonIdempotent}
	req, err := newHTTPRequest(ctx, c, body)
	if err != nil {
		r.outcome = outcomeLost
		return r
	}
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		r.outcome, r.reason = classifyError(err)
		return r
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(resp.Body)
	r.latency = time.Since(start)
	if err != nil {
		r.outcome, r.reason = outcomeUnknown, "truncated"
		return r
	}
	r.outcome, r.reason = classifyResponse(resp, body, respBody)
	return r
}

func newHTTPRequest(ctx context.Context, c callRequest, body []byte) (*http.Request, error) {
	url := c.entryURL + "/v1/services/" + c.service + "/requests/work"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the client cannot retry the request on its own. The demo counts executions per request.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Caller-Request-Id", c.id)
	req.Header.Set("Team", c.team)
	req.Header.Set("Work-Ms", strconv.Itoa(c.workMS))
	if c.urgent {
		req.Header.Set("Pollenlead-Urgent", "true")
	}
	if c.nonIdempotent {
		req.Header.Set("Pollenlead-Non-Idempotent", "true")
	}
	if c.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", c.idempotencyKey)
	}
	return req, nil
}

func randomBody(rng *rand.Rand) []byte {
	body := make([]byte, 64+rng.IntN(960))
	for i := range body {
		body[i] = byte(rng.Uint32())
	}
	return body
}

// classifyError returns the outcome of a request that got no response: lost after a timeout, because callerTimeout
// exceeds every time limit of pollenlead, and unknown after any other error of the connection.
func classifyError(err error) (outcome, string) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return outcomeLost, "timeout"
	}
	return outcomeUnknown, "connection"
}

// classifyResponse returns the outcome that a response reports. A successful one must begin with the SHA-256 of the
// request's body.
func classifyResponse(resp *http.Response, reqBody, respBody []byte) (outcome, string) {
	if resp.StatusCode == http.StatusOK {
		sum := sha256.Sum256(reqBody)
		if strings.HasPrefix(string(respBody), hex.EncodeToString(sum[:])+"\n") {
			return outcomeAnswered, ""
		}
		return outcomeWrongAnswer, ""
	}
	var problem struct {
		Reason string `json:"reason"`
		Run    string `json:"run"`
	}
	if json.Unmarshal(respBody, &problem) != nil {
		return outcomeUnknown, "status_" + strconv.Itoa(resp.StatusCode)
	}
	if problem.Run == "not_run" {
		return outcomeRefusedNotRun, problem.Reason
	}
	return outcomeUnknown, problem.Reason
}
