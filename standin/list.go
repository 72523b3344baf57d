package standin

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The kinds and phases of an instance in the list.
const (
	KindWorker   = "worker"
	KindEntry    = "entry"
	PhaseLive    = "live"
	PhaseLeaving = "leaving"
)

// Instance is one instance of the list.
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

// ListFaults are the failures that the list shows.
type ListFaults struct {
	// Outage answers every read with 503.
	Outage bool `json:"outage"`
	// LagMS is the time until a change becomes visible.
	LagMS int64 `json:"lag_ms"`
	// FailReboots names instances that never come back from a reboot.
	FailReboots []string `json:"fail_reboots"`
}

// defaultRebootTime keeps tests and the development mode short; real instances take minutes.
const defaultRebootTime = 200 * time.Millisecond

// ListAnswer is the answer of the list. Instances are sorted by ID.
type ListAnswer struct {
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`
}

type listVersion struct {
	ListAnswer
	at time.Time
}

// List is the lagging list of live and leaving instances. Each change gives it a new version.
type List struct {
	mux *http.ServeMux

	mu       sync.Mutex
	faults   ListFaults
	versions []listVersion // the visible version and the newer ones, oldest first

	rebootTime time.Duration
	operations map[string]bool // reboots by instance and operation ID
	onReboot   func(id string)
}

// NewList returns a list with version 0 and no instances.
func NewList() *List {
	l := &List{mux: http.NewServeMux(), rebootTime: defaultRebootTime, operations: map[string]bool{}}
	l.versions = []listVersion{{ListAnswer: ListAnswer{Instances: []Instance{}}}}
	l.mux.HandleFunc("GET /instances", l.handleInstances)
	l.mux.HandleFunc("POST /instances/{id}/reboot", l.handleReboot)
	l.mux.HandleFunc("PUT /faults", faultsHandler(l.SetFaults))
	return l
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// Start serves the list on loopback.
func (l *List) Start() (*Server, error) { return Start(l) }

// SetFaults replaces all faults.
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

// Instances returns the newest instances, which the list may not show yet.
func (l *List) Instances() []Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.versions[len(l.versions)-1].Instances
}

// Remove drops an instance.
func (l *List) Remove(id string) {
	l.change(id, func(kept []Instance) []Instance { return kept })
}

// change makes a new version from the other instances of the newest one.
func (l *List) change(id string, edit func(others []Instance) []Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.versions[len(l.versions)-1]
	others := slices.DeleteFunc(slices.Clone(newest.Instances), func(i Instance) bool { return i.ID == id })
	instances := edit(others)
	slices.SortFunc(instances, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	answer := ListAnswer{Version: newest.Version + 1, Instances: instances}
	l.versions = append(l.versions, listVersion{ListAnswer: answer, at: time.Now()})
}

// visibleLocked returns the newest version that is older than the lag. Versions before it are dropped, so a longer lag
// never shows an older version than before.
func (l *List) visibleLocked(now time.Time) ListAnswer {
	lag := milliseconds(l.faults.LagMS)
	for len(l.versions) > 1 && now.Sub(l.versions[1].at) >= lag {
		l.versions = l.versions[1:]
	}
	return l.versions[0].ListAnswer
}

func (l *List) handleInstances(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	outage := l.faults.Outage
	answer := l.visibleLocked(time.Now())
	l.mu.Unlock()
	if outage {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	tag := `"` + strconv.FormatUint(answer.Version, 10) + `"`
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

// SetRebootPhaseDuration sets how long an instance is leaving, and then how long it is absent, in a reboot.
func (l *List) SetRebootPhaseDuration(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rebootTime = d
}

// OnReboot sets a function that is called when an instance goes down in a reboot.
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
	instance, known := l.newestLocked(id)
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

func (l *List) newestLocked(id string) (Instance, bool) {
	instances := l.versions[len(l.versions)-1].Instances
	at := slices.IndexFunc(instances, func(i Instance) bool { return i.ID == id })
	if at < 0 {
		return Instance{}, false
	}
	return instances[at], true
}

// reboot shows the instance as leaving, then drops it, and adds it again unless its reboots fail.
func (l *List) reboot(instance Instance) {
	l.mu.Lock()
	pause := l.rebootTime
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
