// Package tlsconfig makes TLS configurations from certificate files. Changed files are
// read again at the next handshake, without a restart.
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

// checkInterval bounds how often the files are looked at.
const checkInterval = time.Second

// Files are the settings of one use of TLS, all in PEM. With none given, plain TCP is used.
type Files struct {
	// Cert and Key are this process's certificate chain and private key.
	Cert string `yaml:"cert" validate:"required_with=Key"`
	Key  string `yaml:"key" validate:"required_with=Cert"`
	// CA holds the authorities of the other side. A listener that has it takes only
	// clients with a certificate of these authorities; a client needs it.
	CA string `yaml:"ca"`
}

// Enabled reports whether TLS is used.
func (f Files) Enabled() bool { return f != Files{} }

// Source holds the certificates that the files had when last read.
type Source struct {
	files  Files
	logger logr.Logger

	mu      sync.Mutex
	loaded  loaded
	stamps  [3]stamp
	checked time.Time
}

type loaded struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// stamp tells one version of a file from another.
type stamp struct {
	modified time.Time
	size     int64
}

// New reads the files. It returns nil when TLS is not enabled.
func New(files Files, logger logr.Logger) (*Source, error) {
	if !files.Enabled() {
		return nil, nil
	}
	s := &Source{files: files, logger: logger, checked: time.Now()}
	s.stamps = files.stamps()
	var err error
	s.loaded, err = files.load()
	return s, trace.Wrap(err)
}

func (f Files) stamps() [3]stamp {
	var out [3]stamp
	for i, name := range []string{f.Cert, f.Key, f.CA} {
		if info, err := os.Stat(name); err == nil {
			out[i] = stamp{modified: info.ModTime(), size: info.Size()}
		}
	}
	return out
}

func (f Files) load() (loaded, error) {
	var out loaded
	var err error
	if f.Cert != "" || f.Key != "" {
		if out.cert, err = tls.LoadX509KeyPair(f.Cert, f.Key); err != nil {
			return loaded{}, trace.BadParameter("certificate %q with key %q: %v", f.Cert, f.Key, err)
		}
	}
	if f.CA == "" {
		return out, nil
	}
	data, err := os.ReadFile(f.CA)
	if err != nil {
		return loaded{}, trace.ConvertSystemError(err)
	}
	out.pool = x509.NewCertPool()
	if !out.pool.AppendCertsFromPEM(data) {
		return loaded{}, trace.BadParameter("%s holds no certificate", f.CA)
	}
	return out, nil
}

// certificates returns the process's certificate, if it has one.
func (l loaded) certificates() []tls.Certificate {
	if len(l.cert.Certificate) == 0 {
		return nil
	}
	return []tls.Certificate{l.cert}
}

// current returns the certificates, read again if a file has changed. Files that cannot
// be read leave the ones before in use.
func (s *Source) current() loaded {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checked) < checkInterval {
		return s.loaded
	}
	s.checked = time.Now()
	stamps := s.files.stamps()
	if stamps == s.stamps {
		return s.loaded
	}
	fresh, err := s.files.load()
	if err != nil {
		event.Error(s.logger, err, event.TLSReloadFailed)
		return s.loaded
	}
	s.stamps, s.loaded = stamps, fresh
	return s.loaded
}

// Server returns the configuration for a listener; nil when TLS is not enabled.
func (s *Source) Server() *tls.Config {
	if s == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.serverNow(), nil },
		// A listener refuses a configuration that names no certificate at all.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert := s.current().cert
			return &cert, nil
		},
	}
}

func (s *Source) serverNow() *tls.Config {
	now := s.current()
	cfg := &tls.Config{
		MinVersion: tls.VersionTLS12, Certificates: now.certificates(), ClientCAs: now.pool,
		// A resumed session would outlive the withdrawal of its authority.
		SessionTicketsDisabled: true,
		NextProtos:             []string{"http/1.1"},
	}
	if now.pool != nil {
		cfg.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return cfg
}

// Client returns the configuration for one dial to serverName, an IP or name that the
// server's certificate must hold; nil when TLS is not enabled.
func (s *Source) Client(serverName string) *tls.Config {
	if s == nil {
		return nil
	}
	now := s.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS12, Certificates: now.certificates(), RootCAs: now.pool,
		ServerName: serverName, NextProtos: []string{"http/1.1"},
	}
}

// Dial connects to addr with TLS. The handshake ends with ctx.
func (s *Source) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return s.dialOver(ctx, (&net.Dialer{}).DialContext, network, addr)
}

// dialFunc opens a plain connection.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

func (s *Source) dialOver(ctx context.Context, dial dialFunc, network, addr string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, trace.BadParameter("%v", err)
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

// Secure makes t dial with TLS over its own DialContext, with the files as they are at
// each dial. It does nothing when s is nil.
func (s *Source) Secure(t *http.Transport) {
	if s == nil {
		return
	}
	dial := dialFunc((&net.Dialer{}).DialContext)
	if t.DialContext != nil {
		dial = t.DialContext
	}
	// The dial function takes precedence; the configuration tells users of t that it
	// dials with TLS.
	t.TLSClientConfig = s.Client("")
	t.DialTLSContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		return s.dialOver(ctx, dial, network, addr)
	}
}

// Wrap makes a listener use TLS; a nil s leaves it as it is.
func (s *Source) Wrap(ln net.Listener) (net.Listener, error) {
	if s == nil {
		return ln, nil
	}
	if s.files.Cert == "" {
		return nil, trace.BadParameter("TLS on %s needs a certificate", ln.Addr())
	}
	return tls.NewListener(ln, s.Server()), nil
}

// Listen listens on addr, with TLS when s is not nil.
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
