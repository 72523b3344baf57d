// Package fleetlist is the HTTP client of the platform's list of instances, which also reboots them.
package fleetlist

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"pollenlead/internal/platform"
	"pollenlead/internal/platform/httpcall"
	"pollenlead/internal/platform/traffic"
	"pollenlead/internal/record"
)

const (
	// defaultTimeout bounds a call. The list is read once a second.
	defaultTimeout = 2 * time.Second
	// maxConnections is one for the poll and one while the last poll is still being given up.
	maxConnections = 2
	// maxAnswerBytes leaves 16 KiB to each of the 860 instances of the target scale, rounded up.
	maxAnswerBytes = 16 << 20
	// maxRebootAnswerBytes has room for an error text; a success has no body.
	maxRebootAnswerBytes = 4 << 10
)

// The kinds of instances in the list.
const (
	kindWorker = "worker"
	kindEntry  = "entry"
)

// Client is a platform.FleetList and a platform.Maintainer. It is safe for concurrent use.
type Client struct {
	peer    httpcall.Peer
	timeout time.Duration
	last    atomic.Pointer[taggedListing]
}

// taggedListing is the newest listing with its entity tag.
type taggedListing struct {
	etag    string
	listing platform.Listing
}

// New returns the client of the list at a base URL. A timeout of 0 means 2 s.
func New(baseURL string, timeout time.Duration) *Client { return NewCounted(baseURL, timeout, nil) }

// NewCounted is New with a counter of the bytes of the client's connections, which may be nil.
func NewCounted(baseURL string, timeout time.Duration, counter *traffic.Counter) *Client {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return &Client{
		peer:    httpcall.NewPeer("list", baseURL, maxConnections, counter),
		timeout: timeout,
	}
}

type listAnswer struct {
	Version   uint64 `json:"version"`
	Instances []struct {
		Kind string `json:"kind"`
		record.Instance
	} `json:"instances"`
}

// List implements platform.FleetList. Instances of other kinds are left out. The caller must not change the listing.
//
// The request is conditional: at 860 workers the list has some 200 KB, and it is read every second.
func (c *Client) List(ctx context.Context) (platform.Listing, error) {
	last := c.last.Load()
	req := httpcall.Request{
		Step:      "list instances",
		Method:    http.MethodGet,
		Path:      "/instances",
		Timeout:   c.timeout,
		MaxAnswer: maxAnswerBytes,
	}
	if last != nil {
		req.IfNoneMatch = last.etag
	}
	answer, err := c.peer.Call(ctx, req)
	switch {
	case err != nil:
		return platform.Listing{}, err
	case answer.Status == http.StatusNotModified && last != nil:
		return last.listing, nil
	case answer.Status != http.StatusOK:
		cause := &httpcall.StatusError{Status: answer.Status, Detail: string(answer.Body)}
		return platform.Listing{}, httpcall.Fail(httpcall.KindOfStatus(answer.Status), cause, req.Step, c.peer.Name)
	}
	listing, err := decode(answer.Body)
	if err != nil {
		return platform.Listing{}, httpcall.Fail(platform.ErrOutcomeUnknown, err, req.Step, c.peer.Name)
	}
	if answer.ETag != "" {
		c.last.Store(&taggedListing{etag: answer.ETag, listing: listing})
	}
	return listing, nil
}

func decode(body []byte) (platform.Listing, error) {
	var answer listAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return platform.Listing{}, err
	}
	listing := platform.Listing{Version: answer.Version}
	for _, i := range answer.Instances {
		switch i.Kind {
		case kindWorker:
			listing.Workers = append(listing.Workers, i.Instance)
		case kindEntry:
			listing.Entries = append(listing.Entries, platform.EntryListing{
				ID:               i.ID,
				Address:          i.Address,
				AvailabilityZone: i.AvailabilityZone,
				Phase:            i.Phase,
			})
		}
	}
	return listing, nil
}

type rebootRequest struct {
	OperationID string `json:"operation_id"`
}

// Reboot implements platform.Maintainer.
func (c *Client) Reboot(ctx context.Context, instance, operationID string) error {
	req := httpcall.Request{
		Step:      "reboot instance " + instance,
		Method:    http.MethodPost,
		Path:      "/instances/" + url.PathEscape(instance) + "/reboot",
		Timeout:   c.timeout,
		MaxAnswer: maxRebootAnswerBytes,
	}
	return c.peer.CallJSON(ctx, req, rebootRequest{OperationID: operationID}, nil)
}

// Close closes idle connections.
func (c *Client) Close() { httpcall.CloseIdle(c.peer.Transport) }
