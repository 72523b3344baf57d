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

// callerTimeout is when a caller gives up. It is longer than queueing and service time together, so a request that
// reaches it was lost by pollenlead.
const callerTimeout = 45 * time.Second

// callRequest is one synchronous request of a caller. Two requests with one idempotency key are the same work.
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

// work names what the request asks for: requests for the same work must not run twice if it is not idempotent.
func (c callRequest) work() string {
	if c.idempotencyKey != "" {
		return c.idempotencyKey
	}
	return c.id
}

// newCallerClient returns the HTTP client of all callers.
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

// call sends the request and judges the answer by what it asked for.
func call(ctx context.Context, client *http.Client, c callRequest, rng *rand.Rand) result {
	body := randomBody(rng)
	r := result{id: c.id, work: c.work(), urgent: c.urgent, nonIdempotent: c.nonIdempotent}
	req, err := newCall(ctx, c, body)
	if err != nil {
		r.outcome = outcomeLost
		return r
	}
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		r.outcome, r.reason = judgeError(err)
		return r
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	r.latency = time.Since(start)
	if err != nil {
		r.outcome, r.reason = outcomeUnknown, "truncated"
		return r
	}
	r.outcome, r.reason = judgeAnswer(resp, body, answer)
	return r
}

func newCall(ctx context.Context, c callRequest, body []byte) (*http.Request, error) {
	url := c.entryURL + "/v1/services/" + c.service + "/requests/work"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// The client must not repeat a request by itself: the demo counts executions per request.
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

// judgeError tells a request that an entry instance did not take from one whose fate is open.
func judgeError(err error) (outcome, string) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return outcomeLost, "timeout"
	}
	return outcomeUnknown, "connection"
}

func judgeAnswer(resp *http.Response, body, answer []byte) (outcome, string) {
	if resp.StatusCode == http.StatusOK {
		sum := sha256.Sum256(body)
		if strings.HasPrefix(string(answer), hex.EncodeToString(sum[:])+"\n") {
			return outcomeAnswered, ""
		}
		return outcomeWrongAnswer, ""
	}
	var problem struct {
		Reason string `json:"reason"`
		Run    string `json:"run"`
	}
	if json.Unmarshal(answer, &problem) != nil {
		return outcomeUnknown, "status_" + strconv.Itoa(resp.StatusCode)
	}
	if problem.Run == "not_run" {
		return outcomeRefusedNotRun, problem.Reason
	}
	return outcomeUnknown, problem.Reason
}
