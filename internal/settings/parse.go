package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strings"

	"pollenlead/internal/config"
	"pollenlead/internal/yamldoc"
)

// logLevels are the accepted values of log_level.
var logLevels = []string{"debug", "info", "warn", "error"}

// URL is the base URL of an HTTP service at an IP address, without a trailing slash.
type URL string

// UnmarshalText parses an http or https URL whose host is an IP address, without user, query or fragment.
func (u *URL) UnmarshalText(text []byte) error {
	parsed, err := url.Parse(string(text))
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return yamldoc.FormatError("must be an http or https URL")
	}
	if _, err := netip.ParseAddr(parsed.Hostname()); err != nil {
		return yamldoc.FormatError("the host of the URL must be an IP address")
	}
	if parsed.User != nil || parsed.RawQuery != "" || parsed.ForceQuery || parsed.Fragment != "" {
		return yamldoc.FormatError("the URL must have no user, query or fragment")
	}
	if _, err := netip.ParseAddrPort(parsed.Host); parsed.Port() == "0" || (parsed.Port() != "" && err != nil) {
		return yamldoc.FormatError("the port of the URL must be from 1 to 65535")
	}
	*u = URL(strings.TrimRight(parsed.String(), "/"))
	return nil
}

// Load reads and parses the settings file at path. The error lists all problems, one per line.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("load settings: %w", err)
	}
	s, problems := Parse(text)
	if len(problems) > 0 {
		lines := make([]string, len(problems))
		for i, p := range problems {
			lines[i] = path + ":" + p.String()
		}
		return nil, fmt.Errorf("load settings: %d problems:\n%s", len(problems), strings.Join(lines, "\n"))
	}
	return s, nil
}

// Parse parses and validates settings. It returns all problems, sorted by position; the settings are nil if there is
// any. It does not open the files that the settings refer to.
func Parse(text []byte) (*Settings, []Problem) {
	s := Defaults()
	c := yamldoc.Decode(text, MaxBytes, &s)
	if c.IsMapping() {
		check(c, &s)
	}
	if problems := c.Problems(); len(problems) > 0 {
		return nil, problems
	}
	s.completeAdvertise()
	return &s, nil
}

func check(c *yamldoc.Checker, s *Settings) {
	checkName(c, "name", s.Name)
	checkName(c, "region", s.Region)
	checkName(c, "availability_zone", s.AvailabilityZone)
	checkAdvertise(c, "callers", s.Listen.Callers, s.Advertise.Callers)
	checkAdvertise(c, "peers", s.Listen.Peers, s.Advertise.Peers)
	checkListen(c, s.Listen)
	checkTLS(c, "tls.callers", s.TLS.Callers, false)
	checkTLS(c, "tls.peers", s.TLS.Peers, true)
	if b := s.BootstrapOperator; b != nil {
		checkName(c, "bootstrap_operator.name", b.Name)
		if !config.ValidHash(b.SHA256) {
			c.Reportf("bootstrap_operator.sha256", "must be 64 lower-case hexadecimal digits")
		}
	}
	if !slices.Contains(logLevels, s.LogLevel) {
		c.Reportf("log_level", "must be %s", strings.Join(logLevels, ", "))
	}
}

func checkName(c *yamldoc.Checker, path, name string) {
	if !config.ValidName(name) {
		c.Reportf(path, "must be 1 to 63 lower-case letters, digits and hyphens")
	}
}

// checkAdvertise reports an advertised address, or its default, that other processes cannot connect to.
func checkAdvertise(c *yamldoc.Checker, name string, listen, advertise Address) {
	path := "advertise." + name
	switch {
	case c.Failed("listen." + name):
	case advertise.IsValid() && advertise.Addr().IsUnspecified():
		c.Reportf(path, "must be an address that others can connect to, not %s", advertise.Addr())
	case !advertise.IsValid() && listen.Addr().IsUnspecified():
		c.Reportf(path, "is required because listen.%s is %s", name, listen.Addr())
	}
}

// checkListen reports two listeners with the same address and port.
func checkListen(c *yamldoc.Checker, l Listen) {
	used := map[Address]string{}
	for _, e := range []struct {
		name    string
		address Address
	}{{"callers", l.Callers}, {"peers", l.Peers}, {"operators", l.Operators}} {
		if c.Failed("listen." + e.name) {
			continue
		}
		if other, ok := used[e.address]; ok {
			c.Reportf("listen."+e.name, "is the address of listen.%s already", other)
		}
		if e.address.Port() != 0 {
			used[e.address] = e.name
		}
	}
}

func checkTLS(c *yamldoc.Checker, path string, files *TLSFiles, caRequired bool) {
	if files == nil {
		return
	}
	if files.Certificate == "" {
		c.Reportf(path+".certificate", "must name a file")
	}
	if files.Key == "" {
		c.Reportf(path+".key", "must name a file")
	}
	if files.CA == "" && caRequired {
		c.Reportf(path+".ca", "is required: peers verify each other's certificates")
	}
}

func (s *Settings) completeAdvertise() {
	if !s.Advertise.Callers.IsValid() {
		s.Advertise.Callers = s.Listen.Callers
	}
	if !s.Advertise.Peers.IsValid() {
		s.Advertise.Peers = s.Listen.Peers
	}
}
