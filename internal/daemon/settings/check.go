package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
)

// Fault is one wrong setting.
type Fault struct {
	Key    string
	Reason string
}

// Error implements error.
func (f Fault) Error() string { return fmt.Sprintf("%s: %s", f.Key, f.Reason) }

// Faults is every fault found in one settings file. It is the error that Load
// and Check return when a value is wrong.
type Faults []Fault

// Error implements error with all faults on one line.
func (f Faults) Error() string {
	texts := make([]string, len(f))
	for i, fault := range f {
		texts[i] = fault.Error()
	}
	return "settings: " + strings.Join(texts, "; ")
}

// require adds a fault unless the condition holds.
func (f *Faults) require(holds bool, key, reason string) {
	if !holds {
		*f = append(*f, Fault{Key: key, Reason: reason})
	}
}

// address adds a fault unless the text is an IP address with a port.
func (f *Faults) address(text, key string) {
	parsed, err := netip.ParseAddrPort(text)
	f.require(err == nil, key, fmt.Sprintf("%q is not an IP address with a port", text))
	f.require(err != nil || parsed.Port() != 0, key, "port must not be 0")
}

// addressOrNone is address for one that may be left out.
func (f *Faults) addressOrNone(text, key string) {
	if text != "" {
		f.address(text, key)
	}
}

// positive adds a fault unless the duration is above 0.
func (f *Faults) positive(d Duration, key string) {
	f.require(d > 0, key, "must be above 0s")
}

// Check returns nil or a Faults value with every wrong setting.
func (s Settings) Check() error {
	var f Faults
	f.require(s.Name != "", "name", "is required")
	f.require(!strings.ContainsAny(s.Name, " /#"), "name", "must not contain a space, / or #")
	f.require(s.Zone != "", "zone", "is required")
	f.require(s.Region != "", "region", "is required")
	s.Listen.check(s.Platform.Driver, &f)
	s.Platform.check(&f)
	for i, operator := range s.Operators {
		operator.check(fmt.Sprintf("operators[%d]", i), &f)
	}
	s.Limits.check(&f)
	s.Timing.check(&f)
	s.Log.check(&f)
	if len(f) > 0 {
		return f
	}
	return nil
}

// check adds the faults of the addresses, of which drivers need different ones.
func (l Listen) check(driver string, f *Faults) {
	f.address(l.Public, "listen.public")
	switch driver {
	case DriverStore:
		f.address(l.Health, "listen.health")
	case DriverLog:
		f.address(l.Internal, "listen.internal")
		f.addressOrNone(l.Health, "listen.health")
	default:
		f.require(false, "platform.driver", fmt.Sprintf("%q is not %s or %s", driver, DriverStore, DriverLog))
	}
	f.addressOrNone(l.Metrics, "listen.metrics")
	f.addressOrNone(l.Peer, "listen.peer")
}

// minRecordBytes is the smallest record size that the daemon can work with.
const minRecordBytes = 4096

func (p Platform) check(f *Faults) {
	store := p.Store
	f.address(store.Address, "platform.store.address")
	f.require(store.Partitions > 0, "platform.store.partitions", "must be above 0")
	f.require(store.RecordBytes >= minRecordBytes, "platform.store.record_bytes",
		fmt.Sprintf("must be at least %d", minRecordBytes))
	f.require(store.AppendBytes >= store.RecordBytes, "platform.store.append_bytes", "must not be less than record_bytes")
	f.require(store.ReadsPerSecond >= 0, "platform.store.reads_per_second", "must not be below 0")
	f.require(store.WritesPerSecond >= 0, "platform.store.writes_per_second", "must not be below 0")
	f.addressOrNone(p.Duties.Address, "platform.duties.address")
	f.require(store.ReadMBPerSecond >= 0, "platform.store.read_mb_per_second", "must not be below 0")
}

var digestPattern = regexp.MustCompile("^[0-9a-f]{64}$")

func (o OperatorKey) check(key string, f *Faults) {
	f.require(o.Name != "", key+".name", "is required")
	f.require(digestPattern.MatchString(o.KeySHA256), key+".key_sha256", "must be 64 lower-case hexadecimal digits")
}

func (t Timing) check(f *Faults) {
	f.positive(t.ConfirmBound, "timing.confirm_bound")
	f.positive(t.StopGrace, "timing.stop_grace")
	f.positive(t.RecordRetention, "timing.record_retention")
	f.positive(t.LeaseQuiet, "timing.lease_quiet")
	f.positive(t.ContactBound, "timing.contact_bound")
	f.positive(t.DrainBound, "timing.drain_bound")
	f.positive(t.Unread, "timing.unread")
	f.require(t.UsageWindow >= 0, "timing.usage_window", "must not be below 0s")
	f.require(t.UsageWindow == 0 || t.UsageDue > 0, "timing.usage_due", "must be above 0s where usage_window is")
	f.require(t.KeyBound >= 0, "timing.key_bound", "must not be below 0s")
}

func (l Log) check(f *Faults) {
	switch l.Level {
	case "debug", "info", "warn", "error":
	default:
		f.require(false, "log.level", fmt.Sprintf("%q is not debug, info, warn or error", l.Level))
	}
}
