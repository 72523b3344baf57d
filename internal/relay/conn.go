package relay

import (
	"net"
	"time"

	"github.com/rs/zerolog"
)

// timedConn gives up a write that takes too long: a peer that does not read would block every later batch.
type timedConn struct{ net.Conn }

// Write implements net.Conn.
func (c timedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// quietLog logs what the library says of broken connections, which are usual when a term ends.
type quietLog struct{ log zerolog.Logger }

// Printf implements jsonrpc2.Logger.
func (q quietLog) Printf(format string, args ...any) {
	q.log.Debug().Str("event", "relay_connection").Msgf(format, args...)
}
