package membership

import (
	"bufio"
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"math/big"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/platform"
	"pollenlead/internal/record"
	"pollenlead/internal/replica"
	"pollenlead/internal/statemachine"
)

// fakeLog is an in-memory log.
type fakeLog struct {
	mu    sync.Mutex
	data  [][]byte
	grown chan struct{}
}

func (l *fakeLog) Append(_ context.Context, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.data = append(l.data, data)
	close(l.grown)
	l.grown = make(chan struct{})
	return uint64(len(l.data) - 1), nil
}

func (l *fakeLog) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (platform.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		l.mu.Lock()
		b, grown := platform.Batch{Next: uint64(len(l.data))}, l.grown
		for at := from; at < b.Next && len(b.Entries) < limit; at++ {
			b.Entries = append(b.Entries, platform.Entry{Offset: at, Data: l.data[at]})
		}
		l.mu.Unlock()
		if len(b.Entries) > 0 || ctx.Err() != nil {
			return b, nil
		}
		select {
		case <-grown:
		case <-ctx.Done():
		}
	}
}

// access is one instance's way to the log, which can be cut.
type access struct {
	platform.Log
	mu  sync.Mutex
	cut bool
}

func (a *access) setCut(cut bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cut = cut
}

func (a *access) err() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cut {
		return fmt.Errorf("cut off: %w", platform.ErrNoEffect)
	}
	return nil
}

func (a *access) Append(ctx context.Context, data []byte) (uint64, error) {
	if err := a.err(); err != nil {
		return 0, err
	}
	return a.Log.Append(ctx, data)
}

func (a *access) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (platform.Batch, error) {
	if err := a.err(); err != nil {
		return platform.Batch{}, err
	}
	return a.Log.Read(ctx, from, limit, wait)
}

type fakeList struct{ listing platform.Listing }

func (l fakeList) List(context.Context) (platform.Listing, error) { return l.listing, nil }

// instance is a running member with its replica.
type instance struct {
	*Member
	access    *access
	follower  *replica.Follower
	committer *replica.Committer
	address   string
	stop      func()
}

func startInstance(t *testing.T, log platform.Log, name string, load Load, config ...*tls.Config) *instance {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	i := &instance{access: &access{Log: log}, address: listener.Addr().String()}
	i.follower = replica.NewFollower(i.access, replica.FollowerOptions{})
	i.committer = replica.NewCommitter(i.access, i.follower, replica.Identity{Writer: name, Incarnation: name + "-1"}, replica.CommitterOptions{})
	i.Member, err = New(Options{
		Name: name, TLS: append(config, nil)[0], Session: record.SessionOpen{PeerAddress: i.address}, Log: i.access,
		List:     fakeList{platform.Listing{Version: 1, Workers: []record.Instance{{ID: "w", Phase: record.PhaseLeaving}}}},
		Follower: i.follower, Committer: i.committer, Listener: listener, Load: func() Load { return load },
	})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = i.follower.Run(ctx) })
	running.Go(func() { _ = i.committer.Run(ctx) })
	running.Go(func() { _ = i.Run(ctx) })
	i.stop = sync.OnceFunc(func() { cancel(); running.Wait() })
	t.Cleanup(i.stop)
	return i
}

func newFakeLog() *fakeLog { return &fakeLog{grown: make(chan struct{})} }

// eventually waits for a condition; the test binary's own timeout ends it if the condition never holds.
func eventually(condition func() bool) {
	for !condition() {
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against members that do not learn of each other, and against one cut off from the log that cannot use its peers.
func TestDigestsAndRelay(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	a := startInstance(t, log, "a", Load{Running: map[string]map[string]int{"p": {"t": 3}, "q": {"t": 1}}})
	b := startInstance(t, log, "b", Load{})
	eventually(func() bool { return a.Lease().Valid() && b.Lease().Valid() })
	eventually(func() bool { return b.PeerUsage()["a-1"].Team["t"] == 4 })
	is.Equal(b.PeerUsage()["a-1"].PoolTeam["p"]["t"], 3)
	eventually(func() bool { return b.Leaving("w") && !b.Leaving("other") })
	eventually(func() bool {
		_, reported := instanceOf(b.follower, "w")
		return reported
	})
	eventually(func() bool { return len(a.contactView(time.Now()).heard) == 1 })

	b.access.setCut(true)
	_, err := a.committer.Submit(t.Context(), record.Op{JobForget: &record.JobForget{}})
	is.NoErr(err)
	is.NoErr(b.follower.WaitFor(t.Context(), a.follower.Applied()))
	outcomes, err := b.committer.Submit(t.Context(), record.Op{SessionRenew: &record.SessionRenew{}})
	is.NoErr(err)
	is.True(outcomes[0].Accepted)
	is.True(a.Stats().RelayedReads > 0 && a.Stats().RelayedAppends > 0)
	ok, reason := b.TakesKeyedWork()
	is.True(ok)
	is.Equal(reason, ReasonLogContact)

	// The log is down for all once both know that neither has contact.
	end := a.Lease().End()
	a.access.setCut(true)
	eventually(func() bool {
		ok, reason := a.TakesKeyedWork()
		return ok && reason == ReasonLogDownForAll
	})
	eventually(func() bool { return a.Lease().End().After(end.Add(renewInterval)) })
	// Without peers nothing is known of withdrawn keys.
	b.stop()
	eventually(func() bool {
		ok, reason := a.TakesKeyedWork()
		return !ok && reason == ReasonNoContact
	})
}

func instanceOf(f *replica.Follower, id string) (i *statemachine.Instance, ok bool) {
	f.View(func(s *statemachine.State) { i, ok = s.Instance(id) })
	return i, ok
}

// Guards against a revocation that wins over a renewal it has not seen, against a holder that goes on after a revocation,
// and against a graceful stop that leaves its session open.
func TestRevocationAndReopen(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	a := startInstance(t, log, "a", Load{})
	b := startInstance(t, log, "b", Load{})
	eventually(func() bool { return a.Lease().Valid() && b.Lease().Valid() && b.sessionOpen("a-1") })
	var session statemachine.Session
	b.follower.View(func(s *statemachine.State) { session, _ = s.Session("a-1") })
	_, err := a.committer.Submit(t.Context(), record.Op{SessionRenew: &record.SessionRenew{}})
	is.NoErr(err)
	revoke := &record.SessionRevoke{Holder: "a-1", LastRenewal: session.LastRenewal}
	outcomes, err := b.committer.Submit(t.Context(), record.Op{SessionRevoke: revoke})
	is.NoErr(err)
	is.Equal(outcomes[0].Reason, statemachine.ReasonStaleRenewal)

	for !outcomes[0].Accepted {
		b.follower.View(func(s *statemachine.State) { session, _ = s.Session("a-1") })
		revoke.LastRenewal = session.LastRenewal
		outcomes, err = b.committer.Submit(t.Context(), record.Op{SessionRevoke: revoke})
		is.NoErr(err)
	}
	eventually(func() bool { return a.Lease().Valid() && a.Lease().Holder() != "a-1" })
	holder := a.Lease().Holder()
	is.NoErr(a.Close(t.Context()))
	is.True(!a.Lease().Valid())
	is.True(!a.sessionOpen(holder))
}

// Guards against a peer that stops the process, or is not told what was wrong, by sending what no correct peer sends.
func TestBadPeerMessages(t *testing.T) {
	is := is.New(t)
	a := startInstance(t, newFakeLog(), "a", Load{})
	for i, message := range []string{
		`not json`,
		`{"jsonrpc":"2.0","id":1,"method":"unknown"}`,
		`{"jsonrpc":"2.0","id":1,"method":"heartbeat"}`,
		`{"jsonrpc":"2.0","id":1,"method":"heartbeat","params":{"digest":[{"name":"x","incarnation":"x","holders":["x"],"age_ms":-1}]}}`,
		`{"jsonrpc":"2.0","id":1,"method":"heartbeat","params":{"digest":[{"name":"x"}]}}`,
		`{"jsonrpc":"2.0","id":1,"method":"load_report","params":{"entry":{}}}`,
		`{"jsonrpc":"2.0","id":1,"method":"read_log","params":{"from":0,"limit":-1}}`,
		`{"jsonrpc":"2.0","id":1,"method":"append_record","params":{"data":"eA=="}}`,
		strings.Repeat("x", maxMessageBytes+1),
	} {
		conn, err := net.Dial("tcp", a.address)
		is.NoErr(err)
		go func() { _, _ = fmt.Fprintln(conn, message) }()
		answer, err := bufio.NewReader(conn).ReadString('\n')
		is.NoErr(err)
		is.True(strings.Contains(answer, `"error"`))
		is.NoErr(conn.Close())
		is.Equal(a.Stats().BadMessages, uint64(i+1))
	}
}

// Guards against load reports that are lost or sent for every small change.
func TestLoadReport(t *testing.T) {
	is := is.New(t)
	a := startInstance(t, newFakeLog(), "a", Load{})
	conn, err := net.Dial("tcp", a.address)
	is.NoErr(err)
	_, err = fmt.Fprintln(conn, `{"jsonrpc":"2.0","id":1,"method":"load_report","params":{"entry":{"name":"x","incarnation":"x","counter":1,"holders":["x"],"load":{"running":{"p":{"t":2}}}}}}`)
	is.NoErr(err)
	eventually(func() bool { return a.PeerUsage()["x"].Team["t"] == 2 })
	is.True(!differsMuch(1, 8) && !differsMuch(100, 80))
	is.True(differsMuch(0, 8) && differsMuch(100, 75))
	is.NoErr(conn.Close())
}

// Guards against peers that talk without mutual TLS when it is set, and against TLS that keeps peers apart.
func TestMutualTLS(t *testing.T) {
	is := is.New(t)
	public, private, err := ed25519.GenerateKey(rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	is.NoErr(err)
	certificate, err := x509.ParseCertificate(der)
	is.NoErr(err)
	pool := x509.NewCertPool()
	pool.AddCert(certificate)
	config := &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: private}},
		RootCAs:      pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	}
	log := newFakeLog()
	a, b := startInstance(t, log, "a", Load{}, config), startInstance(t, log, "b", Load{}, config)
	eventually(func() bool { return a.Stats().HeartbeatsReceived > 0 && b.Stats().HeartbeatsReceived > 0 })
	conn, err := tls.Dial("tcp", a.address, &tls.Config{RootCAs: pool})
	if err == nil {
		_, err = conn.Read(make([]byte, 1)) // with TLS 1.3 the client learns of the refusal at its first read
	}
	is.True(err != nil)
}

// Guards against an error of a peer that is taken for proof that an append had no effect.
func TestPlatformErrors(t *testing.T) {
	is := is.New(t)
	is.True(errors.Is(platformError(wireError(platform.ErrNoEffect)), platform.ErrNoEffect))
	is.True(errors.Is(platformError(wireError(platform.ErrOutcomeUnknown)), platform.ErrOutcomeUnknown))
	is.True(errors.Is(platformError(context.DeadlineExceeded), platform.ErrOutcomeUnknown))
	var trimmed *platform.TrimmedError
	is.True(errors.As(platformError(wireError(&platform.TrimmedError{First: 7})), &trimmed))
	is.Equal(trimmed.First, uint64(7))
}
