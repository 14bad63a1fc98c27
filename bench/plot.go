package bench

import (
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// plot writes an SVG file into dir for each series, with its points and the fitted line.
func (r *Report) plot(dir string) error {
	for _, series := range r.Series {
		name := r.Experiment + "-" + strings.ReplaceAll(series.Name, " ", "-") + ".svg"
		if err := series.plot(filepath.Join(dir, name)); err != nil {
			return err
		}
	}
	return nil
}

func (s Series) plot(path string) error {
	points := make(plotter.XYs, 0, len(s.Points))
	for _, point := range s.Points {
		points = append(points, plotter.XY{X: point.Size, Y: point.Value})
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	drawing := plot.New()
	drawing.Title.Text = s.Name
	drawing.X.Label.Text = s.Per
	drawing.Y.Label.Text = s.Unit
	drawing.Add(scatter, plotter.NewFunction(s.Fit.valueAt))
	return drawing.Save(plotWidth, plotHeight, path)
}
