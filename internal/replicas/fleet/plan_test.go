package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woodworks/internal/daemon/testseed"
	"woodworks/internal/requests/route"
)

func init() { testseed.Fix() }

var testStart = time.Unix(1_800_000_000, 0)

func scaling(most int) route.Scaling {
	return route.Scaling{Min: 1, Max: most, Boot: 4 * time.Second, ZonePrices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1}}
}

func drawInput(t *rapid.T) Input {
	in := Input{Scaling: scaling(rapid.IntRange(2, 24).Draw(t, "max")), Slots: rapid.IntRange(0, 8).Draw(t, "slots"), Now: testStart}
	for _, name := range []string{"a", "b", "c"} {
		zone := Zone{Name: name, Present: rapid.IntRange(0, in.Scaling.Max).Draw(t, "present")}
		zone.RecentMax = rapid.IntRange(zone.Present, in.Scaling.Max).Draw(t, "seen")
		if rapid.Bool().Draw(t, "was ordered") {
			zone.Ordered = rapid.IntRange(1, in.Scaling.Max).Draw(t, "ordered")
			zone.OrderedAt = testStart.Add(-time.Duration(rapid.IntRange(0, 60).Draw(t, "seconds ago")) * time.Second)
		}
		in.Zones = append(in.Zones, zone)
	}
	for range rapid.IntRange(0, 3).Draw(t, "models") {
		in.Loads = append(in.Loads, Load{Items: rapid.IntRange(1, 400).Draw(t, "items"),
			ItemTime: time.Duration(rapid.IntRange(100, 4000).Draw(t, "item ms")) * time.Millisecond, Deadline: 7500 * time.Millisecond})
	}
	if rapid.Bool().Draw(t, "low") {
		in.LowSince = testStart.Add(-time.Duration(rapid.IntRange(0, 120).Draw(t, "low for")) * time.Second)
	}
	return in
}

// Whatever is known: orders are within the bounds, one a zone, ask for no less than what
// may live unless the need was low for long, and never for more than is needed or there.
func TestPlansKeepTheirPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		seen := map[string]bool{}
		mayShrink := !in.LowSince.IsZero() && in.Now.Sub(in.LowSince) >= shrinkDelay
		zones := map[string]Zone{}
		for _, z := range in.Zones {
			zones[z.Name] = z
		}
		for _, order := range Plan(in) {
			zone := zones[order.Zone]
			if seen[order.Zone] {
				t.Fatalf("two orders for zone %s", order.Zone)
			}
			seen[order.Zone] = true
			if order.Desired < in.Scaling.Min || order.Desired > in.Scaling.Max {
				t.Fatalf("order for %d", order.Desired)
			}
			if order.Desired < zone.Present && !mayShrink {
				t.Fatalf("order for %d where %d are there", order.Desired, zone.Present)
			}
			if order.Desired > zone.Present && order.Desired < zone.RecentMax {
				t.Fatalf("order for %d where %d may live", order.Desired, zone.RecentMax)
			}
			if order.Desired > max(Need(in), zone.RecentMax, zone.Ordered) { // renewed orders too
				t.Fatalf("order for %d, %d are needed", order.Desired, Need(in))
			}
		}
	})
}

// simulatedPlatform is replicas that start and end on order.
type simulatedPlatform struct {
	scaling route.Scaling
	zones   []Zone
	booting []pendingBoot
	orders  int
}

type pendingBoot struct {
	zone  int
	ready time.Time
}

// advance lets time go by: replicas start, and orders are carried out.
func (p *simulatedPlatform) advance(now time.Time, orders []Order) {
	left := p.booting[:0]
	for _, each := range p.booting {
		if now.Before(each.ready) {
			left = append(left, each)
			continue
		}
		p.zones[each.zone].Present++
	}
	p.booting = left
	for _, order := range orders {
		p.orders++
		for i := range p.zones {
			if p.zones[i].Name != order.Zone {
				continue
			}
			p.zones[i].Ordered, p.zones[i].OrderedAt = order.Desired, now
			underWay := 0
			for _, each := range p.booting {
				if each.zone == i {
					underWay++
				}
			}
			for count := p.zones[i].Present + underWay; count < order.Desired; count++ {
				p.booting = append(p.booting, pendingBoot{i, now.Add(p.scaling.Boot)})
			}
			p.zones[i].Present = min(p.zones[i].Present, order.Desired)
		}
	}
	for i := range p.zones {
		p.zones[i].RecentMax = p.zones[i].Present
	}
}

// simulate plays a platform under a load and returns after which time there was enough.
func (p *simulatedPlatform) simulate(loads []Load, from time.Time, length time.Duration) (enoughAfter time.Duration) {
	enoughAfter = -1
	lowSince := time.Time{}
	for now := from; now.Before(from.Add(length)); now = now.Add(planInterval) {
		in := Input{Scaling: p.scaling, Slots: 6, Zones: p.zones, Loads: loads, Now: now, LowSince: lowSince}
		switch {
		case !NeedIsLow(in):
			lowSince = time.Time{}
		case lowSince.IsZero():
			lowSince = now
		}
		in.LowSince = lowSince
		if p.present() >= Need(in) && enoughAfter < 0 {
			enoughAfter = now.Sub(from)
		}
		p.advance(now, Plan(in))
	}
	return enoughAfter
}

func (p *simulatedPlatform) present() int {
	sum := 0
	for _, z := range p.zones {
		sum += z.Present
	}
	return sum
}

func loadsOf(items int) []Load {
	return []Load{{Items: items, ItemTime: time.Second, Deadline: 7500 * time.Millisecond}}
}

// A fleet follows its work: soon up, slowly down, and it rests once it fits.
func TestAFleetFollowsItsWork(t *testing.T) {
	is := is.New(t)
	p := &simulatedPlatform{scaling: scaling(24), zones: []Zone{{Name: "a", Present: 3}, {Name: "b", Present: 3}, {Name: "c", Present: 3}}}
	need := func(items int) int { return Need(Input{Slots: 6, Loads: loadsOf(items)}) }
	now := testStart
	is.True(p.simulate(loadsOf(240), now, 30*time.Second) <= p.scaling.Boot+2*planInterval)
	is.Equal(p.present(), need(240))
	is.Equal(p.orders, 2) // zones have different prices
	now = now.Add(30 * time.Second)
	is.True(p.simulate(loadsOf(480), now, 30*time.Second) <= p.scaling.Boot+2*planInterval)
	is.Equal(p.present(), need(480))
	is.True(p.orders <= 6)
	for _, z := range p.zones {
		is.True(z.Present <= (need(480)+1)/2) // no zone has more than a half
	}
	now = now.Add(30 * time.Second)
	p.simulate(loadsOf(60), now, shrinkDelay-time.Second)
	is.Equal(p.present(), need(480)) // not yet
	p.simulate(loadsOf(60), now, 10*time.Minute)
	is.True(p.present() >= need(60))
	is.True(float64(need(60)) >= shrinkFraction*float64(p.present()-1) || p.present() <= 3)
	before := p.orders
	p.simulate(loadsOf(60), now, 10*time.Minute)
	is.Equal(p.orders, before) // it rests
}

// Replicas that a platform does not bring up are ordered again now and then, not always.
func TestMissingReplicasAreOrderedAgain(t *testing.T) {
	is := is.New(t)
	zone := Zone{Name: "a", Present: 3, RecentMax: 3, Ordered: 24, OrderedAt: testStart}
	orders := 0
	for now := testStart; now.Before(testStart.Add(time.Minute)); now = now.Add(planInterval) {
		in := Input{Scaling: scaling(24), Slots: 6, Zones: []Zone{zone}, Loads: loadsOf(480), Now: now}
		for _, order := range Plan(in) {
			is.Equal(order.Desired, 24)
			orders++
			zone.OrderedAt = now
		}
	}
	is.True(orders >= 3)
	is.True(orders <= 10)
}

// Where a zone does not bring up what was ordered, others make up for it.
func TestOtherZonesMakeUpForOneThatBringsUpNothing(t *testing.T) {
	is := is.New(t)
	dry := Zone{Name: "a", Present: 3, RecentMax: 3, Ordered: 9, OrderedAt: testStart.Add(-7 * time.Second)}
	in := Input{Scaling: scaling(24), Slots: 6, Zones: []Zone{dry, {Name: "b", Present: 3, RecentMax: 3}, {Name: "c", Present: 3, RecentMax: 3}}, Loads: loadsOf(240), Now: testStart}
	is.Equal(Need(in), 18)
	is.Equal(Plan(in), []Order{{"b", 6}, {"c", 9}})
}

// Without any batch nothing is known of the need.
func TestNothingIsOrderedWithoutWork(t *testing.T) {
	is := is.New(t)
	in := Input{Scaling: scaling(24), Slots: 6, Now: testStart, LowSince: testStart.Add(-time.Hour),
		Zones: []Zone{{Name: "a", Present: 3, RecentMax: 12}, {Name: "b"}}}
	is.Equal(len(Plan(in)), 0)
}
