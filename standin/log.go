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
	// maxRecordBytes bounds one record of the log.
	maxRecordBytes = 8 << 20
	// maxBatchBytes ends a batch early, so that an answer stays small whatever limit the reader asks for.
	maxBatchBytes = 8 << 20
	// maxBatchRecords is the largest limit of a read, and its default.
	maxBatchRecords = 5000
	// maxReadWait bounds wait_ms.
	maxReadWait = time.Minute
)

// LogFaults are the failures that the log shows.
type LogFaults struct {
	// Outage answers every append, read and trim with 503 and without effect.
	Outage bool `json:"outage"`
	// DelayMS delays the effect and the answer of every call. A delayed append takes effect even if its client has gone.
	DelayMS int64 `json:"delay_ms"`
	// LoseAnswers is the number of next appends that take effect but answer 504.
	LoseAnswers int `json:"lose_answers"`
	// Duplicate is the number of next appends that are stored twice; the answer has the first offset.
	Duplicate int `json:"duplicate"`
}

// Log is the append-only log. Its first offset is 0.
type Log struct {
	mux *http.ServeMux

	mu      sync.Mutex
	faults  LogFaults
	first   uint64
	records [][]byte
	changed chan struct{} // closed and replaced at each append, trim and change of faults
}

// LogRecord is one record in the answer to a read.
type LogRecord struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// LogBatch is the answer to a read.
type LogBatch struct {
	First   uint64      `json:"first"`
	Next    uint64      `json:"next"`
	Records []LogRecord `json:"records"`
}

type appendAnswer struct {
	Offset uint64 `json:"offset"`
}

type firstAnswer struct {
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

// Start serves the log on loopback.
func (l *Log) Start() (*Server, error) { return Start(l) }

// SetFaults replaces all faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	l.wakeLocked()
}

// Faults returns the faults with the counts that are left.
func (l *Log) Faults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Records returns the records that are kept.
func (l *Log) Records() []LogRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.batchLocked(l.first, len(l.records)).Records
}

// Trim drops the records before an offset and returns the first offset kept.
func (l *Log) Trim(before uint64) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	before = min(before, l.nextLocked())
	if before > l.first {
		l.records = l.records[before-l.first:]
		l.first = before
		l.wakeLocked()
	}
	return l.first
}

func (l *Log) wakeLocked() {
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
	writeJSON(w, status, appendAnswer{Offset: offset})
}

// append stores a record and returns its offset and the status of the answer.
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
	l.wakeLocked()
	if l.faults.LoseAnswers > 0 {
		l.faults.LoseAnswers--
		return 0, http.StatusGatewayTimeout
	}
	return offset, http.StatusOK
}

func (l *Log) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err1 := number(r, "from", 0)
	limit, err2 := number(r, "limit", maxBatchRecords)
	waitMS, err3 := number(r, "wait_ms", 0)
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
			writeJSON(w, status, firstAnswer{First: batch.First})
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

// read returns what is there now, the status of the answer, and a channel that is closed when it may have changed.
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
	before, err := number(r, "before", 0)
	if err != nil {
		http.Error(w, "before must be a number", http.StatusBadRequest)
		return
	}
	if l.Faults().Outage {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, firstAnswer{First: l.Trim(before)})
}

// number parses a query parameter that may be absent.
func number(r *http.Request, name string, absent uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return absent, nil
	}
	return strconv.ParseUint(text, 10, 64)
}
