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

// call sends a request to a stand-in and decodes a JSON answer into answer, if it is not nil.
func call(t *testing.T, method, url string, body, answer any) int {
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
	if answer != nil {
		is.NoErr(json.Unmarshal(text, answer))
	}
	return resp.StatusCode
}

// serve starts a handler and stops it with the test.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL
}

// waitUntil polls until the condition holds; the test's own timeout ends it otherwise.
func waitUntil(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}
