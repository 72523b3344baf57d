// Package preview tells operators where a job would go if it were submitted now, without submitting it.
package preview

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"pollenlead/internal/dispatch"
	"pollenlead/internal/fleet"
	"pollenlead/internal/ingress"
)

// maxBodyBytes bounds the body of a previewed job.
const maxBodyBytes = 256 << 10

// Handler answers POST requests with a job's body, and with host, path and team in the query. Without a team, the key
// in the Authorization header selects it.
type Handler struct {
	// Config returns the configuration in force, or nil before one was read.
	Config func() *fleet.Config
	// Job decodes a job's body, and Key returns the API key of an Authorization header.
	Job func(body []byte) (*fleet.JobSpec, error)
	Key func(authorization string) string
	// Explain asks the leader and returns its encoded dispatch.Explanation.
	Explain func(ctx context.Context, queue, team string, spec *fleet.JobSpec) (json.RawMessage, error)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := h.Config()
	if c == nil {
		http.Error(w, "no configuration has been read yet", http.StatusServiceUnavailable)
		return
	}
	queue, _ := c.Route(r.URL.Query().Get("host"), r.URL.Query().Get("path"))
	if queue == nil {
		http.Error(w, "no queue for this host and path", http.StatusNotFound)
		return
	}
	team, ok := h.team(c, queue, r)
	if !ok {
		http.Error(w, "unknown team or key", http.StatusUnauthorized)
		return
	}
	body, err := ingress.ReadBody(w, r, maxBodyBytes)
	if err != nil {
		http.Error(w, err.Error(), bodyStatus(err))
		return
	}
	spec, err := h.Job(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer, err := h.Explain(r.Context(), queue.Name, team, spec)
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the operator has disconnected.
	_, _ = w.Write(answer)
}

// team returns the team of a request, and whether the queue takes its jobs.
func (h *Handler) team(c *fleet.Config, queue *fleet.Queue, r *http.Request) (string, bool) {
	if name := r.URL.Query().Get("team"); name != "" {
		return name, c.Team(name) != nil
	}
	if team := c.TeamOfKey(h.Key(r.Header.Get("Authorization"))); team != nil {
		return team.Name, true
	}
	return "", queue.Public
}

func statusOf(err error) int {
	if errors.Is(err, dispatch.ErrNoQueue) {
		return http.StatusConflict // the leader has another version of the configuration
	}
	return http.StatusServiceUnavailable
}

// bodyStatus returns the status for a body that could not be read.
func bodyStatus(err error) int {
	switch {
	case errors.Is(err, ingress.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ingress.ErrNoMemory):
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}
