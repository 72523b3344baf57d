// Package settings holds the settings of one entry instance process: types, defaults, parsing and validation.
//
// The settings hold the identity and the addresses of one process. Everything that all entry instances share is in the
// configuration document (package config).
package settings

import (
	"net/netip"
	"time"

	"pollenlead/internal/yamldoc"
)

// MaxBytes is the maximum size of a settings text. Valid settings take about 2 KiB.
const MaxBytes = 64 << 10

// Problem is one error in the settings.
type Problem = yamldoc.Problem

// Settings are the settings of one entry instance.
type Settings struct {
	Name              string             `yaml:"name" jsonschema:"required"`
	Region            string             `yaml:"region" jsonschema:"required"`
	AvailabilityZone  string             `yaml:"availability_zone" jsonschema:"required"`
	Listen            Listen             `yaml:"listen"`
	Advertise         Advertise          `yaml:"advertise"`
	Platform          Platform           `yaml:"platform" jsonschema:"required"`
	TLS               TLS                `yaml:"tls"`
	BootstrapOperator *BootstrapOperator `yaml:"bootstrap_operator"`
	LogLevel          string             `yaml:"log_level"`
	Timeouts          Timeouts           `yaml:"timeouts"`
	CallerLimits      CallerLimits       `yaml:"caller_limits"`
}

// Listen holds the addresses that the process listens on. With port 0 the system assigns a port.
type Listen struct {
	Callers   Address `yaml:"callers"`
	Peers     Address `yaml:"peers"`
	Operators Address `yaml:"operators"`
}

// Advertise holds the addresses that the process publishes to the other entry instances in its session. An address
// that is not set defaults to the listen address; port 0 is replaced by the bound port of the listener.
type Advertise struct {
	Callers Address `yaml:"callers"`
	Peers   Address `yaml:"peers"`
}

// Platform holds the base URLs of the platform's log and instance list.
type Platform struct {
	LogURL  URL `yaml:"log_url" jsonschema:"required"`
	ListURL URL `yaml:"list_url" jsonschema:"required"`
}

// TLS holds the certificates of the listeners. A nil entry means plain TCP.
type TLS struct {
	Callers *TLSFiles `yaml:"callers"`
	Peers   *TLSFiles `yaml:"peers"`
}

// TLSFiles holds the names of PEM files. The CA file holds the CA certificates that the other side's certificate must
// chain to. It is optional for callers, which then present no certificate, and required for peers.
type TLSFiles struct {
	Certificate string `yaml:"certificate" jsonschema:"required"`
	Key         string `yaml:"key" jsonschema:"required"`
	CA          string `yaml:"ca"`
}

// CallerLimits bounds what the connections of all callers together can take.
type CallerLimits struct {
	Connections     int `yaml:"connections" jsonschema:"minimum=16,maximum=1000000"`
	MemoryMegabytes int `yaml:"memory_megabytes" jsonschema:"minimum=4,maximum=65536"`
}

// BootstrapOperator is the operator that may publish the first document. Its key is not valid after that.
type BootstrapOperator struct {
	Name   string `yaml:"name" jsonschema:"required"`
	SHA256 string `yaml:"sha256" jsonschema:"required"`
}

// Timeouts holds the timeouts of the process's calls and of its shutdown. Their maximum values follow from two
// guarantees of the design: the outcome of a lease renewal is known well within the session lease of 10 s, and an
// instance that is leaving receives no work after 3 s.
type Timeouts struct {
	LogAppendMilliseconds     int `yaml:"log_append_milliseconds" jsonschema:"minimum=100,maximum=5000"`
	LogReadWaitMilliseconds   int `yaml:"log_read_wait_milliseconds" jsonschema:"minimum=50,maximum=1500"`
	ListPollMilliseconds      int `yaml:"list_poll_milliseconds" jsonschema:"minimum=100,maximum=1000"`
	ListRequestMilliseconds   int `yaml:"list_request_milliseconds" jsonschema:"minimum=100,maximum=5000"`
	PeerRequestMilliseconds   int `yaml:"peer_request_milliseconds" jsonschema:"minimum=50,maximum=2000"`
	WorkerConnectMilliseconds int `yaml:"worker_connect_milliseconds" jsonschema:"minimum=50,maximum=5000"`
	CallerHeaderMilliseconds  int `yaml:"caller_header_milliseconds" jsonschema:"minimum=500,maximum=60000"`
	CallerBodyMilliseconds    int `yaml:"caller_body_milliseconds" jsonschema:"minimum=500,maximum=600000"`
	CallerIdleSeconds         int `yaml:"caller_idle_seconds" jsonschema:"minimum=1,maximum=3600"`
	ShutdownSeconds           int `yaml:"shutdown_seconds" jsonschema:"minimum=1,maximum=7200"`
}

// Defaults returns the default values of the settings.
func Defaults() Settings {
	return Settings{
		Listen: Listen{
			Callers:   mustAddress("0.0.0.0:8080"),
			Peers:     mustAddress("0.0.0.0:8081"),
			Operators: mustAddress("127.0.0.1:8082"),
		},
		LogLevel: "info",
		Timeouts: Timeouts{
			LogAppendMilliseconds:     2000,
			LogReadWaitMilliseconds:   1000,
			ListPollMilliseconds:      1000,
			ListRequestMilliseconds:   2000,
			PeerRequestMilliseconds:   1000,
			WorkerConnectMilliseconds: 500,
			CallerHeaderMilliseconds:  10000,
			CallerBodyMilliseconds:    30000,
			CallerIdleSeconds:         120,
			ShutdownSeconds:           300,
		},
		CallerLimits: CallerLimits{Connections: 8192, MemoryMegabytes: 32},
	}
}

// LogAppend returns the timeout of one attempt to append to the log.
func (t Timeouts) LogAppend() time.Duration { return milliseconds(t.LogAppendMilliseconds) }

// LogReadWait returns how long a read at the end of the log waits for a new record.
func (t Timeouts) LogReadWait() time.Duration { return milliseconds(t.LogReadWaitMilliseconds) }

// ListPollInterval returns the time between two reads of the instance list.
func (t Timeouts) ListPollInterval() time.Duration { return milliseconds(t.ListPollMilliseconds) }

// ListRequest returns the timeout of one read of the instance list.
func (t Timeouts) ListRequest() time.Duration { return milliseconds(t.ListRequestMilliseconds) }

// PeerRequest returns the timeout of one call to a peer.
func (t Timeouts) PeerRequest() time.Duration { return milliseconds(t.PeerRequestMilliseconds) }

// WorkerConnect returns the timeout for establishing a connection to a worker.
func (t Timeouts) WorkerConnect() time.Duration { return milliseconds(t.WorkerConnectMilliseconds) }

// CallerHeader returns the timeout for reading the header of a caller's request.
func (t Timeouts) CallerHeader() time.Duration { return milliseconds(t.CallerHeaderMilliseconds) }

// CallerBody returns the timeout for reading the body of a job.
func (t Timeouts) CallerBody() time.Duration { return milliseconds(t.CallerBodyMilliseconds) }

// CallerIdle returns how long an idle connection of a caller stays open.
func (t Timeouts) CallerIdle() time.Duration { return time.Duration(t.CallerIdleSeconds) * time.Second }

// Shutdown returns how long a graceful shutdown waits at most for requests in flight.
func (t Timeouts) Shutdown() time.Duration { return time.Duration(t.ShutdownSeconds) * time.Second }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Address is an IP address and port.
type Address struct{ netip.AddrPort }

// UnmarshalText parses "IP:port". It rejects host names, because processes connect to each other by IP address only.
func (a *Address) UnmarshalText(text []byte) error {
	parsed, err := netip.ParseAddrPort(string(text))
	if err != nil {
		return yamldoc.FormatError("must be IP:port, for example 10.0.0.7:8080 or [fd00::7]:8080; host names are not allowed")
	}
	a.AddrPort = parsed
	return nil
}

func mustAddress(text string) Address { return Address{netip.MustParseAddrPort(text)} }
