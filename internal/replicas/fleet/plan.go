package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"woodworks/internal/requests/route"
)

const (
	// targetFraction is the fraction of a batch's deadline in which its items should run if all
	// were available at once. The rest of the deadline covers the longest streams, changes of
	// weights and failing replicas. A smaller fraction requires more engines than can be kept at
	// the newest weights.
	targetFraction = 0.3
	// maxZoneFraction bounds the fraction of the needed replicas in one zone, as far as the
	// other zones have room, so that the loss of a zone leaves about half of them.
	maxZoneFraction = 0.5
	// bootMargin is added to the startup time of a replica. An ordered replica that is not listed
	// after that sum counts as missing.
	bootMargin = 2 * time.Second
	// renewInterval is the time between two orders for the same missing replicas.
	renewInterval = 10 * time.Second
	// Replicas are released, one per zone at a time, once the need has been below shrinkFraction
	// of the present replicas for shrinkDelay. The delay is long because a missing replica delays
	// batches, while a surplus one only costs its price.
	shrinkFraction = 0.75
	shrinkDelay    = time.Minute
)

// Zone is the state of a service's replicas in one zone.
type Zone struct {
	Name string
	// Present is the number of replicas that are listed and not draining.
	Present int
	// RecentMax is the largest value of Present within recentMaxWindow. Replicas that are no
	// longer listed may still be running, and an order for fewer than RecentMax could end them.
	RecentMax int
	// Ordered is the number of replicas in the last order, 0 if there was none. OrderedAt is
	// when the order was made or first seen, by the clock of Input.Now.
	Ordered   int
	OrderedAt time.Time
}

// String formats the zone for logs as name:present/ordered.
func (z Zone) String() string { return fmt.Sprintf("%s:%d/%d", z.Name, z.Present, z.Ordered) }

// booting reports whether replicas of the last order may still be starting.
func (z Zone) booting(boot time.Duration, now time.Time) bool {
	return now.Sub(z.OrderedAt) < boot+bootMargin
}

// expected returns the number of replicas that are present or starting.
func (z Zone) expected(boot time.Duration, now time.Time) int {
	if z.booting(boot, now) {
		return max(z.Present, z.Ordered)
	}
	return z.Present
}

// maxReplicas returns how many replicas the zone can be expected to provide: the maximum of the
// scaling, or those present if the last order was not fulfilled in time.
func (z Zone) maxReplicas(in Input) int {
	if z.Ordered > z.Present && !z.booting(in.Scaling.StartupTime, in.Now) {
		return z.Present
	}
	return in.Scaling.Max
}

// Load is the demand of one model's batches.
type Load struct {
	// Items is the number of items of a batch. ItemTime is how long one item occupies a slot.
	Items    int
	ItemTime time.Duration
	// Deadline is the time in which the results of a batch are due.
	Deadline time.Duration
}

// String formats the load for logs as items x item time / deadline.
func (l Load) String() string { return fmt.Sprintf("%dx%v/%v", l.Items, l.ItemTime, l.Deadline) }

// Input is everything that a plan depends on.
type Input struct {
	Scaling route.Scaling
	// Slots is the number of items that a replica runs at once.
	Slots int
	Zones []Zone
	Loads []Load
	// LowSince is when NeedIsLow became true, or zero while it is false.
	LowSince time.Time
	Now      time.Time
}

// Order sets the number of replicas in a zone.
type Order struct {
	Zone    string
	Desired int
}

// Need returns the number of replicas whose slots suffice to run the items of all models' batches
// within targetFraction of the batches' deadlines. Loads without a deadline don't count.
func Need(in Input) int {
	slots := 0.0
	for _, load := range in.Loads {
		if load.Deadline > 0 {
			slots += float64(load.Items) * load.ItemTime.Seconds() / (targetFraction * load.Deadline.Seconds())
		}
	}
	return int(math.Ceil(slots / float64(max(in.Slots, 1))))
}

// NeedIsLow reports whether the need is below shrinkFraction of the present replicas.
func NeedIsLow(in Input) bool {
	present := 0
	for _, z := range in.Zones {
		present += z.Present
	}
	return float64(Need(in)) < shrinkFraction*float64(present)
}

// Plan returns the orders to make now, at most one per zone. Without loads it returns none,
// because the demand may not be known yet.
//
// Invariants: an order is within the bounds of the scaling; no order releases replicas, not even
// through an incomplete count, unless the need has been low for shrinkDelay; replicas that are
// present or starting are not ordered again.
func Plan(in Input) []Order {
	counts := make([]int, len(in.Zones))
	for i, z := range in.Zones {
		counts[i] = z.expected(in.Scaling.StartupTime, in.Now)
	}
	need := Need(in)
	switch {
	case len(in.Loads) == 0:
	case need > total(counts):
		grow(in, counts, need)
	case !in.LowSince.IsZero() && in.Now.Sub(in.LowSince) >= shrinkDelay:
		shrink(in, counts, need)
	}
	var orders []Order
	for i, z := range in.Zones {
		expected := z.expected(in.Scaling.StartupTime, in.Now)
		switch {
		case counts[i] > expected:
			orders = append(orders, Order{z.Name, max(counts[i], min(z.RecentMax, in.Scaling.Max))})
		case counts[i] < expected:
			orders = append(orders, Order{z.Name, counts[i]})
		case need > total(counts) && z.Ordered > counts[i] && in.Now.Sub(z.OrderedAt) >= renewInterval:
			orders = append(orders, Order{z.Name, max(z.Ordered, min(z.RecentMax, in.Scaling.Max))})
		}
	}
	return orders
}

// grow raises counts until they add up to need or no zone has room. It adds to the cheapest zone
// below maxZoneFraction or, if there is none, to the cheapest zone with room; at equal prices to
// the one with the fewest replicas.
func grow(in Input, counts []int, need int) {
	maxPerZone := int(math.Ceil(maxZoneFraction * float64(need)))
	for total(counts) < need {
		best := -1
		better := func(i, j int) bool {
			if (counts[i] < maxPerZone) != (counts[j] < maxPerZone) {
				return counts[i] < maxPerZone
			}
			return cmp.Or(
				cmp.Compare(in.Scaling.PricePerSecond(in.Zones[j].Name), in.Scaling.PricePerSecond(in.Zones[i].Name)),
				cmp.Compare(counts[j], counts[i]),
			) > 0
		}
		for i := range counts {
			if counts[i] < in.Zones[i].maxReplicas(in) && (best < 0 || better(i, best)) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		counts[best]++
	}
}

// shrink lowers counts by one replica in each zone with no missing or starting replicas, the most
// expensive zone first, as long as the total exceeds need. No zone falls below the minimum of the
// scaling or below one replica.
func shrink(in Input, counts []int, need int) {
	order := make([]int, len(counts))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int {
		return cmp.Compare(in.Scaling.PricePerSecond(in.Zones[j].Name), in.Scaling.PricePerSecond(in.Zones[i].Name))
	})
	for _, i := range order {
		complete := in.Zones[i].RecentMax <= in.Zones[i].Present && counts[i] == in.Zones[i].Present
		if complete && counts[i] > max(in.Scaling.Min, 1) && total(counts) > need {
			counts[i]--
		}
	}
}

func total(counts []int) int {
	sum := 0
	for _, count := range counts {
		sum += count
	}
	return sum
}
