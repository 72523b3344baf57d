package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// The limits of the store, as in the settings of a small deployment.
const (
	storePartitions  = 8
	recordBytes      = 262144
	callBytes        = 2097152
	appendTime       = 4 * time.Millisecond
	newestPageItems  = 500
	newestPageBytes  = 1 << 20
	defaultReadBytes = 1 << 20
)

// store is a stand-in for the platform's store. It keeps every record and loses nothing.
type store struct {
	mu         sync.Mutex // guards the fields below
	partitions map[partitionKey]*partition
	changed    chan struct{} // closed and replaced at each append
	refused    int           // appends refused because of their size
}

type partitionKey struct {
	topic  string
	number int
}

type partition struct {
	appending sync.Mutex // held for the duration of one append
	records   []record
	producers map[string]*producer
}

type record struct {
	key   string
	value []byte
}

// producer is the state of a named producer in one partition.
type producer struct {
	epoch, sequence int64
	numbered        bool
	replies         map[int64]map[string]any // the replies to the last five appends
}

func newStore() *store {
	return &store{partitions: map[partitionKey]*partition{}, changed: make(chan struct{})}
}

// partition returns a partition and creates it on first use.
func (s *store) partition(topic string, number int) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := partitionKey{topic, number}
	p := s.partitions[key]
	if p == nil {
		p = &partition{producers: map[string]*producer{}}
		s.partitions[key] = p
	}
	return p
}

// put appends a record as the operator or a worker does.
func (s *store) put(topic, key string, value any) {
	text := []byte(nil)
	if value != nil {
		text, _ = json.Marshal(value)
	}
	p := s.partition(topic, 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	p.records = append(p.records, record{key, text})
	s.notify()
}

// notify wakes the waiting reads. Callers hold mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// refusedAppends returns the number of appends that were refused because of their size.
func (s *store) refusedAppends() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(w, r)
	case "/log-read":
		s.serveRead(w, r)
	case "/log-newest":
		s.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 4*callBytes))
	if err != nil {
		return
	}
	topic := r.URL.Query().Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	records, ok := decodeRecords(body)
	if !ok {
		s.mu.Lock()
		s.refused++
		s.mu.Unlock()
		reply(w, http.StatusBadRequest, map[string]any{"reason": "size"})
		return
	}
	p := s.partition(topic, int(number(r, "part")))
	p.appending.Lock()
	defer p.appending.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	status, answer := s.apply(p, r, records)
	s.mu.Unlock()
	reply(w, status, answer)
}

// decodeRecords decodes the records of one append. It reports false if a record or the call exceeds its limit.
func decodeRecords(body []byte) ([]record, bool) {
	if len(body) > callBytes {
		return nil, false
	}
	var records []record
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if size > recordBytes || size > len(body) || size < 1 || 1+int(body[0]) > size {
			return nil, false
		}
		key := 1 + int(body[0])
		records = append(records, record{string(body[1:key]), slices.Clone(body[key:size])})
		body = body[size:]
	}
	return records, len(body) == 0
}

// apply executes an append. Callers hold mu.
func (s *store) apply(p *partition, r *http.Request, records []record) (int, map[string]any) {
	q := r.URL.Query()
	end := int64(len(p.records))
	if q.Has("at") && number(r, "at") != end {
		return http.StatusPreconditionFailed, map[string]any{"end": end}
	}
	sequence := number(r, "sequence")
	var by *producer
	if name := q.Get("producer"); name != "" {
		epoch := number(r, "epoch")
		by = p.producers[name]
		if by != nil && epoch < by.epoch {
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		}
		if by == nil || epoch > by.epoch {
			by = &producer{epoch: epoch, replies: map[int64]map[string]any{}}
			p.producers[name] = by
		}
		if len(records) > 0 {
			if old, ok := by.replies[sequence]; ok {
				return http.StatusOK, old
			}
			if by.numbered && sequence != by.sequence+1 {
				return http.StatusConflict, map[string]any{"reason": "seq", "sequence": by.sequence + 1}
			}
		}
	}
	p.records = append(p.records, records...)
	answer := map[string]any{"offset": end, "end": len(p.records)}
	if by != nil && len(records) > 0 {
		by.numbered, by.sequence = true, sequence
		by.replies[sequence] = answer
		delete(by.replies, sequence-5)
	}
	if len(records) > 0 {
		s.notify()
	}
	return http.StatusOK, answer
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	p := s.partition(r.URL.Query().Get("topic"), int(number(r, "part")))
	from, limit := int(number(r, "from")), defaultReadBytes
	if kb := number(r, "max_kb"); kb > 0 {
		limit = int(kb) << 10
	}
	timeout := time.After(time.Duration(number(r, "wait_ms")) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, records := s.changed, p.records
		s.mu.Unlock()
		if len(records) > from {
			writePage(w, len(records), records[from:], limit)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writePage(w, len(records), nil, limit)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// writePage writes the end, the first offset and the records up to a limit, at least one.
func writePage(w http.ResponseWriter, end int, records []record, limit int) {
	page := binary.BigEndian.AppendUint64(nil, uint64(end))
	page = binary.BigEndian.AppendUint64(page, 0)
	for n, x := range records {
		size := 1 + len(x.key) + len(x.value)
		if n > 0 && len(page)+4+size > limit {
			break
		}
		page = binary.BigEndian.AppendUint32(page, uint32(size))
		page = append(page, byte(len(x.key)))
		page = append(page, x.key...)
		page = append(page, x.value...)
	}
	_, _ = w.Write(page)
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	p := s.partition(r.URL.Query().Get("topic"), int(number(r, "part")))
	s.mu.Lock()
	records := p.records
	s.mu.Unlock()
	newest := map[string]int{}
	for n, x := range records {
		newest[x.key] = n
	}
	var keys []string
	for k, n := range newest {
		if k > r.URL.Query().Get("depends_on") && len(records[n].value) > 0 {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	items, bytes, truncated := []map[string]any{}, 0, false
	for _, k := range keys {
		value := records[newest[k]].value
		if len(items) == newestPageItems || len(items) > 0 && bytes+len(value) > newestPageBytes {
			truncated = true
			break
		}
		bytes += len(value)
		items = append(items, map[string]any{
			"key": k, "value": base64.StdEncoding.EncodeToString(value), "offset": newest[k],
		})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "end": len(records)})
}
