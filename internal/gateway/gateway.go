// Package gateway is the callers' HTTP interface: synchronous requests and jobs.
package gateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"

	"github.com/go-chi/chi/v5"

	"pollenlead/internal/admission"
	"pollenlead/internal/config"
	"pollenlead/internal/platform"
	"pollenlead/internal/record"
	"pollenlead/internal/routing"
	"pollenlead/internal/statemachine"
)

// Headers of the callers' interface.
const (
	HeaderTeam           = "Pollenlead-Team"
	HeaderRequestID      = "Pollenlead-Request-Id"
	HeaderNonIdempotent  = "Pollenlead-Non-Idempotent"
	HeaderUrgent         = "Pollenlead-Urgent"
	HeaderJobName        = "Pollenlead-Job-Name"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Identity is whose key came with a request.
type Identity struct {
	Team  string
	KeyID string
}

// Admitter gives requests the right to run; admission.Queue is one.
type Admitter interface {
	Admit(ctx context.Context, req admission.Request) (*admission.Ticket, error)
}

// Submitter appends ops to the log; replica.Committer is one.
type Submitter interface {
	Submit(ctx context.Context, ops ...record.Op) ([]statemachine.Outcome, error)
}

// Config holds what a Gateway works with. All fields are required.
type Config struct {
	Document func() *config.Document
	// Authenticate finds the team of a bearer token; operators' keys are no identity here.
	Authenticate func(doc *config.Document, bearer string) (Identity, bool)
	// TakesKeyedWork is the contact rule.
	TakesKeyedWork func() (ok bool, reason string)
	Admission      Admitter
	Budgets        *routing.Budgets
	Worker         func(instance, address string) platform.Worker
	Log            Submitter
	// NotSent is the error of Log that says that the ops will never take effect.
	NotSent error
	// Job returns a job of the folded state.
	Job     func(id string) (statemachine.Job, bool)
	Metrics *Metrics
}

// Gateway answers callers. It is safe for concurrent use.
type Gateway struct {
	c      Config
	router chi.Router
	// settling counts the idempotency keys whose settlement is on its way to the log.
	settling sync.WaitGroup
}

// New returns a Gateway.
func New(c Config) *Gateway {
	g := &Gateway{c: c, router: chi.NewRouter()}
	g.router.HandleFunc("/v1/services/{service}/requests/*", g.serveRequest)
	g.router.Post("/v1/services/{service}/jobs", g.submitToService)
	g.router.Post("/v1/queues/{queue}/jobs", g.submitToQueue)
	g.router.Get("/v1/jobs/{id}", g.jobStatus)
	g.router.Get("/v1/jobs/{id}/result", g.jobResult)
	g.router.Delete("/v1/jobs/{id}", g.cancelJob)
	g.router.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		g.fail(w, refuse(http.StatusNotFound, ReasonNotFound, "no such resource"))
	})
	g.router.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		g.fail(w, refuse(http.StatusMethodNotAllowed, ReasonMethodNotAllowed, "the resource does not have this method"))
	})
	return g
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.router.ServeHTTP(w, r) }

// WaitSettled waits until all idempotency keys of ended requests are settled in the log, or the log has failed. Call it
// after the HTTP server has shut down and before the session is closed.
func (g *Gateway) WaitSettled() { g.settling.Wait() }

func (g *Gateway) fail(w http.ResponseWriter, p *Problem) {
	g.c.Metrics.refused(p)
	p.write(w)
}

// authenticate applies the contact rule first: without contact this process cannot know which keys are in force.
func (g *Gateway) authenticate(doc *config.Document, r *http.Request) (Identity, *Problem) {
	if ok, reason := g.c.TakesKeyedWork(); !ok {
		return Identity{}, refuse(http.StatusServiceUnavailable, ReasonNoContact, reason).orLater()
	}
	bearer, ok := bearerOf(r)
	if !ok {
		return Identity{}, refuse(http.StatusUnauthorized, ReasonUnauthorized, "a bearer key is required")
	}
	id, ok := g.c.Authenticate(doc, bearer)
	if !ok || id.Team == "" {
		return Identity{}, refuse(http.StatusUnauthorized, ReasonUnauthorized, "the key is not in force")
	}
	return id, nil
}

func bearerOf(r *http.Request) (bearer string, ok bool) {
	scheme, bearer, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	return strings.TrimSpace(bearer), strings.EqualFold(scheme, "Bearer")
}

// recheck returns the check of a request that leaves the queue. The key itself is checked again, because a new document may
// give its ID to another secret.
func (g *Gateway) recheck(id Identity, r *http.Request) func() error {
	bearer, _ := bearerOf(r)
	return func() error {
		if ok, _ := g.c.TakesKeyedWork(); !ok {
			return admission.ErrNoContact
		}
		doc := g.c.Document()
		if again, ok := g.c.Authenticate(doc, bearer); !ok || again != id {
			return admission.ErrKeyWithdrawn
		}
		team, _ := doc.Team(id.Team)
		for _, key := range team.Keys {
			if key.ID == id.KeyID {
				return nil
			}
		}
		return admission.ErrKeyWithdrawn
	}
}

// checkHeader applies the limit on the header and to urgency.
func checkHeader(doc *config.Document, team string, r *http.Request) *Problem {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	if n > doc.Limits.HeaderBytes {
		return refuse(http.StatusRequestHeaderFieldsTooLarge, ReasonHeaderTooLarge, "the header exceeds the limit")
	}
	if t, _ := doc.Team(team); isSet(r, HeaderUrgent) && !t.MayUrgent {
		return refuse(http.StatusForbidden, ReasonUrgentNotAllowed, "the team has no urgent work")
	}
	return nil
}

func isSet(r *http.Request, header string) bool {
	return strings.EqualFold(r.Header.Get(header), "true")
}

// admissionProblem explains an error of Admit; the request has not run.
func admissionProblem(err error) *Problem {
	const unavailable = http.StatusServiceUnavailable
	switch {
	case errors.Is(err, admission.ErrQueueFull):
		return refuse(http.StatusTooManyRequests, ReasonQueueFull, err.Error()).orLater()
	case errors.Is(err, admission.ErrQueueTimeout):
		return refuse(unavailable, ReasonQueueTimeout, err.Error()).orLater()
	case errors.Is(err, admission.ErrNoContact):
		return refuse(unavailable, ReasonNoContact, err.Error()).orLater()
	case errors.Is(err, admission.ErrKeyWithdrawn):
		return refuse(http.StatusUnauthorized, ReasonKeyWithdrawn, err.Error())
	case errors.Is(err, admission.ErrUnknownService):
		return refuse(http.StatusNotFound, ReasonUnknownService, err.Error())
	default:
		return refuse(unavailable, ReasonNoCapacity, err.Error()).orLater()
	}
}

// submit appends one op and returns what the fold made of it.
func (g *Gateway) submit(ctx context.Context, op record.Op) (outcome statemachine.Outcome, err error) {
	outcomes, err := g.c.Log.Submit(ctx, op)
	if err != nil {
		return statemachine.Outcome{}, err
	}
	if len(outcomes) != 1 {
		return statemachine.Outcome{}, errors.New("the log gave no outcome")
	}
	return outcomes[0], nil
}
