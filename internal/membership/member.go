// Package membership maintains the session of this entry instance, exchanges heartbeats with the other entry instances,
// and decides by the contact rule whether work with a key may be accepted.
package membership

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"pollenlead/internal/platform"
	"pollenlead/internal/platform/traffic"
	"pollenlead/internal/record"
	"pollenlead/internal/replica"
	"pollenlead/internal/statemachine"
)

// entryRetention is the time for which entries of other instances are retained and forwarded. It exceeds every age that
// a rule considers.
const entryRetention = 30 * time.Second

// maxLoadAge is the age up to which a peer's load counts for fair sharing. The rotation of heartbeats delivers the load
// of each peer every 3 s.
const maxLoadAge = 10 * time.Second

// Options configures a Member. Name, Session, Log, List, Follower, Committer and Listener are required.
type Options struct {
	// Name is the name of the entry instance in the platform's list.
	Name string
	// Session holds the addresses that the session publishes.
	Session   record.SessionOpen
	Log       platform.Log
	List      platform.FleetList
	Follower  *replica.Follower
	Committer *replica.Committer
	// Listener accepts the connections of peers.
	Listener net.Listener
	// TLS is the configuration for mutual TLS on peer connections. Nil means plain TCP.
	TLS *tls.Config
	// ListPollInterval is the interval between polls of the platform's list. The default is 1 s.
	ListPollInterval time.Duration
	// Traffic counts the bytes of peer connections in both directions, including the overhead of TLS. It may be nil.
	Traffic *traffic.Counter
	// Load returns the current load of this instance. It may be nil.
	Load func() Load
	// Clock returns the time with a monotonic reading. The default is time.Now.
	Clock func() time.Time
	// NewIncarnation returns a ULID. The default is ulid.Make.
	NewIncarnation func() string
}

// Stats holds the counters of a Member.
type Stats struct {
	SessionsOpened, SessionsLost             uint64
	RevocationsProposed, RevocationsAccepted uint64
	HeartbeatsSent, HeartbeatsFailed         uint64
	HeartbeatsReceived, LoadReportsReceived  uint64
	RelayedReads, RelayedAppends             uint64
	BadMessages                              uint64
	ListPollsFailed, ListReports             uint64
	ListGoneHeldBack                         uint64
}

// Member represents this entry instance in the group of entry instances.
type Member struct {
	opts        Options
	lease       *SessionLease
	incarnation string // identifies the process; it does not change with the session
	// leaving holds the leaving worker instances of the last list. It is an atomic pointer, because Leaving is called for
	// all candidates of each request and must not need a lock.
	leaving atomic.Pointer[map[string]bool]

	mu      sync.Mutex // guards the fields below
	holders []string   // the sessions of this process, the current one last
	counter uint64
	// view holds entries with a bounded age, by incarnation.
	view map[string]receivedEntry
	// loads holds the newest loads, by incarnation. Their age is not bounded, so they are used for fair sharing only.
	loads map[string]receivedEntry
	peers map[string]*peer // by name
	conns map[net.Conn]struct{}
	list  listView
	stats Stats
}

// New returns a member and registers it as a relay of the follower and the committer, which must not be running yet.
func New(opts Options) (*Member, error) {
	if opts.Name == "" || opts.Log == nil || opts.List == nil || opts.Follower == nil || opts.Committer == nil ||
		opts.Listener == nil {
		return nil, errors.New("membership: Name, Log, List, Follower, Committer and Listener are required")
	}
	if opts.Clock == nil {
		opts.Clock = time.Now
	}
	if opts.ListPollInterval <= 0 {
		opts.ListPollInterval = listInterval
	}
	if opts.Load == nil {
		opts.Load = func() Load { return Load{} }
	}
	if opts.NewIncarnation == nil {
		opts.NewIncarnation = func() string { return ulid.Make().String() }
	}
	opts.Listener = opts.Traffic.Listener(opts.Listener)
	incarnation := opts.Committer.Identity().Incarnation
	m := &Member{
		opts:        opts,
		lease:       &SessionLease{clock: opts.Clock},
		incarnation: incarnation,
		holders:     []string{incarnation},
		view:        map[string]receivedEntry{},
		loads:       map[string]receivedEntry{},
		peers:       map[string]*peer{},
		conns:       map[net.Conn]struct{}{},
	}
	opts.Follower.AddSource(relay{m})
	opts.Committer.AddRelay(relay{m})
	return m, nil
}

// Run maintains the session, polls the platform's list and communicates with peers until ctx ends. It closes the
// listener.
func (m *Member) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() { m.runSession(ctx) })
	running.Go(func() { m.runRevoker(ctx) })
	running.Go(func() { m.runList(ctx) })
	running.Go(func() { m.runPeers(ctx, &running) })
	err := m.serve(ctx, &running)
	cancel()
	running.Wait()
	return err
}

// Lease returns the session lease. It is the same object for the lifetime of the member.
func (m *Member) Lease() *SessionLease { return m.lease }

// Stats returns the current counters.
func (m *Member) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stats
}

func (m *Member) count(update func(*Stats)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	update(&m.stats)
}

// TakesKeyedWork reports whether work with a key may be accepted by the contact rule, and the reason of the decision.
func (m *Member) TakesKeyedWork() (ok bool, reason string) {
	now := m.opts.Clock()
	if hasLogContact(now, m.opts.Follower.LastContact()) {
		return true, ReasonLogContact
	}
	return takesKeyedWork(m.contactView(now))
}

// contactView collects the input of the contact rule.
func (m *Member) contactView(now time.Time) *contactView {
	v := &contactView{now: now, logContact: m.opts.Follower.LastContact(), entries: map[string]receivedEntry{}}
	var sessions []statemachine.Session
	m.opts.Follower.View(func(s *statemachine.State) {
		v.configVersion = s.Config().Version
		sessions = s.Sessions()
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	v.listKnown = m.list.known
	v.members = otherMembers(m.opts.Name, sessions, &m.list)
	for incarnation, h := range m.view {
		v.entries[incarnation] = h
	}
	return v
}

// otherMembers returns the open sessions whose instances are not gone from the list, and the listed entry instances.
// Those named own are excluded: the current process has that name, so any earlier process of that name has ended.
func otherMembers(own string, sessions []statemachine.Session, list *listView) []member {
	var members []member
	for _, session := range sessions {
		if session.Name != own && !list.gone(session.Name) {
			members = append(members, member{Name: session.Name, Holder: session.Holder})
		}
	}
	for name := range list.entries {
		if name != own {
			members = append(members, member{Name: name})
		}
	}
	return members
}

// Leaving reports whether the platform lists the worker instance as leaving. It does not depend on the log.
func (m *Member) Leaving(instance string) bool {
	leaving := m.leaving.Load()
	return leaving != nil && (*leaving)[instance]
}

// PeerUsage returns, by holder, the running work that peers have reported within maxLoadAge.
func (m *Member) PeerUsage() map[string]Usage {
	now := m.opts.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	usage := map[string]Usage{}
	for _, h := range m.loads {
		if now.Sub(h.madeAt) <= maxLoadAge {
			usage[h.entry.Holders[len(h.entry.Holders)-1]] = h.entry.Load.usage()
		}
	}
	return usage
}

// ownEntry creates a new entry of this process.
func (m *Member) ownEntry() Entry {
	e := Entry{Name: m.opts.Name, Incarnation: m.incarnation, LogAgeMillis: noLogContact}
	load := m.opts.Load()
	e.Load = &load
	e.Applied = m.opts.Follower.Applied()
	m.opts.Follower.View(func(s *statemachine.State) { e.ConfigVersion = s.Config().Version })
	// The clock is read before LastContact, so that a pause in between does not make the contact appear older than it is.
	now := m.opts.Clock()
	if last := m.opts.Follower.LastContact(); !last.IsZero() {
		e.LogAgeMillis = max(0, now.Sub(last).Milliseconds())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counter++
	e.Counter = m.counter
	e.Holders = slices.Clone(m.holders)
	return e
}

// digest returns the entry of this process and those of the others, with their ages and without loads.
func (m *Member) digest() []Entry {
	own := m.ownEntry()
	own.Load = nil
	now := m.opts.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	others := digestOf(m.view, now, entryRetention)
	return append([]Entry{own}, others[:min(len(others), maxDigestEntries-1)]...)
}

// mergeReceived merges a digest that a peer sent. sent is a local time before the peer sent it, or zero if none is
// known. Without it the entries are used for fair sharing only.
func (m *Member) mergeReceived(digest []Entry, sent time.Time) {
	digest = slices.DeleteFunc(digest, func(e Entry) bool { return e.Incarnation == m.incarnation })
	m.mu.Lock()
	defer m.mu.Unlock()
	mergeLoads(m.loads, digest, m.opts.Clock())
	if !sent.IsZero() {
		mergeDigest(m.view, digest, sent)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
