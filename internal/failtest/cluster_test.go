package failtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.yaml.in/yaml/v3"

	"pollenlead/internal/config"
	"pollenlead/internal/entry"
	"pollenlead/internal/operator"
	"pollenlead/internal/record"
	"pollenlead/internal/settings"
	"pollenlead/standin"
)

// waitTimeout limits every wait for a condition. It is so long that a test fails by it only if the condition never
// holds, also on a slow machine.
const waitTimeout = 60 * time.Second

// lossyLog serves a log and drops the responses to selected appends, which take effect.
type lossyLog struct {
	inner *standin.Log

	mu      sync.Mutex
	pending map[record.Kind]int // responses that are still to be dropped, by kind of op
	lost    map[record.Kind]int // responses that were dropped, by kind of op
}

func (f *lossyLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/append" {
		f.inner.ServeHTTP(w, r)
		return
	}
	data, _ := io.ReadAll(r.Body)
	answer := httptest.NewRecorder()
	f.inner.ServeHTTP(answer, httptest.NewRequest(r.Method, r.URL.String(), bytes.NewReader(data)))
	status := answer.Code
	if status == http.StatusOK && f.takeLoss(data) {
		status = http.StatusGatewayTimeout
	}
	w.WriteHeader(status)
	if status == http.StatusOK {
		_, _ = w.Write(answer.Body.Bytes())
	}
}

// takeLoss reports whether the response to an append of data is to be dropped, and counts it as dropped.
func (f *lossyLog) takeLoss(data []byte) (dropped bool) {
	r, err := record.Decode(data)
	if err != nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, op := range r.Ops {
		if f.pending[op.Kind()] > 0 {
			f.pending[op.Kind()]--
			f.lost[op.Kind()]++
			dropped = true
		}
	}
	return dropped
}

// lostCount returns the number of dropped responses to appends of a kind.
func (f *lossyLog) lostCount(kind record.Kind) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost[kind]
}

// node is one entry instance with the proxy through which it connects to the log and the proxy through which its
// peers connect to it.
type node struct {
	name      string
	instance  *entry.Instance
	cancel    context.CancelFunc
	done      chan error // receives the result of Run
	ended     bool       // stopped or killed
	logProxy  *tcpProxy
	peerProxy *tcpProxy
}

type cluster struct {
	t        *testing.T
	lossyLog *lossyLog
	logURL   string
	log      *standin.Log
	list     *standin.List
	listURL  string
	observer *standin.Observer
	workers  []*standin.Worker
	servers  []*standin.Server
	nodes    []*node
	doc      *config.Document
	tokens   map[string]string // bearer tokens by key ID
	version  uint64
}

type clusterSpec struct {
	nodes, workers int
	limit          int                 // upper limit of team a; 0 means 20
	loseResponses  map[record.Kind]int // number of responses to drop, by kind of op
}

// newCluster starts entry instances and workers, publishes the configuration document, and waits until requests
// succeed.
func newCluster(t *testing.T, s clusterSpec) *cluster {
	t.Helper()
	c := &cluster{
		t: t, log: standin.NewLog(), list: standin.NewList(), observer: standin.NewObserver(),
		tokens: map[string]string{},
	}
	c.lossyLog = &lossyLog{inner: c.log, pending: s.loseResponses, lost: map[record.Kind]int{}}
	c.logURL, c.listURL = c.serve(c.lossyLog), c.serve(c.list)
	for n := range s.workers {
		c.addWorker(n)
	}
	c.doc = c.document(s.limit)
	for n := range s.nodes {
		c.start(fmt.Sprintf("entry-%d", n))
	}
	c.await("the first publish", func() bool { return c.publish(0, 0).Status == http.StatusOK })
	c.awaitServing()
	return c
}

func (c *cluster) serve(h http.Handler) string {
	server, err := standin.Start(h)
	c.must(err)
	c.t.Cleanup(func() { _ = server.Close() })
	return server.URL
}

func (c *cluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) addWorker(n int) {
	w := standin.NewWorker(standin.WorkerConfig{
		ID: fmt.Sprintf("w-%d", n), Slots: 4, Connections: 32, Observer: c.observer,
	})
	server, err := w.Start()
	c.must(err)
	c.t.Cleanup(func() { _ = server.Close() })
	c.workers, c.servers = append(c.workers, w), append(c.servers, server)
	c.listWorker(n, standin.PhaseLive)
}

func (c *cluster) listWorker(n int, phase string) {
	c.list.Set(standin.Instance{
		ID: fmt.Sprintf("w-%d", n), Kind: standin.KindWorker, Address: c.servers[n].Address, Region: "r",
		AvailabilityZone: fmt.Sprintf("zone-%d", n%2), Rack: "rack", Phase: phase,
		Slots: 4, Connections: 32, Cores: 8, MemoryBytes: 1 << 30,
	})
}

func (c *cluster) document(limit int) *config.Document {
	key := func(id string) config.Key {
		token, k, err := config.NewKey(id)
		c.must(err)
		c.tokens[id] = token
		return k
	}
	if limit == 0 {
		limit = 20
	}
	limits := config.DefaultLimits()
	limits.QueueSeconds = 30
	return &config.Document{
		Schema: config.DocumentSchema, Limits: limits, Maintenance: config.DefaultMaintenance(),
		Pools:    []config.Pool{{Name: "main", Members: []string{"w-"}}, {Name: "spare", Spare: true}},
		Services: []config.Service{{Name: "orders", Pool: "main", TimeoutSeconds: 40}},
		Teams: []config.Team{
			{Name: "a", Share: 1, UpperLimit: limit, Keys: []config.Key{key("a1"), key("a2")}},
			{Name: "b", Share: 1, UpperLimit: 20, Keys: []config.Key{key("b1")}},
		},
		Operators: []config.Operator{{Name: "op", Role: config.RolePublish, Key: key("o1")}},
	}
}

// start starts an entry instance under a name that no running instance has.
func (c *cluster) start(name string) *node {
	logProxy, err := newTCPProxy(strings.TrimPrefix(c.logURL, "http://"))
	c.must(err)
	peerProxy, err := newTCPProxy("")
	c.must(err)
	s := settings.Defaults()
	s.Name, s.Region, s.AvailabilityZone = name, "r", "zone-0"
	address := settings.Address{AddrPort: netip.MustParseAddrPort("127.0.0.1:0")}
	s.Listen = settings.Listen{Callers: address, Operators: address}
	s.Advertise.Peers = settings.Address{AddrPort: peerProxy.address()}
	s.Timeouts.ShutdownSeconds = 30
	s.BootstrapOperator = &settings.BootstrapOperator{Name: "op", SHA256: config.HashKey(c.tokens["o1"])}
	c.must(s.Platform.LogURL.UnmarshalText([]byte("http://" + logProxy.address().String())))
	c.must(s.Platform.ListURL.UnmarshalText([]byte(c.listURL)))
	instance := c.newInstance(s, peerProxy)
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{
		name: name, instance: instance, cancel: cancel, done: make(chan error, 1),
		logProxy: logProxy, peerProxy: peerProxy,
	}
	go func() { n.done <- instance.Run(ctx) }()
	c.nodes = append(c.nodes, n)
	c.list.Set(standin.Instance{
		ID: name, Kind: standin.KindEntry, Address: peerProxy.address().String(), Region: "r",
		AvailabilityZone: "zone-0", Phase: standin.PhaseLive,
	})
	c.t.Cleanup(func() { c.kill(n) })
	return n
}

// newInstance creates an instance and makes the proxy forward to its listener for peers. The port comes from a
// listener that is closed again, so another socket of the process may take it first; newInstance then tries another
// port.
func (c *cluster) newInstance(s settings.Settings, peerProxy *tcpProxy) (instance *entry.Instance) {
	c.t.Helper()
	var err error
	for range 20 {
		probe := httptest.NewServer(nil)
		port := probe.Listener.Addr().String()
		probe.Close()
		s.Listen.Peers = settings.Address{AddrPort: netip.MustParseAddrPort(port)}
		peerProxy.setTarget(port)
		if instance, err = entry.New(s, zerolog.Nop()); err == nil {
			return instance
		}
	}
	c.t.Fatal(err)
	return nil
}

// kill ends an instance without a shutdown, as a crash does.
func (c *cluster) kill(n *node) {
	if n.ended {
		return
	}
	n.ended = true
	n.instance.Kill()
	<-n.done
	c.removeNode(n)
}

// stop shuts an instance down gracefully.
func (c *cluster) stop(n *node) error {
	n.ended = true
	n.cancel()
	err := <-n.done
	c.removeNode(n)
	return err
}

// removeNode closes the proxies of a node that has ended and removes it from the cluster and the list.
func (c *cluster) removeNode(n *node) {
	n.cancel()
	n.logProxy.close()
	n.peerProxy.close()
	c.list.Remove(n.name)
	c.nodes = slices.DeleteFunc(slices.Clone(c.nodes), func(other *node) bool { return other == n })
}

// await polls until ok returns true. It fails the test after waitTimeout.
func (c *cluster) await(condition string, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("condition did not hold within %s: %s", waitTimeout, condition)
		}
	}
}

// awaitServing waits until a request of each team succeeds at every instance.
func (c *cluster) awaitServing() {
	c.t.Helper()
	for n, node := range c.nodes {
		c.await("a request at "+node.name, func() bool {
			return c.request(n, "a1", "", nil).Status == http.StatusOK && c.request(n, "b1", "", nil).Status == http.StatusOK
		})
	}
}

// reply is the response that a caller or operator received, or the error.
type reply struct {
	Status  int    `json:"-"`
	Reason  string `json:"reason"`
	Run     string `json:"run"`
	ID      string `json:"id"`
	State   string `json:"state"`
	Version uint64 `json:"version"`
	Body    string `json:"-"`
	Err     error  `json:"-"`
}

func (c *cluster) do(method, url, token string, header map[string]string, body []byte) reply {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return reply{Err: err}
	}
	req.GetBody = nil // prevents retries by the transport
	req.Header.Set("Authorization", "Bearer "+token)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return reply{Err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	r := reply{}
	_ = json.Unmarshal(data, &r)
	r.Status, r.Body, r.Err = resp.StatusCode, string(data), err
	return r
}

// request sends a synchronous request. The observer counts its executions under id; extra headers may set its duration.
func (c *cluster) request(n int, key, id string, extra map[string]string) reply {
	return c.requestTo(c.nodes[n], key, id, extra)
}

func (c *cluster) requestTo(n *node, key, id string, extra map[string]string) reply {
	header := map[string]string{"Caller-Request-Id": id, "Team": key[:1]}
	for name, value := range extra {
		header[name] = value
	}
	url := n.instance.CallersURL() + "/v1/services/orders/requests/x"
	return c.do(http.MethodPost, url, c.tokens[key], header, []byte("body"))
}

// sendConcurrently sends requests of team a at the same time and fails the test unless all succeed.
func (c *cluster) sendConcurrently(n, count int, workMS string) {
	var all sync.WaitGroup
	for range count {
		all.Go(func() {
			if r := c.request(n, "a1", "", map[string]string{"Work-Ms": workMS}); r.Status != http.StatusOK {
				c.t.Errorf("request at instance %d: %+v", n, r)
			}
		})
	}
	all.Wait()
}

// submit submits a job of team a.
func (c *cluster) submit(n int, id string, workMS int, header map[string]string) reply {
	body := fmt.Sprintf(`{"work_ms":%d,"caller_request_id":%q,"team":"a"}`, workMS, id)
	url := c.nodes[n].instance.CallersURL() + "/v1/services/orders/jobs"
	return c.do(http.MethodPost, url, c.tokens["a1"], header, []byte(body))
}

// job queries the state of a job of team a.
func (c *cluster) job(n int, id string) reply {
	return c.do(http.MethodGet, c.nodes[n].instance.CallersURL()+"/v1/jobs/"+id, c.tokens["a1"], nil, nil)
}

// awaitJob waits until a job is in one of the given states and returns its state.
func (c *cluster) awaitJob(n int, id string, states ...string) string {
	c.t.Helper()
	var last string
	c.await(fmt.Sprintf("job %s to be one of %v", id, states), func() bool {
		last = c.job(n, id).State
		return slices.Contains(states, last)
	})
	return last
}

// publish publishes c.doc, provided that the current version is expect.
func (c *cluster) publish(n int, expect uint64) reply {
	text, err := yaml.Marshal(c.doc)
	c.must(err)
	url := c.nodes[n].instance.OperatorsURL() + "/v1/config?expect=" + strconv.FormatUint(expect, 10)
	r := c.do(http.MethodPut, url, c.tokens["o1"], nil, text)
	if r.Status == http.StatusOK {
		c.version = r.Version
	}
	return r
}

func (c *cluster) status(n int) operator.StatusResponse {
	r := c.do(http.MethodGet, c.nodes[n].instance.OperatorsURL()+"/v1/status", c.tokens["o1"], nil, nil)
	var s operator.StatusResponse
	_ = json.Unmarshal([]byte(r.Body), &s)
	return s
}

// awaitSameState waits until all instances report the same state hash at the same offset. It fails the test if the
// hashes at one offset differ.
func (c *cluster) awaitSameState() {
	c.t.Helper()
	c.await("all instances at one offset", func() bool {
		first := c.status(0)
		for n := range c.nodes[1:] {
			s := c.status(n + 1)
			if s.Applied != first.Applied || s.Applied == 0 {
				return false
			}
			if s.StateHash != first.StateHash {
				c.t.Fatalf("at offset %d the state of %s differs from that of %s", s.Applied, s.Name, first.Name)
			}
		}
		return true
	})
}

// countOps counts the ops of a kind in the log. Copies of a record count once.
func (c *cluster) countOps(kind record.Kind) (n int) {
	seen := map[string]bool{}
	for _, entry := range c.log.Records() {
		r, err := record.Decode(entry.Data)
		if id := fmt.Sprint(r.Incarnation, r.Seq); err == nil && !seen[id] {
			seen[id] = true
			for _, op := range r.Ops {
				if op.Kind() == kind {
					n++
				}
			}
		}
	}
	return n
}

func (c *cluster) documentText() []byte {
	text, err := yaml.Marshal(c.doc)
	c.must(err)
	return text
}
