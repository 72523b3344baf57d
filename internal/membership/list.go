package membership

import (
	"context"
	"slices"
	"time"

	"pollenlead/internal/allot"
	"pollenlead/internal/platform"
	"pollenlead/internal/record"
	"pollenlead/internal/replica"
	"pollenlead/internal/statemachine"
)

const (
	// listInterval is the default time between polls of the list. Leaving instances must be detected within the lag of the
	// list plus 1 s.
	listInterval = time.Second
	// listTimeout limits one poll, so that a poll without an answer delays the next one by at most one interval.
	listTimeout = time.Second
	// listTakeoverPolls is the number of polls after which the session of the next rank takes over reporting a difference.
	listTakeoverPolls = 3
	// listResource is the name of the reporter's role in rendezvous hashing.
	listResource = "list"
	// maxReportInstances keeps one report well below the maximum size of a record. The next poll reports the rest.
	maxReportInstances = 1500
	// minGoneAllowed is the number of known instances that one poll may always report as gone. A small pool can lose a
	// rack of 4 instances at once.
	minGoneAllowed = 4
	// goneConfirmPolls is the number of consecutive polls with the same result after which one report may exceed the limit
	// on gone instances. Without it, an empty or partial answer of a restarting list would remove all slots of the fleet
	// at once. After a real loss of half of the fleet, requests fail long before, and the routers eject those instances.
	goneConfirmPolls = 10
	// reportTimeout limits the time for one report. The next poll compares the list with the applied state again.
	reportTimeout = 3 * time.Second
)

// listView is the latest known content of the platform's list.
type listView struct {
	known   bool
	leaving map[string]bool   // worker instances
	entries map[string]string // entry instances and their addresses
	seen    map[string]bool   // entry instances that any answer contained
}

// gone reports whether an earlier answer of the list contained the entry instance and the last one did not. An instance
// that no answer contained may be new, because the list lags.
func (l *listView) gone(name string) bool {
	_, listed := l.entries[name]
	return l.seen[name] && !listed
}

// update replaces the view by a new answer of the list.
func (l *listView) update(listing platform.Listing) {
	l.known = true
	l.leaving = map[string]bool{}
	for _, worker := range listing.Workers {
		if worker.Phase == record.PhaseLeaving {
			l.leaving[worker.ID] = true
		}
	}
	if l.seen == nil {
		l.seen = map[string]bool{}
	}
	l.entries = map[string]string{}
	for _, entry := range listing.Entries {
		if entry.Phase != record.PhaseGone {
			l.entries[entry.ID] = entry.Address
			l.seen[entry.ID] = true
		}
	}
}

// reportTurn counts the consecutive polls that found a difference without progress of the list version in the applied
// state.
type reportTurn struct {
	version uint64
	polls   int
}

// next counts another poll that found a difference.
func (t reportTurn) next(listVersion uint64) reportTurn {
	if t.polls > 0 && t.version == listVersion {
		return reportTurn{version: listVersion, polls: t.polls + 1}
	}
	return reportTurn{version: listVersion, polls: 1}
}

// mayReport reports whether the session of the given rank may report the difference.
func (t reportTurn) mayReport(rank int) bool {
	return rank >= 0 && t.polls > rank*listTakeoverPolls
}

// goneLimiter counts the consecutive polls that show the same instances as gone, when these exceed the limit of one
// poll.
type goneLimiter struct {
	gone  []string
	polls int
}

// next counts a poll and returns the changes that may be reported now. live holds the live instances of the applied
// state. If the number of gone instances exceeds the limit, all of them are held back, because the whole answer is
// doubtful.
func (g goneLimiter) next(changes []record.Instance, live map[string]bool) (goneLimiter, []record.Instance) {
	var gone []string
	var rest []record.Instance
	for _, facts := range changes {
		if facts.Phase == record.PhaseGone && live[facts.ID] {
			gone = append(gone, facts.ID)
		} else {
			rest = append(rest, facts)
		}
	}
	if len(gone) <= max(len(live)/2, minGoneAllowed) {
		return goneLimiter{}, changes
	}
	if !slices.Equal(gone, g.gone) {
		return goneLimiter{gone: gone, polls: 1}, rest
	}
	g.polls++
	if g.polls < goneConfirmPolls {
		return g, rest
	}
	return g, changes
}

// runList polls the list and reports its differences from the applied state to the log.
func (m *Member) runList(ctx context.Context) {
	turn, limiter := reportTurn{}, goneLimiter{}
	ticker := time.NewTicker(m.opts.ListPollInterval)
	defer ticker.Stop()
	for {
		if listing, ok := m.pollList(ctx); ok {
			turn, limiter = m.reportList(ctx, listing, turn, limiter)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// pollList reads the list once and updates the view. It returns false if the poll failed.
func (m *Member) pollList(ctx context.Context) (platform.Listing, bool) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, err := m.opts.List.List(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.stats.ListPollsFailed++
		return listing, false
	}
	m.list.update(listing)
	leaving := m.list.leaving
	m.leaving.Store(&leaving)
	return listing, true
}

// reportList proposes the differences, if there are any and it is the turn of this session.
func (m *Member) reportList(
	ctx context.Context, listing platform.Listing, turn reportTurn, limiter goneLimiter,
) (reportTurn, goneLimiter) {
	holder := m.lease.Holder()
	var stateVersion uint64
	var changes []record.Instance
	var sessions []string
	live := map[string]bool{}
	m.opts.Follower.View(func(s *statemachine.State) {
		stateVersion = s.ListVersion()
		changes = listChanges(listing, s)
		for _, known := range s.Instances() {
			if known.Facts.Phase == record.PhaseLive {
				live[known.Facts.ID] = true
			}
		}
		for _, session := range s.Sessions() {
			sessions = append(sessions, session.Holder)
		}
	})
	all := len(changes)
	limiter, changes = limiter.next(changes, live)
	if len(changes) < all {
		m.count(func(s *Stats) { s.ListGoneHeldBack++ })
	}
	if len(changes) == 0 {
		return reportTurn{}, limiter
	}
	turn = turn.next(stateVersion)
	if !m.lease.Valid() || !turn.mayReport(rendezvousRank(listResource, holder, sessions)) {
		return turn, limiter
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report := &record.InstancesReport{
		ListVersion: listing.Version, Instances: changes[:min(len(changes), maxReportInstances)],
	}
	identity := replica.Identity{Writer: m.opts.Name, Incarnation: holder}
	outcomes, err := m.opts.Committer.SubmitAs(ctx, identity, record.Op{InstancesReport: report})
	if err == nil && outcomes[0].Accepted {
		m.count(func(s *Stats) { s.ListReports++ })
	}
	return turn, limiter
}

// listChanges returns the instances whose facts in the listing differ from the applied state: first the listed
// instances, then those that are gone, each ordered by ID. It returns none for a listing that is older than the one in
// the applied state.
func listChanges(listing platform.Listing, s *statemachine.State) []record.Instance {
	if listing.Version < s.ListVersion() {
		return nil
	}
	var changes []record.Instance
	listed := map[string]bool{}
	for _, facts := range listing.Workers {
		listed[facts.ID] = true
		if known, ok := s.Instance(facts.ID); !ok || known.Facts != facts {
			changes = append(changes, facts)
		}
	}
	for _, known := range s.Instances() {
		if !listed[known.Facts.ID] {
			changes = append(changes, record.Instance{ID: known.Facts.ID, Phase: record.PhaseGone})
		}
	}
	return changes
}

// rendezvousRank returns the position of holder in the rendezvous order of the sessions for resource, or -1 if it has
// no session.
func rendezvousRank(resource, holder string, sessions []string) int {
	if !slices.Contains(sessions, holder) {
		return -1
	}
	before := 0
	for _, other := range sessions {
		if other != holder && allot.Preferred(resource, []string{other, holder}) == other {
			before++
		}
	}
	return before
}
