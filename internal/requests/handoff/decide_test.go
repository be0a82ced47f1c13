package handoff

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"woodworks/internal/daemon/testseed"
)

func init() { testseed.Fix() }

func nobodyAway(string) bool { return false }

func zoneOf(count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("machine-%02d", i))
	}
	return names
}

// others returns all names but one.
func others(names []string, own string) []string {
	var left []string
	for _, name := range names {
		if name != own {
			left = append(left, name)
		}
	}
	return left
}

// handlerOf is where a daemon sends a request for a service.
func handlerOf(names []string, own, service string) string {
	chosen := Decide(Situation{Own: own, Zone: others(names, own), Away: nobodyAway, Service: service, Gap: 5 * time.Second, Rest: 600 * time.Millisecond})
	if peer, handed := chosen.(Peer); handed {
		return peer.Name
	}
	return own
}

// All daemons of a zone choose the same one for a service. Services spread over the
// daemons, and when one goes only its own services move.
func TestAZoneAgreesOnWhoHandlesAService(t *testing.T) {
	is := is.New(t)
	names, gone := zoneOf(23), "machine-11"
	handled := map[string]int{}
	for i := range 230 {
		service := fmt.Sprintf("service-%d", i)
		before := handlerOf(names, names[0], service)
		handled[before]++
		for _, own := range names {
			is.Equal(handlerOf(names, own, service), before)
		}
		if before != gone {
			is.Equal(handlerOf(others(names, gone), names[0], service), before)
		}
	}
	for _, name := range names {
		is.True(handled[name] >= 1 && handled[name] <= 40) // ten on the mean
	}
}

// A daemon goes direct where a connection rests, where it asks often enough to keep its
// own, where it handles the service itself, and where the others are away.
func TestADaemonGoesDirect(t *testing.T) {
	names := zoneOf(3)
	handler := handlerOf(names, names[0], "s")
	own := others(names, handler)[0]
	seldom := Situation{Own: own, Zone: others(names, own), Away: nobodyAway, Service: "s", Gap: 5 * time.Second, Rest: time.Second}
	for name, c := range map[string]struct {
		change func(s *Situation)
		direct bool
	}{
		"seldom":          {func(*Situation) {}, false},
		"rest not known":  {func(s *Situation) { s.Rest = 0 }, true},
		"first request":   {func(s *Situation) { s.Gap = 0 }, true},
		"connected":       {func(s *Situation) { s.Connected = true }, true},
		"often":           {func(s *Situation) { s.Gap = 400 * time.Millisecond }, true},
		"long rest":       {func(s *Situation) { s.Rest = 20 * time.Second }, true},
		"handles it":      {func(s *Situation) { s.Own, s.Zone = handler, others(names, handler) }, true},
		"alone":           {func(s *Situation) { s.Zone = nil }, true},
		"all others away": {func(s *Situation) { s.Away = func(string) bool { return true } }, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			asked := seldom
			c.change(&asked)
			_, direct := Decide(asked).(Direct)
			is.Equal(direct, c.direct)
		})
	}
}

// load is the load answered: 67 daemons of three zones that get 12 requests a second
// together, before replicas that keep a connection for a second.
type load struct {
	now, rest time.Duration
	// until is until when the connections of a daemon rest.
	until map[string][]time.Duration
	made  int
}

// send takes a connection that rests, or makes one.
func (l *load) send(daemon string) {
	const work = 25 * time.Millisecond
	kept, taken := l.until[daemon][:0], false
	for _, until := range l.until[daemon] {
		switch {
		case until < l.now:
		case !taken && until <= l.now+l.rest: // a later end is that of one in use
			taken = true
		default:
			kept = append(kept, until)
		}
	}
	if !taken {
		l.made++
	}
	l.until[daemon] = append(kept, l.now+work+l.rest)
}

// play returns how many connections a minute of the load makes.
func play(rest time.Duration, handing bool) int {
	l := &load{rest: rest, until: map[string][]time.Duration{}}
	random := rand.New(rand.NewPCG(1, 2))
	names, zone, asked := zoneOf(67), map[string][]string{}, map[string]int{}
	for i, name := range names {
		zone[name] = names[i%3*22 : i%3*22+22+i%3/2]
	}
	for l.now < time.Minute {
		l.now += time.Duration(random.ExpFloat64() * float64(time.Second) / 12)
		at := names[random.IntN(len(names))]
		own := l.until[at]
		s := Situation{Own: at, Zone: others(zone[at], at), Away: nobodyAway, Service: "s"}
		if asked[at]++; asked[at] > 1 {
			s.Gap, s.Rest = 67*time.Second/12, rest
		}
		s.Connected = len(own) > 0 && own[len(own)-1] > l.now
		if peer, handed := Decide(s).(Peer); handed && handing {
			at = peer.Name
		}
		l.send(at)
	}
	return l.made
}

// Nearly every request made a connection. Handed on, one in three does in the first minute,
// of which the first one of each daemon is a part, which goes direct.
func TestHandingOnSavesConnections(t *testing.T) {
	is := is.New(t)
	for _, rest := range []time.Duration{600 * time.Millisecond, 900 * time.Millisecond} {
		before, after := play(rest, false), play(rest, true)
		t.Logf("rest %v: %d connections a minute before, %d after", rest, before, after)
		is.True(before > 550)
		is.True(after*3 < before)
	}
}
