// Package record defines the typed control records that entry instances append to the platform's log, and their codec.
package record

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// SchemaVersion is the schema of the records that this binary writes and the newest schema that it can apply.
const SchemaVersion = 1

// MaxRecordBytes is the maximum size of an encoded record. It lets readers bound their buffers.
const MaxRecordBytes = 4 << 20

// Record is one entry of the log. It contains the ops that one writer batched into one append.
//
// Writer, Incarnation and Seq identify the record. A writer has one append outstanding at a time and repeats the same
// record until its outcome is known, so a reader can drop every record whose Seq is not above the last one that it
// applied for the incarnation.
type Record struct {
	Schema      int    `json:"schema"`
	Writer      string `json:"writer"`
	Incarnation string `json:"incarnation"`
	Seq         uint64 `json:"seq"`
	// AtUnixMS is the wall clock of the writer in milliseconds. It is shown in the audit trail; the state machine
	// never reads it.
	AtUnixMS int64 `json:"at_unix_ms,omitempty"`
	Ops      []Op  `json:"ops"`
}

// NewerSchemaError is the error for a record with a newer schema than this binary supports. The reader must stop,
// because it cannot interpret the record.
type NewerSchemaError struct {
	Schema int
}

// Error implements error.
func (e *NewerSchemaError) Error() string {
	return fmt.Sprintf("record schema %d is newer than the supported schema %d", e.Schema, SchemaVersion)
}

// ErrMalformed is wrapped by every decoding error other than NewerSchemaError.
var ErrMalformed = errors.New("malformed record")

// Encode returns the JSON form of r with the current schema version.
func Encode(r Record) ([]byte, error) {
	r.Schema = SchemaVersion
	if err := r.validate(); err != nil {
		return nil, err
	}
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record %s/%d: %w", r.Incarnation, r.Seq, err)
	}
	if len(data) > MaxRecordBytes {
		return nil, fmt.Errorf("encode record %s/%d: %d bytes exceed the limit of %d",
			r.Incarnation, r.Seq, len(data), MaxRecordBytes)
	}
	return data, nil
}

// Decode parses one record. It returns a *NewerSchemaError for a record of a newer binary, and an error that wraps
// ErrMalformed for anything that is not a record.
func Decode(data []byte) (Record, error) {
	if len(data) > MaxRecordBytes {
		return Record{}, fmt.Errorf("%w: %d bytes exceed the limit of %d", ErrMalformed, len(data), MaxRecordBytes)
	}
	// The schema is decoded first and unknown fields are ignored, because a record of a newer schema may have fields that
	// this binary does not support.
	var head struct {
		Schema int `json:"schema"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return Record{}, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if head.Schema > SchemaVersion {
		return Record{}, &NewerSchemaError{Schema: head.Schema}
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var r Record
	if err := dec.Decode(&r); err != nil {
		return Record{}, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return Record{}, fmt.Errorf("%w: data after the record", ErrMalformed)
	}
	if err := r.validate(); err != nil {
		return Record{}, err
	}
	return r, nil
}

func (r *Record) validate() error {
	switch {
	case r.Schema < 1:
		return fmt.Errorf("%w: schema %d", ErrMalformed, r.Schema)
	case r.Writer == "" || r.Incarnation == "":
		return fmt.Errorf("%w: no writer or incarnation", ErrMalformed)
	case r.Seq == 0:
		return fmt.Errorf("%w: seq 0", ErrMalformed)
	case len(r.Ops) == 0:
		return fmt.Errorf("%w: no ops", ErrMalformed)
	}
	for i := range r.Ops {
		if r.Ops[i].Kind() == "" {
			return fmt.Errorf("%w: op %d does not have exactly one kind", ErrMalformed, i)
		}
	}
	return nil
}
