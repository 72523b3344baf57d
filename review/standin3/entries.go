package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// entry is an entry instance in a process of its own.
type entry struct {
	name                  string
	front, ready, metrics string
	settings              string
	log                   *os.File
	process               *exec.Cmd
	ended                 chan struct{}
}

// settingsText is the settings file of an entry instance, with the bounds of a small deployment.
const settingsText = `node_name: %[1]q
role: "entry"
machine_class: "edge"
serves: ["edge", "control_plane"]
ip: "127.0.0.1"
zone: %[2]q
region: "prairie"
zones: {regina: "prairie", saskatoon: "prairie", brandon: "prairie"}
listen: {front_addr: "127.0.0.1:%[3]d", ready_addr: "127.0.0.1:%[4]d", control_addr: "127.0.0.1:%[5]d"}
port_range: [%[6]d, %[7]d]
bootstrap: true
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
discovery: "platform"
entry: "vip"
heartbeat_ms: 1500
fault_tolerance: {machines: 2, zones: 0, regions: 0}
bounds: {contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 6, loss_slack_ms: 200,
  config_apply_ms: 2000, rollback_slack_ms: 250, max_stretch_ms: 5000, strict_revoke: true, revoke_ms: 5000,
  quota_overage: 0.1, recovery_s: 12, hold_max_ms: 10000, stop_ms: 400, gang_timeout_ms: 3000, cancel_ms: 3000,
  visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, spread_factor: 2, checkpoint_s: 0.5, restore_ms: 250,
  notice_ms: 4500, move_s: 1.5, maintenance_s: 2, require_fence: true, lease_ms: 3000, thaw_ms: 300, pace_ms: 100,
  harm_ms: 4000}
orders: "call"
advice: %[8]q
platform: {addr: %[9]q, form: "log", writes_per_s: 800, reads_per_s: 2000, parts: 8, record_bytes: 262144,
  call_bytes: 2097152, keep_s: 300, part_mb: 200, min_ttl_ms: 1000}
cloud_api: {addr: %[10]q, rate_per_s: 64.0, duties: [], duty_per_s: 64.0}
`

// portsPerEntry is the number of consecutive ports that an entry instance gets.
const portsPerEntry = 8

// newEntry writes the settings of an entry instance on free ports.
func (p *platform) newEntry(name, zone string) (*entry, error) {
	first, err := freePorts(portsPerEntry)
	if err != nil {
		return nil, err
	}
	e := &entry{
		name: name, front: fmt.Sprintf("127.0.0.1:%d", first), ready: fmt.Sprintf("127.0.0.1:%d", first+1),
		metrics: fmt.Sprintf("127.0.0.1:%d", first+4), settings: filepath.Join(p.dir, name+".yaml"),
	}
	text := fmt.Sprintf(settingsText, name, zone, first, first+1, first+2, first+3, first+portsPerEntry-1,
		p.adviceAddress, p.storeAddress, p.cloudAddress)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	e.log, err = os.OpenFile(filepath.Join(p.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return e, err
}

// start starts the process of an entry instance.
func (p *platform) start(e *entry) error {
	c := exec.Command(p.program, "entry")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.dir, "POLLENLEAD_BOOT=" + e.settings}
	c.Stdout, c.Stderr = e.log, e.log
	if err := c.Start(); err != nil {
		return err
	}
	e.process, e.ended = c, make(chan struct{})
	ended := e.ended
	go func() {
		_ = c.Wait() // a process that was killed ends with an error
		close(ended)
	}()
	p.record.note("%s starts", e.name)
	return nil
}

// signal sends a signal to the process of an entry instance.
func (p *platform) signal(e *entry, s syscall.Signal) {
	p.record.note("%s gets %v", e.name, s)
	_ = e.process.Process.Signal(s) // an error means that it has ended
}

// kill ends the process of an entry instance at once and waits for its end.
func (p *platform) kill(e *entry) {
	p.signal(e, syscall.SIGKILL)
	<-e.ended
}

// startEntries starts n entry instances and waits until all are ready.
func (p *platform) startEntries(ctx context.Context, n int) error {
	zones := []string{"regina", "saskatoon", "brandon"}
	for i := range n {
		e, err := p.newEntry(fmt.Sprintf("edge-%d", i+1), zones[i%len(zones)])
		if err != nil {
			return err
		}
		p.entries = append(p.entries, e)
		if err := p.start(e); err != nil {
			return err
		}
	}
	for _, e := range p.entries {
		if err := e.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// readyLimit is the time in which an entry instance has to become ready.
const readyLimit = 15 * time.Second

func (e *entry) awaitReady(ctx context.Context) error {
	for until := time.Now().Add(readyLimit); time.Now().Before(until) && ctx.Err() == nil; {
		r, err := http.Get("http://" + e.ready + "/readyz")
		if err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", e.name)
}

const (
	firstPort, lastPort = 20_000, 32_000
	portAttempts        = 400
)

// nextPort is where the search for free ports goes on.
var nextPort = firstPort + int(time.Now().UnixNano()/1000)%(lastPort-firstPort-portsPerEntry)

// freePorts returns the first of n consecutive free ports.
func freePorts(n int) (int, error) {
	for range portAttempts {
		first := nextPort
		if nextPort += n; nextPort+n > lastPort {
			nextPort = firstPort
		}
		if portsFree(first, n) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d consecutive free ports", n)
}

func portsFree(first, n int) bool {
	for port := first; port < first+n; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// host is the HTTP host of all queues.
const host = "pule25.example"

// clientTimeout is the time for which a client waits for a response.
const clientTimeout = 3 * time.Second

// response is what a client got. Status 0 means that there was no response.
type response struct {
	status int
	body   string
}

// call sends a client's request to an entry instance.
func (p *platform) call(ctx context.Context, e *entry, method, path, key, body string) response {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+path, strings.NewReader(body))
	if err != nil {
		return response{}
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	sent := time.Since(p.record.started)
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		p.record.note("client: %s %s at %s (sent at %.3f): no response", method, path, e.name, sent.Seconds())
		return response{}
	}
	defer func() { _ = res.Body.Close() }()
	text, _ := io.ReadAll(res.Body)
	p.record.note("client: %s %s at %s (sent at %.3f): %d %s", method, path, e.name, sent.Seconds(), res.StatusCode, text)
	return response{res.StatusCode, string(text)}
}

// leader returns the entry instance that leads, found by its metrics, or nil.
func (p *platform) leader() *entry {
	newest, found := "", (*entry)(nil)
	value := p.store.Newest("keyed."+leaderTopic, "leader")
	newest = string(value)
	for _, e := range p.entries {
		if strings.Contains(newest, `"holder":"`+e.name+"/") {
			found = e
		}
	}
	return found
}
