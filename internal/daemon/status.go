package daemon

import (
	"time"
)

// Status is the operators' view of one daemon.
type Status struct {
	ID            string          `json:"id"`
	Zone          string          `json:"zone"`
	Region        string          `json:"region"`
	ConfigOffset  uint64          `json:"config_offset"`
	ConfirmedAgo  string          `json:"confirmed_ago"`
	Epoch         uint64          `json:"epoch"`
	EpochMembers  int             `json:"epoch_members"`
	Members       []MemberStatus  `json:"members"`
	Replicas      []ReplicaStatus `json:"replicas"`
	Trainers      []TrainerStatus `json:"trainers"`
	Chunks        int             `json:"chunks"`
	ActiveChunks  int             `json:"active_chunks"`
	Records       int             `json:"records"`
	InFlight      int64           `json:"in_flight"`
	HookFaults    uint64          `json:"hook_faults"`
	SamplesStale  uint64          `json:"samples_discarded_stale"`
	SamplesDone   uint64          `json:"samples_finished"`
	BytesReceived uint64          `json:"peer_bytes_received"`
	BytesSent     uint64          `json:"peer_bytes_sent"`
}

// MemberStatus is one daemon as seen from this one.
type MemberStatus struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Health  string `json:"health"`
	Leaving bool   `json:"leaving"`
	Gone    bool   `json:"gone"`
}

// ReplicaStatus is one back end as seen from this daemon.
type ReplicaStatus struct {
	Machine string `json:"machine"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Usable  bool   `json:"usable"`
	Leaving bool   `json:"leaving"`
	Model   string `json:"model,omitempty"`
	Version uint64 `json:"version,omitempty"`
	Loading bool   `json:"loading,omitempty"`
	Load    int    `json:"load"`
	Slots   int    `json:"slots"`
}

// TrainerStatus is one trainer's newest announced version.
type TrainerStatus struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// Status builds the operators' view.
func (daemon *Daemon) Status() Status {
	self := daemon.gossip.Self()
	state := daemon.syncer.State()
	set := daemon.syncer.Policy()
	statistics := daemon.home.Statistics()
	status := Status{
		ID:            string(self.ID),
		Zone:          self.Zone,
		Region:        self.Region,
		ConfigOffset:  state.Offset,
		ConfirmedAgo:  "never",
		Epoch:         state.Placement.Number,
		EpochMembers:  len(state.Placement.Members),
		Records:       daemon.records.Count(),
		InFlight:      daemon.gateway.InFlight(),
		SamplesStale:  statistics.Discarded,
		SamplesDone:   statistics.Finished,
		BytesReceived: daemon.meter.Received.Load(),
		BytesSent:     daemon.meter.Sent.Load(),
		HookFaults:    total(set.HookFaults()),
	}
	if age, confirmed := daemon.syncer.ConfirmationAge(); confirmed {
		status.ConfirmedAgo = age.Round(time.Millisecond).String()
	}
	status.Chunks, status.ActiveChunks = daemon.home.Count()
	for _, member := range daemon.gossip.Members() {
		status.Members = append(status.Members, MemberStatus{
			ID: string(member.ID), Zone: member.Zone, Address: member.Address,
			Health: member.Health.String(), Leaving: member.Leaving, Gone: member.Gone,
		})
	}
	for name := range set.Services {
		status.Replicas = append(status.Replicas, daemon.replicaStatus(name)...)
	}
	for name := range set.Trainers {
		version, _ := daemon.board.TrainerVersionOf(name)
		status.Trainers = append(status.Trainers, TrainerStatus{Name: name, Version: version})
	}
	return status
}

func (daemon *Daemon) replicaStatus(service string) []ReplicaStatus {
	var replicas []ReplicaStatus
	for _, replica := range daemon.fleet.Table.Replicas(time.Now(), service) {
		replicas = append(replicas, ReplicaStatus{
			Machine: replica.Machine.Name, Service: service, Zone: replica.Machine.Zone,
			Usable: replica.Usable, Leaving: replica.Leaving, Model: replica.State.Model,
			Version: replica.State.Version, Loading: replica.State.Loading,
			Load: replica.Load, Slots: replica.State.Slots,
		})
	}
	return replicas
}

func total(counts map[string]uint64) uint64 {
	sum := uint64(0)
	for _, count := range counts {
		sum += count
	}
	return sum
}

// registerMetrics adds the values that are read when the metrics are.
func (daemon *Daemon) registerMetrics() {
	daemon.metrics.Gauge("config_offset", "Log offset of the configuration in force.",
		func() float64 { return float64(daemon.syncer.Offset()) })
	daemon.metrics.Gauge("config_confirmation_age_seconds", "Time since the configuration was known to be the newest; -1 for never.",
		func() float64 {
			age, confirmed := daemon.syncer.ConfirmationAge()
			if !confirmed {
				return -1
			}
			return age.Seconds()
		})
	daemon.metrics.Gauge("members_serving", "Daemons that take new work, as seen here.",
		func() float64 { return float64(len(daemon.gossip.Serving())) })
	daemon.metrics.Gauge("records", "Write-once records kept.",
		func() float64 { return float64(daemon.records.Count()) })
	daemon.metrics.Gauge("chunks_active", "Chunks of batches generated here.",
		func() float64 { _, active := daemon.home.Count(); return float64(active) })
	daemon.metrics.Gauge("requests_in_flight", "Requests being answered.",
		func() float64 { return float64(daemon.gateway.InFlight()) })
	daemon.metrics.Counter("samples_finished_total", "Samples generated whole.",
		func() float64 { return float64(daemon.home.Statistics().Finished) })
	daemon.metrics.Counter("samples_discarded_total", "Samples that became too stale before delivery.",
		func() float64 { return float64(daemon.home.Statistics().Discarded) })
	daemon.metrics.Counter("samples_resumed_total", "Tries that went on from an earlier try's tokens.",
		func() float64 { return float64(daemon.home.Statistics().Resumed) })
	daemon.metrics.Counter("samples_moved_total", "Samples moved to a less loaded engine.",
		func() float64 { return float64(daemon.home.Statistics().Moved) })
	daemon.metrics.Counter("sample_failures_total", "Tries that ended without a whole sample.",
		func() float64 { return float64(daemon.home.Statistics().Failures) })
	daemon.metrics.Counter("policy_hook_faults_total", "Policy hooks that failed since the policy came into force.",
		func() float64 { return float64(total(daemon.syncer.Policy().HookFaults())) })
	daemon.metrics.Counter("peer_received_bytes_total", "Bytes received from other daemons.",
		func() float64 { return float64(daemon.meter.Received.Load()) })
	daemon.metrics.Counter("peer_sent_bytes_total", "Bytes sent to other daemons.",
		func() float64 { return float64(daemon.meter.Sent.Load()) })
}
