package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the workers, as in the settings of a small deployment.
const (
	heartbeat       = 1500 * time.Millisecond
	startupTime     = 400 * time.Millisecond // until a work item that lasts is at work
	checkpointEvery = 500 * time.Millisecond
	restoreTime     = 250 * time.Millisecond
	stopTime        = 100 * time.Millisecond // at most stop_ms
	gangTimeout     = 3 * time.Second
	maxHold         = 10 * time.Second
	maxEndsListed   = 500
	workerTick      = 10 * time.Millisecond
)

// work is what the spec of a job tells the workers. The system passes it on unread.
type work struct {
	Millis int  `json:"ms"` // working time of an item; 0 for one that lasts
	CPU    int  `json:"cpu"`
	Mem    int  `json:"mem"`
	Gang   int  `json:"gang"`  // number of members, or 0
	Saves  bool `json:"saves"` // the items save checkpoints
}

func (x work) spec() string {
	text, _ := json.Marshal(x)
	return string(text)
}

// worker is a stand-in for one life of a worker.
type worker struct {
	id, machine, service, zone string
	labels                     []string
	cpu, mem                   int
	room                       *room
	address                    string
	server                     *http.Server
	born                       time.Time

	mu       sync.Mutex // guards the fields below
	gone     bool
	fence    int64
	deadline int64
	sequence int64
	running  map[string]*run
	barred   map[string]int // by work item: the highest run that ended or was stopped here
	ends     []end
	lastEnd  int64
}

type run struct {
	item       string
	number     int
	work       work
	begin      time.Time
	base       time.Duration // work that the checkpoint brought along
	saved      string
	stopAt     time.Time // when a stop takes effect; zero if none
	gang       string    // the group that works together, or ""
	together   time.Time // when the gang was complete
	wasBrought string    // the checkpoint that the start carried
}

type end struct {
	number int64
	item   string
	run    int
	how    string
	saved  string
}

// clock returns the worker's steady clock in milliseconds.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1000 }

// start makes the worker listen, register itself and do its work until it leaves.
func (w *worker) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.address, w.born = l.Addr().String(), time.Now()
	w.running, w.barred = map[string]*run{}, map[string]int{}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Second}
	go func() { _ = w.server.Serve(l) }()
	go w.beat()
	go w.tick()
	return nil
}

// leave ends the worker and everything that runs on it. It does not remove the worker's entry.
func (w *worker) leave(why string) {
	w.mu.Lock()
	w.gone = true
	for _, r := range w.running {
		w.room.ended(w, r, why)
	}
	w.running = map[string]*run{}
	w.mu.Unlock()
	_ = w.server.Close()
}

func (w *worker) isGone() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gone
}

// beat writes the worker's entry at each heartbeat.
func (w *worker) beat() {
	for !w.isGone() {
		w.mu.Lock()
		w.sequence++
		entry := map[string]any{
			"service": w.service, "addr": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_left_ms": 0, "capacity": map[string]any{"cpu": w.cpu, "mem_mb": w.mem, "gpu": 0}, "labels": w.labels,
			"clock_ms": w.clock(), "sequence": w.sequence, "born": w.born.UnixMilli(), "machine": w.machine,
		}
		w.mu.Unlock()
		w.room.store.put("keyed.servers", w.id, entry)
		time.Sleep(heartbeat)
	}
}

// tick ends runs that are due.
func (w *worker) tick() {
	for !w.isGone() {
		w.mu.Lock()
		w.advance(time.Now())
		w.mu.Unlock()
		time.Sleep(workerTick)
	}
}

// advance ends the runs that are due, and all of them when the lease has expired. Callers hold mu.
func (w *worker) advance(now time.Time) {
	lapsed := w.clock() > w.deadline
	for _, r := range w.running {
		how := ""
		switch {
		case lapsed:
			how = "lapsed"
		case !r.stopAt.IsZero():
			if now.After(r.stopAt) {
				how = "stopped"
			}
		case w.room.fails(w, r):
			how = "failed"
		case r.gang != "":
			how = w.room.gangState(r, now)
		case r.work.Millis > 0 && w.progress(r, now) >= time.Duration(r.work.Millis)*time.Millisecond:
			how = "done"
		}
		w.save(r, now, how)
		if how != "" {
			w.endRun(r, how)
		}
	}
}

// progress returns the work that a run has done, including what its checkpoint brought along.
func (w *worker) progress(r *run, now time.Time) time.Duration {
	from := r.begin
	if r.gang != "" {
		if r.together.IsZero() {
			return r.base
		}
		from = r.together
	}
	if r.base > 0 {
		from = from.Add(restoreTime)
	}
	return r.base + max(now.Sub(from), 0)
}

// save renews the checkpoint of a run: one for each checkpointEvery of work, and one at a stop.
func (w *worker) save(r *run, now time.Time, how string) {
	if !r.work.Saves || how == "failed" || how == "done" {
		return
	}
	done := w.progress(r, now)
	if how == "" {
		done = done.Truncate(checkpointEvery)
	}
	if done > 0 && (how != "" || done > r.base) {
		r.saved = checkpoint(r.item, done)
	}
}

// checkpoint returns the value of a checkpoint: the work done and the job.
func checkpoint(item string, done time.Duration) string {
	job, _, _ := strings.Cut(item, ".")
	return fmt.Sprintf("%08x%s", done.Milliseconds(), job[len(job)-8:])
}

func checkpointWork(value string) time.Duration {
	var millis int64
	if len(value) < 8 {
		return 0
	}
	if _, err := fmt.Sscanf(value[:8], "%x", &millis); err != nil {
		return 0
	}
	return time.Duration(millis) * time.Millisecond
}

// endRun moves a run to the ended ones. Callers hold mu.
func (w *worker) endRun(r *run, how string) {
	delete(w.running, r.item)
	w.barred[r.item] = max(w.barred[r.item], r.number)
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, r.item, r.number, how, r.saved})
	w.room.ended(w, r, how)
}

// order is the body of a call to a worker.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline_ms"`
	Fence      int64  `json:"fence_token"`
	Checkpoint string `json:"checkpoint_id"`
	Acked      int64  `json:"acked_upto"`
	Wait       int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("X-Expect-Instance") != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/hold" {
		w.serveHold(out, r, o)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		panic(http.ErrAbortHandler)
	}
	answer := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()}
	status := http.StatusOK
	reason := w.obey(r.URL.Path, o)
	switch reason {
	case "":
	case unhealthy:
		status = http.StatusServiceUnavailable
	default:
		status, answer["reason"] = http.StatusConflict, reason
	}
	reply(out, status, answer)
}

// unhealthy stands for the refusal of a worker that is not well, which has no reason in its answer.
const unhealthy = "unhealthy"

// obey carries out an order and returns the reason for a refusal, or "". Callers hold mu.
func (w *worker) obey(path string, o order) string {
	if o.Fence < w.fence {
		return "fence"
	}
	w.fence = o.Fence
	w.advance(time.Now())
	switch path {
	case "/run-start":
		if w.room.refuses(w) {
			w.room.note("worker %s refuses the start of %s run %d with 503", w.id, o.Task, o.Run)
			return unhealthy
		}
		return w.begin(o)
	case "/run-stop":
		w.barred[o.Task] = max(w.barred[o.Task], o.Run)
		if r := w.running[o.Task]; r != nil && r.number <= o.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTime)
		}
	}
	return ""
}

// begin starts a run, or returns the reason for a refusal. Callers hold mu.
func (w *worker) begin(o order) string {
	if r := w.running[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	if o.Deadline < w.clock() {
		return "late"
	}
	w.extend(o.Deadline)
	if o.Run <= w.barred[o.Task] || w.running[o.Task] != nil {
		return "old"
	}
	r := &run{item: o.Task, number: o.Run, begin: time.Now(), saved: o.Checkpoint, wasBrought: o.Checkpoint}
	if err := json.Unmarshal([]byte(o.Spec), &r.work); err != nil {
		return "spec"
	}
	cpu, mem := r.work.CPU, r.work.Mem
	for _, other := range w.running {
		cpu, mem = cpu+other.work.CPU, mem+other.work.Mem
	}
	if cpu > w.cpu || mem > w.mem {
		return "room"
	}
	r.base = checkpointWork(o.Checkpoint)
	if r.work.Gang > 0 {
		r.gang = gangName(o)
	}
	w.running[o.Task] = r
	w.room.began(w, r)
	return ""
}

// extend extends the lease. Callers hold mu.
func (w *worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+maxHold.Milliseconds()))
}

func (w *worker) serveHold(out http.ResponseWriter, r *http.Request, o order) {
	until := time.Now().Add(time.Duration(o.Wait) * time.Millisecond)
	for {
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if o.Fence < w.fence {
			answer := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "reason": "fence"}
			w.mu.Unlock()
			reply(out, http.StatusConflict, answer)
			return
		}
		w.fence = o.Fence
		w.advance(time.Now())
		if o.Deadline > 0 {
			w.extend(o.Deadline)
		}
		w.forget(o.Acked)
		if len(w.ends) > 0 || !time.Now().Before(until) {
			answer := w.report()
			w.mu.Unlock()
			reply(out, http.StatusOK, answer)
			return
		}
		w.mu.Unlock()
		select {
		case <-time.After(workerTick):
		case <-r.Context().Done():
			return
		}
	}
}

// forget drops the ends that the system has taken note of. Callers hold mu.
func (w *worker) forget(acked int64) {
	for len(w.ends) > 0 && w.ends[0].number <= acked {
		w.ends = w.ends[1:]
	}
}

// report returns what runs and what has ended. Callers hold mu.
func (w *worker) report() map[string]any {
	running, ended := [][]any{}, [][]any{}
	now := time.Now()
	for _, r := range w.running {
		running = append(running, []any{r.item, r.number, r.saved, w.percent(r, now), r.work.CPU})
	}
	for _, e := range w.ends[:min(len(w.ends), maxEndsListed)] {
		ended = append(ended, []any{e.number, e.item, e.run, e.how, e.saved})
	}
	return map[string]any{
		"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended_runs": ended,
	}
}

func (w *worker) percent(r *run, now time.Time) int {
	if r.work.Millis == 0 {
		return int(min(100*now.Sub(r.begin)/startupTime, 100))
	}
	return int(min(100*w.progress(r, now)/(time.Duration(r.work.Millis)*time.Millisecond), 99))
}
