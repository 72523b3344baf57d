package membership

import "time"

// PeerState is what this entry instance last heard of a process of an entry instance, itself included.
type PeerState struct {
	Name          string
	Applied       uint64
	ConfigVersion uint64
	Age           time.Duration
	Load          Load
}

// PeerStates returns what was heard by session holder. It is for display and decides nothing.
func (m *Member) PeerStates() map[string]PeerState {
	now := m.opts.Clock()
	own := m.ownEntry()
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := map[string]PeerState{}
	for _, h := range m.view {
		addSeen(seen, h.entry, now.Sub(h.made))
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

func addSeen(seen map[string]PeerState, e Entry, age time.Duration) {
	s := PeerState{Name: e.Name, Applied: e.Applied, ConfigVersion: e.ConfigVersion, Age: age}
	if e.Load != nil {
		s.Load = *e.Load
	}
	for _, holder := range e.Holders {
		seen[holder] = s
	}
}
