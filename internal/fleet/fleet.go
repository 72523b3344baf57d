// Package fleet holds the types that describe a deployment: queues, pools, teams, workers and instances. The platform
// adapter decodes them from the platform's records.
package fleet

import (
	"slices"
	"strings"
	"time"
)

// Resources is an amount of CPU, memory and accelerators.
type Resources struct {
	// CPUMilli is the CPU in thousandths of a core.
	CPUMilli int64
	// MemoryMB is the memory in megabytes.
	MemoryMB int64
	// GPU is the number of accelerators.
	GPU int64
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemoryMB + o.MemoryMB, r.GPU + o.GPU}
}

// Sub returns the difference of r and o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUMilli - o.CPUMilli, r.MemoryMB - o.MemoryMB, r.GPU - o.GPU}
}

// Fits reports whether r is at most o in each dimension.
func (r Resources) Fits(o Resources) bool {
	return r.CPUMilli <= o.CPUMilli && r.MemoryMB <= o.MemoryMB && r.GPU <= o.GPU
}

// Queue is an endpoint to which jobs are submitted, selected by host and path prefix.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	// Pool is the name of the pool whose workers run the queue's tasks.
	Pool string
	// Priority orders the queues of a pool; 0 comes first.
	Priority int
	// Attempts is the number of failed runs after which a task, and with it its job, fails.
	Attempts int
	// Stretch and LatencyObjective define the objective of a job: Stretch times the duration of its longest chain of
	// steps, plus LatencyObjective.
	Stretch          float64
	LatencyObjective time.Duration
	// Timeout bounds a request of the queue.
	Timeout time.Duration
	// Public means that requests need no key.
	Public bool
	// Advice is nil for a queue without a placement policy.
	Advice *AdvicePolicy
}

// Address returns the address at which callers reach the queue.
func (q *Queue) Address() string { return q.Host + q.PathPrefix }

// AdvicePolicy holds the timing of the advice service for a queue whose policy allows only some workers to run a
// step.
type AdvicePolicy struct {
	Decide    time.Duration
	PerWorker time.Duration
	Validity  time.Duration
}

// Pool is the set of workers of one backend service.
type Pool struct {
	Name string
	// EnforcesCapacity means that the workers themselves refuse tasks that do not fit.
	EnforcesCapacity bool
	// Standby means that the instances of the pool are switched off.
	Standby bool
}

// Team is a client account to which work is charged.
type Team struct {
	Name string
	Keys []string
	// Share is the team's weight in the division of a full pool.
	Share float64
	// UpperLimit is the maximum that the team may have running; 0 in a dimension means no limit there.
	UpperLimit Resources
}

// Limits bounds the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the whole configuration. It is immutable once Index has been called.
type Config struct {
	Version int64
	Queues  []Queue
	Pools   []Pool
	Teams   []Team
	Limits  Limits

	queues map[string]*Queue
	pools  map[string]*Pool
	teams  map[string]*Team
	keys   map[string]*Team
	shares map[string]float64
	hosts  map[string][]*Queue // longest prefix first
}

// Index builds the lookup tables. The decoder calls it once.
func (c *Config) Index() {
	c.queues = make(map[string]*Queue, len(c.Queues))
	c.hosts = make(map[string][]*Queue)
	for i := range c.Queues {
		q := &c.Queues[i]
		c.queues[q.Name] = q
		c.hosts[q.Host] = append(c.hosts[q.Host], q)
	}
	for _, list := range c.hosts {
		slices.SortFunc(list, func(a, b *Queue) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	c.pools = make(map[string]*Pool, len(c.Pools))
	for i := range c.Pools {
		c.pools[c.Pools[i].Name] = &c.Pools[i]
	}
	c.teams = make(map[string]*Team, len(c.Teams))
	c.keys = make(map[string]*Team)
	c.shares = make(map[string]float64, len(c.Teams))
	for i := range c.Teams {
		t := &c.Teams[i]
		c.teams[t.Name] = t
		c.shares[t.Name] = t.Share
		for _, k := range t.Keys {
			c.keys[k] = t
		}
	}
}

// Route returns the queue with the longest prefix of path at host and the rest of the path, or nil if there is none.
func (c *Config) Route(host, path string) (*Queue, string) {
	for _, q := range c.hosts[host] {
		if rest, ok := strings.CutPrefix(path, q.PathPrefix); ok {
			return q, rest
		}
	}
	return nil, ""
}

// Queue returns the queue with the given name, or nil.
func (c *Config) Queue(name string) *Queue { return c.queues[name] }

// Pool returns the pool with the given name, or nil.
func (c *Config) Pool(name string) *Pool { return c.pools[name] }

// Team returns the team with the given name, or nil.
func (c *Config) Team(name string) *Team { return c.teams[name] }

// Shares returns the shares of all teams by name.
func (c *Config) Shares() map[string]float64 { return c.shares }

// TeamOfKey returns the team to which the key belongs, or nil.
func (c *Config) TeamOfKey(key string) *Team { return c.keys[key] }

// WorkerEntry is a worker's report of its own state.
type WorkerEntry struct {
	ID       string
	Pool     string
	Address  string
	Zone     string
	Draining bool
	// Remaining is the minimum time for which a draining worker still serves.
	Remaining time.Duration
	Capacity  Resources
	// Labels holds the worker's kind and rack; Rack is the last of them.
	Labels []string
	Rack   string
	// Incarnation changes each time that a worker with this ID starts.
	Incarnation int64
	// Sequence numbers the heartbeats of one incarnation.
	Sequence int64
}

// InstancePhase is the platform's state of an instance.
type InstancePhase string

// The phases of an instance.
const (
	InstanceUp          InstancePhase = "up"
	InstanceMoving      InstancePhase = "moving"
	InstanceMaintenance InstancePhase = "maintenance"
	InstanceDown        InstancePhase = "down"
)

// Instance is a machine that runs one worker at a time.
type Instance struct {
	ID       string
	Pool     string
	Phase    InstancePhase
	Zone     string
	Labels   []string
	Capacity Resources
	// Worker is the ID of the instance's present worker.
	Worker string
}

// Rack returns the instance's rack, or "" if the list does not name it. It is the last of the labels.
func (i *Instance) Rack() string {
	if len(i.Labels) == 0 {
		return ""
	}
	return i.Labels[len(i.Labels)-1]
}

// WaveRequest is a request to maintain each of the instances once within a time limit.
type WaveRequest struct {
	Number    int64
	Instances []string
	// FinishBy is the time limit of the wave, counted from the request.
	FinishBy time.Duration
	// MaxDown is the maximum number of instances of the wave that may be down at once.
	MaxDown int
}
