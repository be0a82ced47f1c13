package standalone

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"woodworks/internal/api/operator"
	"woodworks/internal/api/policy"
	"woodworks/internal/replicas/catalog"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/route"
)

// setsKept is how many compiled configurations are kept: the one in force, and
// the one that is about to be.
const setsKept = 2

// Decoder reads the operators' and the machines' records. It implements
// catalog.Decoder, and keeps the policies that it has compiled.
type Decoder struct {
	mu   sync.Mutex
	sets []compiled
}

// compiled is the policy set of one configuration.
type compiled struct {
	version int64
	set     *policy.Set
}

var _ catalog.Decoder = (*Decoder)(nil)

// SetOf returns the policies of a configuration.
func (d *Decoder) SetOf(configuration *route.Configuration) (*policy.Set, bool) {
	if configuration == nil {
		return nil, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.sets {
		if c.version == configuration.Version {
			return c.set, true
		}
	}
	return nil, false
}

// DecodeOperatorRecord implements catalog.Decoder.
func (d *Decoder) DecodeOperatorRecord(key string, value []byte) (catalog.OperatorRecord, error) {
	if key != operator.PoliciesKey {
		var named operator.Version
		if err := cbor.Unmarshal(value, &named); err != nil {
			return catalog.OperatorRecord{}, errors.Wrapf(err, "record %q", key)
		}
		return catalog.OperatorRecord{Model: named.Model, ModelVersion: named.Version}, nil
	}
	var policies operator.Policies
	if err := cbor.Unmarshal(value, &policies); err != nil {
		return catalog.OperatorRecord{}, errors.Wrap(err, "policies")
	}
	set, err := policy.Compile(policies.Sources())
	if err != nil {
		return catalog.OperatorRecord{}, errors.Wrapf(err, "policies of version %d", policies.Version)
	}
	configuration, err := configurationOf(policies.Version, set)
	if err != nil {
		return catalog.OperatorRecord{}, err
	}
	d.keep(compiled{version: policies.Version, set: set})
	return catalog.OperatorRecord{Configuration: configuration}, nil
}

// keep keeps the newest sets: one that is older than those in force never comes
// into force again.
func (d *Decoder) keep(fresh compiled) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sets = append(d.sets, fresh)
	slices.SortStableFunc(d.sets, func(a, b compiled) int { return cmp.Compare(b.version, a.version) })
	if len(d.sets) > setsKept {
		d.sets = d.sets[:setsKept]
	}
}

// DecodeReplicaEntry implements catalog.Decoder.
func (d *Decoder) DecodeReplicaEntry(id string, value []byte) (replica.Entry, error) {
	var machine operator.Machine
	if err := cbor.Unmarshal(value, &machine); err != nil {
		return replica.Entry{}, errors.Wrapf(err, "machine %q", id)
	}
	address, err := netip.ParseAddrPort(machine.Address)
	if err != nil {
		return replica.Entry{}, errors.Wrapf(err, "address of machine %q", id)
	}
	return replica.Entry{
		ID: id, Service: machine.Service, Address: address, Zone: machine.Zone, Slots: machine.Slots,
		Draining: machine.Leaving, Versions: machine.Models,
	}, nil
}
