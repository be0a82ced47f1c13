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

func scaling(maxReplicas int) route.Scaling {
	return route.Scaling{Min: 1, Max: maxReplicas, StartupTime: 4 * time.Second, ZonePrices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1}}
}

func drawInput(t *rapid.T) Input {
	in := Input{Scaling: scaling(rapid.IntRange(2, 24).Draw(t, "max")), Slots: rapid.IntRange(0, 8).Draw(t, "slots"), Now: testStart}
	for _, name := range []string{"a", "b", "c"} {
		zone := Zone{Name: name, Present: rapid.IntRange(0, in.Scaling.Max).Draw(t, "present")}
		zone.RecentMax = rapid.IntRange(zone.Present, in.Scaling.Max).Draw(t, "recent max")
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

// Orders must be within the bounds, at most one per zone, for no fewer replicas than may be
// running unless the need was low for long, and for no more than are needed, ordered or running.
func TestPlanInvariants(t *testing.T) {
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
				t.Fatalf("order for %d replicas is out of bounds", order.Desired)
			}
			if order.Desired < zone.Present && !mayShrink {
				t.Fatalf("order for %d replicas, %d are present", order.Desired, zone.Present)
			}
			if order.Desired > zone.Present && order.Desired < zone.RecentMax {
				t.Fatalf("order for %d replicas, %d may be running", order.Desired, zone.RecentMax)
			}
			if order.Desired > max(Need(in), zone.RecentMax, zone.Ordered) { // also for repeated orders
				t.Fatalf("order for %d replicas, %d are needed", order.Desired, Need(in))
			}
		}
	})
}

// simulatedPlatform starts and ends replicas on order.
type simulatedPlatform struct {
	scaling route.Scaling
	zones   []Zone
	booting []pendingBoot
	orders  int
}

// pendingBoot is a replica that is starting.
type pendingBoot struct {
	zone  int
	ready time.Time
}

// advance moves the simulation to now: it makes starting replicas ready and carries out orders.
func (p *simulatedPlatform) advance(now time.Time, orders []Order) {
	left := p.booting[:0]
	for _, b := range p.booting {
		if now.Before(b.ready) {
			left = append(left, b)
			continue
		}
		p.zones[b.zone].Present++
	}
	p.booting = left
	for _, order := range orders {
		p.orders++
		for i := range p.zones {
			if p.zones[i].Name != order.Zone {
				continue
			}
			p.zones[i].Ordered, p.zones[i].OrderedAt = order.Desired, now
			starting := 0
			for _, b := range p.booting {
				if b.zone == i {
					starting++
				}
			}
			for count := p.zones[i].Present + starting; count < order.Desired; count++ {
				p.booting = append(p.booting, pendingBoot{i, now.Add(p.scaling.StartupTime)})
			}
			p.zones[i].Present = min(p.zones[i].Present, order.Desired)
		}
	}
	for i := range p.zones {
		p.zones[i].RecentMax = p.zones[i].Present
	}
}

// simulate runs plans under the given loads for length, and returns after which time enough
// replicas were present, -1 if there never were.
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

// The fleet must grow quickly, shrink slowly, and make no further orders once it fits the load.
func TestFleetFollowsLoad(t *testing.T) {
	is := is.New(t)
	p := &simulatedPlatform{scaling: scaling(24), zones: []Zone{{Name: "a", Present: 3}, {Name: "b", Present: 3}, {Name: "c", Present: 3}}}
	need := func(items int) int { return Need(Input{Slots: 6, Loads: loadsOf(items)}) }
	now := testStart
	is.True(p.simulate(loadsOf(240), now, 30*time.Second) <= p.scaling.StartupTime+2*planInterval)
	is.Equal(p.present(), need(240))
	is.Equal(p.orders, 2) // zones have different prices
	now = now.Add(30 * time.Second)
	is.True(p.simulate(loadsOf(480), now, 30*time.Second) <= p.scaling.StartupTime+2*planInterval)
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
	is.Equal(p.orders, before) // no further orders
}

// Replicas that the platform does not start must be ordered again, but not in every plan.
func TestMissingReplicasAreOrderedRepeatedly(t *testing.T) {
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

// Zones that work must compensate for one that does not start what was ordered.
func TestOtherZonesCompensateForFailingZone(t *testing.T) {
	is := is.New(t)
	failing := Zone{Name: "a", Present: 3, RecentMax: 3, Ordered: 9, OrderedAt: testStart.Add(-7 * time.Second)}
	in := Input{Scaling: scaling(24), Slots: 6, Zones: []Zone{failing, {Name: "b", Present: 3, RecentMax: 3}, {Name: "c", Present: 3, RecentMax: 3}}, Loads: loadsOf(240), Now: testStart}
	is.Equal(Need(in), 18)
	is.Equal(Plan(in), []Order{{"b", 6}, {"c", 9}})
}

// Without batches the need is unknown, so nothing must be ordered or released.
func TestNothingIsOrderedWithoutLoads(t *testing.T) {
	is := is.New(t)
	in := Input{Scaling: scaling(24), Slots: 6, Now: testStart, LowSince: testStart.Add(-time.Hour),
		Zones: []Zone{{Name: "a", Present: 3, RecentMax: 12}, {Name: "b"}}}
	is.Equal(len(Plan(in)), 0)
}
