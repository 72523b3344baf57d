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
	// listInterval is the time between polls of the list. Leaving instances must be known within the list's lag plus 1 s.
	listInterval = time.Second
	// listTimeout bounds one poll, so that a hanging answer costs one interval.
	listTimeout = time.Second
	// listTakeoverPolls is the number of polls after which the next session in order reports a difference.
	listTakeoverPolls = 3
	// listResource is the rendezvous name of the reporter's role.
	listResource = "list"
	// maxReportInstances bounds one report well below the size of a record; the next poll reports the rest.
	maxReportInstances = 1500
	// minGoneLimit is the number of known instances that one poll may always report as gone: small pools lose a rack of 4
	// instances at once.
	minGoneLimit = 4
	// goneConfirmPolls is the number of polls in a row that must show the same before one report may exceed the limit on gone
	// instances. An empty or partial answer of a list that restarts would otherwise drop all slots of the fleet at once; a
	// real loss of half of the fleet shows in failing requests long before, and its routers eject those instances.
	goneConfirmPolls = 10
	// reportTimeout bounds the wait for one report. The next poll compares again.
	reportTimeout = 3 * time.Second
)

// listView is what the platform's list showed last.
type listView struct {
	known   bool
	leaving map[string]bool   // worker instances
	entries map[string]string // entry instances and their addresses
	seen    map[string]bool   // entry instances that any answer showed
}

// gone reports whether the list showed the entry instance earlier and does not any more. An instance that it never showed
// may be new, because the list lags.
func (l *listView) gone(name string) bool {
	_, listed := l.entries[name]
	return l.seen[name] && !listed
}

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

// listTurn counts for how many polls a difference was seen without progress of the folded list version.
type listTurn struct {
	version uint64
	polls   int
}

// next counts one more poll that saw a difference.
func (t listTurn) next(foldedVersion uint64) listTurn {
	if t.polls > 0 && t.version == foldedVersion {
		return listTurn{version: foldedVersion, polls: t.polls + 1}
	}
	return listTurn{version: foldedVersion, polls: 1}
}

// due reports whether the session of the given rank may report.
func (t listTurn) due(rank int) bool {
	return rank >= 0 && t.polls > rank*listTakeoverPolls
}

// goneGuard counts the polls in a row that report the same instances as gone, more of them than one poll may.
type goneGuard struct {
	gone  []string
	polls int
}

// next counts a poll and returns the changes that may be reported now. live has the live instances of the folded
// state. Those beyond the limit are held back, and not only some of them, because the answer as a whole is doubtful.
func (g goneGuard) next(changes []record.Instance, live map[string]bool) (goneGuard, []record.Instance) {
	var gone []string
	var rest []record.Instance
	for _, facts := range changes {
		if facts.Phase == record.PhaseGone && live[facts.ID] {
			gone = append(gone, facts.ID)
		} else {
			rest = append(rest, facts)
		}
	}
	if len(gone) <= max(len(live)/2, minGoneLimit) {
		return goneGuard{}, changes
	}
	if !slices.Equal(gone, g.gone) {
		return goneGuard{gone: gone, polls: 1}, rest
	}
	g.polls++
	if g.polls < goneConfirmPolls {
		return g, rest
	}
	return g, changes
}

// runList polls the list, and reports to the log what differs from the folded state.
func (m *Member) runList(ctx context.Context) {
	turn, guard := listTurn{}, goneGuard{}
	ticker := time.NewTicker(m.opts.ListPollInterval)
	defer ticker.Stop()
	for {
		if listing, ok := m.pollList(ctx); ok {
			turn, guard = m.reportList(ctx, listing, turn, guard)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

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

// reportList proposes the differences if there are any and it is this session's turn.
func (m *Member) reportList(ctx context.Context, listing platform.Listing, turn listTurn, guard goneGuard) (listTurn, goneGuard) {
	holder := m.lease.Holder()
	var folded uint64
	var changes []record.Instance
	var sessions []string
	live := map[string]bool{}
	m.opts.Follower.View(func(s *statemachine.State) {
		folded = s.ListVersion()
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
	guard, changes = guard.next(changes, live)
	if len(changes) < all {
		m.count(func(s *Stats) { s.ListGoneHeldBack++ })
	}
	if len(changes) == 0 {
		return listTurn{}, guard
	}
	turn = turn.next(folded)
	if !m.lease.Valid() || !turn.due(rank(listResource, holder, sessions)) {
		return turn, guard
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report := &record.InstancesReport{ListVersion: listing.Version, Instances: changes[:min(len(changes), maxReportInstances)]}
	identity := replica.Identity{Writer: m.opts.Name, Incarnation: holder}
	outcomes, err := m.opts.Committer.SubmitAs(ctx, identity, record.Op{InstancesReport: report})
	if err == nil && outcomes[0].Accepted {
		m.count(func(s *Stats) { s.ListReports++ })
	}
	return turn, guard
}

// listChanges returns the facts in which the listing differs from the folded state, ordered by ID within each phase. A
// listing that is older than the folded one has none.
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

// rank returns the place of holder in the rendezvous order for resource, or -1 if it has no session.
func rank(resource, holder string, sessions []string) int {
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
