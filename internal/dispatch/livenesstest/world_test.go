package livenesstest

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"pollenlead/internal/dispatch"
	"pollenlead/internal/fleet"
	"pollenlead/internal/follow"
	"pollenlead/internal/store"
	"pollenlead/internal/workload"
)

const (
	heartbeat   = 1500 * time.Millisecond
	observation = 100 * time.Millisecond
	partitions  = 3
	team        = "team"
	attempts    = 3

	topicJobs, topicProgress, topicWorkers, topicOperator = "jobs", "progress", "servers", "op"
)

// modelLimits are the store's limits of size, in the ratio of the platform's and small enough for jobs of a hundred
// tasks.
var modelLimits = store.Limits{Record: 4 << 10, Call: 32 << 10}

// world is the state of the models during one scenario.
type world struct {
	scenario scenario
	store    *storeModel
	follower *follow.Follower

	mu         sync.Mutex // guards the fields below
	workers    map[string]*workerModel
	darkCalls  int // calls to workers that are dark
	jobs       map[string]*jobModel
	violations []string
	changed    chan struct{} // closed and replaced when a run ends
	pools      map[string]string
	version    int64
	token      int64
	leader     *dispatch.Dispatcher
	cancel     context.CancelFunc
	disrupted  time.Time // end of the last disruption
	// storeDisrupted is the end of the last disruption of the store or of the leaders.
	storeDisrupted time.Time
	counts         counts
	leaders        sync.WaitGroup
}

// jobModel is an accepted job as the oracle knows it.
type jobModel struct {
	id        string
	queue     string
	spec      *fleet.JobSpec
	accepted  time.Time
	cancelled time.Time
	began     bool
	failed    bool // a task has used up its attempts
	// stalledSince is the time since which the job has had nothing left but tasks whose end the leader may not have read.
	stalledSince time.Time
	// completeSince is the time since which all tasks have been done.
	completeSince time.Time
	items         map[string]*itemModel
	// open is the number of tasks that are not done, by occurrence and step.
	open map[[2]int]int
}

// itemModel is one task of an occurrence.
type itemModel struct {
	job                     *jobModel
	task                    string
	occurrence, step, index int
	spec                    *fleet.Step
	duration                time.Duration // 0 for a task that lasts
	done, acknowledged      bool
	// unsure means that its worker was lost with an end that the leader may have read or not.
	unsure       bool
	failures     int
	lastEnd      time.Time
	waitingSince time.Time
	checkpoints  map[string]bool
	savedWork    map[string]time.Duration
	siblings     []*itemModel // all tasks of the step and occurrence
}

func (i *itemModel) name() string { return i.task }

func (i *itemModel) sameGang(o *itemModel) bool {
	return i.job == o.job && i.occurrence == o.occurrence && i.step == o.step
}

// setDone sets whether the task is done.
func (i *itemModel) setDone(done bool) {
	if done != i.done {
		i.job.open[[2]int{i.occurrence, i.step}] += map[bool]int{true: -1, false: 1}[done]
	}
	i.done = done
}

// ready reports whether all steps on which the task depends are done.
func (i *itemModel) ready() bool {
	for _, d := range i.spec.DependsOn {
		if i.job.open[[2]int{i.occurrence, d}] > 0 {
			return false
		}
	}
	return true
}

// gang returns the tasks for which a checkpoint of the task is valid.
func (i *itemModel) gang() []*itemModel {
	if i.spec.Gang {
		return i.siblings
	}
	return []*itemModel{i}
}

func newWorld(s scenario) *world {
	x := &world{
		scenario: s, store: newStoreModel(modelLimits), workers: map[string]*workerModel{}, jobs: map[string]*jobModel{},
		changed: make(chan struct{}), pools: maps.Clone(s.Queues), counts: counts{},
	}
	x.follower = follow.New(x.store, follow.Decoder{
		Topic: topicOperator, ConfigKey: "config", Config: decodeConfig, IsWave: func(string) bool { return false },
	}, zerolog.Nop())
	return x
}

func decodeConfig(value []byte) (*fleet.Config, error) {
	var c fleet.Config
	if err := json.Unmarshal(value, &c); err != nil {
		return nil, err
	}
	c.Index()
	return &c, nil
}

func (x *world) violate(format string, args ...any) {
	if len(x.violations) < 20 {
		x.violations = append(x.violations, fmt.Sprintf(format, args...))
	}
}

// notify wakes the waiting renewals. Callers hold mu.
func (x *world) notify() {
	close(x.changed)
	x.changed = make(chan struct{})
}

// publish publishes a configuration with the present pools of the queues. Callers hold mu.
func (x *world) publish() {
	x.version++
	c := fleet.Config{Version: x.version, Pools: []fleet.Pool{
		{Name: "p0", EnforcesCapacity: true}, {Name: "p1", EnforcesCapacity: true},
	}, Teams: []fleet.Team{{Name: team, Keys: []string{"key"}, Share: 1}}}
	for _, name := range slices.Sorted(maps.Keys(x.pools)) {
		c.Queues = append(c.Queues, fleet.Queue{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Pool: x.pools[name], Attempts: attempts, Stretch: 2,
		})
	}
	value, _ := json.Marshal(c)
	x.store.put(topicOperator, 0, "config", value)
}

// writeEntry writes the entry of a worker. Callers hold mu.
func (x *world) writeEntry(w *workerModel) {
	w.sequence++
	value, _ := json.Marshal(fleet.WorkerEntry{
		ID: w.id, Pool: w.pool, Address: w.id, Capacity: w.capacity, Labels: w.labels, Rack: w.labels[len(w.labels)-1],
		Incarnation: w.incarnation, Sequence: w.sequence, Draining: w.draining,
	})
	x.store.put(topicWorkers, 0, w.id, value)
}

func decodeEntry(_ string, value []byte) (*fleet.WorkerEntry, error) {
	var e fleet.WorkerEntry
	return &e, json.Unmarshal(value, &e)
}

// lead begins a term. Callers hold mu.
func (x *world) lead(ctx context.Context) {
	x.token++
	d := dispatch.New(dispatch.Options{
		Store: x.store, Workers: client{x}, Instances: instancesModel{x}, Follower: x.follower, JobTopic: topicJobs, JobPartitions: partitions,
		ProgressTopic: topicProgress, WorkerTopic: topicWorkers, StatusTopic: "status", DecodeEntry: decodeEntry,
		// The term is never confirmed, so that no instance is moved or maintained.
		LastConfirmed: func() time.Duration { return 0 },
		StoreLimits:   modelLimits, Token: x.token, Log: x.scenario.log(),
		Reservations: x.scenario.Seed%2 == 0,
		Bounds: fleet.Bounds{
			MaxLease: maxLease, MaxStopTime: 400 * time.Millisecond, StatusRetention: 2 * time.Minute,
			EarlyStart: 250 * time.Millisecond, Heartbeat: heartbeat,
		},
	})
	ctx, x.cancel = context.WithCancel(ctx)
	x.leader = d
	x.leaders.Go(func() { d.Run(ctx) })
}

// submit accepts a job.
func (x *world) submit(j *jobModel) {
	now := time.Now()
	value, _ := json.Marshal(workload.Submission{
		Queue: j.queue, Pool: x.pools[j.queue], Team: team, AtMillis: now.UnixMilli(), Spec: j.spec,
	})
	j.accepted = now
	x.jobs[j.id] = j
	x.store.put(topicJobs, len(x.jobs)%partitions, workload.SubmissionKey(j.id), value)
	if len(x.jobs)%3 == 0 {
		x.cancelByOthers(j)
	}
}

// cancelJob cancels a job. Other clients cancel the same ID right after its owner.
func (x *world) cancelJob(j *jobModel) {
	j.cancelled = time.Now()
	x.putCancellation(j.id, workload.Cancellation{Queue: j.queue, Team: team})
	x.cancelByOthers(j)
}

// cancelByOthers has clients of another team and of another queue cancel the ID of a job. They have no such job.
func (x *world) cancelByOthers(j *jobModel) {
	x.putCancellation(j.id, workload.Cancellation{Queue: j.queue, Team: "other"})
	x.putCancellation(j.id, workload.Cancellation{Queue: "other", Team: team})
}

// putCancellation stores a cancellation as entry instances do: under the key of its client, and under the one that all
// clients share.
func (x *world) putCancellation(id string, c workload.Cancellation) {
	value, _ := json.Marshal(c)
	x.store.put(topicJobs, 0, c.Key(id), value)
	x.store.put(topicJobs, 0, workload.CancelKey(id), value)
}

// item returns a task by its name. Callers hold mu.
func (x *world) item(name string) *itemModel {
	id, occurrence, step, index, err := workload.ParseTaskName(name)
	if j := x.jobs[id]; err == nil && j != nil {
		return j.items[workload.TaskName("", occurrence, step, index)]
	}
	return nil
}

// newJobModel returns a job with its tasks.
func newJobModel(id, queue string, spec *fleet.JobSpec, durations []time.Duration) *jobModel {
	j := &jobModel{id: id, queue: queue, spec: spec, items: map[string]*itemModel{}, open: map[[2]int]int{}}
	for k := range spec.Occurrences() {
		for s := range spec.Steps {
			var siblings []*itemModel
			j.open[[2]int{k, s}] = spec.Steps[s].Count
			for n := range spec.Steps[s].Count {
				i := &itemModel{
					job: j, task: workload.TaskName(id, k, s, n), occurrence: k, step: s, index: n,
					spec: &spec.Steps[s], duration: durations[s],
					checkpoints: map[string]bool{}, savedWork: map[string]time.Duration{},
				}
				j.items[workload.TaskName("", k, s, n)] = i
				siblings = append(siblings, i)
			}
			for _, i := range siblings {
				i.siblings = siblings
			}
		}
	}
	return j
}
