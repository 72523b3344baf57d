package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"text/tabwriter"
	"time"

	"pollenlead/internal/operator"
)

// StatusCmd shows the status.
type StatusCmd struct {
	Instances bool `help:"List the instances too."`
}

// Run prints the status as the entry instance reports it.
func (c *StatusCmd) Run(s *session) error {
	var status operator.StatusResponse
	if _, err := s.call(http.MethodGet, s.cli.Operators, "/v1/status", nil, nil, &status); err != nil {
		return err
	}
	if !c.Instances {
		status.Instances = nil
	}
	return s.print(status, func(w io.Writer) { printStatus(w, status) })
}

func printStatus(w io.Writer, status operator.StatusResponse) {
	fmt.Fprintf(w, "%s in %s: document %d, offset %d, state %.12s\n",
		status.Name, status.AvailabilityZone, status.ConfigVersion, status.Applied, status.StateHash)
	fmt.Fprintf(w, "session valid: %t, takes keyed work: %t %s\n\n",
		status.SessionValid, status.TakesKeyedWork, status.ContactReason)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer tw.Flush()
	fmt.Fprintln(tw, "MEMBER\tZONE\tHEARD\tAGE MS\tOFFSET\tDOCUMENT")
	for _, m := range status.Members {
		fmt.Fprintf(tw, "%s\t%s\t%t\t%d\t%d\t%d\n", m.Name, m.AvailabilityZone, m.Heard, m.AgeMS, m.Applied, m.ConfigVersion)
	}
	fmt.Fprintln(tw, "\nTEAM\tSHARE\tLIMIT\tGRANTED\tRUNNING\tQUEUED")
	for _, t := range status.Teams {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\n", t.Name, t.Share, t.UpperLimit, t.Granted, t.Running, t.Queued)
	}
	fmt.Fprintln(tw, "\nPOOL\tINSTANCES\tLIVE\tSLOTS\tGRANTED\tRUNNING\tQUEUED")
	for _, p := range status.Pools {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\n", p.Name, p.Instances, p.Live, p.Slots, p.Granted, p.Running, p.Queued)
	}
	if len(status.Instances) > 0 {
		fmt.Fprintln(tw, "\nINSTANCE\tPOOL\tMOVING TO\tPHASE\tZONE\tRACK\tSLOTS\tGRANTED")
	}
	for _, i := range status.Instances {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\n",
			i.ID, i.Pool, i.MovingTo, i.Phase, i.AvailabilityZone, i.Rack, i.Slots, i.Granted)
	}
}

// AuditCmd shows the audit trail.
type AuditCmd struct {
	Actor  string    `help:"Only changes by this operator or entry instance."`
	Object string    `help:"Only changes of this object."`
	Kind   string    `help:"Only this kind of change, for example config_publish."`
	Since  time.Time `help:"Only changes since this time (RFC 3339)."`
	Until  time.Time `help:"Only changes up to this time (RFC 3339)."`
	Limit  int       `help:"Maximum number of entries; the newest are shown." default:"100"`
}

// Run prints the selected entries.
func (c *AuditCmd) Run(s *session) error {
	query := url.Values{"actor": {c.Actor}, "object": {c.Object}, "kind": {c.Kind}, "limit": {strconv.Itoa(c.Limit)}}
	if !c.Since.IsZero() {
		query.Set("since", c.Since.Format(time.RFC3339))
	}
	if !c.Until.IsZero() {
		query.Set("until", c.Until.Format(time.RFC3339))
	}
	var response operator.AuditResponse
	if _, err := s.call(http.MethodGet, s.cli.Operators, "/v1/audit?"+query.Encode(), nil, nil, &response); err != nil {
		return err
	}
	return s.print(response, func(w io.Writer) {
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		defer tw.Flush()
		fmt.Fprintln(tw, "OFFSET\tTIME\tACTOR\tOBJECT\tCHANGE\tOUTCOME")
		for _, e := range response.Entries {
			outcome := "accepted"
			if !e.Accepted {
				outcome = "rejected: " + string(e.Reason) + " " + e.Detail
			}
			fmt.Fprintf(tw, "%d\t%s\t%s\t%s\t%s\t%s\n", e.Offset, e.At.Format(time.RFC3339), e.Actor, e.Object, e.Text, outcome)
		}
	})
}

// MoveCmd moves an instance to another pool.
type MoveCmd struct {
	Instance string `arg:"" help:"The instance's ID."`
	From     string `required:"" help:"The pool that the instance is in."`
	To       string `required:"" help:"The pool that it joins once its work has ended."`
}

// Run requests the move.
func (c *MoveCmd) Run(s *session) error {
	body, err := json.Marshal(operator.MoveRequest{From: c.From, To: c.To})
	if err != nil {
		return err
	}
	path := "/v1/instances/" + url.PathEscape(c.Instance) + "/move"
	if _, err := s.call(http.MethodPost, s.cli.Operators, path, nil, body, nil); err != nil {
		return err
	}
	return s.print(c, func(w io.Writer) {
		fmt.Fprintf(w, "instance %s joins pool %s once its work has ended\n", c.Instance, c.To)
	})
}
