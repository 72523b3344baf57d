package ctl

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"pollenlead/internal/dispatch"
)

// cancelRepeatDelay is the delay between requests for the cancellation of what is left.
const cancelRepeatDelay = 200 * time.Millisecond

// CancelJobsCmd cancels all jobs of the team whose key is used.
type CancelJobsCmd struct {
	Entry string `required:"" help:"Base URL of an entry's metrics address." env:"POLLENCTL_ENTRY" placeholder:"URL"`
}

// CancelJobsResponse is the JSON output of the command.
type CancelJobsResponse struct {
	Cancelled int `json:"cancelled"`
}

// Run asks the leader, through the entry instance, until no job is left.
func (c *CancelJobsCmd) Run(s *session) error {
	var sum CancelJobsResponse
	for {
		var b dispatch.BulkCancellation
		if _, err := s.call(http.MethodPost, c.Entry, "/cancel-jobs", nil, nil, &b); err != nil {
			return fmt.Errorf("after %d jobs: %w", sum.Cancelled, err)
		}
		sum.Cancelled += b.Cancelled
		if b.Left == 0 {
			return s.print(sum, sum.write)
		}
		select {
		case <-s.ctx.Done():
			return fmt.Errorf("after %d jobs, with %d left: %w", sum.Cancelled, b.Left, s.ctx.Err())
		case <-time.After(cancelRepeatDelay):
		}
	}
}

func (r CancelJobsResponse) write(w io.Writer) { fmt.Fprintf(w, "%d jobs cancelled\n", r.Cancelled) }
