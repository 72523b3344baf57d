// Command pollenlead runs an entry instance, or the development mode.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"pollenlead/internal/capacity"
	"pollenlead/internal/devmode"
	"pollenlead/internal/entry"
	"pollenlead/internal/settings"
)

// The exit codes of pollenlead.
const (
	exitFailed        = 1
	exitUsage         = 2
	exitPromiseBroken = 3
)

type cli struct {
	Serve    serveCmd    `cmd:"" help:"Run one entry instance until SIGTERM, then shut down gracefully."`
	Capacity capacityCmd `cmd:"" help:"Measure state, messages, processor time and memory at several sizes, and sum them up for the target."`
	Dev      devCmd      `cmd:"" help:"Run stand-ins for the platform, entry instances and workers in this process over loopback."`
}

type serveCmd struct {
	Settings string `required:"" help:"The settings file (YAML)." type:"path" placeholder:"FILE"`
}

// Run serves until the process is told to stop.
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
	instance, err := entry.New(*s, logger)
	if err != nil {
		return err
	}
	return instance.Run(ctx)
}

type capacityCmd struct {
	Output string `help:"Form of the output: text or json." enum:"text,json" default:"text"`
}

// Run measures.
func (c *capacityCmd) Run(ctx context.Context) error {
	return capacity.Run(ctx, os.Stdout, c.Output)
}

type devCmd struct {
	Demo    bool          `help:"Drive the demo's load and end with a report."`
	Faults  bool          `help:"Let the platform and the entry instances fail during the demo."`
	For     time.Duration `help:"How long the load lasts." default:"20s"`
	Output  string        `help:"Form of the demo's report: text or json." enum:"text,json" default:"text"`
	Seed    uint64        `help:"Seed of the load." default:"1"`
	Rate    float64       `help:"Mean requests per second of each service." default:"60"`
	Entries int           `help:"Number of entry instances." default:"3"`
}

// Run starts the development mode.
func (c *devCmd) Run(ctx context.Context) error {
	return devmode.Run(ctx, devmode.Options{
		Demo: c.Demo, Faults: c.Faults, For: c.For, JSON: c.Output == "json", Seed: c.Seed,
		MeanPerSecond: c.Rate, Entries: c.Entries, Stdout: os.Stdout, Stderr: os.Stderr,
	})
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
	case errors.Is(err, devmode.ErrPromiseBroken):
		fmt.Fprintln(os.Stderr, "pollenlead:", err)
		os.Exit(exitPromiseBroken)
	case err != nil:
		fmt.Fprintln(os.Stderr, "pollenlead:", err)
		os.Exit(exitFailed)
	}
}
