// Package statemachine implements the replicated state machine that applies the records of the log. It is
// deterministic: every entry instance that has applied the same records has the same state. It therefore reads no
// clock, does no input or output and never depends on map iteration order. Records have no effect other than the one
// defined here.
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

// maxClosedSessions is the maximum number of closed sessions that are stored in order to drop their delayed records.
const maxClosedSessions = 4096

// maxGoneInstances is the maximum number of instances that are stored after they left the platform's list, so that an
// instance that returns joins its former pool. At 55 replacements a day this covers more than two weeks.
const maxGoneInstances = 1024

// State is the replicated control state. It is not safe for concurrent use; replica.Follower serializes access to it.
type State struct {
	d   encodedState
	doc *config.Document
	index

	// allotmentsChanged is the offset after the last record that may have changed a grant, a target or a demand.
	allotmentsChanged uint64

	// dirtyTeams and dirtyPools name the resources whose grants must be computed again after the current record.
	dirtyTeams map[string]bool
	dirtyPools map[string]bool
}

// encodedState is the part of the state that snapshots and hashes cover. encoding/json writes fields in their order
// here and sorts map keys, so the encoding is canonical.
type encodedState struct {
	Next           uint64                 `json:"next"`
	ConfigVersion  uint64                 `json:"config_version"`
	ConfigOffset   uint64                 `json:"config_offset"`
	ConfigText     string                 `json:"config_text"`
	Sessions       map[string]*Session    `json:"sessions"`
	ClosedSessions []ClosedSession        `json:"closed_sessions"`
	Teams          map[string]*allotment  `json:"teams"`
	Pools          map[string]*poolDemand `json:"pools"`
	ListVersion    uint64                 `json:"list_version"`
	Instances      map[string]*Instance   `json:"instances"`
	GoneInstances  []GoneInstance         `json:"gone_instances"`
	Jobs           map[string]*Job        `json:"jobs"`
	JobKeys        map[string]string      `json:"job_keys"`
	Claims         map[string]*Claim      `json:"claims"`
	Waves          map[string]*Wave       `json:"waves"`
	EndedWaves     []*Wave                `json:"ended_waves"`
	SnapshotTerm   uint64                 `json:"snapshot_term"`
	Snapshot       *SnapshotProgress      `json:"snapshot,omitempty"`
	WholeSnapshot  *SnapshotProgress      `json:"whole_snapshot,omitempty"`
	MalformedCount uint64                 `json:"malformed_count"`
}

// allotment contains the units of a team that holders have and want.
type allotment struct {
	Held   map[string]int `json:"held"`
	Wanted map[string]int `json:"wanted"`
}

func newAllotment() *allotment {
	return &allotment{Held: map[string]int{}, Wanted: map[string]int{}}
}

// poolDemand is the demand for the slots of a pool. The granted slots are stored with the instances.
type poolDemand struct {
	Wanted map[string]int `json:"wanted"`
}

// ClosedSession stores the last sequence number of a closed session.
type ClosedSession struct {
	Holder string `json:"holder"`
	Seq    uint64 `json:"seq"`
}

// New returns the state before the first record.
func New() *State {
	return &State{
		d: encodedState{
			Sessions:  map[string]*Session{},
			Teams:     map[string]*allotment{},
			Pools:     map[string]*poolDemand{},
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

// Next returns the offset of the next record to apply.
func (s *State) Next() uint64 { return s.d.Next }

// MalformedRecords returns the number of records that could not be decoded.
func (s *State) MalformedRecords() uint64 { return s.d.MalformedCount }

// ConfigVersion is a version of the document. Version 0 means that no document has been published yet.
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

// Hash returns the SHA-256 of the canonical encoding. Equal offsets must give equal hashes on every entry instance.
func (s *State) Hash() ([sha256.Size]byte, error) {
	encoded, err := s.Encode()
	if err != nil {
		return [sha256.Size]byte{}, err
	}
	return sha256.Sum256(encoded), nil
}

// sortedKeys returns the keys of m in order, which makes loops over m deterministic.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// holders returns the holders of the open sessions in order. The caller must not change the result.
func (s *State) holders() []string { return s.sortedHolders }

// Reason is the code of a rejection.
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

// Outcome is the result of applying one op.
type Outcome struct {
	Kind     record.Kind `json:"kind"`
	Accepted bool        `json:"accepted"`
	Reason   Reason      `json:"reason,omitempty"`
	Detail   string      `json:"detail,omitempty"`
	// Job is the ID of the accepted job, or that of the existing job after a duplicate job_accept.
	Job string `json:"job,omitempty"`
	// Version is the document version after an accepted config_publish, or the current one after a conflict.
	Version uint64 `json:"version,omitempty"`
}

func accepted() Outcome { return Outcome{Accepted: true} }

func rejected(reason Reason, format string, args ...any) Outcome {
	return Outcome{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}
