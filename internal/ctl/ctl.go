// Package ctl implements the commands of pollenctl.
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
)

// The exit codes of pollenctl.
const (
	ExitOK              = 0
	ExitFailed          = 1
	ExitUsage           = 2
	ExitConflict        = 3
	ExitInvalid         = 4
	ExitNotInForce      = 5
	ExitUnresolved      = 6
	ExitTraceDifference = 7
)

// CLI defines the global flags and the commands.
type CLI struct {
	Operators string        `help:"Base URL of an entry instance's operators' interface." env:"POLLENCTL_OPERATORS" default:"http://127.0.0.1:7003" placeholder:"URL"`
	Callers   string        `help:"Base URL of the callers' interface." env:"POLLENCTL_CALLERS" default:"http://127.0.0.1:7001" placeholder:"URL"`
	KeyFile   string        `help:"File with the key; the environment variable POLLENCTL_KEY is used if it is not given." type:"path" placeholder:"FILE"`
	Output    string        `help:"Output format: text or json." enum:"text,json" default:"text"`
	Timeout   time.Duration `help:"Timeout of the whole command." default:"30s"`

	Check      CheckCmd      `cmd:"" help:"Check a document with the code that the server runs. Exits with 4 if it has problems."`
	Diff       DiffCmd       `cmd:"" help:"Describe the changes that a document makes to the one in force or to another file."`
	Apply      ApplyCmd      `cmd:"" help:"Publish a document and wait until every live entry instance has it in force."`
	Status     StatusCmd     `cmd:"" help:"Show members, teams, pools and jobs."`
	Submit     SubmitCmd     `cmd:"" help:"Submit a job."`
	Job        JobCmd        `cmd:"" help:"Show a job or its result."`
	Cancel     CancelCmd     `cmd:"" help:"Cancel a job."`
	CancelJobs CancelJobsCmd `cmd:"" help:"Cancel all jobs of the team whose key is used, on the users' platform."`
	Audit      AuditCmd      `cmd:"" help:"Show the audit trail."`
	Move       MoveCmd       `cmd:"" help:"Move an instance to another pool."`
	Wave       WaveCmd       `cmd:"" help:"Plan, start and control maintenance waves."`
	Evacuate   EvacuateCmd   `cmd:"" help:"Evacuate an availability zone of the users' platform, or take that back."`
	Explain    ExplainCmd    `cmd:"" help:"Show the log lines of entry instances that concern one job, in order of time."`
	Preview    PreviewCmd    `cmd:"" help:"Show where a job would go now and why, without submitting it."`
	Key        KeyCmd        `cmd:"" help:"Create API keys."`
	Replay     ReplayCmd     `cmd:"" help:"Replay a recorded trace and compare it with its expected outcomes. Exits with 7 at the first difference."`
}

// exitError is an error with the exit code that the process returns for it.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func exitWith(code int, format string, args ...any) error {
	return &exitError{code: code, err: fmt.Errorf(format, args...)}
}

// session holds the global flags, context and streams that a command runs with.
type session struct {
	cli    *CLI
	ctx    context.Context
	stdin  io.Reader
	stdout io.Writer
}

// Run parses args, runs the command and returns the exit code.
func Run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	var cli CLI
	exited := -1
	parser, err := kong.New(&cli,
		kong.Name("pollenctl"),
		kong.Description("Operate pollenlead and submit work to it."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exited = code }),
		kong.UsageOnError(),
	)
	if err != nil {
		fmt.Fprintln(stderr, "pollenctl:", err)
		return ExitUsage
	}
	parsed, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		fmt.Fprintln(stderr, "pollenctl:", err)
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, cli.Timeout)
	defer cancel()
	err = parsed.Run(&session{cli: &cli, ctx: ctx, stdin: stdin, stdout: stdout})
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(stderr, "pollenctl:", err)
	if exit := (*exitError)(nil); errors.As(err, &exit) {
		return exit.code
	}
	return ExitFailed
}

// print writes value as JSON or calls text, depending on --output.
func (s *session) print(value any, text func(w io.Writer)) error {
	if s.cli.Output == "json" {
		enc := json.NewEncoder(s.stdout)
		return enc.Encode(value)
	}
	text(s.stdout)
	return nil
}

// key returns the bearer key from --key-file or POLLENCTL_KEY, or "" if neither is set.
func (s *session) key() (string, error) {
	if s.cli.KeyFile == "" {
		return os.Getenv("POLLENCTL_KEY"), nil
	}
	text, err := os.ReadFile(s.cli.KeyFile)
	if err != nil {
		return "", fmt.Errorf("read the key file: %w", err)
	}
	return strings.TrimSpace(string(text)), nil
}

// readInput reads a file, or standard input for "-".
func (s *session) readInput(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(s.stdin)
	}
	return os.ReadFile(path)
}
