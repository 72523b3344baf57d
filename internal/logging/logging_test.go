package logging

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// standstill is a reader of the log that has stopped reading.
type standstill struct{ release chan struct{} }

func (s standstill) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestLogNeverBlocks guards against a process that waits for the reader of its log.
func TestLogNeverBlocks(t *testing.T) {
	out := standstill{release: make(chan struct{})}
	log, closer := New(out, zerolog.InfoLevel)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * bufferedLines {
			log.Warn().Msg("line")
		}
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("logging blocks on its reader")
	}
	close(out.release)
	_ = closer.Close()
}

// TestLogIsBounded guards against a volume that grows with the load, and against losing warnings to the bound.
func TestLogIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	var text bytes.Buffer
	log := zerolog.New(&text).Sample(&limiter{most: 3, now: func() time.Time { return now }})
	before := limitedTotal.Value()
	for range 10 {
		log.Info().Msg("i")
	}
	log.Warn().Msg("w")
	is.Equal(bytes.Count(text.Bytes(), []byte("\n")), 4)
	is.Equal(limitedTotal.Value()-before, int64(7))
	now = now.Add(time.Second)
	log.Info().Msg("i")
	is.Equal(bytes.Count(text.Bytes(), []byte("\n")), 5)
}
