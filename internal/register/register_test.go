package register_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woodworks/internal/placement"
	"woodworks/internal/register"
	"woodworks/internal/testseed"
)

func init() { testseed.Fix() }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func bounds() register.Bounds {
	return register.Bounds{Retention: 10 * time.Minute, ClockSkew: 30 * time.Second, MaxRecords: 100}
}

const keyName = "call/players/game-front/move/k"

var (
	key   = register.Key{Name: keyName, IssuedAt: start}
	shard = placement.ShardOf(keyName)
)

// late is a message that the network holds back.
type late struct {
	member  int
	prepare *register.Prepare
	accept  *register.Accept
}

// world is a group of acceptors, some proposers and a network that loses,
// doubles, delays and reorders.
type world struct {
	acceptors []*register.Acceptor
	proposers []*register.Proposer
	values    []register.Value
	late      []late
	// decidedBy holds what each proposer has reported.
	decidedBy map[int]register.Value
	history   []porcupine.Operation
	clock     int64
	epoch     uint64
}

func newWorld(groupSize, proposers int) *world {
	one := &world{decidedBy: map[int]register.Value{}, epoch: 1}
	for range groupSize {
		acceptor := register.NewAcceptor(bounds())
		acceptor.Start(shard, 1)
		one.acceptors = append(one.acceptors, acceptor)
	}
	for i := range proposers {
		value := register.Value{Holder: fmt.Sprintf("daemon-%d", i), Attempt: fmt.Sprintf("try-%d", i)}
		one.values = append(one.values, value)
		one.proposers = append(one.proposers, register.NewProposer(key, value, groupSize, 1, value.Attempt))
	}
	return one
}

// The fates of one message and its answer.
const (
	arrives = iota
	answerLost
	heldBack
	fates
)

// exchange sends a proposer's present message to one member.
func (one *world) exchange(index, member, fate int) {
	proposer := one.proposers[index]
	acceptor := one.acceptors[member]
	name := fmt.Sprint(member)
	switch proposer.Phase() {
	case register.Preparing:
		message := proposer.Prepare()
		if fate == heldBack {
			one.late = append(one.late, late{member: member, prepare: &message})
			return
		}
		if promise, err := acceptor.HandlePrepare(start, message); err == nil && fate == arrives {
			proposer.OnPromise(name, promise)
		}
	case register.Accepting:
		message := proposer.Accept()
		if fate == heldBack {
			one.late = append(one.late, late{member: member, accept: &message})
			return
		}
		if accepted, err := acceptor.HandleAccept(start, message); err == nil && fate == arrives {
			proposer.OnAccepted(name, accepted)
		}
	case register.Preempted:
		proposer.Retry()
	}
	one.report(index)
}

// arriveLate hands over a message that was held back, and keeps it to come again.
func (one *world) arriveLate(index int) {
	held := one.late[index]
	if held.prepare != nil {
		_, _ = one.acceptors[held.member].HandlePrepare(start, *held.prepare)
		return
	}
	_, _ = one.acceptors[held.member].HandleAccept(start, *held.accept)
}

// report records the outcome of a proposer that has decided.
func (one *world) report(index int) {
	proposer := one.proposers[index]
	if _, done := one.decidedBy[index]; done || proposer.Phase() != register.Decided {
		return
	}
	one.clock++
	one.decidedBy[index] = proposer.Outcome()
	one.history = append(one.history, porcupine.Operation{
		ClientId: index, Input: one.values[index], Call: int64(index) - 1000, Output: proposer.Outcome(), Return: one.clock,
	})
}

// writeOnce is the sequential specification: the first proposal sets the
// value, and every proposal returns the value set.
var writeOnce = porcupine.Model{
	Init: func() any { return register.Value{} },
	Step: func(state, input, output any) (bool, any) {
		held := state.(register.Value)
		if held == (register.Value{}) {
			held = input.(register.Value)
		}
		// A proposer that has not reported may or may not have taken effect.
		return output == nil || output.(register.Value) == held, held
	},
}

func (one *world) check(t *rapid.T) {
	if len(one.history) < 2 {
		return
	}
	history := append([]porcupine.Operation{}, one.history...)
	for index, value := range one.values {
		if _, reported := one.decidedBy[index]; !reported {
			history = append(history, porcupine.Operation{ClientId: index, Input: value, Call: int64(index) - 1000, Return: 1 << 40})
		}
	}
	if !porcupine.CheckOperations(writeOnce, history) {
		t.Fatalf("not a write-once record: %v", one.decidedBy)
	}
}

// run drives a world for some steps. Most messages arrive; now and then a
// proposer that has decided starts anew, as another daemon would.
func (one *world) run(t *rapid.T, move func(*rapid.T)) {
	for range rapid.IntRange(10, 150).Draw(t, "steps") {
		kind := rapid.IntRange(0, 19).Draw(t, "step")
		switch {
		case kind == 0 && len(one.late) > 0:
			one.arriveLate(rapid.IntRange(0, len(one.late)-1).Draw(t, "late"))
		case kind == 1 && move != nil:
			move(t)
		default:
			index := rapid.IntRange(0, len(one.proposers)-1).Draw(t, "proposer")
			member := rapid.IntRange(0, len(one.acceptors)-1).Draw(t, "member")
			fate := max(0, rapid.IntRange(-4, fates-1).Draw(t, "fate"))
			one.exchange(index, member, fate)
		}
		one.check(t)
	}
}

func TestOneValueIsDecidedUnderAnyNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newWorld(rapid.SampledFrom([]int{3, 5}).Draw(t, "group"), 3).run(t, nil)
	})
}

// A keeper that restarts with an empty memory is refused as the old member; as
// the old member it would let a second value be decided.
func TestForgetfulKeeperBreaksTheRecordIfTakenForTheOldOne(t *testing.T) {
	is := is.New(t)
	decide := func(one *world, index int, members ...int) {
		proposer := one.proposers[index]
		for _, member := range members {
			promise, err := one.acceptors[member].HandlePrepare(start, proposer.Prepare())
			is.NoErr(err)
			proposer.OnPromise(fmt.Sprint(member), promise)
		}
		for _, member := range members {
			accepted, err := one.acceptors[member].HandleAccept(start, proposer.Accept())
			is.NoErr(err)
			proposer.OnAccepted(fmt.Sprint(member), accepted)
		}
		one.report(index)
	}
	one := newWorld(3, 2)
	decide(one, 0, 0, 1)
	forgetful := register.NewAcceptor(bounds())
	forgetful.Start(shard, 1)
	one.acceptors[1] = forgetful
	decide(one, 1, 1, 2)
	is.True(!porcupine.CheckOperations(writeOnce, one.history)) // the checker must see it
	is.True(one.decidedBy[0] != one.decidedBy[1])
}

// Moving to a new epoch keeps what was decided, whichever majority is sealed
// and however late old messages arrive.
func TestDecisionsSurviveEpochs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one := newWorld(3, 4)
		one.run(t, one.moveEpoch)
	})
}

// moveEpoch replaces one member by a new run and carries the records over from
// a random majority of the old group. Proposers without an outcome begin anew.
func (one *world) moveEpoch(t *rapid.T) {
	old := one.acceptors
	replaced := rapid.IntRange(0, len(old)-1).Draw(t, "replaced")
	one.epoch++
	next := append([]*register.Acceptor{}, old...)
	next[replaced] = register.NewAcceptor(bounds())
	for member, acceptor := range next {
		acceptor.BeginImport(shard, one.epoch)
		var records []register.Record
		left := rapid.IntRange(0, len(old)-1).Draw(t, "left out")
		for source, sealedMember := range old {
			if source == left {
				continue
			}
			part, _, err := sealedMember.Seal(shard, one.epoch-1)
			if err != nil {
				t.Fatalf("member %d: seal %d: %v", member, source, err)
			}
			records = append(records, part...)
		}
		acceptor.FinishImport(shard, one.epoch, records, time.Time{})
	}
	one.acceptors = next
	for index, proposer := range one.proposers {
		if proposer.Phase() != register.Decided {
			one.proposers[index] = register.NewProposer(key, one.values[index], len(next), one.epoch, one.values[index].Attempt)
		}
	}
}

func TestSealedKeeperGrantsNothing(t *testing.T) {
	is := is.New(t)
	acceptor := register.NewAcceptor(bounds())
	acceptor.Start(shard, 1)
	_, _, err := acceptor.Seal(shard, 1)
	is.NoErr(err)
	ballot := register.Ballot{Epoch: 1, Round: 1, Proposer: "p"}
	_, err = acceptor.HandlePrepare(start, register.Prepare{Key: key, Ballot: ballot})
	is.Equal(err, register.ErrWrongEpoch)
	_, err = acceptor.HandleAccept(start, register.Accept{Key: key, Ballot: ballot})
	is.Equal(err, register.ErrWrongEpoch)
}

func TestSkippedEpochCannotBeSealed(t *testing.T) {
	is := is.New(t)
	acceptor := register.NewAcceptor(bounds())
	acceptor.Start(shard, 1)
	acceptor.BeginImport(shard, 2)
	_, _, err := acceptor.Seal(shard, 2)
	is.Equal(err, register.ErrNotReady) // its import is not finished
	_, _, err = acceptor.Seal(shard, 1)
	is.NoErr(err) // what it held in epoch 1 is whole
	acceptor.BeginImport(shard, 3)
	_, _, err = acceptor.Seal(shard, 2)
	is.Equal(err, register.ErrNotReady) // it never had epoch 2 whole
}

func TestKeysOlderThanALossAreRefused(t *testing.T) {
	is := is.New(t)
	acceptor := register.NewAcceptor(bounds())
	acceptor.BeginImport(shard, 2)
	acceptor.FinishImport(shard, 2, nil, start.Add(time.Second))
	ballot := register.Ballot{Epoch: 2, Round: 1, Proposer: "p"}
	_, err := acceptor.HandlePrepare(start, register.Prepare{Key: key, Ballot: ballot})
	is.Equal(err, register.ErrRecordsLost)
	later := register.Key{Name: keyName, IssuedAt: start.Add(2 * time.Second)}
	_, err = acceptor.HandlePrepare(start, register.Prepare{Key: later, Ballot: ballot})
	is.NoErr(err)
}

func TestRecordsAreBoundedAndExpire(t *testing.T) {
	is := is.New(t)
	acceptor := register.NewAcceptor(bounds())
	for index := range placement.ShardCount {
		acceptor.Start(index, 1)
	}
	ballot := register.Ballot{Epoch: 1, Round: 1, Proposer: "p"}
	refused := 0
	for i := range 150 {
		one := register.Key{Name: fmt.Sprint("key", i), IssuedAt: start}
		_, err := acceptor.HandlePrepare(start, register.Prepare{Key: one, Ballot: ballot})
		if err == register.ErrFull {
			refused++
		}
	}
	is.Equal(refused, 50)
	is.Equal(acceptor.Records(), 100)
	late := start.Add(bounds().Retention + bounds().ClockSkew + time.Second)
	_, err := acceptor.HandlePrepare(late, register.Prepare{Key: key, Ballot: ballot})
	is.Equal(err, register.ErrExpired) // refused before it is forgotten
	acceptor.Expire(late)
	is.Equal(acceptor.Records(), 100)
	acceptor.Expire(start.Add(bounds().Retention + 4*bounds().ClockSkew))
	is.Equal(acceptor.Records(), 0)
}

// A keeper that had accepted a value which lost must take over the one that won.
func TestImportReplacesAValueThatLost(t *testing.T) {
	is := is.New(t)
	lost := register.Value{Holder: "a", Attempt: "a1"}
	won := register.Value{Holder: "b", Attempt: "b1"}
	low := register.Ballot{Epoch: 1, Round: 1, Proposer: "a1"}
	high := register.Ballot{Epoch: 1, Round: 2, Proposer: "b1"}
	acceptor := register.NewAcceptor(bounds())
	acceptor.Start(shard, 1)
	_, err := acceptor.HandleAccept(start, register.Accept{Key: key, Ballot: low, Value: lost})
	is.NoErr(err)
	acceptor.BeginImport(shard, 2)
	acceptor.FinishImport(shard, 2, []register.Record{{Key: key, Accepted: high, Promised: high, Value: won}}, time.Time{})
	promise, err := acceptor.HandlePrepare(start, register.Prepare{Key: key, Ballot: register.Ballot{Epoch: 2, Round: 1, Proposer: "c1"}})
	is.NoErr(err)
	is.Equal(promise.Value, won)
}

// One decision by one proposer among a group, without the network.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []int{3, 5} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			wide := bounds()
			wide.MaxRecords = 1 << 30
			acceptors := make([]*register.Acceptor, size)
			for i := range acceptors {
				acceptors[i] = register.NewAcceptor(wide)
				for index := range placement.ShardCount {
					acceptors[i].Start(index, 1)
				}
			}
			b.ReportAllocs()
			for number := 0; b.Loop(); number++ {
				one := register.Key{Name: fmt.Sprint("k", number), IssuedAt: start}
				proposer := register.NewProposer(one, register.Value{Holder: "a"}, size, 1, "a")
				for i, acceptor := range acceptors {
					promise, _ := acceptor.HandlePrepare(start, proposer.Prepare())
					proposer.OnPromise(fmt.Sprint(i), promise)
				}
				for i, acceptor := range acceptors {
					accepted, _ := acceptor.HandleAccept(start, proposer.Accept())
					proposer.OnAccepted(fmt.Sprint(i), accepted)
				}
			}
		})
	}
}
