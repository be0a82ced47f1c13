// Package placement derives from an agreed epoch which daemons keep which
// write-once records.
//
// Groups come from the epoch in the catalog and never from a daemon's own view
// of who is alive: two groups for one shard whose majorities need not meet
// would break the records.
package placement

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"woodworks/internal/catalog"
	"woodworks/internal/rendezvous"
)

// ShardCount is the number of record shards. It must never change while
// records of the old count are kept.
const ShardCount = 64

const (
	smallGroup = 3
	largeGroup = 5
	// largeGroupZones is from how many zones on groups have five members.
	largeGroupZones = 5
)

// witnessKey ranks the members of the witness group.
const witnessKey = "witness"

// ShardOf returns the shard of a record's key.
func ShardOf(key string) int { return int(xxhash.Sum64String(key) % ShardCount) }

// Group returns the members that keep a shard in an epoch, in ranked order:
// three, or five on a floor of five zones or more, in different zones as far
// as there are zones.
func Group(epoch catalog.Epoch, shard int) []catalog.PlacementMember {
	return group(epoch, "shard/"+strconv.Itoa(shard))
}

// Witnesses returns the members that vouch for the newest configuration while
// the log is out of reach.
func Witnesses(epoch catalog.Epoch) []catalog.PlacementMember {
	return group(epoch, witnessKey)
}

func group(epoch catalog.Epoch, key string) []catalog.PlacementMember {
	byID := make(map[string]catalog.PlacementMember, len(epoch.Members))
	ids := make([]string, 0, len(epoch.Members))
	zones := map[string]bool{}
	for _, member := range epoch.Members {
		byID[member.ID] = member
		ids = append(ids, member.ID)
		zones[member.Zone] = true
	}
	size := smallGroup
	if len(zones) >= largeGroupZones {
		size = largeGroup
	}
	var chosen, rest []catalog.PlacementMember
	usedZones := map[string]bool{}
	for _, id := range rendezvous.Rank(key, ids) {
		member := byID[id]
		if usedZones[member.Zone] || len(chosen) == size {
			rest = append(rest, member)
			continue
		}
		usedZones[member.Zone] = true
		chosen = append(chosen, member)
	}
	for len(chosen) < size && len(rest) > 0 {
		chosen = append(chosen, rest[0])
		rest = rest[1:]
	}
	return chosen
}

// Majority returns how many of a group's members make a majority.
func Majority(groupSize int) int { return groupSize/2 + 1 }

// Contains reports whether a group has a member with this id.
func Contains(group []catalog.PlacementMember, id string) bool {
	for _, member := range group {
		if member.ID == id {
			return true
		}
	}
	return false
}
