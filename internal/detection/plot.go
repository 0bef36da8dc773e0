package main

import (
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// plotCurves writes the trade-off as SVG. Thresholds at which a tenth or more
// of the sick targets is missed have no p90 and are left out.
func plotCurves(file string, curves []curve) error {
	p := plot.New()
	p.Title.Text = "Detection time against false ejections"
	p.X.Label.Text = "p90 detection time, ms (failed, slow8, slow3, stall15)"
	p.Y.Label.Text = "false ejections per 100 target-hours + 0.1"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	var lines []any
	for _, c := range curves {
		lines = append(lines, c.name, c.points2d())
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if _, err := canvas.WriteTo(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

// logOffset makes a rate of zero visible on the logarithmic axis.
const logOffset = 0.1

func (c curve) points2d() plotter.XYs {
	var out plotter.XYs
	for _, p := range c.points {
		if p.p90 >= 0 {
			out = append(out, plotter.XY{X: p.p90, Y: p.falseRate + logOffset})
		}
	}
	return out
}
