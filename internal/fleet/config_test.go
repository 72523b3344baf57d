package fleet

import (
	"testing"

	"github.com/matryer/is"
)

// TestRoute guards against a shorter prefix winning over a longer one, and against a match on another host.
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
