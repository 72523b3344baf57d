package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the advice service.
const (
	adviceDecide   = 60 * time.Millisecond
	advicePeriod   = 5 * time.Millisecond
	adviceValidity = 3 * time.Second
)

// adviceService emulates the service that decides which workers may run a step. All workers may.
type adviceService struct {
	world *world
	turn  sync.Mutex // held during one call

	mu sync.Mutex // guards the fields below
	// jobs holds the IDs of the jobs that were handed in on a queue with advice.
	jobs map[string]bool
	// tickets holds the end of the validity of each ticket, by ticket.
	tickets map[string]time.Time
	calls   int
}

func newAdviceService(w *world) *adviceService {
	return &adviceService{world: w, jobs: map[string]bool{}, tickets: map[string]time.Time{}}
}

// govern records that starts of a job need a ticket.
func (a *adviceService) govern(job string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.jobs[job] = true
}

func ticketOf(step, worker string) string { return step + "/" + worker }

// allows reports whether a worker accepts a start with a ticket.
func (a *adviceService) allows(worker, task, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	job, _, _ := strings.Cut(task, ".")
	if !a.jobs[job] {
		return true
	}
	step := task[:strings.LastIndex(task, ".")]
	return ticket == ticketOf(step, worker) && time.Now().Before(a.tickets[ticket])
}

// ServeHTTP implements http.Handler.
func (a *adviceService) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var b struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	a.turn.Lock()
	time.Sleep(adviceDecide + time.Duration(len(b.Workers))*advicePeriod)
	a.turn.Unlock()
	good := [][]string{}
	a.mu.Lock()
	a.calls++
	for _, id := range b.Workers {
		ticket := ticketOf(b.Step, id)
		a.tickets[ticket] = time.Now().Add(adviceValidity)
		good = append(good, []string{id, ticket})
	}
	a.mu.Unlock()
	a.world.note("advice service: step %s, %d workers", b.Step, len(b.Workers))
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"good": good, "validity_ms": adviceValidity.Milliseconds()})
}

// machine is one machine of the emulated instances service.
type machine struct {
	id, pool, state string
	worker          *worker
	cpu             int64
	fence           int64
	lives           int
	kind, zone      string
	// maintained holds the waves for which the machine has had its upkeep, and wave the one for which it is down now.
	maintained map[int64]bool
	wave       int64
}

// cloudService emulates the service that lists machines, moves them between pools and takes them down for upkeep.
type cloudService struct {
	world *world

	mu       sync.Mutex // guards the fields below
	machines map[string]*machine
	standby  map[string]bool
	// onMove is called with each move that is carried out, before the worker ends.
	onMove func(m *machine, to string, fence int64, holder string)
	// onUpkeep is called with each upkeep that begins. down holds the machines that are down for the same wave.
	onUpkeep func(m *machine, wave int64, down []string, fence int64, holder string)
}

func newCloudService(w *world) *cloudService {
	return &cloudService{world: w, machines: map[string]*machine{}, standby: map[string]bool{}}
}

// addMachine adds a machine with its worker.
func (w *world) addMachine(id, pool string, cpu int64) (*worker, error) {
	return w.addMachineOf("a", entryZone, id, pool, cpu)
}

// addMachineOf adds a machine of a kind in a zone with its worker.
func (w *world) addMachineOf(kind, zone, id, pool string, cpu int64) (*worker, error) {
	m := &machine{id: id, pool: pool, state: "up", cpu: cpu, kind: kind, zone: zone, maintained: map[int64]bool{}}
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	w.cloud.machines[id] = m
	err := w.cloud.join(m)
	return m.worker, err
}

// join starts the next worker of a machine. Callers hold mu.
func (c *cloudService) join(m *machine) error {
	m.state = "up"
	if c.standby[m.pool] {
		m.worker = nil
		return nil
	}
	m.lives++
	x, err := c.world.addWorker(fmt.Sprintf("i-%s-%d", m.id, m.lives), m.id, m.pool, m.kind, m.zone, m.cpu)
	m.worker = x
	return err
}

// worker returns the present worker of a machine.
func (c *cloudService) worker(id string) *worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machines[id].worker
}

// moveTime is the time until a moved machine has a worker in its new pool, and upkeepTime that of an upkeep.
const (
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

// ServeHTTP implements http.Handler.
func (c *cloudService) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	if r.URL.Path == "/machines" {
		_ = json.NewEncoder(rw).Encode(map[string]any{"machines": c.list(), "next_token": nil})
		return
	}
	var b struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil || c.machines[b.Machine] == nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	m := c.machines[b.Machine]
	fence, holder := int64(0), r.Header.Get("X-Lease-Holder")
	_, _ = fmt.Sscan(r.Header.Get("X-Fence-Token"), &fence)
	refuse := func(reason string) {
		rw.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(rw).Encode(map[string]any{"reason": reason})
	}
	upkeep := r.URL.Path == "/machine-upkeep"
	switch {
	case fence < m.fence:
		refuse("fence")
		return
	case upkeep && m.maintained[b.Wave], !upkeep && m.pool == b.Pool:
		return
	case m.state != "up":
		refuse("busy")
		return
	}
	m.fence = fence
	if upkeep {
		c.beginUpkeep(m, b.Wave, fence, holder)
		return
	}
	c.world.note("instances service: %s moves from %s to %s, holder %s, fence %d", m.id, m.pool, b.Pool, holder, fence)
	if c.onMove != nil {
		c.onMove(m, b.Pool, fence, holder)
	}
	c.takeDown(m, "moving", b.Pool, moveTime)
}

// beginUpkeep takes a machine down for a wave. Callers hold mu.
func (c *cloudService) beginUpkeep(m *machine, wave, fence int64, holder string) {
	var down []string
	for _, other := range c.machines {
		if other.state == "upkeep" && other.wave == wave {
			down = append(down, other.id)
		}
	}
	c.world.note("instances service: %s goes down for wave %d, holder %s, fence %d, others down: %v",
		m.id, wave, holder, fence, down)
	if c.onUpkeep != nil {
		c.onUpkeep(m, wave, down, fence, holder)
	}
	m.maintained[wave], m.wave = true, wave
	c.takeDown(m, "upkeep", m.pool, upkeepTime)
}

// takeDown ends the worker of a machine. A new one joins a pool after a time. Callers hold mu.
func (c *cloudService) takeDown(m *machine, state, pool string, after time.Duration) {
	if m.worker != nil {
		c.world.cluster.Store.Put("keyed.servers", m.worker.id, nil)
		m.worker.stop()
	}
	m.worker, m.pool, m.state = nil, pool, state
	time.AfterFunc(after, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if err := c.join(m); err != nil {
			c.world.note("instances service: %s cannot start its worker: %v", m.id, err)
		}
	})
}

// list returns all machines. Callers hold mu.
func (c *cloudService) list() []map[string]any {
	list := []map[string]any{}
	for _, m := range c.machines {
		id := ""
		if m.worker != nil {
			id = m.worker.id
		}
		list = append(list, map[string]any{
			"machine": m.id, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{m.kind, "r1-1"},
			"capacity": map[string]any{"cpu": m.cpu, "mem_mb": 65536, "gpu": 0}, "id": id,
		})
	}
	return list
}
