package ctl

import (
	"bytes"
	"fmt"
	"io"

	"pollenlead/internal/replay"
)

// ReplayCmd replays a trace.
type ReplayCmd struct {
	Trace string `arg:"" help:"The trace (JSON Lines, see docs/traces.md), or - for standard input."`
}

// Run applies the records of the trace and reports the first difference from its expected outcomes.
func (c *ReplayCmd) Run(s *session) error {
	trace, err := s.readInput(c.Trace)
	if err != nil {
		return fmt.Errorf("read the trace: %w", err)
	}
	result, err := replay.Run(bytes.NewReader(trace))
	if err != nil {
		return fmt.Errorf("replay %s: %w", c.Trace, err)
	}
	err = s.print(result, func(w io.Writer) {
		fmt.Fprintf(w, "%d records folded, %d expectations compared\n", result.Records, result.Expectations)
	})
	if err != nil {
		return err
	}
	if result.Difference != nil {
		return exitWith(ExitTraceDifference, "%s: %s", c.Trace, result.Difference)
	}
	return nil
}
