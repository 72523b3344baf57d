package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	adapter "pollenlead/platform"
	"pollenlead/platform/platformtest"
)

const (
	leaderTopic = "leader"
	// heartbeat is the interval at which workers write their entries.
	heartbeat = 1500 * time.Millisecond
	// moveTime and upkeepTime are the bounds move_s and maintenance_s of the settings.
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

// platform stands for the platform of the pages on the loopback interface: its store is the project's own stand-in, its
// workers, its machines and its clients are in this package.
type platform struct {
	program                                   string
	dir                                       string
	record                                    *recorder
	store                                     *platformtest.Store
	storeAddress, cloudAddress, adviceAddress string
	servers                                   []*http.Server
	entries                                   []*entry
	gangs                                     *gangs
	history                                   history
	done                                      chan struct{}

	mu       sync.Mutex // guards the fields below
	machines map[string]*machine
	started  int
	version  int
}

// machine runs one worker at a time.
type machine struct {
	id, pool, state, zone, rack string
	worker                      *worker
	fence                       int64
	upkept                      map[int64]bool
}

func newPlatform(program string, record *recorder) (*platform, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	p := &platform{
		program: program, dir: dir, record: record, store: platformtest.NewStore(1), gangs: newGangs(),
		done: make(chan struct{}), machines: map[string]*machine{},
	}
	if p.storeAddress, err = p.serve(p.store); err != nil {
		return nil, err
	}
	if p.cloudAddress, err = p.serve(http.HandlerFunc(p.serveCloud)); err != nil {
		return nil, err
	}
	p.adviceAddress, err = p.serve(http.NotFoundHandler())
	return p, err
}

// serve starts a server on a free loopback port and returns its address.
func (p *platform) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 3 * time.Second}
	p.servers = append(p.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// close ends all processes and servers of the case and removes its folder. KEEP_LOGS=1 keeps the folder.
func (p *platform) close() {
	for _, e := range p.entries {
		if e.process != nil {
			_ = e.process.Process.Kill() // an error means that it has ended
			<-e.ended
		}
		_ = e.log.Close()
	}
	close(p.done)
	p.mu.Lock()
	for _, m := range p.machines {
		if m.worker != nil {
			m.worker.stop()
		}
	}
	p.mu.Unlock()
	for _, s := range p.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP_LOGS") == "1" {
		fmt.Println("logs in", p.dir)
		return
	}
	_ = os.RemoveAll(p.dir)
}

// addMachines adds machines with a worker each to a pool.
func (p *platform) addMachines(pool string, n int) error {
	zones := []string{"regina", "saskatoon", "brandon"}
	p.mu.Lock()
	defer p.mu.Unlock()
	for range n {
		number := len(p.machines) + 1
		m := &machine{
			id: fmt.Sprintf("m-%04d", number), pool: pool, zone: zones[number%len(zones)],
			rack: fmt.Sprintf("r%d-1", number%len(zones)+1), upkept: map[int64]bool{},
		}
		p.machines[m.id] = m
		if err := p.startWorker(m); err != nil {
			return err
		}
	}
	return nil
}

// startWorker starts a new worker on a machine. Callers hold mu.
func (p *platform) startWorker(m *machine) error {
	p.started++
	w, err := newWorker(p, fmt.Sprintf("i-%04d", p.started), m)
	if err != nil {
		return err
	}
	m.worker, m.state = w, "up"
	go w.writeEntries()
	return nil
}

// workers returns the present workers of a pool in the order of their machines.
func (p *platform) workers(pool string) []*worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*worker
	for _, m := range p.machines {
		if m.pool == pool && m.worker != nil {
			list = append(list, m.worker)
		}
	}
	slices.SortFunc(list, func(a, b *worker) int { return strings.Compare(a.machine.id, b.machine.id) })
	return list
}

// serveCloud stands for the service that lists, moves and maintains machines.
func (p *platform) serveCloud(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.URL.Path == "/machines" {
		p.listMachines(w)
		return
	}
	var b struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil || p.machines[b.Machine] == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m := p.machines[b.Machine]
	fence, _ := strconv.ParseInt(r.Header.Get("X-Fence-Token"), 10, 64)
	upkeep := r.URL.Path == "/machine-upkeep"
	switch {
	case fence < m.fence:
		refuse(w, map[string]any{"reason": "fence"})
		return
	case upkeep && m.upkept[b.Wave], !upkeep && m.pool == b.Pool:
		m.fence = fence
		reply(w, map[string]any{})
		return
	case m.state != "up":
		refuse(w, map[string]any{"reason": "busy"})
		return
	}
	m.fence = fence
	p.record.note("cloud: %s of %s (pool %q, wave %d) with fence %d by %s", r.URL.Path, b.Machine, b.Pool, b.Wave, fence,
		r.Header.Get("X-Lease-Holder"))
	state, duration := "moving", moveTime
	if upkeep {
		m.upkept[b.Wave] = true
		state, duration = "upkeep", upkeepTime
	} else {
		m.pool = b.Pool
	}
	p.takeDown(m, state, duration)
	reply(w, map[string]any{})
}

// takeDown ends the worker of a machine and starts another one after some time. Callers hold mu.
func (p *platform) takeDown(m *machine, state string, duration time.Duration) {
	if m.worker != nil {
		m.worker.stop()
		p.store.Put(adapter.TopicWorkers, m.worker.id, nil)
	}
	m.worker, m.state = nil, state
	time.AfterFunc(duration, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		select {
		case <-p.done:
			return
		default:
		}
		if err := p.startWorker(m); err != nil {
			p.record.note("cloud: %s gets no worker: %v", m.id, err)
		}
	})
}

// listMachines responds with all machines. Callers hold mu.
func (p *platform) listMachines(w http.ResponseWriter) {
	list := []map[string]any{}
	for _, m := range p.machines {
		x := map[string]any{
			"machine": m.id, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{"a", m.rack},
			"capacity": capacity(),
		}
		if m.worker != nil {
			x["id"] = m.worker.id
		}
		list = append(list, x)
	}
	reply(w, map[string]any{"machines": list, "next_token": nil})
}

func reply(w http.ResponseWriter, body map[string]any) { respond(w, http.StatusOK, body) }

func refuse(w http.ResponseWriter, body map[string]any) { respond(w, http.StatusConflict, body) }

func respond(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an error means that the caller has gone
}

// queue is a route of the configuration.
type queue struct {
	name, service string
	attempts      int
	public        bool
}

// path returns the path of a job of the queue.
func (q queue) path(id string) string { return "/" + q.name + "/" + id }

// tenant is a tenant of the configuration.
type tenant struct {
	name, key string
}

// configure writes the next version of the configuration.
func (p *platform) configure(services []string, tenants []tenant, queues ...queue) {
	p.version++
	routes, pools, accounts := []map[string]any{}, []map[string]any{}, []map[string]any{}
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": "r-" + q.name, "host": host, "path_prefix": "/" + q.name + "/", "kind": "non_idempotent",
			"timeout_ms": 3000, "target_latency_ms": 600, "priority": 0, "service": q.service, "attempts": q.attempts,
			"stretch": 1.6, "public": q.public,
		})
	}
	for _, s := range services {
		pools = append(pools, map[string]any{"name": s, "enforces_capacity": true})
	}
	for _, t := range tenants {
		accounts = append(accounts, map[string]any{"name": t.name, "api_keys": []string{t.key}, "weight": 10.0})
	}
	value, _ := json.Marshal(map[string]any{ // cannot fail: strings, numbers and lists of them
		"version": p.version, "routes": routes, "services": pools, "tenants": accounts,
		"limits": map[string]any{"max_body_bytes": 262144},
	})
	p.store.Put(adapter.TopicOperator, adapter.ConfigKey, value)
	p.record.note("operator: configuration %d: %s", p.version, value)
}
