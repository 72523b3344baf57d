// Package logging builds the structured logger of a process. It writes JSON lines, bounds their rate and never blocks
// the process.
package logging

import (
	"context"
	"expvar"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// maxBufferedLines is the capacity of the ring buffer in front of a slow writer. New lines overwrite the oldest.
	maxBufferedLines = 2000
	// maxLinesPerSecond bounds the log rate of a process. Lines over it are dropped and counted.
	maxLinesPerSecond = 500
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = 5 * time.Second
)

var (
	limitedTotal = expvar.NewInt("log_lines_limited_total")
	lostTotal    = expvar.NewInt("log_lines_lost_total")
)

// New returns a logger that writes to out through a buffer, and a closer that flushes the buffer.
func New(out io.Writer, level zerolog.Level) (zerolog.Logger, io.Closer) {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	buffered := diode.NewWriter(out, maxBufferedLines, 0, func(lost int) { lostTotal.Add(int64(lost)) })
	log := zerolog.New(buffered).Level(level).Sample(&limiter{maxPerSecond: maxLinesPerSecond, now: time.Now}).
		With().Timestamp().Logger()
	return log, buffered
}

// limiter is a sampler that admits at most maxPerSecond lines a second. It always admits warnings and errors.
type limiter struct {
	maxPerSecond int
	now          func() time.Time

	mu     sync.Mutex // guards the fields below
	second int64
	lines  int
}

// Sample implements zerolog.Sampler.
func (l *limiter) Sample(level zerolog.Level) bool {
	if level >= zerolog.WarnLevel {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := l.now().Unix(); second != l.second {
		l.second, l.lines = second, 0
	}
	l.lines++
	if l.lines > l.maxPerSecond {
		limitedTotal.Add(1)
		return false
	}
	return true
}

// ReportDroppedLines logs the number of lines dropped by the limiter and by the buffer, every reportInterval in which
// there were any, until ctx is done.
func ReportDroppedLines(ctx context.Context, log zerolog.Logger) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	limited, lost := int64(0), int64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if l, o := limitedTotal.Value(), lostTotal.Value(); l != limited || o != lost {
			log.Warn().Str("event", "log_lines_left_out").Int64("limited", l-limited).Int64("lost", o-lost).
				Msg("log lines were dropped")
			limited, lost = l, o
		}
	}
}
