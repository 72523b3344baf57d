package fleet

import "time"

// Settings is what one process learns from its settings file.
type Settings struct {
	Name    string
	Address string // the IP address of this entry instance
	Zone    string
	// FrontAddress serves callers and ReadyAddress the platform's readiness probes.
	FrontAddress, ReadyAddress string
	// PeerPort is where entry instances call each other, MetricsPort where metrics are served, and RelayPort where a leader's calls for workers
	// are taken.
	PeerPort, MetricsPort, RelayPort int
	StoreAddress                     string
	// StorePartitions is the number of partitions of each topic.
	StorePartitions  int
	InstancesAddress string
	AdviceAddress    string
	// CPUShare is the part of a core that this process has.
	CPUShare float64
	MemoryMB int
	Bounds   Bounds
}

// Bounds are the times within which the deployment has to act.
type Bounds struct {
	// KeyWithdrawal is the time after which a withdrawn key must not work any more.
	KeyWithdrawal time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// MaxStopTime is the longest time that a worker takes to stop a task.
	MaxStopTime time.Duration
	// StatusRetention is how long the state of an ended job stays known.
	StatusRetention time.Duration
	// EarlyStart is how long before its time an occurrence may start.
	EarlyStart time.Duration
	// Heartbeat is the time between two heartbeats of a worker.
	Heartbeat time.Duration
	// InstancesFenced means that the instances service refuses orders with an older fencing token.
	InstancesFenced bool
	// InstanceLease is the time in which two holders must not give orders for one instance by turns.
	InstanceLease time.Duration
	// AwayNotice is how long a task that is not at work counts as away.
	AwayNotice time.Duration
	// MaxLatencyExcess is how long a serving task may be over its latency target.
	MaxLatencyExcess time.Duration
	// Move and Maintenance are the times that a move or the maintenance of an instance takes.
	Move, Maintenance time.Duration
	// SpreadFactor is how many times longer a task takes away from its data or rack.
	SpreadFactor float64
	// InstanceOrdersPerSecond and InstanceReadsPerSecond bound the calls of the whole deployment to the instances service.
	InstanceOrdersPerSecond, InstanceReadsPerSecond float64
}
