package front

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"pollenlead/internal/fleet"
	"pollenlead/internal/overload"
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

// TestOverloadRefusesBeforeTheStore guards against a refused job that is stored and runs, and against refusing jobs
// that are due at another time, that run until they are cancelled, or that are not beyond a share.
func TestOverloadRefusesBeforeTheStore(t *testing.T) {
	is := is.New(t)
	s, spec := &countingStore{}, &fleet.JobSpec{}
	state := overload.State{"queue": {Teams: map[string]float64{"": 1}, RetryMillis: 2500}}
	encoded, err := state.Encode()
	is.NoErr(err)
	age := time.Duration(0)
	h := &Handler{
		Config: oneQueue{}, Jobs: store.NewBatchers(t.Context(), s, store.DefaultLimits, "topic", 2, 0), Log: zerolog.Nop(),
		Draining: &atomic.Bool{},
		Codec: Codec{
			Job: func([]byte) (*fleet.JobSpec, error) { return spec, nil },
			Key: func(string) string { return "" },
		},
		Overload: &overload.Gate{Published: func() (json.RawMessage, time.Duration) { return encoded, age }},
	}
	submit := func() *httptest.ResponseRecorder {
		r := httptest.NewRequest(http.MethodPost, "http://a.example/0011223344556677", strings.NewReader("x"))
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w
	}
	spec.Steps = []fleet.Step{{Count: 1}}
	refused := submit()
	is.Equal(refused.Code, http.StatusTooManyRequests)
	seconds, err := strconv.Atoi(refused.Header().Get("Retry-After"))
	is.NoErr(err)
	is.True(seconds >= 3 && seconds <= 5)
	is.Equal(s.records.Load(), int32(0))
	age = time.Minute // the leader is gone, or this entry instance is cut off
	is.Equal(submit().Code, http.StatusOK)
	age = 0
	spec.Times = 2
	is.Equal(submit().Code, http.StatusOK)
	spec.Times, spec.Steps = 0, []fleet.Step{{Count: 1, LongRunning: true}}
	is.Equal(submit().Code, http.StatusOK)
	is.Equal(s.records.Load(), int32(3))
}
