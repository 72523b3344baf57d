// Package replay folds a recorded trace of control records and compares the result with the expectations in the trace.
// docs/traces.md describes the format.
package replay

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"pollenlead/internal/record"
	"pollenlead/internal/statemachine"
)

// maxLineBytes bounds one line: the largest record in base64 with its frame.
const maxLineBytes = 2 * record.MaxRecordBytes

// ErrFormat marks a line that is not part of a trace.
var ErrFormat = errors.New("malformed trace")

// Difference is the first expectation that does not hold.
type Difference struct {
	Line       int
	Field      string
	Want, Have string
}

// String describes the difference for operators.
func (d *Difference) String() string {
	return fmt.Sprintf("line %d: %s: expected %q, have %q", d.Line, d.Field, d.Want, d.Have)
}

// Result is what a replay found. It ends at the first difference.
type Result struct {
	Records      int
	Expectations int
	// Difference is nil if every expectation holds.
	Difference *Difference
}

// line is one line of a trace. Exactly one field is set.
type line struct {
	Record  *recordLine    `json:"record"`
	Outcome *outcomeExpect `json:"outcome"`
	Hash    *hashExpect    `json:"hash"`
	Units   *unitsExpect   `json:"units"`
	Slots   *slotsExpect   `json:"slots"`
	Pool    *poolExpect    `json:"pool"`
	Job     *jobExpect     `json:"job"`
}

type recordLine struct {
	Offset uint64          `json:"offset"`
	Data   json.RawMessage `json:"data"`
	// Base64 holds records that are not JSON objects.
	Base64 []byte `json:"base64"`
}

type outcomeExpect struct {
	Offset   uint64              `json:"offset"`
	Op       int                 `json:"op"`
	Accepted bool                `json:"accepted"`
	Reason   statemachine.Reason `json:"reason"`
}

type hashExpect struct {
	Offset uint64 `json:"offset"`
	SHA256 string `json:"sha256"`
}

type unitsExpect struct {
	Offset uint64 `json:"offset"`
	Holder string `json:"holder"`
	Team   string `json:"team"`
	Units  int    `json:"units"`
}

type slotsExpect struct {
	Offset   uint64 `json:"offset"`
	Holder   string `json:"holder"`
	Instance string `json:"instance"`
	Slots    int    `json:"slots"`
}

type poolExpect struct {
	Offset   uint64 `json:"offset"`
	Instance string `json:"instance"`
	Pool     string `json:"pool"`
	MovingTo string `json:"moving_to"`
}

type jobExpect struct {
	Offset  uint64                `json:"offset"`
	Job     string                `json:"job"`
	State   statemachine.JobState `json:"state"`
	Holder  *string               `json:"holder"`
	Attempt *int                  `json:"attempt"`
}

// Run replays a trace from the empty state. The error says that the trace cannot be read or folded; expectations that do
// not hold are in the result.
func Run(trace io.Reader) (Result, error) {
	p := player{state: statemachine.New()}
	scanner := bufio.NewScanner(trace)
	scanner.Buffer(nil, maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		if err := p.play(text); err != nil {
			return p.result, fmt.Errorf("line %d: %w", number, err)
		}
		if d := p.result.Difference; d != nil {
			d.Line = number
			return p.result, nil
		}
	}
	if err := scanner.Err(); err != nil {
		return p.result, fmt.Errorf("read trace: %w", err)
	}
	return p.result, nil
}

// player is a replay under way.
type player struct {
	state  *statemachine.State
	last   statemachine.Result
	result Result
}

func (p *player) play(text []byte) error {
	var l line
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&l); err != nil {
		return fmt.Errorf("%w: %v", ErrFormat, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: data after the object", ErrFormat)
	}
	if l.count() != 1 {
		return fmt.Errorf("%w: exactly one field is needed, found %d", ErrFormat, l.count())
	}
	if l.Record != nil {
		return p.apply(*l.Record)
	}
	p.result.Expectations++
	return p.check(l)
}

func (l *line) count() int {
	n := 0
	for _, set := range []bool{
		l.Record != nil, l.Outcome != nil, l.Hash != nil, l.Units != nil, l.Slots != nil, l.Pool != nil, l.Job != nil,
	} {
		if set {
			n++
		}
	}
	return n
}

func (p *player) apply(r recordLine) error {
	data := r.Base64
	if len(r.Data) > 0 {
		if len(data) > 0 {
			return fmt.Errorf("%w: record %d has data and base64", ErrFormat, r.Offset)
		}
		data = r.Data
	}
	if p.result.Records == 0 {
		p.state.SkipTo(r.Offset)
	}
	last, err := p.state.Apply(r.Offset, data)
	if err != nil {
		return fmt.Errorf("fold record: %w", err)
	}
	p.last = last
	p.result.Records++
	return nil
}

func (p *player) check(l line) error {
	switch {
	case l.Outcome != nil:
		return p.checkOutcome(*l.Outcome)
	case l.Hash != nil:
		return p.checkHash(*l.Hash)
	case l.Units != nil:
		p.equal("units", l.Units.Units, p.state.TeamUnits(l.Units.Holder, l.Units.Team))
		return p.at(l.Units.Offset)
	case l.Slots != nil:
		p.equal("slots", l.Slots.Slots, p.state.InstanceSlots(l.Slots.Holder, l.Slots.Instance))
		return p.at(l.Slots.Offset)
	case l.Pool != nil:
		p.checkPool(*l.Pool)
		return p.at(l.Pool.Offset)
	default:
		p.checkJob(*l.Job)
		return p.at(l.Job.Offset)
	}
}

// at requires that the expectation is about the state before the record at offset. A line in the wrong place is an error
// and not a difference, because it says nothing about the fold.
func (p *player) at(offset uint64) error {
	if offset != p.state.Next() {
		return fmt.Errorf("%w: expectation at offset %d, the next record is %d", ErrFormat, offset, p.state.Next())
	}
	return nil
}

func (p *player) checkOutcome(e outcomeExpect) error {
	if p.result.Records == 0 || e.Offset != p.last.Offset {
		return fmt.Errorf("%w: outcome of offset %d, the last record is %d", ErrFormat, e.Offset, p.last.Offset)
	}
	if e.Op < 0 || e.Op >= len(p.last.Outcomes) {
		p.equal("op", e.Op, fmt.Sprintf("%d outcomes", len(p.last.Outcomes)))
		return nil
	}
	o := p.last.Outcomes[e.Op]
	p.equal("accepted", e.Accepted, o.Accepted)
	p.equal("reason", e.Reason, o.Reason)
	return nil
}

func (p *player) checkHash(e hashExpect) error {
	hash, err := p.state.Hash()
	if err != nil {
		return err
	}
	p.equal("sha256", e.SHA256, hex.EncodeToString(hash[:]))
	return p.at(e.Offset)
}

func (p *player) checkPool(e poolExpect) {
	instance, ok := p.state.Instance(e.Instance)
	if !ok {
		p.equal("instance", e.Instance, "")
		return
	}
	p.equal("pool", e.Pool, instance.Pool)
	p.equal("moving_to", e.MovingTo, instance.MovingTo)
}

func (p *player) checkJob(e jobExpect) {
	job, ok := p.state.Job(e.Job)
	if !ok {
		p.equal("job", e.Job, "")
		return
	}
	p.equal("state", e.State, job.State)
	if e.Holder != nil {
		p.equal("holder", *e.Holder, job.Holder)
	}
	if e.Attempt != nil {
		p.equal("attempt", *e.Attempt, job.Attempt)
	}
}

// equal notes the first field that differs.
func (p *player) equal(field string, want, have any) {
	w, h := fmt.Sprint(want), fmt.Sprint(have)
	if w != h && p.result.Difference == nil {
		p.result.Difference = &Difference{Field: field, Want: w, Have: h}
	}
}
