// Package fold is the deterministic state machine over the log. It alone gives records their meaning: every entry instance
// that has folded the same records holds the same state. It uses no clock, no map iteration order and no input or output.
package statemachine

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"pollenlead/internal/config"
	"pollenlead/internal/record"
)

// maxClosedSessions bounds the closed incarnations that are remembered to drop their delayed records.
const maxClosedSessions = 4096

// maxGoneInstances bounds the instances that are remembered after they left the list, so that one that returns finds
// its pool again. At 55 replacements a day this covers more than two weeks.
const maxGoneInstances = 1024

// State is the control state. It is not safe for concurrent use; replica.Follower guards it.
type State struct {
	d   data
	doc *config.Document
	index

	// allotmentsChanged is the offset after the last record that may have changed a grant, a target or a demand.
	allotmentsChanged uint64

	// dirtyTeams and dirtyPools name the resources whose grants must be computed again after the current record.
	dirtyTeams map[string]bool
	dirtyPools map[string]bool
}

// data is the part of the state that snapshots and hashes cover. encoding/json sorts map keys, so its JSON is canonical.
type data struct {
	Next           uint64                `json:"next"`
	ConfigVersion  uint64                `json:"config_version"`
	ConfigOffset   uint64                `json:"config_offset"`
	ConfigText     string                `json:"config_text"`
	Sessions       map[string]*Session   `json:"sessions"`
	ClosedSessions []ClosedSession       `json:"closed_sessions"`
	Teams          map[string]*allotment `json:"teams"`
	Pools          map[string]*poolState `json:"pools"`
	ListVersion    uint64                `json:"list_version"`
	Instances      map[string]*Instance  `json:"instances"`
	GoneInstances  []GoneInstance        `json:"gone_instances"`
	Jobs           map[string]*Job       `json:"jobs"`
	JobKeys        map[string]string     `json:"job_keys"`
	Claims         map[string]*Claim     `json:"claims"`
	Waves          map[string]*Wave      `json:"waves"`
	EndedWaves     []*Wave               `json:"ended_waves"`
	SnapshotTerm   uint64                `json:"snapshot_term"`
	Snapshot       *SnapshotProgress     `json:"snapshot,omitempty"`
	WholeSnapshot  *SnapshotProgress     `json:"whole_snapshot,omitempty"`
	MalformedCount uint64                `json:"malformed_count"`
}

// allotment is a capacity divided among holders.
type allotment struct {
	Held   map[string]int `json:"held"`
	Wanted map[string]int `json:"wanted"`
}

func newAllotment() *allotment {
	return &allotment{Held: map[string]int{}, Wanted: map[string]int{}}
}

// poolState is the demand for the slots of a pool; the slots themselves are held per instance.
type poolState struct {
	Wanted map[string]int `json:"wanted"`
}

// ClosedSession remembers a closed incarnation.
type ClosedSession struct {
	Holder string `json:"holder"`
	Seq    uint64 `json:"seq"`
}

// New returns the state before the first record.
func New() *State {
	return &State{
		d: data{
			Sessions:  map[string]*Session{},
			Teams:     map[string]*allotment{},
			Pools:     map[string]*poolState{},
			Instances: map[string]*Instance{},
			Jobs:      map[string]*Job{},
			JobKeys:   map[string]string{},
			Claims:    map[string]*Claim{},
			Waves:     map[string]*Wave{},
		},
		doc:        &config.Document{},
		index:      newIndex(),
		dirtyTeams: map[string]bool{},
		dirtyPools: map[string]bool{},
	}
}

// Next is the offset of the next record to apply.
func (s *State) Next() uint64 { return s.d.Next }

// MalformedRecords is the number of records that could not be decoded.
func (s *State) MalformedRecords() uint64 { return s.d.MalformedCount }

// ConfigVersion is the document in force. Version 0 means that no document was published yet.
type ConfigVersion struct {
	Version  uint64
	Offset   uint64
	Text     string
	Document *config.Document
}

// Config returns the document in force. The caller must not change it.
func (s *State) Config() ConfigVersion {
	return ConfigVersion{Version: s.d.ConfigVersion, Offset: s.d.ConfigOffset, Text: s.d.ConfigText, Document: s.doc}
}

// Encode returns the canonical encoding of the state, from which Restore builds an equal one.
func (s *State) Encode() ([]byte, error) {
	encoded, err := json.Marshal(&s.d)
	if err != nil {
		return nil, fmt.Errorf("encode state at offset %d: %w", s.d.Next, err)
	}
	return encoded, nil
}

// Restore builds a state from its canonical encoding.
func Restore(encoded []byte) (*State, error) {
	s := New()
	if err := json.Unmarshal(encoded, &s.d); err != nil {
		return nil, fmt.Errorf("restore state: %w", err)
	}
	if s.d.ConfigVersion > 0 {
		doc, problems := config.Parse([]byte(s.d.ConfigText))
		if len(problems) > 0 {
			return nil, fmt.Errorf("restore state: document version %d: %s", s.d.ConfigVersion, problems[0].Message)
		}
		s.doc = doc
	}
	s.index = buildIndex(&s.d)
	s.computeTargets()
	s.allotmentsChanged = s.d.Next
	return s, nil
}

// Hash is the SHA-256 of the canonical encoding. Equal offsets must give equal hashes on every entry instance.
func (s *State) Hash() ([sha256.Size]byte, error) {
	encoded, err := s.Encode()
	if err != nil {
		return [sha256.Size]byte{}, err
	}
	return sha256.Sum256(encoded), nil
}

// sortedKeys returns the keys of m in order, so that no decision depends on map iteration order.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// holders returns the open sessions in order. The caller must not change the answer.
func (s *State) holders() []string { return s.sorted }

// Reason is why the fold rejected an op.
type Reason string

// The reasons of rejections.
const (
	ReasonNone                   Reason = ""
	ReasonSessionNotOpen         Reason = "session_not_open"
	ReasonSessionExists          Reason = "session_exists"
	ReasonStaleRenewal           Reason = "stale_renewal"
	ReasonVersionConflict        Reason = "version_conflict"
	ReasonInvalidDocument        Reason = "invalid_document"
	ReasonNotHeld                Reason = "not_held"
	ReasonStaleList              Reason = "stale_list"
	ReasonUnknownInstance        Reason = "unknown_instance"
	ReasonUnknownPool            Reason = "unknown_pool"
	ReasonStalePool              Reason = "stale_pool"
	ReasonMoveUnderWay           Reason = "move_under_way"
	ReasonUnknownTeam            Reason = "unknown_team"
	ReasonUnknownService         Reason = "unknown_service"
	ReasonKeyWithdrawn           Reason = "key_withdrawn"
	ReasonDuplicate              Reason = "duplicate"
	ReasonIdempotencyKeyConflict Reason = "idempotency_key_conflict"
	ReasonJobsFull               Reason = "jobs_full"
	ReasonUnknownJob             Reason = "unknown_job"
	ReasonNotHolder              Reason = "not_holder"
	ReasonStaleAttempt           Reason = "stale_attempt"
	ReasonJobFinished            Reason = "job_finished"
	ReasonJobNotWaiting          Reason = "job_not_waiting"
	ReasonJobNotFinished         Reason = "job_not_finished"
	ReasonNoTeamUnit             Reason = "no_team_unit"
	ReasonNoSlot                 Reason = "no_slot"
	ReasonMayHaveRun             Reason = "may_have_run"
	ReasonUnknownClaim           Reason = "unknown_claim"
	ReasonClaimOpen              Reason = "claim_open"
	ReasonStaleTerm              Reason = "stale_term"
	ReasonInvalid                Reason = "invalid"
)

// Outcome is what the fold made of one op.
type Outcome struct {
	Kind     record.Kind `json:"kind"`
	Accepted bool        `json:"accepted"`
	Reason   Reason      `json:"reason,omitempty"`
	Detail   string      `json:"detail,omitempty"`
	// Job is the existing job of a duplicate job_accept, or the accepted one.
	Job string `json:"job,omitempty"`
	// Version is the document version after an accepted config_publish, or the current one after a conflict.
	Version uint64 `json:"version,omitempty"`
}

func accepted() Outcome { return Outcome{Accepted: true} }

func rejected(reason Reason, format string, args ...any) Outcome {
	return Outcome{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}
