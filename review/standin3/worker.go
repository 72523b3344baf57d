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

	adapter "pollenlead/platform"
)

const (
	workerCPU, workerMemory = 32_000, 65_536
	// maxLease is the bound hold_max_ms, stopTime less than stop_ms, and gangTimeout the bound gang_timeout_ms.
	maxLease    = 10 * time.Second
	stopTime    = 100 * time.Millisecond
	gangTimeout = 3 * time.Second
	// startup is the time until a run without an end is in service.
	startup = 300 * time.Millisecond
	// tick is the interval at which runs are checked for their ends, and maxWait bounds wait_ms.
	tick    = 10 * time.Millisecond
	maxWait = 2 * time.Second
	// maxEnds is the number of ends in one answer.
	maxEnds = 500
)

func capacity() map[string]any {
	return map[string]any{"cpu": workerCPU, "mem_mb": workerMemory, "gpu": 0}
}

// worker is one life of a machine, as the pages describe it.
type worker struct {
	id      string
	machine *machine
	service string
	p       *platform
	server  *http.Server
	address string
	born    time.Time

	mu       sync.Mutex // guards the fields below
	sequence int64
	fence    int64
	deadline int64 // on the worker's clock
	running  map[string]*task
	highest  map[string]int // run that was stopped or has ended, by work item
	ends     []end
	endCount int64
	// faulty means that all that is started now fails, through the worker's fault, at the next faultInterval.
	faulty bool
	gone   bool
}

// task is a run of a work item.
type task struct {
	name    string
	run     int
	what    work
	started time.Time
	gang    *gang
	// doomed means that it was started while the worker was faulty.
	doomed   bool
	stopping time.Time
}

// end is a row of ended_runs.
type end struct {
	number int64
	name   string
	run    int
	how    string
}

// work is what the spec of a job says in these cases: how long a work item takes (0 for one that lasts), its
// processor share and the members of its gang.
type work struct {
	MS   int64 `json:"ms"`
	CPU  int64 `json:"cpu"`
	Gang int   `json:"gang"`
}

func newWorker(p *platform, id string, m *machine) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, machine: m, service: m.pool, p: p, address: l.Addr().String(), born: time.Now(),
		running: map[string]*task{}, highest: map[string]int{},
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: 3 * time.Second}
	go func() { _ = w.server.Serve(l) }()
	go w.work()
	return w, nil
}

// stop ends the worker and all that runs there.
func (w *worker) stop() {
	w.mu.Lock()
	w.gone = true
	for _, t := range w.running {
		w.p.record.note("worker %s: %s run %d ends with its worker", w.id, t.name, t.run)
		t.gang.leave()
	}
	clear(w.running)
	w.mu.Unlock()
	_ = w.server.Close()
}

func (w *worker) isGone() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gone
}

// setFaulty sets whether the worker fails all that it starts.
func (w *worker) setFaulty(faulty bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faulty = faulty
	w.p.record.note("worker %s: faulty %v", w.id, faulty)
}

// clock returns the worker's clock in milliseconds.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// writeEntries writes the worker's entry to the store until it has ended.
func (w *worker) writeEntries() {
	for !w.isGone() {
		w.mu.Lock()
		w.sequence++
		value, _ := json.Marshal(map[string]any{ // cannot fail: strings, numbers and lists of them
			"service": w.service, "addr": w.address, "zone": w.machine.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_left_ms": 0, "sequence": w.sequence, "born": w.born.UnixMilli(), "capacity": capacity(),
			"labels": []string{"a", w.machine.rack}, "machine": w.machine.id, "clock_ms": w.clock(),
		})
		w.mu.Unlock()
		w.p.store.Put(adapter.TopicWorkers, w.id, value)
		time.Sleep(heartbeat)
	}
}

// request is the body of a call.
type request struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fence_token"`
	Acked    int64  `json:"acked_upto"`
	Wait     int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var b request
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("X-Expect-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	until := time.Now().Add(min(time.Duration(b.Wait)*time.Millisecond, maxWait))
	for {
		w.mu.Lock()
		status, body, wait := w.handle(r.URL.Path, &b)
		w.mu.Unlock()
		if !wait || time.Now().After(until) {
			respond(rw, status, body)
			return
		}
		time.Sleep(tick / 2)
	}
}

// handle carries out a call. wait means that the answer may wait for an end. Callers hold mu.
func (w *worker) handle(path string, b *request) (status int, body map[string]any, wait bool) {
	clock := w.clock()
	body = map[string]any{"clock_ms": clock, "born": w.born.UnixMilli()}
	if w.gone {
		return http.StatusServiceUnavailable, body, false
	}
	if b.Fence < w.fence {
		body["reason"] = "fence"
		return http.StatusConflict, body, false
	}
	w.fence = b.Fence
	switch path {
	case "/run-start":
		if reason := w.begin(b, clock); reason != "" {
			w.p.record.note("worker %s: start of %s run %d refused: %s", w.id, b.Task, b.Run, reason)
			body["reason"] = reason
			return http.StatusConflict, body, false
		}
	case "/run-stop":
		w.endLater(b)
	case "/pace":
	case "/hold":
		w.extend(b.Deadline, clock)
		w.ends = slices.DeleteFunc(w.ends, func(e end) bool { return e.number <= b.Acked })
		body["running"], body["ended_runs"] = w.lists()
		return http.StatusOK, body, len(w.ends) == 0
	default:
		return http.StatusNotFound, body, false
	}
	return http.StatusOK, body, false
}

func (w *worker) extend(deadline, clock int64) {
	w.deadline = max(w.deadline, min(deadline, clock+maxLease.Milliseconds()))
}

// begin starts a run, or returns the reason for which it does not. Callers hold mu.
func (w *worker) begin(b *request, clock int64) (reason string) {
	if t := w.running[b.Task]; t != nil && t.run == b.Run {
		return ""
	}
	if b.Deadline < clock {
		return "late"
	}
	w.extend(b.Deadline, clock)
	if b.Run <= w.highest[b.Task] || w.running[b.Task] != nil {
		return "old"
	}
	t := &task{name: b.Task, run: b.Run, started: time.Now(), doomed: w.faulty}
	_ = json.Unmarshal([]byte(b.Spec), &t.what) // a spec of another form takes no time
	used := t.what.CPU
	for _, x := range w.running {
		used += x.what.CPU
	}
	if used > workerCPU {
		return "room"
	}
	t.gang = w.p.gangs.join(t)
	w.running[b.Task] = t
	w.p.record.note("worker %s: %s run %d begins (fence %d, spec %s)", w.id, b.Task, b.Run, b.Fence, b.Spec)
	w.p.history.begin(b.Task, b.Run, w.id)
	return ""
}

// endLater begins to stop a run, and prevents its start. Callers hold mu.
func (w *worker) endLater(b *request) {
	w.highest[b.Task] = max(w.highest[b.Task], b.Run)
	if t := w.running[b.Task]; t != nil && t.run <= b.Run && t.stopping.IsZero() {
		t.stopping = time.Now()
		w.p.record.note("worker %s: %s run %d is told to stop", w.id, b.Task, t.run)
	}
}

// finish ends a run. Callers hold mu.
func (w *worker) finish(t *task, how string) {
	delete(w.running, t.name)
	w.endCount++
	w.ends = append(w.ends, end{w.endCount, t.name, t.run, how})
	w.highest[t.name] = max(w.highest[t.name], t.run)
	t.gang.leave()
	w.p.record.note("worker %s: %s run %d ends %s", w.id, t.name, t.run, how)
	w.p.history.end(t.name, t.run, how)
}

// faultInterval is the interval at which a faulty worker fails what it has started.
const faultInterval = 200 * time.Millisecond

// work ends runs in time until the worker has ended.
func (w *worker) work() {
	lastFault := time.Now()
	for {
		time.Sleep(tick)
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		fault := time.Since(lastFault) >= faultInterval
		if fault {
			lastFault = time.Now()
		}
		lapsed := w.clock() > w.deadline
		for _, name := range w.names() {
			t := w.running[name]
			if how := t.outcome(lapsed, fault); how != "" {
				w.finish(t, how)
			}
		}
		w.mu.Unlock()
	}
}

// names returns the names of what runs, in order. Callers hold mu.
func (w *worker) names() []string {
	var names []string
	for name := range w.running {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// outcome returns how a run ends now, or "" if it goes on.
func (t *task) outcome(lapsed, fault bool) string {
	began, broken := t.gang.state(t.started)
	switch {
	case lapsed:
		return "lapsed"
	case !t.stopping.IsZero() && time.Since(t.stopping) >= stopTime:
		return "stopped"
	case t.doomed && fault:
		return "failed"
	case t.doomed || !t.stopping.IsZero():
		return ""
	case broken:
		return "broken"
	case began.IsZero() && time.Since(t.started) >= gangTimeout:
		return "alone"
	case !began.IsZero() && t.what.MS > 0 && time.Since(began) >= time.Duration(t.what.MS)*time.Millisecond:
		t.gang.complete()
		return "done"
	}
	return ""
}

// lists returns the rows of running and ended_runs. Callers hold mu.
func (w *worker) lists() (running, ended [][]any) {
	running, ended = [][]any{}, [][]any{}
	for _, name := range w.names() {
		t := w.running[name]
		percent := 0
		switch age := time.Since(t.started); {
		case t.what.MS > 0:
			percent = int(min(100*age.Milliseconds()/t.what.MS, 99))
		case age >= startup:
			percent = 100
		}
		running = append(running, []any{t.name, t.run, "", percent, t.what.CPU})
	}
	for _, e := range w.ends[:min(len(w.ends), maxEnds)] {
		ended = append(ended, []any{e.number, e.name, e.run, e.how, ""})
	}
	return running, ended
}

// gangs holds the gangs whose members run, by step and run.
type gangs struct {
	mu    sync.Mutex // guards byRun and the gangs
	byRun map[string]*gang
}

// gang is one run of a gang.
type gang struct {
	all     *gangs
	size    int
	present int
	began   time.Time // when all members were present
	ended   bool      // a member has ended
	done    bool
}

func newGangs() *gangs { return &gangs{byRun: map[string]*gang{}} }

// join adds a run to its gang. It returns nil if the work item belongs to none.
func (g *gangs) join(t *task) *gang {
	if t.what.Gang == 0 {
		return nil
	}
	step := t.name[:strings.LastIndexByte(t.name, '.')]
	key := fmt.Sprintf("%s/%d", step, t.run)
	g.mu.Lock()
	defer g.mu.Unlock()
	x := g.byRun[key]
	if x == nil {
		x = &gang{all: g, size: t.what.Gang}
		g.byRun[key] = x
	}
	if x.present++; x.present == x.size && !x.ended {
		x.began = time.Now()
	}
	return x
}

// leave records that a member has ended.
func (x *gang) leave() {
	if x == nil {
		return
	}
	x.all.mu.Lock()
	defer x.all.mu.Unlock()
	x.ended = true
}

// complete records that the gang is done, so that all members end done.
func (x *gang) complete() {
	if x == nil {
		return
	}
	x.all.mu.Lock()
	defer x.all.mu.Unlock()
	x.done = true
}

// state returns when the work began, and whether another member has ended otherwise than done.
func (x *gang) state(started time.Time) (began time.Time, broken bool) {
	if x == nil {
		return started, false
	}
	x.all.mu.Lock()
	defer x.all.mu.Unlock()
	return x.began, x.ended && !x.done
}
