package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"pollenlead/internal/config"
	"pollenlead/internal/settings"
	"pollenlead/standin"
)

// fixture is one entry instance with stand-ins of the platform in the same process. Team "t" may call service "s".
type fixture struct {
	*Instance
	key      string
	observer *standin.Observer
	workers  []*standin.Worker
	servers  []*standin.Server
	client   *http.Client
}

// startFixture starts an entry instance and the given number of workers with slots each, and waits until it is ready.
func startFixture(t testing.TB, workers, slots, upperLimit, timeoutSeconds int) *fixture {
	t.Helper()
	check := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 1000}
	t.Cleanup(transport.CloseIdleConnections)
	f := &fixture{observer: standin.NewObserver(), client: &http.Client{Transport: transport}}
	list := standin.NewList()
	for n := range workers {
		w := standin.NewWorker(standin.WorkerConfig{
			ID: fmt.Sprintf("w-%d", n), Slots: slots, Connections: 8 * slots, Observer: f.observer,
		})
		server, err := w.Start()
		check(err)
		t.Cleanup(func() { _ = server.Close() })
		f.workers, f.servers = append(f.workers, w), append(f.servers, server)
		list.Set(standin.Instance{
			ID: fmt.Sprintf("w-%d", n), Kind: "worker", Address: server.Address, Region: "r", AvailabilityZone: "z",
			Phase: "live", Slots: slots, Connections: 8 * slots,
		})
	}
	listServer, err := standin.Start(list)
	check(err)
	t.Cleanup(func() { _ = listServer.Close() })
	logServer, err := standin.Start(standin.NewLog())
	check(err)
	t.Cleanup(func() { _ = logServer.Close() })

	teamKey, key, err := config.NewKey("t")
	check(err)
	f.key = teamKey
	operatorKey, operator, err := config.NewKey("o")
	check(err)
	s := settings.Defaults()
	s.Name, s.Region, s.AvailabilityZone = "entry-1", "r", "z"
	local := settings.Address{AddrPort: netip.MustParseAddrPort("127.0.0.1:0")}
	s.Listen = settings.Listen{Callers: local, Peers: local, Operators: local}
	s.BootstrapOperator = &settings.BootstrapOperator{Name: "o", SHA256: operator.SHA256}
	check(s.Platform.LogURL.UnmarshalText([]byte(logServer.URL)))
	check(s.Platform.ListURL.UnmarshalText([]byte(listServer.URL)))
	f.Instance, err = New(s, zerolog.Nop())
	check(err)
	done := make(chan error, 1)
	go func() { done <- f.Run(context.Background()) }()
	t.Cleanup(func() { f.Kill(); <-done })

	document := fmt.Sprintf(`
schema: 1
limits: {header_bytes: 16384, body_bytes: 1048576, job_body_bytes: 4096, queue_length: 2000,
  queue_seconds: 30, job_result_seconds: 60}
pools: [{name: p, members: [w-], availability_budget: {min_available_percent: 0}}, {name: spare, spare: true}]
services: [{name: s, pool: p, timeout_seconds: %d}]
teams: [{name: t, share: 1, upper_limit: %d, keys: [{id: t, sha256: "%s"}]}]
operators: [{name: o, role: publish, key: {id: o, sha256: "%s"}}]
`, timeoutSeconds, upperLimit, key.SHA256, operator.SHA256)
	f.waitFor(func() bool { return f.publish(t, operatorKey, document) })
	f.waitFor(func() bool {
		ready, _ := f.ready()
		return ready && f.ledger.HasTeamUnit("t") && len(f.ledger.Candidates("p")) == workers
	})
	return f
}

// waitFor polls until the condition holds. Only the deadline of the test run bounds it.
func (f *fixture) waitFor(condition func() bool) {
	for !condition() {
		time.Sleep(10 * time.Millisecond)
	}
}

func (f *fixture) publish(t testing.TB, operatorKey, document string) bool {
	r, err := http.NewRequest(http.MethodPut, f.OperatorsURL()+"/v1/config?expect=0", bytes.NewReader([]byte(document)))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+operatorKey)
	response, err := f.client.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	if response.StatusCode >= 400 && response.StatusCode < 500 {
		t.Fatalf("publish: %s: %s", response.Status, answer)
	}
	return response.StatusCode < 300
}

// call sends a request of team "t" that takes the given work time, and returns the status, or 0 without a response.
func (f *fixture) call(ctx context.Context, work time.Duration) int {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, f.CallersURL()+"/v1/services/s/requests/", nil)
	if err != nil {
		return 0
	}
	r.Header.Set("Authorization", "Bearer "+f.key)
	r.Header.Set("Team", "t")
	r.Header.Set("Work-Ms", fmt.Sprint(work.Milliseconds()))
	response, err := f.client.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}
