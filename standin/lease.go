package standin

import (
	"crypto/rand"
	"net/http"
	"time"
)

// firstRenewalTimeout is the time within which a new lease must be renewed for the first time.
const firstRenewalTimeout = 5 * time.Second

// lease entitles its holder to start work until a time of the worker's clock.
type lease struct {
	holder  string
	opened  time.Duration
	until   time.Duration
	renewed bool
	expiry  *time.Timer // set at the first renewal
}

type openLeaseRequest struct {
	Holder string `json:"holder"`
}

type openLeaseResponse struct {
	LeaseID string `json:"lease_id"`
	NowMS   int64  `json:"now_ms"`
}

type renewLeaseRequest struct {
	UntilMS int64 `json:"until_ms"`
}

type renewLeaseResponse struct {
	NowMS int64 `json:"now_ms"`
}

// Now returns the current reading of the worker's monotonic clock.
func (w *Worker) Now() time.Duration { return w.config.ClockStart + time.Since(w.started) }

func (w *Worker) handleOpenLease(rw http.ResponseWriter, r *http.Request) {
	var req openLeaseRequest
	if !readJSON(rw, r, &req) {
		return
	}
	id := rand.Text()
	w.mu.Lock()
	now := w.Now()
	w.leases[id] = &lease{holder: req.Holder, opened: now, until: now}
	w.removeUnrenewedLocked(now)
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, openLeaseResponse{LeaseID: id, NowMS: now.Milliseconds()})
}

// removeUnrenewedLocked removes leases that were never renewed and whose first-renewal timeout has passed.
func (w *Worker) removeUnrenewedLocked(now time.Duration) {
	for id, l := range w.leases {
		if !l.renewed && now-l.opened >= firstRenewalTimeout {
			delete(w.leases, id)
		}
	}
}

func (w *Worker) handleRenewLease(rw http.ResponseWriter, r *http.Request) {
	var req renewLeaseRequest
	if !readJSON(rw, r, &req) {
		return
	}
	w.mu.Lock()
	renewed := w.renewLocked(r.PathValue("id"), milliseconds(req.UntilMS))
	now := w.Now()
	w.mu.Unlock()
	if !renewed {
		refuse(rw, r, RefusedLeaseLapsed)
		return
	}
	writeJSON(rw, http.StatusOK, renewLeaseResponse{NowMS: now.Milliseconds()})
}

// renewLocked extends a lease; it never moves its expiry back. It returns false if the lease is unknown, has expired,
// or would already be expired at the requested time.
func (w *Worker) renewLocked(id string, until time.Duration) bool {
	now := w.Now()
	w.removeUnrenewedLocked(now)
	l := w.leases[id]
	if l == nil {
		return false
	}
	if l.renewed && w.liveLeaseLocked(id) == nil {
		return false
	}
	l.until = max(l.until, until)
	if l.until <= now {
		w.expireLocked(id)
		return false
	}
	l.renewed = true
	if l.expiry != nil {
		l.expiry.Stop()
	}
	l.expiry = time.AfterFunc(l.until-now, func() { w.expireIfDue(id) })
	return true
}

// expireIfDue expires a lease whose expiry has passed. The timer of a lease may fire although a concurrent renewal
// has extended the lease, which then stays live.
func (w *Worker) expireIfDue(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.liveLeaseLocked(id)
}

// liveLeaseLocked returns the lease if work may start under it now, and nil otherwise. It expires a lease whose
// expiry has passed, because the timer of the lease may be late.
func (w *Worker) liveLeaseLocked(id string) *lease {
	l := w.leases[id]
	if l == nil || !l.renewed {
		return nil
	}
	if w.Now() >= l.until {
		w.expireLocked(id)
		return nil
	}
	return l
}

// expireLocked removes a lease and stops the work that runs under it.
func (w *Worker) expireLocked(id string) {
	if l := w.leases[id]; l != nil && l.expiry != nil {
		l.expiry.Stop()
	}
	delete(w.leases, id)
	for e := range w.running {
		if e.LeaseID == id {
			w.endLocked(e)
			e.stop(taskLapsed)
		}
	}
}

// Restart ends all leases and the work that runs under them, as a reboot of the instance does. It returns the number of
// executions that it stopped.
func (w *Worker) Restart() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	stopped := len(w.running)
	for id := range w.leases {
		w.expireLocked(id)
	}
	return stopped
}

// handleCloseLease ends a lease in the same way as its expiry. Closing an unknown lease has no effect.
func (w *Worker) handleCloseLease(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	w.expireLocked(r.PathValue("id"))
	w.mu.Unlock()
	rw.WriteHeader(http.StatusNoContent)
}
