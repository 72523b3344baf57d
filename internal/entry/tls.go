package entry

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"pollenlead/internal/settings"
)

// reloadInterval is the time within which renewed certificate files are in use.
const reloadInterval = 10 * time.Second

// certificates holds the certificate and the CA pool of one listener and reads them again when the files change, so that
// certificates are renewed without a restart.
type certificates struct {
	files settings.TLSFiles
	// interval is the shortest time between two looks at the files.
	interval time.Duration

	mu      sync.Mutex
	checked time.Time
	stamp   [3]time.Time
	cert    *tls.Certificate
	roots   *x509.CertPool
}

// newCertificates reads the files once, so that a process with unusable files does not start.
func newCertificates(files settings.TLSFiles) (*certificates, error) {
	c := &certificates{files: files, interval: reloadInterval}
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

// current returns the newest usable certificate and CA pool. Files that cannot be read leave the former ones in use.
func (c *certificates) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.checked) >= c.interval {
		c.checked = time.Now()
		if c.changed() {
			_ = c.loadLocked()
		}
	}
	return c.cert, c.roots
}

func (c *certificates) load() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checked = time.Now()
	return c.loadLocked()
}

func (c *certificates) stamps() [3]time.Time {
	var stamps [3]time.Time
	for i, name := range []string{c.files.Certificate, c.files.Key, c.files.CA} {
		if info, err := os.Stat(name); err == nil {
			stamps[i] = info.ModTime()
		}
	}
	return stamps
}

func (c *certificates) changed() bool { return c.stamps() != c.stamp }

func (c *certificates) loadLocked() error {
	stamp := c.stamps()
	cert, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return fmt.Errorf("load certificate %s: %w", c.files.Certificate, err)
	}
	var roots *x509.CertPool
	if c.files.CA != "" {
		pem, err := os.ReadFile(c.files.CA)
		if err != nil {
			return fmt.Errorf("load CA file: %w", err)
		}
		roots = x509.NewCertPool()
		if !roots.AppendCertsFromPEM(pem) {
			return fmt.Errorf("load CA file %s: no certificate in it", c.files.CA)
		}
	}
	c.cert, c.roots, c.stamp = &cert, roots, stamp
	return nil
}

// serverConfig is for the callers' listener.
func (c *certificates) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, roots := c.current()
			config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}, NextProtos: []string{"h2", "http/1.1"}}
			if roots != nil {
				config.ClientCAs, config.ClientAuth = roots, tls.RequireAndVerifyClientCert
			}
			return config, nil
		},
	}
}

// peerConfig is for connections between entry instances, in both directions. Both sides present a certificate of the CA.
// Instances are known by IP address and are replaced at any time, so the chain is verified and the name is not.
func (c *certificates) peerConfig() *tls.Config {
	config := func() *tls.Config {
		cert, roots := c.current()
		return &tls.Config{
			MinVersion:         tls.VersionTLS13,
			Certificates:       []tls.Certificate{*cert},
			ClientCAs:          roots,
			ClientAuth:         tls.RequireAndVerifyClientCert,
			InsecureSkipVerify: true, // VerifyConnection checks the chain.
			VerifyConnection:   func(state tls.ConnectionState) error { return verifyChain(state, roots) },
		}
	}
	base := config()
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return config(), nil }
	base.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		cert, _ := c.current()
		return cert, nil
	}
	base.Certificates = nil
	base.VerifyConnection = func(state tls.ConnectionState) error {
		_, roots := c.current()
		return verifyChain(state, roots)
	}
	return base
}

var errNoPeerCertificate = errors.New("the peer presented no certificate")

func verifyChain(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errNoPeerCertificate
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
