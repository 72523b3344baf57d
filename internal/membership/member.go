// Package membership keeps the session of this entry instance, knows the other entry instances, and decides by the contact
// rule whether keyed work may be taken.
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

// viewKeep is how long entries of other instances are kept and forwarded. It is longer than any rule needs.
const viewKeep = 30 * time.Second

// loadKeep is the age up to which a peer's load counts for fair sharing. In rotation each peer is heard every 3 s.
const loadKeep = 10 * time.Second

// Options are the parts that a member works with. Name, Session, Log, List, Follower, Committer and Listener are required.
type Options struct {
	// Name is the entry instance, as the platform's list shows it.
	Name string
	// Session holds the addresses that the session announces.
	Session   record.SessionOpen
	Log       platform.Log
	List      platform.FleetList
	Follower  *replica.Follower
	Committer *replica.Committer
	// Listener accepts the connections of peers.
	Listener net.Listener
	// TLS makes peer connections mutual TLS. Nil means plain TCP.
	TLS *tls.Config
	// ListPollInterval is the time between two reads of the platform's list. The default is 1 s.
	ListPollInterval time.Duration
	// Traffic counts the bytes of peer connections in both directions, with those of TLS. It may be nil.
	Traffic *traffic.Counter
	// Load returns the current load of this instance. It may be nil.
	Load func() Load
	// Clock returns the time with a monotonic reading. The default is time.Now.
	Clock func() time.Time
	// NewIncarnation returns a ULID. The default is ulid.Make.
	NewIncarnation func() string
}

// Stats counts what a member did.
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

// Member is this entry instance among the others.
type Member struct {
	opts        Options
	lease       *SessionLease
	incarnation string // of the process; it does not change with the session
	// leaving has the leaving worker instances of the last list. Each request asks for all candidates, so it needs no lock.
	leaving atomic.Pointer[map[string]bool]

	mu      sync.Mutex // guards the fields below
	holders []string   // the sessions of this process, the current one last
	counter uint64
	view    map[string]heard // entries with a bound of their age, by incarnation
	loads   map[string]heard // newest loads; their age is not bounded, so they decide nothing but fair shares
	peers   map[string]*peer // by name
	conns   map[net.Conn]struct{}
	list    listView
	stats   Stats
}

// New returns a member and registers it as relay of the follower and the committer, which must not run yet.
func New(opts Options) (*Member, error) {
	if opts.Name == "" || opts.Log == nil || opts.List == nil || opts.Follower == nil || opts.Committer == nil || opts.Listener == nil {
		return nil, errors.New("membership: a required option is missing")
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
		view:        map[string]heard{},
		loads:       map[string]heard{},
		peers:       map[string]*peer{},
		conns:       map[net.Conn]struct{}{},
	}
	opts.Follower.AddSource(relay{m})
	opts.Committer.AddRelay(relay{m})
	return m, nil
}

// Run keeps the session and talks to the platform's list and to peers until ctx ends. It closes the listener.
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

// Lease returns the session lease. It is the same object for the life of the member.
func (m *Member) Lease() *SessionLease { return m.lease }

// Stats returns what the member counted.
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

// TakesKeyedWork applies the contact rule and returns its reason.
func (m *Member) TakesKeyedWork() (ok bool, reason string) {
	now := m.opts.Clock()
	if hasLogContact(now, m.opts.Follower.LastContact()) {
		return true, ReasonLogContact
	}
	return takesKeyedWork(m.contactView(now))
}

// contactView gathers what the contact rule needs.
func (m *Member) contactView(now time.Time) *contactView {
	v := &contactView{now: now, logContact: m.opts.Follower.LastContact(), heard: map[string]heard{}}
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
		v.heard[incarnation] = h
	}
	return v
}

// otherMembers returns the open sessions that the list does not report gone and the entry instances that it shows, without
// those named own: a process under that name runs here, so an earlier one has ended.
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

// Leaving reports whether the platform's list shows the instance as leaving. It does not wait for the log.
func (m *Member) Leaving(instance string) bool {
	leaving := m.leaving.Load()
	return leaving != nil && (*leaving)[instance]
}

// PeerUsage returns the running work of the other holders that was reported lately.
func (m *Member) PeerUsage() map[string]Usage {
	now := m.opts.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	usage := map[string]Usage{}
	for _, h := range m.loads {
		if now.Sub(h.made) <= loadKeep {
			usage[h.entry.Holders[len(h.entry.Holders)-1]] = h.entry.Load.usage()
		}
	}
	return usage
}

// ownEntry makes a new entry of this process.
func (m *Member) ownEntry() Entry {
	e := Entry{Name: m.opts.Name, Incarnation: m.incarnation, LogAgeMillis: noLogContact}
	load := m.opts.Load()
	e.Load = &load
	e.Applied = m.opts.Follower.Applied()
	m.opts.Follower.View(func(s *statemachine.State) { e.ConfigVersion = s.Config().Version })
	// The clock is read first: a pause in between must not make contact look older than it is.
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

// digest returns the own entry and those of the others with their ages and without their loads.
func (m *Member) digest() []Entry {
	own := m.ownEntry()
	own.Load = nil
	now := m.opts.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	others := forwarded(m.view, now, viewKeep)
	return append([]Entry{own}, others[:min(len(others), maxDigestEntries-1)]...)
}

// learn merges what a peer sent. sent is a local time before the peer sent it, or zero if none is known; without it the
// entries serve for fair shares only.
func (m *Member) learn(digest []Entry, sent time.Time) {
	digest = slices.DeleteFunc(digest, func(e Entry) bool { return e.Incarnation == m.incarnation })
	m.mu.Lock()
	defer m.mu.Unlock()
	mergeLoads(m.loads, digest, m.opts.Clock())
	if !sent.IsZero() {
		merge(m.view, digest, sent)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
