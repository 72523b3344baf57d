package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"pollenlead/internal/operator"
)

// WaveCmd groups the commands for maintenance waves.
type WaveCmd struct {
	Plan   WavePlanCmd   `cmd:"" help:"Show the plan of a wave over pools: steps, instances that stay available, longest duration."`
	Start  WaveStartCmd  `cmd:"" help:"Start a wave over pools."`
	Pause  WavePauseCmd  `cmd:"" help:"Take no further instances down; those that are down return."`
	Resume WaveResumeCmd `cmd:"" help:"Resume a paused wave. Earlier failures no longer count."`
	Abort  WaveAbortCmd  `cmd:"" help:"End a wave once the instances that are down have returned."`
	Status WaveStatusCmd `cmd:"" help:"Show one wave, or all open and recently ended ones."`
}

// WavePlanCmd plans a wave.
type WavePlanCmd struct {
	Pools []string `arg:"" help:"The pools."`
}

// Run prints the plan.
func (c *WavePlanCmd) Run(s *session) error {
	var plan operator.WavePlan
	path := "/v1/waves/plan?" + url.Values{"pool": c.Pools}.Encode()
	if _, err := s.call(http.MethodGet, s.cli.Operators, path, nil, nil, &plan); err != nil {
		return err
	}
	return s.print(plan, func(w io.Writer) { printPlan(w, plan) })
}

func printPlan(w io.Writer, plan operator.WavePlan) {
	longest := time.Duration(plan.LongestSeconds) * time.Second
	fmt.Fprintf(w, "%d instances in %d steps, at most %s of maintenance time; window: %s\n",
		plan.Taken, plan.Steps, longest, plan.Window)
	fmt.Fprintf(w, "%d instances stay available over all pools\n", plan.SmallestAvailable)
	if plan.Left > 0 {
		fmt.Fprintf(w, "%d instances cannot go down within the budget\n", plan.Left)
	}
	fmt.Fprintln(w)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer tw.Flush()
	fmt.Fprintln(tw, "POOL\tBASELINE\tFLOOR\tAVAILABLE\tSTEPS\tLEFT\tIN WAVE")
	for _, p := range plan.Pools {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%s\n", p.Name, p.Baseline, p.Floor, p.Available, p.Steps, p.Left, p.Wave)
	}
}

// WaveStartCmd starts a wave.
type WaveStartCmd struct {
	Pools  []string `arg:"" help:"The pools."`
	Reason string   `help:"The reason for the maintenance; the status shows it."`
}

// Run starts the wave and prints its ID.
func (c *WaveStartCmd) Run(s *session) error {
	body, err := json.Marshal(operator.WaveRequest{Pools: c.Pools, Reason: c.Reason})
	if err != nil {
		return err
	}
	var response operator.WaveResponse
	if _, err := s.call(http.MethodPost, s.cli.Operators, "/v1/waves", nil, body, &response); err != nil {
		return err
	}
	return s.print(response, func(w io.Writer) { fmt.Fprintln(w, response.Wave) })
}

// WavePauseCmd pauses a wave.
type WavePauseCmd struct {
	Wave string `arg:"" help:"The wave's ID."`
}

// Run requests the pause.
func (c *WavePauseCmd) Run(s *session) error {
	return sendWaveAction(s, c.Wave, "pause", "takes no further instances")
}

// WaveResumeCmd resumes a paused wave.
type WaveResumeCmd struct {
	Wave string `arg:"" help:"The wave's ID."`
}

// Run requests that the wave continues.
func (c *WaveResumeCmd) Run(s *session) error { return sendWaveAction(s, c.Wave, "resume", "goes on") }

// WaveAbortCmd aborts a wave.
type WaveAbortCmd struct {
	Wave string `arg:"" help:"The wave's ID."`
}

// Run requests the end of the wave.
func (c *WaveAbortCmd) Run(s *session) error {
	return sendWaveAction(s, c.Wave, "abort", "ends once the instances that are down have returned")
}

func sendWaveAction(s *session, wave, action, effect string) error {
	path := "/v1/waves/" + url.PathEscape(wave) + "/" + action
	if _, err := s.call(http.MethodPost, s.cli.Operators, path, nil, nil, nil); err != nil {
		return err
	}
	return s.print(operator.WaveResponse{Wave: wave}, func(w io.Writer) {
		fmt.Fprintf(w, "wave %s %s\n", wave, effect)
	})
}

// WaveStatusCmd shows waves.
type WaveStatusCmd struct {
	Wave string `arg:"" optional:"" help:"The wave's ID; all waves without it."`
}

// Run prints the status as the entry instance reports it.
func (c *WaveStatusCmd) Run(s *session) error {
	if c.Wave != "" {
		var status operator.WaveStatus
		path := "/v1/waves/" + url.PathEscape(c.Wave)
		if _, err := s.call(http.MethodGet, s.cli.Operators, path, nil, nil, &status); err != nil {
			return err
		}
		return s.print(status, func(w io.Writer) { printWave(w, status) })
	}
	var waves operator.WavesResponse
	if _, err := s.call(http.MethodGet, s.cli.Operators, "/v1/waves", nil, nil, &waves); err != nil {
		return err
	}
	return s.print(waves, func(w io.Writer) { printWaves(w, waves) })
}

func printWaves(w io.Writer, waves operator.WavesResponse) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer tw.Flush()
	fmt.Fprintln(tw, "WAVE\tSTATE\tPOOLS\tWAITING\tDOWN\tRETURNED\tSKIPPED\tFAILED\tACTOR\tREASON")
	for _, v := range append(waves.Ended, waves.Open...) {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", v.ID, v.State, strings.Join(v.Pools, ","), v.Waiting,
			len(v.Down), v.Returned, len(v.Skipped), len(v.Failures), v.Actor, v.Reason)
	}
}

func printWave(w io.Writer, v operator.WaveStatus) {
	fmt.Fprintf(w, "wave %s is %s, started by %s over %s: %s\n",
		v.ID, v.State, v.Actor, strings.Join(v.Pools, ", "), v.Reason)
	if v.PauseReason != "" {
		fmt.Fprintf(w, "paused: %s\n", v.PauseReason)
	}
	fmt.Fprintf(w, "%d waiting, %d down, %d returned, %d skipped, %d failed\n",
		v.Waiting, len(v.Down), v.Returned, len(v.Skipped), len(v.Failures))
	for _, b := range v.Blocked {
		fmt.Fprintf(w, "pool %s waits: %s\n", b.Pool, b.Text)
	}
	for _, f := range v.Failures {
		fmt.Fprintf(w, "failed: %s in rack %s of %s: %s\n", f.Instance, f.Rack, f.AvailabilityZone, f.Reason)
	}
	for _, id := range v.Skipped {
		fmt.Fprintf(w, "skipped: %s\n", id)
	}
	if len(v.Down) == 0 {
		return
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer tw.Flush()
	fmt.Fprintln(tw, "\nINSTANCE\tPOOL\tPHASE\tSINCE OFFSET")
	for _, t := range v.Down {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\n", t.Instance, t.Pool, t.Phase, t.Since)
	}
}
