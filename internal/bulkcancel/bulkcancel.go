// Package bulkcancel lets operators cancel all jobs of a team, for example of one that has filled the memory for the
// state of jobs.
package bulkcancel

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"pollenlead/internal/dispatch"
)

// Handler answers POST requests with a key of the team whose jobs are to be cancelled. The operator repeats the request
// until no job is left.
type Handler struct {
	// Key returns the API key of an Authorization header.
	Key func(authorization string) string
	// Cancel asks the leader, which knows the keys of the teams.
	Cancel func(ctx context.Context, key string) (dispatch.BulkCancellation, error)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	progress, err := h.Cancel(r.Context(), h.Key(r.Header.Get("Authorization")))
	switch {
	case errors.Is(err, dispatch.ErrUnknownKey):
		http.Error(w, err.Error(), http.StatusUnauthorized)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the operator has disconnected and repeats the request.
	_ = json.NewEncoder(w).Encode(progress)
}
