package standin

import (
	"crypto/rand"
	"net/http"
	"time"
)

// firstRenewalLimit is the time in which a new lease may get its first renewal.
const firstRenewalLimit = 5 * time.Second

// lease is the right of a holder to start work until a time of the worker's clock.
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

type openLeaseAnswer struct {
	LeaseID string `json:"lease_id"`
	NowMS   int64  `json:"now_ms"`
}

type renewLeaseRequest struct {
	UntilMS int64 `json:"until_ms"`
}

type renewLeaseAnswer struct {
	NowMS int64 `json:"now_ms"`
}

// Now returns the worker's monotonic clock.
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
	w.dropUnrenewedLocked(now)
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, openLeaseAnswer{LeaseID: id, NowMS: now.Milliseconds()})
}

// dropUnrenewedLocked forgets leases that were opened and can no longer be renewed.
func (w *Worker) dropUnrenewedLocked(now time.Duration) {
	for id, l := range w.leases {
		if !l.renewed && now-l.opened >= firstRenewalLimit {
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
	writeJSON(rw, http.StatusOK, renewLeaseAnswer{NowMS: now.Milliseconds()})
}

// renewLocked moves the expiry of a lease forward. It returns false if the lease is unknown or would have expired.
func (w *Worker) renewLocked(id string, until time.Duration) bool {
	now := w.Now()
	w.dropUnrenewedLocked(now)
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
	l.expiry = time.AfterFunc(l.until-now, func() { w.checkLease(id) })
	return true
}

// checkLease ends a lease whose time is over. A timer that a renewal overtook finds the lease live.
func (w *Worker) checkLease(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.liveLeaseLocked(id)
}

// liveLeaseLocked returns a lease under which work may start now, or nil. It ends a lease whose time is over, because
// its timer may be late.
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

// expireLocked drops a lease and stops what runs under it.
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

// Restart ends all leases and what runs under them, as a reboot of the instance does, and returns how many executions it
// cut off.
func (w *Worker) Restart() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	cut := len(w.running)
	for id := range w.leases {
		w.expireLocked(id)
	}
	return cut
}

// handleCloseLease ends a lease like its expiry does. Closing an unknown lease changes nothing.
func (w *Worker) handleCloseLease(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	w.expireLocked(r.PathValue("id"))
	w.mu.Unlock()
	rw.WriteHeader(http.StatusNoContent)
}
