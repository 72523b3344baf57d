// Package fleetlist is the HTTP client of the platform's list of instances.
package fleetlist

import (
	"context"
	"net/http"
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
)

// The kinds of instances in the list.
const (
	kindWorker = "worker"
	kindEntry  = "entry"
)

// Client is a platform.FleetList. It is safe for concurrent use.
type Client struct {
	peer    httpcall.Peer
	timeout time.Duration
}

// New returns the client of the list at a base URL. A timeout of 0 means 2 s.
func New(baseURL string, timeout time.Duration) *Client { return NewCounted(baseURL, timeout, nil) }

// NewCounted is New with a counter of the bytes of the client's connections, which may be nil.
func NewCounted(baseURL string, timeout time.Duration, counter *traffic.Counter) *Client {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return &Client{
		peer: httpcall.Peer{
			Name:      "list " + baseURL,
			URL:       baseURL,
			Transport: httpcall.NewCountedTransport(maxConnections, counter),
		},
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

// List implements platform.FleetList. Instances of other kinds are left out.
func (c *Client) List(ctx context.Context) (platform.Listing, error) {
	req := httpcall.Request{
		Step:      "list instances",
		Method:    http.MethodGet,
		Path:      "/instances",
		Timeout:   c.timeout,
		MaxAnswer: maxAnswerBytes,
	}
	var answer listAnswer
	if err := c.peer.CallJSON(ctx, req, nil, &answer); err != nil {
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

// Close closes idle connections.
func (c *Client) Close() { httpcall.CloseIdle(c.peer.Transport) }
