package experiment

import (
	"cmp"
	"image/color"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"tallyproxy/internal/fakes"
)

// plotLine is one of a plot's.
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

func ratePerSecond(series []int) []float64 {
	out := make([]float64, len(series))
	for i, n := range series {
		out[i] = float64(n) / fakes.SeriesInterval.Seconds()
	}
	return out
}

// DrawStorm draws demand and advice over load, as PNG.
func DrawStorm(path string, r StormResult) error {
	return drawPanels(path, []plotPanel{
		{title: "downloads and advice", y: "a second", lines: []plotLine{
			{"asked", blue, ratePerSecond(r.Series.Attempts)}, {"told to come", red, ratePerSecond(r.Series.RetryAfter)},
			{"fulfilled", green, ratePerSecond(r.Series.Succeeded)},
		}},
		{title: "worst box so far, over what pushes it over", y: "load", lines: []plotLine{{"load", red, r.Series.Load}}},
	})
}

// DrawCores draws rate and latency over the number of cores, as PNG.
func DrawCores(path string, r CoresResult) error {
	var cores, rate, p50, p99 []float64
	for _, x := range r.Runs {
		cores, rate = append(cores, float64(x.Cores)), append(rate, x.Rate)
		p50, p99 = append(p50, x.P50), append(p99, x.P99)
	}
	return drawPanels(path, []plotPanel{
		{title: "downloads fulfilled, " + r.Division, y: "a second", x: "cores", at: cores, lines: []plotLine{{"rate", blue, rate}}},
		{title: "latency", y: "ms", x: "cores", at: cores, lines: []plotLine{{"p50", green, p50}, {"p99", red, p99}}},
	})
}

type plotPanel struct {
	title, y string
	lines    []plotLine
	x        string    // with nothing said, the time in seconds,
	at       []float64 // by bucket
}

// drawPanels draws plots one under the other.
func drawPanels(path string, panels []plotPanel) error {
	plots := make([][]*plot.Plot, len(panels))
	for i, of := range panels {
		p := plot.New()
		p.Title.Text, p.X.Label.Text, p.Y.Label.Text, p.Y.Min = of.title, cmp.Or(of.x, "seconds"), of.y, 0
		p.Legend.Top = true
		p.Add(plotter.NewGrid())
		for _, l := range of.lines {
			xy := make(plotter.XYs, len(l.points))
			for j, v := range l.points {
				if xy[j].X, xy[j].Y = float64(j)*fakes.SeriesInterval.Seconds(), v; of.at != nil {
					xy[j].X = of.at[j]
				}
			}
			drawn, err := plotter.NewLine(xy)
			if err != nil {
				return err
			}
			drawn.Color = l.color
			p.Add(drawn)
			p.Legend.Add(l.name, drawn)
		}
		plots[i] = []*plot.Plot{p}
	}
	canvas := vgimg.New(18*vg.Centimeter, vg.Length(len(panels))*7*vg.Centimeter)
	tiles := draw.Tiles{Rows: len(panels), Cols: 1, PadY: 4 * vg.Millimeter, PadX: 2 * vg.Millimeter}
	for i, row := range plot.Align(plots, tiles, draw.New(canvas)) {
		plots[i][0].Draw(row[0])
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := (vgimg.PngCanvas{Canvas: canvas}).WriteTo(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
