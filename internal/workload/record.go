package workload

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/buger/jsonparser"

	"pollenlead/internal/fleet"
)

// Submission is the stored record of an accepted job.
type Submission struct {
	Queue string `json:"queue"`
	Pool  string `json:"pool"`
	Team  string `json:"team,omitempty"`
	// Attempts and NeedsTicket are what the queue demands of the job. They hold for the job when the queue changes or is
	// removed. A record of an earlier version may lack them.
	Attempts    int  `json:"attempts,omitempty"`
	NeedsTicket bool `json:"needs_ticket,omitempty"`
	// Address is that of the queue at the submission. A record of an earlier version lacks it.
	Address string `json:"address,omitempty"`
	// AtMillis is the Unix time of acceptance in milliseconds.
	AtMillis int64          `json:"at_ms"`
	Spec     *fleet.JobSpec `json:"spec"`
}

// DecodeSubmission decodes a Submission into a job without progress.
func DecodeSubmission(id string, value []byte) (*Job, error) {
	var s Submission
	if err := json.Unmarshal(value, &s); err != nil {
		return nil, fmt.Errorf("decode submission of job %s: %w", id, err)
	}
	if s.Spec == nil || len(s.Spec.Steps) == 0 {
		return nil, fmt.Errorf("decode submission of job %s: no steps", id)
	}
	if err := checkSpec(id, s.Spec); err != nil {
		return nil, fmt.Errorf("decode submission of job %s: %w", id, err)
	}
	j := NewJob(id, s.Queue, s.Pool, s.Team, s.Spec, time.UnixMilli(s.AtMillis))
	j.Attempts, j.NeedsTicket, j.Address = s.Attempts, s.NeedsTicket, s.Address
	return j, nil
}

const (
	// maxSteps, maxTasks and maxOccurrences bound what a stored job may cost a leader in memory. They are ten times the
	// limits of submissions, so that no job that was accepted is rejected here. Another writer may have left the record.
	maxSteps       = 1000
	maxTasks       = 100_000
	maxOccurrences = 1_000_000
	// maxRun bounds the run numbers, so that the next one does not overflow.
	maxRun = 1 << 31
	// maxIDBytes bounds a job's ID, so that the keys of its records stay within the store's limit of 255 bytes.
	maxIDBytes = 128
)

// checkSpec reports the first value of a stored job that no entry instance accepts.
func checkSpec(id string, spec *fleet.JobSpec) error {
	if id == "" || len(id) > maxIDBytes || strings.Contains(id, ".") {
		return errors.New("the ID cannot be part of a task's name")
	}
	if len(spec.Steps) > maxSteps || spec.Times < 0 || spec.Times > maxOccurrences || spec.Every < 0 {
		return errors.New("the number of steps or occurrences or the interval is out of range")
	}
	tasks := 0
	for i := range spec.Steps {
		s := &spec.Steps[i]
		if s.Count < 1 || s.Count > maxTasks || s.MaxPerWorker < 0 || s.MayMiss < 0 ||
			min(s.Need.CPUMilli, s.Need.MemoryMB, s.Need.GPU) < 0 {
			return fmt.Errorf("a number of step %d is out of range", i)
		}
		if tasks += s.Count; tasks > maxTasks {
			return fmt.Errorf("more than %d tasks", maxTasks)
		}
		for _, d := range s.DependsOn {
			if d < 0 || d >= i {
				return fmt.Errorf("step %d depends on %d, which is not an earlier step", i, d)
			}
		}
	}
	return nil
}

// DecodeEnded decodes the records of a job that has ended and has no runs left, without building its steps. It
// reports false if the whole record of the job is needed. Most jobs that a new leader reads have ended, and only
// their states are needed.
func DecodeEnded(id string, submission, progress []byte) (*Job, bool) {
	text, err := jsonparser.GetString(progress, "state")
	state := State(text)
	if _, _, _, running := jsonparser.Get(progress, "occ"); err != nil || !state.Ended() || running == nil {
		return nil, false
	}
	ended, err := jsonparser.GetInt(progress, "ended_ms")
	if err != nil {
		return nil, false
	}
	var s struct {
		queue, pool, team string
		at                int64
	}
	var errs [3]error
	s.queue, errs[0] = jsonparser.GetString(submission, "queue")
	s.pool, errs[1] = jsonparser.GetString(submission, "pool")
	s.at, errs[2] = jsonparser.GetInt(submission, "at_ms")
	s.team, _ = jsonparser.GetString(submission, "team") // absent for a public queue
	if errors.Join(errs[:]...) != nil {
		return nil, false
	}
	j := NewJob(id, s.queue, s.pool, s.team, &fleet.JobSpec{}, time.UnixMilli(s.at))
	j.State, j.Started, j.EndedAt = state, true, time.UnixMilli(ended)
	return j, true
}

// Progress is the stored record of a job's progress. It leaves out tasks that never ran. If the job is stored in parts,
// its tasks are in records of their own.
type Progress struct {
	State         State `json:"state"`
	EndedAtMillis int64 `json:"ended_ms,omitempty"`
	Next          int   `json:"next"`
	// Attempts and NeedsTicket are those of the job. A repeated submission, perhaps to a changed queue, may have replaced
	// the one with which the job was accepted. A record of an earlier version lacks them.
	Attempts    int                  `json:"attempts,omitempty"`
	NeedsTicket bool                 `json:"needs_ticket,omitempty"`
	Occurrences []occurrenceProgress `json:"occ,omitempty"`
	// InParts means that the job is stored in parts. Open then holds the occurrences in progress instead of Occurrences.
	InParts bool              `json:"parts,omitempty"`
	Open    []occurrenceRange `json:"open,omitempty"`
}

type occurrenceProgress struct {
	Number int            `json:"n"`
	Steps  []stepProgress `json:"steps,omitempty"`
}

type stepProgress struct {
	Step int `json:"s"`
	tasksProgress
}

// tasksProgress is the progress of all tasks of a step, or of those of one part.
type tasksProgress struct {
	// AllDone replaces a list of all tasks in Done.
	AllDone bool           `json:"all,omitempty"`
	Done    []int          `json:"done,omitempty"`
	Tasks   []taskProgress `json:"t,omitempty"`
}

type taskProgress struct {
	Index      int    `json:"i"`
	LastRun    int    `json:"r"`
	Failures   int    `json:"f,omitempty"`
	FailedOn   string `json:"fo,omitempty"`
	Checkpoint string `json:"c,omitempty"`
	// FailedRuns holds the numbers of the failed runs of a member of a gang. A record of an earlier version lacks them.
	FailedRuns []int         `json:"fr,omitempty"`
	Runs       []runProgress `json:"runs,omitempty"`
}

type runProgress struct {
	Number int    `json:"n"`
	Worker string `json:"w"`
}

// Progress returns the record of the job's current progress, with its tasks unless the job is stored in parts.
func (j *Job) Progress() Progress {
	p := Progress{State: j.State, Next: j.NextOccurrence, Attempts: j.Attempts, NeedsTicket: j.NeedsTicket}
	if j.State.Ended() {
		p.EndedAtMillis = j.EndedAt.UnixMilli()
	}
	if j.inParts {
		p.InParts, p.Open = true, j.openOccurrences()
		return p
	}
	for _, o := range j.Occurrences {
		op := occurrenceProgress{Number: o.Number}
		for _, s := range o.Steps {
			if t := s.progress(0, s.Spec.Count); !t.empty() {
				op.Steps = append(op.Steps, stepProgress{Step: s.Index, tasksProgress: t})
			}
		}
		if len(op.Steps) > 0 || !j.State.Ended() {
			p.Occurrences = append(p.Occurrences, op)
		}
	}
	return p
}

// progress returns the progress of the tasks from index from up to index to. For an ended job it holds only the
// remaining runs.
func (s *Step) progress(from, to int) tasksProgress {
	ended := s.Job.State.Ended()
	p := tasksProgress{AllDone: !ended && s.allDone(from, to)}
	for i := from; i < min(to, len(s.tasks)); i++ {
		t := s.tasks[i]
		switch {
		case t == nil:
		case t.Done && !p.AllDone && !ended:
			p.Done = append(p.Done, i)
		case !t.Done && t.LastRun > 0 && !ended, len(t.Runs) > 0:
			p.Tasks = append(p.Tasks, t.progress())
		}
	}
	return p
}

// allDone reports whether the tasks from index from up to index to are done.
func (s *Step) allDone(from, to int) bool {
	for i := from; i < to; i++ {
		if !s.isDone(i) {
			return false
		}
	}
	return true
}

func (p *tasksProgress) empty() bool { return !p.AllDone && len(p.Done) == 0 && len(p.Tasks) == 0 }

func (t *Task) progress() taskProgress {
	p := taskProgress{
		Index: t.Index, LastRun: t.LastRun, Failures: t.Failures, FailedOn: t.FailedOn, Checkpoint: t.Checkpoint,
	}
	if t.Step.Spec.Gang {
		p.FailedRuns = t.FailedRuns
	}
	for _, r := range t.Runs {
		p.Runs = append(p.Runs, runProgress{Number: r.Number, Worker: r.Worker})
	}
	return p
}

// Restore applies a Progress record, and the records of the job's parts by key, to a job without progress. All runs are
// restored as assigned and stored; only their workers can report whether they received the start request. After an
// error the job has no occurrences and adds none: which of its tasks are done is not known, so none may start.
func (j *Job) Restore(value []byte, parts map[string][]byte, now time.Time) error {
	err := j.restore(value, parts, now)
	if err == nil {
		err = j.restoreParts(parts, now)
	}
	if err != nil {
		j.Occurrences, j.NextOccurrence = nil, j.Spec.Occurrences()
		j.State, j.Started = StateRunning, true
		return err
	}
	for _, o := range j.Occurrences {
		for _, s := range o.Steps {
			s.finishRestore()
		}
	}
	j.splitIfLarge()
	return nil
}

func (j *Job) restore(value []byte, parts map[string][]byte, now time.Time) error {
	var p Progress
	if err := json.Unmarshal(value, &p); err != nil {
		return fmt.Errorf("decode progress of job %s: %w", j.ID, err)
	}
	if !p.State.known() || p.Next < 0 || p.Next > j.Spec.Occurrences() {
		return fmt.Errorf("progress of job %s: state %q or next occurrence %d is out of range", j.ID, p.State, p.Next)
	}
	j.State, j.NextOccurrence = p.State, p.Next
	if p.Attempts > 0 {
		j.Attempts = p.Attempts
	}
	j.NeedsTicket = j.NeedsTicket || p.NeedsTicket
	if p.EndedAtMillis != 0 {
		j.EndedAt = time.UnixMilli(p.EndedAtMillis)
	}
	if p.InParts {
		if err := j.restoreOpen(p.Open, parts, now); err != nil {
			return err
		}
	}
	for _, op := range p.Occurrences {
		if op.Number < 0 || op.Number >= j.Spec.Occurrences() || j.Occurrence(op.Number) != nil {
			return fmt.Errorf("progress of job %s: occurrence %d is out of range or repeated", j.ID, op.Number)
		}
		o := j.addOccurrence(op.Number, now)
		for _, sp := range op.Steps {
			if sp.Step < 0 || sp.Step >= len(o.Steps) {
				return fmt.Errorf("progress of job %s: job has %d steps, got index %d", j.ID, len(o.Steps), sp.Step)
			}
			if err := o.Steps[sp.Step].restore(sp.tasksProgress, 0, o.Steps[sp.Step].Spec.Count, now); err != nil {
				return err
			}
		}
	}
	j.Started = j.State != StatePending
	return nil
}

// restore applies the progress of the tasks from index from up to index to.
func (s *Step) restore(p tasksProgress, from, to int, now time.Time) error {
	if p.AllDone {
		for i := from; i < to; i++ {
			s.setDone(i)
		}
	}
	for _, i := range p.Done {
		if i < from || i >= to || s.isDone(i) {
			return fmt.Errorf("progress of job %s: step %d has %d tasks, got index %d out of range or twice",
				s.Job.ID, s.Index, s.Spec.Count, i)
		}
		s.setDone(i)
	}
	for _, tp := range p.Tasks {
		if tp.Index < from || tp.Index >= to {
			return fmt.Errorf("progress of job %s: step %d has %d tasks, got index %d",
				s.Job.ID, s.Index, s.Spec.Count, tp.Index)
		}
		t := s.Task(tp.Index)
		if err := t.restore(tp, now); err != nil {
			return err
		}
		s.hold(t)
	}
	return nil
}

func (t *Task) restore(p taskProgress, now time.Time) error {
	s := t.Step
	if p.LastRun < 0 || p.LastRun > maxRun || p.Failures < 0 || len(t.Runs) > 0 {
		return fmt.Errorf("progress of job %s: run %d or %d failures of task %d of step %d are out of range or repeated",
			s.Job.ID, p.LastRun, p.Failures, p.Index, s.Index)
	}
	t.RestoredRun = p.LastRun
	t.FailedRuns = p.FailedRuns
	t.LastRun, t.Failures, t.FailedOn, t.Checkpoint = p.LastRun, p.Failures, p.FailedOn, p.Checkpoint
	if t.FailedOn != "" {
		t.FailedAt = now
	}
	for _, rp := range p.Runs {
		if rp.Number < 1 || rp.Number > maxRun || rp.Worker == "" {
			return fmt.Errorf("progress of job %s: run %d of task %d of step %d is out of range",
				s.Job.ID, rp.Number, p.Index, s.Index)
		}
		t.Runs = append(t.Runs, &Run{
			Task: t, Number: rp.Number, Worker: rp.Worker, Since: now, Pace: 100,
			Stored: true, Released: true, Inherited: true,
		})
		s.Job.bytes += runBytes
	}
	return nil
}

// finishRestoreGang restores what the members of a gang have in common. A gang is done as a whole, but not all of its
// parts may have been stored. Earlier versions stored a checkpoint with each member.
func (s *Step) finishRestoreGang() {
	checkpoint := ""
	for member := range s.Held() {
		if checkpoint == "" {
			checkpoint = member.Checkpoint
		}
		member.Checkpoint = ""
	}
	if checkpoint != "" {
		first := s.Task(0)
		first.Checkpoint = checkpoint
		s.hold(first)
	}
	if !slices.ContainsFunc(s.tasks, func(t *Task) bool { return t != nil && t.Done }) {
		return
	}
	for i := range s.Spec.Count {
		s.setDone(i)
	}
}

// finishRestore derives the counts of a restored step from its tasks.
func (s *Step) finishRestore() {
	if s.Spec.Gang {
		s.finishRestoreGang()
	}
	s.Open, s.Unassigned = s.Spec.Count, s.Spec.Count
	for _, t := range s.tasks {
		switch {
		case t == nil:
		case t.Done:
			s.Open--
			s.Unassigned--
		case t.LastRun > 0:
			s.Unassigned--
		}
	}
}

// Keys of the records of jobs in the store.
const (
	submissionPrefix = "j/"
	cancelPrefix     = "c/"
	progressPrefix   = "p/"
	wavePrefix       = "w/"
	donePrefix       = "d/"
	partPrefix       = "t/"
	// clientSeparator separates the ID from the client in the key of a cancellation.
	clientSeparator = "/"
)

// HomeSizesKey is the key of the record that holds the initial number of instances of each pool.
const HomeSizesKey = "h/home"

// WorkersKey is the key of the record that holds the workers that may have active runs that are not stored.
const WorkersKey = "k/workers"

// QueuePoolsKey is the key of the record that holds the pools to which queues have led, in which jobs may have active
// runs that are not stored.
const QueuePoolsKey = "k/queues"

// TermKey is the key of the record that a leader writes to the progress topic at the beginning of its term.
const TermKey = "e/term"

// KeyKind is the kind of a stored record, as encoded in its key.
type KeyKind uint8

// The kinds of records.
const (
	KeyUnknown KeyKind = iota
	KeySubmission
	KeyCancel
	KeyProgress
	KeyWave
	KeyHomeSizes
	KeyWorkers
	KeyQueuePools
	KeyDone
	KeyPart
)

// SubmissionKey returns the key of a job's submission.
func SubmissionKey(id string) string { return submissionPrefix + id }

// CancelKey returns the key of the cancellations of an ID that all clients share, so that the store keeps the newest
// one only. Earlier versions read and write no other; see Cancellation.Key.
func CancelKey(id string) string { return cancelPrefix + id }

// ProgressKey returns the key of a job's progress.
func ProgressKey(id string) string { return progressPrefix + id }

// DoneKey returns the key of the record that a job is done, in a partition other than that of its progress.
func DoneKey(id string) string { return donePrefix + id }

// WaveKey returns the key of a wave's progress.
func WaveKey(number int64) string { return wavePrefix + strconv.FormatInt(number, 10) }

// ParseKey returns the kind of a record and the ID of its job or wave, if it has one.
func ParseKey(key string) (KeyKind, string) {
	switch key {
	case HomeSizesKey:
		return KeyHomeSizes, ""
	case WorkersKey:
		return KeyWorkers, ""
	case QueuePoolsKey:
		return KeyQueuePools, ""
	}
	if len(key) < 3 {
		return KeyUnknown, ""
	}
	switch key[:2] {
	case submissionPrefix:
		return KeySubmission, key[2:]
	case cancelPrefix:
		id, _, _ := strings.Cut(key[2:], clientSeparator)
		return KeyCancel, id
	case progressPrefix:
		return KeyProgress, key[2:]
	case wavePrefix:
		return KeyWave, key[2:]
	case donePrefix:
		return KeyDone, key[2:]
	case partPrefix:
		if id, _, _, _, err := ParseTaskName(key[2:]); err == nil {
			return KeyPart, id
		}
	}
	return KeyUnknown, ""
}

// Cancellation is the stored record of a cancelled job. Queue is the one that the client named, and Team that whose key
// authenticated the request. The job is another one if they are not its own: clients choose the IDs.
type Cancellation struct {
	Queue string `json:"queue"`
	Team  string `json:"team,omitempty"`
	// Address is that of the queue at the cancellation. A record of an earlier version lacks it.
	Address string `json:"address,omitempty"`
}

// Key returns the key of a client's cancellation of an ID. Clients of other teams or queues have other keys, so that
// theirs do not replace it in the store.
func (c Cancellation) Key(id string) string {
	client := fnv.New64a()
	for _, part := range []string{c.Team, c.Queue, c.Address} {
		_, _ = client.Write([]byte(part))
		_, _ = client.Write([]byte{0})
	}
	return CancelKey(id) + clientSeparator + strconv.FormatUint(client.Sum64(), 16)
}

// UnmarshalJSON implements json.Unmarshaler. A record without a queue is not one of an entry instance; without a team,
// it would cancel any job of a public queue.
func (c *Cancellation) UnmarshalJSON(text []byte) error {
	type plain Cancellation
	var p plain
	if err := json.Unmarshal(text, &p); err != nil {
		return err
	}
	if p.Queue == "" {
		return errors.New("cancellation without a queue")
	}
	*c = Cancellation(p)
	return nil
}
