package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// targetDaemons is the users' size in two years.
const targetDaemons = 770

// series is one measured quantity over the number of daemons.
type series struct {
	name  string
	unit  string
	file  string
	value func(Row) float64
}

var measured = []series{
	{"CPU a daemon", "% of a core", "cpu", func(row Row) float64 { return row.CPUPercent }},
	{"heap and stacks a daemon", "MB", "heap", func(row Row) float64 { return row.HeapMB }},
	{"sent and received a daemon", "kB/s", "traffic", func(row Row) float64 { return row.SentKBps + row.ReceivedKBs }},
	{"change in force everywhere, median", "s", "spread", func(row Row) float64 { return row.SpreadP50 }},
	{"dead daemon known everywhere", "s", "dead", func(row Row) float64 { return row.DeadSeconds }},
	{"leaving daemon known everywhere", "s", "leave", func(row Row) float64 { return row.LeaveSeconds }},
	{"weights on all replicas", "s", "swap", func(row Row) float64 { return row.SwapSeconds }},
	{"epoch without a lost zone", "s", "zone", func(row Row) float64 { return row.ZoneSeconds }},
}

// PrintTable prints rows, with a heading if asked.
func PrintTable(output io.Writer, rows []Row, heading bool) {
	table := tabwriter.NewWriter(output, 7, 0, 2, ' ', tabwriter.AlignRight)
	if heading {
		_, _ = fmt.Fprintln(table, "daemons\treplicas\tzones\tcpu %\theap MB\tsent kB/s\trecv kB/s\tjoin s\tspread s\tmax s\tdead s\tleave s\tswap s\tzone s\t")
	}
	for _, row := range rows {
		_, _ = fmt.Fprintf(table, "%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n",
			row.Daemons, row.Replicas, row.Zones, row.CPUPercent, row.HeapMB, row.SentKBps, row.ReceivedKBs,
			row.JoinSeconds, row.SpreadP50, row.SpreadMax, row.DeadSeconds, row.LeaveSeconds, row.SwapSeconds, row.ZoneSeconds)
	}
	_ = table.Flush()
}

// Fit is a straight line through a series, against the number of daemons or
// its logarithm, whichever leaves the smaller residual.
type Fit struct {
	Logarithmic bool
	Intercept   float64
	Slope       float64
	// Residual is the root of the mean squared error.
	Residual float64
	AtTarget float64
}

// fit fits both forms and keeps the better one.
func fit(sizes, values []float64) Fit {
	straight := fitForm(sizes, values, false)
	logarithmic := fitForm(sizes, values, true)
	if logarithmic.Residual < straight.Residual {
		return logarithmic
	}
	return straight
}

func fitForm(sizes, values []float64, logarithmic bool) Fit {
	at := func(size float64) float64 {
		if logarithmic {
			return math.Log2(size)
		}
		return size
	}
	xs := make([]float64, len(sizes))
	for i, size := range sizes {
		xs[i] = at(size)
	}
	intercept, slope := stat.LinearRegression(xs, values, nil, false)
	squares := 0.0
	for i := range xs {
		difference := values[i] - (intercept + slope*xs[i])
		squares += difference * difference
	}
	return Fit{
		Logarithmic: logarithmic, Intercept: intercept, Slope: slope,
		Residual: math.Sqrt(squares / float64(len(xs))), AtTarget: intercept + slope*at(targetDaemons),
	}
}

func writeResults(options Options, rows []Row) error {
	if err := os.MkdirAll(options.Plots, 0o755); err != nil {
		return errors.Wrap(err, "scale: plots")
	}
	encoded, err := json.MarshalIndent(rows, "", "  ")
	if err != nil {
		return errors.Wrap(err, "scale: encode")
	}
	if err := os.WriteFile(filepath.Join(options.Plots, "scale.json"), append(encoded, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "scale: table")
	}
	if len(rows) < 3 {
		return nil
	}
	_, _ = fmt.Fprintf(options.Output, "\nfits, extrapolated to %d daemons:\n", targetDaemons)
	table := tabwriter.NewWriter(options.Output, 0, 0, 2, ' ', 0)
	for _, one := range measured {
		sizes, values := one.points(rows)
		if len(sizes) < 3 {
			continue
		}
		line := fit(sizes, values)
		form := "n"
		if line.Logarithmic {
			form = "log2 n"
		}
		_, _ = fmt.Fprintf(table, "%s\t%.3f %+.5f %s %s\tresidual %.3f\tat target %.2f %s\n", one.name, line.Intercept, line.Slope, form, one.unit, line.Residual, line.AtTarget, one.unit)
		if err := one.draw(options.Plots, sizes, values, line); err != nil {
			return err
		}
	}
	return table.Flush()
}

// points returns the sizes and values that were measured.
func (one series) points(rows []Row) (sizes, values []float64) {
	for _, row := range rows {
		if value := one.value(row); value >= 0 {
			sizes = append(sizes, float64(row.Daemons))
			values = append(values, value)
		}
	}
	return sizes, values
}

func (one series) draw(directory string, sizes, values []float64, line Fit) error {
	drawing := plot.New()
	drawing.Title.Text = one.name
	drawing.X.Label.Text = "daemons"
	drawing.Y.Label.Text = one.unit
	drawing.Y.Min = 0
	points := make(plotter.XYs, len(sizes))
	for i := range sizes {
		points[i] = plotter.XY{X: sizes[i], Y: values[i]}
	}
	fitted := make(plotter.XYs, 0, targetDaemons/10)
	for size := sizes[0]; size <= targetDaemons; size += 10 {
		x := size
		if line.Logarithmic {
			x = math.Log2(size)
		}
		fitted = append(fitted, plotter.XY{X: size, Y: line.Intercept + line.Slope*x})
	}
	if err := plotutil.AddLinePoints(drawing, "measured", points); err != nil {
		return errors.Wrap(err, "scale: plot")
	}
	if err := plotutil.AddLines(drawing, "fit, to the target", fitted); err != nil {
		return errors.Wrap(err, "scale: plot")
	}
	return errors.Wrap(drawing.Save(14*vg.Centimeter, 9*vg.Centimeter, filepath.Join(directory, one.file+".svg")), "scale: plot")
}
