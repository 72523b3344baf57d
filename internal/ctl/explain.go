package ctl

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// ExplainCmd shows what the logs say of one job.
type ExplainCmd struct {
	ID   string   `required:"" help:"The job's ID." placeholder:"ID"`
	Logs []string `arg:"" help:"Log files of entry instances, or - for standard input." placeholder:"LOG"`
}

// LogLine is one line of a log that concerns the job.
type LogLine struct {
	Time     string         `json:"time"`
	Instance string         `json:"entry_instance"`
	Event    string         `json:"event"`
	Message  string         `json:"message"`
	Inputs   map[string]any `json:"inputs"`
}

// Run prints the job's life in the order of time.
func (c *ExplainCmd) Run(s *session) error {
	var lines []LogLine
	for _, path := range c.Logs {
		text, err := s.readInput(path)
		if err != nil {
			return fmt.Errorf("read the log %s: %w", path, err)
		}
		lines = append(lines, linesOf(text, c.ID)...)
	}
	if len(lines) == 0 {
		return exitWith(ExitFailed, "no line of the logs names job %s", c.ID)
	}
	slices.SortStableFunc(lines, func(a, b LogLine) int { return strings.Compare(a.Time, b.Time) })
	return s.print(lines, func(w io.Writer) {
		for _, l := range lines {
			fmt.Fprintf(w, "%s %s %s: %s%s\n", l.Time, l.Instance, l.Event, l.Message, inputsText(l.Inputs))
		}
	})
}

// linesOf returns the lines that concern a job. What stands before the JSON of a line, as a collector adds it, is passed over.
func linesOf(text []byte, id string) []LogLine {
	var lines []LogLine
	scanner := bufio.NewScanner(bytes.NewReader(text))
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		raw := scanner.Bytes()
		start := bytes.IndexByte(raw, '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(raw[start:], &fields) != nil || !concerns(fields, id) {
			continue
		}
		l := LogLine{Inputs: fields}
		for name, to := range map[string]*string{"time": &l.Time, "entry_instance": &l.Instance, "event": &l.Event, "message": &l.Message} {
			*to, _ = fields[name].(string)
			delete(fields, name)
		}
		delete(fields, "level")
		lines = append(lines, l)
	}
	return lines
}

// concerns reports whether a line names the job or one of its tasks.
func concerns(fields map[string]any, id string) bool {
	if job, _ := fields["job"].(string); job == id {
		return true
	}
	task, _ := fields["task"].(string)
	return strings.HasPrefix(task, id+".")
}

func inputsText(inputs map[string]any) string {
	names := make([]string, 0, len(inputs))
	for name := range inputs {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, inputs[name])
	}
	return b.String()
}
