package ctl

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"pollenlead/internal/scheduling"
)

// PreviewCmd shows where a job would go now.
type PreviewCmd struct {
	Entry string `required:"" help:"Base URL of an entry's metrics address." env:"POLLENCTL_ENTRY" placeholder:"URL"`
	Host  string `required:"" help:"Host to which the job would be sent."`
	Path  string `required:"" help:"Path to which the job would be sent."`
	Team  string `help:"Team that would send the job; without it, the key selects the team."`
	File  string `arg:"" help:"File with the job's body, or - for standard input."`
}

// PreviewResponse is the JSON output of the preview command: the dispatch.Explanation in the answer of the entry
// instance, which describes its fields.
type PreviewResponse struct {
	Queue           string                       `json:"queue"`
	Pool            string                       `json:"pool"`
	Team            string                       `json:"team"`
	LimitLeft       map[string]int64             `json:"limit_left,omitempty"`
	RefusedFraction float64                      `json:"refused_fraction"`
	Tier            string                       `json:"tier"`
	Priority        int                          `json:"priority"`
	SlackMillis     int64                        `json:"slack_ms"`
	TasksAhead      int                          `json:"tasks_ahead"`
	NeedsAdvice     bool                         `json:"needs_advice"`
	Unusable        scheduling.Exclusions        `json:"unusable"`
	Usable          int                          `json:"usable"`
	Steps           []scheduling.StepExplanation `json:"steps"`
}

// Run asks the entry instance and prints its answer.
func (c *PreviewCmd) Run(s *session) error {
	body, err := s.readInput(c.File)
	if err != nil {
		return fmt.Errorf("read the job %s: %w", c.File, err)
	}
	query := url.Values{"host": {c.Host}, "path": {c.Path}, "team": {c.Team}}
	var p PreviewResponse
	if _, err := s.call(http.MethodPost, c.Entry, "/preview?"+query.Encode(), nil, body, &p); err != nil {
		return err
	}
	return s.print(p, p.write)
}

// write prints the preview as text.
func (p *PreviewResponse) write(w io.Writer) {
	fmt.Fprintf(w, "queue %s, pool %s, team %s\n", p.Queue, p.Pool, p.Team)
	for _, resource := range slices.Sorted(maps.Keys(p.LimitLeft)) {
		fmt.Fprintf(w, "left of the team's limit: %s %d\n", resource, p.LimitLeft[resource])
	}
	fmt.Fprintf(w, "refused by overload: %.0f %% of the team's jobs\n", 100*p.RefusedFraction)
	fmt.Fprintf(w, "tier %s, priority %d, slack %d ms, %d tasks ahead\n",
		p.Tier, p.Priority, p.SlackMillis, p.TasksAhead)
	if p.NeedsAdvice {
		fmt.Fprintln(w, "each worker needs the consent of the advice service, which was not asked")
	}
	fmt.Fprintf(w, "%d usable workers%s\n", p.Usable, formatExclusions(p.Unusable))
	for i, step := range p.Steps {
		fmt.Fprintf(w, "step %d: %d tasks, %s; %d candidates%s\n",
			i, step.Tasks, formatPlacement(step), step.Candidates, formatExclusions(step.Excluded))
	}
}

func formatPlacement(x scheduling.StepExplanation) string {
	switch {
	case len(x.DependsOn) > 0:
		return fmt.Sprintf("after steps %v", x.DependsOn)
	case x.Placed > 0:
		return fmt.Sprintf("%d start now, the first at %s", x.Placed, x.Worker)
	case x.OverLimit:
		return "over the team's limit"
	case x.ExpectedWorker != "":
		return fmt.Sprintf("room expected at %s in %d ms, reserved: %t",
			x.ExpectedWorker, x.ExpectedInMillis, x.Reserved)
	}
	return "no room expected"
}

func formatExclusions(e scheduling.Exclusions) string {
	var b strings.Builder
	for _, reason := range slices.Sorted(maps.Keys(e)) {
		fmt.Fprintf(&b, ", %s: %d (%s)", reason, e[reason].Count, strings.Join(e[reason].Examples, " "))
	}
	return b.String()
}
