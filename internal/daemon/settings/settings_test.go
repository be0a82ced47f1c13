package settings_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"woodworks/internal/daemon/settings"
)

const whole = `
name: bern-a-1
zone: bern-a
region: ch-mittelland
listen: {public: "127.0.0.1:7180", internal: "127.0.0.1:7181"}
platform: {driver: log, store: {address: "127.0.0.1:9000", partitions: 8, record_bytes: 262144, append_bytes: 2097152}}
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
	loaded, err := settings.Parse([]byte(strings.NewReplacer("bern-a-1", "", `"127.0.0.1:7180"`, `"localhost:1"`).Replace(whole) + "limits: {max_body_bytes: 0}\ntiming: {stop_grace: -1s}\nlog: {level: loud}\n"))
	is.NoErr(err)
	faults, isFaults := loaded.Check().(settings.Faults)
	is.True(isFaults)
	keys := []string{}
	for _, fault := range faults {
		keys = append(keys, fault.Key)
	}
	is.Equal(keys, []string{"name", "listen.public", "limits.max_body_bytes", "timing.stop_grace", "log.level"})
}

// What may be held is less than the memory, and by default a part of it; without a bound of
// the memory there is none.
func TestWhatMayBeHeldFollowsTheMemory(t *testing.T) {
	is := is.New(t)
	for text, c := range map[string]struct {
		faults int
		held   int64
	}{
		"memory_mb: 100": {0, 35 << 20}, "memory_mb: 0": {0, 0}, "memory_mb: 100, held_mb: 100": {1, 100 << 20},
		"memory_mb: 100, held_mb: 99": {0, 99 << 20}, "held_mb: 7": {0, 7 << 20}, "held_mb: -1": {1, -1 << 20}, "held_per_client_mb: -1": {1, 0},
	} {
		loaded, err := settings.Parse([]byte(whole + "limits: {" + text + "}\n"))
		is.NoErr(err)
		faults, _ := loaded.Check().(settings.Faults)
		is.Equal(len(faults), c.faults)
		is.Equal(loaded.Limits.Held().Total, c.held)
	}
}

// A headroom that leaves the process to collect all the time is refused, and a small one
// that works is taken.
func TestTheMemoryHeadroomIsChecked(t *testing.T) {
	is := is.New(t)
	for text, keys := range map[string]int{"9": 1, "-1": 1, "10": 0} {
		loaded, err := settings.Parse([]byte(whole + "limits: {memory_headroom: " + text + "}\n"))
		is.NoErr(err)
		faults, _ := loaded.Check().(settings.Faults)
		is.Equal(len(faults), keys)
	}
}

func TestUnknownKeysAndWrongTypesAreRefused(t *testing.T) {
	is := is.New(t)
	_, err := settings.Parse([]byte(whole + "limit: 3\nlimits: {max_body_bytes: many}\n"))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "field limit not found"))
	is.True(strings.Contains(err.Error(), "many"))
	_, err = settings.Parse([]byte("timing: {stop_grace: soon}"))
	is.True(strings.Contains(err.Error(), `"soon" is not a duration`))
}

// Each driver needs addresses of its own, and no other driver is known.
func TestDriversNeedTheirAddresses(t *testing.T) {
	cases := map[string][]string{
		"driver: store": {"listen.health"},
		"driver: etcd":  {"platform.driver"},
	}
	for text, keys := range cases {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			loaded, err := settings.Parse([]byte(strings.Replace(whole, "driver: log", text, 1)))
			is.NoErr(err)
			faults, isFaults := loaded.Check().(settings.Faults)
			is.True(isFaults)
			is.Equal(len(faults), len(keys))
			is.Equal(faults[0].Key, keys[0])
		})
	}
}

func TestTheStoreIsCheckedWhole(t *testing.T) {
	is := is.New(t)
	broken := strings.NewReplacer(`"127.0.0.1:9000"`, "here", "partitions: 8", "partitions: 0", "262144", "1", "2097152", "0").Replace(whole)
	loaded, err := settings.Parse([]byte(broken))
	is.NoErr(err)
	faults, isFaults := loaded.Check().(settings.Faults)
	is.True(isFaults)
	var keys []string
	for _, fault := range faults {
		keys = append(keys, fault.Key)
	}
	is.Equal(keys, []string{"platform.store.address", "platform.store.partitions", "platform.store.record_bytes", "platform.store.append_bytes"})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(whole))
	f.Fuzz(func(t *testing.T, content []byte) {
		if loaded, err := settings.Parse(content); err == nil {
			_ = loaded.Check()
		}
	})
}
