package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// Durations of the platform, as in the settings of a small deployment.
const (
	moveTime    = 1500 * time.Millisecond
	upkeepTime  = 2 * time.Second
	entryExpiry = 3 * heartbeat
)

// room is everything around the entry instances: the store, the machines with their workers, and the record of what
// the workers have seen.
type room struct {
	store  *store
	origin time.Time

	mu       sync.Mutex // guards the fields below; workers lock it while they hold their own mutex
	log      *os.File
	machines []*machine
	lives    int // workers that were started
	gangs    map[string]*gang
	runs     []*observed // in the order of their starts
	active   map[*run]*observed
	// failing decides which runs fail, and refusing which workers refuse starts; nil means none.
	failing  func(*worker, *run) bool
	refusing func(*worker) bool
}

// machine is a place for one worker at a time.
type machine struct {
	id, service, state, zone string
	labels                   []string
	cpu, mem                 int
	worker                   *worker
	fence                    string
}

// gang is one attempt of a gang: the members of one run with one checkpoint.
type gang struct {
	members  map[string]bool
	together time.Time
	broken   bool
	done     bool
}

// observed is a run as its worker saw it.
type observed struct {
	item, worker, service string
	run                   int
	checkpoint            string
	began, ended          time.Time
	how                   string
}

func newRoom(log *os.File) *room {
	return &room{
		store: newStore(), origin: time.Now(), log: log, gangs: map[string]*gang{}, active: map[*run]*observed{},
	}
}

// note writes a line to the record.
func (m *room) note(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noteLocked(format, args...)
}

func (m *room) noteLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(m.log, "%8.3f  %s\n", time.Since(m.origin).Seconds(), fmt.Sprintf(format, args...))
}

// gangName names an attempt of a gang. Members that resume from different checkpoints do not work together.
func gangName(o order) string {
	step := o.Task[:strings.LastIndex(o.Task, ".")]
	return fmt.Sprintf("%s run %d from %q", step, o.Run, o.Checkpoint)
}

// began records the start of a run. Callers hold the worker's mutex.
func (m *room) began(w *worker, r *run) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := &observed{
		item: r.item, worker: w.id, service: w.service, run: r.number, checkpoint: r.wasBrought, began: time.Now(),
	}
	m.runs = append(m.runs, x)
	m.active[r] = x
	m.noteLocked("worker %s of %s starts %s run %d checkpoint %q", w.id, w.service, r.item, r.number, r.wasBrought)
	if r.gang == "" {
		return
	}
	g := m.gangs[r.gang]
	if g == nil {
		g = &gang{members: map[string]bool{}}
		m.gangs[r.gang] = g
	}
	g.members[r.item] = true
	if len(g.members) == r.work.Gang && !g.broken {
		g.together = time.Now()
	}
}

// ended records the end of a run. Callers hold the worker's mutex.
func (m *room) ended(w *worker, r *run, how string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if x := m.active[r]; x != nil {
		x.ended, x.how = time.Now(), how
		delete(m.active, r)
	}
	m.noteLocked("worker %s of %s: %s run %d ends %s, saved %q", w.id, w.service, r.item, r.number, how, r.saved)
	if g := m.gangs[r.gang]; g != nil && how != "done" {
		delete(g.members, r.item)
		g.broken = g.broken || !g.together.IsZero()
	}
}

// gangState returns how a member of a gang ends now, or "". Callers hold the worker's mutex.
func (m *room) gangState(r *run, now time.Time) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.gangs[r.gang]
	r.together = g.together
	switch {
	case g.broken:
		return "broken"
	case g.done:
		return "done"
	case g.together.IsZero():
		if now.Sub(r.begin) > gangTimeout {
			return "alone"
		}
		return ""
	}
	restore := time.Duration(0)
	if r.base > 0 {
		restore = restoreTime
	}
	if r.base+now.Sub(g.together)-restore >= time.Duration(r.work.Millis)*time.Millisecond {
		g.done = true
		return "done"
	}
	return ""
}

// fails reports whether a run fails now.
func (m *room) fails(w *worker, r *run) bool {
	m.mu.Lock()
	f := m.failing
	m.mu.Unlock()
	return f != nil && f(w, r)
}

// refuses reports whether a worker refuses starts now.
func (m *room) refuses(w *worker) bool {
	m.mu.Lock()
	f := m.refusing
	m.mu.Unlock()
	return f != nil && f(w)
}

func (m *room) setRefusing(f func(*worker) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refusing = f
}

func (m *room) setFailing(f func(*worker, *run) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failing = f
}

// observedRuns returns copies of the runs of a job in the order of their starts.
func (m *room) observedRuns(job string) []observed {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []observed
	for _, x := range m.runs {
		if strings.HasPrefix(x.item, job+".") {
			list = append(list, *x)
		}
	}
	return list
}

// addMachines adds machines with a worker each to a service.
func (m *room) addMachines(service, kind string, count, cpu, mem int) error {
	for range count {
		m.mu.Lock()
		n := len(m.machines)
		x := &machine{
			id: fmt.Sprintf("m-%05x", 0x0a3f1+n), service: service, zone: "regina", cpu: cpu, mem: mem,
			labels: []string{kind, fmt.Sprintf("r1-%d", 1+n/4)},
		}
		m.machines = append(m.machines, x)
		m.mu.Unlock()
		if err := m.startWorker(x); err != nil {
			return err
		}
	}
	return nil
}

// startWorker starts a new worker on a machine.
func (m *room) startWorker(x *machine) error {
	m.mu.Lock()
	m.lives++
	w := &worker{
		id: fmt.Sprintf("i-%08x", 0x7f3a9000+m.lives), machine: x.id, service: x.service, zone: x.zone, labels: x.labels,
		cpu: x.cpu, mem: x.mem, room: m,
	}
	m.mu.Unlock()
	if err := w.start(); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	x.worker, x.state = w, "up"
	return nil
}

// crash ends a worker for good, without a word. Its entry expires.
func (m *room) crash(id string) bool {
	m.mu.Lock()
	var w *worker
	for _, x := range m.machines {
		if x.worker != nil && x.worker.id == id {
			w = x.worker
			x.worker, x.state = nil, "down"
		}
	}
	m.mu.Unlock()
	if w == nil {
		return false
	}
	m.note("TROUBLE: worker %s of %s crashes", w.id, w.service)
	w.leave("crashed")
	time.AfterFunc(entryExpiry, func() { m.store.put("keyed.servers", w.id, nil) })
	return true
}

// serveCloud serves the interface for machines.
func (m *room) serveCloud(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/machines":
		reply(w, http.StatusOK, map[string]any{"machines": m.listMachines(), "next_token": nil})
	case "/machine-move", "/machine-upkeep":
		m.serveOrder(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (m *room) listMachines() []map[string]any {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := []map[string]any{}
	for _, x := range m.machines {
		id := ""
		if x.worker != nil {
			id = x.worker.id
		}
		list = append(list, map[string]any{
			"machine": x.id, "pool": x.service, "state": x.state, "zone": x.zone, "labels": x.labels, "id": id,
			"capacity": map[string]any{"cpu": x.cpu, "mem_mb": x.mem, "gpu": 0},
		})
	}
	return list
}

// serveOrder moves a machine to another pool. These deployments have no waves.
func (m *room) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	x := (*machine)(nil)
	if decode(r, &o) == nil {
		x = m.machine(o.Machine)
	}
	if x == nil || r.URL.Path != "/machine-move" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	fence := r.Header.Get("X-Fence-Token")
	switch {
	case len(fence) < len(x.fence) || len(fence) == len(x.fence) && fence < x.fence:
		m.mu.Unlock()
		reply(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	case x.service == o.Pool:
		m.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{})
		return
	case x.state != "up":
		m.mu.Unlock()
		reply(w, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	old := x.worker
	x.fence, x.service, x.state, x.worker = fence, o.Pool, "moving", nil
	m.noteLocked("machine %s moves to %s", x.id, o.Pool)
	m.mu.Unlock()
	old.leave("moved away")
	m.store.put("keyed.servers", old.id, nil)
	time.AfterFunc(moveTime, func() { _ = m.startWorker(x) })
	reply(w, http.StatusOK, map[string]any{})
}

func (m *room) machine(id string) *machine {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, x := range m.machines {
		if x.id == id {
			return x
		}
	}
	return nil
}

// load returns the processor capacity in use by the runs of a service, and all of it.
func (m *room) load(service string) (used, capacity int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, x := range m.machines {
		if x.service == service && x.worker != nil {
			capacity += x.cpu
		}
	}
	for r, x := range m.active {
		if x.service == service {
			used += r.work.CPU
		}
	}
	return used, capacity
}
