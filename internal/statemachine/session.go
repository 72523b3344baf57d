package statemachine

import (
	"pollenlead/internal/allot"
	"pollenlead/internal/record"
)

// Session is the session of an entry instance, without which it can hold no allotments. Holder is the incarnation of
// the process.
type Session struct {
	Holder           string `json:"holder"`
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	Region           string `json:"region"`
	PeerAddress      string `json:"peer_address"`
	CallerAddress    string `json:"caller_address"`
	OpenedAt         uint64 `json:"opened_at"`
	LastRenewal      uint64 `json:"last_renewal"`
	Seq              uint64 `json:"seq"`
}

// Sessions returns the open sessions ordered by holder.
func (s *State) Sessions() []Session {
	sessions := make([]Session, 0, len(s.d.Sessions))
	for _, h := range s.holders() {
		sessions = append(sessions, *s.d.Sessions[h])
	}
	return sessions
}

// Session returns the open session of holder.
func (s *State) Session(holder string) (Session, bool) {
	session, ok := s.d.Sessions[holder]
	if !ok {
		return Session{}, false
	}
	return *session, true
}

func (s *State) openSession(offset uint64, r record.Record, op record.SessionOpen) Outcome {
	if _, ok := s.d.Sessions[r.Incarnation]; ok {
		return rejected(ReasonSessionExists, "the session is open")
	}
	for _, closed := range s.d.ClosedSessions {
		if closed.Holder == r.Incarnation {
			return rejected(ReasonSessionExists, "the session of this incarnation has ended")
		}
	}
	s.d.Sessions[r.Incarnation] = &Session{
		Holder:           r.Incarnation,
		Name:             r.Writer,
		AvailabilityZone: op.AvailabilityZone,
		Region:           op.Region,
		PeerAddress:      op.PeerAddress,
		CallerAddress:    op.CallerAddress,
		OpenedAt:         offset,
		LastRenewal:      offset,
		Seq:              r.Seq,
	}
	s.sortedHolders = sortedKeys(s.d.Sessions)
	s.assignUnheldJobs()
	s.markAllDirty()
	return accepted()
}

func (s *State) closeSession(session *Session, seq uint64) Outcome {
	session.Seq = seq
	s.endSession(session, true)
	return accepted()
}

func (s *State) revokeSession(writer *Session, op record.SessionRevoke) Outcome {
	session, ok := s.d.Sessions[op.Holder]
	if !ok {
		return rejected(ReasonSessionNotOpen, "%s has no open session", op.Holder)
	}
	if op.Holder == writer.Holder {
		return rejected(ReasonInvalid, "a holder closes its own session")
	}
	if session.LastRenewal != op.LastRenewal {
		return rejected(ReasonStaleRenewal, "%s renewed at offset %d", op.Holder, session.LastRenewal)
	}
	s.endSession(session, false)
	return accepted()
}

// endSession removes the session, reassigns its jobs to other sessions and frees its units and slots. After a graceful
// close the tasks of its started jobs still run, so their units and slots move with the jobs.
func (s *State) endSession(session *Session, graceful bool) {
	delete(s.d.Sessions, session.Holder)
	s.sortedHolders = sortedKeys(s.d.Sessions)
	s.d.ClosedSessions = append(s.d.ClosedSessions, ClosedSession{Holder: session.Holder, Seq: session.Seq})
	if extra := len(s.d.ClosedSessions) - maxClosedSessions; extra > 0 {
		s.d.ClosedSessions = s.d.ClosedSessions[extra:]
	}
	s.reassignJobs(session.Holder, graceful)
	delete(s.startedChanged, session.Holder)
	for _, team := range s.d.Teams {
		delete(team.Held, session.Holder)
		delete(team.Wanted, session.Holder)
	}
	for _, pool := range s.d.Pools {
		delete(pool.Wanted, session.Holder)
	}
	for _, id := range sortedKeys(s.d.Instances) {
		s.removeSlots(s.d.Instances[id], session.Holder)
	}
	s.markAllDirty()
}

// assignUnheldJobs assigns the jobs without a holder to the open sessions.
func (s *State) assignUnheldJobs() {
	s.reassignJobs("", false)
}

// reassignJobs assigns the unfinished jobs of a holder to the open sessions.
func (s *State) reassignJobs(holder string, graceful bool) {
	holders := s.holders()
	jobs := s.openJobs[holder]
	for _, id := range sortedKeys(jobs) {
		s.reassignJob(jobs[id], holders, graceful)
	}
}

// reassignJob assigns a job to another holder. The unit and the slot of a task that still runs move with it, so the
// caller must reassign the jobs before it frees the other units and slots of the old holder.
func (s *State) reassignJob(job *Job, holders []string, graceful bool) {
	from := job.Holder
	s.removeJob(job)
	job.Holder = allot.Preferred(job.ID, holders)
	if job.State == JobStarted {
		job.Adopted = true
		job.LeaseExpired = job.LeaseExpired || !graceful || job.Holder == ""
	}
	s.addJob(job)
	if job.State != JobStarted || job.LeaseExpired {
		return
	}
	if team, ok := s.d.Teams[job.Team]; ok {
		transferUnit(team.Held, from, job.Holder)
	}
	if instance, ok := s.d.Instances[job.Instance]; ok {
		transferUnit(instance.Held, from, job.Holder)
	}
}

// transferUnit moves one unit or slot, if from has any. It has none if the instance left the list and returned, because
// the slots were removed with the instance.
func transferUnit(held map[string]int, from, to string) {
	if held[from] == 0 {
		return
	}
	subtract(held, from, 1)
	held[to]++
}
