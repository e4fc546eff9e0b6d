package tlsconfig_test

import (
	"context"
	"crypto/tls"
	"io"
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
	"agatewinch/internal/tlsconfig"
	"agatewinch/internal/tlsconfig/tlstest"
	"agatewinch/internal/wire"
)

func newSource(t *testing.T, f tlsconfig.Files) *tlsconfig.Source {
	t.Helper()
	s, err := tlsconfig.New(f, logr.Discard())
	assert.NilError(t, err)
	return s
}

func serve(t *testing.T, s *tlsconfig.Source) string {
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

// get returns the body of the server's response and the serial number of its certificate.
func get(addr string, client *tlsconfig.Source) (string, int64, error) {
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

func TestServerReceivesTheNameInTheClientCertificate(t *testing.T) {
	ca := tlstest.New(t, "ca")
	dir := t.TempDir()
	addr := serve(t, newSource(t, ca.Write(t, dir, "server", 2)))
	name, _, err := get(addr, newSource(t, ca.Write(t, dir, "gate-1", 3)))
	assert.NilError(t, err)
	assert.Equal(t, name, "gate-1")
}

func TestClientOfAnotherAuthorityIsRefused(t *testing.T) {
	ca, other := tlstest.New(t, "ca"), tlstest.New(t, "other")
	dir := t.TempDir()
	addr := serve(t, newSource(t, ca.Write(t, dir, "server", 2)))
	files := other.Write(t, dir, "stranger", 3)
	files.CA = filepath.Join(dir, "server.ca")
	_, _, err := get(addr, newSource(t, files))
	assert.Assert(t, err != nil)
}

func TestServerOfAnotherAuthorityIsRefused(t *testing.T) {
	ca, other := tlstest.New(t, "ca"), tlstest.New(t, "other")
	dir := t.TempDir()
	addr := serve(t, newSource(t, other.Write(t, dir, "server", 2)))
	_, _, err := get(addr, newSource(t, ca.Write(t, dir, "gate", 3)))
	assert.ErrorContains(t, err, "unknown authority")
}

func TestChangedFilesAreReadAtTheNextHandshake(t *testing.T) {
	ca := tlstest.New(t, "ca")
	dir := t.TempDir()
	server := newSource(t, ca.Write(t, dir, "server", 2))
	addr := serve(t, server)
	client := newSource(t, ca.Write(t, dir, "client", 3))
	_, before, err := get(addr, client)
	assert.NilError(t, err)
	assert.Equal(t, before, int64(2))

	files := ca.Write(t, dir, "server", 42)
	later := time.Now().Add(time.Minute)
	assert.NilError(t, os.Chtimes(files.Cert, later, later))
	server.Recheck()
	_, after, err := get(addr, client)
	assert.NilError(t, err)
	assert.Equal(t, after, int64(42))

	assert.NilError(t, os.WriteFile(files.Cert, []byte("broken"), 0o600))
	server.Recheck()
	_, kept, err := get(addr, client)
	assert.NilError(t, err)
	assert.Equal(t, kept, int64(42), "the previous certificate must stay in use when the new file is broken")
}

func TestPeersAcceptOnlyMutualTLS(t *testing.T) {
	ca := tlstest.New(t, "ca")
	dir := t.TempDir()
	ln, err := newSource(t, ca.Write(t, dir, "scheduler", 2)).Listen("127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: peer.Serve(func(context.Context, wire.Kind, cbor.RawMessage) (any, error) {
		return wire.StatusReply{Host: "h"}, nil
	}), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })

	transport := &http.Transport{}
	newSource(t, ca.Write(t, dir, "gate", 3)).Secure(transport)
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
	s, err := tlsconfig.New(tlsconfig.Files{}, logr.Discard())
	assert.NilError(t, err)
	assert.Assert(t, s == nil && s.Server() == nil && s.Client("x") == nil)
}

func TestMissingFileIsNamedAtStart(t *testing.T) {
	_, err := tlsconfig.New(tlsconfig.Files{Cert: "/none.crt", Key: "/none.key"}, logr.Discard())
	assert.ErrorContains(t, err, "/none.crt")
}

func serial(conn net.Conn) int64 {
	return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}
