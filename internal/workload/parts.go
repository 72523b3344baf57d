package workload

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

// The store limits the size of a record. The progress of a small job is one record; that of a larger one consists of a
// head and of parts, each with the tasks of a step in one range of indices. Only what has changed is stored again. If
// the records do not fit into one append, the head is stored first, and the parts in the order of their steps: a task
// that depends on others is never stored as started before they are stored as done.

const (
	// partTasks is the number of tasks in a part. With the longest names and checkpoints, a part stays within the 256 KiB
	// that the store allows for a record.
	partTasks = 32
	// maxInlineTasks is the number of tasks in progress up to which the progress of a job is one record.
	maxInlineTasks = 64
	// maxOpenTasks bounds the tasks of all occurrences in progress in a stored record, which another writer may have left.
	maxOpenTasks = 10 * maxTasks
)

// part is the state of the stored record of a part.
type part struct {
	changed bool // the progress has changed since the record was last taken
	stored  bool // the store may hold a record
}

// occurrenceRange is a range of consecutive occurrences: the first and the last one.
type occurrenceRange [2]int

// ProgressRecord is a record of a job's progress to be stored.
type ProgressRecord struct {
	Key string
	// Value is empty if the record is to be removed.
	Value []byte
	// Runs holds the runs in the record that are not stored yet.
	Runs []*Run

	step *Step // the step of a part
	part int
}

func partCount(tasks int) int { return (tasks + partTasks - 1) / partTasks }

// partRange returns the range of the indices of the tasks of a part.
func (s *Step) partRange(n int) (from, to int) {
	return n * partTasks, min((n+1)*partTasks, s.Spec.Count)
}

func (s *Step) partKey(n int) string {
	return partPrefix + TaskName(s.Job.ID, s.Occurrence.Number, s.Index, n)
}

// markChanged records that the task's progress differs from its last stored record.
func (t *Task) markChanged() {
	t.Step.hold(t)
	if parts := t.Step.parts; parts != nil {
		parts[t.Index/partTasks].changed = true
	}
}

// markPartsChanged records that the progress of all tasks differs from their last stored records.
func (s *Step) markPartsChanged() {
	for n := range s.parts {
		s.parts[n].changed = true
	}
}

// eachPart calls f for every part of the occurrences in progress.
func (j *Job) eachPart(f func(s *Step, n int, p *part)) {
	for _, o := range j.Occurrences {
		for _, s := range o.Steps {
			for n := range s.parts {
				f(s, n, &s.parts[n])
			}
		}
	}
}

func (j *Job) markAllPartsChanged() {
	j.eachPart(func(_ *Step, _ int, p *part) { p.changed = true })
}

// splitIfLarge stores the job in parts from now on if it has many tasks in progress.
func (j *Job) splitIfLarge() {
	tasks := 0
	for _, o := range j.Occurrences {
		for _, s := range o.Steps {
			tasks += s.Spec.Count
		}
	}
	if tasks > maxInlineTasks {
		j.split()
	}
}

// split stores the job in parts from now on.
func (j *Job) split() {
	if j.inParts {
		return
	}
	j.inParts = true
	for _, o := range j.Occurrences {
		for _, s := range o.Steps {
			s.parts = make([]part, partCount(s.Spec.Count))
		}
	}
	j.markAllPartsChanged()
}

// removeParts marks the stored parts of a finished occurrence as obsolete.
func (j *Job) removeParts(o *Occurrence) {
	for _, s := range o.Steps {
		for n, p := range s.parts {
			if p.stored {
				j.obsoleteParts = append(j.obsoleteParts, s.partKey(n))
			}
		}
		s.parts = nil
	}
}

// PartKeys returns the keys of all parts that the store may hold.
func (j *Job) PartKeys() []string {
	keys := slices.Clone(j.obsoleteParts)
	j.eachPart(func(s *Step, n int, p *part) {
		if p.stored {
			keys = append(keys, s.partKey(n))
		}
	})
	return keys
}

// openOccurrences returns the occurrences in progress.
func (j *Job) openOccurrences() []occurrenceRange {
	var numbers []int
	for _, o := range j.Occurrences {
		numbers = append(numbers, o.Number)
	}
	slices.Sort(numbers)
	var open []occurrenceRange
	for _, n := range numbers {
		if last := len(open) - 1; last >= 0 && open[last][1] == n-1 {
			open[last][1] = n
		} else {
			open = append(open, occurrenceRange{n, n})
		}
	}
	return open
}

// ChangedRecords returns the records to store so that the stored progress becomes the current one, in the order in
// which they have to be stored. maxBytes is the size of the largest value that the store accepts. The caller reports
// each record that it stores with Take.
func (j *Job) ChangedRecords(maxBytes int) ([]ProgressRecord, error) {
	value, err := json.Marshal(j.Progress())
	if err != nil {
		return nil, err
	}
	if !j.inParts && len(value) > maxBytes {
		j.split()
		return j.ChangedRecords(maxBytes)
	}
	head := ProgressRecord{Key: ProgressKey(j.ID), Value: value}
	if !j.inParts {
		j.EachTask(func(t *Task) { head.Runs = appendUnstored(head.Runs, t) })
		return []ProgressRecord{head}, nil
	}
	var records []ProgressRecord
	if string(value) != string(j.takenHead) {
		records = append(records, head)
	}
	for _, key := range j.obsoleteParts {
		records = append(records, ProgressRecord{Key: key})
	}
	var errs []error
	j.eachPart(func(s *Step, n int, p *part) {
		if !p.changed {
			return
		}
		r, err := s.partRecord(n)
		errs = append(errs, err)
		if len(r.Value) > 0 || p.stored {
			records = append(records, r)
		}
	})
	return records, errors.Join(errs...)
}

// partRecord returns the record of a part; its value is empty if there is nothing to store.
func (s *Step) partRecord(n int) (ProgressRecord, error) {
	r := ProgressRecord{Key: s.partKey(n), step: s, part: n}
	from, to := s.partRange(n)
	progress := s.progress(from, to)
	if progress.empty() {
		return r, nil
	}
	var err error
	r.Value, err = json.Marshal(progress)
	for i := from; i < min(to, len(s.tasks)); i++ {
		if t := s.tasks[i]; t != nil {
			r.Runs = appendUnstored(r.Runs, t)
		}
	}
	return r, err
}

func appendUnstored(runs []*Run, t *Task) []*Run {
	for _, r := range t.Runs {
		if !r.Stored {
			runs = append(runs, r)
		}
	}
	return runs
}

// Take records that a record returned by ChangedRecords is being stored.
func (j *Job) Take(r ProgressRecord) {
	switch {
	case r.step != nil && r.part < len(r.step.parts):
		p := &r.step.parts[r.part]
		p.changed, p.stored = false, len(r.Value) > 0
	case r.step == nil && len(r.Value) > 0:
		j.takenHead = r.Value
	case r.step == nil:
		j.obsoleteParts = slices.DeleteFunc(j.obsoleteParts, func(key string) bool { return key == r.Key })
	}
}

// Return records that a record that was taken could not be stored, so that it is part of the next change.
func (j *Job) Return(r ProgressRecord) {
	switch {
	case r.step != nil && r.part < len(r.step.parts):
		r.step.parts[r.part] = part{changed: true, stored: true} // an earlier record may be stored
	case r.step == nil && len(r.Value) > 0:
		j.takenHead = nil
	}
}

// restoreOpen adds the occurrences in progress of a job that is stored in parts. An earlier version added all that were
// due. Of those that had not begun, as no part of them is stored, some are left to Advance again: only the last ones,
// so that none that is done is added.
func (j *Job) restoreOpen(open []occurrenceRange, parts map[string][]byte, now time.Time) error {
	j.inParts = true
	begun := lastBegun(parts)
	next, tasks := 0, 0
	for i, r := range open {
		if r[0] < next || r[1] < r[0] || r[1] >= j.Spec.Occurrences() {
			return fmt.Errorf("progress of job %s: occurrences %d to %d are out of range or repeated", j.ID, r[0], r[1])
		}
		next = r[1] + 1
		if i == len(open)-1 && next == j.NextOccurrence {
			next = min(next, max(r[0], begun+1)+maxWaitingOccurrences)
			j.NextOccurrence = next
		}
		if tasks += (next - r[0]) * j.Spec.Tasks(); tasks > maxOpenTasks {
			return fmt.Errorf("progress of job %s: more than %d tasks in progress", j.ID, maxOpenTasks)
		}
		for n := r[0]; n < next; n++ {
			j.addOccurrence(n, now)
		}
	}
	return nil
}

// lastBegun returns the highest occurrence of which a part is stored, or -1.
func lastBegun(parts map[string][]byte) int {
	last := -1
	for key := range parts {
		if _, occurrence, _, _, err := ParseTaskName(key[len(partPrefix):]); err == nil {
			last = max(last, occurrence)
		}
	}
	return last
}

// restoreParts applies the records of the job's parts. Those of a job that is not stored in parts, or of an occurrence
// that has ended, are obsolete.
func (j *Job) restoreParts(parts map[string][]byte, now time.Time) error {
	for key, value := range parts {
		_, occurrence, step, n, err := ParseTaskName(key[len(partPrefix):])
		if err != nil {
			return err
		}
		o := j.Occurrence(occurrence)
		if !j.inParts || o == nil {
			j.obsoleteParts = append(j.obsoleteParts, key)
			continue
		}
		if step >= len(o.Steps) || n >= len(o.Steps[step].parts) {
			return fmt.Errorf("progress of job %s: occurrence %d has no part %d of step %d", j.ID, occurrence, n, step)
		}
		var p tasksProgress
		if err := json.Unmarshal(value, &p); err != nil {
			return fmt.Errorf("decode part %s: %w", key, err)
		}
		s := o.Steps[step]
		from, to := s.partRange(n)
		if err := s.restore(p, from, to, now); err != nil {
			return err
		}
		s.parts[n].stored = true
	}
	return nil
}
