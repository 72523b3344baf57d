package traffic

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against bytes that are not counted or are counted in the wrong direction, on connections from a listener and
// on dialled ones.
func TestBothSidesCountTheirBytes(t *testing.T) {
	is := is.New(t)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var server, client Counter
	listener := server.Listener(plain)
	defer listener.Close()
	done := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, err = io.ReadFull(conn, make([]byte, 5))
		}
		if err == nil {
			_, err = conn.Write([]byte("abc"))
		}
		done <- err
	}()
	raw, err := net.Dial("tcp", plain.Addr().String())
	is.NoErr(err)
	conn := client.Conn(raw)
	defer conn.Close()
	_, err = conn.Write([]byte("12345"))
	is.NoErr(err)
	_, err = io.ReadFull(conn, make([]byte, 3))
	is.NoErr(err)
	is.NoErr(<-done)
	is.Equal([]int64{client.Sent(), client.Received()}, []int64{5, 3})
	is.Equal([]int64{server.Sent(), server.Received()}, []int64{3, 5})
}

// Guards against a panic in callers that have no counter configured.
func TestNilCounterCountsNothing(t *testing.T) {
	is := is.New(t)
	var c *Counter
	c.Add(1, 1)
	is.True(c.Conn(nil) == nil)
}
