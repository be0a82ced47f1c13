package measure

import (
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Result is what one run measured.
type Result struct {
	// IdleShare is the share of the time that the trainer waited.
	IdleShare float64
	// IdlePerBatch is the waiting for one batch's worth of samples, in seconds.
	IdlePerBatch float64
	Batches      int
	// Staleness is the mean and the 95th percentile at the moment that a batch
	// is taken, in versions.
	StaleMean float64
	StaleP95  float64
	// Discarded is how many samples were too stale when wanted, a batch.
	Discarded float64
	// Wasted is the share of generated tokens that were thrown away.
	Wasted float64
	// Service is samples delivered a minute: answered requests weighted by kind,
	// of which rollouts are the only kind that the strategies share capacity for.
	Service float64
	// Bound is the idle time a batch, in seconds, of an oracle that knows lengths
	// and has no hops.
	Bound float64

	taken        int
	discarded    int
	wastedTokens int
	usefulTokens int
	migrations   int
	idle         time.Duration
	boundIdle    time.Duration
	staleness    []float64
}

// simTime is the virtual length of a run; warmUp of it is not counted.
const (
	simTime = 20 * time.Minute
	warmUp  = 2 * time.Minute
)

// simulate runs a site under a strategy.
func simulate(one site, how strategy, seed uint64) Result {
	result := &Result{}
	floor := newFloor(one, how, seed, result)
	floor.clock.after(0, func() { floor.train(floor.ask()) })
	floor.clock.runUntil(simTime)
	counted := (simTime - warmUp).Seconds()
	result.IdleShare = result.idle.Seconds() / counted
	batches := max(result.Batches, 1)
	result.Bound = result.boundIdle.Seconds() / float64(batches)
	result.Discarded = float64(result.discarded) / float64(batches)
	result.Wasted = float64(result.wastedTokens) / float64(max(result.wastedTokens+result.usefulTokens, 1))
	result.Service = float64(result.taken) / (counted / 60)
	result.IdlePerBatch = result.idle.Seconds() / (float64(result.taken) / float64(one.prompts*one.perPrompt))
	result.StaleMean = stat.Mean(result.staleness, nil)
	result.StaleP95 = percentile(result.staleness, 0.95)
	return *result
}

// trainParts is how many parts a batch is trained in; each ends with new weights.
const trainParts = 4

// train takes a batch part by part, trains on each and publishes. The next
// batch is asked for when the last part of this one is taken, so that it is
// generated while the trainer is busy.
func (floor *simFloor) train(present *batch) {
	waitedFrom := floor.clock.now
	present.wanted = len(present.jobs) / trainParts
	present.ready = func(part []*job) {
		floor.clock.after(floor.site.oneWayUser, func() { floor.take(present, part, waitedFrom) })
	}
	floor.clock.after(0, present.check)
}

// take counts a part and trains on it.
func (floor *simFloor) take(present *batch, part []*job, waitedFrom time.Duration) {
	counted := floor.clock.now > warmUp
	if counted {
		floor.result.idle += floor.clock.now - max(waitedFrom, warmUp)
		for _, held := range part {
			floor.result.staleness = append(floor.result.staleness, float64(floor.trained-min(held.oldest, floor.trained)))
			floor.result.usefulTokens += held.length
		}
		floor.result.taken += len(part)
	}
	following := present
	if present.taken == len(present.jobs) {
		if counted {
			floor.result.Batches++
			floor.result.boundIdle += floor.oracleIdle(present)
		}
		following = floor.ask()
	}
	floor.clock.after(floor.site.trainTime/trainParts, func() {
		floor.trained++
		floor.announced = floor.trained
		floor.swapMore()
		floor.train(following)
	})
}

// oracleIdle is the least that a trainer could have waited for a batch: with
// every engine up, no hops and no prefill, all lengths known, the batch takes
// at least the time of its longest sample alone on an engine, and at least its
// tokens at the floor's full rate.
func (floor *simFloor) oracleIdle(taken *batch) time.Duration {
	longest, total := 0, 0
	for _, held := range taken.jobs {
		longest = max(longest, held.length)
		total += held.length
	}
	alone := time.Duration(longest) * (floor.site.baseStep + floor.site.streamStep)
	fullStep := floor.site.baseStep + time.Duration(floor.site.slots)*floor.site.streamStep
	perStep := floor.site.slots * floor.site.engines
	together := time.Duration(float64(total) / float64(perStep) * float64(fullStep))
	return max(max(alone, together)-floor.site.trainTime, 0)
}

// Options holds what a measurement may set.
type Options struct {
	Seeds  []uint64
	Output io.Writer
	Plots  string
}

// summary is a strategy's results over the seeds.
type summary struct {
	name    string
	results []Result
}

func (one summary) mean(value func(Result) float64) (mean, spread float64) {
	values := make([]float64, len(one.results))
	for i, result := range one.results {
		values[i] = value(result)
	}
	mean = stat.Mean(values, nil)
	if len(values) > 1 {
		spread = stat.StdDev(values, nil)
	}
	return mean, spread
}

// Run compares all strategies on both sites and prints a table for each.
func Run(options Options) error {
	for _, one := range []site{operatorSite(), qarmoudSite()} {
		var summaries []summary
		for _, how := range strategies() {
			held := summary{name: how.name}
			for _, seed := range options.Seeds {
				held.results = append(held.results, simulate(one, how, seed))
			}
			summaries = append(summaries, held)
		}
		printTable(options.Output, one, summaries)
		if err := draw(options.Plots, one, summaries); err != nil {
			return err
		}
	}
	return nil
}

func printTable(output io.Writer, one site, summaries []summary) {
	_, _ = fmt.Fprintf(output, "\n%s: %d engines, staleness bound %d, %d samples a batch, %s virtual, mean ± deviation over %d seeds\n",
		one.name, one.engines, one.bound, one.prompts*one.perPrompt, simTime, len(summaries[0].results))
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "strategy\tidle s/batch\tidle %\tstaleness\tp95\tdiscarded/batch\ttokens wasted %\tsamples/min\tmoved")
	for _, held := range summaries {
		perBatch, perBatchSpread := held.mean(func(result Result) float64 { return result.IdlePerBatch })
		idle, _ := held.mean(func(result Result) float64 { return 100 * result.IdleShare })
		stale, _ := held.mean(func(result Result) float64 { return result.StaleMean })
		p95, _ := held.mean(func(result Result) float64 { return result.StaleP95 })
		discarded, discardedSpread := held.mean(func(result Result) float64 { return result.Discarded })
		wasted, _ := held.mean(func(result Result) float64 { return 100 * result.Wasted })
		service, _ := held.mean(func(result Result) float64 { return result.Service })
		moved, _ := held.mean(func(result Result) float64 { return float64(result.migrations) })
		_, _ = fmt.Fprintf(table, "%s\t%.1f ± %.1f\t%.1f\t%.2f\t%.1f\t%.2f ± %.2f\t%.1f\t%.0f\t%.0f\n", held.name, perBatch, perBatchSpread, idle, stale, p95, discarded, discardedSpread, wasted, service, moved)
	}
	_ = table.Flush()
	least, full := summaries[1], summaries[2]
	ratio := func(value func(Result) float64) float64 {
		base, _ := least.mean(value)
		own, _ := full.mean(value)
		return own / math.Max(base, 1e-9)
	}
	bound, _ := full.mean(func(result Result) float64 { return result.Bound })
	_, _ = fmt.Fprintf(output, "ours against least outstanding: idle a batch %.0f %%, discarded %.0f %%, service %.0f %%; oracle's idle %.1f s a batch\n",
		100*ratio(func(result Result) float64 { return result.IdlePerBatch }),
		100*ratio(func(result Result) float64 { return result.Discarded }),
		100*ratio(func(result Result) float64 { return result.Service }), bound)
}

// draw plots the idle share a strategy.
func draw(directory string, one site, summaries []summary) error {
	if directory == "" {
		return nil
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return errors.Wrap(err, "measure: plots")
	}
	drawing := plot.New()
	drawing.Title.Text = "trainer idle time a batch, " + one.name
	drawing.Y.Label.Text = "s"
	drawing.Y.Min = 0
	values := make(plotter.Values, len(summaries))
	names := make([]string, len(summaries))
	for i, held := range summaries {
		values[i], _ = held.mean(func(result Result) float64 { return result.IdlePerBatch })
		names[i] = held.name
	}
	bars, err := plotter.NewBarChart(values, vg.Points(18))
	if err != nil {
		return errors.Wrap(err, "measure: plot")
	}
	drawing.Add(bars)
	drawing.NominalX(names...)
	drawing.X.Tick.Label.Rotation = math.Pi / 5
	drawing.X.Tick.Label.XAlign = -0.9
	drawing.X.Tick.Label.YAlign = 0.5
	return errors.Wrap(drawing.Save(22*vg.Centimeter, 11*vg.Centimeter, filepath.Join(directory, "idle-"+one.name+".svg")), "measure: plot")
}
