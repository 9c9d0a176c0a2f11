package losses

import (
	"fmt"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/brewer"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	// barPart is the part of a window's width that its bar takes.
	barPart = 0.8
	// mostLabels is how many windows have a label below their bars.
	mostLabels = 12
	// mostColours is how many causes have colours of their own.
	mostColours = 12
)

// Plot draws a table as stacked bars, a colour a cause, into a file; the ending of
// its name says whether as svg, png or pdf.
func Plot(t *Table, path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("requests lost or late, by %v in which they came", t.Window)
	p.Y.Label.Text = "requests"
	p.Legend.Top = true
	if err := stack(p, t); err != nil {
		return err
	}
	p.X.Tick.Marker = plot.ConstantTicks(t.ticks())
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("saving the plot: %w", err)
	}
	return nil
}

// stack adds the bars of each cause upon those of the one before.
func stack(p *plot.Plot, t *Table) error {
	palette, err := brewer.GetPalette(brewer.TypeQualitative, "Paired", mostColours)
	if err != nil {
		return fmt.Errorf("colours: %w", err)
	}
	colours := palette.Colors()
	width := barPart * plotWidth / vg.Length(len(t.Counts)+1)
	var below *plotter.BarChart
	for c, cause := range t.Causes {
		values := make(plotter.Values, len(t.Counts))
		for i, row := range t.Counts {
			values[i] = float64(row[c])
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return fmt.Errorf("bars of %q: %w", cause, err)
		}
		bars.Color = colours[c%len(colours)]
		bars.LineStyle.Width = 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(cause, bars)
	}
	return nil
}

func (t *Table) ticks() []plot.Tick {
	step := len(t.Counts)/mostLabels + 1
	var ticks []plot.Tick
	for i := 0; i < len(t.Counts); i += step {
		at := t.Began.Add(time.Duration(i) * t.Window)
		ticks = append(ticks, plot.Tick{Value: float64(i), Label: at.Format(time.TimeOnly)})
	}
	return ticks
}
