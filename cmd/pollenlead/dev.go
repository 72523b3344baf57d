package main

import (
	"context"
	"os"
	"time"

	"pollenlead/internal/devmode"
)

// devCmd groups the development tools. Without a subcommand everything runs in this process.
type devCmd struct {
	Run      devRunCmd      `cmd:"" default:"withargs" help:"Run stand-ins for the platform, entry instances and workers in this process over loopback."`
	StandIns devStandInsCmd `cmd:"" name:"stand-ins" help:"Run only the stand-ins, for entry instances in separate processes."`
	Load     devLoadCmd     `cmd:"" help:"Run the demo's load against entry instances in separate processes."`
	Await    devAwaitCmd    `cmd:"" help:"Wait until entry instances are ready."`
	Fault    devFaultCmd    `cmd:"" help:"Replace the faults of a stand-in."`
	Measure  devMeasureCmd  `cmd:"" help:"Measure the control overhead of entry instances. Fails if a bound is exceeded."`
	Listed   devListedCmd   `cmd:"" help:"Add an entry instance to the platform's list, or remove it."`
}

type devRunCmd struct {
	Demo    bool          `help:"Run the demo's load and print a report at the end."`
	Faults  bool          `help:"Inject faults of the platform and the entry instances during the demo."`
	For     time.Duration `help:"How long the load lasts." default:"20s"`
	Output  string        `help:"Format of the demo's report: text or json." enum:"text,json" default:"text"`
	Seed    uint64        `help:"Seed of the load." default:"1"`
	Rate    float64       `help:"Mean requests per second of each service." default:"60"`
	Entries int           `help:"Number of entry instances." default:"3"`
	Trace   string        `help:"Write the control records of the run as a trace for pollenctl replay." type:"path" placeholder:"FILE"`
}

// Run starts the development mode.
func (c *devRunCmd) Run(ctx context.Context) error {
	return devmode.Run(ctx, devmode.Options{
		Demo: c.Demo, Faults: c.Faults, For: c.For, JSON: c.Output == "json", Seed: c.Seed,
		MeanPerSecond: c.Rate, Entries: c.Entries, Trace: c.Trace, Stdout: os.Stdout, Stderr: os.Stderr,
	})
}

// directoryFlag is the flag for the directory that the stand-ins write to and the other commands read.
type directoryFlag struct {
	Directory string `required:"" help:"The directory into which the stand-ins write settings, keys and addresses." type:"path" placeholder:"DIR"`
}

type devStandInsCmd struct {
	directoryFlag
	Workers int `help:"Number of workers, two of them spare." default:"52"`
	Pools   int `help:"Number of pools, each with a service, not counting the spare pool." default:"5"`
	Teams   int `help:"Number of teams." default:"6"`
	Entries int `help:"Number of entry instances." default:"3"`
}

// Run runs the stand-ins until ctx is canceled.
func (c *devStandInsCmd) Run(ctx context.Context) error {
	return devmode.RunStandIns(ctx, devmode.StandInsOptions{
		Directory: c.Directory, Workers: c.Workers, Pools: c.Pools, Teams: c.Teams, Entries: c.Entries, Stdout: os.Stdout,
	})
}

type devLoadCmd struct {
	directoryFlag
	For        time.Duration `help:"How long the load lasts." default:"20s"`
	Output     string        `help:"Format of the report: text or json." enum:"text,json" default:"text"`
	Seed       uint64        `help:"Seed of the load." default:"1"`
	Rate       float64       `help:"Mean requests per second of each service." default:"60"`
	WorkFactor int           `help:"Factor for the work time of requests (20 to 120 ms)." default:"1"`
	NoChanges  bool          `help:"Withdraw no key and publish no document."`
	NoWatch    bool          `help:"Do not poll the document versions in force; for measurements of the control overhead."`
	NoJobs     bool          `help:"Submit no jobs."`
	NoUnknown  bool          `help:"Count a request whose outcome is unknown to the caller as a violated guarantee."`
}

// Run generates the load.
func (c *devLoadCmd) Run(ctx context.Context) error {
	return devmode.RunLoad(ctx, c.Directory, devmode.Options{
		For: c.For, JSON: c.Output == "json", Seed: c.Seed, MeanPerSecond: c.Rate, WorkFactor: c.WorkFactor,
		NoChanges: c.NoChanges, NoWatch: c.NoWatch, NoJobs: c.NoJobs, NoUnknown: c.NoUnknown, Stdout: os.Stdout, Stderr: os.Stderr,
	})
}

type devAwaitCmd struct {
	directoryFlag
	Timeout time.Duration `help:"Maximum time to wait." default:"30s"`
	Names   []string      `arg:"" optional:"" help:"The entry instances; all if none is given."`
}

// Run waits until the named entry instances are ready or the timeout expires.
func (c *devAwaitCmd) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	return devmode.AwaitReady(ctx, c.Directory, c.Names)
}

type devFaultCmd struct {
	directoryFlag
	StandIn string `arg:"" help:"log, list, workers, or the ID of one worker."`
	Faults  string `arg:"" help:"The faults as JSON; {} clears them."`
}

// Run replaces the faults of the stand-in.
func (c *devFaultCmd) Run(ctx context.Context) error {
	return devmode.SetFaults(ctx, c.Directory, c.StandIn, c.Faults)
}

type devListedCmd struct {
	directoryFlag
	Name   string `arg:"" help:"The entry instance."`
	Listed string `arg:"" help:"yes or no." enum:"yes,no"`
}

// Run adds the entry instance to the platform's list or removes it.
func (c *devListedCmd) Run(ctx context.Context) error {
	return devmode.SetListed(ctx, c.Directory, c.Name, c.Listed == "yes")
}

type devMeasureCmd struct {
	directoryFlag
	For   time.Duration `help:"How long to measure." default:"30s"`
	Label string        `help:"The first column of each row."`
}

// Run measures and prints one row per entry instance.
func (c *devMeasureCmd) Run(ctx context.Context) error {
	return devmode.Measure(ctx, devmode.MeasureOptions{Directory: c.Directory, For: c.For, Label: c.Label, Stdout: os.Stdout})
}
