// Package audit keeps the audit trail of changes: who changed what and when, and what the state machine decided and
// why. Entries are derived from the log alone, so every entry instance has the same entries for the same offsets.
package audit

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"pollenlead/internal/record"
	"pollenlead/internal/statemachine"
)

// DefaultCapacity is the number of entries kept in memory. At 1,100 document changes, 72 instance events and some 2,000
// moves, sessions and cancellations a day it covers about a week.
const DefaultCapacity = 20_000

// Entry is one decision of the state machine.
type Entry struct {
	Offset   uint64              `json:"offset"`
	At       time.Time           `json:"at"`
	Writer   string              `json:"writer"`
	Actor    string              `json:"actor"`
	Kind     record.Kind         `json:"kind"`
	Object   string              `json:"object"`
	Text     string              `json:"text"`
	Accepted bool                `json:"accepted"`
	Reason   statemachine.Reason `json:"reason,omitempty"`
	Detail   string              `json:"detail,omitempty"`
}

// Trail is a bounded list of entries. It is safe for concurrent use.
type Trail struct {
	mu       sync.Mutex
	capacity int
	entries  []Entry
	dropped  uint64
}

// NewTrail returns an empty trail that keeps up to capacity entries.
func NewTrail(capacity int) *Trail {
	return &Trail{capacity: capacity}
}

// Observe adds the entries of one applied record. The follower calls it in log order.
func (t *Trail) Observe(result statemachine.Result) {
	entries := Entries(result)
	if len(entries) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries = append(t.entries, entries...)
	// The list is truncated only at twice its capacity, so that most appends copy nothing.
	if extra := len(t.entries) - t.capacity; extra > t.capacity {
		t.entries = slices.Clone(t.entries[extra:])
		t.dropped += uint64(extra)
	}
}

// Query selects entries. Empty fields select everything.
type Query struct {
	Actor  string
	Object string
	Kind   record.Kind
	Since  time.Time
	Until  time.Time
	// Limit is the maximum number of entries to return; the newest are selected. 0 means no limit.
	Limit int
}

// Select returns the entries that match q, oldest first.
func (t *Trail) Select(q Query) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var selected []Entry
	for i := len(t.entries) - 1; i >= 0; i-- {
		if q.Limit > 0 && len(selected) == q.Limit {
			break
		}
		if q.matches(t.entries[i]) {
			selected = append(selected, t.entries[i])
		}
	}
	slices.Reverse(selected)
	return selected
}

func (q Query) matches(e Entry) bool {
	switch {
	case q.Actor != "" && e.Actor != q.Actor:
		return false
	case q.Object != "" && e.Object != q.Object:
		return false
	case q.Kind != "" && e.Kind != q.Kind:
		return false
	case !q.Since.IsZero() && e.At.Before(q.Since):
		return false
	case !q.Until.IsZero() && e.At.After(q.Until):
		return false
	}
	return true
}

// Entries returns the audit entries of one applied record. Renewals, demand and releases are counted elsewhere and
// produce no entry: they occur several times a second and change nothing that operators declared.
func Entries(result statemachine.Result) []Entry {
	var entries []Entry
	for i, outcome := range result.Outcomes {
		e, ok := describe(result.Record.Ops[i], result.Record)
		if !ok {
			continue
		}
		e.Offset = result.Offset
		e.At = time.UnixMilli(result.Record.AtUnixMS).UTC()
		e.Writer = result.Record.Writer
		e.Kind = outcome.Kind
		e.Accepted, e.Reason, e.Detail = outcome.Accepted, outcome.Reason, outcome.Detail
		if e.Actor == "" {
			e.Actor = e.Writer
		}
		entries = append(entries, e)
	}
	return entries
}

func describe(op record.Op, r record.Record) (Entry, bool) {
	switch {
	case op.ConfigPublish != nil:
		return Entry{
			Actor:  op.ConfigPublish.Actor,
			Object: "document",
			Text: fmt.Sprintf("publish version %d after version %d, %d bytes",
				op.ConfigPublish.Expect+1, op.ConfigPublish.Expect, len(op.ConfigPublish.Document)),
		}, true
	case op.SessionOpen != nil:
		return Entry{Object: r.Writer, Text: "open session " + r.Incarnation + " in " + op.SessionOpen.AvailabilityZone}, true
	case op.SessionClose != nil:
		return Entry{Object: r.Writer, Text: "close session " + r.Incarnation}, true
	case op.SessionRevoke != nil:
		return Entry{
			Object: op.SessionRevoke.Holder,
			Text:   fmt.Sprintf("revoke the session, no renewal after offset %d", op.SessionRevoke.LastRenewal),
		}, true
	case op.InstanceMove != nil:
		m := op.InstanceMove
		return Entry{
			Actor: m.Actor, Object: m.Instance, Text: fmt.Sprintf("move from pool %s to pool %s", m.From, m.To),
		}, true
	case op.InstancesReport != nil:
		return describeReport(*op.InstancesReport), true
	case op.JobCancel != nil:
		c := op.JobCancel
		return Entry{
			Actor: c.Actor, Object: strings.Join(c.Jobs, ","), Text: fmt.Sprintf("cancel %d jobs", len(c.Jobs)),
		}, true
	default:
		return describeWave(op)
	}
}

func describeReport(report record.InstancesReport) Entry {
	counts := map[record.Phase]int{}
	for _, instance := range report.Instances {
		counts[instance.Phase]++
	}
	object := "fleet"
	if len(report.Instances) == 1 {
		object = report.Instances[0].ID
	}
	return Entry{
		Object: object,
		Text: fmt.Sprintf("list version %d: %d live, %d leaving, %d gone", report.ListVersion,
			counts[record.PhaseLive], counts[record.PhaseLeaving], counts[record.PhaseGone]),
	}
}
