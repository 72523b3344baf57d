package main

import (
	"context"
	"errors"
	"os"
	"runtime/debug"

	"github.com/rs/zerolog"

	"pollenlead/internal/entrynode"
	"pollenlead/internal/logging"
	"pollenlead/platform"
)

const (
	// platformGCPercent trades memory, which is cheap on the platform's machines, for fewer garbage collections.
	platformGCPercent = 300
	// platformMemoryFraction is the fraction of the machine's memory that is set as the soft memory limit of the runtime.
	// Garbage collections become more frequent near it.
	platformMemoryFraction = 0.6
)

type entryCmd struct {
	Settings string `help:"The platform's settings file (YAML); the platform provides the default." type:"path" placeholder:"FILE"`
	LogLevel string `help:"Minimum level of log lines." enum:"debug,info,warn,error" default:"info"`

	Reservations bool `help:"Keep workers free for large tasks that fit on none yet, where this instance leads."`
}

// Run serves on the platform until SIGTERM.
func (c *entryCmd) Run(ctx context.Context) error {
	path := c.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	if path == "" {
		return errors.New("entry: no settings file: --settings is not set and the platform provides none")
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	s.Reservations = c.Reservations
	level, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil {
		return err
	}
	log, buffered := logging.New(os.Stdout, level)
	defer func() { _ = buffered.Close() }()
	log = log.With().Str("entry_instance", s.Name).Logger()
	go logging.ReportDroppedLines(ctx, log)
	debug.SetGCPercent(platformGCPercent)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB<<20) * platformMemoryFraction))
	}
	return entrynode.New(*s, platform.Connect(s), log).Run(context.WithoutCancel(ctx))
}
