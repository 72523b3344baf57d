// Package logclient is the HTTP client of the platform's log.
package logclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"pollenlead/internal/platform"
	"pollenlead/internal/platform/httpcall"
	"pollenlead/internal/platform/traffic"
)

const (
	// defaultTimeout bounds a call without its waiting time. A slow log still answers in it.
	defaultTimeout = 5 * time.Second
	// maxConnections is enough for an append, a waiting read and relayed calls at the same time.
	maxConnections = 8
	// maxAppendAnswerBytes bounds the answer to an append.
	maxAppendAnswerBytes = 64 << 10
	// maxReadAnswerBytes bounds the answer to a read. Readers ask for batches that are far smaller.
	maxReadAnswerBytes = 32 << 20
)

// Client is a platform.Log. It is safe for concurrent use.
type Client struct {
	peer    httpcall.Peer
	timeout time.Duration
}

// New returns the client of the log at a base URL. A timeout of 0 means 5 s; reads add their waiting time.
func New(baseURL string, timeout time.Duration) *Client { return NewCounted(baseURL, timeout, nil) }

// NewCounted is New with a counter of the bytes of the client's connections, which may be nil.
func NewCounted(baseURL string, timeout time.Duration, counter *traffic.Counter) *Client {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return &Client{
		peer:    httpcall.NewPeer("log", baseURL, maxConnections, counter),
		timeout: timeout,
	}
}

type appendAnswer struct {
	Offset *uint64 `json:"offset"`
}

type batchAnswer struct {
	First   uint64 `json:"first"`
	Next    uint64 `json:"next"`
	Records []struct {
		Offset uint64 `json:"offset"`
		Data   []byte `json:"data"`
	} `json:"records"`
}

// Append implements platform.Log. It never repeats an append; the caller does, with the same record.
func (c *Client) Append(ctx context.Context, data []byte) (uint64, error) {
	req := httpcall.Request{
		Step:        "append",
		Method:      http.MethodPost,
		Path:        "/append",
		ContentType: "application/octet-stream",
		Body:        data,
		Timeout:     c.timeout,
		MaxAnswer:   maxAppendAnswerBytes,
	}
	var answer appendAnswer
	if err := c.peer.CallJSON(ctx, req, nil, &answer); err != nil {
		return 0, err
	}
	if answer.Offset == nil {
		return 0, httpcall.Fail(platform.ErrOutcomeUnknown, errNoOffset, req.Step, c.peer.Name)
	}
	return *answer.Offset, nil
}

// errNoOffset says that the log answered an append without its offset.
var errNoOffset = fmt.Errorf("the answer has no offset")

// Read implements platform.Log.
func (c *Client) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (platform.Batch, error) {
	query := url.Values{
		"from":    {fmt.Sprint(from)},
		"limit":   {fmt.Sprint(limit)},
		"wait_ms": {fmt.Sprint(wait.Milliseconds())},
	}
	req := httpcall.Request{
		Step:      "read",
		Method:    http.MethodGet,
		Path:      "/read?" + query.Encode(),
		Timeout:   c.timeout + wait,
		MaxAnswer: maxReadAnswerBytes,
	}
	answer, err := c.peer.Call(ctx, req)
	if err != nil {
		return platform.Batch{}, err
	}
	return c.decodeBatch(req.Step, answer)
}

func (c *Client) decodeBatch(step string, answer httpcall.Answer) (platform.Batch, error) {
	if answer.Status != http.StatusOK && answer.Status != http.StatusGone {
		cause := &httpcall.StatusError{Status: answer.Status, Detail: string(answer.Body)}
		return platform.Batch{}, httpcall.Fail(httpcall.KindOfStatus(answer.Status), cause, step, c.peer.Name)
	}
	var batch batchAnswer
	if err := json.Unmarshal(answer.Body, &batch); err != nil {
		return platform.Batch{}, httpcall.Fail(platform.ErrOutcomeUnknown, err, step, c.peer.Name)
	}
	if answer.Status == http.StatusGone {
		return platform.Batch{}, httpcall.Fail(platform.ErrNoEffect, &platform.TrimmedError{First: batch.First}, step, c.peer.Name)
	}
	result := platform.Batch{First: batch.First, Next: batch.Next, Entries: make([]platform.Entry, 0, len(batch.Records))}
	for _, r := range batch.Records {
		result.Entries = append(result.Entries, platform.Entry{Offset: r.Offset, Data: r.Data})
	}
	return result, nil
}

// Close closes idle connections.
func (c *Client) Close() { httpcall.CloseIdle(c.peer.Transport) }
