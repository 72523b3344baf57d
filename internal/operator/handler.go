package operator

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"pollenlead/internal/audit"
	"pollenlead/internal/config"
	"pollenlead/internal/record"
	"pollenlead/internal/replica"
	"pollenlead/internal/statemachine"
)

// maxDocumentBytes is the maximum size of a posted document.
const maxDocumentBytes = 4 << 20

// Committer appends ops to the log.
type Committer interface {
	Submit(ctx context.Context, ops ...record.Op) ([]statemachine.Outcome, error)
}

// Follower gives access to the applied state.
type Follower interface {
	View(read func(*statemachine.State))
}

// Trail gives access to the audit trail.
type Trail interface {
	Select(q audit.Query) []audit.Entry
}

// Bootstrap is the operator that the settings name. It may publish only the first document, and may read the status
// until the second one is published.
type Bootstrap struct {
	Name   string
	SHA256 string
}

// Options are the dependencies of the handler.
type Options struct {
	Committer Committer
	Follower  Follower
	Trail     Trail
	Bootstrap Bootstrap
	// Vars are the metrics of this entry instance. Other entry instances in the same process have their own.
	Vars expvar.Var
	// Loaded reports whether the log has been read to its end once. Before that, the state is older than that of
	// other entry instances.
	Loaded func() bool
	// Status returns the answer to a status request.
	Status func() StatusResponse
	// Ready reports whether the load balancer should send callers to this entry instance. If not, reason is the cause.
	Ready func() (ready bool, reason string)
}

// Handler serves the operators' interface.
type Handler struct {
	Options
	router chi.Router
}

// NewHandler returns the operators' interface.
func NewHandler(o Options) *Handler {
	h := &Handler{Options: o, router: chi.NewRouter()}
	h.router.Get("/livez", h.live)
	h.router.Get("/readyz", h.ready)
	h.router.Get("/debug/vars", h.vars)
	h.router.Get("/v1/config", h.authorized(config.RoleView, h.getConfig))
	h.router.Put("/v1/config", h.authorized(config.RolePublish, h.putConfig))
	h.router.Post("/v1/config/check", h.authorized(config.RoleView, h.checkConfig))
	h.router.Get("/v1/status", h.authorized(config.RoleView, h.status))
	h.router.Get("/v1/audit", h.authorized(config.RoleView, h.audit))
	h.router.Post("/v1/instances/{instance}/move", h.authorized(config.RoleOperate, h.moveInstance))
	h.addWaveRoutes()
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

type operatorHandler func(w http.ResponseWriter, r *http.Request, operator string)

// authorized calls next for an operator whose role includes the needed one.
func (h *Handler) authorized(needed config.Role, next operatorHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !h.Loaded() {
			writeError(w, ErrorResponse{
				Status: http.StatusServiceUnavailable, Reason: "starting",
				Detail: "the log was not read to its end yet; nothing was changed",
			})
			return
		}
		name, role, ok := h.authenticate(r)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, ErrorResponse{
				Status: http.StatusUnauthorized, Reason: "unknown_key",
				Detail: "the operator key is missing, unknown or withdrawn",
			})
			return
		}
		if !role.Allows(needed) {
			writeError(w, ErrorResponse{
				Status: http.StatusForbidden, Reason: "role",
				Detail: "operator " + name + " has role " + string(role) + ", but the request needs " + string(needed),
			})
			return
		}
		next(w, r, name)
	}
}

func (h *Handler) authenticate(r *http.Request) (name string, role config.Role, ok bool) {
	scheme, token, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return "", "", false
	}
	current := h.config()
	if current.Version == 0 {
		return h.Bootstrap.Name, config.RolePublish, h.isBootstrap(token)
	}
	identity, ok := current.Document.Authenticate(token)
	if ok && identity.Operator != "" {
		return identity.Operator, identity.Role, true
	}
	// After the first publish, the command that applied it polls the status with the bootstrap key until the document
	// is in force on all entry instances.
	if current.Version == 1 && h.isBootstrap(token) {
		return h.Bootstrap.Name, config.RoleView, true
	}
	return "", "", false
}

func (h *Handler) isBootstrap(token string) bool {
	return h.Bootstrap.SHA256 != "" && config.MatchesHash(token, h.Bootstrap.SHA256)
}

func (h *Handler) config() statemachine.ConfigVersion {
	var current statemachine.ConfigVersion
	h.Follower.View(func(s *statemachine.State) { current = s.Config() })
	return current
}

// metricsKey is the key of the entry instance's metrics among the variables.
const metricsKey = "pollenlead"

// vars serves the variables of package expvar, like expvar.Handler, with the metrics of this entry instance added.
// Those are not published through expvar itself, because its names are global to the process.
func (h *Handler) vars(w http.ResponseWriter, _ *http.Request) {
	all := new(expvar.Map).Init()
	expvar.Do(func(v expvar.KeyValue) { all.Set(v.Key, v.Value) })
	if h.Vars != nil {
		all.Set(metricsKey, h.Vars)
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = io.WriteString(w, all.String())
}

func (h *Handler) live(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	ready, reason := h.Ready()
	if !ready {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (h *Handler) getConfig(w http.ResponseWriter, _ *http.Request, _ string) {
	current := h.config()
	writeJSON(w, http.StatusOK, ConfigResponse{Version: current.Version, Offset: current.Offset, Document: current.Text})
}

func (h *Handler) putConfig(w http.ResponseWriter, r *http.Request, operator string) {
	expect, err := strconv.ParseUint(r.URL.Query().Get("expect"), 10, 64)
	if err != nil {
		writeError(w, ErrorResponse{
			Status: http.StatusBadRequest, Reason: "expect",
			Detail: "the query parameter expect must be the version that the document was made against",
		})
		return
	}
	text, ok := readDocument(w, r)
	if !ok {
		return
	}
	if _, problems := config.Parse(text); len(problems) > 0 {
		writeError(w, ErrorResponse{
			Status: http.StatusUnprocessableEntity, Reason: "invalid_document",
			Detail: "the document was not published", Problems: problems,
		})
		return
	}
	outcome, ok := h.submit(w, r, record.Op{ConfigPublish: &record.ConfigPublish{
		Expect: expect, Document: string(text), Actor: operator,
	}})
	if !ok {
		return
	}
	writeJSON(w, http.StatusOK, PublishResponse{Version: outcome.Version})
}

func (h *Handler) checkConfig(w http.ResponseWriter, r *http.Request, _ string) {
	text, ok := readDocument(w, r)
	if !ok {
		return
	}
	current := h.config()
	response := CheckResponse{Version: current.Version}
	doc, problems := config.Parse(text)
	response.Problems = problems
	if len(problems) == 0 {
		old := current.Document
		if current.Version == 0 {
			old = nil
		}
		response.Changes = config.Diff(old, doc)
	}
	writeJSON(w, http.StatusOK, response)
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request, _ string) {
	writeJSON(w, http.StatusOK, h.Status())
}

func (h *Handler) audit(w http.ResponseWriter, r *http.Request, _ string) {
	query, err := auditQuery(r)
	if err != nil {
		writeError(w, ErrorResponse{Status: http.StatusBadRequest, Reason: "query", Detail: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, AuditResponse{Entries: h.Trail.Select(query)})
}

func auditQuery(r *http.Request) (audit.Query, error) {
	values := r.URL.Query()
	q := audit.Query{
		Actor: values.Get("actor"), Object: values.Get("object"), Kind: record.Kind(values.Get("kind")), Limit: 100,
	}
	for name, at := range map[string]*time.Time{"since": &q.Since, "until": &q.Until} {
		text := values.Get(name)
		if text == "" {
			continue
		}
		parsed, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return audit.Query{}, errors.New(name + " must be a time like 2026-01-31T15:04:05Z")
		}
		*at = parsed
	}
	if text := values.Get("limit"); text != "" {
		limit, err := strconv.Atoi(text)
		if err != nil || limit < 1 {
			return audit.Query{}, errors.New("limit must be a positive number")
		}
		q.Limit = limit
	}
	return q, nil
}

func (h *Handler) moveInstance(w http.ResponseWriter, r *http.Request, operator string) {
	var move MoveRequest
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4096))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&move); err != nil {
		writeError(w, ErrorResponse{
			Status: http.StatusBadRequest, Reason: "body",
			Detail: "the body must be {\"from\":POOL,\"to\":POOL}: " + err.Error(),
		})
		return
	}
	op := record.InstanceMove{Instance: chi.URLParam(r, "instance"), From: move.From, To: move.To, Actor: operator}
	if _, ok := h.submit(w, r, record.Op{InstanceMove: &op}); ok {
		w.WriteHeader(http.StatusNoContent)
	}
}

func readDocument(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocumentBytes))
	if err != nil {
		writeError(w, ErrorResponse{
			Status: http.StatusRequestEntityTooLarge, Reason: "document_too_large",
			Detail: err.Error(),
		})
		return nil, false
	}
	return text, true
}

// submit appends one op. If the op did not take effect, it writes an error response with the reason and returns false.
func (h *Handler) submit(w http.ResponseWriter, r *http.Request, op record.Op) (statemachine.Outcome, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	outcomes, err := h.Committer.Submit(ctx, op)
	switch {
	case errors.Is(err, replica.ErrNotSent):
		writeError(w, ErrorResponse{
			Status: http.StatusServiceUnavailable, Reason: "log_unavailable",
			Detail: "nothing was changed: " + err.Error(),
		})
		return statemachine.Outcome{}, false
	case err != nil:
		writeError(w, ErrorResponse{
			Status: http.StatusGatewayTimeout, Reason: "unresolved",
			Detail: "the change may still take effect; read the status before trying again: " + err.Error(),
		})
		return statemachine.Outcome{}, false
	}
	outcome := outcomes[0]
	if outcome.Accepted {
		return outcome, true
	}
	status := http.StatusConflict
	switch outcome.Reason {
	case statemachine.ReasonInvalidDocument:
		status = http.StatusUnprocessableEntity
	case statemachine.ReasonUnknownInstance, statemachine.ReasonUnknownPool, statemachine.ReasonUnknownWave:
		status = http.StatusNotFound
	case statemachine.ReasonSessionNotOpen:
		status = http.StatusServiceUnavailable
	}
	writeError(w, ErrorResponse{
		Status: status, Reason: string(outcome.Reason),
		Detail: outcome.Detail, Version: outcome.Version,
	})
	return statemachine.Outcome{}, false
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, e ErrorResponse) {
	e.Type = "about:blank"
	e.Title = http.StatusText(e.Status)
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(e)
}
