// Package gateway implements the HTTP interface for callers: synchronous requests and jobs.
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

// Headers of the HTTP interface for callers.
const (
	HeaderTeam           = "Pollenlead-Team"
	HeaderRequestID      = "Pollenlead-Request-Id"
	HeaderNonIdempotent  = "Pollenlead-Non-Idempotent"
	HeaderUrgent         = "Pollenlead-Urgent"
	HeaderJobName        = "Pollenlead-Job-Name"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Identity identifies the team and the key that authenticated a request.
type Identity struct {
	Team  string
	KeyID string
}

// Admitter queues requests and grants them permission to run. It is implemented by admission.Queue.
type Admitter interface {
	Admit(ctx context.Context, req admission.Request) (*admission.Ticket, error)
}

// Submitter appends ops to the log. It is implemented by replica.Committer.
type Submitter interface {
	Submit(ctx context.Context, ops ...record.Op) ([]statemachine.Outcome, error)
}

// Config holds the dependencies of a Gateway. All fields are required.
type Config struct {
	Document func() *config.Document
	// Authenticate returns the identity of a bearer token. It reports false for operators' keys.
	Authenticate func(doc *config.Document, bearer string) (Identity, bool)
	// TakesKeyedWork reports whether this process may accept keyed work, which requires recent contact with the log. If
	// not, it returns the reason.
	TakesKeyedWork func() (ok bool, reason string)
	Admission      Admitter
	Budgets        *routing.Budgets
	Worker         func(instance, address string) platform.Worker
	Log            Submitter
	// NotSent is the error that Log wraps if the ops will never take effect.
	NotSent error
	// Job returns a job from the replicated state.
	Job     func(id string) (statemachine.Job, bool)
	Metrics *Metrics
}

// Gateway is an http.Handler that serves callers. It is safe for concurrent use.
type Gateway struct {
	cfg    Config
	router chi.Router
	// settlements tracks the claims and settlements of idempotency keys that are being appended to the log.
	settlements sync.WaitGroup
}

// New returns a Gateway.
func New(c Config) *Gateway {
	g := &Gateway{cfg: c, router: chi.NewRouter()}
	g.router.HandleFunc("/v1/services/{service}/requests/*", g.serveRequest)
	g.router.Post("/v1/services/{service}/jobs", g.submitToService)
	g.router.Post("/v1/queues/{queue}/jobs", g.submitToQueue)
	g.router.Get("/v1/jobs/{id}", g.jobStatus)
	g.router.Get("/v1/jobs/{id}/result", g.jobResult)
	g.router.Delete("/v1/jobs/{id}", g.cancelJob)
	g.router.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		g.writeProblem(w, newProblem(http.StatusNotFound, ReasonNotFound, "no such resource"))
	})
	g.router.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		g.writeProblem(w, newProblem(http.StatusMethodNotAllowed, ReasonMethodNotAllowed,
			"the resource does not have this method"))
	})
	return g
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.router.ServeHTTP(w, r) }

// WaitSettled waits until the idempotency keys of all ended requests are settled in the log or their settlement has
// failed. It must be called after the HTTP server has shut down and before the session is closed.
func (g *Gateway) WaitSettled() { g.settlements.Wait() }

func (g *Gateway) writeProblem(w http.ResponseWriter, p *Problem) {
	g.cfg.Metrics.countProblem(p)
	p.write(w)
}

// authenticate checks contact with the log first: without contact this process cannot determine which keys are in
// force.
func (g *Gateway) authenticate(doc *config.Document, r *http.Request) (Identity, *Problem) {
	if ok, reason := g.cfg.TakesKeyedWork(); !ok {
		return Identity{}, newProblem(http.StatusServiceUnavailable, ReasonNoContact, reason).withRetryAfter()
	}
	bearer, ok := bearerToken(r)
	if !ok {
		return Identity{}, newProblem(http.StatusUnauthorized, ReasonUnauthorized, "a bearer key is required")
	}
	id, ok := g.cfg.Authenticate(doc, bearer)
	if !ok || id.Team == "" {
		return Identity{}, newProblem(http.StatusUnauthorized, ReasonUnauthorized, "the key is not in force")
	}
	return id, nil
}

func bearerToken(r *http.Request) (bearer string, ok bool) {
	scheme, bearer, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	return strings.TrimSpace(bearer), strings.EqualFold(scheme, "Bearer")
}

// recheck returns the check that is applied when a request leaves the queue. It authenticates the key itself again,
// because a new document may assign its ID to another secret.
func (g *Gateway) recheck(id Identity, r *http.Request) func() error {
	bearer, _ := bearerToken(r)
	return func() error {
		if ok, _ := g.cfg.TakesKeyedWork(); !ok {
			return admission.ErrNoContact
		}
		doc := g.cfg.Document()
		if again, ok := g.cfg.Authenticate(doc, bearer); !ok || again != id {
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

// checkHeader enforces the size limit of the header and the permission for urgent work.
func checkHeader(doc *config.Document, team string, r *http.Request) *Problem {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	if n > doc.Limits.HeaderBytes {
		return newProblem(http.StatusRequestHeaderFieldsTooLarge, ReasonHeaderTooLarge, "the header exceeds the limit")
	}
	if t, _ := doc.Team(team); isTrue(r, HeaderUrgent) && !t.MayUrgent {
		return newProblem(http.StatusForbidden, ReasonUrgentNotAllowed, "the team has no urgent work")
	}
	return nil
}

func isTrue(r *http.Request, header string) bool {
	return strings.EqualFold(r.Header.Get(header), "true")
}

// admissionProblem converts an error of Admit. The request has not run.
func admissionProblem(err error) *Problem {
	const unavailable = http.StatusServiceUnavailable
	switch {
	case errors.Is(err, admission.ErrQueueFull):
		return newProblem(http.StatusTooManyRequests, ReasonQueueFull, err.Error()).withRetryAfter()
	case errors.Is(err, admission.ErrQueueTimeout):
		return newProblem(unavailable, ReasonQueueTimeout, err.Error()).withRetryAfter()
	case errors.Is(err, admission.ErrNoContact):
		return newProblem(unavailable, ReasonNoContact, err.Error()).withRetryAfter()
	case errors.Is(err, admission.ErrKeyWithdrawn):
		return newProblem(http.StatusUnauthorized, ReasonKeyWithdrawn, err.Error())
	case errors.Is(err, admission.ErrUnknownService):
		return newProblem(http.StatusNotFound, ReasonUnknownService, err.Error())
	default:
		return newProblem(unavailable, ReasonNoCapacity, err.Error()).withRetryAfter()
	}
}

// submit appends one op and returns its outcome.
func (g *Gateway) submit(ctx context.Context, op record.Op) (outcome statemachine.Outcome, err error) {
	outcomes, err := g.cfg.Log.Submit(ctx, op)
	if err != nil {
		return statemachine.Outcome{}, err
	}
	if len(outcomes) != 1 {
		return statemachine.Outcome{}, errors.New("the log gave no outcome")
	}
	return outcomes[0], nil
}
