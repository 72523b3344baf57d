// Package config defines the document that operators publish: its types, parsing, validation, comparison, JSON schema
// and API keys.
package config

import (
	"time"

	"pollenlead/internal/yamldoc"
)

// DocumentSchema is the schema number of the documents that this binary supports.
const DocumentSchema = 1

// MaxBytes is the maximum size of a document. A document is appended to the log in one record and parsed by every entry
// instance.
const MaxBytes = 4 << 20

// Document is the configuration of the system.
//
// The jsonschema tags contain the rules that Parse checks for single fields; see package yamldoc.
type Document struct {
	Schema int    `yaml:"schema" jsonschema:"required,minimum=1"`
	Limits Limits `yaml:"limits"`
	// Maintenance configures maintenance waves.
	Maintenance Maintenance `yaml:"maintenance"`
	Pools       []Pool      `yaml:"pools" jsonschema:"required"`
	Services    []Service   `yaml:"services"`
	Teams       []Team      `yaml:"teams"`
	Queues      []Queue     `yaml:"queues"`
	Operators   []Operator  `yaml:"operators"`

	// keys contains the API keys by ID. Only Parse builds it, so other documents authenticate no token.
	keys map[string]keyEntry
}

// Limits contains the limits of an entry instance for each request and job.
type Limits struct {
	HeaderBytes      int   `yaml:"header_bytes" jsonschema:"minimum=1024,maximum=1048576"`
	BodyBytes        int64 `yaml:"body_bytes" jsonschema:"minimum=1,maximum=1073741824"`
	JobBodyBytes     int64 `yaml:"job_body_bytes" jsonschema:"minimum=1,maximum=1048576"`
	QueueLength      int   `yaml:"queue_length" jsonschema:"minimum=1,maximum=100000"`
	QueueSeconds     int   `yaml:"queue_seconds" jsonschema:"minimum=1,maximum=300"`
	JobResultSeconds int   `yaml:"job_result_seconds" jsonschema:"minimum=1,maximum=604800"`
}

// DefaultLimits returns the limits that apply if the document sets none.
func DefaultLimits() Limits {
	return Limits{
		HeaderBytes:      16 << 10,
		BodyBytes:        8 << 20,
		JobBodyBytes:     256 << 10,
		QueueLength:      2000,
		QueueSeconds:     10,
		JobResultSeconds: 3600,
	}
}

// QueueTimeout returns the maximum time that a request waits for capacity.
func (l Limits) QueueTimeout() time.Duration { return time.Duration(l.QueueSeconds) * time.Second }

// JobResultRetention returns how long the result of a finished job is stored.
func (l Limits) JobResultRetention() time.Duration {
	return time.Duration(l.JobResultSeconds) * time.Second
}

// Pool is a set of instances that run the same services.
type Pool struct {
	Name    string   `yaml:"name" jsonschema:"required,minLength=1,maxLength=63,pattern=^[a-z0-9-]+$"`
	Members []string `yaml:"members"`
	Spare   bool     `yaml:"spare"`
	// Size is the intended number of instances in the pool, or 0 if it is not declared. The availability budget is
	// computed for at least this number, so that the minimum does not fall when instances fail.
	Size               int                `yaml:"size" jsonschema:"minimum=0,maximum=10000"`
	AvailabilityBudget AvailabilityBudget `yaml:"availability_budget"`
}

// AvailabilityBudget is the part of a pool that must stay available during maintenance.
type AvailabilityBudget struct {
	MinAvailablePercent int `yaml:"min_available_percent" jsonschema:"required,minimum=0,maximum=100"`
}

// Service is a type of backend server that runs on the instances of one pool.
type Service struct {
	Name           string `yaml:"name" jsonschema:"required,minLength=1,maxLength=63,pattern=^[a-z0-9-]+$"`
	Pool           string `yaml:"pool" jsonschema:"required,minLength=1,maxLength=63,pattern=^[a-z0-9-]+$"`
	TimeoutSeconds int    `yaml:"timeout_seconds" jsonschema:"required,minimum=1,maximum=3600"`
	Urgent         bool   `yaml:"urgent"`
}

// Timeout returns the maximum duration of one attempt of a synchronous request.
func (s Service) Timeout() time.Duration { return time.Duration(s.TimeoutSeconds) * time.Second }

// Team is a client account.
type Team struct {
	Name       string `yaml:"name" jsonschema:"required,minLength=1,maxLength=63,pattern=^[a-z0-9-]+$"`
	Share      int    `yaml:"share" jsonschema:"required,minimum=1,maximum=1000"`
	UpperLimit int    `yaml:"upper_limit" jsonschema:"required,minimum=0,maximum=100000"`
	MayUrgent  bool   `yaml:"may_urgent"`
	Keys       []Key  `yaml:"keys"`
}

// Key is an API key of a team or operator. The document contains only its hash.
type Key struct {
	ID     string `yaml:"id" jsonschema:"required,minLength=1,maxLength=63,pattern=^[a-z0-9-]+$"`
	SHA256 string `yaml:"sha256" jsonschema:"required,minLength=64,maxLength=64,pattern=^[0-9a-f]+$"`
}

// Queue accepts jobs for one service. An open queue accepts jobs without an API key and charges them to Team.
type Queue struct {
	Name    string `yaml:"name" jsonschema:"required,minLength=1,maxLength=63,pattern=^[a-z0-9-]+$"`
	Service string `yaml:"service" jsonschema:"required,minLength=1,maxLength=63,pattern=^[a-z0-9-]+$"`
	Open    bool   `yaml:"open"`
	Team    string `yaml:"team" jsonschema:"minLength=1,maxLength=63,pattern=^[a-z0-9-]+$"`
}

// Role is the set of permissions of an operator. Each role includes the permissions of the roles before it.
type Role string

// The roles, from the fewest to the most permissions.
const (
	RoleView    Role = "view"
	RoleOperate Role = "operate"
	RolePublish Role = "publish"
)

// Operator is a person or tool with access to the operators' interface.
type Operator struct {
	Name string `yaml:"name" jsonschema:"required,minLength=1,maxLength=63,pattern=^[a-z0-9-]+$"`
	Role Role   `yaml:"role" jsonschema:"required,enum=view,enum=operate,enum=publish"`
	Key  Key    `yaml:"key" jsonschema:"required"`
}

// Problem is one error in a document.
type Problem = yamldoc.Problem

// Pool returns the pool with the given name.
func (d *Document) Pool(name string) (Pool, bool) {
	return find(d.Pools, func(p Pool) bool { return p.Name == name })
}

// Service returns the service with the given name.
func (d *Document) Service(name string) (Service, bool) {
	return find(d.Services, func(s Service) bool { return s.Name == name })
}

// Team returns the team with the given name.
func (d *Document) Team(name string) (Team, bool) {
	return find(d.Teams, func(t Team) bool { return t.Name == name })
}

// Queue returns the queue with the given name.
func (d *Document) Queue(name string) (Queue, bool) {
	return find(d.Queues, func(q Queue) bool { return q.Name == name })
}

func find[T any](items []T, match func(T) bool) (T, bool) {
	for _, item := range items {
		if match(item) {
			return item, true
		}
	}
	var zero T
	return zero, false
}
