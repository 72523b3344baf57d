// Package operator implements the operators' HTTP interface of an entry instance: publishing and reading the document,
// status, audit trail, moves of instances, maintenance waves, and health.
package operator

import (
	"time"

	"pollenlead/internal/audit"
	"pollenlead/internal/config"
	"pollenlead/internal/statemachine"
)

// ConfigResponse is the answer with the document in force.
type ConfigResponse struct {
	Version  uint64 `json:"version"`
	Offset   uint64 `json:"offset"`
	Document string `json:"document"`
}

// CheckResponse is the result of checking or comparing a document.
type CheckResponse struct {
	Version  uint64           `json:"version"`
	Problems []config.Problem `json:"problems"`
	Changes  []config.Change  `json:"changes"`
}

// PublishResponse is the version that a publish request created.
type PublishResponse struct {
	Version uint64 `json:"version"`
}

// MoveRequest is the request to move an instance to another pool.
type MoveRequest struct {
	From string `json:"from"`
	To   string `json:"to"`
}

// AuditResponse is a part of the audit trail, oldest entry first.
type AuditResponse struct {
	Entries []audit.Entry `json:"entries"`
}

// StatusResponse is the state of the system as one entry instance has it.
type StatusResponse struct {
	Name             string       `json:"name"`
	Incarnation      string       `json:"incarnation"`
	AvailabilityZone string       `json:"availability_zone"`
	Applied          uint64       `json:"applied_offset"`
	StateHash        string       `json:"state_sha256"`
	ConfigVersion    uint64       `json:"config_version"`
	SessionValid     bool         `json:"session_valid"`
	TakesKeyedWork   bool         `json:"takes_keyed_work"`
	ContactReason    string       `json:"contact_reason,omitempty"`
	LogContactMS     int64        `json:"log_contact_age_ms"`
	Members          []Member     `json:"members"`
	Teams            []TeamStatus `json:"teams"`
	Pools            []PoolStatus `json:"pools"`

	Jobs      map[statemachine.JobState]int `json:"jobs"`
	Instances []InstanceStatus              `json:"instances"`
}

// Member is one entry instance with an open session, as the answering instance sees it.
type Member struct {
	Name             string `json:"name"`
	Holder           string `json:"holder"`
	AvailabilityZone string `json:"availability_zone"`
	// Heard is false if no heartbeat of this incarnation has arrived.
	Heard         bool   `json:"heard"`
	AgeMS         int64  `json:"age_ms"`
	Applied       uint64 `json:"applied_offset"`
	ConfigVersion uint64 `json:"config_version"`
}

// TeamStatus is the limit and usage of a team across the fleet.
type TeamStatus struct {
	Name       string `json:"name"`
	Share      int    `json:"share"`
	UpperLimit int    `json:"upper_limit"`
	Granted    int    `json:"granted_units"`
	Running    int    `json:"running"`
	Queued     int    `json:"queued"`
}

// PoolStatus is the capacity and usage of a pool across the fleet.
type PoolStatus struct {
	Name      string `json:"name"`
	Instances int    `json:"instances"`
	Live      int    `json:"live_instances"`
	Slots     int    `json:"slots"`
	Granted   int    `json:"granted_slots"`
	Running   int    `json:"running"`
	Queued    int    `json:"queued"`
}

// InstanceStatus is the state of one instance.
type InstanceStatus struct {
	ID               string `json:"id"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
	Rack             string `json:"rack"`
	Phase            string `json:"phase"`
	Pool             string `json:"pool"`
	MovingTo         string `json:"moving_to,omitempty"`
	Slots            int    `json:"slots"`
	Granted          int    `json:"granted_slots"`
}

// ErrorResponse is a problem detail (RFC 9457) of the operators' interface.
type ErrorResponse struct {
	Type     string           `json:"type"`
	Title    string           `json:"title"`
	Status   int              `json:"status"`
	Detail   string           `json:"detail,omitempty"`
	Reason   string           `json:"reason"`
	Version  uint64           `json:"version,omitempty"`
	Problems []config.Problem `json:"problems,omitempty"`
}

// submitTimeout bounds the wait of an operator's request for the log.
const submitTimeout = 20 * time.Second
