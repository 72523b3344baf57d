package relay

import (
	"net"
	"time"

	"github.com/rs/zerolog"
)

// writeTimeoutConn bounds each write by writeTimeout. Without the bound, a peer that does not read would block every
// later batch.
type writeTimeoutConn struct{ net.Conn }

// Write implements net.Conn.
func (c writeTimeoutConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// debugLogger logs the messages of the jsonrpc2 library at debug level. They are mostly about broken connections, which
// are normal when a term ends.
type debugLogger struct{ log zerolog.Logger }

// Printf implements jsonrpc2.Logger.
func (q debugLogger) Printf(format string, args ...any) {
	q.log.Debug().Str("event", "relay_connection").Msgf(format, args...)
}
