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

// The bounds of control for one entry instance, from the stated target.
const (
	cpuPercentBound   = 1.5
	residentMBBound   = 128.0
	controlKBPerBound = 28.0
)

// ErrBoundExceeded says that an entry instance spent more on control than the target allows.
var ErrBoundExceeded = errors.New("a bound of control is exceeded")

// controlGroups are the groups of connections in the metrics.
var controlGroups = []string{"peers", "log", "list", "worker_leases"}

// MeasureOptions are the choices of a measurement.
type MeasureOptions struct {
	Directory string
	For       time.Duration
	Label     string
	Stdout    io.Writer
}

// entryVars are the metrics of an entry instance that a measurement needs.
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

// Measure prints what each entry instance of a directory spends on control, as rows of a table.
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
		row, broken := compareVars(before[n], after[n], seconds)
		fmt.Fprintf(o.Stdout, "| %s | %s | %s | %.1f |\n", o.Label, e.Name, row, float64(logAfter-logBefore)/seconds)
		if len(broken) > 0 {
			exceeded = append(exceeded, e.Name+": "+strings.Join(broken, ", "))
		}
	}
	if len(exceeded) > 0 {
		return fmt.Errorf("%w: %s", ErrBoundExceeded, strings.Join(exceeded, "; "))
	}
	return nil
}

func compareVars(before, after entryVars, seconds float64) (row string, exceeded []string) {
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
	for _, bound := range []struct {
		name       string
		value, max float64
	}{{"share of a core", cpu, cpuPercentBound}, {"resident MB", resident, residentMBBound}, {"control KB/s", sent + received, controlKBPerBound}} {
		if bound.value > bound.max {
			exceeded = append(exceeded, fmt.Sprintf("%s %.1f, bound %.1f", bound.name, bound.value, bound.max))
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
		if err := control(ctx, http.MethodGet, e.OperatorsURL+"/debug/vars", nil, &v); err != nil {
			return nil, 0, fmt.Errorf("read the metrics of %s: %w", e.Name, err)
		}
		vars = append(vars, v)
	}
	var batch struct {
		Next uint64 `json:"next"`
	}
	// A read from far beyond the end returns no records.
	err = control(ctx, http.MethodGet, fmt.Sprintf("%s/read?from=%d", a.LogURL, uint64(1)<<62), nil, &batch)
	return vars, batch.Next, err
}
