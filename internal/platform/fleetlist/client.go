// Package fleetlist is the HTTP client of the platform's list of instances, which also reboots instances.
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
	// defaultTimeout limits the duration of a call. The list is read once a second.
	defaultTimeout = 2 * time.Second
	// maxConnections allows for one poll and for the previous one while it is being cancelled.
	maxConnections = 2
	// maxListResponseBytes allows 16 KiB for each of the 860 instances of the target scale, rounded up.
	maxListResponseBytes = 16 << 20
	// maxRebootResponseBytes allows for an error text; a successful response has no body.
	maxRebootResponseBytes = 4 << 10
)

// The kinds of instances in the list.
const (
	kindWorker = "worker"
	kindEntry  = "entry"
)

// Client implements platform.FleetList and platform.Rebooter. It is safe for concurrent use.
type Client struct {
	peer    httpcall.Peer
	timeout time.Duration
	cached  atomic.Pointer[cachedListing]
}

// cachedListing is the latest listing received with its entity tag.
type cachedListing struct {
	etag    string
	listing platform.Listing
}

// New returns a client of the list at a base URL. A timeout of 0 means 2 s.
func New(baseURL string, timeout time.Duration) *Client { return NewCounted(baseURL, timeout, nil) }

// NewCounted is like New, and counter counts the bytes of the client's connections. counter may be nil.
func NewCounted(baseURL string, timeout time.Duration, counter *traffic.Counter) *Client {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return &Client{
		peer:    httpcall.NewPeer("list", baseURL, maxConnections, counter),
		timeout: timeout,
	}
}

type listResponse struct {
	Version   uint64 `json:"version"`
	Instances []struct {
		Kind string `json:"kind"`
		record.Instance
	} `json:"instances"`
}

// List implements platform.FleetList. It omits instances that are neither workers nor entry instances. The caller
// must not modify the listing.
//
// The request is conditional, because the list has about 200 KB with 860 workers and is read every second.
func (c *Client) List(ctx context.Context) (platform.Listing, error) {
	cached := c.cached.Load()
	req := httpcall.Request{
		Step:             "list instances",
		Method:           http.MethodGet,
		Path:             "/instances",
		Timeout:          c.timeout,
		MaxResponseBytes: maxListResponseBytes,
	}
	if cached != nil {
		req.IfNoneMatch = cached.etag
	}
	response, err := c.peer.Call(ctx, req)
	switch {
	case err != nil:
		return platform.Listing{}, err
	case response.Status == http.StatusNotModified && cached != nil:
		return cached.listing, nil
	case response.Status != http.StatusOK:
		cause := &httpcall.StatusError{Status: response.Status, Detail: string(response.Body)}
		return platform.Listing{}, httpcall.WrapError(httpcall.ClassifyStatus(response.Status), cause, req.Step, c.peer.Name)
	}
	listing, err := decode(response.Body)
	if err != nil {
		return platform.Listing{}, httpcall.WrapError(platform.ErrOutcomeUnknown, err, req.Step, c.peer.Name)
	}
	if response.ETag != "" {
		c.cached.Store(&cachedListing{etag: response.ETag, listing: listing})
	}
	return listing, nil
}

func decode(body []byte) (platform.Listing, error) {
	var response listResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return platform.Listing{}, err
	}
	listing := platform.Listing{Version: response.Version}
	for _, i := range response.Instances {
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

// Reboot implements platform.Rebooter.
func (c *Client) Reboot(ctx context.Context, instance, operationID string) error {
	req := httpcall.Request{
		Step:             "reboot instance " + instance,
		Method:           http.MethodPost,
		Path:             "/instances/" + url.PathEscape(instance) + "/reboot",
		Timeout:          c.timeout,
		MaxResponseBytes: maxRebootResponseBytes,
	}
	return c.peer.CallJSON(ctx, req, rebootRequest{OperationID: operationID}, nil)
}

// Close closes idle connections.
func (c *Client) Close() { httpcall.CloseIdle(c.peer.Transport) }
