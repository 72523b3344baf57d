package membership

import "time"

// PeerState is the last known state of a process of an entry instance, including this one.
type PeerState struct {
	Name          string
	Applied       uint64
	ConfigVersion uint64
	Age           time.Duration
	Load          Load
}

// PeerStates returns the last known state of each process, by session holder. It is for display only; no decision
// depends on it.
func (m *Member) PeerStates() map[string]PeerState {
	now := m.opts.Clock()
	own := m.ownEntry()
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := map[string]PeerState{}
	for _, h := range m.view {
		addSeen(seen, h.entry, now.Sub(h.madeAt))
	}
	for _, h := range m.loads {
		for _, holder := range h.entry.Holders {
			if s, ok := seen[holder]; ok && h.entry.Load != nil {
				s.Load = *h.entry.Load
				seen[holder] = s
			}
		}
	}
	addSeen(seen, own, 0)
	return seen
}

// addSeen adds the state in e under each of its holders.
func addSeen(seen map[string]PeerState, e Entry, age time.Duration) {
	s := PeerState{Name: e.Name, Applied: e.Applied, ConfigVersion: e.ConfigVersion, Age: age}
	if e.Load != nil {
		s.Load = *e.Load
	}
	for _, holder := range e.Holders {
		seen[holder] = s
	}
}
