package leaderrpc

import (
	"context"
	"encoding/json"
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"pollenlead/internal/dispatch"
	"pollenlead/internal/fleet"
)

// explainer is a leader's work that explains jobs of one queue.
type explainer struct{ Jobs }

func (explainer) Explain(queue, team string, spec *fleet.JobSpec) (*dispatch.Explanation, error) {
	if queue != "queue" {
		return nil, dispatch.ErrNoQueue
	}
	return &dispatch.Explanation{Queue: queue, Team: team, TasksAhead: spec.Steps[0].Count}, nil
}

// TestExplainOverConnection guards against a preview that differs by whether the asked entry instance leads.
func TestExplainOverConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	leading := func() Jobs { return explainer{} }
	go (&Server{Leading: leading, Log: zerolog.Nop()}).Serve(t.Context(), l)
	address := func() string { return l.Addr().String() }
	remote := &Client{Leader: address, Local: func() Jobs { return nil }, Log: zerolog.Nop()}
	local := &Client{Local: leading}
	spec := &fleet.JobSpec{Steps: []fleet.Step{{Count: 7}}}
	for _, c := range []*Client{remote, local} {
		got, err := c.Explain(context.Background(), "queue", "team", spec)
		is.NoErr(err)
		var x map[string]any
		is.NoErr(json.Unmarshal(got, &x))
		is.Equal(x["tasks_ahead"], 7.0)
		is.Equal(x["tier"], "serving")
		_, err = c.Explain(context.Background(), "other", "team", spec)
		is.Equal(err, dispatch.ErrNoQueue)
	}
}
