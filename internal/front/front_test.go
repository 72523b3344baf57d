package front

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"pollenlead/internal/fleet"
	"pollenlead/internal/store"
)

// oneQueue is a configuration with one public queue.
type oneQueue struct{}

func (oneQueue) Config() *fleet.Config {
	queue := fleet.Queue{Name: "queue", Host: "a.example", PathPrefix: "/", Public: true}
	c := &fleet.Config{Version: 1, Queues: []fleet.Queue{queue}}
	c.Limits.BodyBytes = 1 << 20
	c.Index()
	return c
}

func (oneQueue) Age() (time.Duration, bool) { return 0, true }

// countingStore accepts every append and counts the records.
type countingStore struct{ records atomic.Int32 }

func (s *countingStore) Append(_ context.Context, a store.Append) (int64, error) {
	s.records.Add(int32(len(a.Records)))
	return 0, nil
}

func (*countingStore) Read(context.Context, string, int, int64, time.Duration) (store.Page, error) {
	return store.Page{}, nil
}

func (*countingStore) ReadNewest(context.Context, string, int, string) (store.Newest, error) {
	return store.Newest{}, nil
}

// TestSubmissionOverTheLimitIsRefused guards against a submission that can never be stored and is answered with 504 at
// the end of its deadline, as if it might run.
func TestSubmissionOverTheLimitIsRefused(t *testing.T) {
	is := is.New(t)
	s := &countingStore{}
	h := &Handler{
		Config: oneQueue{}, Jobs: store.NewBatchers(t.Context(), s, store.DefaultLimits, "topic", 2, 0), Log: zerolog.Nop(),
		Draining: &atomic.Bool{},
		Codec: Codec{
			Job: func(body []byte) (*fleet.JobSpec, error) {
				return &fleet.JobSpec{Steps: []fleet.Step{{Count: 1, RequiredLabel: string(body)}}}, nil
			},
			Key: func(string) string { return "" },
		},
	}
	submit := func(bytes int) int {
		body := strings.NewReader(strings.Repeat("x", bytes))
		r := httptest.NewRequest(http.MethodPost, "http://a.example/0011223344556677", body)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w.Code
	}
	began := time.Now()
	is.Equal(submit(store.DefaultLimits.Record), http.StatusRequestEntityTooLarge)
	is.True(time.Since(began) < storeRetryWindow)
	is.Equal(s.records.Load(), int32(0))
	is.Equal(submit(store.DefaultLimits.Record-1000), http.StatusOK)
	is.Equal(s.records.Load(), int32(1))
}
