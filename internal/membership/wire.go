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
	// maxMessageBytes bounds one message: a record of the largest size in base64, and the rest of the message.
	maxMessageBytes = record.MaxRecordBytes/3*4 + (64 << 10)
	// maxRelayBytes bounds the records of one relayed read.
	maxRelayBytes = record.MaxRecordBytes / 2
	// maxRelayRecords bounds the number of records of one relayed read.
	maxRelayRecords = 64
	// writeTimeout ends a connection whose other side reads nothing.
	writeTimeout = 5 * time.Second
	// idleTimeout ends a connection without messages. Every peer is called every few seconds.
	idleTimeout = 60 * time.Second
)

// The methods between entry instances.
const (
	methodHeartbeat    = "heartbeat"
	methodReadLog      = "read_log"
	methodAppendRecord = "append_record"
	methodLoadReport   = "load_report"
)

// The codes of errors that carry a meaning for the caller.
const (
	codeNotSent  = 1
	codeNoAnswer = 2
	codeTrimmed  = 3
)

type heartbeat struct {
	Digest []Entry `json:"digest"`
}

type loadReport struct {
	Entry Entry `json:"entry"`
}

type readLog struct {
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

type appendRecord struct {
	Data []byte `json:"data"`
}

type appendResult struct {
	Offset uint64 `json:"offset"`
}

type trimmedData struct {
	First uint64 `json:"first"`
}

// wireError turns an error of the log into one for the wire.
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

// platformError turns an error of a call to a peer into what the log would have returned. Only the peer's own word counts as
// proof that a call had no effect.
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

// lineStream is a jsonrpc2.ObjectStream of one JSON object per line, with bounded size and time.
type lineStream struct {
	conn   net.Conn
	reader *bufio.Reader
	bad    func() // counts a message that cannot be parsed

	mu sync.Mutex // guards writes
}

func newLineStream(conn net.Conn, bad func()) *lineStream {
	return &lineStream{conn: conn, reader: bufio.NewReader(conn), bad: bad}
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
// connection, since what follows it cannot be trusted.
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

func (s *lineStream) reject(err error) error {
	s.bad()
	_ = s.WriteObject(map[string]any{
		"jsonrpc": "2.0", "id": nil,
		"error": jsonrpc2.Error{Code: jsonrpc2.CodeParseError, Message: err.Error()},
	})
	return err
}

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
