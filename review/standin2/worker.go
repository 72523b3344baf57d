package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"pollenlead/platform"
)

// worker emulates a worker as the platform's pages describe it.
type worker struct {
	world   *world
	id      string
	machine string
	service string
	kind    string
	zone    string
	address string
	born    time.Time
	cpu     int64
	// delay is the time that a call and its answer take on their way, in addition to the loopback interface.
	delay  time.Duration
	server *http.Server
	done   chan struct{}

	mu       sync.Mutex // guards the fields below
	sequence int64
	fence    int64
	deadline int64
	running  map[string]*run
	highest  map[string]int // by task: highest run that was stopped or has ended
	ended    []end
	ends     int64
	starts   []run
	finished map[string]bool // tasks that have ended done
	changed  chan struct{}
	held     time.Time // arrival of the last hold
	rejected int       // starts that were rejected for want of a ticket
}

type run struct {
	task  string
	run   int
	spec  string
	since time.Time
	lasts time.Duration // 0: until it is stopped
	cpu   int64
}

type end struct {
	number int64
	task   string
	run    int
	how    string
}

const (
	// entryZone is the zone of the entry instances, and otherZone another one. zoneRoundTrip is the time from one to the
	// other and back.
	entryZone     = "regina"
	otherZone     = "saskatoon"
	zoneRoundTrip = 2800 * time.Microsecond
)

// startupTime is the time that a run that lasts needs until it is at work.
const startupTime = 100 * time.Millisecond

// addWorker starts a worker on a free loopback port.
func (w *world) addWorker(id, machine, service, kind, zone string, cpu int64) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x := &worker{
		world: w, id: id, machine: machine, service: service, kind: kind, zone: zone, address: l.Addr().String(), born: time.Now(), cpu: cpu,
		done: make(chan struct{}), running: map[string]*run{}, highest: map[string]int{}, finished: map[string]bool{}, changed: make(chan struct{}),
	}
	if zone != entryZone {
		x.delay = zoneRoundTrip
	}
	x.server = &http.Server{Handler: x, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = x.server.Serve(l) }()
	go x.live()
	w.mu.Lock()
	w.workers = append(w.workers, x)
	w.mu.Unlock()
	w.note("worker %s of service %s is up, kind %s", id, service, kind)
	return x, nil
}

// stop ends the worker and everything that runs on it.
func (x *worker) stop() {
	x.mu.Lock()
	defer x.mu.Unlock()
	select {
	case <-x.done:
		return
	default:
	}
	close(x.done)
	clear(x.running)
	_ = x.server.Close()
}

// live writes the worker's entry and ends the runs that are due until the worker stops.
func (x *worker) live() {
	next := time.Now()
	for {
		select {
		case <-x.done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		x.mu.Lock()
		x.endDue()
		x.mu.Unlock()
		if time.Now().After(next) {
			next = time.Now().Add(1500 * time.Millisecond)
			x.world.cluster.Store.Put(platform.TopicWorkers, x.id, x.entry())
		}
	}
}

func (x *worker) clock() int64 { return time.Since(x.born).Milliseconds() + 1000 }

func (x *worker) entry() []byte {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sequence++
	text, err := json.Marshal(map[string]any{
		"service": x.service, "addr": x.address, "zone": x.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "capacity": map[string]any{"cpu": x.cpu, "mem_mb": 65536, "gpu": 0},
		"labels": []string{x.kind, "r1-1"}, "clock_ms": x.clock(), "sequence": x.sequence, "born": x.born.UnixMilli(),
		"machine": x.machine,
	})
	if err != nil {
		panic(err) // cannot happen: the entry holds strings and numbers
	}
	return text
}

// order is the body of every call to a worker.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fence_token"`
	Acked    int64  `json:"acked_upto"`
	Wait     int64  `json:"wait_ms"`
	Ticket   string `json:"ticket"`
}

// ServeHTTP implements http.Handler.
func (x *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("X-Expect-Instance") != x.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(x.delay)
	status, answer := x.handle(r, o)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(answer)
}

func (x *worker) handle(r *http.Request, o order) (int, map[string]any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.endDue()
	refuse := func(reason string) (int, map[string]any) {
		return http.StatusConflict, map[string]any{"clock_ms": x.clock(), "reason": reason}
	}
	if o.Fence < x.fence {
		return refuse("fence")
	}
	x.fence = o.Fence
	switch r.URL.Path {
	case "/run-start":
		if reason := x.start(o); reason != "" {
			return refuse(reason)
		}
	case "/run-stop":
		x.highest[o.Task] = max(x.highest[o.Task], o.Run)
		if running := x.running[o.Task]; running != nil && running.run <= o.Run {
			x.end(running, "stopped")
		}
	case "/pace":
	case "/hold":
		return x.hold(o)
	}
	return http.StatusOK, map[string]any{"clock_ms": x.clock()}
}

// start starts a run, or returns the reason for which it is refused. Callers hold mu.
func (x *worker) start(o order) string {
	if running := x.running[o.Task]; running != nil && running.run == o.Run {
		return ""
	}
	if o.Deadline < x.clock() {
		return "late"
	}
	x.deadline = max(x.deadline, min(o.Deadline, x.clock()+10_000))
	if o.Run <= x.highest[o.Task] || x.running[o.Task] != nil {
		return "old"
	}
	if !x.world.advice.allows(x.id, o.Task, o.Ticket) {
		if x.rejected++; x.rejected <= 5 || x.rejected%1000 == 0 {
			x.world.note("worker %s: start of %s run %d is rejected (number %d here): ticket %q",
				x.id, o.Task, o.Run, x.rejected, o.Ticket)
		}
		return "ticket"
	}
	started := &run{task: o.Task, run: o.Run, spec: o.Spec, since: time.Now()}
	var ms int64
	if _, err := fmt.Sscanf(lastWord(o.Spec), "ms=%d,cpu=%d", &ms, &started.cpu); err == nil {
		started.lasts = time.Duration(ms) * time.Millisecond
	}
	used := started.cpu
	for _, other := range x.running {
		used += other.cpu
	}
	if used > x.cpu {
		return "room"
	}
	x.running[o.Task] = started
	x.starts = append(x.starts, *started)
	x.world.note("worker %s: %s run %d starts, spec %q, fence %d", x.id, o.Task, o.Run, o.Spec, o.Fence)
	return ""
}

func lastWord(text string) string {
	words := strings.Fields(text)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// end ends a run. Callers hold mu.
func (x *worker) end(r *run, how string) {
	delete(x.running, r.task)
	x.ends++
	x.ended = append(x.ended, end{x.ends, r.task, r.run, how})
	x.highest[r.task] = max(x.highest[r.task], r.run)
	if how == "done" {
		x.finished[r.task] = true
	}
	x.world.note("worker %s: %s run %d ends: %s", x.id, r.task, r.run, how)
	close(x.changed)
	x.changed = make(chan struct{})
}

// endDue ends the runs whose time is over, and all if the lease has run out. Callers hold mu.
func (x *worker) endDue() {
	for _, r := range x.running {
		switch {
		case x.clock() > x.deadline:
			x.end(r, "lapsed")
		case r.lasts > 0 && time.Since(r.since) >= r.lasts:
			x.end(r, "done")
		}
	}
}

// hold renews the lease and waits for an end. Callers hold mu, which is released during the wait.
func (x *worker) hold(o order) (int, map[string]any) {
	x.held = time.Now()
	if o.Deadline > 0 {
		x.deadline = max(x.deadline, min(o.Deadline, x.clock()+10_000))
	}
	x.ended = slices.DeleteFunc(x.ended, func(e end) bool { return e.number <= o.Acked })
	limit := time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	for waiting := o.Wait > 0; waiting && len(x.ended) == 0; {
		changed := x.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-limit:
			waiting = false
		case <-x.done:
			waiting = false
		}
		x.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range x.running {
		percent := 100
		if time.Since(r.since) < startupTime {
			percent = 0
		}
		running = append(running, []any{r.task, r.run, "", percent, 0})
	}
	for _, e := range x.ended {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{
		"clock_ms": x.clock(), "born": x.born.UnixMilli(), "running": running, "ended_runs": ended,
	}
}

// runs returns the runs that the worker has now.
func (x *worker) runs() []run {
	x.mu.Lock()
	defer x.mu.Unlock()
	var list []run
	for _, r := range x.running {
		list = append(list, *r)
	}
	return list
}

// lastHold returns the arrival of the last renewal of the worker's lease.
func (x *worker) lastHold() time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.held
}
