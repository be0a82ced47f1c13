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
	// targetFraction is the part of a batch's deadline in which its items should have run
	// if all were there at once: the rest is left for the longest texts, for changes of
	// weights and for replicas that falter. A smaller part asks for more engines than can
	// be kept at the newest weights.
	targetFraction = 0.3
	// maxZoneFraction bounds the part of the replicas that may be in one zone, as far as the
	// others can take more: the loss of a zone must leave about a half.
	maxZoneFraction = 0.5
	// bootMargin is added to the time that a replica takes to start before one that was
	// ordered counts as missing.
	bootMargin = 2 * time.Second
	// renewInterval is the time between two orders for replicas that are missing.
	renewInterval = 10 * time.Second
	// shrinkFraction is the part of the replicas that the need must stay below for
	// shrinkAfter before replicas are given back, one a zone at a time: a replica that is
	// missed costs late batches, one too many only its price.
	shrinkFraction = 0.75
	shrinkDelay    = time.Minute
)

// Zone is what is known of a service's replicas in one zone.
type Zone struct {
	Name string
	// Present is how many replicas are listed and not leaving.
	Present int
	// RecentMax is how many were listed at most of late. Those that are missing may live, so
	// that an order for fewer could end them.
	RecentMax int
	// Ordered is how many were ordered last, 0 if none ever were, and OrderedAt when, or
	// when that was first seen, by the clock of Input.Now.
	Ordered   int
	OrderedAt time.Time
}

// String is the zone in logs: present and ordered replicas.
func (z Zone) String() string { return fmt.Sprintf("%s:%d/%d", z.Name, z.Present, z.Ordered) }

// booting reports whether replicas that were ordered may still come up.
func (z Zone) booting(boot time.Duration, now time.Time) bool {
	return now.Sub(z.OrderedAt) < boot+bootMargin
}

// expected is how many replicas there are or will be soon.
func (z Zone) expected(boot time.Duration, now time.Time) int {
	if z.booting(boot, now) {
		return max(z.Present, z.Ordered)
	}
	return z.Present
}

// maxReplicas is how many replicas the zone can be relied on for: one that has not brought up
// what was ordered is left as it is.
func (z Zone) maxReplicas(in Input) int {
	if z.Ordered > z.Present && !z.booting(in.Scaling.Boot, in.Now) {
		return z.Present
	}
	return in.Scaling.Max
}

// Load is what one model's batches ask of the replicas.
type Load struct {
	// Items is how many items a batch has, ItemTime how long one takes a slot.
	Items    int
	ItemTime time.Duration
	// Deadline is within which a batch's results are due.
	Deadline time.Duration
}

// String is the load in logs.
func (l Load) String() string { return fmt.Sprintf("%dx%v/%v", l.Items, l.ItemTime, l.Deadline) }

// Input is all that a plan depends on.
type Input struct {
	Scaling route.Scaling
	// Slots is how many items a replica runs at once.
	Slots int
	Zones []Zone
	Loads []Load
	// LowSince is since when the need has been below shrinkBelow of the replicas, zero
	// if it is not.
	LowSince time.Time
	Now      time.Time
}

// Order asks for a number of replicas in a zone.
type Order struct {
	Zone    string
	Desired int
}

// Need returns how many replicas the loads ask for: enough slots for the items of all
// models' batches to run within the target part of their deadlines.
func Need(in Input) int {
	slots := 0.0
	for _, load := range in.Loads {
		if load.Deadline > 0 {
			slots += float64(load.Items) * load.ItemTime.Seconds() / (targetFraction * load.Deadline.Seconds())
		}
	}
	return int(math.Ceil(slots / float64(max(in.Slots, 1))))
}

// NeedIsLow reports whether the need is so low that replicas could be given back.
func NeedIsLow(in Input) bool {
	present := 0
	for _, z := range in.Zones {
		present += z.Present
	}
	return float64(Need(in)) < shrinkFraction*float64(present)
}

// Plan returns the orders to make now. Without loads, which may only mean that nothing is
// known yet, it orders nothing.
//
// Invariants: an order is within the bounds of the scaling; nothing is given back, be it by
// an order that counts too few, unless the need has been low for shrinkAfter; what is
// there or ordered is not ordered again.
func Plan(in Input) []Order {
	counts := make([]int, len(in.Zones))
	for i, z := range in.Zones {
		counts[i] = z.expected(in.Scaling.Boot, in.Now)
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
		expected := z.expected(in.Scaling.Boot, in.Now)
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

// grow adds replicas until there are as many as needed: to the cheapest zone that has not
// more than its part, or, where all have, to the one with the fewest.
func grow(in Input, counts []int, need int) {
	most := int(math.Ceil(maxZoneFraction * float64(need)))
	for total(counts) < need {
		best := -1
		better := func(i, j int) bool {
			if (counts[i] < most) != (counts[j] < most) {
				return counts[i] < most
			}
			return cmp.Or(
				cmp.Compare(in.Scaling.Price(in.Zones[j].Name), in.Scaling.Price(in.Zones[i].Name)),
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

// shrink takes one replica from each zone of which all is there, the dearest first, as
// long as the rest is enough.
func shrink(in Input, counts []int, need int) {
	order := make([]int, len(counts))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int {
		return cmp.Compare(in.Scaling.Price(in.Zones[j].Name), in.Scaling.Price(in.Zones[i].Name))
	})
	for _, i := range order {
		whole := in.Zones[i].RecentMax <= in.Zones[i].Present && counts[i] == in.Zones[i].Present
		if whole && counts[i] > max(in.Scaling.Min, 1) && total(counts) > need {
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
