// Package settings holds the settings of one entry instance process: types, defaults, parsing and validation.
//
// The settings say who and where the process is. Everything that all entry instances share is in the document (package config).
package settings

import (
	"net/netip"
	"time"

	"pollenlead/internal/yamldoc"
)

// MaxBytes is the largest size of a settings text. Valid settings take about 2 KiB.
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
}

// Listen holds the addresses that the process listens on. Port 0 lets the system choose a port.
type Listen struct {
	Callers   Address `yaml:"callers"`
	Peers     Address `yaml:"peers"`
	Operators Address `yaml:"operators"`
}

// Advertise holds the addresses that the process tells the other entry instances in its session. An address that is not set
// is the listen address; port 0 stands for the port that the listener has.
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

// TLSFiles names PEM files. The CA file holds the certificates that the other side's certificate must descend from; it is
// optional for callers, who then present no certificate, and required for peers.
type TLSFiles struct {
	Certificate string `yaml:"certificate" jsonschema:"required"`
	Key         string `yaml:"key" jsonschema:"required"`
	CA          string `yaml:"ca"`
}

// BootstrapOperator may publish while no document is published; afterwards it is not valid.
type BootstrapOperator struct {
	Name   string `yaml:"name" jsonschema:"required"`
	SHA256 string `yaml:"sha256" jsonschema:"required"`
}

// Timeouts bound the calls of the process and its shutdown. The upper bounds keep the times that the design promises: a
// renewal must have an outcome well within the session lease of 10 s, and a leaving instance receives no work after 3 s.
type Timeouts struct {
	LogAppendMilliseconds     int `yaml:"log_append_milliseconds" jsonschema:"minimum=100,maximum=5000"`
	LogReadWaitMilliseconds   int `yaml:"log_read_wait_milliseconds" jsonschema:"minimum=50,maximum=1500"`
	ListPollMilliseconds      int `yaml:"list_poll_milliseconds" jsonschema:"minimum=100,maximum=1000"`
	ListRequestMilliseconds   int `yaml:"list_request_milliseconds" jsonschema:"minimum=100,maximum=5000"`
	PeerRequestMilliseconds   int `yaml:"peer_request_milliseconds" jsonschema:"minimum=50,maximum=2000"`
	WorkerConnectMilliseconds int `yaml:"worker_connect_milliseconds" jsonschema:"minimum=50,maximum=5000"`
	CallerHeaderMilliseconds  int `yaml:"caller_header_milliseconds" jsonschema:"minimum=500,maximum=60000"`
	CallerIdleSeconds         int `yaml:"caller_idle_seconds" jsonschema:"minimum=1,maximum=3600"`
	ShutdownSeconds           int `yaml:"shutdown_seconds" jsonschema:"minimum=1,maximum=7200"`
}

// Defaults returns the settings that hold where the text names none.
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
			CallerIdleSeconds:         120,
			ShutdownSeconds:           300,
		},
	}
}

// LogAppend is the longest time for one try of an append.
func (t Timeouts) LogAppend() time.Duration { return milliseconds(t.LogAppendMilliseconds) }

// LogReadWait is how long a read at the end of the log waits for a new record.
func (t Timeouts) LogReadWait() time.Duration { return milliseconds(t.LogReadWaitMilliseconds) }

// ListPollInterval is the time between two reads of the instance list.
func (t Timeouts) ListPollInterval() time.Duration { return milliseconds(t.ListPollMilliseconds) }

// ListRequest is the longest time for one read of the instance list.
func (t Timeouts) ListRequest() time.Duration { return milliseconds(t.ListRequestMilliseconds) }

// PeerRequest is the longest time for one call to a peer.
func (t Timeouts) PeerRequest() time.Duration { return milliseconds(t.PeerRequestMilliseconds) }

// WorkerConnect is the longest time for a connection to a worker to be established.
func (t Timeouts) WorkerConnect() time.Duration { return milliseconds(t.WorkerConnectMilliseconds) }

// CallerHeader is the longest time that a caller may take to send the header of a request.
func (t Timeouts) CallerHeader() time.Duration { return milliseconds(t.CallerHeaderMilliseconds) }

// CallerIdle is how long an idle connection of a caller stays open.
func (t Timeouts) CallerIdle() time.Duration { return time.Duration(t.CallerIdleSeconds) * time.Second }

// Shutdown is the longest time that a graceful shutdown waits for requests in flight.
func (t Timeouts) Shutdown() time.Duration { return time.Duration(t.ShutdownSeconds) * time.Second }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Address is an IP address and port.
type Address struct{ netip.AddrPort }

// UnmarshalText reads "IP:port"; host names are refused, because a process reaches others by IP address only.
func (a *Address) UnmarshalText(text []byte) error {
	parsed, err := netip.ParseAddrPort(string(text))
	if err != nil {
		return yamldoc.FormatError("must be IP:port, for example 10.0.0.7:8080 or [fd00::7]:8080; host names are not allowed")
	}
	a.AddrPort = parsed
	return nil
}

func mustAddress(text string) Address { return Address{netip.MustParseAddrPort(text)} }
