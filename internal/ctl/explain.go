package ctl

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// ExplainCmd shows the log lines that concern one job.
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

// Run prints the log lines of the job in order of time.
func (c *ExplainCmd) Run(s *session) error {
	var lines []LogLine
	for _, path := range c.Logs {
		text, err := s.readInput(path)
		if err != nil {
			return fmt.Errorf("read the log %s: %w", path, err)
		}
		lines = append(lines, jobLines(text, c.ID)...)
	}
	if len(lines) == 0 {
		return exitWith(ExitFailed, "no log line mentions job %s", c.ID)
	}
	slices.SortStableFunc(lines, func(a, b LogLine) int { return strings.Compare(a.Time, b.Time) })
	return s.print(lines, func(w io.Writer) {
		for _, l := range lines {
			fmt.Fprintf(w, "%s %s %s: %s%s\n", l.Time, l.Instance, l.Event, l.Message, formatInputs(l.Inputs))
		}
	})
}

// jobLines returns the log lines that concern a job. It skips a prefix before the JSON object of a line, as log
// collectors add it.
func jobLines(text []byte, id string) []LogLine {
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
		if json.Unmarshal(raw[start:], &fields) != nil || !selectJob(fields, id) && !mentionsJob(fields, id) {
			continue
		}
		l := LogLine{Inputs: fields}
		for name, to := range map[string]*string{
			"time": &l.Time, "entry_instance": &l.Instance, "event": &l.Event, "message": &l.Message,
		} {
			*to, _ = fields[name].(string)
			delete(fields, name)
		}
		delete(fields, "level")
		lines = append(lines, l)
	}
	return lines
}

// selectJob replaces the list of jobs in a log line by the fields of the job with the ID. It reports whether the list has
// the job.
func selectJob(fields map[string]any, id string) bool {
	jobs, _ := fields["jobs"].([]any)
	for _, entry := range jobs {
		if job, ok := entry.(map[string]any); ok && job["job"] == id {
			delete(fields, "jobs")
			maps.Copy(fields, job)
			return true
		}
	}
	return false
}

// mentionsJob reports whether a log line has the ID of the job or of one of its tasks.
func mentionsJob(fields map[string]any, id string) bool {
	if job, _ := fields["job"].(string); job == id {
		return true
	}
	task, _ := fields["task"].(string)
	return strings.HasPrefix(task, id+".")
}

func formatInputs(inputs map[string]any) string {
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
