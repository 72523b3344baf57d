package devmode

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// The limits of the control overhead of one entry instance, from the stated target.
const (
	maxCPUPercent         = 1.5
	maxResidentMB         = 128.0
	maxControlKBPerSecond = 28.0
)

// ErrLimitExceeded is returned by Measure if the control overhead of an entry instance exceeds a limit of the target.
var ErrLimitExceeded = errors.New("control overhead exceeds a limit")

// controlGroups are the groups of control connections in the metrics.
var controlGroups = []string{"peers", "log", "list", "worker_leases"}

// MeasureOptions are the options of Measure.
type MeasureOptions struct {
	Directory string
	For       time.Duration
	Label     string
	Stdout    io.Writer
}

// entryVars holds the metrics of an entry instance that Measure uses.
type entryVars struct {
	Pollenlead struct {
		Process struct {
			CPUSeconds    float64 `json:"cpu_seconds_total"`
			ResidentBytes float64 `json:"resident_memory_bytes"`
		} `json:"process"`
		Control map[string]float64 `json:"control"`
		Gateway struct {
			Requests float64 `json:"requests_total"`
		} `json:"gateway"`
	} `json:"pollenlead"`
}

// Measure prints the control overhead of each entry instance of a directory, as rows of a table.
func Measure(ctx context.Context, o MeasureOptions) error {
	a, err := readAddresses(o.Directory)
	if err != nil {
		return err
	}
	before, logBefore, err := readVars(ctx, a)
	if err != nil {
		return err
	}
	start := time.Now()
	if !sleepUntil(ctx, start.Add(o.For)) {
		return ctx.Err()
	}
	seconds := time.Since(start).Seconds()
	after, logAfter, err := readVars(ctx, a)
	if err != nil {
		return err
	}
	exceeded := []string{}
	for n, e := range a.Entries {
		row, aboveLimit := formatUsage(before[n], after[n], seconds)
		fmt.Fprintf(o.Stdout, "| %s | %s | %s | %.1f |\n", o.Label, e.Name, row, float64(logAfter-logBefore)/seconds)
		if len(aboveLimit) > 0 {
			exceeded = append(exceeded, e.Name+": "+strings.Join(aboveLimit, ", "))
		}
	}
	if len(exceeded) > 0 {
		return fmt.Errorf("%w: %s", ErrLimitExceeded, strings.Join(exceeded, "; "))
	}
	return nil
}

// formatUsage returns the usage between two readings of the metrics as cells of a table, and the limits it exceeds.
func formatUsage(before, after entryVars, seconds float64) (row string, exceeded []string) {
	b, p := before.Pollenlead, after.Pollenlead
	const kilobyte, megabyte = 1000, 1000 * 1000
	cpu := 100 * (p.Process.CPUSeconds - b.Process.CPUSeconds) / seconds
	resident := p.Process.ResidentBytes / megabyte
	rate := func(name string) float64 { return (p.Control[name] - b.Control[name]) / seconds / kilobyte }
	sent, received := 0.0, 0.0
	var parts []string
	for _, group := range controlGroups {
		out, in := rate(group+"_sent_bytes_total"), rate(group+"_received_bytes_total")
		sent, received = sent+out, received+in
		parts = append(parts, fmt.Sprintf("%.1f/%.1f", out, in))
	}
	for _, limit := range []struct {
		name       string
		value, max float64
	}{
		{"percent of a core", cpu, maxCPUPercent},
		{"resident MB", resident, maxResidentMB},
		{"control KB/s", sent + received, maxControlKBPerSecond},
	} {
		if limit.value > limit.max {
			exceeded = append(exceeded, fmt.Sprintf("%s %.1f, limit %.1f", limit.name, limit.value, limit.max))
		}
	}
	row = fmt.Sprintf("%.1f | %.1f | %.1f | %.1f | %s | %.1f", cpu, resident, sent, received, strings.Join(parts, " | "),
		(p.Gateway.Requests-b.Gateway.Requests)/seconds)
	return row, exceeded
}

// readVars returns the metrics of all entry instances and the next offset of the log.
func readVars(ctx context.Context, a addresses) (vars []entryVars, next uint64, err error) {
	for _, e := range a.Entries {
		var v entryVars
		if err := callStandIn(ctx, http.MethodGet, e.OperatorsURL+"/debug/vars", nil, &v); err != nil {
			return nil, 0, fmt.Errorf("read the metrics of %s: %w", e.Name, err)
		}
		vars = append(vars, v)
	}
	var batch struct {
		Next uint64 `json:"next"`
	}
	// A read from an offset far beyond the end returns no records but the next offset.
	err = callStandIn(ctx, http.MethodGet, fmt.Sprintf("%s/read?from=%d", a.LogURL, uint64(1)<<62), nil, &batch)
	return vars, batch.Next, err
}
