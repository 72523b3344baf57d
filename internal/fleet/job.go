package fleet

import "time"

// JobSpec is a job as its team submitted it.
type JobSpec struct {
	// Spec is passed to the workers unchanged.
	Spec  string
	Steps []Step
	// Times is the number of occurrences of a scheduled job, 0 for a job that runs once.
	Times int
	// FirstAt is the due time of the first occurrence, and Every the interval between occurrences.
	FirstAt time.Time
	Every   time.Duration
}

// Occurrences returns the number of times that the steps run.
func (s *JobSpec) Occurrences() int { return max(s.Times, 1) }

// maxSchedule bounds the time from the first occurrence to the due time of any other one.
const maxSchedule = 100 * 365 * 24 * time.Hour

// DueAt returns the due time of an occurrence, or zero for a job without a schedule. An interval so long that the due
// time would overflow must not make the occurrence due at once.
func (s *JobSpec) DueAt(occurrence int) time.Time {
	if s.Times == 0 {
		return time.Time{}
	}
	if occurrence > 0 && s.Every > maxSchedule/time.Duration(occurrence) {
		return s.FirstAt.Add(maxSchedule)
	}
	return s.FirstAt.Add(time.Duration(occurrence) * s.Every)
}

// Tasks returns the number of tasks of one occurrence.
func (s *JobSpec) Tasks() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// LongRunning reports whether the job has a step that runs until the job is cancelled.
func (s *JobSpec) LongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Step is a set of identical tasks.
type Step struct {
	Count    int
	Need     Resources
	Estimate time.Duration
	// DependsOn holds the indices of the earlier steps whose tasks must all be done first.
	DependsOn []int
	// Checkpoints means that the tasks save checkpoints of their progress.
	Checkpoints bool
	// Gang means that all tasks of the step run together with one run number and end together.
	Gang bool
	// SameRack means that the tasks run slower when they are spread over several racks.
	SameRack bool
	// RequiredLabel is a label that the worker must have, or "" if none is required.
	RequiredLabel string
	// DataRack is the rack on which the tasks run fastest, or "" if there is none.
	DataRack string
	// MaxPerWorker is the maximum number of tasks of one occurrence of the step on one worker; 0 means no limit.
	MaxPerWorker int
	// AllowCopies means that several runs of one task may be active at the same time.
	AllowCopies bool
	// LongRunning means that the tasks run until the job is cancelled, and are restarted whenever they end.
	LongRunning bool
	// Image is the name of the image that the tasks run.
	Image string
	// LatencyTarget is the target for the tail latency of a serving task, or 0 for other tasks.
	LatencyTarget time.Duration
	// Filler means that the tasks use CPU time that is left over by others; their CPU need does not count against a
	// worker's capacity.
	Filler bool
	// MayMiss is the number of tasks of a long-running step that planned actions may take out of service at once.
	MayMiss int
}

// Charge returns the part of a worker's capacity that one task of the step takes.
func (s *Step) Charge() Resources {
	r := s.Need
	if s.Filler {
		r.CPUMilli = 0
	}
	return r
}
