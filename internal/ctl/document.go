package ctl

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"pollenlead/internal/config"
	"pollenlead/internal/operator"
)

// statusPollInterval is the time between two status requests while apply waits for the members.
const statusPollInterval = 100 * time.Millisecond

// CheckCmd checks a document.
type CheckCmd struct {
	Document string `arg:"" help:"The document's file, or - for standard input."`
}

// Run checks the document locally, without a request to an entry instance.
func (c *CheckCmd) Run(s *session) error {
	text, err := s.readInput(c.Document)
	if err != nil {
		return fmt.Errorf("read the document: %w", err)
	}
	_, problems := config.Parse(text)
	err = s.print(operator.CheckResponse{Problems: problems}, func(w io.Writer) {
		printProblems(w, c.Document, problems)
		if len(problems) == 0 {
			fmt.Fprintln(w, "the document is valid")
		}
	})
	if err != nil {
		return err
	}
	return problemsError(problems)
}

func printProblems(w io.Writer, file string, problems []config.Problem) {
	for _, p := range problems {
		fmt.Fprintf(w, "%s:%d:%d: %s: %s\n", file, p.Line, p.Column, p.Path, p.Message)
	}
}

func problemsError(problems []config.Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return exitWith(ExitInvalid, "the document has %d problems", len(problems))
}

// DiffCmd compares documents.
type DiffCmd struct {
	Document string `arg:"" help:"The new document's file, or - for standard input."`
	Against  string `help:"Compare with this file and not with the document in force." type:"path" placeholder:"FILE"`
}

// Run prints the changes that the new document makes.
func (c *DiffCmd) Run(s *session) error {
	text, err := s.readInput(c.Document)
	if err != nil {
		return fmt.Errorf("read the document: %w", err)
	}
	var response operator.CheckResponse
	if c.Against != "" {
		response, err = compareFiles(c.Against, text)
	} else {
		_, err = s.call(http.MethodPost, s.cli.Operators, "/v1/config/check", nil, text, &response)
	}
	if err != nil {
		return err
	}
	err = s.print(response, func(w io.Writer) {
		printProblems(w, c.Document, response.Problems)
		for _, change := range response.Changes {
			fmt.Fprintln(w, change.Text)
		}
		if len(response.Problems)+len(response.Changes) == 0 {
			fmt.Fprintln(w, "no effect")
		}
	})
	if err != nil {
		return err
	}
	return problemsError(response.Problems)
}

func compareFiles(oldFile string, text []byte) (operator.CheckResponse, error) {
	oldText, err := os.ReadFile(oldFile)
	if err != nil {
		return operator.CheckResponse{}, fmt.Errorf("read the old document: %w", err)
	}
	oldDoc, problems := config.Parse(oldText)
	if len(problems) > 0 {
		return operator.CheckResponse{}, exitWith(ExitInvalid, "%s has %d problems", oldFile, len(problems))
	}
	newDoc, problems := config.Parse(text)
	if len(problems) > 0 {
		return operator.CheckResponse{Problems: problems}, nil
	}
	return operator.CheckResponse{Changes: config.Diff(oldDoc, newDoc)}, nil
}

// ApplyCmd publishes a document.
type ApplyCmd struct {
	Document string `arg:"" help:"The document's file, or - for standard input."`
	Expect   int64  `help:"The version that the document was made against; without it the version in force now." default:"-1"`
}

// ApplyResult is the output of apply.
type ApplyResult struct {
	Version        uint64   `json:"version"`
	InForceMS      int64    `json:"in_force_ms"`
	NotInForce     []string `json:"not_in_force"`
	EntryInstances int      `json:"entry_instances"`
	StatusError    string   `json:"status_failure,omitempty"`
}

// Run publishes the document and waits until it is in force on every live entry instance.
func (c *ApplyCmd) Run(s *session) error {
	text, err := s.readInput(c.Document)
	if err != nil {
		return fmt.Errorf("read the document: %w", err)
	}
	expect, err := c.expectedVersion(s)
	if err != nil {
		return err
	}
	start := time.Now()
	var published operator.PublishResponse
	path := "/v1/config?expect=" + strconv.FormatUint(expect, 10)
	if _, err := s.call(http.MethodPut, s.cli.Operators, path, nil, text, &published); err != nil {
		return applyError(err)
	}
	result := awaitInForce(s, published.Version)
	result.InForceMS = time.Since(start).Milliseconds()
	err = s.print(result, func(w io.Writer) {
		fmt.Fprintf(w, "version %d published\n", result.Version)
		for _, name := range result.NotInForce {
			fmt.Fprintf(w, "not in force yet: %s\n", name)
		}
		if len(result.NotInForce) == 0 && result.StatusError == "" {
			fmt.Fprintf(w, "in force on %d entry instances after %d ms\n", result.EntryInstances, result.InForceMS)
		}
	})
	if err != nil {
		return err
	}
	if len(result.NotInForce) > 0 || result.StatusError != "" {
		return exitWith(ExitNotInForce, "version %d is published but not confirmed in force on every entry instance: %v %s",
			result.Version, result.NotInForce, result.StatusError)
	}
	return nil
}

func (c *ApplyCmd) expectedVersion(s *session) (uint64, error) {
	if c.Expect >= 0 {
		return uint64(c.Expect), nil
	}
	var current operator.ConfigResponse
	if _, err := s.call(http.MethodGet, s.cli.Operators, "/v1/config", nil, nil, &current); err != nil {
		return 0, fmt.Errorf("read the version in force: %w", err)
	}
	return current.Version, nil
}

func applyError(err error) error {
	var problem *apiError
	if !errors.As(err, &problem) {
		return err
	}
	switch problem.Reason {
	case "version_conflict":
		return exitWith(ExitConflict, "the document in force is not the expected version: %w", err)
	case "invalid_document":
		return exitWith(ExitInvalid, "%w", err)
	case "unresolved":
		return exitWith(ExitUnresolved, "%w", err)
	default:
		return err
	}
}

// awaitInForce polls the status until every member reports the version, the status request is rejected or the command
// times out.
func awaitInForce(s *session, version uint64) ApplyResult {
	result := ApplyResult{Version: version}
	for {
		var status operator.StatusResponse
		_, err := s.call(http.MethodGet, s.cli.Operators, "/v1/status", nil, nil, &status)
		var problem *apiError
		if errors.As(err, &problem) && problem.Status < http.StatusInternalServerError {
			result.StatusError = err.Error()
			return result
		}
		if err != nil {
			result.StatusError = err.Error()
		} else {
			result.StatusError = ""
			result.EntryInstances = len(status.Members)
			result.NotInForce = membersBehind(status.Members, version)
			if len(result.NotInForce) == 0 {
				return result
			}
		}
		select {
		case <-s.ctx.Done():
			return result
		case <-time.After(statusPollInterval):
		}
	}
}

func membersBehind(members []operator.Member, version uint64) []string {
	var names []string
	for _, m := range members {
		if !m.Heard || m.ConfigVersion < version {
			names = append(names, m.Name)
		}
	}
	return names
}

// KeyCmd groups the commands for keys.
type KeyCmd struct {
	New KeyNewCmd `cmd:"" help:"Create a key. The secret is shown once; its hash goes into the document."`
}

// KeyNewCmd creates a key.
type KeyNewCmd struct {
	ID string `arg:"" help:"The key's ID, unique in the document."`
}

// KeyResult is the output of key new.
type KeyResult struct {
	Token string `json:"token"`
	ID    string `json:"id"`
	Hash  string `json:"sha256"`
}

// Run creates and prints a key.
func (c *KeyNewCmd) Run(s *session) error {
	token, key, err := config.NewKey(c.ID)
	if err != nil {
		return err
	}
	return s.print(KeyResult{Token: token, ID: key.ID, Hash: key.SHA256}, func(w io.Writer) {
		fmt.Fprintf(w, "key (shown once): %s\nfor the document: {id: %s, sha256: %q}\n", token, key.ID, key.SHA256)
	})
}
