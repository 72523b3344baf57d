package standin

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The kinds and phases of the instances in the list.
const (
	KindWorker   = "worker"
	KindEntry    = "entry"
	PhaseLive    = "live"
	PhaseLeaving = "leaving"
)

// Instance is one instance in the list.
type Instance struct {
	ID               string `json:"id"`
	Kind             string `json:"kind"`
	Address          string `json:"address"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
	Rack             string `json:"rack"`
	Phase            string `json:"phase"`
	Slots            int    `json:"slots"`
	Connections      int    `json:"connections"`
	Cores            int    `json:"cores"`
	MemoryBytes      int64  `json:"memory_bytes"`
	Accelerators     int    `json:"accelerators"`
}

// ListFaults are the faults that can be injected into the list.
type ListFaults struct {
	// Outage makes every read and reboot fail with status 503.
	Outage bool `json:"outage"`
	// LagMS is the delay after which a change becomes visible to readers, in milliseconds.
	LagMS int64 `json:"lag_ms"`
	// FailReboots contains the IDs of instances that stay absent after a reboot.
	FailReboots []string `json:"fail_reboots"`
}

// defaultRebootPhaseDuration is short so that tests and the development mode run quickly; real instances take minutes.
const defaultRebootPhaseDuration = 200 * time.Millisecond

// ListResponse is the response to a read of the list. Instances are sorted by ID.
type ListResponse struct {
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`
}

type listVersion struct {
	ListResponse
	createdAt time.Time
}

// List is the list of live and leaving instances, which may lag behind the actual state. Each change creates a new
// version.
type List struct {
	mux *http.ServeMux

	mu       sync.Mutex
	faults   ListFaults
	versions []listVersion // the version that readers get and all later ones, oldest first

	rebootPhaseDuration time.Duration
	operations          map[string]bool // reboots by instance and operation ID
	onReboot            func(id string)
}

// NewList returns a list with version 0 and no instances.
func NewList() *List {
	l := &List{mux: http.NewServeMux(), rebootPhaseDuration: defaultRebootPhaseDuration, operations: map[string]bool{}}
	l.versions = []listVersion{{ListResponse: ListResponse{Instances: []Instance{}}}}
	l.mux.HandleFunc("GET /instances", l.handleInstances)
	l.mux.HandleFunc("POST /instances/{id}/reboot", l.handleReboot)
	l.mux.HandleFunc("PUT /faults", faultsHandler(l.SetFaults))
	return l
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// Start serves the list on the loopback interface.
func (l *List) Start() (*Server, error) { return Start(l) }

// SetFaults replaces all injected faults.
func (l *List) SetFaults(f ListFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.visibleLocked(time.Now())
	l.faults = f
}

// Set adds an instance or replaces the one with the same ID.
func (l *List) Set(i Instance) {
	l.change(i.ID, func(kept []Instance) []Instance { return append(kept, i) })
}

// Instances returns the instances of the newest version, which readers may not get yet.
func (l *List) Instances() []Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.versions[len(l.versions)-1].Instances
}

// Remove removes an instance.
func (l *List) Remove(id string) {
	l.change(id, func(kept []Instance) []Instance { return kept })
}

// change adds a version whose instances are the result of edit. edit gets the instances of the newest version,
// without the one that has the given ID.
func (l *List) change(id string, edit func(others []Instance) []Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.versions[len(l.versions)-1]
	others := slices.DeleteFunc(slices.Clone(newest.Instances), func(i Instance) bool { return i.ID == id })
	instances := edit(others)
	slices.SortFunc(instances, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	response := ListResponse{Version: newest.Version + 1, Instances: instances}
	l.versions = append(l.versions, listVersion{ListResponse: response, createdAt: time.Now()})
}

// visibleLocked returns the newest version that is at least as old as the lag. It drops the versions before it, so
// that a longer lag never makes readers go back to an older version.
func (l *List) visibleLocked(now time.Time) ListResponse {
	lag := milliseconds(l.faults.LagMS)
	for len(l.versions) > 1 && now.Sub(l.versions[1].createdAt) >= lag {
		l.versions = l.versions[1:]
	}
	return l.versions[0].ListResponse
}

func (l *List) handleInstances(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	outage := l.faults.Outage
	response := l.visibleLocked(time.Now())
	l.mu.Unlock()
	if outage {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	tag := `"` + strconv.FormatUint(response.Version, 10) + `"`
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, response)
}

// SetRebootPhaseDuration sets the duration of each of the two phases of a reboot: the instance is first leaving and
// then absent.
func (l *List) SetRebootPhaseDuration(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rebootPhaseDuration = d
}

// OnReboot sets a function that is called when an instance becomes absent during a reboot.
func (l *List) OnReboot(f func(id string)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onReboot = f
}

func (l *List) handleReboot(w http.ResponseWriter, r *http.Request) {
	var request struct {
		OperationID string `json:"operation_id"`
	}
	if !readJSON(w, r, &request) {
		return
	}
	id := r.PathValue("id")
	l.mu.Lock()
	outage := l.faults.Outage
	operation := id + " " + request.OperationID
	repeated := l.operations[operation]
	instance, known := l.findLocked(id)
	if !outage && known && request.OperationID != "" {
		l.operations[operation] = true
	}
	l.mu.Unlock()
	switch {
	case outage:
		w.WriteHeader(http.StatusServiceUnavailable)
	case request.OperationID == "":
		http.Error(w, "operation_id is required", http.StatusBadRequest)
	case repeated:
		w.WriteHeader(http.StatusNoContent)
	case !known:
		w.WriteHeader(http.StatusNotFound)
	default:
		l.reboot(instance)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (l *List) findLocked(id string) (Instance, bool) {
	instances := l.versions[len(l.versions)-1].Instances
	at := slices.IndexFunc(instances, func(i Instance) bool { return i.ID == id })
	if at < 0 {
		return Instance{}, false
	}
	return instances[at], true
}

// reboot marks the instance as leaving, then removes it, and finally adds it again unless FailReboots contains it.
func (l *List) reboot(instance Instance) {
	l.mu.Lock()
	pause := l.rebootPhaseDuration
	fails := slices.Contains(l.faults.FailReboots, instance.ID)
	onReboot := l.onReboot
	l.mu.Unlock()
	leaving := instance
	leaving.Phase = PhaseLeaving
	l.Set(leaving)
	time.AfterFunc(pause, func() {
		l.Remove(instance.ID)
		if onReboot != nil {
			onReboot(instance.ID)
		}
		if !fails {
			time.AfterFunc(pause, func() { l.Set(instance) })
		}
	})
}
