package main

import (
	"fmt"
	"io"
	"path/filepath"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"daisyyoke/core/daisyerror"
)

// quantity describes what is measured, at which sizes, and the function that measures it.
type quantity struct {
	name string
	// parameter is what sizes counts, unit the unit of the measured values.
	parameter, unit string
	sizes           []int
	// target is the size expected in two years.
	target    int
	measureAt func(size int) float64
}

// series is the measured values of a quantity and the line fitted to them.
type series struct {
	quantity
	x, y []float64
	// alpha and beta define the fitted line alpha + beta*x; r2 is its coefficient of
	// determination.
	alpha, beta, r2 float64
}

func (m quantity) measure() *series {
	s := &series{quantity: m}
	for _, n := range m.sizes {
		s.x = append(s.x, float64(n))
		s.y = append(s.y, m.measureAt(n))
	}
	s.alpha, s.beta = stat.LinearRegression(s.x, s.y, nil, false)
	s.r2 = stat.RSquared(s.x, s.y, nil, s.alpha, s.beta)
	return s
}

func (s *series) atTarget() float64 { return s.alpha + s.beta*float64(s.target) }

func (s *series) write(w io.Writer) {
	fmt.Fprintf(w, "\n## %s\n\n| %s | %s |\n|---|---|\n", s.name, s.parameter, s.unit)
	for i := range s.x {
		fmt.Fprintf(w, "| %.0f | %.4g |\n", s.x[i], s.y[i])
	}
	fmt.Fprintf(w, "\nFit: %.4g + %.4g for each of %s (r² %.3f). At %d: %.4g %s.\n\n![%s](%s)\n",
		s.alpha, s.beta, s.parameter, s.r2, s.target, s.atTarget(), s.unit, s.name, s.fileName())
}

func (s *series) fileName() string {
	name := []byte("capacity-" + s.name + ".svg")
	for i, c := range name {
		if c == ' ' {
			name[i] = '-'
		}
	}
	return string(name)
}

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

func (s *series) plot(folder string) error {
	p := plot.New()
	p.Title.Text = s.name
	p.X.Label.Text = s.parameter
	p.Y.Label.Text = s.unit
	points := make(plotter.XYs, len(s.x))
	for i := range s.x {
		points[i] = plotter.XY{X: s.x[i], Y: s.y[i]}
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return daisyerror.Internal.Wrap(err, "plotting %s", s.name)
	}
	line := plotter.NewFunction(func(x float64) float64 { return s.alpha + s.beta*x })
	p.Add(dots, line)
	p.X.Min, p.Y.Min = 0, 0
	if err := p.Save(plotWidth, plotHeight, filepath.Join(folder, s.fileName())); err != nil {
		return daisyerror.Unavailable.Wrap(err, "plotting %s", s.name)
	}
	return nil
}

// median returns the median of values, which it sorts in place.
func median(values []float64) float64 {
	slices.Sort(values)
	return stat.Quantile(0.5, stat.Empirical, values, nil)
}
