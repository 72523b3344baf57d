package fleet

import (
	"testing"

	"github.com/matryer/is"
)

// TestRoute guards against selecting a queue with a shorter prefix than another match, and against selecting a queue
// of another host.
func TestRoute(t *testing.T) {
	is := is.New(t)
	c := &Config{Queues: []Queue{
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/y/z/"},
	}}
	c.Index()
	q, rest := c.Route("a.example", "/x/y/z/0011")
	is.Equal(q.Name, "long")
	is.Equal(rest, "z/0011")
	q, _ = c.Route("a.example", "/other/")
	is.True(q == nil)
	q, rest = c.Route("a.example", "/x/")
	is.Equal(q.Name, "short")
	is.Equal(rest, "")
}
