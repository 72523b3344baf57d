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

// shutdownSeconds is the timeout of the graceful shutdown of an entry instance.
const shutdownSeconds = 30

// runningInstance is an entry instance that runs in this process.
type runningInstance struct {
	name     string
	zone     string
	instance *entry.Instance
	cancel   context.CancelFunc
	done     chan error
}

// cluster is the set of entry instances behind a balancer.
type cluster struct {
	standIns       *standIns
	bootstrapToken string
	logger         zerolog.Logger

	mu        sync.Mutex
	instances map[string]*runningInstance
}

func newCluster(s *standIns, bootstrapToken string, logger zerolog.Logger) *cluster {
	return &cluster{
		standIns: s, bootstrapToken: bootstrapToken, logger: logger,
		instances: map[string]*runningInstance{},
	}
}

func (c *cluster) settings(name, zone string) (settings.Settings, error) {
	s := settings.Defaults()
	s.Name, s.Region, s.AvailabilityZone = name, region, zone
	s.LogLevel = zerolog.WarnLevel.String()
	loopback := settings.Address{AddrPort: netip.MustParseAddrPort("127.0.0.1:0")}
	s.Listen = settings.Listen{Callers: loopback, Peers: loopback, Operators: loopback}
	s.Timeouts.ShutdownSeconds = shutdownSeconds
	s.Timeouts.ListPollMilliseconds = int(listPollInterval.Milliseconds())
	s.BootstrapOperator = &settings.BootstrapOperator{Name: "demo", SHA256: config.HashKey(c.bootstrapToken)}
	if err := s.Platform.LogURL.UnmarshalText([]byte(c.standIns.logURL)); err != nil {
		return s, fmt.Errorf("log URL: %w", err)
	}
	if err := s.Platform.ListURL.UnmarshalText([]byte(c.standIns.listURL)); err != nil {
		return s, fmt.Errorf("list URL: %w", err)
	}
	return s, nil
}

// start starts an entry instance and adds it to the platform's instance list.
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
	p := &runningInstance{name: name, zone: zone, instance: instance, cancel: cancel, done: make(chan error, 1)}
	go func() { p.done <- instance.Run(ctx) }()
	c.mu.Lock()
	c.instances[name] = p
	c.mu.Unlock()
	c.standIns.list.Set(standin.Instance{
		ID: name, Kind: "entry", Address: hostOf(instance.CallersURL()),
		Region: region, AvailabilityZone: zone, Phase: "live",
	})
	return nil
}

// stop shuts an entry instance down gracefully.
func (c *cluster) stop(name string) error {
	p := c.find(name)
	if p == nil {
		return nil
	}
	p.cancel()
	err := <-p.done
	c.remove(name)
	return err
}

// kill ends an entry instance without a graceful shutdown, as a crash does.
func (c *cluster) kill(name string) {
	p := c.find(name)
	if p == nil {
		return
	}
	p.instance.Kill()
	p.cancel()
	<-p.done
	c.remove(name)
}

// find returns the entry instance with the given name, or nil. The instance stays in the cluster until remove, so the
// balancer sends requests to it until a probe finds it not ready.
func (c *cluster) find(name string) *runningInstance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instances[name]
}

// remove deletes the entry instance from the cluster and from the platform's instance list.
func (c *cluster) remove(name string) {
	c.mu.Lock()
	delete(c.instances, name)
	c.mu.Unlock()
	c.standIns.list.Remove(name)
}

// stopAll shuts down all entry instances concurrently and gracefully.
func (c *cluster) stopAll() error {
	var stops sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	for _, p := range c.list() {
		stops.Go(func() {
			err := c.stop(p.name)
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
		})
	}
	stops.Wait()
	return errors.Join(errs...)
}

func (c *cluster) list() []*runningInstance {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*runningInstance
	for _, p := range c.instances {
		all = append(all, p)
	}
	return all
}

// targets returns the running entry instances for the balancer.
func (c *cluster) targets() []target {
	var all []target
	for _, p := range c.list() {
		all = append(all, target{
			Name: p.name, AvailabilityZone: p.zone,
			CallersURL: p.instance.CallersURL(), OperatorsURL: p.instance.OperatorsURL(),
		})
	}
	return all
}

// hostOf returns the host and port of a URL, or an empty string if the URL is malformed.
func hostOf(text string) string {
	u, err := url.Parse(text)
	if err != nil {
		return ""
	}
	return u.Host
}
