package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"pollenlead/internal/admission"
	"pollenlead/internal/config"
	"pollenlead/internal/platform"
	"pollenlead/internal/record"
	"pollenlead/internal/routing"
	"pollenlead/internal/statemachine"
)

// fixture is a gateway on loopback with one backend server behind the instances "i1" to "i3".
type fixture struct {
	doc     *config.Document
	gateway *httptest.Server
	g       *Gateway
	backend http.HandlerFunc

	// ends has how each permit ended.
	ends chan string

	mu        sync.Mutex
	contact   bool
	doErrors  []error // the errors of the first attempts
	instances []string
	ops       []record.Op
	outcome   statemachine.Outcome
	logError  error
	jobs      map[string]statemachine.Job
}

var errNotSent = errors.New("not sent")

func newFixture(t *testing.T, backend http.HandlerFunc) *fixture {
	f := &fixture{
		backend: backend, ends: make(chan string, 100), contact: true, outcome: statemachine.Outcome{Accepted: true}, jobs: map[string]statemachine.Job{},
		doc: &config.Document{
			Limits:   config.Limits{HeaderBytes: 2000, BodyBytes: 1 << 20, JobBodyBytes: 100, QueueLength: 9, QueueSeconds: 9},
			Services: []config.Service{{Name: "s", Pool: "p", TimeoutSeconds: 60}},
			Teams: []config.Team{
				{Name: "t", Share: 1, Keys: []config.Key{{ID: "k"}}}, {Name: "other", Keys: []config.Key{{ID: "o"}}},
			},
			Queues: []config.Queue{{Name: "q", Service: "s", Open: true, Team: "t"}, {Name: "closed", Service: "s", Team: "t"}},
		},
	}
	document := func() *config.Document { return f.doc }
	q := admission.New(admission.Config{Document: document, Ledger: ledger{f}, Fleet: ledger{f}, Health: routing.NewHealth(time.Now)})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		f.backend(w, r)
	}))
	t.Cleanup(server.Close)
	f.g = New(Config{
		Document: document, Admission: q, Budgets: routing.NewBudgets(time.Now), Log: f, NotSent: errNotSent, Metrics: NewMetrics(),
		Authenticate: func(_ *config.Document, bearer string) (Identity, bool) {
			team, key, ok := strings.Cut(bearer, "/")
			return Identity{Team: team, KeyID: key}, ok
		},
		TakesKeyedWork: func() (bool, string) { f.mu.Lock(); defer f.mu.Unlock(); return f.contact, "test" },
		Worker:         func(instance, _ string) platform.Worker { return worker{f: f, instance: instance, url: server.URL} },
		Job: func(id string) (statemachine.Job, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			j, ok := f.jobs[id]
			return j, ok
		},
	})
	f.gateway = httptest.NewServer(f.g)
	t.Cleanup(f.gateway.Close)
	return f
}

// Submit accepts everything unless the test says otherwise.
func (f *fixture) Submit(_ context.Context, ops ...record.Op) ([]statemachine.Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ops = append(f.ops, ops...)
	if a := ops[0].JobAccept; a != nil && f.outcome.Accepted {
		f.jobs[a.Job] = statemachine.Job{ID: a.Job, Team: a.Team, Service: a.Service, State: statemachine.JobWaiting}
		return []statemachine.Outcome{{Accepted: true, Job: a.Job}}, f.logError
	}
	return []statemachine.Outcome{f.outcome}, f.logError
}

// ledger has capacity for everything and counts how permits end.
type ledger struct{ f *fixture }

func (ledger) AppendCandidates(to []routing.Candidate, _ string) []routing.Candidate {
	// Only a request that avoids i1 goes elsewhere.
	return append(to, []routing.Candidate{{Instance: "i1", Held: 9}, {Instance: "i2", Used: 1, Held: 9}, {Instance: "i3", Used: 1, Held: 9}}...)
}
func (l ledger) Acquire(string, string) (admission.Permit, error) { return l, nil }
func (ledger) HasTeamUnit(string) bool                            { return true }
func (ledger) SetQueued(string, string, int)                      {}
func (ledger) Changed() <-chan struct{}                           { return nil }
func (ledger) PeerRunning(string, string) int                     { return 0 }
func (ledger) Leaving(string) bool                                { return false }
func (ledger) Lease(context.Context) (string, error)              { return "lease", nil }
func (ledger) LeaseRefused(context.Context, string)               {}
func (l ledger) Release()                                         { l.f.ends <- "released" }
func (l ledger) Abandon(func())                                   { l.f.ends <- "abandoned" }

type worker struct {
	platform.Worker
	f        *fixture
	instance string
	url      string
}

func (w worker) Do(ctx context.Context, req platform.ServiceRequest) (*http.Response, error) {
	w.f.mu.Lock()
	w.f.instances = append(w.f.instances, w.instance)
	if len(w.f.doErrors) > 0 {
		err := w.f.doErrors[0]
		w.f.doErrors = w.f.doErrors[1:]
		w.f.mu.Unlock()
		if req.Body != nil && errors.Is(err, platform.ErrOutcomeUnknown) {
			_, _ = io.ReadAll(req.Body)
		}
		return nil, err
	}
	w.f.mu.Unlock()
	r, err := http.NewRequestWithContext(ctx, req.Method, w.url+"/services/"+req.Service+req.Path+"?"+req.Query, req.Body)
	if err != nil {
		return nil, err
	}
	r.Header, r.ContentLength = req.Header, req.ContentLength
	r.Header.Set("Request-Id", req.RequestID)
	return http.DefaultTransport.RoundTrip(r)
}

// settle ends the server and then waits, in the order that WaitSettled asks for.
func (f *fixture) settle() {
	f.gateway.Close()
	f.g.WaitSettled()
}

// call sends a request with the key of team t; headers are pairs of name and value.
func (f *fixture) call(t *testing.T, method, path, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, f.gateway.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer t/k")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return response, "read: " + err.Error()
	}
	return response, string(answer)
}
