package statemachine

import (
	"cmp"
	"slices"
)

// index speeds up queries whose cost would otherwise grow with the number of jobs or instances. It is derived from the
// encoded state and not encoded itself; Restore rebuilds it.
type index struct {
	// openJobs contains the unfinished jobs by holder and ID. Jobs without a holder are stored under "".
	openJobs map[string]map[string]*Job
	// jobBytes is the estimated size of all jobs in the encoded state.
	jobBytes int
	// startedByHolder counts the started jobs by holder.
	startedByHolder map[string]*startedCounts
	// startedChanged is the offset after the last record that changed the started jobs of an open session.
	startedChanged map[string]uint64
	// nextOffset is the offset after the record that is being applied.
	nextOffset uint64
	// sortedHolders contains the holders of the open sessions in order.
	sortedHolders []string
	// targets contains the target of each holder by resource, in the order of sortedHolders. The names of the resources
	// come from teamResource and poolResource.
	targets map[string][]int
	// members contains the instances of each pool, ordered by ID.
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

// noStartedJobs is shared by all holders without a started job. It must not be changed.
var noStartedJobs = newStartedCounts()

func newIndex() index {
	return index{
		openJobs:        map[string]map[string]*Job{},
		startedByHolder: map[string]*startedCounts{},
		startedChanged:  map[string]uint64{},
		targets:         map[string][]int{},
		members:         map[string][]*Instance{},
	}
}

// buildIndex derives the index from the encoded state.
func buildIndex(d *encodedState) index {
	x := newIndex()
	x.sortedHolders = sortedKeys(d.Sessions)
	for _, job := range d.Jobs {
		x.addJob(job)
	}
	for _, id := range sortedKeys(d.Instances) {
		x.addMember(d.Instances[id])
	}
	return x
}

// addJob adds a job to the index. The caller must call removeJob before it changes a field of the job and addJob
// afterwards.
func (x *index) addJob(job *Job) {
	x.jobBytes += estimateJobBytes(job)
	if job.Finished() {
		return
	}
	jobs, ok := x.openJobs[job.Holder]
	if !ok {
		jobs = map[string]*Job{}
		x.openJobs[job.Holder] = jobs
	}
	jobs[job.ID] = job
	x.countStarted(job, 1)
}

func (x *index) removeJob(job *Job) {
	x.jobBytes -= estimateJobBytes(job)
	if job.Finished() {
		return
	}
	delete(x.openJobs[job.Holder], job.ID)
	if len(x.openJobs[job.Holder]) == 0 {
		delete(x.openJobs, job.Holder)
	}
	x.countStarted(job, -1)
}

func (x *index) countStarted(job *Job, n int) {
	if job.State != JobStarted {
		return
	}
	x.startedChanged[job.Holder] = x.nextOffset
	counts, ok := x.startedByHolder[job.Holder]
	if !ok {
		counts = newStartedCounts()
		x.startedByHolder[job.Holder] = counts
	}
	addCount(counts.teams, job.Team, n)
	addCount(counts.instances, job.Instance, n)
	if job.Adopted && !job.LeaseExpired {
		addCount(counts.adoptedTeams, job.Team, n)
		addCount(counts.adoptedInstances, job.Instance, n)
	}
	if len(counts.teams) == 0 {
		delete(x.startedByHolder, job.Holder)
	}
}

func addCount(counts map[string]int, name string, n int) {
	counts[name] += n
	if counts[name] == 0 {
		delete(counts, name)
	}
}

// startedOf returns the counts of the started jobs of holder, whose units and slots cannot be released. The caller must
// not change the result.
func (x *index) startedOf(holder string) *startedCounts {
	if counts, ok := x.startedByHolder[holder]; ok {
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
