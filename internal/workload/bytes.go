package workload

import (
	"unsafe"

	"pollenlead/internal/fleet"
)

// Sizes of the state of jobs in memory, in bytes.
const (
	pointerBytes = int64(unsafe.Sizeof(uintptr(0)))
	// jobBytes is a job without its spec: its values here and in the dispatcher, its ID, and its entries in maps.
	jobBytes = 1024
	// endedJobBytes is a job of which only the state is kept.
	endedJobBytes   = 768
	occurrenceBytes = int64(unsafe.Sizeof(Occurrence{})) + 2*pointerBytes
	stepBytes       = int64(unsafe.Sizeof(Step{})) + 2*pointerBytes
	taskBytes       = int64(unsafe.Sizeof(Task{}))
	partBytes       = int64(unsafe.Sizeof(part{}))
	// runBytes is a run with its entries in the maps of the dispatcher.
	runBytes = int64(unsafe.Sizeof(Run{})) + 256
)

// Bytes returns what the job takes in memory.
func (j *Job) Bytes() int64 { return j.bytes }

// AcceptedBytes returns what a job of the given spec takes in memory until a task is assigned.
func AcceptedBytes(spec *fleet.JobSpec) int64 {
	waiting := int64(min(spec.Occurrences(), maxWaitingOccurrences))
	return jobBytes + specBytes(spec) + waiting*bytesOfOccurrence(spec)
}

// bytesOfOccurrence returns what an occurrence takes of which no task is held.
func bytesOfOccurrence(spec *fleet.JobSpec) int64 {
	n := occurrenceBytes
	for i := range spec.Steps {
		n += stepBytes + int64(partCount(spec.Steps[i].Count))*partBytes
	}
	return n
}

func specBytes(spec *fleet.JobSpec) int64 {
	n := int64(unsafe.Sizeof(*spec)) + int64(len(spec.Spec))
	for i := range spec.Steps {
		s := &spec.Steps[i]
		n += int64(unsafe.Sizeof(*s)) + int64(len(s.RequiredLabel)+len(s.DataRack)+len(s.Image))
		n += int64(cap(s.DependsOn)) * pointerBytes
	}
	return n
}

// Compact forgets what is no longer needed of a job that has ended, has no runs and whose end is stored. Its records
// can still be removed from the store.
func (j *Job) Compact() {
	if !j.State.Ended() || j.compact || len(j.PartKeys()) > 0 || j.hasRuns() {
		return
	}
	j.compact = true
	j.Spec, j.Occurrences, j.takenHead = &fleet.JobSpec{}, nil, nil
	j.bytes = endedJobBytes
}

// hasRuns reports whether a task of the occurrences in progress has a run.
func (j *Job) hasRuns() bool {
	found := false
	j.EachTask(func(t *Task) { found = found || len(t.Runs) > 0 })
	return found
}
