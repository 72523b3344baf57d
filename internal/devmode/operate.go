package devmode

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"pollenlead/internal/operator"
)

// operatorClient calls the operators' API with the key of the demo's operator, like any other operator's tool.
type operatorClient struct {
	client *http.Client
	key    string
}

func (o operatorClient) call(ctx context.Context, method, url string, body []byte, answer any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+o.key)
	resp, err := o.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= 300 {
		return fmt.Errorf("%s %s: %s: %s", method, url, resp.Status, bytes.TrimSpace(data))
	}
	return json.Unmarshal(data, answer)
}

// configTimeout is the timeout of a read of the document or the status, so that a frozen entry instance does not block
// the operator. A publication has no such timeout, because the measurement includes its whole duration.
const configTimeout = 5 * time.Second

func (o operatorClient) config(ctx context.Context, entry string) (operator.ConfigResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	var c operator.ConfigResponse
	err := o.call(ctx, http.MethodGet, entry+"/v1/config", nil, &c)
	return c, err
}

// status returns the status of an entry instance and of the system.
func (o operatorClient) status(ctx context.Context, entry string) (operator.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	var s operator.StatusResponse
	err := o.call(ctx, http.MethodGet, entry+"/v1/status", nil, &s)
	return s, err
}

// publish publishes a document if the version in force equals expect, and returns the new version.
func (o operatorClient) publish(ctx context.Context, entry string, expect uint64, document []byte) (uint64, error) {
	var p operator.PublishResponse
	err := o.call(ctx, http.MethodPut, entry+"/v1/config?expect="+strconv.FormatUint(expect, 10), document, &p)
	return p.Version, err
}

// pollInterval is the interval of the demo's polling, and therefore the resolution of its measured delays of documents
// and keys.
const pollInterval = 20 * time.Millisecond

// awaitVersion waits until every entry instance has returned the version or a newer one. It calls entries again for
// each poll, so that it does not wait for instances that have left and waits for those that have joined.
func (o operatorClient) awaitVersion(ctx context.Context, entries func() []string, version uint64) error {
	for {
		waiting := ""
		for _, entry := range entries() {
			c, err := o.config(ctx, entry)
			if err != nil || c.Version < version {
				waiting = entry
				break
			}
		}
		if waiting == "" {
			return nil
		}
		if !sleepUntil(ctx, time.Now().Add(pollInterval)) {
			return fmt.Errorf("wait until version %d is in force at %s: %w", version, waiting, ctx.Err())
		}
	}
}
