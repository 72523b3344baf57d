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
	// heartbeatInterval and heartbeatFanout make each of 9 instances hear each other one at least every 3 s, within the
	// 4 s of the contact rule, at a number of messages that does not grow with the instances.
	heartbeatInterval = time.Second
	heartbeatFanout   = 3
	// heartbeatTimeout bounds one heartbeat with its dial; a peer that is slower does not count as heard.
	heartbeatTimeout = time.Second
	// loadCheckInterval is the time between checks whether the load changed much.
	loadCheckInterval = 200 * time.Millisecond
	// maxRelayPeers bounds the peers that one read or append tries, within the time that the caller allows.
	maxRelayPeers = 3
	// relayDialTimeout bounds the dial of a relay, so that a dead peer leaves time for another one.
	relayDialTimeout = 500 * time.Millisecond
)

// link is one connection to a peer, dialed when it is needed.
type link struct {
	mu  sync.Mutex // guards rpc; held while dialing
	rpc *jsonrpc2.Conn
}

// peer is another entry instance. Each kind of call has its own connection, because the other side handles the requests of
// a connection one after another and a read may wait for a second.
type peer struct {
	name    string
	address string
	beat    chan string // the method to call next: heartbeat or load_report
	stop    context.CancelFunc

	heartbeats, reads, appends link
}

// runPeers keeps the set of peers and chooses which of them get a heartbeat.
func (m *Member) runPeers(ctx context.Context, running *sync.WaitGroup) {
	ticker := time.NewTicker(loadCheckInterval)
	defer ticker.Stop()
	round := 0
	var lastBeat time.Time
	var lastLoad Load
	reported := false // at most one load report between two heartbeats
	for ctx.Err() == nil {
		load := m.opts.Load()
		switch now := time.Now(); {
		case now.Sub(lastBeat) >= heartbeatInterval:
			m.updatePeers(ctx, running)
			m.beat(round, methodHeartbeat)
			lastBeat, lastLoad, reported = now, load, false
			round++
		case !reported && changedMuch(lastLoad, load):
			m.beat(round, methodLoadReport)
			lastLoad, reported = load, true
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// peerAddresses returns the addresses of the other entry instances, by name. Sessions are newer than the list, which lags.
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

// updatePeers starts a goroutine for each new peer and ends those of peers that are gone or moved. It drops what was heard
// too long ago.
func (m *Member) updatePeers(ctx context.Context, running *sync.WaitGroup) {
	addresses := m.peerAddresses()
	now := m.opts.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	forget(m.view, now, viewKeep)
	forget(m.loads, now, viewKeep)
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
		p := &peer{name: name, address: address, beat: make(chan string, 1)}
		peerCtx, stop := context.WithCancel(ctx)
		p.stop = stop
		m.peers[name] = p
		running.Go(func() { m.runPeer(peerCtx, p) })
	}
}

// beat asks the next peers in rotation to be called. A peer that is still busy with its last call is left out.
func (m *Member) beat(round int, method string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range rotation(sortedNames(m.peers), round, heartbeatFanout) {
		select {
		case m.peers[name].beat <- method:
		default:
		}
	}
}

// rotation returns up to fanout names, so that consecutive rounds go through all names evenly.
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

// runPeer makes the calls to one peer one after another.
func (m *Member) runPeer(ctx context.Context, p *peer) {
	defer p.close()
	for {
		var method string
		select {
		case method = <-p.beat:
		case <-ctx.Done():
			return
		}
		var err error
		if method == methodHeartbeat {
			err = m.sendHeartbeat(ctx, p)
		} else {
			err = m.call(ctx, p, &p.heartbeats, heartbeatTimeout, method, loadReport{Entry: m.ownEntry()}, &struct{}{})
		}
		m.count(func(s *Stats) {
			s.HeartbeatsSent++
			if err != nil {
				s.HeartbeatsFailed++
			}
		})
	}
}

// sendHeartbeat sends the own entry for the digest of the peer. The answer was made after the call was sent, which bounds
// the ages of its entries. The peer knows no such bound for the request, so other entries in it would serve no rule.
func (m *Member) sendHeartbeat(ctx context.Context, p *peer) error {
	sent := m.opts.Clock()
	var answer heartbeat
	if err := m.call(ctx, p, &p.heartbeats, heartbeatTimeout, methodHeartbeat, heartbeat{Digest: []Entry{m.ownEntry()}}, &answer); err != nil {
		return err
	}
	if err := checkDigest(answer.Digest); err != nil {
		m.countBad()
		return fmt.Errorf("heartbeat to %s: %w", p.name, err)
	}
	m.learn(answer.Digest, sent)
	return nil
}

// call makes one call over the link, and closes the link after any error other than an answer.
func (m *Member) call(ctx context.Context, p *peer, l *link, timeout time.Duration, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	rpc, err := m.connect(ctx, p, l)
	if err != nil {
		return fmt.Errorf("%s to %s: %w: %w", method, p.name, platform.ErrNoEffect, err)
	}
	err = rpc.Call(ctx, method, params, result)
	if answer := (*jsonrpc2.Error)(nil); err != nil && !errors.As(err, &answer) {
		l.drop(rpc)
	}
	if err != nil {
		return fmt.Errorf("%s to %s: %w", method, p.name, err)
	}
	return nil
}

func (m *Member) connect(ctx context.Context, p *peer, l *link) (*jsonrpc2.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rpc != nil {
		select {
		case <-l.rpc.DisconnectNotify():
		default:
			return l.rpc, nil
		}
	}
	dialCtx, cancel := context.WithTimeout(ctx, relayDialTimeout)
	defer cancel()
	conn, err := m.dial(dialCtx, p.address)
	if err != nil {
		return nil, err
	}
	// The connection outlives the call; it ends with the link.
	l.rpc = jsonrpc2.NewConn(context.Background(), newLineStream(conn, m.countBad), jsonrpc2.HandlerWithError(refuse), jsonrpc2.SetLogger(noLogger{}))
	return l.rpc, nil
}

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

// refuse answers requests over a connection on which only the other side serves.
func refuse(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side does not serve"}
}

func (l *link) drop(rpc *jsonrpc2.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = rpc.Close()
	if l.rpc == rpc {
		l.rpc = nil
	}
}

func (p *peer) close() {
	for _, l := range []*link{&p.heartbeats, &p.reads, &p.appends} {
		l.mu.Lock()
		if l.rpc != nil {
			_ = l.rpc.Close()
			l.rpc = nil
		}
		l.mu.Unlock()
	}
}

// relay reads and appends through peers, for an instance that is cut off from the log alone.
type relay struct{ m *Member }

// Read implements replica.Source.
func (r relay) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (platform.Batch, error) {
	params := readLog{From: from, Limit: limit, WaitMillis: wait.Milliseconds()}
	var result readLogResult
	err := r.try(ctx, func(p *peer, timeout time.Duration) error {
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
	err := r.try(ctx, func(p *peer, timeout time.Duration) error {
		return r.m.call(ctx, p, &p.appends, timeout, methodAppendRecord, appendRecord{Data: data}, &result)
	})
	return result.Offset, err
}

// try asks peers in turn until one answers, those with the newest log contact first.
func (r relay) try(ctx context.Context, call func(p *peer, timeout time.Duration) error) error {
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

// relayPeers returns the peers to ask, those with the newest known log contact first.
func (m *Member) relayPeers() []*peer {
	now := m.opts.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	ages := map[string]time.Duration{}
	for _, h := range m.view {
		if h.entry.LogAgeMillis == noLogContact {
			continue
		}
		age := now.Sub(h.made) + time.Duration(h.entry.LogAgeMillis)*time.Millisecond
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

func relayAge(ages map[string]time.Duration, name string) time.Duration {
	if age, ok := ages[name]; ok {
		return age
	}
	return viewKeep
}
