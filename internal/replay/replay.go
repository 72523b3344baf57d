// Package replay applies a recorded trace of control records to the replicated state machine and compares the results
// with the expectations in the trace. docs/traces.md describes the format.
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

// maxLineBytes is the maximum length of a line. It has room for the largest record in base64 and the JSON around it.
const maxLineBytes = 2 * record.MaxRecordBytes

// ErrFormat is returned if a line does not have the format of a trace or is in the wrong place.
var ErrFormat = errors.New("malformed trace")

// Difference describes an expectation that does not hold. The names of its fields are part of the JSON output of
// pollenctl.
type Difference struct {
	Line       int
	Field      string
	Want, Have string
}

// String returns the text that is shown to operators.
func (d *Difference) String() string {
	return fmt.Sprintf("line %d: %s: expected %q, have %q", d.Line, d.Field, d.Want, d.Have)
}

// Result is the result of a replay, which ends at the first difference. The names of its fields are part of the JSON
// output of pollenctl.
type Result struct {
	Records      int
	Expectations int
	// Difference is the first expectation that does not hold, or nil if all hold.
	Difference *Difference
}

// line is one line of a trace. Exactly one field is set.
type line struct {
	Record  *recordLine         `json:"record"`
	Outcome *outcomeExpectation `json:"outcome"`
	Hash    *hashExpectation    `json:"hash"`
	Units   *unitsExpectation   `json:"units"`
	Slots   *slotsExpectation   `json:"slots"`
	Pool    *poolExpectation    `json:"pool"`
	Job     *jobExpectation     `json:"job"`
}

type recordLine struct {
	Offset uint64          `json:"offset"`
	Data   json.RawMessage `json:"data"`
	// Base64 holds a record that is not a JSON object.
	Base64 []byte `json:"base64"`
}

type outcomeExpectation struct {
	Offset   uint64              `json:"offset"`
	Op       int                 `json:"op"`
	Accepted bool                `json:"accepted"`
	Reason   statemachine.Reason `json:"reason"`
}

type hashExpectation struct {
	Offset uint64 `json:"offset"`
	SHA256 string `json:"sha256"`
}

type unitsExpectation struct {
	Offset uint64 `json:"offset"`
	Holder string `json:"holder"`
	Team   string `json:"team"`
	Units  int    `json:"units"`
}

type slotsExpectation struct {
	Offset   uint64 `json:"offset"`
	Holder   string `json:"holder"`
	Instance string `json:"instance"`
	Slots    int    `json:"slots"`
}

type poolExpectation struct {
	Offset   uint64 `json:"offset"`
	Instance string `json:"instance"`
	Pool     string `json:"pool"`
	MovingTo string `json:"moving_to"`
}

type jobExpectation struct {
	Offset  uint64                `json:"offset"`
	Job     string                `json:"job"`
	State   statemachine.JobState `json:"state"`
	Holder  *string               `json:"holder"`
	Attempt *int                  `json:"attempt"`
}

// Run replays a trace from the empty state. It returns an error if the trace cannot be read or a record cannot be
// applied. An expectation that does not hold is not an error but reported in the result.
func Run(trace io.Reader) (Result, error) {
	p := replayer{state: statemachine.New()}
	scanner := bufio.NewScanner(trace)
	scanner.Buffer(nil, maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		if err := p.replayLine(text); err != nil {
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

// replayer holds the state of a replay.
type replayer struct {
	state  *statemachine.State
	last   statemachine.Result
	result Result
}

func (p *replayer) replayLine(text []byte) error {
	var l line
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&l); err != nil {
		return fmt.Errorf("%w: %v", ErrFormat, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: data after the object", ErrFormat)
	}
	if l.countFields() != 1 {
		return fmt.Errorf("%w: expected exactly one field, got %d", ErrFormat, l.countFields())
	}
	if l.Record != nil {
		return p.apply(*l.Record)
	}
	p.result.Expectations++
	return p.check(l)
}

func (l *line) countFields() int {
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

func (p *replayer) apply(r recordLine) error {
	data := r.Base64
	if len(r.Data) > 0 {
		if len(data) > 0 {
			return fmt.Errorf("%w: the record at offset %d has both data and base64", ErrFormat, r.Offset)
		}
		data = r.Data
	}
	if p.result.Records == 0 {
		p.state.SkipTo(r.Offset)
	}
	last, err := p.state.Apply(r.Offset, data)
	if err != nil {
		return fmt.Errorf("apply record: %w", err)
	}
	p.last = last
	p.result.Records++
	return nil
}

func (p *replayer) check(l line) error {
	switch {
	case l.Outcome != nil:
		return p.checkOutcome(*l.Outcome)
	case l.Hash != nil:
		return p.checkHash(*l.Hash)
	case l.Units != nil:
		p.compare("units", l.Units.Units, p.state.TeamUnits(l.Units.Holder, l.Units.Team))
		return p.checkOffset(l.Units.Offset)
	case l.Slots != nil:
		p.compare("slots", l.Slots.Slots, p.state.InstanceSlots(l.Slots.Holder, l.Slots.Instance))
		return p.checkOffset(l.Slots.Offset)
	case l.Pool != nil:
		p.checkPool(*l.Pool)
		return p.checkOffset(l.Pool.Offset)
	default:
		p.checkJob(*l.Job)
		return p.checkOffset(l.Job.Offset)
	}
}

// checkOffset returns an error unless offset is the offset of the next record, so that the expectation applies to the
// current state. A line in the wrong place is an error and not a difference, because it is no evidence of a fault in
// the state machine.
func (p *replayer) checkOffset(offset uint64) error {
	if offset != p.state.Next() {
		return fmt.Errorf("%w: expectation at offset %d, the next offset is %d", ErrFormat, offset, p.state.Next())
	}
	return nil
}

func (p *replayer) checkOutcome(e outcomeExpectation) error {
	if p.result.Records == 0 || e.Offset != p.last.Offset {
		return fmt.Errorf("%w: outcome at offset %d, the last record is at offset %d", ErrFormat, e.Offset, p.last.Offset)
	}
	if e.Op < 0 || e.Op >= len(p.last.Outcomes) {
		p.compare("op", e.Op, fmt.Sprintf("%d outcomes", len(p.last.Outcomes)))
		return nil
	}
	o := p.last.Outcomes[e.Op]
	p.compare("accepted", e.Accepted, o.Accepted)
	p.compare("reason", e.Reason, o.Reason)
	return nil
}

func (p *replayer) checkHash(e hashExpectation) error {
	hash, err := p.state.Hash()
	if err != nil {
		return err
	}
	p.compare("sha256", e.SHA256, hex.EncodeToString(hash[:]))
	return p.checkOffset(e.Offset)
}

func (p *replayer) checkPool(e poolExpectation) {
	instance, ok := p.state.Instance(e.Instance)
	if !ok {
		p.compare("instance", e.Instance, "")
		return
	}
	p.compare("pool", e.Pool, instance.Pool)
	p.compare("moving_to", e.MovingTo, instance.MovingTo)
}

func (p *replayer) checkJob(e jobExpectation) {
	job, ok := p.state.Job(e.Job)
	if !ok {
		p.compare("job", e.Job, "")
		return
	}
	p.compare("state", e.State, job.State)
	if e.Holder != nil {
		p.compare("holder", *e.Holder, job.Holder)
	}
	if e.Attempt != nil {
		p.compare("attempt", *e.Attempt, job.Attempt)
	}
}

// compare records the first field whose value differs from the expectation.
func (p *replayer) compare(field string, want, have any) {
	w, h := fmt.Sprint(want), fmt.Sprint(have)
	if w != h && p.result.Difference == nil {
		p.result.Difference = &Difference{Field: field, Want: w, Have: h}
	}
}
