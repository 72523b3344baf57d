// Package devmode runs the whole system in one process over loopback: stand-ins for the platform, entry instances and,
// in the demo, a load whose callers check the guarantees of the system from the outside.
package devmode

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"

	"pollenlead/internal/config"
	"pollenlead/internal/replay"
)

// ErrGuaranteeViolated is returned if the report of the demo shows that a guarantee was violated.
var ErrGuaranteeViolated = errors.New("a guarantee was violated")

// standInsNote is part of every report, so that its figures are not mistaken for those of a real platform.
const standInsNote = "the log, the instance list and the workers are stand-ins in this process"

// startTimeout is the timeout of the start of the entry instances.
const startTimeout = 30 * time.Second

// Options are the options of Run and RunLoad.
type Options struct {
	Demo          bool
	Faults        bool
	For           time.Duration
	JSON          bool
	Seed          uint64
	MeanPerSecond float64
	Entries       int
	// WorkFactor multiplies the execution time of requests; 0 means 1.
	WorkFactor int
	// NoChanges disables the withdrawal of a key and the rollout of a document.
	NoChanges bool
	// NoWatch disables the polling of the versions in force, whose cost would be measured as control overhead of the
	// entry instances.
	NoWatch bool
	// NoJobs disables the job load. Each job costs several records in the log, so a measurement of the control overhead
	// without load runs no jobs.
	NoJobs bool
	// NoUnknown makes the report count every unknown outcome as a violated guarantee.
	NoUnknown bool
	// Trace is the path of a file for the control records of the run. If it is empty, no file is written.
	Trace  string
	Stdout io.Writer
	Stderr io.Writer
}

// system holds the parts that run in the development mode.
type system struct {
	options  Options
	standIns *standIns // nil if they run in another process
	cluster  *cluster  // nil if the entry instances are other processes
	balancer *balancer
	observe  func(ctx context.Context, prefix string) (observations, error)
	services []string
	teams    []demoTeam
	// prefix is the prefix of the caller request IDs of this run, so that several runs against the same workers do not
	// count each other's executions.
	prefix   string
	document *config.Document
	keys     demoKeys
	operator operatorClient
}

// Run starts the system. In the demo it runs the load, writes the report and stops; otherwise it serves until ctx ends.
func Run(ctx context.Context, o Options) error {
	s, err := start(ctx, o)
	if err != nil {
		return err
	}
	defer func() { _ = s.standIns.close() }()
	if !o.Demo {
		s.describe()
		<-ctx.Done()
		return s.cluster.stopAll()
	}
	report, err := s.demo(ctx)
	if err != nil {
		return errors.Join(err, s.cluster.stopAll())
	}
	if err := s.cluster.stopAll(); err != nil {
		return fmt.Errorf("stop the entry instances: %w", err)
	}
	if err := s.writeTrace(); err != nil {
		return err
	}
	return finish(o, report)
}

// writeTrace writes the records of the log stand-in to a file for a replay.
func (s *system) writeTrace() error {
	if s.options.Trace == "" {
		return nil
	}
	var entries []replay.Entry
	for _, r := range s.standIns.log.Records() {
		entries = append(entries, replay.Entry{Offset: r.Offset, Data: r.Data})
	}
	file, err := os.Create(s.options.Trace)
	if err != nil {
		return fmt.Errorf("create the trace file: %w", err)
	}
	return errors.Join(replay.Write(file, entries), file.Close())
}

// finish checks and writes the report. It returns ErrGuaranteeViolated with the violated guarantees, if any.
func finish(o Options, report Report) error {
	report.checkGuarantees(o.NoUnknown)
	if err := writeReport(o, report); err != nil {
		return err
	}
	if len(report.Violated) > 0 {
		return fmt.Errorf("%w: %v", ErrGuaranteeViolated, report.Violated)
	}
	return nil
}

func start(ctx context.Context, o Options) (*system, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	document, keys, err := buildDocument(demoServices, demoTeams)
	if err != nil {
		return nil, err
	}
	fakes, err := startStandIns(demoServices, demoWorkers)
	if err != nil {
		return nil, err
	}
	logger := zerolog.New(o.Stderr).Level(zerolog.WarnLevel).With().Timestamp().Logger()
	s := &system{
		options: o, standIns: fakes, document: document, keys: keys,
		cluster:  newCluster(fakes, keys.operator, logger),
		operator: operatorClient{client: newCallerClient(), key: keys.operator},
	}
	s.services, s.teams = demoServices, demoTeams
	s.observe = func(_ context.Context, prefix string) (observations, error) { return fakes.observations(prefix), nil }
	s.balancer = newBalancer(s.cluster.targets)
	for n := range o.Entries {
		if err := s.cluster.start(fmt.Sprintf("entry-%d", n+1), zones[n%len(zones)]); err != nil {
			return nil, errors.Join(err, fakes.close())
		}
	}
	if err := s.publishInitial(ctx); err != nil {
		return nil, errors.Join(err, s.cluster.stopAll(), fakes.close())
	}
	if err := s.balancer.awaitReady(ctx); err != nil {
		return nil, errors.Join(err, s.cluster.stopAll(), fakes.close())
	}
	return s, nil
}

// publishInitial publishes the document, and retries until an entry instance has a session and accepts it.
func (s *system) publishInitial(ctx context.Context) error {
	text, err := render(s.document)
	if err != nil {
		return err
	}
	for {
		_, err := s.operator.publish(ctx, s.balancer.operatorsURLs()[0], 0, text)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("publish the first document: %w", err)
		case <-time.After(pollInterval):
		}
	}
}

func (s *system) describe() {
	w := s.options.Stdout
	fmt.Fprintln(w, standInsNote)
	for _, p := range s.cluster.list() {
		fmt.Fprintf(w, "%s: callers %s, operators %s\n", p.name, p.instance.CallersURL(), p.instance.OperatorsURL())
	}
	fmt.Fprintf(w, "operator key: %s\n", s.keys.operator)
	for _, t := range demoTeams {
		fmt.Fprintf(w, "key of team %s: %s\n", t.name, s.keys.teams[t.name])
	}
	fmt.Fprintf(w, "services: %v\n", demoServices)
}

func writeReport(o Options, r Report) error {
	if o.JSON {
		return json.NewEncoder(o.Stdout).Encode(r)
	}
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.Stdout, "%s\n", text)
	return err
}
