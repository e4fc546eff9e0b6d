package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"
)

type nested struct {
	Cert string `yaml:"cert"`
	Key  string `yaml:"key" validate:"required_with=Cert"`
}

type daemon struct {
	Host  `yaml:",inline"`
	TTL   time.Duration `yaml:"ttl" validate:"min=100ms"`
	Count int           `yaml:"count" validate:"min=1"`
	TLS   nested        `yaml:"tls"`
}

const valid = `host: h1
region: kr-central
zone: kr-a
listen: 127.0.0.1:7400
platform: http://127.0.0.1:7100
log_format: json
ttl: 6s
count: 3
`

func load(t *testing.T, file string, args ...string) (daemon, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(file), 0o600))
	cmd := &cobra.Command{}
	AddFlags(cmd)
	assert.NilError(t, cmd.ParseFlags(append([]string{"--settings", path}, args...)))
	var d daemon
	err := Load(cmd, &d)
	return d, err
}

func TestLaterSourcesOverrideEarlierOnes(t *testing.T) {
	t.Setenv("AGATEWINCH_COUNT", "4")
	t.Setenv("AGATEWINCH_ZONE", "kr-b")
	t.Setenv("AGATEWINCH_TLS__CERT", "a.crt")
	t.Setenv("AGATEWINCH_KEY", "an API key for agatewinchctl, not a setting")
	d, err := load(t, valid, "--set", "count=5", "--set", "tls.key=a.key")
	assert.NilError(t, err)
	assert.Equal(t, d.Count, 5)
	assert.Equal(t, d.Zone, "kr-b")
	assert.Equal(t, d.TTL, 6*time.Second)
	assert.Equal(t, d.TLS, nested{Cert: "a.crt", Key: "a.key"})
}

func TestAllFaultsAreListedTogether(t *testing.T) {
	t.Setenv("AGATEWINCH_NOSUCH", "1")
	file := strings.Replace(valid, "count: 3", "cuont: 3", 1)
	file = strings.Replace(file, "ttl: 6s", "ttl: 6 parsecs", 1)
	file = strings.Replace(file, "127.0.0.1:7400", "localhost:7400", 1)
	_, err := load(t, file, "--set", "platform=ftp", "--set", "nonsense", "--set", "tls.cert=x")
	got := FormatErrors(err)
	for _, want := range []string{
		"s.yaml: line 8: field cuont not found",
		"s.yaml: line 7: cannot unmarshal",
		"AGATEWINCH_NOSUCH: line 1: field nosuch not found",
		"--set nonsense: want name=value",
		"setting listen: localhost:7400 is not an IP and port",
		"setting platform: ftp is not an http or https URL",
		"setting ttl: is below 100ms",
		"setting count: is below 1",
		"setting tls.key: is missing; it is needed with Cert",
	} {
		assert.Assert(t, strings.Contains(got, want), "no %q in:\n%s", want, got)
	}
	assert.Equal(t, len(strings.Split(got, "\n")), 9, got)
}

func TestMissingFileIsNamed(t *testing.T) {
	cmd := &cobra.Command{}
	AddFlags(cmd)
	assert.NilError(t, cmd.ParseFlags([]string{"--settings", "/no/such/file"}))
	assert.ErrorContains(t, Load(cmd, &daemon{}), "/no/such/file")
}

func FuzzDecodeSettings(f *testing.F) {
	f.Add([]byte(valid), "count=5")
	f.Add([]byte("host: [\n"), "tls.cert=\"")
	f.Fuzz(func(_ *testing.T, data []byte, assignment string) {
		var d daemon
		_ = decode("f.yaml", data, &d)
		_ = decodeAssignment("--set", assignment, &d)
		_ = check(&d)
	})
}
