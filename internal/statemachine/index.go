package statemachine

import (
	"cmp"
	"slices"
)

// index answers questions whose cost would otherwise grow with the number of jobs or instances. It is derived from the
// data and not encoded; Restore builds it again.
type index struct {
	// open has the unfinished jobs by holder and ID. Jobs without a holder are under "".
	open map[string]map[string]*Job
	// jobBytes is about how much of the encoded state all jobs take.
	jobBytes int
	// started counts the started jobs by holder.
	started map[string]*startedCounts
	// startedChanged is the offset after the last record that changed the started jobs of an open session.
	startedChanged map[string]uint64
	// at is the offset after the record that is being applied.
	at uint64
	// sorted has the holders of the open sessions in order.
	sorted []string
	// targets has the target of each holder, in the order of sorted, by the names of teamResource and poolResource.
	targets map[string][]int
	// members has the instances of each pool, ordered by ID.
	members map[string][]*Instance
}

// startedCounts counts the started jobs of one holder; entries of zero are removed.
type startedCounts struct {
	teams, instances map[string]int
	// adoptedTeams and adoptedInstances count only those that an earlier holder started and that may still run.
	adoptedTeams, adoptedInstances map[string]int
}

func newStartedCounts() *startedCounts {
	return &startedCounts{
		teams: map[string]int{}, instances: map[string]int{},
		adoptedTeams: map[string]int{}, adoptedInstances: map[string]int{},
	}
}

// noStartedJobs is the count of holders without a started job. It is never written to.
var noStartedJobs = newStartedCounts()

func newIndex() index {
	return index{
		open:           map[string]map[string]*Job{},
		started:        map[string]*startedCounts{},
		startedChanged: map[string]uint64{},
		targets:        map[string][]int{},
		members:        map[string][]*Instance{},
	}
}

// buildIndex derives the index from the data.
func buildIndex(d *data) index {
	x := newIndex()
	x.sorted = sortedKeys(d.Sessions)
	for _, job := range d.Jobs {
		x.addJob(job)
	}
	for _, id := range sortedKeys(d.Instances) {
		x.addMember(d.Instances[id])
	}
	return x
}

// addJob adds a job under its holder and state. It must be removed before either is changed.
func (x *index) addJob(job *Job) {
	x.jobBytes += encodedBytes(job)
	if job.Finished() {
		return
	}
	jobs, ok := x.open[job.Holder]
	if !ok {
		jobs = map[string]*Job{}
		x.open[job.Holder] = jobs
	}
	jobs[job.ID] = job
	x.countStarted(job, 1)
}

func (x *index) removeJob(job *Job) {
	x.jobBytes -= encodedBytes(job)
	if job.Finished() {
		return
	}
	delete(x.open[job.Holder], job.ID)
	if len(x.open[job.Holder]) == 0 {
		delete(x.open, job.Holder)
	}
	x.countStarted(job, -1)
}

func (x *index) countStarted(job *Job, n int) {
	if job.State != JobStarted {
		return
	}
	x.startedChanged[job.Holder] = x.at
	counts, ok := x.started[job.Holder]
	if !ok {
		counts = newStartedCounts()
		x.started[job.Holder] = counts
	}
	addCount(counts.teams, job.Team, n)
	addCount(counts.instances, job.Instance, n)
	if job.Adopted && !job.Lapsed {
		addCount(counts.adoptedTeams, job.Team, n)
		addCount(counts.adoptedInstances, job.Instance, n)
	}
	if len(counts.teams) == 0 {
		delete(x.started, job.Holder)
	}
}

func addCount(counts map[string]int, name string, n int) {
	counts[name] += n
	if counts[name] == 0 {
		delete(counts, name)
	}
}

// startedOf returns the started jobs of holder, whose allotments must stay. The caller must not change the answer.
func (x *index) startedOf(holder string) *startedCounts {
	if counts, ok := x.started[holder]; ok {
		return counts
	}
	return noStartedJobs
}

func (x *index) addMember(instance *Instance) {
	members := x.members[instance.Pool]
	at, _ := findMember(members, instance.Facts.ID)
	x.members[instance.Pool] = slices.Insert(members, at, instance)
}

func (x *index) removeMember(instance *Instance) {
	members := x.members[instance.Pool]
	at, ok := findMember(members, instance.Facts.ID)
	if !ok {
		return
	}
	if len(members) == 1 {
		delete(x.members, instance.Pool)
		return
	}
	x.members[instance.Pool] = slices.Delete(members, at, at+1)
}

func findMember(members []*Instance, id string) (int, bool) {
	return slices.BinarySearchFunc(members, id, func(i *Instance, id string) int { return cmp.Compare(i.Facts.ID, id) })
}
