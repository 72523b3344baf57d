package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// call sends a request to a stand-in, decodes the JSON response into out, if that is not nil, and returns the
// status.
func call(t *testing.T, method, url string, body, out any) int {
	t.Helper()
	is := is.New(t)
	data, isBytes := body.([]byte)
	if !isBytes && body != nil {
		var err error
		data, err = json.Marshal(body)
		is.NoErr(err)
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	is.NoErr(err)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	if out != nil {
		is.NoErr(json.Unmarshal(text, out))
	}
	return resp.StatusCode
}

// serve starts a server for a handler, stops it at the end of the test, and returns its URL.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL
}

// waitUntil polls until the condition holds. If it never does, the timeout of the test binary applies.
func waitUntil(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}
