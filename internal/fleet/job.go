package fleet

import "time"

// JobSpec is a job as its team submitted it.
type JobSpec struct {
	// Spec is passed to the workers as it is.
	Spec  string
	Steps []Step
	// Times is the number of occurrences of a scheduled job, 0 for a job that runs once.
	Times int
	// FirstAt is when the first occurrence is due and Every the time between two.
	FirstAt time.Time
	Every   time.Duration
}

// Occurrences is the number of times that the steps run.
func (s *JobSpec) Occurrences() int { return max(s.Times, 1) }

// DueAt returns when an occurrence may start; zero for a job without a schedule.
func (s *JobSpec) DueAt(occurrence int) time.Time {
	if s.Times == 0 {
		return time.Time{}
	}
	return s.FirstAt.Add(time.Duration(occurrence) * s.Every)
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

// Step is a set of equal tasks.
type Step struct {
	Count    int
	Need     Resources
	Estimate time.Duration
	// DependsOn are the earlier steps whose tasks must all be done first.
	DependsOn []int
	// Checkpoints means that the tasks save their progress.
	Checkpoints bool
	// Gang means that all tasks of the step run together with one run number and end together.
	Gang bool
	// SameRack means that the tasks are slower when they run on more than one rack.
	SameRack bool
	// RequiredLabel is a label that the worker must have, or "".
	RequiredLabel string
	// DataRack is the rack where the tasks run fastest, or "".
	DataRack string
	// MaxPerWorker bounds the tasks of one occurrence of the step on one worker; 0 means no bound.
	MaxPerWorker int
	// AllowCopies means that copies of a task may run at the same time.
	AllowCopies bool
	// LongRunning tasks run until the job is cancelled and are restarted however they end.
	LongRunning bool
	// Image names what the tasks run.
	Image string
	// LatencyTarget is the tail latency below which a serving task must stay; 0 for other tasks.
	LatencyTarget time.Duration
	// Filler tasks use the processor time that others leave; their processor need does not count against a worker.
	Filler bool
	// MayMiss is how many tasks of a long-running step may be away at a time because of planned actions.
	MayMiss int
}

// Charge is what one task of the step takes from a worker's capacity.
func (s *Step) Charge() Resources {
	r := s.Need
	if s.Filler {
		r.CPUMilli = 0
	}
	return r
}
