package entrynode

import (
	"pollenlead/internal/fleet"
	"pollenlead/internal/ingress"
)

// Fractions of the process's memory and sockets that the connections of each listener may take. A leader needs the rest
// for the state of the jobs and for its connections to workers and to the store.
const (
	callerMemoryFraction = 0.25
	callerSocketFraction = 0.5
	// peerMemoryFraction holds for each of the listeners besides that for callers.
	peerMemoryFraction = 1.0 / 16
	// peerSocketFraction leaves room for one connection from each of several hundred entry instances.
	peerSocketFraction = 0.1
	// relaySocketFraction holds for the listener for relayed calls, which the present and some former leaders use.
	relaySocketFraction = 0.02
	// probeSocketFraction holds for readiness and for metrics, which the platform and some operators use.
	probeSocketFraction = 0.02
	// minConnections is the smallest limit of a listener.
	minConnections = 16
)

func callerLimits(s fleet.Settings) ingress.Limits {
	return listenerLimits(s, callerMemoryFraction, callerSocketFraction)
}

func peerLimits(s fleet.Settings) ingress.Limits {
	return listenerLimits(s, peerMemoryFraction, peerSocketFraction)
}

func relayLimits(s fleet.Settings) ingress.Limits {
	return listenerLimits(s, peerMemoryFraction, relaySocketFraction)
}

func probeLimits(s fleet.Settings) ingress.Limits {
	return listenerLimits(s, peerMemoryFraction, probeSocketFraction)
}

// listenerLimits returns the limits of a listener that may take some fractions of the process's memory and sockets. A
// process whose settings do not tell how many it has sets no limit.
func listenerLimits(s fleet.Settings, memory, sockets float64) ingress.Limits {
	limits := ingress.Limits{Memory: int64(float64(s.MemoryMB<<20) * memory), BodyTime: readBodyTimeout}
	if s.MaxSockets > 0 {
		limits.Connections = max(int(float64(s.MaxSockets)*sockets), minConnections)
	}
	return limits
}
