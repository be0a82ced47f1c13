package settings_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"woodworks/internal/settings"
)

const whole = `
name: bern-a-1
zone: bern-a
region: ch-mittelland
listen: {public: "127.0.0.1:7180", internal: "127.0.0.1:7181", peer: "127.0.0.1:7182"}
platform: {log_url: "http://127.0.0.1:9000", machine_list_url: "http://127.0.0.1:9001"}
seeds: ["127.0.0.1:7282"]
`

func TestWholeFilePasses(t *testing.T) {
	is := is.New(t)
	loaded, err := settings.Parse([]byte(whole))
	is.NoErr(err)
	is.NoErr(loaded.Check())
	is.Equal(loaded.Limits, settings.Defaults().Limits) // defaults stay where the file is silent
}

func TestEveryFaultIsNamed(t *testing.T) {
	is := is.New(t)
	loaded, err := settings.Parse([]byte(strings.NewReplacer("bern-a-1", "", `"127.0.0.1:7180"`, `"localhost:1"`).Replace(whole) + "limits: {max_queued: 0}\ntiming: {stop_grace: -1s}\nlog: {level: loud}\n"))
	is.NoErr(err)
	faults, isFaults := loaded.Check().(settings.Faults)
	is.True(isFaults)
	keys := []string{}
	for _, fault := range faults {
		keys = append(keys, fault.Key)
	}
	is.Equal(keys, []string{"name", "listen.public", "limits.max_queued", "timing.stop_grace", "log.level"})
}

func TestUnknownKeysAndWrongTypesAreRefused(t *testing.T) {
	is := is.New(t)
	_, err := settings.Parse([]byte(whole + "limit: 3\nlimits: {max_queued: many}\n"))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "field limit not found"))
	is.True(strings.Contains(err.Error(), "many"))
	_, err = settings.Parse([]byte("timing: {stop_grace: soon}"))
	is.True(strings.Contains(err.Error(), `"soon" is not a duration`))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(whole))
	f.Fuzz(func(t *testing.T, content []byte) {
		if loaded, err := settings.Parse(content); err == nil {
			_ = loaded.Check()
		}
	})
}
