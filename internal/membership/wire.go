package membership

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"pollenlead/internal/platform"
	"pollenlead/internal/record"
)

const (
	// maxMessageBytes is the maximum size of a message: a record of the maximum size in base64 and 64 KiB for the rest.
	maxMessageBytes = record.MaxRecordBytes/3*4 + (64 << 10)
	// maxRelayBytes is the maximum total size of the records in the answer to a relayed read.
	maxRelayBytes = record.MaxRecordBytes / 2
	// maxRelayRecords is the maximum number of records in the answer to a relayed read.
	maxRelayRecords = 64
	// writeTimeout limits a write to a connection whose peer does not read.
	writeTimeout = 5 * time.Second
	// idleTimeout is the time without messages after which a connection is closed. Every peer is called every few seconds.
	idleTimeout = 60 * time.Second
)

// The JSON-RPC methods between entry instances.
const (
	methodHeartbeat    = "heartbeat"
	methodReadLog      = "read_log"
	methodAppendRecord = "append_record"
	methodLoadReport   = "load_report"
)

// The JSON-RPC error codes that callers distinguish.
const (
	codeNotSent  = 1
	codeNoAnswer = 2
	codeTrimmed  = 3
)

type heartbeatMessage struct {
	Digest []Entry `json:"digest"`
}

type loadReportParams struct {
	Entry Entry `json:"entry"`
}

type readLogParams struct {
	From       uint64 `json:"from"`
	Limit      int    `json:"limit"`
	WaitMillis int64  `json:"wait_ms"`
}

type relayedEntry struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

type readLogResult struct {
	First   uint64         `json:"first"`
	Next    uint64         `json:"next"`
	Entries []relayedEntry `json:"entries"`
}

type appendRecordParams struct {
	Data []byte `json:"data"`
}

type appendResult struct {
	Offset uint64 `json:"offset"`
}

type trimmedData struct {
	First uint64 `json:"first"`
}

// wireError converts an error of the log to a JSON-RPC error.
func wireError(err error) *jsonrpc2.Error {
	if trimmed := (*platform.TrimmedError)(nil); errors.As(err, &trimmed) {
		e := &jsonrpc2.Error{Code: codeTrimmed, Message: err.Error()}
		e.SetError(trimmedData{First: trimmed.First})
		return e
	}
	if errors.Is(err, platform.ErrNoEffect) {
		return &jsonrpc2.Error{Code: codeNotSent, Message: err.Error()}
	}
	return &jsonrpc2.Error{Code: codeNoAnswer, Message: err.Error()}
}

// platformError converts an error of a call to a peer to the error that the log would have returned. Only an error
// answer with a code to that effect, or a failure to send the call, proves that the call had no effect.
func platformError(err error) error {
	if err == nil {
		return nil
	}
	answer := (*jsonrpc2.Error)(nil)
	if errors.As(err, &answer) {
		switch answer.Code {
		case codeTrimmed:
			var data trimmedData
			if answer.Data != nil && json.Unmarshal(*answer.Data, &data) == nil {
				return &platform.TrimmedError{First: data.First}
			}
		case codeNotSent, jsonrpc2.CodeInvalidParams, jsonrpc2.CodeMethodNotFound:
			return fmt.Errorf("%w: %s", platform.ErrNoEffect, answer.Message)
		}
	}
	if errors.Is(err, platform.ErrNoEffect) {
		return err
	}
	return fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, err)
}

// lineStream is a jsonrpc2.ObjectStream with one JSON object per line and with limits on message size and time.
type lineStream struct {
	conn         net.Conn
	reader       *bufio.Reader
	onBadMessage func() // counts a message that cannot be parsed

	mu sync.Mutex // guards writes
}

func newLineStream(conn net.Conn, onBadMessage func()) *lineStream {
	return &lineStream{conn: conn, reader: bufio.NewReader(conn), onBadMessage: onBadMessage}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *lineStream) WriteObject(object any) error {
	encoded, err := json.Marshal(object)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err = s.conn.Write(append(encoded, '\n'))
	return err
}

// ReadObject implements jsonrpc2.ObjectStream. A message that cannot be parsed is answered with an error and ends the
// connection, because the data after it cannot be trusted.
func (s *lineStream) ReadObject(object any) error {
	line, err := s.readLine()
	if err != nil {
		return err
	}
	if err := json.Unmarshal(line, object); err != nil {
		return s.reject(fmt.Errorf("parse message: %w", err))
	}
	return nil
}

// reject counts an invalid message, answers it with a parse error and returns err.
func (s *lineStream) reject(err error) error {
	s.onBadMessage()
	_ = s.WriteObject(map[string]any{
		"jsonrpc": "2.0", "id": nil,
		"error": jsonrpc2.Error{Code: jsonrpc2.CodeParseError, Message: err.Error()},
	})
	return err
}

// readLine reads one line and rejects it if it exceeds maxMessageBytes.
func (s *lineStream) readLine() ([]byte, error) {
	if err := s.conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return nil, err
	}
	var line []byte
	for {
		part, err := s.reader.ReadSlice('\n')
		if len(line)+len(part) > maxMessageBytes {
			return nil, s.reject(fmt.Errorf("message exceeds %d bytes", maxMessageBytes))
		}
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// Close implements jsonrpc2.ObjectStream.
func (s *lineStream) Close() error { return s.conn.Close() }
