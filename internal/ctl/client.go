package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"pollenlead/internal/operator"
)

// maxResponseBytes bounds the bytes read of one response body.
const maxResponseBytes = 64 << 20

// apiError is a problem detail returned by an entry instance.
type apiError struct {
	operator.ErrorResponse
	Run string `json:"run"`
}

// Error implements error.
func (e *apiError) Error() string {
	text := fmt.Sprintf("%d %s: %s", e.Status, e.Reason, e.Detail)
	if e.Run != "" {
		text += " (run: " + e.Run + ")"
	}
	return text
}

// call sends a request and decodes the JSON response into answer, unless answer is nil.
func (s *session) call(method, base, path string, header http.Header, body []byte, answer any) (*http.Response, error) {
	resp, data, err := s.callRaw(method, base, path, header, body)
	if err != nil || answer == nil {
		return resp, err
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return resp, fmt.Errorf("decode the response to %s %s: %w", method, path, err)
	}
	return resp, nil
}

func (s *session) callRaw(method, base, path string, header http.Header, body []byte) (*http.Response, []byte, error) {
	key, err := s.key()
	if err != nil {
		return nil, nil, err
	}
	req, err := http.NewRequestWithContext(s.ctx, method, strings.TrimSuffix(base, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, fmt.Errorf("%s %s at %s: %w", method, path, base, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, nil, fmt.Errorf("read the response to %s %s: %w", method, path, err)
	}
	if resp.StatusCode < 300 {
		return resp, data, nil
	}
	problem := &apiError{}
	if json.Unmarshal(data, problem) != nil || problem.Reason == "" {
		problem.Reason, problem.Detail = "unexpected_answer", strings.TrimSpace(string(data[:min(len(data), 200)]))
	}
	problem.Status = resp.StatusCode
	return resp, data, problem
}
