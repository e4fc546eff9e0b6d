package tlsconfig

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"agatewinch/internal/peer"
	"agatewinch/internal/wire"
)

// authority signs certificates for 127.0.0.1.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func template(name string, serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
}

func newAuthority(t *testing.T, name string) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	tmpl := template(name, 1)
	tmpl.IsCA, tmpl.BasicConstraintsValid, tmpl.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &authority{cert: cert, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// write issues a certificate and writes it, its key and the authority into dir.
func (a *authority) write(t *testing.T, dir, name string, serial int64) Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	tmpl := template(name, serial)
	tmpl.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	f := Files{Cert: filepath.Join(dir, name+".crt"), Key: filepath.Join(dir, name+".key"), CA: filepath.Join(dir, name+".ca")}
	assert.NilError(t, os.WriteFile(f.Cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	assert.NilError(t, os.WriteFile(f.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	assert.NilError(t, os.WriteFile(f.CA, a.pem, 0o600))
	return f
}

func newSource(t *testing.T, f Files) *Source {
	t.Helper()
	s, err := New(f, logr.Discard())
	assert.NilError(t, err)
	return s
}

func serve(t *testing.T, s *Source) string {
	t.Helper()
	ln, err := s.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.TLS.PeerCertificates[0].Subject.CommonName)
	}), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String()
}

// get returns the body and the serial number of the server's certificate.
func get(addr string, client *Source) (string, int64, error) {
	transport := &http.Transport{DisableKeepAlives: true}
	client.Secure(transport)
	resp, err := (&http.Client{Transport: transport, Timeout: 10 * time.Second}).Get("https://" + addr)
	if err != nil {
		return "", 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	conn, errDial := client.Dial(context.Background(), "tcp", addr)
	if errDial != nil {
		return "", 0, errDial
	}
	defer func() { _ = conn.Close() }()
	return string(body), serial(conn), err
}

func TestMutualTLSNamesTheClient(t *testing.T) {
	ca := newAuthority(t, "ca")
	dir := t.TempDir()
	addr := serve(t, newSource(t, ca.write(t, dir, "server", 2)))
	name, _, err := get(addr, newSource(t, ca.write(t, dir, "gate-1", 3)))
	assert.NilError(t, err)
	assert.Equal(t, name, "gate-1")
}

func TestClientOfAnotherAuthorityIsRefused(t *testing.T) {
	ca, other := newAuthority(t, "ca"), newAuthority(t, "other")
	dir := t.TempDir()
	addr := serve(t, newSource(t, ca.write(t, dir, "server", 2)))
	files := other.write(t, dir, "stranger", 3)
	files.CA = filepath.Join(dir, "server.ca")
	_, _, err := get(addr, newSource(t, files))
	assert.Assert(t, err != nil)
}

func TestServerOfAnotherAuthorityIsRefused(t *testing.T) {
	ca, other := newAuthority(t, "ca"), newAuthority(t, "other")
	dir := t.TempDir()
	addr := serve(t, newSource(t, other.write(t, dir, "server", 2)))
	_, _, err := get(addr, newSource(t, ca.write(t, dir, "gate", 3)))
	assert.ErrorContains(t, err, "unknown authority")
}

func TestChangedFilesAreReadAtTheNextHandshake(t *testing.T) {
	ca := newAuthority(t, "ca")
	dir := t.TempDir()
	server := newSource(t, ca.write(t, dir, "server", 2))
	addr := serve(t, server)
	client := newSource(t, ca.write(t, dir, "client", 3))
	_, before, err := get(addr, client)
	assert.NilError(t, err)
	assert.Equal(t, before, int64(2))

	files := ca.write(t, dir, "server", 42)
	later := time.Now().Add(time.Minute)
	assert.NilError(t, os.Chtimes(files.Cert, later, later))
	server.recheck()
	_, after, err := get(addr, client)
	assert.NilError(t, err)
	assert.Equal(t, after, int64(42))

	assert.NilError(t, os.WriteFile(files.Cert, []byte("broken"), 0o600))
	server.recheck()
	_, kept, err := get(addr, client)
	assert.NilError(t, err)
	assert.Equal(t, kept, int64(42), "a broken file must leave the certificate before it in use")
}

func TestPeersTalkOverMutualTLSOnly(t *testing.T) {
	ca := newAuthority(t, "ca")
	dir := t.TempDir()
	ln, err := newSource(t, ca.write(t, dir, "scheduler", 2)).Listen("127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: peer.Serve(func(context.Context, wire.Kind, cbor.RawMessage) (any, error) {
		return wire.StatusReply{Host: "h"}, nil
	}), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })

	transport := &http.Transport{}
	newSource(t, ca.write(t, dir, "gate", 3)).Secure(transport)
	secure := peer.NewClient(ln.Addr().String(), peer.WithHTTPClient(&http.Client{Transport: transport}))
	defer secure.Close()
	var reply wire.StatusReply
	assert.NilError(t, secure.Call(context.Background(), wire.KindStatus, wire.Empty{}, &reply))
	assert.Equal(t, reply.Host, "h")

	plain := peer.NewClient(ln.Addr().String())
	defer plain.Close()
	assert.Assert(t, plain.Call(context.Background(), wire.KindStatus, wire.Empty{}, &reply) != nil)
}

func TestNoFilesMeanNoTLS(t *testing.T) {
	s, err := New(Files{}, logr.Discard())
	assert.NilError(t, err)
	assert.Assert(t, s == nil && s.Server() == nil && s.Client("x") == nil)
}

func TestMissingFileIsNamedAtStart(t *testing.T) {
	_, err := New(Files{Cert: "/none.crt", Key: "/none.key"}, logr.Discard())
	assert.ErrorContains(t, err, "/none.crt")
}

// recheck lets the next handshake look at the files again at once.
func (s *Source) recheck() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checked = time.Time{}
}

func serial(conn net.Conn) int64 {
	return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}
