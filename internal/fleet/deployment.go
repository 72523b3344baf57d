package fleet

import (
	"time"

	"pollenlead/internal/store"
)

// Settings holds the settings of one process, as read from its settings file.
type Settings struct {
	Name    string
	Address string // the IP address of this entry instance
	Zone    string
	// FrontAddress is the listen address for callers, and ReadyAddress that for the platform's readiness probes.
	FrontAddress, ReadyAddress string
	// PeerPort serves calls of other entry instances, MetricsPort the metrics, and RelayPort the calls that a leader
	// relays to workers.
	PeerPort, MetricsPort, RelayPort int
	StoreAddress                     string
	// StorePartitions is the number of partitions of each topic, and StoreLimits limits the size of what is stored.
	StorePartitions  int
	StoreLimits      store.Limits
	InstancesAddress string
	AdviceAddress    string
	// CPUShare is the fraction of a core that this process has.
	CPUShare float64
	// MemoryMB and MaxSockets are what this process may take; 0 means that there is no limit.
	MemoryMB   int
	MaxSockets int
	Bounds     Bounds
	// Reservations makes a leader keep workers free for tasks that fit on none yet.
	Reservations bool
}

// Bounds holds the time limits and rates that the deployment has to observe.
type Bounds struct {
	// KeyWithdrawal is the time after which a withdrawn key must no longer be accepted.
	KeyWithdrawal time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// MaxStopTime is the maximum time that a worker takes to stop a task.
	MaxStopTime time.Duration
	// StatusRetention is the retention of the state of an ended job.
	StatusRetention time.Duration
	// EarlyStart is how long before its due time an occurrence may start.
	EarlyStart time.Duration
	// Heartbeat is the interval between heartbeats of a worker.
	Heartbeat time.Duration
	// InstanceLease is the time within which two holders must not alternate in giving orders for one instance.
	InstanceLease time.Duration
	// AwayNotice is the time for which a task that is out of service counts as away.
	AwayNotice time.Duration
	// MaxLatencyExcess is the maximum time for which a serving task may exceed its latency target.
	MaxLatencyExcess time.Duration
	// Evacuation is the time after the request for an evacuation from which nothing may be started in the zone.
	Evacuation time.Duration
	// Move and Maintenance are the durations of a move and of the maintenance of an instance.
	Move, Maintenance time.Duration
	// SpreadFactor is the factor by which a task slows down away from its data or rack.
	SpreadFactor float64
	// InstanceOrdersPerSecond and InstanceReadsPerSecond bound the rate of calls of the whole deployment to the
	// instances service.
	InstanceOrdersPerSecond, InstanceReadsPerSecond float64
}
