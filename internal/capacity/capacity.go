// Package capacity measures the control overhead of the fleet (state, messages, processor time and memory) and compares
// it with the limits of the design. It uses the stand-ins of the platform over loopback.
package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// The output formats of Run.
const (
	OutputText = "text"
	OutputJSON = "json"
)

// Report is the output of Run. Numbers of bytes count both directions; processor time includes both ends of a call.
type Report struct {
	Target       Size          `json:"target"`
	Measurements *Measurements `json:"measurements"`
	Roles        []Role        `json:"roles"`
	Log          []LogLoad     `json:"log"`
}

// Run measures and writes the report to out in the given format, OutputText or OutputJSON. It takes about two minutes.
func Run(ctx context.Context, out io.Writer, output string) error {
	if output != OutputText && output != OutputJSON {
		return fmt.Errorf("capacity: unknown output format %q, want %q or %q", output, OutputText, OutputJSON)
	}
	m, err := measure(ctx)
	if err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	r := Report{Target: Target, Measurements: m, Roles: m.roles(), Log: m.logLoads()}
	if output == OutputJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	return r.writeText(out)
}

func (r Report) writeText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, write := range []func(io.Writer){r.writeSlopes, r.writeRecords, r.writeMessages, r.writeRoles, r.writeLog} {
		write(w)
	}
	return w.Flush()
}

func (r Report) writeSlopes(w io.Writer) {
	fmt.Fprintln(w, "QUANTITY\tUNIT\tPER\tSLOPE\tINTERCEPT\tRESIDUAL\tPOINTS")
	for _, s := range r.Measurements.Slopes {
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%.0f:%.0f", p.X, p.Y))
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.4g\t%.4g\t%.3g\t%s\n",
			s.Quantity, s.Unit, s.Per, s.Slope, s.Intercept, s.Residual, strings.Join(points, " "))
	}
}

func (r Report) writeRecords(w io.Writer) {
	m := r.Measurements
	fmt.Fprintf(w, "\nSTATE AT TARGET\t%+v\n", m.State.Size)
	fmt.Fprintf(w, "encoded\t%d B\ngzip\t%d B\nheap\t%d B\n", m.State.EncodedBytes, m.State.GzipBytes, m.State.HeapBytes)
	for _, t := range []struct {
		name string
		cpu  Spread
	}{{"encode", m.State.Encode}, {"gzip", m.State.Gzip}, {"restore", m.State.Restore}, {"hash", m.State.Hash}} {
		fmt.Fprintf(w, "%s CPU\t%s\n", t.name, t.cpu)
	}
	fmt.Fprintln(w, "\nRECORD AT TARGET\tBYTES\tFOLD CPU")
	for _, c := range m.Records {
		fmt.Fprintf(w, "%s\t%d\t%s\n", c.Kind, c.Bytes, c.Apply)
	}
}

// String returns the median and the range as text.
func (s Spread) String() string { return fmt.Sprintf("%.1f us (%.1f to %.1f)", s.Median, s.Min, s.Max) }

func (r Report) writeMessages(w io.Writer) {
	m := r.Measurements
	fmt.Fprintln(w, "\nHEARTBEATS\tPAIRS\tREQUEST B\tANSWER B\tLOAD REPORT B\tB/S\tB/S WITH LOAD REPORTS")
	for _, h := range m.Heartbeats {
		fmt.Fprintf(w, "%d members\t%d\t%d\t%d\t%d\t%.0f\t%.0f\n",
			h.Members, h.Cells, h.Request, h.Answer, h.Report, h.PerSecond, h.WithReports)
	}
	for _, l := range m.Live {
		fmt.Fprintf(w, "%d live members\t%d\t\t\t\t%.0f\t\tCPU %.2f%%, %.2f heartbeats/s\n",
			l.Members, l.Cells, l.BytesPerSecond, l.CPUPercent, l.Heartbeats)
	}
	for i, teams := range []int{fewTeams, manyTeams} {
		fmt.Fprintf(w, "heartbeat CPU, %d pairs\t%s\n", teams*Target.Pools, m.HeartbeatCPU[i])
	}
	fmt.Fprintf(w, "worker lease renewal\t%.0f B\tCPU %s\n", m.Renewal.Bytes, m.Renewal.CPU)
	fmt.Fprintf(w, "instances with slots by holder\t%v\n", m.LeaseInstances)
	fmt.Fprintf(w, "start with a tail of %d records\t%.2f s (%.2f to %.2f)\tCPU %s\n",
		m.Start.Tail, m.Start.Seconds, m.Start.Fastest, m.Start.Slowest, m.Start.CPU)
}

func (r Report) writeRoles(w io.Writer) {
	fmt.Fprintln(w, "\nROLE\tCASE\tPART\tKB/S (bound 28)\tCORE % (bound 1.5)\tMB (bound 128)\tABOVE")
	for _, role := range r.Roles {
		for _, p := range append(role.Parts, role.Sum) {
			above := ""
			if p.Name == role.Sum.Name {
				above = strings.Join(role.Exceeded, ", ")
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%.1f\t%.2f\t%.1f\t%s\n",
				role.Name, role.Case, p.Name, p.BytesPerSecond/1e3, p.CPUPercent, p.MemoryBytes/1e6, above)
		}
	}
}

func (r Report) writeLog(w io.Writer) {
	fmt.Fprintf(w, "\nLOG\tHOLDERS\tAPPENDS/S (bound %d)\tGROUP COMMIT BOUND\tKB/S\tGB/DAY\n", MaxAppendsPerSecond)
	for _, l := range r.Log {
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%.0f\t%.1f\t%.2f\n",
			l.Case, l.Holders, l.AppendsPerSecond, l.GroupCommitLimit, l.BytesPerSecond/1e3, l.BytesPerDay/1e9)
		for _, f := range l.Flows {
			fmt.Fprintf(w, "  %s\t\t%.4f\t\t%.2f\n", f.Kind, f.PerSecond, f.PerSecond*f.Bytes/1e3)
		}
	}
}
