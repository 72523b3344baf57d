package standin

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against a waiting read that misses an append or returns before a record is stored.
func TestLogWaitingReadSeesAppend(t *testing.T) {
	is := is.New(t)
	log := NewLog()
	url := serve(t, log)
	read := make(chan LogBatch)
	go func() {
		var batch LogBatch
		call(t, "GET", url+"/read?from=0&wait_ms=60000", nil, &batch)
		read <- batch
	}()
	var appended appendResponse
	is.Equal(call(t, "POST", url+"/append", []byte("one"), &appended), http.StatusOK)
	is.Equal(appended.Offset, uint64(0))
	batch := <-read
	is.Equal(batch.Next, uint64(1))
	is.Equal(batch.Records, []LogRecord{{Offset: 0, Data: []byte("one")}})
}

// Guards against injected faults that differ from their description: a lost response without effect, an outage with
// effect, or a duplicate that is stored once.
func TestLogFaults(t *testing.T) {
	is := is.New(t)
	log := NewLog()
	url := serve(t, log)
	is.Equal(call(t, "PUT", url+"/faults", LogFaults{LoseAnswers: 1, Duplicate: 1}, nil), http.StatusNoContent)
	is.Equal(call(t, "POST", url+"/append", []byte("a"), nil), http.StatusGatewayTimeout)
	is.Equal(len(log.Records()), 2) // the append took effect, twice

	is.Equal(call(t, "POST", url+"/append", []byte("b"), nil), http.StatusOK)
	is.Equal(len(log.Records()), 3) // both counts are used up

	log.SetFaults(LogFaults{Outage: true})
	is.Equal(call(t, "POST", url+"/append", []byte("c"), nil), http.StatusServiceUnavailable)
	is.Equal(call(t, "GET", url+"/read", nil, nil), http.StatusServiceUnavailable)
	is.Equal(len(log.Records()), 3)
	is.Equal(call(t, "PUT", url+"/faults", map[string]int{"unknown": 1}, nil), http.StatusBadRequest)
}

// Guards against trimmed records that can still be read, and against offsets that change when older records are
// trimmed.
func TestLogTrim(t *testing.T) {
	is := is.New(t)
	url := serve(t, NewLog())
	for _, text := range []string{"a", "b", "c"} {
		is.Equal(call(t, "POST", url+"/append", []byte(text), nil), http.StatusOK)
	}
	is.Equal(call(t, "POST", url+"/trim?before=2", nil, nil), http.StatusOK)
	var trimmed firstOffsetResponse
	is.Equal(call(t, "GET", url+"/read?from=1", nil, &trimmed), http.StatusGone)
	is.Equal(trimmed.First, uint64(2))
	var batch LogBatch
	is.Equal(call(t, "GET", url+"/read?from=2", nil, &batch), http.StatusOK)
	is.Equal(batch, LogBatch{First: 2, Next: 3, Records: []LogRecord{{Offset: 2, Data: []byte("c")}}})
}
