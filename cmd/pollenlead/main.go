// Command pollenlead runs an entry instance, or the development mode.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"pollenlead/internal/capacity"
	"pollenlead/internal/devmode"
	"pollenlead/internal/entry"
	"pollenlead/internal/settings"
)

// The exit codes of pollenlead.
const (
	exitFailed            = 1
	exitUsage             = 2
	exitGuaranteeViolated = 3
)

type cli struct {
	Entry    entryCmd    `cmd:"" help:"Run one entry instance on the users' platform until SIGTERM."`
	Serve    serveCmd    `cmd:"" help:"Run one entry instance until SIGTERM, then shut down gracefully."`
	Capacity capacityCmd `cmd:"" help:"Measure state, messages, CPU time and memory at several sizes, and sum them up for the target size."`
	Dev      devCmd      `cmd:"" help:"Development tools: everything in this process, or the parts of a system of separate processes."`
}

// The live heap of an entry instance is about 12 MB at the target size. With the default GOGC, garbage collection
// took a sixth of its CPU time. At 400 the heap grows to five times the live heap, which is below half of the 128 MB
// that control may use. The memory limit keeps it within that bound under load; it leaves out the pages of the program
// itself.
const (
	gcPercent   = 400
	memoryLimit = 96 << 20
)

type serveCmd struct {
	Settings string `required:"" help:"The settings file (YAML)." type:"path" placeholder:"FILE"`
}

// Run serves until ctx is canceled.
func (c *serveCmd) Run(ctx context.Context) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return fmt.Errorf("settings: log_level: %w", err)
	}
	logger := zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("entry_instance", s.Name).Logger()
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	instance, err := entry.New(*s, logger)
	if err != nil {
		return err
	}
	return instance.Run(ctx)
}

type capacityCmd struct {
	Output string `help:"Output format: text or json." enum:"text,json" default:"text"`
}

// Run runs the capacity measurement.
func (c *capacityCmd) Run(ctx context.Context) error {
	return capacity.Run(ctx, os.Stdout, c.Output)
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var c cli
	parsed := kong.Parse(&c,
		kong.Name("pollenlead"),
		kong.Description("Fleet capacity and maintenance manager: entry instances between callers and backend servers."),
		kong.UsageOnError(),
		kong.Exit(func(code int) {
			if code != 0 {
				code = exitUsage
			}
			os.Exit(code)
		}),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	err := parsed.Run()
	switch {
	case errors.Is(err, devmode.ErrGuaranteeViolated):
		fmt.Fprintln(os.Stderr, "pollenlead:", err)
		os.Exit(exitGuaranteeViolated)
	case err != nil:
		fmt.Fprintln(os.Stderr, "pollenlead:", err)
		os.Exit(exitFailed)
	}
}
