package logclient

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/platform"
	"pollenlead/standin"
)

func start(t *testing.T) (*standin.Log, *Client) {
	t.Helper()
	log := standin.NewLog()
	server, err := log.Start()
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = server.Close() })
	return log, New(server.URL, time.Minute)
}

// Guards against records that arrive changed or at another offset, and a waiting read that does not see an append.
func TestAppendAndRead(t *testing.T) {
	is := is.New(t)
	_, c := start(t)
	read := make(chan platform.Batch)
	go func() {
		batch, _ := c.Read(t.Context(), 0, 10, time.Minute)
		read <- batch
	}()
	offset, err := c.Append(t.Context(), []byte{0, 255, '"'})
	is.NoErr(err)
	is.Equal(offset, uint64(0))
	want := platform.Batch{First: 0, Next: 1, Entries: []platform.Entry{{Offset: 0, Data: []byte{0, 255, '"'}}}}
	is.Equal(<-read, want)
	batch, err := c.Read(t.Context(), 1, 10, 0)
	is.NoErr(err)
	is.Equal(batch, platform.Batch{First: 0, Next: 1, Entries: []platform.Entry{}})
}

// Guards against an append whose answer was lost being taken for one without effect, or the reverse.
func TestAppendClassification(t *testing.T) {
	is := is.New(t)
	log, c := start(t)
	log.SetFaults(standin.LogFaults{LoseAnswers: 1})
	_, err := c.Append(t.Context(), []byte("a"))
	is.True(errors.Is(err, platform.ErrOutcomeUnknown))
	is.Equal(len(log.Records()), 1) // appended once, without a retry of the client
	log.SetFaults(standin.LogFaults{Outage: true})
	_, err = c.Append(t.Context(), []byte("b"))
	is.True(errors.Is(err, platform.ErrNoEffect))
	_, err = c.Read(t.Context(), 0, 1, time.Minute)
	is.True(err != nil)
	is.Equal(len(log.Records()), 1)
}

// Guards against a reader that does not learn where the log begins after a trim.
func TestReadTrimmed(t *testing.T) {
	is := is.New(t)
	log, c := start(t)
	for range 3 {
		_, err := c.Append(t.Context(), []byte("a"))
		is.NoErr(err)
	}
	log.Trim(2)
	_, err := c.Read(t.Context(), 1, 10, 0)
	var trimmed *platform.TrimmedError
	is.True(errors.As(err, &trimmed))
	is.Equal(trimmed.First, uint64(2))
}
