package devmode

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"sync"

	"github.com/rs/zerolog"

	"pollenlead/internal/config"
	"pollenlead/internal/entry"
	"pollenlead/internal/settings"
	"pollenlead/standin"
)

// shutdownSeconds bounds the graceful shutdown of an entry instance of the demo.
const shutdownSeconds = 30

// process is one running entry instance.
type process struct {
	name     string
	zone     string
	instance *entry.Instance
	cancel   context.CancelFunc
	done     chan error
}

// cluster is the set of entry instances behind a balancer.
type cluster struct {
	standIns  *standIns
	bootstrap string
	logger    zerolog.Logger

	mu        sync.Mutex
	processes map[string]*process
}

func newCluster(s *standIns, bootstrapToken string, logger zerolog.Logger) *cluster {
	return &cluster{
		standIns: s, bootstrap: bootstrapToken, logger: logger,
		processes: map[string]*process{},
	}
}

func (c *cluster) settings(name, zone string) (settings.Settings, error) {
	s := settings.Defaults()
	s.Name, s.Region, s.AvailabilityZone = name, region, zone
	s.LogLevel = zerolog.WarnLevel.String()
	any := settings.Address{AddrPort: netip.MustParseAddrPort("127.0.0.1:0")}
	s.Listen = settings.Listen{Callers: any, Peers: any, Operators: any}
	s.Timeouts.ShutdownSeconds = shutdownSeconds
	s.Timeouts.ListPollMilliseconds = int(listPoll.Milliseconds())
	s.BootstrapOperator = &settings.BootstrapOperator{Name: "demo", SHA256: config.HashKey(c.bootstrap)}
	if err := s.Platform.LogURL.UnmarshalText([]byte(c.standIns.logURL)); err != nil {
		return s, fmt.Errorf("log URL: %w", err)
	}
	if err := s.Platform.ListURL.UnmarshalText([]byte(c.standIns.listURL)); err != nil {
		return s, fmt.Errorf("list URL: %w", err)
	}
	return s, nil
}

// start starts an entry instance and lists it.
func (c *cluster) start(name, zone string) error {
	s, err := c.settings(name, zone)
	if err != nil {
		return err
	}
	instance, err := entry.New(s, c.logger.With().Str("entry_instance", name).Logger())
	if err != nil {
		return fmt.Errorf("start entry instance %s: %w", name, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{name: name, zone: zone, instance: instance, cancel: cancel, done: make(chan error, 1)}
	go func() { p.done <- instance.Run(ctx) }()
	c.mu.Lock()
	c.processes[name] = p
	c.mu.Unlock()
	c.standIns.list.Set(standin.Instance{
		ID: name, Kind: "entry", Address: mustHost(instance.CallersURL()), Region: region, AvailabilityZone: zone, Phase: "live",
	})
	return nil
}

// stop shuts an entry instance down gracefully.
func (c *cluster) stop(name string) error {
	p := c.take(name)
	if p == nil {
		return nil
	}
	p.cancel()
	err := <-p.done
	c.forget(name)
	return err
}

// kill ends an entry instance at once, as a crash does.
func (c *cluster) kill(name string) {
	p := c.take(name)
	if p == nil {
		return
	}
	p.instance.Kill()
	p.cancel()
	<-p.done
	c.forget(name)
}

// take returns a process and takes it out of the cluster; the balancer stops sending to it only when it is not ready.
func (c *cluster) take(name string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

func (c *cluster) forget(name string) {
	c.mu.Lock()
	delete(c.processes, name)
	c.mu.Unlock()
	c.standIns.list.Remove(name)
}

// stopAll shuts every entry instance down gracefully at once.
func (c *cluster) stopAll() error {
	var all sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	for _, p := range c.list() {
		all.Go(func() {
			err := c.stop(p.name)
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

func (c *cluster) list() []*process {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*process
	for _, p := range c.processes {
		all = append(all, p)
	}
	return all
}

// targets returns the running entry instances for the balancer.
func (c *cluster) targets() []target {
	var all []target
	for _, p := range c.list() {
		all = append(all, target{
			Name: p.name, AvailabilityZone: p.zone, CallersURL: p.instance.CallersURL(), OperatorsURL: p.instance.OperatorsURL(),
		})
	}
	return all
}

func mustHost(text string) string {
	u, err := url.Parse(text)
	if err != nil {
		return ""
	}
	return u.Host
}
