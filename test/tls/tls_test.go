// Package tls tests the real binaries with TLS on the listeners of the gate and the
// scheduler.
package tls

import (
	"crypto/tls"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"agatewinch/internal/tlsconfig"
	"agatewinch/internal/tlsconfig/tlstest"
)

const (
	root          = "../.."
	platformAddr  = "127.0.0.1:20500"
	workerBase    = "127.0.0.1:20510"
	schedulerAddr = "127.0.0.1:20531"
	gateAddr      = "127.0.0.1:20541"
	// operatorKeyHash is the SHA-256 of example-operator-key.
	operatorKeyHash = "4489ff2f9ea96e76d15846c1b6fb8fe5e2831f2433aebb54ccf3be9db7d1418d"
	readyTimeout    = 30 * time.Second
)

// system builds and runs the processes of one zone for a test. ca is the file with the CA
// certificate that agatewinchctl trusts.
type system struct {
	t   *testing.T
	dir string
	ca  string
}

// address is the address of a scheduler or an entry host in settings.
type address struct {
	ID   string `yaml:"id,omitempty"`
	Zone string `yaml:"zone"`
	Addr string `yaml:"addr"`
}

// settingsFile contains the settings of any of the processes.
type settingsFile struct {
	Host         string          `yaml:"host,omitempty"`
	Region       string          `yaml:"region,omitempty"`
	Zone         string          `yaml:"zone,omitempty"`
	Listen       string          `yaml:"listen"`
	Platform     string          `yaml:"platform,omitempty"`
	PeerTLS      tlsconfig.Files `yaml:"peer_tls,omitempty"`
	TLS          tlsconfig.Files `yaml:"tls,omitempty"`
	Schedulers   []address       `yaml:"schedulers,omitempty"`
	OperatorKeys []string        `yaml:"operator_keys,omitempty"`
	WorkerBase   string          `yaml:"worker_base,omitempty"`
	ConfigDir    string          `yaml:"config_dir,omitempty"`
	EntryHosts   []address       `yaml:"entry_hosts,omitempty"`
}

func build(t *testing.T) *system {
	t.Helper()
	s := &system{t: t, dir: t.TempDir()}
	cmd := exec.Command("go", "build", "-o", s.dir+"/", "./cmd/agatewinch-gate", "./cmd/agatewinch-scheduler", "./cmd/agatewinch-standin", "./cmd/agatewinchctl")
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	assert.NilError(t, err, string(out))
	return s
}

// start writes the settings of a process and runs it until the end of the test. If the test
// failed, the log of the process is printed.
func (s *system) start(name string, settings settingsFile) {
	s.t.Helper()
	data, err := yaml.Marshal(settings)
	assert.NilError(s.t, err)
	path := filepath.Join(s.dir, name+".yaml")
	assert.NilError(s.t, os.WriteFile(path, data, 0o600))
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	assert.NilError(s.t, err)
	cmd := exec.Command(filepath.Join(s.dir, "agatewinch-"+name), "--settings", path)
	cmd.Dir, cmd.Stdout, cmd.Stderr = root, log, log
	assert.NilError(s.t, cmd.Start())
	s.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		_ = cmd.Wait()
		_ = log.Close()
		if s.t.Failed() {
			text, _ := os.ReadFile(log.Name())
			s.t.Logf("%s:\n%s", name, text)
		}
	})
}

// ctl runs agatewinchctl with an API key and returns its output.
func (s *system) ctl(key string, args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(s.dir, "agatewinchctl"), append([]string{"--gate", "https://" + gateAddr, "--ca", s.ca}, args...)...)
	cmd.Dir, cmd.Env = root, append(os.Environ(), "AGATEWINCH_KEY="+key)
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// eventually runs agatewinchctl until it succeeds and its output contains want.
func (s *system) eventually(want, key string, args ...string) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		out, err := s.ctl(key, args...)
		if err == nil && strings.Contains(out, want) {
			return poll.Success()
		}
		return poll.Continue("%v: %v: %s", args, err, out)
	}, poll.WithTimeout(readyTimeout), poll.WithDelay(100*time.Millisecond))
}

// gateSerial returns the serial number of the certificate that the gate presents.
func gateSerial(t *testing.T) string {
	t.Helper()
	conn, err := tls.Dial("tcp", gateAddr, &tls.Config{InsecureSkipVerify: true}) // only the serial number is read
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.String()
}

func TestJobRunsWithTLSAndCertificatesAreReloaded(t *testing.T) {
	s := build(t)
	ca := tlstest.New(t, "ca")
	gateFiles := ca.Write(t, s.dir, "gate-front", 10)
	s.ca = gateFiles.CA
	gateFiles.CA = "" // without a CA, callers need no client certificate
	host := settingsFile{Host: "entry-1", Region: "kr-central", Zone: "kr-a", Platform: "http://" + platformAddr}

	s.start("standin", settingsFile{Listen: platformAddr, WorkerBase: workerBase, ConfigDir: "examples/config", EntryHosts: []address{{ID: "entry-1", Zone: "kr-a", Addr: schedulerAddr}}})
	scheduler := host
	scheduler.Listen, scheduler.PeerTLS = schedulerAddr, ca.Write(t, s.dir, "scheduler", 11)
	s.start("scheduler", scheduler)
	gate := host
	gate.Listen, gate.TLS, gate.PeerTLS = gateAddr, gateFiles, ca.Write(t, s.dir, "gate-peer", 12)
	gate.Schedulers, gate.OperatorKeys = []address{{Zone: "kr-a", Addr: schedulerAddr}}, []string{operatorKeyHash}
	s.start("gate", gate)

	s.eventually("applied", "example-operator-key", "apply", "-f", "examples/config")
	s.eventually(`"free_accelerators": 48`, "example-operator-key", "status", "-o", "json")
	s.eventually("succeeded", "example-haneul-key", "submit", "tls-1", "--class", "reconcile", "--cells", "2", "--cell-size", "8", "--idempotent")

	assert.Equal(t, gateSerial(t), "10")
	ca.Write(t, s.dir, "gate-front", 20)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if gateSerial(t) == "20" {
			return poll.Success()
		}
		return poll.Continue("the gate still presents its old certificate")
	}, poll.WithTimeout(readyTimeout), poll.WithDelay(100*time.Millisecond))
	// The same CA issued the new certificate, so callers accept it.
	s.eventually("kr-a", "example-operator-key", "status")

	plain, err := exec.Command(filepath.Join(s.dir, "agatewinchctl"), "--gate", "http://"+gateAddr, "--key", "k", "status").CombinedOutput()
	assert.Assert(t, err != nil, fmt.Sprintf("the gate answered a caller without TLS: %s", plain))
}
