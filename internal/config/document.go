// Package config holds the document that operators publish: its types, parsing, validation, differences and API keys.
package config

import "time"

// DocumentSchema is the schema number of the documents that this binary understands.
const DocumentSchema = 1

// Document is the whole configuration in force.
type Document struct {
	Schema    int        `yaml:"schema"`
	Limits    Limits     `yaml:"limits"`
	Pools     []Pool     `yaml:"pools"`
	Services  []Service  `yaml:"services"`
	Teams     []Team     `yaml:"teams"`
	Queues    []Queue    `yaml:"queues"`
	Operators []Operator `yaml:"operators"`
}

// Limits bound what one request or job may use of an entry instance.
type Limits struct {
	HeaderBytes      int   `yaml:"header_bytes"`
	BodyBytes        int64 `yaml:"body_bytes"`
	JobBodyBytes     int64 `yaml:"job_body_bytes"`
	QueueLength      int   `yaml:"queue_length"`
	QueueSeconds     int   `yaml:"queue_seconds"`
	JobResultSeconds int   `yaml:"job_result_seconds"`
}

// QueueTimeout is the longest time that a request waits for capacity.
func (l Limits) QueueTimeout() time.Duration { return time.Duration(l.QueueSeconds) * time.Second }

// JobResultRetention is how long the result of a finished job is kept.
func (l Limits) JobResultRetention() time.Duration {
	return time.Duration(l.JobResultSeconds) * time.Second
}

// Pool is a set of instances that serve the same services.
type Pool struct {
	Name               string             `yaml:"name"`
	Members            []string           `yaml:"members"`
	Spare              bool               `yaml:"spare"`
	AvailabilityBudget AvailabilityBudget `yaml:"availability_budget"`
}

// AvailabilityBudget is what maintenance must leave running in a pool.
type AvailabilityBudget struct {
	MinAvailablePercent int `yaml:"min_available_percent"`
}

// Service is a kind of backend server, run by the instances of one pool.
type Service struct {
	Name           string `yaml:"name"`
	Pool           string `yaml:"pool"`
	TimeoutSeconds int    `yaml:"timeout_seconds"`
	Urgent         bool   `yaml:"urgent"`
}

// Timeout is the longest time that one attempt of a synchronous request may take.
func (s Service) Timeout() time.Duration { return time.Duration(s.TimeoutSeconds) * time.Second }

// Team is a client account.
type Team struct {
	Name       string `yaml:"name"`
	Share      int    `yaml:"share"`
	UpperLimit int    `yaml:"upper_limit"`
	MayUrgent  bool   `yaml:"may_urgent"`
	Keys       []Key  `yaml:"keys"`
}

// Key is an API key of a team or operator; only its hash is in the document.
type Key struct {
	ID     string `yaml:"id"`
	SHA256 string `yaml:"sha256"`
}

// Queue is an entry for jobs of one service. An open queue takes jobs without a key and charges them to Team.
type Queue struct {
	Name    string `yaml:"name"`
	Service string `yaml:"service"`
	Open    bool   `yaml:"open"`
	Team    string `yaml:"team"`
}

// Role is what an operator may do. Each role includes the ones before it.
type Role string

// The roles, from the least to the most powerful.
const (
	RoleView    Role = "view"
	RoleOperate Role = "operate"
	RolePublish Role = "publish"
)

// Operator is a person or tool that may use the operators' interface.
type Operator struct {
	Name string `yaml:"name"`
	Role Role   `yaml:"role"`
	Key  Key    `yaml:"key"`
}

// Problem is one error in a document.
type Problem struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Path    string `json:"path"`
	Message string `json:"message"`
}

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
