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

	"pollenlead/internal/claim"
	"pollenlead/internal/fleet"
	"pollenlead/internal/jobbudget"
	"pollenlead/internal/overload"
	"pollenlead/internal/store"
	"pollenlead/internal/workload"
)

// oneQueue is a configuration with one public queue.
type oneQueue struct{ advice *fleet.AdvicePolicy }

func (q oneQueue) Config() *fleet.Config {
	queue := fleet.Queue{
		Name: "queue", Host: "a.example", PathPrefix: "/", Public: true, Attempts: 3, Advice: q.advice,
	}
	c := &fleet.Config{Version: 1, Queues: []fleet.Queue{queue}}
	c.Limits.BodyBytes = 1 << 20
	c.Index()
	return c
}

func (oneQueue) Age() (time.Duration, bool) { return 0, true }

// countingStore accepts every append and counts the records.
type countingStore struct {
	records atomic.Int32
	last    atomic.Pointer[store.Record]
}

func (s *countingStore) Append(_ context.Context, a store.Append) (int64, error) {
	s.last.Store(&a.Records[len(a.Records)-1])
	s.records.Add(int32(len(a.Records)))
	return 0, nil
}

func (*countingStore) Read(context.Context, string, int, int64, time.Duration) (store.Page, error) {
	return store.Page{}, nil
}

func (*countingStore) ReadNewest(context.Context, string, int, string) (store.Newest, error) {
	return store.Newest{}, nil
}

// newHandler returns a handler that stores submissions in s.
func newHandler(t *testing.T, s store.Store, c Config) *Handler {
	t.Helper()
	return &Handler{
		Config: c, Jobs: store.NewBatchers(t.Context(), s, store.DefaultLimits, "topic", 2, 0), Log: zerolog.Nop(),
		Draining: &atomic.Bool{},
		Codec: Codec{
			Job: func(body []byte) (*fleet.JobSpec, error) {
				return &fleet.JobSpec{Steps: []fleet.Step{{Count: 1, RequiredLabel: string(body)}}}, nil
			},
			Key: func(string) string { return "" },
		},
	}
}

// submit submits a job and returns the status of the response.
func submit(h *Handler, body string) int {
	r := httptest.NewRequest(http.MethodPost, "http://a.example/0011223344556677", strings.NewReader(body))
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Code
}

// TestSubmissionKeepsWhatItsQueueDemands guards against a later leader that does not know the ticket and the attempts
// of a job, because its queue has been removed.
func TestSubmissionKeepsWhatItsQueueDemands(t *testing.T) {
	is := is.New(t)
	for _, advice := range []*fleet.AdvicePolicy{nil, {}} {
		s := &countingStore{}
		is.Equal(submit(newHandler(t, s, oneQueue{advice}), "x"), http.StatusOK)
		j, err := workload.DecodeSubmission("0011223344556677", s.last.Load().Value)
		is.NoErr(err)
		is.Equal(j.NeedsTicket, advice != nil)
		is.Equal(j.Attempts, 3)
	}
}

// TestSubmissionOverTheLimitIsRefused guards against a submission that can never be stored and is answered with 504 at
// the end of its deadline, as if it might run.
func TestSubmissionOverTheLimitIsRefused(t *testing.T) {
	is := is.New(t)
	s := &countingStore{}
	h := newHandler(t, s, oneQueue{})
	submit := func(bytes int) int { return submit(h, strings.Repeat("x", bytes)) }
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

// otherOwner is a reservation of IDs in which every ID belongs to the owner of the first claim.
type otherOwner struct{ first string }

func (o *otherOwner) Claim(_ context.Context, _, owner string) error {
	if o.first == "" {
		o.first = owner
	}
	if o.first != owner {
		return claim.ErrTaken
	}
	return nil
}

// TestTakenIDIsRefused guards against a submission that takes the place of the accepted job of another client account,
// and against a status that lets its client believe that it may run.
func TestTakenIDIsRefused(t *testing.T) {
	is := is.New(t)
	s := &countingStore{}
	h := newHandler(t, s, oneQueue{})
	h.Claims = &otherOwner{first: "another account"}
	is.Equal(submit(h, "x"), http.StatusServiceUnavailable)
	is.Equal(s.records.Load(), int32(0)) // nothing is stored under the ID
	h.Claims = &otherOwner{}
	is.Equal(submit(h, "x"), http.StatusOK)
	is.Equal(submit(h, "x"), http.StatusOK) // the repeat of the same account remains one job
}

// TestJobWithoutRoomIsNotStored guards against a refused job that is stored and takes the leader's memory all the same.
func TestJobWithoutRoomIsNotStored(t *testing.T) {
	is := is.New(t)
	s := &countingStore{}
	room := json.RawMessage(`{"n":1,"each":1,"common":5000}`)
	h := &Handler{
		Config: oneQueue{}, Jobs: store.NewBatchers(t.Context(), s, store.DefaultLimits, "topic", 2, 0), Log: zerolog.Nop(),
		Draining: &atomic.Bool{},
		Codec: Codec{
			Job: func(body []byte) (*fleet.JobSpec, error) {
				return &fleet.JobSpec{Spec: string(body), Steps: []fleet.Step{{Count: 1}}}, nil
			},
			Key: func(string) string { return "" },
		},
		Budget: &jobbudget.Gate{
			Published: func() json.RawMessage { return room }, Fraction: func(string) float64 { return 0 },
			Now: func() time.Duration { return time.Minute },
		},
	}
	submit := func(spec string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(http.MethodPost, "http://a.example/0011223344556677", strings.NewReader(spec))
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w
	}
	refused := submit(strings.Repeat("s", 4000))
	is.Equal(refused.Code, http.StatusTooManyRequests)
	seconds, err := strconv.Atoi(refused.Header().Get("Retry-After"))
	is.NoErr(err)
	is.True(seconds >= 2 && seconds <= 10)
	is.Equal(s.records.Load(), int32(0))
	is.Equal(submit("s").Code, http.StatusOK)
	is.Equal(s.records.Load(), int32(1))
}

// TestCancellationNamesItsQueue guards against a stored cancellation that cannot be told from one of a job of another
// queue under the same ID, also after its queue has been renamed.
func TestCancellationNamesItsQueue(t *testing.T) {
	is := is.New(t)
	s := &countingStore{}
	h := newHandler(t, s, oneQueue{})
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodDelete, "http://a.example/0011223344556677", nil))
	is.Equal(w.Code, http.StatusOK)
	var c workload.Cancellation
	is.NoErr(json.Unmarshal(s.last.Load().Value, &c))
	queue := h.Config.Config().Queues[0]
	is.Equal(c, workload.Cancellation{Queue: queue.Name, Address: queue.Address()})
}

// TestCancellationIsStoredForEarlierVersions guards against an acknowledged cancellation that a leader of an earlier
// version does not carry out during an upgrade: it reads no other key than the one that all clients share.
func TestCancellationIsStoredForEarlierVersions(t *testing.T) {
	is := is.New(t)
	s := &countingStore{}
	h := newHandler(t, s, oneQueue{})
	h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodDelete, "http://a.example/0011223344556677", nil))
	is.Equal(s.records.Load(), int32(2))
	is.Equal(s.last.Load().Key, "c/0011223344556677")
	var earlier struct{ Queue, Team string }
	is.NoErr(json.Unmarshal(s.last.Load().Value, &earlier))
	is.Equal(earlier.Queue, "queue")
}
