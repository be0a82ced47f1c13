package records

import (
	"context"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/catalog"
	"woodworks/internal/periodic"
	"woodworks/internal/placement"
	"woodworks/internal/register"
)

// followEpoch notes a new placement epoch for every shard.
func (service *Service) followEpoch(ctx context.Context) {
	state := service.catalog.State()
	if state.Placement.Number <= service.seenEpoch {
		return
	}
	service.seenEpoch = state.Placement.Number
	service.mutex.Lock()
	defer service.mutex.Unlock()
	for index := range placement.ShardCount {
		service.moves[index] = append(service.moves[index], move{previous: state.Previous, next: state.Placement})
		if len(service.moves[index]) == 1 {
			go service.moveShard(ctx, index)
		}
	}
}

// moveShard makes a shard's moves one after another: a shard that skipped an
// epoch could not be sealed in it, and its records would be stuck.
func (service *Service) moveShard(ctx context.Context, index int) {
	self := string(service.peers.Self().ID)
	for ctx.Err() == nil {
		service.mutex.Lock()
		if len(service.moves[index]) == 0 {
			service.mutex.Unlock()
			return
		}
		next := service.moves[index][0]
		service.mutex.Unlock()
		keeper := placement.Contains(placement.Group(next.next, index), self)
		switch {
		case !keeper:
			service.leave(index, next.next.Number)
		case next.previous.Number == 0:
			service.start(index, next.next.Number)
		default:
			service.importShard(ctx, index, next.previous, next.next)
		}
		service.mutex.Lock()
		service.moves[index] = service.moves[index][1:]
		service.mutex.Unlock()
	}
}

func (service *Service) start(index int, epoch uint64) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.acceptor.Start(index, epoch)
}

func (service *Service) leave(index int, nextEpoch uint64) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.acceptor.Leave(index, nextEpoch)
}

// importShard seals a majority of the earlier group and takes its records.
func (service *Service) importShard(ctx context.Context, index int, previous, next catalog.Epoch) {
	service.mutex.Lock()
	service.acceptor.BeginImport(index, next.Number)
	service.mutex.Unlock()
	group := placement.Group(previous, index)
	collected := map[string][]register.Record{}
	var keysFrom time.Time
	for ctx.Err() == nil {
		service.sealMissing(ctx, index, previous, group, collected, &keysFrom)
		enough := len(collected) >= placement.Majority(len(group))
		lost := service.majorityLost(group, collected)
		if enough || lost {
			if lost && !enough {
				keysFrom = time.Now().Add(service.bounds.ClockSkew)
				service.logger.Warn("records lost", zap.Int("shard", index), zap.Uint64("epoch", next.Number))
			}
			service.finishImport(index, next.Number, collected, keysFrom)
			return
		}
		periodic.Pause(ctx, importRetry)
	}
}

func (service *Service) finishImport(index int, epoch uint64, collected map[string][]register.Record, keysFrom time.Time) {
	var records []register.Record
	for _, part := range collected {
		records = append(records, part...)
	}
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.acceptor.FinishImport(index, epoch, records, keysFrom)
}

// majorityLost reports whether so many of a group are proved gone that no
// majority can ever be sealed, and everyone else has been.
func (service *Service) majorityLost(group []catalog.PlacementMember, collected map[string][]register.Record) bool {
	gone := 0
	for _, member := range group {
		_, have := collected[member.ID]
		if !have && service.peers.ProvedGone(member.ID, member.Address) {
			gone++
		}
	}
	return len(group)-gone < placement.Majority(len(group)) && gone+len(collected) == len(group)
}

func (service *Service) sealMissing(ctx context.Context, index int, previous catalog.Epoch, group []catalog.PlacementMember, collected map[string][]register.Record, keysFrom *time.Time) {
	type sealed struct {
		id    string
		reply SealReply
		err   error
	}
	answers := make(chan sealed, len(group))
	asked := 0
	for _, member := range group {
		if _, have := collected[member.ID]; have {
			continue
		}
		asked++
		go func() {
			reply, err := service.seal(ctx, member, SealRequest{To: member.ID, Shard: index, Epoch: previous.Number})
			answers <- sealed{id: member.ID, reply: reply, err: err}
		}()
	}
	for range asked {
		answer := <-answers
		if answer.err != nil || answer.reply.Refusal != "" {
			continue
		}
		collected[answer.id] = answer.reply.Records
		if answer.reply.KeysFrom.After(*keysFrom) {
			*keysFrom = answer.reply.KeysFrom
		}
	}
}

func (service *Service) seal(ctx context.Context, member catalog.PlacementMember, request SealRequest) (SealReply, error) {
	return ask(ctx, service, member, "Seal", request, service.Handler().Seal)
}
