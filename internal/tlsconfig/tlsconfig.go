// Package tlsconfig builds TLS configurations from certificate files. Changed files are
// reloaded during a handshake, without a restart; they are checked once per checkInterval
// at most.
package tlsconfig

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"agatewinch/internal/event"
)

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

// Files are the paths of the PEM files for one use of TLS. If none is set, plain TCP is
// used.
type Files struct {
	// Cert and Key hold this process's certificate chain and private key.
	Cert string `yaml:"cert" validate:"required_with=Key"`
	Key  string `yaml:"key" validate:"required_with=Cert"`
	// CA holds the certificate authorities trusted to sign the other side's certificate. A
	// listener with a CA file accepts only clients with a certificate from one of them; a
	// client without a CA file trusts the authorities of the host's system.
	CA string `yaml:"ca"`
}

// Enabled reports whether TLS is used.
func (f Files) Enabled() bool { return f != Files{} }

// Source holds the certificates and keys as last read from the files, and reloads them
// when the files change.
type Source struct {
	files  Files
	logger logr.Logger

	mu          sync.Mutex
	credentials credentials
	versions    [3]fileVersion
	lastCheck   time.Time
}

type credentials struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// fileVersion distinguishes the versions of a file.
type fileVersion struct {
	modified time.Time
	size     int64
}

// New reads the files. It returns a nil Source if TLS is not enabled.
func New(files Files, logger logr.Logger) (*Source, error) {
	if !files.Enabled() {
		return nil, nil
	}
	s := &Source{files: files, logger: logger, lastCheck: time.Now()}
	s.versions = files.versions()
	var err error
	s.credentials, err = files.load()
	return s, trace.Wrap(err)
}

func (f Files) versions() [3]fileVersion {
	var out [3]fileVersion
	for i, name := range []string{f.Cert, f.Key, f.CA} {
		if info, err := os.Stat(name); err == nil {
			out[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
		}
	}
	return out
}

func (f Files) load() (credentials, error) {
	var out credentials
	var err error
	if f.Cert != "" || f.Key != "" {
		if out.cert, err = tls.LoadX509KeyPair(f.Cert, f.Key); err != nil {
			return credentials{}, trace.BadParameter("cannot load certificate %q with key %q: %v", f.Cert, f.Key, err)
		}
	}
	if f.CA == "" {
		return out, nil
	}
	data, err := os.ReadFile(f.CA)
	if err != nil {
		return credentials{}, trace.ConvertSystemError(err)
	}
	out.pool = x509.NewCertPool()
	if !out.pool.AppendCertsFromPEM(data) {
		return credentials{}, trace.BadParameter("the CA file %s contains no certificate", f.CA)
	}
	return out, nil
}

// certificates returns the process's certificate, or nil if it has none.
func (c credentials) certificates() []tls.Certificate {
	if len(c.cert.Certificate) == 0 {
		return nil
	}
	return []tls.Certificate{c.cert}
}

// current returns the credentials and reloads them if a file has changed. If the files
// cannot be read, the previous credentials stay in use.
func (s *Source) current() credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.lastCheck) < checkInterval {
		return s.credentials
	}
	s.lastCheck = time.Now()
	versions := s.files.versions()
	if versions == s.versions {
		return s.credentials
	}
	fresh, err := s.files.load()
	if err != nil {
		event.Error(s.logger, err, event.TLSReloadFailed)
		return s.credentials
	}
	s.versions, s.credentials = versions, fresh
	return s.credentials
}

// Server returns the configuration for a listener, or nil if TLS is not enabled.
func (s *Source) Server() *tls.Config {
	if s == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.currentServerConfig(), nil },
		// tls.NewListener requires a configuration with a certificate or with GetCertificate.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert := s.current().cert
			return &cert, nil
		},
	}
}

func (s *Source) currentServerConfig() *tls.Config {
	creds := s.current()
	cfg := &tls.Config{
		MinVersion: tls.VersionTLS12, Certificates: creds.certificates(), ClientCAs: creds.pool,
		// A resumed session would stay valid after its authority is removed from the CA file.
		SessionTicketsDisabled: true,
		NextProtos:             []string{"http/1.1"},
	}
	if creds.pool != nil {
		cfg.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return cfg
}

// Client returns the configuration for one dial to serverName, an IP address or name for
// which the server's certificate must be valid. It returns nil if TLS is not enabled.
func (s *Source) Client(serverName string) *tls.Config {
	if s == nil {
		return nil
	}
	creds := s.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS12, Certificates: creds.certificates(), RootCAs: creds.pool,
		ServerName: serverName, NextProtos: []string{"http/1.1"},
	}
}

// Dial connects to addr with TLS. The connection attempt and the handshake end with ctx.
func (s *Source) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return s.dialTLS(ctx, (&net.Dialer{}).DialContext, network, addr)
}

// dialFunc opens a plain TCP connection.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

func (s *Source) dialTLS(ctx context.Context, dial dialFunc, network, addr string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, trace.BadParameter("cannot open a TLS connection: %v", err)
	}
	plain, err := dial(ctx, network, addr)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	conn := tls.Client(plain, s.Client(host))
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = plain.Close()
		return nil, trace.Wrap(err)
	}
	return conn, nil
}

// Secure makes t dial with TLS over its own DialContext, with the credentials that are
// current at each dial. It does nothing if s is nil.
func (s *Source) Secure(t *http.Transport) {
	if s == nil {
		return
	}
	dial := dialFunc((&net.Dialer{}).DialContext)
	if t.DialContext != nil {
		dial = t.DialContext
	}
	// DialTLSContext takes precedence over TLSClientConfig, which only tells users of t,
	// such as peer.WithHTTPClient, that it dials with TLS.
	t.TLSClientConfig = s.Client("")
	t.DialTLSContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		return s.dialTLS(ctx, dial, network, addr)
	}
}

// Wrap returns a listener that uses TLS, or ln itself if s is nil.
func (s *Source) Wrap(ln net.Listener) (net.Listener, error) {
	if s == nil {
		return ln, nil
	}
	if s.files.Cert == "" {
		return nil, trace.BadParameter("TLS listener on %s requires a certificate", ln.Addr())
	}
	return tls.NewListener(ln, s.Server()), nil
}

// Listen listens on addr, with TLS if s is not nil.
func (s *Source) Listen(addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	wrapped, err := s.Wrap(ln)
	if err != nil {
		_ = ln.Close()
	}
	return wrapped, trace.Wrap(err)
}
