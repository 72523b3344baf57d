package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"pollenlead/internal/gateway"
)

// SubmitCmd submits a job.
type SubmitCmd struct {
	Service        string `help:"The service that runs the job." xor:"target" required:""`
	Queue          string `help:"The queue to submit to; open queues need no key." xor:"target" required:""`
	File           string `arg:"" help:"The job's body, or - for standard input." default:"-"`
	Name           string `help:"A display name; it has no influence on the team."`
	IdempotencyKey string `help:"A repeated submission with the same key returns the same job."`
	NonIdempotent  bool   `help:"The job must run at most once."`
	Urgent         bool   `help:"Run before jobs that are not urgent, if the team is allowed to."`
	ContentType    string `help:"The body's media type." default:"application/octet-stream"`
}

// JobResult is the output of submit and job.
type JobResult struct {
	Location string          `json:"location,omitempty"`
	Job      json.RawMessage `json:"job"`
}

// Run submits the job.
func (c *SubmitCmd) Run(s *session) error {
	body, err := s.readInput(c.File)
	if err != nil {
		return fmt.Errorf("read the body: %w", err)
	}
	header := http.Header{"Content-Type": {c.ContentType}}
	setIfNotEmpty(header, "Pollenlead-Job-Name", c.Name)
	setIfNotEmpty(header, "Idempotency-Key", c.IdempotencyKey)
	if c.NonIdempotent {
		header.Set("Pollenlead-Non-Idempotent", "true")
	}
	if c.Urgent {
		header.Set("Pollenlead-Urgent", "true")
	}
	path := "/v1/services/" + url.PathEscape(c.Service) + "/jobs"
	if c.Queue != "" {
		path = "/v1/queues/" + url.PathEscape(c.Queue) + "/jobs"
	}
	resp, data, err := s.callRaw(http.MethodPost, s.cli.Callers, path, header, body)
	if err != nil {
		return err
	}
	return s.printJob(resp.Header.Get("Location"), data)
}

func setIfNotEmpty(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

func (s *session) printJob(location string, data []byte) error {
	return s.print(JobResult{Location: location, Job: data}, func(w io.Writer) {
		var indented bytes.Buffer
		if json.Indent(&indented, data, "", "  ") != nil {
			indented.Write(data)
		}
		fmt.Fprintln(w, indented.String())
	})
}

// JobCmd shows a job.
type JobCmd struct {
	ID     string `arg:"" help:"The job's ID."`
	Result bool   `help:"Print the result's body and nothing else."`
}

// Run prints the job or its result.
func (c *JobCmd) Run(s *session) error {
	path := "/v1/jobs/" + url.PathEscape(c.ID)
	if c.Result {
		var result gateway.JobResult
		if _, err := s.call(http.MethodGet, s.cli.Callers, path+"/result", nil, nil, &result); err != nil {
			return err
		}
		_, err := s.stdout.Write(result.ResultBase64)
		return err
	}
	_, data, err := s.callRaw(http.MethodGet, s.cli.Callers, path, nil, nil)
	if err != nil {
		return err
	}
	return s.printJob("", data)
}

// CancelCmd cancels a job.
type CancelCmd struct {
	ID string `arg:"" help:"The job's ID."`
}

// Run cancels the job.
func (c *CancelCmd) Run(s *session) error {
	_, data, err := s.callRaw(http.MethodDelete, s.cli.Callers, "/v1/jobs/"+url.PathEscape(c.ID), nil, nil)
	if err != nil {
		return err
	}
	return s.printJob("", data)
}
