package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const hosted = `
name: d1
zone: z
region: r
listen: {public: "127.0.0.1:7180", health: "127.0.0.1:7181"}
platform:
  driver: store
  store: {address: "127.0.0.1:9000", partitions: 8, record_bytes: 262144, append_bytes: 2097152}
`

// check runs "serve --check" on a settings file.
func check(t *testing.T, content string) (code int, stdout, stderr string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, failed bytes.Buffer
	code = Main([]string{"serve", "-c", file, "--check"}, nil, &out, &failed)
	return code, out.String(), failed.String()
}

func TestSoundSettingsPass(t *testing.T) {
	is := is.New(t)
	code, out, failed := check(t, hosted)
	is.Equal(failed, "")
	is.Equal(code, ExitDone)
	is.Equal(out, "settings are valid\n")
}

// All faults come at once: an unknown key once hid every wrong value.
func TestUnknownKeysAndWrongValuesAreToldTogether(t *testing.T) {
	is := is.New(t)
	broken := strings.NewReplacer("zone: z", `zone: ""`, "partitions: 8", "partitions: 0").Replace(hosted) + "no_such_key: 1\ntiming: {stop_grace: soon}\n"
	code, _, failed := check(t, broken)
	is.Equal(code, ExitUsage)
	for _, named := range []string{"no_such_key", "zone: is required", "platform.store.partitions", `"soon" is not a duration`} {
		is.True(strings.Contains(failed, named))
	}
}

func TestAMissingFileIsNamed(t *testing.T) {
	is := is.New(t)
	var out, failed bytes.Buffer
	is.Equal(Main([]string{"serve", "-c", "/no/such/file"}, nil, &out, &failed), ExitUsage)
	is.True(strings.Contains(failed.String(), "/no/such/file"))
}
