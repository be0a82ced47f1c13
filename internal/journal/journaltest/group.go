package journaltest

import (
	"context"
	"maps"
	"slices"
	"time"

	"woodworks/internal/journal"
)

// Join implements journal.Journal. It assigns partitions to members in turn.
func (j *Journal) Join(ctx context.Context, request journal.Join) (journal.Assignment, error) {
	if _, err := j.injectFault(ctx, Join); err != nil {
		return journal.Assignment{}, err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.removeExpired()
	if _, ok := j.members[request.Member]; !ok {
		j.generation++
	}
	j.members[request.Member] = time.Now().Add(request.Lifetime)
	j.topics = request.Topics
	assignment := journal.Assignment{Generation: j.generation}
	for _, row := range j.assignments() {
		if row.Member == request.Member {
			assignment.Partitions = append(assignment.Partitions, row.Partition)
		}
	}
	return assignment, nil
}

// removeExpired removes members that have not renewed their membership in time. The mutex must be
// held.
func (j *Journal) removeExpired() {
	for member, until := range j.members {
		if time.Now().After(until) {
			delete(j.members, member)
			j.generation++
		}
	}
}

// assignments returns the assignment of all partitions to the members in turn. The mutex must be
// held.
func (j *Journal) assignments() []journal.Ownership {
	members := slices.Sorted(maps.Keys(j.members))
	if len(members) == 0 {
		return nil
	}
	var rows []journal.Ownership
	for _, topic := range j.topics {
		for number := 0; number < j.Partitions; number++ {
			partition := journal.Partition{Topic: topic, Number: number}
			member := members[(len(rows)+j.rotation)%len(members)]
			rows = append(rows, journal.Ownership{Partition: partition, Member: member})
		}
	}
	return rows
}

// Rebalance assigns each partition to the next member at once, and starts a new generation.
func (j *Journal) Rebalance() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rotation++
	j.generation++
}

// Leave implements journal.Journal.
func (j *Journal) Leave(ctx context.Context, _, member string) error {
	if _, err := j.injectFault(ctx, Leave); err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.members, member)
	j.generation++
	return nil
}

// Owners implements journal.Journal.
func (j *Journal) Owners(ctx context.Context, _ string) ([]journal.Ownership, error) {
	if _, err := j.injectFault(ctx, Owners); err != nil {
		return nil, err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.removeExpired()
	return j.assignments(), nil
}
