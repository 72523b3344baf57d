package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pollenlead/internal/fleet"
	"pollenlead/internal/preview"
	"pollenlead/platform"
)

// TestPreviewCommand guards against a command that asks for another queue or team, or that hides why it got no answer.
func TestPreviewCommand(t *testing.T) {
	is := is.New(t)
	config := &fleet.Config{
		Queues: []fleet.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p"}}, Teams: []fleet.Team{{Name: "t"}},
	}
	config.Index()
	server := httptest.NewServer(&preview.Handler{
		Config: func() *fleet.Config { return config }, Job: platform.DecodeJob, Key: platform.BearerKey,
		Explain: func(_ context.Context, queue, team string, spec *fleet.JobSpec) (json.RawMessage, error) {
			is.Equal(queue+"/"+team, "q/t")
			is.Equal(len(spec.Steps), 1)
			return json.RawMessage(`{"queue":"q","pool":"p","team":"t","tier":"on_time","usable":1,` +
				`"steps":[{"tasks":2,"candidates":1,"excluded":{"full":{"count":1,"examples":["w1"]}},` +
				`"placed":2,"worker":"w2"}]}`), nil
		},
	})
	defer server.Close()
	run := func(want int, path, team, body string) string {
		t.Helper()
		var out bytes.Buffer
		args := []string{"preview", "--entry", server.URL, "--host", "h", "--path", path, "--team", team, "-"}
		is.Equal(Run(t.Context(), args, strings.NewReader(body), &out, &out), want)
		return out.String()
	}
	const job = `{"steps":[{"count":2,"cpu":1}]}`
	text := run(ExitOK, "/q/", "t", job)
	is.True(strings.Contains(text, "step 0: 2 tasks, 2 start now, the first at w2; 1 candidates, full: 1 (w1)"))
	is.True(strings.Contains(run(ExitFailed, "/x/", "t", job), "no queue for this host and path"))
	is.True(strings.Contains(run(ExitFailed, "/q/", "x", job), "unknown team or key"))
	is.True(strings.Contains(run(ExitFailed, "/q/", "t", `{}`), "0 steps"))
}
