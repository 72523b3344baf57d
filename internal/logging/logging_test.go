package logging

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// blockedWriter is a log output whose reader has stopped: Write blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against a process that blocks when the reader of its log output stops. Without the buffer, each log call
// would wait in Write.
func TestLogNeverBlocks(t *testing.T) {
	out := blockedWriter{release: make(chan struct{})}
	log, closer := New(out, zerolog.InfoLevel)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * maxBufferedLines {
			log.Warn().Msg("line")
		}
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("logging blocks on its output")
	}
	close(out.release)
	_ = closer.Close()
}

// Guards against a log volume that grows with the load, and against warnings that the limiter drops.
func TestLogIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	var text bytes.Buffer
	log := zerolog.New(&text).Sample(&limiter{maxPerSecond: 3, now: func() time.Time { return now }})
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
