// Package dispatch runs the leader's control loops. It reads accepted jobs, asks workers which runs they have,
// assigns waiting tasks to workers, stores each assignment before it sends the start, renews the workers' leases, and
// stores the ends of runs before it acknowledges them. It also moves instances between pools and carries out
// maintenance waves. The decisions are made by packages scheduling and workload.
package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/follow"
	"pollenlead/internal/instances"
	"pollenlead/internal/overload"
	"pollenlead/internal/scheduling"
	"pollenlead/internal/sleep"
	"pollenlead/internal/store"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

const (
	// leaseDuration is the lease that each renewal grants for all tasks of a worker. It is longer than a change of
	// leader takes. The tasks of a worker that stops answering cannot start elsewhere until it has expired.
	leaseDuration = 4 * time.Second
	// maxClockDrift is the largest fraction by which a worker's clock may run slower than the leader's.
	maxClockDrift = 0.02
	// leaseMargin covers rounding and the time that a worker takes to end tasks whose lease has expired.
	leaseMargin = 100 * time.Millisecond
	// storeContactTimeout is how long after its last contact with the store the leader still renews leases. A new
	// leader adds it to the lease of a worker that does not answer, because its predecessor may have renewed the
	// lease for as long.
	storeContactTimeout = 6 * time.Second
	// tickInterval is the interval between checks for changes that are due to time alone.
	tickInterval = 100 * time.Millisecond
	// minDecisionDelay is the shortest delay between two decisions, and decisionShare the share of time that
	// decisions may take. A decision examines every waiting job of a pool. Without a delay, a backlog would take the
	// leader's whole processor, because each end and each submission triggers a decision.
	minDecisionDelay = 2 * time.Millisecond
	decisionShare    = 0.25
	// maxDecisionDelay bounds the delay after a long decision.
	maxDecisionDelay = 120 * time.Millisecond
	// endedRetentionMargin is added to the period for which the state of an ended job has to be available.
	endedRetentionMargin = 10 * time.Second
)

// Advisor selects the workers that may run a step.
type Advisor interface {
	Advise(ctx context.Context, step string, workers []string) (worker.Advice, error)
}

// Options configures a dispatcher.
type Options struct {
	Store   store.Store
	Workers worker.Client
	Advisor Advisor
	// Instances moves and maintains instances. It is nil if the deployment has no instances service.
	Instances instances.Service
	Follower  *follow.Follower
	Bounds    fleet.Bounds
	// JobTopic holds submissions and cancellations, in JobPartitions partitions.
	JobTopic      string
	JobPartitions int
	// StoreLimits limits the size of what is stored. Its zero value stands for store.DefaultLimits.
	StoreLimits store.Limits
	// ProgressTopic holds the leader's records, and WorkerTopic the workers' entries.
	ProgressTopic, WorkerTopic string
	// StatusTopic receives the status of maintenance waves for the operator.
	StatusTopic string
	DecodeEntry func(id string, value []byte) (*fleet.WorkerEntry, error)
	WaveStatus  func(wave int64, done bool) (key string, value []byte)
	// Token is the term's fencing token.
	Token int64
	// LastConfirmed returns the boot clock of a moment until which no other term had begun. Nil stands for the present
	// time.
	LastConfirmed func() time.Duration
	// JobBudget returns how much memory the state of jobs may take. Nil stands for no limit.
	JobBudget func() JobBudget
	// Reservations keeps workers free for tasks that fit on none yet.
	Reservations bool
	Log          zerolog.Logger
}

// job is a job with the dispatcher's bookkeeping on its record.
type job struct {
	*workload.Job
	// changed means that the current progress is not stored.
	changed bool
	// published is the state that clients may see. An end is published once it is stored, with the job's progress or in a
	// spare partition.
	published workload.State
	// firstStart is the time from the acceptance to the first assignment, readAfter the time until this leader had read
	// the submission, and objective the time in which the job should be done according to its estimates.
	firstStart, readAfter, objective time.Duration
	// failures is the number of the job's runs that did not end done.
	failures int
	// partitions is a bit set of the partitions in which the job's submission or cancellation was read.
	partitions uint64
	// cancelKeys holds the keys of the job's own cancellations in the store.
	cancelKeys []string
	// excess means that the job is beyond its team's share of jobs per second.
	excess bool
	// endedBefore means that the job had ended when the term began.
	endedBefore bool
	// unstorableUntil is the boot clock until which nothing of the job is started, because the store refused its progress.
	unstorableUntil time.Duration
	// removalSentAt is the boot clock at which the removal of the expired job's submissions was last sent; 0 if it was
	// not.
	removalSentAt time.Duration
	// blockedRank is the rank of the job's step that was found to fit on no worker.
	blockedRank blockedRank
}

// Dispatcher runs the leader's control loops during one term.
type Dispatcher struct {
	Options
	// stop ends the term. It is called when a higher fencing token is seen.
	stop context.CancelFunc
	ctx  context.Context
	wake chan struct{}
	lag  lagMeter

	// publishedOverload is the last overload state, which a heartbeat repeats while mu is not available.
	publishedOverload atomic.Pointer[publishedOverload]
	// publishedRoom is the last room for jobs, which a heartbeat repeats likewise.
	publishedRoom atomic.Pointer[publishedRoom]

	mu             sync.Mutex // guards the fields below
	loaded         bool
	loadedJobs     map[string]*loadedJob        // submissions by job ID; nil once the jobs are loaded
	loadedParts    map[string]map[string][]byte // parts of jobs' progress by job ID and key, while the jobs are loaded
	obsoleteKeys   []string                     // keys of parts to be removed whose jobs are not known any more
	jobs           map[string]*job
	active         map[string]map[string]*job // by pool and ID: jobs that have not ended
	waiting        map[string]map[string]*job // by pool and ID: jobs with a task that may wait for a run
	blocked        []blockedStep              // of the decision in progress
	changed        map[string]*job            // jobs whose progress has to be stored, or removed if nil
	pendingCancels pendingCancels
	agents         map[string]*agent
	queues         map[string]*fleet.Queue // including queues removed from the configuration
	routing        *fleet.Config           // the configuration by which open jobs were last assigned to pools
	evacuated      []string                // evacuated availability zones, as last applied to the assignments
	running        map[string]fleet.Resources
	endedUnheard   map[string]*job               // jobs that were cancelled or failed before all workers had answered
	ordersInFlight map[*workload.Run]bool        // runs with a start or stop in flight
	advice         map[string]*advice            // by step
	dirty          map[string]bool               // pools to examine in the next decision
	inflow         map[string]*scheduling.Inflow // by pool
	// jobsReadAt is, by partition, the boot clock of a moment before which all accepted jobs have been read.
	jobsReadAt []time.Duration
	// unreleased holds the assigned runs whose starts wait for the store, and unpublished the jobs whose end is not
	// stored with their progress.
	unreleased  map[*workload.Run]bool
	unpublished map[*job]bool
	// spareEnds holds the ends of jobs, by ID, that spare partitions may hold.
	spareEnds map[string]*spareEnd
	// entriesRead means that all entries of workers have been read once.
	entriesRead bool
	// spareEndsRead means that the ends in all spare partitions are restored. Nothing is started before.
	spareEndsRead bool
	// withheld holds the inherited runs that their workers do not list. They are started after the other workers of
	// the pool have answered.
	withheld map[*workload.Run]bool
	// removingJobs means that removals of expired jobs' submissions are being appended.
	removingJobs bool
	// storedWorkers is the stored set of workers with their pools, and workersAt the boot clock of its last record.
	storedWorkers map[string]string
	workersAt     time.Duration
	// storedQueuePools holds the stored pools, by queue, in which jobs of the queue may have unstored runs.
	storedQueuePools map[string][]string
	// fencedAt is the boot clock from which the store accepts no append of an earlier leader.
	fencedAt time.Duration
	// lastStored is the boot clock at which the last successful append was sent.
	lastStored time.Duration

	bootStart      time.Duration
	unstoredLogged time.Duration // boot clock
	poolsLogged    time.Duration // boot clock
	wallStart      time.Time     // the time of day at bootStart
	estimates      estimates
	counters       *counters
	rates          *overload.Rates
	overload       overload.State // what the entry instances refuse
	// jobMemoryScarce means that the state of jobs takes much of its budget.
	jobMemoryScarce bool
	entryLog        entryLog
	driver          *instanceDriver
	// waveRecords holds the progress of waves as an earlier leader stored it.
	waveRecords map[int64]*waveRecord
	// waveCordons holds the workers of the instances that waves drain or maintain. A worker without an entry is forgotten
	// and known again when its entry appears, and is cordoned then as well.
	waveCordons map[string]bool
	// homeSizes is the stored home size of each pool, its original number of instances; nil if none is stored.
	homeSizes map[string]int
}

// New returns a dispatcher for one term.
func New(o Options) *Dispatcher {
	if o.StoreLimits == (store.Limits{}) {
		o.StoreLimits = store.DefaultLimits
	}
	d := &Dispatcher{
		Options: o, wake: make(chan struct{}, 1), jobs: map[string]*job{},
		active: map[string]map[string]*job{}, waiting: map[string]map[string]*job{},
		changed: map[string]*job{}, agents: map[string]*agent{},
		pendingCancels: pendingCancels{byID: map[string][]cancellation{}},
		queues:         map[string]*fleet.Queue{}, running: map[string]fleet.Resources{},
		endedUnheard:   map[string]*job{},
		ordersInFlight: map[*workload.Run]bool{}, unreleased: map[*workload.Run]bool{},
		spareEnds: map[string]*spareEnd{}, unpublished: map[*job]bool{}, withheld: map[*workload.Run]bool{},
		storedWorkers:    map[string]string{},
		storedQueuePools: map[string][]string{},
		waveRecords:      map[int64]*waveRecord{}, advice: map[string]*advice{}, dirty: map[string]bool{},
		inflow: map[string]*scheduling.Inflow{}, loadedJobs: map[string]*loadedJob{},
		loadedParts: map[string]map[string][]byte{},
		counters:    sharedCounters, estimates: newEstimates(), rates: overload.NewRates(),
	}
	d.driver = newInstanceDriver(d)
	return d
}

// hasPredecessor reports whether an earlier leader has worked, which stores the home sizes first.
func (d *Dispatcher) hasPredecessor() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.homeSizes != nil
}

// now returns the time of day at the start of the term plus the time since. Callers may hold mu.
func (d *Dispatcher) now() time.Time { return d.at(bootclock.Now()) }

// at converts a reading of the boot clock to the time scale of now. Callers may hold mu.
func (d *Dispatcher) at(boot time.Duration) time.Time { return d.wallStart.Add(boot - d.bootStart) }

// Run runs the control loops until ctx is done or the term has ended.
func (d *Dispatcher) Run(ctx context.Context) {
	ctx, d.stop = context.WithCancel(ctx)
	d.ctx = ctx
	d.bootStart, d.wallStart = bootclock.Now(), time.Now()
	d.lastStored = d.bootStart

	var tasks sync.WaitGroup
	defer func() {
		d.stop() // the goroutines end with the term, even if ctx is not done
		tasks.Wait()
	}()
	tasks.Go(func() { d.lag.run(ctx) })
	commit := newCommitter(d, 0)
	fenced, ok := commit.fence(ctx)
	if !ok {
		return
	}
	d.fencedAt = bootclock.Now()
	opened := make(chan []*committer, 1)
	tasks.Go(func() { opened <- d.openSparePartitions(ctx) })
	tails, ok := d.load(ctx, fenced)
	if !ok {
		return
	}
	tasks.Go(func() { d.runSpareEnds(ctx, <-opened) })
	for _, t := range tails {
		tasks.Go(func() { t.follow(ctx) })
	}
	d.awaitOperatorRecords(ctx)
	// Workers are followed only after the jobs are loaded: otherwise their runs would be stopped as unassigned.
	tasks.Go(func() { d.followWorkers(ctx) })
	tasks.Go(func() { d.driver.run(ctx) })
	defer d.stopRenewals()
	defer d.counters.evacuationWaits.Set(0)
	d.decide(ctx, commit)
}

// decide alternates between decisions and appends. Events that arrive during a delay or an append are handled
// together by the next decision.
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
				d.Log.Info().Err(err).Str("event", "term_lost").Int64("token", d.Token).Msg("term ended")
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
		sleep.For(ctx, decisionDelay(bootclock.Now()-decided))
	}
}

// decisionDelay returns how long events are collected after a decision that took the given time.
func decisionDelay(took time.Duration) time.Duration {
	pause := time.Duration(float64(took) * (1 - decisionShare) / decisionShare)
	return min(max(pause, minDecisionDelay), maxDecisionDelay)
}

// signal wakes the goroutine that runs decide.
func (d *Dispatcher) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// markChanged marks a job's progress as not stored. Callers hold mu.
func (d *Dispatcher) markChanged(j *job) {
	j.changed = true
	d.changed[j.ID] = j
	d.markWaiting(j)
	if j.State.Ended() {
		delete(d.active[j.Pool], j.ID)
		delete(d.waiting[j.Pool], j.ID)
		d.noteEnded(j)
		if !j.published.Ended() {
			d.unpublished[j] = true
		}
	}
	d.signal()
}

// markWaiting records that a task of the job may wait for a run. Callers hold mu.
func (d *Dispatcher) markWaiting(j *job) {
	d.dirty[j.Pool] = true
	if d.waiting[j.Pool] == nil {
		d.waiting[j.Pool] = map[string]*job{}
	}
	d.waiting[j.Pool][j.ID] = j
}

// tick handles the changes that are due to time alone.
func (d *Dispatcher) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expireLeases()
	d.dropUnclaimed()
	d.followQueues()
	d.followEvacuations()
	now := d.now()
	for _, pool := range d.active {
		for _, j := range pool {
			if d.advance(j) {
				d.markChanged(j)
			}
		}
	}
	d.removeExpiredJobs(now)
	d.logPools(now)
	for pool := range d.active {
		d.dirty[pool] = true
	}
}

// advance creates the occurrences of a job that have become due, and reports whether there are any. Callers hold mu.
func (d *Dispatcher) advance(j *job) bool {
	first := j.NextOccurrence
	if first >= j.Spec.Occurrences() || !j.Advance(d.occurrenceClock(j), d.Bounds.EarlyStart/2) {
		return false
	}
	d.noteAdded(j, first)
	return true
}

// addReported adds the occurrences of a job up to one of which a worker reports something. An earlier leader has begun
// it, although others may still wait. Callers hold mu.
func (d *Dispatcher) addReported(j *job, occurrence int) {
	first := j.NextOccurrence
	if !j.AdvanceTo(occurrence, d.occurrenceClock(j), d.Bounds.EarlyStart/2) {
		return
	}
	d.markChanged(j)
	d.noteAdded(j, first)
}

// noteAdded handles the occurrences of a job that have been added, which begin with the number first. Callers hold mu.
func (d *Dispatcher) noteAdded(j *job, first int) {
	d.recordInflow(j, first)
	d.claim(j.ID)
}

// occurrenceClock returns the present time on the clock by which the occurrences of a job become due.
func (d *Dispatcher) occurrenceClock(j *job) time.Time {
	if j.Spec.Times > 0 {
		return time.Now()
	}
	return d.now()
}

// addTeamUsage adds r to the resources in use by a team, or subtracts it if sign is -1. Callers hold mu.
func (d *Dispatcher) addTeamUsage(team string, r fleet.Resources, sign int64) {
	if team == "" {
		return
	}
	u := d.running[team]
	u.CPUMilli += sign * r.CPUMilli
	u.MemoryMB += sign * r.MemoryMB
	u.GPU += sign * r.GPU
	d.running[team] = u
}
