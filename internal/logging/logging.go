// Package logging builds the structured log of a process: JSON lines whose volume is bounded and that never block the process.
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
	// bufferedLines is how many lines wait for a reader that is slow; what comes beyond replaces the oldest.
	bufferedLines = 2000
	// linesPerSecond bounds the lines of a process; the remainder is counted.
	linesPerSecond = 500
	// reportInterval is the time between two lines on what was left out.
	reportInterval = 5 * time.Second
)

var (
	limitedTotal = expvar.NewInt("log_lines_limited_total")
	lostTotal    = expvar.NewInt("log_lines_lost_total")
)

// New returns a logger that writes to out, and a function that writes what is buffered.
func New(out io.Writer, level zerolog.Level) (zerolog.Logger, io.Closer) {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	buffered := diode.NewWriter(out, bufferedLines, 0, func(lost int) { lostTotal.Add(int64(lost)) })
	log := zerolog.New(buffered).Level(level).Sample(&limiter{most: linesPerSecond, now: time.Now}).With().Timestamp().Logger()
	return log, buffered
}

// limiter lets a number of lines a second through. Warnings and errors always pass.
type limiter struct {
	most int
	now  func() time.Time

	mu     sync.Mutex // guards what follows
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
	if l.lines > l.most {
		limitedTotal.Add(1)
		return false
	}
	return true
}

// Report logs from time to time how many lines were left out, until ctx is done.
func Report(ctx context.Context, log zerolog.Logger) {
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
			log.Warn().Str("event", "log_lines_left_out").Int64("limited", l-limited).Int64("lost", o-lost).Msg("log lines were left out")
			limited, lost = l, o
		}
	}
}
