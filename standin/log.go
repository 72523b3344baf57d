package standin

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// maxRecordBytes is the maximum size of a record.
	maxRecordBytes = 8 << 20
	// maxBatchBytes limits the size of a batch, so that a response stays small for any limit that a reader requests.
	maxBatchBytes = 8 << 20
	// maxBatchRecords is the maximum and the default of the limit of a read.
	maxBatchRecords = 5000
	// maxReadWait is the maximum of wait_ms.
	maxReadWait = time.Minute
)

// LogFaults are the faults that can be injected into the log.
type LogFaults struct {
	// Outage makes every append, read and trim fail with status 503 and without effect.
	Outage bool `json:"outage"`
	// DelayMS delays the effect and the response of every append and read, in milliseconds. A delayed append takes
	// effect even if its client has disconnected.
	DelayMS int64 `json:"delay_ms"`
	// LoseAnswers is the number of following appends that take effect but return status 504.
	LoseAnswers int `json:"lose_answers"`
	// Duplicate is the number of following appends that are stored twice; the response contains the first offset.
	Duplicate int `json:"duplicate"`
}

// Log is an append-only log in memory. Its first offset is 0.
type Log struct {
	mux *http.ServeMux

	mu      sync.Mutex
	faults  LogFaults
	first   uint64
	records [][]byte
	changed chan struct{} // closed and replaced at each append, trim and change of faults
}

// LogRecord is one record in the response to a read.
type LogRecord struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// LogBatch is the response to a read.
type LogBatch struct {
	First   uint64      `json:"first"`
	Next    uint64      `json:"next"`
	Records []LogRecord `json:"records"`
}

type appendResponse struct {
	Offset uint64 `json:"offset"`
}

type firstOffsetResponse struct {
	First uint64 `json:"first"`
}

// NewLog returns an empty log.
func NewLog() *Log {
	l := &Log{mux: http.NewServeMux(), changed: make(chan struct{})}
	l.mux.HandleFunc("POST /append", l.handleAppend)
	l.mux.HandleFunc("GET /read", l.handleRead)
	l.mux.HandleFunc("POST /trim", l.handleTrim)
	l.mux.HandleFunc("PUT /faults", faultsHandler(l.SetFaults))
	return l
}

// ServeHTTP implements http.Handler.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// Start serves the log on the loopback interface.
func (l *Log) Start() (*Server, error) { return Start(l) }

// SetFaults replaces all injected faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	l.notifyLocked()
}

// Faults returns the injected faults with their remaining counts.
func (l *Log) Faults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Records returns the records that were not trimmed.
func (l *Log) Records() []LogRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.batchLocked(l.first, len(l.records)).Records
}

// Trim removes the records before an offset and returns the first offset that is still stored.
func (l *Log) Trim(before uint64) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	before = min(before, l.nextLocked())
	if before > l.first {
		l.records = l.records[before-l.first:]
		l.first = before
		l.notifyLocked()
	}
	return l.first
}

// notifyLocked wakes the waiting reads.
func (l *Log) notifyLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Log) nextLocked() uint64 { return l.first + uint64(len(l.records)) }

func (l *Log) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	time.Sleep(milliseconds(l.Faults().DelayMS))
	offset, status := l.append(data)
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	writeJSON(w, status, appendResponse{Offset: offset})
}

// append stores a record and returns its offset and the HTTP status of the response.
func (l *Log) append(data []byte) (uint64, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Outage {
		return 0, http.StatusServiceUnavailable
	}
	offset := l.nextLocked()
	l.records = append(l.records, data)
	if l.faults.Duplicate > 0 {
		l.faults.Duplicate--
		l.records = append(l.records, bytes.Clone(data))
	}
	l.notifyLocked()
	if l.faults.LoseAnswers > 0 {
		l.faults.LoseAnswers--
		return 0, http.StatusGatewayTimeout
	}
	return offset, http.StatusOK
}

func (l *Log) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err1 := uintParam(r, "from", 0)
	limit, err2 := uintParam(r, "limit", maxBatchRecords)
	waitMS, err3 := uintParam(r, "wait_ms", 0)
	if err1 != nil || err2 != nil || err3 != nil {
		http.Error(w, "from, limit and wait_ms must be numbers", http.StatusBadRequest)
		return
	}
	time.Sleep(milliseconds(l.Faults().DelayMS))
	wait := min(milliseconds(int64(min(waitMS, uint64(maxReadWait/time.Millisecond)))), maxReadWait)
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for ended := wait == 0; ; {
		batch, status, changed := l.read(from, int(min(limit, maxBatchRecords)))
		if status == http.StatusGone {
			writeJSON(w, status, firstOffsetResponse{First: batch.First})
			return
		}
		if status != http.StatusOK {
			w.WriteHeader(status)
			return
		}
		if len(batch.Records) > 0 || ended {
			writeJSON(w, status, batch)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// read returns the stored records, the HTTP status of the response, and a channel that is closed when the result may
// have changed.
func (l *Log) read(from uint64, limit int) (LogBatch, int, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Outage {
		return LogBatch{}, http.StatusServiceUnavailable, nil
	}
	batch := l.batchLocked(from, limit)
	if from < l.first {
		return batch, http.StatusGone, nil
	}
	return batch, http.StatusOK, l.changed
}

func (l *Log) batchLocked(from uint64, limit int) LogBatch {
	batch := LogBatch{First: l.first, Next: l.nextLocked(), Records: []LogRecord{}}
	size := 0
	for offset := from; offset >= l.first && offset < batch.Next; offset++ {
		data := l.records[offset-l.first]
		size += len(data)
		full := len(batch.Records) >= limit || len(batch.Records) > 0 && size > maxBatchBytes
		if full {
			break
		}
		batch.Records = append(batch.Records, LogRecord{Offset: offset, Data: data})
	}
	return batch
}

func (l *Log) handleTrim(w http.ResponseWriter, r *http.Request) {
	before, err := uintParam(r, "before", 0)
	if err != nil {
		http.Error(w, "before must be a number", http.StatusBadRequest)
		return
	}
	if l.Faults().Outage {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, firstOffsetResponse{First: l.Trim(before)})
}

// uintParam parses a query parameter. It returns the value of absent if the request does not have the parameter.
func uintParam(r *http.Request, name string, absent uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return absent, nil
	}
	return strconv.ParseUint(text, 10, 64)
}
