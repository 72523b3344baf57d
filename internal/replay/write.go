package replay

import (
	"bufio"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"pollenlead/internal/record"
	"pollenlead/internal/statemachine"
)

// Entry is one record of a log that is written as a trace.
type Entry struct {
	Offset uint64
	Data   []byte
}

// hashInterval is the number of records between two hashes in a written trace. A wrong fold shows close to its cause.
const hashInterval = 50

// Write writes the records of a log, from its first one on, as a trace. The expectations are the outcomes that the fold of this
// binary gives now, so that a replay with a later binary shows every change: the outcome of each op that operators or
// failures caused, the hash from time to time, and at the end the pool of each instance and the state of each job.
func Write(w io.Writer, entries []Entry) error {
	buffered := bufio.NewWriter(w)
	enc := json.NewEncoder(buffered)
	state := statemachine.New()
	for n, entry := range entries {
		if n == 0 {
			state.SkipTo(entry.Offset)
		}
		if err := writeEntry(enc, state, entry); err != nil {
			return fmt.Errorf("write trace: offset %d: %w", entry.Offset, err)
		}
		if (n+1)%hashInterval == 0 {
			if err := writeHash(enc, state); err != nil {
				return err
			}
		}
	}
	return errors.Join(writeEnd(enc, state), buffered.Flush())
}

func writeEntry(enc *json.Encoder, state *statemachine.State, entry Entry) error {
	written := map[string]any{"offset": entry.Offset, "data": json.RawMessage(entry.Data)}
	if !json.Valid(entry.Data) {
		written = map[string]any{"offset": entry.Offset, "base64": entry.Data}
	}
	if err := enc.Encode(map[string]any{"record": written}); err != nil {
		return err
	}
	result, err := state.Apply(entry.Offset, entry.Data)
	if err != nil {
		return err
	}
	for n, outcome := range result.Outcomes {
		if !isTraced(outcome) {
			continue
		}
		expect := outcomeExpect{Offset: entry.Offset, Op: n, Accepted: outcome.Accepted, Reason: outcome.Reason}
		if err := enc.Encode(map[string]any{"outcome": expect}); err != nil {
			return err
		}
	}
	return nil
}

// isTraced reports whether the outcome is worth a line: every rejection, and the decisions that are rare.
func isTraced(outcome statemachine.Outcome) bool {
	if !outcome.Accepted {
		return true
	}
	switch outcome.Kind {
	case record.KindConfigPublish, record.KindSessionOpen, record.KindSessionClose, record.KindSessionRevoke,
		record.KindInstanceMove, record.KindWaveStart, record.KindLeaveRequest:
		return true
	default:
		return false
	}
}

func writeHash(enc *json.Encoder, state *statemachine.State) error {
	sum, err := state.Hash()
	if err != nil {
		return err
	}
	return enc.Encode(map[string]any{"hash": hashExpect{Offset: state.Next(), SHA256: hex.EncodeToString(sum[:])}})
}

func writeEnd(enc *json.Encoder, state *statemachine.State) error {
	for _, i := range state.Instances() {
		expect := poolExpect{Offset: state.Next(), Instance: i.Facts.ID, Pool: i.Pool, MovingTo: i.MovingTo}
		if err := enc.Encode(map[string]any{"pool": expect}); err != nil {
			return err
		}
	}
	for _, id := range state.FinishedJobs() {
		job, _ := state.Job(id)
		expect := jobExpect{Offset: state.Next(), Job: id, State: job.State, Holder: &job.Holder, Attempt: &job.Attempt}
		if err := enc.Encode(map[string]any{"job": expect}); err != nil {
			return err
		}
	}
	return writeHash(enc, state)
}
