package ingress

import (
	"cmp"
	"slices"
	"time"
)

// idleOffset is added to the time since a connection's last progress, so that of connections that have just sent
// something the one that holds the most is shed first.
const idleOffset = 10 * time.Millisecond

// candidate is a connection that may be shed.
type candidate struct {
	conn *conn
	idle time.Duration
	cost float64
}

// shedMemory sheds connections until bytes more, and a fraction of the limit beyond that, can be reserved for c. It
// returns those to close. Callers hold mu.
func (g *Guard) shedMemory(c *conn, bytes int64) []*conn {
	target := max(int64(float64(g.limits.Memory)*(1-shedMemoryFraction))-bytes, 0)
	list := g.candidates(c)
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.cost, a.cost) })
	var victims []*conn
	for _, x := range list {
		if g.reserved <= target {
			break
		}
		g.shed(x.conn)
		victims = append(victims, x.conn)
	}
	counters.shedForMemory.Add(int64(len(victims)))
	g.noteShedding(len(victims))
	return victims
}

// shedConnections sheds a fraction of the connections: idle ones first, and of each kind those without progress for the
// longest time. Peers that have sent a whole message come last, although they are idle most of the time. It returns
// those to close. Callers hold mu.
func (g *Guard) shedConnections() []*conn {
	list := g.candidates(nil)
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(
			compareBool(a.conn.proven, b.conn.proven),
			compareBool(b.conn.phase == phaseIdle, a.conn.phase == phaseIdle),
			cmp.Compare(b.idle, a.idle),
		)
	})
	n := max(int(float64(g.limits.Connections)*shedConnectionFraction), 1)
	var victims []*conn
	for _, x := range list[:min(n, len(list))] {
		g.shed(x.conn)
		victims = append(victims, x.conn)
	}
	counters.shedForConnections.Add(int64(len(victims)))
	g.noteShedding(len(victims))
	return victims
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// candidates returns the connections besides c that wait for their client. Callers hold mu.
func (g *Guard) candidates(c *conn) []candidate {
	now := time.Now()
	var list []candidate
	for x := range g.conns {
		if x == c || x.phase == phaseHandling {
			continue
		}
		idle := now.Sub(x.progressAt)
		list = append(list, candidate{x, idle, float64(x.reserved) * float64(idle+idleOffset)})
	}
	return list
}

// noteShedding logs that shedding has begun, and its end once nothing has been shed for some time. Callers hold mu.
func (g *Guard) noteShedding(victims int) {
	if victims == 0 {
		return
	}
	if g.endShedding != nil {
		g.endShedding.Reset(sheddingEndsAfter)
		return
	}
	g.log.Warn().Str("event", "shedding_begins").Int("connections", g.open).Int64("reserved_bytes", g.reserved).
		Msg("clients hold more memory or connections than allowed; connections are closed")
	g.endShedding = time.AfterFunc(sheddingEndsAfter, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.endShedding = nil
		g.log.Info().Str("event", "shedding_ends").Int("connections", g.open).Int64("reserved_bytes", g.reserved).
			Msg("no more connections of clients are closed")
	})
}
