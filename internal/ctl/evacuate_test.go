package ctl

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pollenlead/platform"
	"pollenlead/platform/platformtest"
)

// TestEvacuateCommands guards against a command that leaves no request in the store, that cannot take it back, or that
// accepts a mistyped zone.
func TestEvacuateCommands(t *testing.T) {
	is := is.New(t)
	s := platformtest.NewStore(1)
	server := httptest.NewServer(s)
	defer server.Close()
	s.Put(platform.TopicWorkers, "w1", []byte(
		`{"service":"a","addr":"10.0.0.1:1","zone":"z1","state":"ready","capacity":{"cpu":1},"sequence":1}`))
	run := func(want int, args ...string) string {
		t.Helper()
		var out bytes.Buffer
		args = append([]string{"evacuate", "--store", strings.TrimPrefix(server.URL, "http://")}, args...)
		is.Equal(Run(t.Context(), args, nil, &out, &out), want)
		return out.String()
	}
	is.True(strings.Contains(run(ExitInvalid, "start", "z2"), "zones with workers: z1"))
	is.Equal(run(ExitOK, "start", "z1"), "evacuated: z1\n")
	is.True(len(s.Newest(platform.TopicOperator, platform.EvacuationKey("z1"))) > 0)
	is.Equal(run(ExitOK, "start", "--force", "z2"), "evacuated: z1, z2\n")
	is.Equal(run(ExitOK, "end", "z1"), "evacuated: z2\n")
	run(ExitInvalid, "end", "z1")
	is.Equal(run(ExitOK, "end", "z2"), "no zone is evacuated\n")
	is.Equal(run(ExitOK, "list"), "no zone is evacuated\n")
	s.SetFaults(platformtest.StoreFaults{Refuse: true})
	run(ExitFailed, "start", "z1")
}
