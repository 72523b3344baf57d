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
	// defaultTimeout limits the duration of a call, without the wait of a read. A slow log still responds within it.
	defaultTimeout = 5 * time.Second
	// maxConnections is enough for an append, a waiting read and relayed calls at the same time.
	maxConnections = 8
	// maxAppendResponseBytes limits the response to an append.
	maxAppendResponseBytes = 64 << 10
	// maxReadResponseBytes limits the response to a read. Readers request batches that are far smaller.
	maxReadResponseBytes = 32 << 20
)

// Client implements platform.Log. It is safe for concurrent use.
type Client struct {
	peer    httpcall.Peer
	timeout time.Duration
}

// New returns a client of the log at a base URL. A timeout of 0 means 5 s; reads add their wait to it.
func New(baseURL string, timeout time.Duration) *Client { return NewCounted(baseURL, timeout, nil) }

// NewCounted is like New, and counter counts the bytes of the client's connections. counter may be nil.
func NewCounted(baseURL string, timeout time.Duration, counter *traffic.Counter) *Client {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return &Client{
		peer:    httpcall.NewPeer("log", baseURL, maxConnections, counter),
		timeout: timeout,
	}
}

type appendResponse struct {
	Offset *uint64 `json:"offset"`
}

type readResponse struct {
	First   uint64 `json:"first"`
	Next    uint64 `json:"next"`
	Records []struct {
		Offset uint64 `json:"offset"`
		Data   []byte `json:"data"`
	} `json:"records"`
}

// Append implements platform.Log. It never retries; the caller does, with the same record.
func (c *Client) Append(ctx context.Context, data []byte) (uint64, error) {
	req := httpcall.Request{
		Step:             "append",
		Method:           http.MethodPost,
		Path:             "/append",
		ContentType:      "application/octet-stream",
		Body:             data,
		Timeout:          c.timeout,
		MaxResponseBytes: maxAppendResponseBytes,
	}
	var response appendResponse
	if err := c.peer.CallJSON(ctx, req, nil, &response); err != nil {
		return 0, err
	}
	if response.Offset == nil {
		return 0, httpcall.WrapError(platform.ErrOutcomeUnknown, errNoOffset, req.Step, c.peer.Name)
	}
	return *response.Offset, nil
}

// errNoOffset is the cause of an append error if the log reports success without an offset.
var errNoOffset = fmt.Errorf("the append response has no offset")

// Read implements platform.Log.
func (c *Client) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (platform.Batch, error) {
	query := url.Values{
		"from":    {fmt.Sprint(from)},
		"limit":   {fmt.Sprint(limit)},
		"wait_ms": {fmt.Sprint(wait.Milliseconds())},
	}
	req := httpcall.Request{
		Step:             "read",
		Method:           http.MethodGet,
		Path:             "/read?" + query.Encode(),
		Timeout:          c.timeout + wait,
		MaxResponseBytes: maxReadResponseBytes,
	}
	response, err := c.peer.Call(ctx, req)
	if err != nil {
		return platform.Batch{}, err
	}
	return c.decodeBatch(req.Step, response)
}

func (c *Client) decodeBatch(step string, response httpcall.Response) (platform.Batch, error) {
	if response.Status != http.StatusOK && response.Status != http.StatusGone {
		cause := &httpcall.StatusError{Status: response.Status, Detail: string(response.Body)}
		return platform.Batch{}, httpcall.WrapError(httpcall.ClassifyStatus(response.Status), cause, step, c.peer.Name)
	}
	var batch readResponse
	if err := json.Unmarshal(response.Body, &batch); err != nil {
		return platform.Batch{}, httpcall.WrapError(platform.ErrOutcomeUnknown, err, step, c.peer.Name)
	}
	if response.Status == http.StatusGone {
		trimmed := &platform.TrimmedError{First: batch.First}
		return platform.Batch{}, httpcall.WrapError(platform.ErrNoEffect, trimmed, step, c.peer.Name)
	}
	result := platform.Batch{First: batch.First, Next: batch.Next, Entries: make([]platform.Entry, 0, len(batch.Records))}
	for _, r := range batch.Records {
		result.Entries = append(result.Entries, platform.Entry{Offset: r.Offset, Data: r.Data})
	}
	return result, nil
}

// Close closes idle connections.
func (c *Client) Close() { httpcall.CloseIdle(c.peer.Transport) }
