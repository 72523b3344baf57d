package entry

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/settings"
)

// authority is a CA that writes its certificates into a directory.
type authority struct {
	is   *is.I
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T, is *is.I, name string) *authority {
	a := &authority{is: is, dir: t.TempDir()}
	var err error
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	is.NoErr(err)
	a.cert, err = x509.ParseCertificate(der)
	is.NoErr(err)
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) write(name, kind string, der []byte) {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	a.is.NoErr(os.WriteFile(filepath.Join(a.dir, name), data, 0o600))
}

// issue writes a certificate with the given serial number and returns its files.
func (a *authority) issue(serial int64) settings.TLSFiles {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	a.is.NoErr(err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	a.is.NoErr(err)
	a.write("key.pem", "PRIVATE KEY", keyDER)
	a.write("cert.pem", "CERTIFICATE", der)
	return settings.TLSFiles{
		Certificate: filepath.Join(a.dir, "cert.pem"),
		Key:         filepath.Join(a.dir, "key.pem"),
		CA:          filepath.Join(a.dir, "ca.pem"),
	}
}

// handshake connects a client to a server over loopback and returns the serial number of the server's certificate.
// Each end closes its connection when its handshake fails, so that the other end does not wait for it.
func handshake(is *is.I, client, server *tls.Config) (serial int64, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	serverErr := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			err = tls.Server(conn, server).Handshake()
			_ = conn.Close()
		}
		serverErr <- err
	}()
	raw, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	conn := tls.Client(raw, client)
	err = conn.Handshake()
	if err != nil {
		_ = raw.Close()
	}
	if fromServer := <-serverErr; err == nil {
		err = fromServer
	}
	_ = raw.Close()
	if err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// Guards against a renewed certificate that does not come into use, and against unusable files that replace the
// certificate in use.
func TestCertificatesReload(t *testing.T) {
	is := is.New(t)
	ca := newAuthority(t, is, "ca")
	files := ca.issue(10)
	files.CA = ""
	c, err := newCertificateReloader(files)
	is.NoErr(err)
	c.minCheckInterval = 0
	roots := x509.NewCertPool()
	roots.AddCert(ca.cert)
	client := &tls.Config{RootCAs: roots, ServerName: "127.0.0.1"}
	serial, err := handshake(is, client, c.serverConfig())
	is.NoErr(err)
	is.Equal(serial, int64(10))

	ca.issue(11)
	later := time.Now().Add(time.Minute) // the timestamps of some file systems are coarse
	is.NoErr(os.Chtimes(files.Certificate, later, later))
	serial, err = handshake(is, client, c.serverConfig())
	is.NoErr(err)
	is.Equal(serial, int64(11))

	is.NoErr(os.WriteFile(files.Certificate, []byte("no certificate"), 0o600))
	serial, err = handshake(is, client, c.serverConfig())
	is.NoErr(err)
	is.Equal(serial, int64(11))
}

// Guards against connections with a peer that has no certificate of the CA, in either direction.
func TestPeersAuthenticateEachOther(t *testing.T) {
	is := is.New(t)
	ca := newAuthority(t, is, "ca")
	own, err := newCertificateReloader(ca.issue(10))
	is.NoErr(err)
	foreignCA := newAuthority(t, is, "ca")
	foreign, err := newCertificateReloader(foreignCA.issue(20))
	is.NoErr(err)

	serial, err := handshake(is, own.peerConfig(), own.peerConfig())
	is.NoErr(err)
	is.Equal(serial, int64(10))
	_, err = handshake(is, foreign.peerConfig(), own.peerConfig())
	is.True(err != nil)
	_, err = handshake(is, own.peerConfig(), foreign.peerConfig())
	is.True(err != nil)
	_, err = handshake(is, &tls.Config{InsecureSkipVerify: true}, own.peerConfig())
	is.True(err != nil)
}
