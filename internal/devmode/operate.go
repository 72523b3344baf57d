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

// operatorClient is the demo's operator. It uses the operators' interface like any other tool.
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

func (o operatorClient) config(ctx context.Context, entry string) (operator.ConfigResponse, error) {
	var c operator.ConfigResponse
	err := o.call(ctx, http.MethodGet, entry+"/v1/config", nil, &c)
	return c, err
}

// publish publishes a document against the version in force and returns the new version.
func (o operatorClient) publish(ctx context.Context, entry string, expect uint64, document []byte) (uint64, error) {
	var p operator.PublishResponse
	err := o.call(ctx, http.MethodPut, entry+"/v1/config?expect="+strconv.FormatUint(expect, 10), document, &p)
	return p.Version, err
}

// pollInterval is the resolution of the demo's measurements of documents and keys.
const pollInterval = 20 * time.Millisecond

// awaitVersion returns when every entry instance has answered with the version or a newer one.
func (o operatorClient) awaitVersion(ctx context.Context, entries []string, version uint64) error {
	for _, entry := range entries {
		for {
			c, err := o.config(ctx, entry)
			if err == nil && c.Version >= version {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("version %d is not in force at %s: %w", version, entry, ctx.Err())
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}
