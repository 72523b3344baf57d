// Package dispatch is the leader's work: it reads the accepted jobs, asks the workers what runs there, places waiting tasks,
// stores each assignment before it sends the start, renews the workers' leases, and stores ends before it acknowledges them.
// The decisions are in packages scheduling and workload.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/follow"
	"pollenlead/internal/instances"
	"pollenlead/internal/scheduling"
	"pollenlead/internal/sleep"
	"pollenlead/internal/store"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

const (
	// leaseDuration is the lease that each renewal gives to all tasks of a worker. It outlives a change of the leader, and a
	// worker that falls silent keeps its tasks from others for as long.
	leaseDuration = 4 * time.Second
	// clockDrift is how much slower than ours a worker's clock may run.
	clockDrift = 0.02
	// leaseMargin covers rounding and the time that a worker takes to end tasks whose lease has expired.
	leaseMargin = 100 * time.Millisecond
	// renewWithoutStore is how long leases are renewed without contact to the store. A new leader adds it to the lease of a worker that
	// does not answer, as its predecessor may have renewed for so long.
	renewWithoutStore = 6 * time.Second
	// tickInterval is the time between two looks at what changes by time alone.
	tickInterval = 100 * time.Millisecond
	// decisionPause is the least time between two decisions, and decisionShare the part of the time that decisions may take. A decision looks
	// at every waiting job of a pool: without a pause a backlog, of which each end and each submission wakes the leader, takes its whole processor.
	decisionPause = 2 * time.Millisecond
	decisionShare = 0.25
	// maxDecisionPause bounds the pause after a long decision.
	maxDecisionPause = 120 * time.Millisecond
	// endedKeptMore keeps an ended job a little longer than its state has to stay known.
	endedKeptMore = 10 * time.Second
)

// Advisor names the workers that may run a step.
type Advisor interface {
	Advise(ctx context.Context, step string, workers []string) (worker.Advice, error)
}

// Options configures a dispatcher.
type Options struct {
	Store   store.Store
	Workers worker.Client
	Advisor Advisor
	// Instances moves and maintains instances; nil if the deployment does not offer it.
	Instances instances.Service
	Follower  *follow.Follower
	Bounds    fleet.Bounds
	// JobTopic holds submissions and cancellations, in JobPartitions partitions.
	JobTopic      string
	JobPartitions int
	// ProgressTopic holds what the leader writes, and WorkerTopic the workers' entries.
	ProgressTopic, WorkerTopic string
	// StatusTopic takes the operator's view of waves.
	StatusTopic string
	DecodeEntry func(id string, value []byte) (*fleet.WorkerEntry, error)
	WaveStatus  func(wave int64, done bool) (key string, value []byte)
	// Token is the term's fencing token.
	Token int64
	// LastConfirmed returns the boot clock of a moment until which no other term had begun. Nil counts as now.
	LastConfirmed func() time.Duration
	Log           zerolog.Logger
}

// job is a job with what the dispatcher knows of its record.
type job struct {
	*workload.Job
	// changed means that the progress is not stored as it is.
	changed bool
	// visible is the stored state, which callers are told.
	visible workload.State
	// firstStart is the time from the acceptance to the first assignment, objective the time that the job had by its estimates, and
	// failures the number of its runs that did not end done.
	firstStart, objective time.Duration
	failures              int
	// partitions are those in which the job's submission or cancellation was seen, a bit for each.
	partitions uint64
}

// Dispatcher is the leader's work in one term.
type Dispatcher struct {
	Options
	// stop ends the term; it is called when a higher fencing token shows.
	stop context.CancelFunc
	ctx  context.Context
	wake chan struct{}
	lag  lagMeter

	mu      sync.Mutex // guards what follows
	loaded  bool
	reading map[string]*loadedJob // what has been read of the jobs, until they are loaded
	jobs    map[string]*job
	active  map[string]map[string]*job // by pool and ID: jobs that have not ended
	waiting map[string]map[string]*job // by pool and ID: jobs of which a task may wait for a run
	changed map[string]*job            // jobs whose progress has to be stored
	pending map[string]cancellation    // cancellations that came before their submission
	agents  map[string]*agent
	queues  map[string]*fleet.Queue // also queues that the configuration no longer has
	running map[string]fleet.Resources
	sending map[*workload.Run]bool        // runs with an order on its way
	advice  map[string]*advice            // by step
	dirty   map[string]bool               // pools in which a decision may be possible
	inflow  map[string]*scheduling.Inflow // by pool
	// tailFresh is the boot clock of a moment before which all accepted jobs are known, by partition.
	tailFresh []time.Duration
	// unreleased are the assigned runs whose starts wait for the store, and unshown the jobs whose end does.
	unreleased map[*workload.Run]bool
	unshown    map[*job]bool
	// withheld are the inherited runs that their workers do not have, and that wait for the other workers' answers.
	withheld map[*workload.Run]bool
	// forgetting means that old jobs are being dropped.
	forgetting bool
	// storedWorkers is the stored set of workers with their pools, and workersAt the boot clock of its last record.
	storedWorkers map[string]string
	workersAt     time.Duration
	// fencedAt is the boot clock from which on no earlier leader's append is accepted.
	fencedAt time.Duration
	// lastStored is the boot clock at which the last append that succeeded was sent, peersStored that of the last contact of any other entry instance to the
	// store, and peersHeard when one has told so.
	lastStored, peersStored, peersHeard time.Duration

	begunAt        time.Duration
	unstoredLogged time.Duration // boot clock
	poolsLogged    time.Duration // boot clock
	wall           time.Time     // the time of day at begunAt
	estimates      estimates
	counters       *counters
	driver         *instanceDriver
	// waveRecords is the progress of waves that an earlier leader stored.
	waveRecords map[int64]*waveRecord
	// homeSizes is the stored number of instances of each pool, nil if none is stored.
	homeSizes map[string]int
}

// cancellation is one whose job is not known yet.
type cancellation struct {
	team string
	// partitions are those in which the cancellation was seen, a bit for each.
	partitions uint64
}

// New returns a dispatcher for one term.
func New(o Options) *Dispatcher {
	d := &Dispatcher{
		Options: o, wake: make(chan struct{}, 1), jobs: map[string]*job{}, active: map[string]map[string]*job{}, waiting: map[string]map[string]*job{},
		changed: map[string]*job{}, pending: map[string]cancellation{}, agents: map[string]*agent{},
		queues: map[string]*fleet.Queue{}, running: map[string]fleet.Resources{}, sending: map[*workload.Run]bool{}, unreleased: map[*workload.Run]bool{}, unshown: map[*job]bool{}, withheld: map[*workload.Run]bool{},
		storedWorkers: map[string]string{}, waveRecords: map[int64]*waveRecord{}, advice: map[string]*advice{}, dirty: map[string]bool{},
		inflow: map[string]*scheduling.Inflow{}, reading: map[string]*loadedJob{}, counters: sharedCounters, estimates: newEstimates(),
	}
	d.driver = newInstanceDriver(d)
	return d
}

// inherited reports whether an earlier leader has worked.
func (d *Dispatcher) inherited() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.homeSizes != nil
}

// now returns the time of day at the term's beginning plus the time since. Callers may hold mu.
func (d *Dispatcher) now() time.Time { return d.at(bootclock.Now()) }

// at returns the time of day at a moment of the boot clock, counted like now. Callers may hold mu.
func (d *Dispatcher) at(boot time.Duration) time.Time { return d.wall.Add(boot - d.begunAt) }

// Run works until ctx is done or the term turns out to be over.
func (d *Dispatcher) Run(ctx context.Context) {
	ctx, d.stop = context.WithCancel(ctx)
	d.ctx = ctx
	d.begunAt, d.wall = bootclock.Now(), time.Now()
	d.lastStored = d.begunAt

	var tasks sync.WaitGroup
	defer func() {
		d.stop() // the tasks end with the term, also where the work ends by itself
		tasks.Wait()
	}()
	tasks.Go(func() { d.lag.run(ctx) })
	commit := newCommitter(d)
	fenced, ok := commit.fence(ctx)
	if !ok {
		return
	}
	d.fencedAt = bootclock.Now()
	tails, ok := d.load(ctx, fenced)
	if !ok {
		return
	}
	for _, t := range tails {
		tasks.Go(func() { t.follow(ctx) })
	}
	// What a worker reports means nothing before the jobs are known: its runs would be stopped as strangers.
	tasks.Go(func() { d.followWorkers(ctx) })
	tasks.Go(func() { d.driver.run(ctx) })
	defer d.stopAgents()
	d.decide(ctx, commit)
}

// decide alternates between decisions and appends. While a pause lasts or an append is under way, what happens gathers for the next one.
func (d *Dispatcher) decide(ctx context.Context, commit *committer) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	outcome := make(chan error, 1)
	appending := false
	var began time.Duration
	for {
		select {
		case <-ctx.Done():
			if appending {
				<-outcome
			}
			return
		case err := <-outcome:
			appending = false
			if err != nil {
				d.Log.Info().Err(err).Str("event", "term_lost").Int64("token", d.Token).Msg("the term is over")
				return
			}
		case <-d.wake:
		case <-tick.C:
			d.tick()
		}
		decided := bootclock.Now()
		d.place()
		if appending {
			d.releaseUnstored(began)
		} else if b := commit.next(); b != nil {
			appending, began = true, bootclock.Now()
			go func() { outcome <- commit.run(ctx, b) }()
		}
		sleep.For(ctx, pauseAfter(bootclock.Now()-decided))
	}
}

// pauseAfter is how long what happens gathers after a decision that took so long.
func pauseAfter(took time.Duration) time.Duration {
	pause := time.Duration(float64(took) * (1 - decisionShare) / decisionShare)
	return min(max(pause, decisionPause), maxDecisionPause)
}

// signal wakes the goroutine that decides.
func (d *Dispatcher) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// touch marks a job's progress as not stored. Callers hold mu.
func (d *Dispatcher) touch(j *job) {
	j.changed = true
	d.changed[j.ID] = j
	d.mayWait(j)
	if j.State.Ended() {
		delete(d.active[j.Pool], j.ID)
		delete(d.waiting[j.Pool], j.ID)
		if !j.visible.Ended() {
			d.unshown[j] = true
		}
	}
	d.signal()
}

// mayWait notes that a task of the job may wait for a run. Callers hold mu.
func (d *Dispatcher) mayWait(j *job) {
	d.dirty[j.Pool] = true
	if d.waiting[j.Pool] == nil {
		d.waiting[j.Pool] = map[string]*job{}
	}
	d.waiting[j.Pool][j.ID] = j
}

// tick does what time alone brings about.
func (d *Dispatcher) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expireLeases()
	now := d.now()
	for _, pool := range d.active {
		for _, j := range pool {
			if d.advance(j) {
				d.touch(j)
			}
		}
	}
	d.forget(now)
	d.logPools(now)
	for pool := range d.active {
		d.dirty[pool] = true
	}
}

// advance makes the occurrences of a job appear whose time has come, and reports whether there are any. Callers hold mu.
func (d *Dispatcher) advance(j *job) bool {
	first := j.NextOccurrence
	if first >= j.Spec.Occurrences() || !j.Advance(d.timeOfDay(j), d.Bounds.EarlyStart/2) {
		return false
	}
	d.arrived(j, first)
	return true
}

// timeOfDay is the clock by which the occurrences of a job are due.
func (d *Dispatcher) timeOfDay(j *job) time.Time {
	if j.Spec.Times > 0 {
		return time.Now()
	}
	return d.now()
}

// queue returns the queue of a job, also if the configuration no longer has it. Callers hold mu.
func (d *Dispatcher) queue(name string) *fleet.Queue {
	if c := d.Follower.Config(); c != nil {
		if q := c.Queue(name); q != nil {
			d.queues[name] = q
			return q
		}
	}
	if q := d.queues[name]; q != nil {
		return q
	}
	return &fleet.Queue{Name: name, Attempts: 1, Stretch: 1}
}

// charge adds to or takes from what a team has running. Callers hold mu.
func (d *Dispatcher) charge(team string, r fleet.Resources, sign int64) {
	if team == "" {
		return
	}
	u := d.running[team]
	u.CPUMilli += sign * r.CPUMilli
	u.MemoryMB += sign * r.MemoryMB
	u.GPU += sign * r.GPU
	d.running[team] = u
}
