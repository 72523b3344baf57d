package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

func decode(r *http.Request, into any) error { return json.NewDecoder(r.Body).Decode(into) }

// stage is a running deployment: entry instances as processes of their own, and the stand-ins around them.
type stage struct {
	*room
	folder  string
	program string
	entries []*entry
	servers []*http.Server
	store   string // address
	cloud   string // address
	version int
}

// entry is one entry instance.
type entry struct {
	name, front, ready string
	settings, log      string // paths
	process            *os.Process
	exited             chan struct{}
}

// hostName is the host of all queues.
const hostName = "pule25.example"

const (
	firstPort, lastPort = 20_000, 32_000
	portsPerEntry       = 18
	portAttempts        = 200
)

// listen starts a server on a free loopback port and returns its address.
func (s *stage) listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// newStage prepares the stand-ins. Entry instances are started with addEntries.
func newStage(m *room, program string) (*stage, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &stage{room: m, folder: folder, program: program}
	if s.store, err = s.listen(m.store); err != nil {
		return s, err
	}
	s.cloud, err = s.listen(http.HandlerFunc(m.serveCloud))
	return s, err
}

// freePorts returns the first of portsPerEntry consecutive free ports.
func freePorts() (int, error) {
	for range portAttempts {
		first := firstPort + rand.IntN(lastPort-firstPort-portsPerEntry)
		if allFree(first) {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

func allFree(first int) bool {
	for n := range portsPerEntry {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+n))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// settingsText is the settings file of an entry instance, with the values of a small deployment.
const settingsText = `node_name: %q
role: "entry"
machine_class: "edge"
serves: ["edge", "control_plane"]
ip: "127.0.0.1"
zone: "regina"
region: "prairie"
zones: {regina: "prairie"}
listen: {front_addr: "127.0.0.1:%d", ready_addr: "127.0.0.1:%d"}
port_range: [%d, %d]
seeds: []
bootstrap: true
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
discovery: "platform"
heartbeat_ms: 1500
bounds: {contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 6, loss_slack_ms: 200,
  config_apply_ms: 2000, rollback_slack_ms: 250, max_stretch_ms: 5000, strict_revoke: true, revoke_ms: 5000,
  recovery_s: 12, hold_max_ms: 10000, stop_ms: 400, gang_timeout_ms: 3000, cancel_ms: 3000, visible_ms: 3000,
  early_ms: 250, finish_s: 14, status_s: 120, spread_factor: 2, checkpoint_s: 0.5, restore_ms: 250, notice_ms: 4500,
  move_s: 1.5, maintenance_s: 2, require_fence: true, lease_ms: 3000, thaw_ms: 300, pace_ms: 100, harm_ms: 4000}
orders: "call"
platform: {addr: %q, form: "log", writes_per_s: 800, reads_per_s: 2000, parts: %d, append_ms: 4.0,
  record_bytes: %d, call_bytes: %d, keep_s: 300, part_mb: 200, min_ttl_ms: 1000}
cloud_api: {addr: %q, rate_per_s: 64.0, duties: [], duty_per_s: 64.0}
`

// addEntries starts entry instances and waits until they are ready.
func (s *stage) addEntries(count int) error {
	for n := range count {
		name := fmt.Sprintf("edge-regina-%d", n+1)
		e := &entry{
			name: name, settings: filepath.Join(s.folder, name+".yaml"), log: filepath.Join(s.folder, name+".log"),
		}
		s.entries = append(s.entries, e)
		if err := s.startOnFreePorts(e); err != nil {
			return err
		}
	}
	return s.awaitReady(20 * time.Second)
}

// startOnFreePorts writes the settings file of an entry instance and starts it.
func (s *stage) startOnFreePorts(e *entry) error {
	port, err := freePorts()
	if err != nil {
		return err
	}
	e.front, e.ready = fmt.Sprintf("127.0.0.1:%d", port), fmt.Sprintf("127.0.0.1:%d", port+1)
	text := fmt.Sprintf(settingsText, e.name, port, port+1, port+2, port+portsPerEntry-1, s.store, storePartitions,
		recordBytes, callBytes, s.cloud)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return err
	}
	return s.startEntry(e)
}

// startEntry starts the process of an entry instance with the command of the deploy file.
func (s *stage) startEntry(e *entry) error {
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	environment := []string{"POLLENLEAD_BOOT=" + e.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + s.folder, "LANG=C"}
	e.process, err = os.StartProcess(s.program, []string{s.program, "entry"}, &os.ProcAttr{
		Env: environment, Files: []*os.File{nil, log, log},
	})
	if err != nil {
		return err
	}
	e.exited = make(chan struct{})
	go func(p *os.Process, exited chan struct{}) {
		_, _ = p.Wait()
		close(exited)
	}(e.process, e.exited)
	s.note("entry instance %s starts", e.name)
	return nil
}

// awaitReady waits until every entry instance reports ready. One that has ended is started again on other ports: another
// program may have taken one of its ports between the check and the start.
func (s *stage) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for {
		time.Sleep(settleTime)
		ready := true
		for _, e := range s.entries {
			if e.hasExited() {
				s.note("entry instance %s has ended, and is started on other ports", e.name)
				if err := s.startOnFreePorts(e); err != nil {
					return err
				}
			}
			ready = ready && isReady(e) && !e.hasExited()
		}
		if ready {
			return nil
		}
		if time.Now().After(until) {
			return errors.New("the entry instances do not become ready")
		}
	}
}

// settleTime is longer than an entry instance takes to find that one of its ports is taken.
const settleTime = 400 * time.Millisecond

// hasExited reports whether the process has ended.
func (e *entry) hasExited() bool {
	select {
	case <-e.exited:
		return true
	default:
		return false
	}
}

func isReady(e *entry) bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + e.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// close ends all processes that were started, and removes the temporary folder.
func (s *stage) close() {
	for _, e := range s.entries {
		if e.process == nil {
			continue
		}
		_ = e.process.Kill()
		<-e.exited
	}
	for _, x := range s.servers {
		_ = x.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

// route is a queue of the configuration.
type route struct {
	name, prefix, service string
	attempts              int
}

// publish writes the next version of the configuration, with one tenant for each key.
func (s *stage) publish(routes []route, services []string, keys ...string) {
	s.version += 3
	var wireRoutes, wireServices, tenants []map[string]any
	for _, r := range routes {
		wireRoutes = append(wireRoutes, map[string]any{
			"name": r.name, "host": hostName, "path_prefix": r.prefix, "kind": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 600, "priority": 0, "service": r.service, "attempts": max(r.attempts, 2), "stretch": 1.6,
			"public": false,
		})
	}
	for _, name := range services {
		wireServices = append(wireServices, map[string]any{
			"name": name, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false,
			"enforces_capacity": true, "standby": false,
		})
	}
	for n, key := range keys {
		tenants = append(tenants, map[string]any{
			"name": fmt.Sprintf("tenant-%d", n+1), "api_keys": []string{key}, "priority": 1, "weight": 50,
			"max_count": map[string]any{"cpu": 2_000_000, "mem_mb": 4_000_000, "gpu": 0},
		})
	}
	s.room.store.put("keyed.op", "config", map[string]any{
		"version": s.version, "routes": wireRoutes, "services": wireServices, "tenants": tenants,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
	s.note("operator: configuration %d, routes %v, services %v", s.version, routes, services)
}

// answer is the response to a client.
type answer struct {
	status int
	body   string
}

// call sends one request of a client to an entry instance. The status is 0 if no response arrived in time.
func (s *stage) call(e *entry, method, path, key string, body any) answer {
	text := ""
	if body != nil {
		encoded, _ := json.Marshal(body)
		text = string(encoded)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+path, strings.NewReader(text))
	if err != nil {
		return answer{}
	}
	r.Host = hostName
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("X-Deadline-Ms", "3000")
	got := answer{}
	if res, err := http.DefaultClient.Do(r); err == nil {
		encoded, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		got = answer{res.StatusCode, string(encoded)}
	}
	s.note("client: %s %s at %s: %d %s", method, path, e.name, got.status, got.body)
	return got
}

// jobID returns the ID of the n-th job.
func jobID(n int) string { return fmt.Sprintf("5c0e7a21%08x", n) }

// submit hands a job in, and repeats that at the next entry instance as long as the outcome is not known or the job was
// refused. It reports whether the job was accepted, and when.
func (s *stage) submit(r route, key string, n int, steps ...map[string]any) (time.Time, bool) {
	spec, _ := steps[0]["spec"].(string)
	delete(steps[0], "spec")
	for try := range 5 {
		e := s.entries[(n+try)%len(s.entries)]
		if s.call(e, "POST", r.prefix+jobID(n), key, map[string]any{"spec": spec, "steps": steps}).status == http.StatusOK {
			return time.Now(), true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Time{}, false
}

// state asks for the state of a job at each entry instance in turn until it gets an answer.
func (s *stage) state(r route, key string, n int) answer {
	got := answer{}
	for try := range 4 {
		got = s.call(s.entries[(n+try)%len(s.entries)], "GET", r.prefix+jobID(n), key, nil)
		if got.status == http.StatusOK || got.status == http.StatusGone {
			return got
		}
	}
	return got
}

// awaitState waits until a job has the given state.
func (s *stage) awaitState(r route, key string, n int, state string, limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if strings.Contains(s.state(r, key, n).body, `"`+state+`"`) {
			return true
		}
	}
	return false
}

// step returns a step of a job. The spec of its work goes with the job.
func step(count int, x work, more map[string]any) map[string]any {
	m := map[string]any{
		"count": count, "cpu": x.CPU, "mem_mb": x.Mem, "estimate_ms": max(x.Millis, 1000), "spec": x.spec(),
	}
	for k, v := range more {
		m[k] = v
	}
	return m
}
