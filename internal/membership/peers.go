package membership

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"pollenlead/internal/platform"
	"pollenlead/internal/statemachine"
)

const (
	// heartbeatInterval and heartbeatFanout ensure that each of 9 instances receives an answer of every other one at least
	// every 3 s, which is within the 4 s of the contact rule. The number of messages that an instance sends does not grow
	// with the number of instances.
	heartbeatInterval = time.Second
	heartbeatFanout   = 3
	// heartbeatTimeout limits one heartbeat including the dial. The answer of a slower peer is not used.
	heartbeatTimeout = time.Second
	// loadCheckInterval is the interval between checks for a significant change of the load.
	loadCheckInterval = 200 * time.Millisecond
	// maxRelayPeers is the maximum number of peers that one read or append tries within the caller's timeout.
	maxRelayPeers = 3
	// relayDialTimeout limits the dial of a relayed call, so that an unreachable peer leaves time to try another one.
	relayDialTimeout = 500 * time.Millisecond
)

// peerConn is a connection to a peer that is dialed on demand.
type peerConn struct {
	mu  sync.Mutex // guards rpc; held while dialing
	rpc *jsonrpc2.Conn
}

// peer is another entry instance. Each kind of call has its own connection, because the peer handles the requests of a
// connection sequentially and a read may wait for a second.
type peer struct {
	name     string
	address  string
	nextCall chan string // the next method to call: heartbeat or load_report
	stop     context.CancelFunc

	heartbeats, reads, appends peerConn
}

// runPeers updates the set of peers and schedules the heartbeats and load reports.
func (m *Member) runPeers(ctx context.Context, running *sync.WaitGroup) {
	ticker := time.NewTicker(loadCheckInterval)
	defer ticker.Stop()
	round := 0
	var lastHeartbeat time.Time
	var lastLoad Load
	reported := false // whether a load report was sent since the last heartbeat; at most one is sent
	for ctx.Err() == nil {
		load := m.opts.Load()
		switch now := time.Now(); {
		case now.Sub(lastHeartbeat) >= heartbeatInterval:
			m.updatePeers(ctx, running)
			m.scheduleCalls(round, methodHeartbeat)
			lastHeartbeat, lastLoad, reported = now, load, false
			round++
		case !reported && loadChangedSignificantly(lastLoad, load):
			m.scheduleCalls(round, methodLoadReport)
			lastLoad, reported = load, true
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// peerAddresses returns the addresses of the other entry instances, by name. The address of a session takes precedence
// over the list, because the list lags.
func (m *Member) peerAddresses() map[string]string {
	var sessions []statemachine.Session
	m.opts.Follower.View(func(s *statemachine.State) { sessions = s.Sessions() })
	slices.SortFunc(sessions, func(a, b statemachine.Session) int { return cmp.Compare(a.OpenedAt, b.OpenedAt) })
	m.mu.Lock()
	defer m.mu.Unlock()
	addresses := map[string]string{}
	for name, address := range m.list.entries {
		addresses[name] = address
	}
	for _, session := range sessions {
		if !m.list.gone(session.Name) {
			addresses[session.Name] = session.PeerAddress
		}
	}
	delete(addresses, m.opts.Name)
	return addresses
}

// updatePeers starts a goroutine for each new peer and stops those of peers that are gone or whose address has changed.
// It also removes expired entries.
func (m *Member) updatePeers(ctx context.Context, running *sync.WaitGroup) {
	addresses := m.peerAddresses()
	now := m.opts.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	dropExpired(m.view, now, entryRetention)
	dropExpired(m.loads, now, entryRetention)
	for name, p := range m.peers {
		if addresses[name] != p.address {
			p.stop()
			delete(m.peers, name)
		}
	}
	for name, address := range addresses {
		if m.peers[name] != nil || address == "" {
			continue
		}
		p := &peer{name: name, address: address, nextCall: make(chan string, 1)}
		peerCtx, stop := context.WithCancel(ctx)
		p.stop = stop
		m.peers[name] = p
		running.Go(func() { m.runPeer(peerCtx, p) })
	}
}

// scheduleCalls schedules a call of method to the next peers in rotation. A peer with a scheduled call that has not
// started is skipped.
func (m *Member) scheduleCalls(round int, method string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range rotation(sortedNames(m.peers), round, heartbeatFanout) {
		select {
		case m.peers[name].nextCall <- method:
		default:
		}
	}
}

// rotation returns up to fanout names, so that consecutive rounds select all names equally often.
func rotation(names []string, round, fanout int) []string {
	n := min(fanout, len(names))
	chosen := make([]string, 0, n)
	for i := range n {
		chosen = append(chosen, names[(round*n+i)%len(names)])
	}
	return chosen
}

func sortedNames(peers map[string]*peer) []string {
	names := make([]string, 0, len(peers))
	for name := range peers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// runPeer makes the calls to one peer sequentially.
func (m *Member) runPeer(ctx context.Context, p *peer) {
	defer p.close()
	for {
		var method string
		select {
		case method = <-p.nextCall:
		case <-ctx.Done():
			return
		}
		var err error
		if method == methodHeartbeat {
			err = m.sendHeartbeat(ctx, p)
		} else {
			err = m.call(ctx, p, &p.heartbeats, heartbeatTimeout, method, loadReportParams{Entry: m.ownEntry()}, &struct{}{})
		}
		m.count(func(s *Stats) {
			s.HeartbeatsSent++
			if err != nil {
				s.HeartbeatsFailed++
			}
		})
	}
}

// sendHeartbeat sends the entry of this process and receives the digest of the peer. The peer creates the answer after
// the call was sent, which bounds the ages of its entries. The peer has no such bound for the request, so the request
// contains no other entries.
func (m *Member) sendHeartbeat(ctx context.Context, p *peer) error {
	sent := m.opts.Clock()
	var answer heartbeatMessage
	request := heartbeatMessage{Digest: []Entry{m.ownEntry()}}
	if err := m.call(ctx, p, &p.heartbeats, heartbeatTimeout, methodHeartbeat, request, &answer); err != nil {
		return err
	}
	if err := validateDigest(answer.Digest); err != nil {
		m.countBadMessage()
		return fmt.Errorf("heartbeat to %s: %w", p.name, err)
	}
	m.mergeReceived(answer.Digest, sent)
	return nil
}

// call makes one call over the connection. It closes the connection after any error other than a JSON-RPC error answer.
func (m *Member) call(
	ctx context.Context, p *peer, c *peerConn, timeout time.Duration, method string, params, result any,
) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	rpc, err := m.connect(ctx, p, c)
	if err != nil {
		return fmt.Errorf("%s to %s: %w: %w", method, p.name, platform.ErrNoEffect, err)
	}
	err = rpc.Call(ctx, method, params, result)
	if answer := (*jsonrpc2.Error)(nil); err != nil && !errors.As(err, &answer) {
		c.drop(rpc)
	}
	if err != nil {
		return fmt.Errorf("%s to %s: %w", method, p.name, err)
	}
	return nil
}

// connect returns the open connection or dials a new one.
func (m *Member) connect(ctx context.Context, p *peer, c *peerConn) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rpc != nil {
		select {
		case <-c.rpc.DisconnectNotify():
		default:
			return c.rpc, nil
		}
	}
	dialCtx, cancel := context.WithTimeout(ctx, relayDialTimeout)
	defer cancel()
	conn, err := m.dial(dialCtx, p.address)
	if err != nil {
		return nil, err
	}
	// The connection outlives the call, so it does not use the context of the call.
	c.rpc = jsonrpc2.NewConn(context.Background(), newLineStream(conn, m.countBadMessage),
		jsonrpc2.HandlerWithError(rejectRequest), jsonrpc2.SetLogger(discardLogger{}))
	return c.rpc, nil
}

// dial opens a connection to address, with TLS if it is configured.
func (m *Member) dial(ctx context.Context, address string) (net.Conn, error) {
	plain, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := m.opts.Traffic.Conn(plain)
	if m.opts.TLS == nil {
		return conn, nil
	}
	config := m.opts.TLS
	if config.ServerName == "" {
		config = config.Clone()
		config.ServerName, _, _ = net.SplitHostPort(address)
	}
	encrypted := tls.Client(conn, config)
	if err := encrypted.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return encrypted, nil
}

// rejectRequest rejects requests on outgoing connections, over which only the peer serves requests.
func rejectRequest(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side does not serve"}
}

// drop closes rpc, so that the next call dials a new connection.
func (c *peerConn) drop(rpc *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = rpc.Close()
	if c.rpc == rpc {
		c.rpc = nil
	}
}

// close closes all connections to the peer.
func (p *peer) close() {
	for _, c := range []*peerConn{&p.heartbeats, &p.reads, &p.appends} {
		c.mu.Lock()
		if c.rpc != nil {
			_ = c.rpc.Close()
			c.rpc = nil
		}
		c.mu.Unlock()
	}
}

// relay reads and appends to the log through peers, for an instance that has lost its own connection to the log.
type relay struct{ m *Member }

// Read implements replica.Source.
func (r relay) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (platform.Batch, error) {
	params := readLogParams{From: from, Limit: limit, WaitMillis: wait.Milliseconds()}
	var result readLogResult
	err := r.tryPeers(ctx, func(p *peer, timeout time.Duration) error {
		result = readLogResult{}
		return r.m.call(ctx, p, &p.reads, wait+timeout, methodReadLog, params, &result)
	})
	batch := platform.Batch{First: result.First, Next: result.Next}
	for _, entry := range result.Entries {
		batch.Entries = append(batch.Entries, platform.Entry(entry))
	}
	return batch, err
}

// Append implements replica.Appender.
func (r relay) Append(ctx context.Context, data []byte) (uint64, error) {
	var result appendResult
	err := r.tryPeers(ctx, func(p *peer, timeout time.Duration) error {
		return r.m.call(ctx, p, &p.appends, timeout, methodAppendRecord, appendRecordParams{Data: data}, &result)
	})
	return result.Offset, err
}

// tryPeers calls peers in turn until one answers, beginning with those of the newest log contact.
func (r relay) tryPeers(ctx context.Context, call func(p *peer, timeout time.Duration) error) error {
	peers := r.m.relayPeers()
	if len(peers) == 0 {
		return fmt.Errorf("relay: %w: no peers", platform.ErrNoEffect)
	}
	errs := []error{}
	sent := false
	for _, p := range peers {
		err := platformError(call(p, relayDialTimeout*2))
		if trimmed := (*platform.TrimmedError)(nil); err == nil || errors.As(err, &trimmed) {
			return err
		}
		sent = sent || !errors.Is(err, platform.ErrNoEffect)
		errs = append(errs, err)
		if ctx.Err() != nil {
			break
		}
	}
	if sent {
		return fmt.Errorf("relay: %w: %s", platform.ErrOutcomeUnknown, errors.Join(errs...))
	}
	return fmt.Errorf("relay: %w", errors.Join(errs...))
}

// relayPeers returns the peers to try, ordered by their last known log contact, the newest first.
func (m *Member) relayPeers() []*peer {
	now := m.opts.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	ages := map[string]time.Duration{}
	for _, h := range m.view {
		if h.entry.LogAgeMillis == noLogContact {
			continue
		}
		age := now.Sub(h.madeAt) + time.Duration(h.entry.LogAgeMillis)*time.Millisecond
		if known, ok := ages[h.entry.Name]; !ok || age < known {
			ages[h.entry.Name] = age
		}
	}
	var peers []*peer
	for _, name := range sortedNames(m.peers) {
		peers = append(peers, m.peers[name])
	}
	slices.SortStableFunc(peers, func(a, b *peer) int {
		return cmp.Compare(relayAge(ages, a.name), relayAge(ages, b.name))
	})
	return peers[:min(len(peers), maxRelayPeers)]
}

// relayAge returns the age of the last known log contact of a peer, or entryRetention if none is known.
func relayAge(ages map[string]time.Duration, name string) time.Duration {
	if age, ok := ages[name]; ok {
		return age
	}
	return entryRetention
}
