package experiment

import (
	"cmp"
	"errors"
	"image/color"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"tallyproxy/internal/fakes"
)

// plotPanel is one of several plots that are drawn below each other.
type plotPanel struct {
	title  string
	yLabel string
	xLabel string    // empty: time in seconds
	x      []float64 // of the points; nil: multiples of fakes.SeriesInterval
	lines  []plotLine
}

// plotLine is one line of a panel.
type plotLine struct {
	name   string
	color  color.Color
	points []float64
}

var (
	blue  = color.RGBA{R: 40, G: 90, B: 170, A: 255}
	red   = color.RGBA{R: 190, G: 50, B: 40, A: 255}
	green = color.RGBA{R: 40, G: 130, B: 70, A: 255}
)

const (
	plotWidth   = 18 * vg.Centimeter
	panelHeight = 7 * vg.Centimeter
)

// ratePerSecond converts counts per fakes.SeriesInterval to rates per second.
func ratePerSecond(counts []int) []float64 {
	rates := make([]float64, len(counts))
	for i, n := range counts {
		rates[i] = float64(n) / fakes.SeriesInterval.Seconds()
	}
	return rates
}

// DrawStorm writes a PNG of attempts, advised retries and load over time.
func DrawStorm(path string, result StormResult) error {
	series := result.Series
	return drawPanels(path, []plotPanel{
		{title: "attempts and advised retries", yLabel: "per second", lines: []plotLine{
			{"attempts", blue, ratePerSecond(series.Attempts)},
			{"advised retries", red, ratePerSecond(series.RetryAfter)},
			{"succeeded", green, ratePerSecond(series.Succeeded)},
		}},
		{title: "peak load of any cache node so far, relative to its overload threshold", yLabel: "load", lines: []plotLine{{"load", red, series.Load}}},
	})
}

// DrawCores writes a PNG of rate and latency over the number of cores.
func DrawCores(path string, result CoresResult) error {
	var cores, rate, p50, p99 []float64
	for _, run := range result.Runs {
		cores, rate = append(cores, float64(run.Cores)), append(rate, run.Rate)
		p50, p99 = append(p50, run.P50), append(p99, run.P99)
	}
	return drawPanels(path, []plotPanel{
		{title: "successful requests, " + result.Division, yLabel: "per second", xLabel: "cores", x: cores, lines: []plotLine{{"rate", blue, rate}}},
		{title: "latency", yLabel: "ms", xLabel: "cores", x: cores, lines: []plotLine{{"p50", green, p50}, {"p99", red, p99}}},
	})
}

// drawPanels writes a PNG of panels below each other.
func drawPanels(path string, panels []plotPanel) error {
	plots := make([][]*plot.Plot, len(panels))
	for i, panel := range panels {
		p, err := panel.plot()
		if err != nil {
			return err
		}
		plots[i] = []*plot.Plot{p}
	}
	canvas := vgimg.New(plotWidth, vg.Length(len(panels))*panelHeight)
	tiles := draw.Tiles{Rows: len(panels), Cols: 1, PadY: 4 * vg.Millimeter, PadX: 2 * vg.Millimeter}
	for i, row := range plot.Align(plots, tiles, draw.New(canvas)) {
		plots[i][0].Draw(row[0])
	}
	return writePNG(path, canvas)
}

func (panel plotPanel) plot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = panel.title, cmp.Or(panel.xLabel, "seconds"), panel.yLabel
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for _, line := range panel.lines {
		drawn, err := plotter.NewLine(panel.coordinates(line.points))
		if err != nil {
			return nil, err
		}
		drawn.Color = line.color
		p.Add(drawn)
		p.Legend.Add(line.name, drawn)
	}
	return p, nil
}

func (panel plotPanel) coordinates(points []float64) plotter.XYs {
	xy := make(plotter.XYs, len(points))
	for i, y := range points {
		xy[i].X, xy[i].Y = float64(i)*fakes.SeriesInterval.Seconds(), y
		if panel.x != nil {
			xy[i].X = panel.x[i]
		}
	}
	return xy
}

func writePNG(path string, canvas *vgimg.Canvas) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	_, err = (vgimg.PngCanvas{Canvas: canvas}).WriteTo(f)
	return errors.Join(err, f.Close())
}
