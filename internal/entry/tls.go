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

// reloadInterval is the minimum time between two checks of the certificate files; renewed files are in use after it.
const reloadInterval = 10 * time.Second

// certificateReloader holds the certificate and the CA pool of one listener and reloads them when their files change,
// so that certificates can be renewed without a restart.
type certificateReloader struct {
	files settings.TLSFiles
	// minCheckInterval is the minimum time between two checks of the files.
	minCheckInterval time.Duration

	mu        sync.Mutex
	checkedAt time.Time
	modTimes  [3]time.Time
	cert      *tls.Certificate
	roots     *x509.CertPool
}

// newCertificateReloader loads the files once, so that a process with unusable files fails to start.
func newCertificateReloader(files settings.TLSFiles) (*certificateReloader, error) {
	c := &certificateReloader{files: files, minCheckInterval: reloadInterval}
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

// current returns the newest usable certificate and CA pool. If the files cannot be loaded, the previous ones stay in
// use.
func (c *certificateReloader) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.checkedAt) >= c.minCheckInterval {
		c.checkedAt = time.Now()
		if c.filesChanged() {
			_ = c.loadLocked()
		}
	}
	return c.cert, c.roots
}

func (c *certificateReloader) load() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkedAt = time.Now()
	return c.loadLocked()
}

func (c *certificateReloader) fileModTimes() [3]time.Time {
	var stamps [3]time.Time
	for i, name := range []string{c.files.Certificate, c.files.Key, c.files.CA} {
		if info, err := os.Stat(name); err == nil {
			stamps[i] = info.ModTime()
		}
	}
	return stamps
}

func (c *certificateReloader) filesChanged() bool { return c.fileModTimes() != c.modTimes }

func (c *certificateReloader) loadLocked() error {
	stamp := c.fileModTimes()
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
			return fmt.Errorf("load CA file %s: no PEM certificate found", c.files.CA)
		}
	}
	c.cert, c.roots, c.modTimes = &cert, roots, stamp
	return nil
}

// serverConfig returns the TLS configuration of the callers' listener. Callers must present a certificate if a CA
// file is set.
func (c *certificateReloader) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, roots := c.current()
			config := &tls.Config{
				MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}, NextProtos: []string{"h2", "http/1.1"},
			}
			if roots != nil {
				config.ClientCAs, config.ClientAuth = roots, tls.RequireAndVerifyClientCert
			}
			return config, nil
		},
	}
}

// peerConfig returns the TLS configuration of connections between entry instances, in both directions. Both sides
// present a certificate of the CA. Instances are addressed by IP address and can be replaced at any time, so the
// chain is verified and the name is not.
func (c *certificateReloader) peerConfig() *tls.Config {
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

var errNoPeerCertificate = errors.New("peer presented no certificate")

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
