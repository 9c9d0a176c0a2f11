package losses

import (
	"fmt"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/brewer"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Dimensions of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	// barFraction is the fraction of a window's width that its bar takes.
	barFraction = 0.8
	// maxLabels is the maximum number of time labels on the x axis.
	maxLabels = 12
	// paletteSize is the number of colours; with more causes the colours repeat.
	paletteSize = 12
)

// Plot draws a table as stacked bars, one colour for each cause, into the file at path. The extension selects
// the format: svg, png or pdf.
func Plot(t *Table, path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("requests lost or late, by %v in which they came", t.Window)
	p.Y.Label.Text = "requests"
	p.Legend.Top = true
	if err := addBars(p, t); err != nil {
		return err
	}
	p.X.Tick.Marker = plot.ConstantTicks(t.ticks())
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("saving the plot: %w", err)
	}
	return nil
}

// addBars adds the bars of each cause, stacked on those of the cause before.
func addBars(p *plot.Plot, t *Table) error {
	palette, err := brewer.GetPalette(brewer.TypeQualitative, "Paired", paletteSize)
	if err != nil {
		return fmt.Errorf("loading the colour palette: %w", err)
	}
	colours := palette.Colors()
	width := barFraction * plotWidth / vg.Length(len(t.Counts)+1)
	var previous *plotter.BarChart
	for c, cause := range t.Causes {
		values := make(plotter.Values, len(t.Counts))
		for i, row := range t.Counts {
			values[i] = float64(row[c])
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return fmt.Errorf("drawing the bars of %q: %w", cause, err)
		}
		bars.Color = colours[c%len(colours)]
		bars.LineStyle.Width = 0
		if previous != nil {
			bars.StackOn(previous)
		}
		previous = bars
		p.Add(bars)
		p.Legend.Add(cause, bars)
	}
	return nil
}

// ticks returns the labels of the x axis, each with the time at which its window begins.
func (t *Table) ticks() []plot.Tick {
	step := len(t.Counts)/maxLabels + 1
	var ticks []plot.Tick
	for i := 0; i < len(t.Counts); i += step {
		at := t.Start.Add(time.Duration(i) * t.Window)
		ticks = append(ticks, plot.Tick{Value: float64(i), Label: at.Format(time.TimeOnly)})
	}
	return ticks
}
