package entrynode

import (
	"bytes"
	"encoding/json"
	"math"
	"sync"
	"time"

	"pollenlead/internal/dispatch"
	"pollenlead/internal/jobbudget"
)

// note is what the leader tells all entry instances with a heartbeat.
type note struct {
	// Queues is an overload.State, and Room a jobbudget.Room.
	Queues json.RawMessage `json:"queues,omitempty"`
	Room   json.RawMessage `json:"room,omitempty"`
}

// note returns the note of this entry instance while it leads, or nil.
func (n *Node) note() json.RawMessage {
	d := n.dispatcher.Load()
	if d == nil {
		return nil
	}
	own := note{Queues: d.OverloadState(), Room: d.Room()}
	if own.Queues == nil && own.Room == nil {
		return nil
	}
	encoded, err := json.Marshal(own)
	if err != nil {
		n.log.Error().Err(err).Str("event", "bad_note").Msg("note of the leader cannot be encoded")
		return nil
	}
	return encoded
}

// noteReader reads the leader's notes. It is safe for concurrent use.
type noteReader struct {
	// published returns the newest note and its age.
	published func() (json.RawMessage, time.Duration)

	mu      sync.Mutex
	encoded json.RawMessage
	note    note
	// leastMB is the memory that a leader needs for what the note tells that it holds.
	leastMB int
}

// read returns the newest note and its age.
func (r *noteReader) read() (note, time.Duration) {
	encoded, age := r.published()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decode(encoded)
	return r.note, age
}

// decode decodes a note that has changed. One that cannot be read tells nothing, as an empty one. Callers hold mu.
func (r *noteReader) decode(encoded json.RawMessage) {
	if bytes.Equal(encoded, r.encoded) {
		return
	}
	r.encoded, r.note = encoded, note{}
	var room jobbudget.Room
	if json.Unmarshal(encoded, &r.note) != nil || len(r.note.Room) > 0 && json.Unmarshal(r.note.Room, &room) != nil {
		r.note = note{}
	}
	r.leastMB = jobbudget.LeaderMemoryMB(room)
}

// least returns the memory in MB that a leader needs for what the present one holds.
func (r *noteReader) least() int {
	encoded, _ := r.published()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decode(encoded)
	return r.leastMB
}

// queues returns the published overload.State and its age.
func (r *noteReader) queues() (json.RawMessage, time.Duration) {
	n, age := r.read()
	return n.Queues, age
}

// room returns the published jobbudget.Room.
func (r *noteReader) room() json.RawMessage {
	n, _ := r.read()
	return n.Room
}

// leaderlessRoom returns what this entry instance may accept in a period while no leader counts the jobs.
func (n *Node) leaderlessRoom() jobbudget.Room {
	budget := n.jobBudget()
	if budget.Bytes == 0 {
		return jobbudget.Room{Each: 1, Common: math.MaxInt64}
	}
	return jobbudget.Holdings{Budget: budget.Bytes, Instances: budget.Instances}.Room(0)
}

// shareFraction returns a team's share as a fraction of all shares of the configuration in force.
func (n *Node) shareFraction(team string) float64 {
	c := n.follower.Config()
	if c == nil {
		return 0
	}
	return jobbudget.Fraction(c.Shares(), team)
}

// leaderMemoryMB returns the memory that a leader needs for the state of jobs that the present one holds. It logs when
// this entry instance no longer has it, or has it again.
func (n *Node) leaderMemoryMB() int {
	least := n.notes.least()
	if small := n.settings.MemoryMB < least; n.wasTooSmall.Swap(small) != small {
		n.log.Warn().Str("event", "too_small_to_lead").Bool("too_small", small).Int("leader_memory_mb", least).
			Msg("state of jobs is larger than this entry instance may hold, or no longer is")
	}
	return least
}

// jobBudget returns the memory for the state of jobs: a fraction of that of the smallest entry instance, since each of
// them may lead.
func (n *Node) jobBudget() dispatch.JobBudget {
	members := n.election.Members()
	smallest := n.settings.MemoryMB
	for _, m := range members {
		if m.MemoryMB > 0 {
			smallest = min(smallest, m.MemoryMB)
		}
	}
	return dispatch.JobBudget{
		Bytes: budgetOf(smallest), Instances: max(len(members), 1),
	}
}

// budgetOf returns the memory for the state of jobs on an entry instance.
func budgetOf(memoryMB int) int64 { return int64(float64(memoryMB<<20) * jobbudget.MemoryFraction) }
