// Package settings reads and checks the settings of one daemon.
//
// Precedence is flags over file over defaults. A file is checked as a whole
// before anything starts: Load returns every fault it finds, each naming its
// key, and refuses keys it does not know.
//
// # Usage
//
//	loaded, err := settings.Load("/etc/woodworks/local.yaml")
//	err = loaded.Check() // a Faults value
package settings

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	"woodworks/internal/journal"
)

// Settings is the whole configuration of one daemon process. What operators
// decide is not part of it: it comes from the log and is the same everywhere.
type Settings struct {
	// Name is the daemon's stable name, used in logs and as a prefix of its node identity.
	Name string `yaml:"name"`
	// Zone and Region place the daemon; they never change while it runs.
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`

	Listen   Listen   `yaml:"listen"`
	Platform Platform `yaml:"platform"`
	// Operators may publish policies on the internal listener, also before
	// the first policy is in force.
	Operators []OperatorKey `yaml:"operators"`

	Limits Limits `yaml:"limits"`
	// Handoff is without effect.
	Handoff Handoff `yaml:"handoff"`
	Timing  Timing  `yaml:"timing"`
	Log     Log     `yaml:"log"`
}

// Handoff is without effect. It is accepted, as settings
// files in use have it.
type Handoff struct {
	Enabled bool `yaml:"enabled"`
}

// OperatorKey names an operator and the digest of the operator's key.
type OperatorKey struct {
	Name string `yaml:"name"`
	// KeySHA256 is the lower-case hexadecimal SHA-256 of the bearer key.
	KeySHA256 string `yaml:"key_sha256"`
}

// Listen holds the daemon's own addresses, each IP:port.
type Listen struct {
	Public   string `yaml:"public"`
	Internal string `yaml:"internal"`
	// Health answers whether clients should come here, Metrics tells the
	// daemon's figures. Metrics may be left out, and with the driver "log" both,
	// as the internal listener has them too.
	Health  string `yaml:"health"`
	Metrics string `yaml:"metrics"`
	// Peer is where other daemons come that have lost their own path to the
	// platform's store. Without it this daemon neither helps nor is helped.
	Peer string `yaml:"peer"`
}

// Platform names the driver of the platform, and its store.
type Platform struct {
	// Driver is DriverStore or DriverLog.
	Driver string `yaml:"driver"`
	Store  Store  `yaml:"store"`
	Duties Duties `yaml:"duties"`
}

// Duties says which calls the platform expects of one daemon at a time.
type Duties struct {
	// Address is IP:port; "" if the platform expects none.
	Address string `yaml:"address"`
	// Names are the platform's words for them.
	Names []string `yaml:"names"`
}

// Drivers of platforms.
const (
	// DriverStore is the users' platform.
	DriverStore = "store"
	// DriverLog is the product's own log service, engines and interface.
	DriverLog = "log"
)

// Store says where the platform's log is and what it takes.
type Store struct {
	// Address is IP:port.
	Address string `yaml:"address"`
	// Partitions is how many partitions each topic has.
	Partitions int `yaml:"partitions"`
	// RecordBytes and AppendBytes are the largest record and append, in bytes.
	RecordBytes int `yaml:"record_bytes"`
	AppendBytes int `yaml:"append_bytes"`
	// ReadsPerSecond is how many reads the store grants all daemons together; 0 if it
	// names no bound.
	ReadsPerSecond float64 `yaml:"reads_per_second"`
	// WritesPerSecond is how many writes the store grants all daemons together; 0 if it
	// names no bound.
	WritesPerSecond float64 `yaml:"writes_per_second"`
	// ReadMBPerSecond is how many megabytes it reads out in a second; 0 if it names no
	// bound.
	ReadMBPerSecond float64 `yaml:"read_mb_per_second"`
}

// megabyte is the unit of ReadMBPerSecond, in bytes.
const megabyte = 1e6

// Shape is what the log takes, and grants all daemons together.
func (s Store) Shape() journal.Limits {
	granted := journal.RateLimits{
		ReadsPerSecond: s.ReadsPerSecond, WritesPerSecond: s.WritesPerSecond, ReadBytesPerSecond: s.ReadMBPerSecond * megabyte,
	}
	return journal.Limits{Partitions: s.Partitions, RecordBytes: s.RecordBytes, AppendBytes: s.AppendBytes, Rates: granted}
}

// Timing holds the daemon's bounds in time.
type Timing struct {
	// ConfirmBound is how old the last confirmation of the policy may be
	// before the daemon stops admitting new work.
	ConfirmBound Duration `yaml:"confirm_bound"`
	// StopGrace is the longest a planned stop waits for requests in flight.
	StopGrace Duration `yaml:"stop_grace"`
	// RecordRetention is how long a request key is remembered; a key older
	// than this is refused.
	RecordRetention Duration `yaml:"record_retention"`
	// LeaseQuiet is how long after one holder's last order to an engine another
	// must wait before its first.
	LeaseQuiet Duration `yaml:"lease_quiet"`
	// ContactBound is how long after an outage of the log the daemon may still
	// act on what it knew before.
	ContactBound Duration `yaml:"contact_bound"`
	// KeyBound is how long after the configuration was last confirmed a key that it has
	// is still taken; 0 takes it for as long as the daemon is out of contact.
	KeyBound Duration `yaml:"key_bound"`
	// UsageWindow is the length of the windows of the time of day for which usage is
	// reported, UsageDue how long after the end of one its report must be there.
	UsageWindow Duration `yaml:"usage_window"`
	UsageDue    Duration `yaml:"usage_due"`
	// DrainBound is how long after a replica has left the list, or said that it
	// will, new work may still reach it.
	DrainBound Duration `yaml:"drain_bound"`
	// Unread is how long what is written to a client may stay unread before its connection
	// is ended. A replica's whole answer has its client's own time, if that is longer.
	Unread Duration `yaml:"unread"`
}

// Log holds logging settings.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `yaml:"level"`
}

// Duration is a time.Duration written as text ("1.5s") in YAML.
type Duration time.Duration

// UnmarshalYAML implements yaml.Unmarshaler.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	parsed, err := time.ParseDuration(node.Value)
	if err != nil {
		return &yaml.TypeError{Errors: []string{fmt.Sprintf("line %d: %q is not a duration such as 5s", node.Line, node.Value)}}
	}
	*d = Duration(parsed)
	return nil
}

// MarshalYAML implements yaml.Marshaler.
func (d Duration) MarshalYAML() (any, error) {
	return time.Duration(d).String(), nil
}

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Defaults returns the settings used where the file and the flags say nothing.
func Defaults() Settings {
	return Settings{
		Limits: Limits{
			MaxBodyBytes:   8 << 20,
			MemoryHeadroom: defaultHeadroom,
		},
		Timing: Timing{
			ConfirmBound:    Duration(4 * time.Second),
			StopGrace:       Duration(2 * time.Minute),
			RecordRetention: Duration(10 * time.Minute),
			LeaseQuiet:      Duration(3 * time.Second),
			ContactBound:    Duration(3 * time.Second),
			DrainBound:      Duration(2 * time.Second),
			Unread:          Duration(5 * time.Second),
		},
		Log: Log{Level: "info"},
	}
}

// ErrUnreadable: the file cannot be read at all.
var ErrUnreadable = errors.New("settings: cannot read file")

// Load reads the file at path over the defaults. It does not check values, so
// that flags can still replace them; call Check afterwards. With an error on
// single keys it returns what else the file says, so that all faults can be
// told at once.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(ErrUnreadable, err.Error())
	}
	return Parse(content)
}

// Parse decodes YAML content over the defaults. Unknown keys and wrong types
// are refused, all of them in one error; the other keys are decoded all the same.
func Parse(content []byte) (Settings, error) {
	loaded := Defaults()
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	err := decoder.Decode(&loaded)
	if err == nil || errors.Is(err, io.EOF) {
		return loaded, nil
	}
	var typeError *yaml.TypeError
	if errors.As(err, &typeError) {
		return loaded, errors.Errorf("settings: %s", strings.Join(typeError.Errors, "; "))
	}
	return Settings{}, errors.Errorf("settings: %s", strings.ReplaceAll(err.Error(), "\n", " "))
}
