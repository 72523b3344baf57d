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
	mu       sync.Mutex
	data     [][]byte
	appended chan struct{}
}

func (l *fakeLog) Append(_ context.Context, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.data = append(l.data, data)
	close(l.appended)
	l.appended = make(chan struct{})
	return uint64(len(l.data) - 1), nil
}

func (l *fakeLog) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (platform.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		l.mu.Lock()
		b, appended := platform.Batch{Next: uint64(len(l.data))}, l.appended
		for at := from; at < b.Next && len(b.Entries) < limit; at++ {
			b.Entries = append(b.Entries, platform.Entry{Offset: at, Data: l.data[at]})
		}
		l.mu.Unlock()
		if len(b.Entries) > 0 || ctx.Err() != nil {
			return b, nil
		}
		select {
		case <-appended:
		case <-ctx.Done():
		}
	}
}

// severableLog is the connection of one instance to the log, which a test can sever.
type severableLog struct {
	platform.Log
	mu      sync.Mutex
	severed bool
}

func (a *severableLog) setSevered(severed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.severed = severed
}

func (a *severableLog) err() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.severed {
		return fmt.Errorf("log connection severed: %w", platform.ErrNoEffect)
	}
	return nil
}

func (a *severableLog) Append(ctx context.Context, data []byte) (uint64, error) {
	if err := a.err(); err != nil {
		return 0, err
	}
	return a.Log.Append(ctx, data)
}

func (a *severableLog) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (platform.Batch, error) {
	if err := a.err(); err != nil {
		return platform.Batch{}, err
	}
	return a.Log.Read(ctx, from, limit, wait)
}

type fakeList struct{ listing platform.Listing }

func (l fakeList) List(context.Context) (platform.Listing, error) { return l.listing, nil }

// instance is a running member with its replica of the state.
type instance struct {
	*Member
	access    *severableLog
	follower  *replica.Follower
	committer *replica.Committer
	address   string
	stop      func()
}

func startInstance(t *testing.T, log platform.Log, name string, load Load, config ...*tls.Config) *instance {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	i := &instance{access: &severableLog{Log: log}, address: listener.Addr().String()}
	i.follower = replica.NewFollower(i.access, replica.FollowerOptions{})
	identity := replica.Identity{Writer: name, Incarnation: name + "-1"}
	i.committer = replica.NewCommitter(i.access, i.follower, identity, replica.CommitterOptions{})
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

func newFakeLog() *fakeLog { return &fakeLog{appended: make(chan struct{})} }

// eventually waits for a condition. If it never holds, the timeout of the test binary ends the wait.
func eventually(condition func() bool) {
	for !condition() {
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against members that do not exchange their entries, and against a member without a connection to the log that
// cannot relay through its peers.
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
	eventually(func() bool { return len(a.contactView(time.Now()).entries) == 1 })

	b.access.setSevered(true)
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

	// The log is down for all once each of the two has received that the other one has no contact.
	end := a.Lease().End()
	a.access.setSevered(true)
	eventually(func() bool {
		ok, reason := a.TakesKeyedWork()
		return ok && reason == ReasonLogDownForAll
	})
	eventually(func() bool { return a.Lease().End().After(end.Add(renewInterval)) })
	// Without entries of its peer, the instance cannot rule out that a key was withdrawn.
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

// Guards against a revocation that takes effect although the session was renewed after the revoker read it, against a
// holder that continues its session after a revocation, and against a graceful stop that leaves the session open.
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

// Guards against invalid messages of a peer that crash the process, or that are not answered with an error.
func TestBadPeerMessages(t *testing.T) {
	is := is.New(t)
	a := startInstance(t, newFakeLog(), "a", Load{})
	for i, message := range []string{
		`not json`,
		`{"jsonrpc":"2.0","id":1,"method":"unknown"}`,
		`{"jsonrpc":"2.0","id":1,"method":"heartbeat"}`,
		`{"jsonrpc":"2.0","id":1,"method":"heartbeat","params":{"digest":[` +
			`{"name":"x","incarnation":"x","holders":["x"],"age_ms":-1}]}}`,
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

// Guards against load reports that are not processed, and against reports for insignificant changes.
func TestLoadReport(t *testing.T) {
	is := is.New(t)
	a := startInstance(t, newFakeLog(), "a", Load{})
	conn, err := net.Dial("tcp", a.address)
	is.NoErr(err)
	_, err = fmt.Fprintln(conn, `{"jsonrpc":"2.0","id":1,"method":"load_report","params":{"entry":`+
		`{"name":"x","incarnation":"x","counter":1,"holders":["x"],"load":{"running":{"p":{"t":2}}}}}}`)
	is.NoErr(err)
	eventually(func() bool { return a.PeerUsage()["x"].Team["t"] == 2 })
	is.True(!differsSignificantly(1, 8) && !differsSignificantly(100, 80))
	is.True(differsSignificantly(0, 8) && differsSignificantly(100, 75))
	is.NoErr(conn.Close())
}

// Guards against peer connections without mutual TLS although it is configured, and against TLS settings with which
// peers cannot connect.
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
		_, err = conn.Read(make([]byte, 1)) // with TLS 1.3 the client receives the rejection at its first read
	}
	is.True(err != nil)
}

// Guards against an error of a call to a peer that is wrongly taken as proof that an append had no effect.
func TestPlatformErrors(t *testing.T) {
	is := is.New(t)
	is.True(errors.Is(platformError(wireError(platform.ErrNoEffect)), platform.ErrNoEffect))
	is.True(errors.Is(platformError(wireError(platform.ErrOutcomeUnknown)), platform.ErrOutcomeUnknown))
	is.True(errors.Is(platformError(context.DeadlineExceeded), platform.ErrOutcomeUnknown))
	var trimmed *platform.TrimmedError
	is.True(errors.As(platformError(wireError(&platform.TrimmedError{First: 7})), &trimmed))
	is.Equal(trimmed.First, uint64(7))
}
