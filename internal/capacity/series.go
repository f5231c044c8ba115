// Package capacity fits straight lines to measured costs and plots them for the
// capacity page, which states the size that the system is designed for.
package capacity

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Series is a cost measured at several sizes.
type Series struct {
	Name    string    // in kebab case; names the plot's file
	Command string    // command that takes the measurements
	Size    string    // unit of the size, in the plural
	Unit    string    // unit of the cost
	X       []float64 // sizes
	Y       []float64 // cost at each size
}

// Line is a fitted straight line.
type Line struct {
	Base  float64 // cost at size 0
	Slope float64 // cost per unit of size
	R2    float64 // coefficient of determination of the fit
}

// Fit returns the least-squares line through the measurements.
func (s *Series) Fit() Line {
	base, slope := stat.LinearRegression(s.X, s.Y, nil, false)
	return Line{Base: base, Slope: slope, R2: stat.RSquared(s.X, s.Y, nil, base, slope)}
}

// At returns the cost that the line predicts for a size.
func (l Line) At(x float64) float64 { return l.Base + l.Slope*x }

// Add appends the cost y, measured at size x.
func (s *Series) Add(x, y float64) {
	s.X = append(s.X, x)
	s.Y = append(s.Y, y)
}

const fieldsPerLine = 6

// Write writes the series as tab-separated lines, one per measurement.
func (s *Series) Write(w io.Writer) error {
	for i := range s.X {
		if _, err := fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%g\t%g\n", s.Name, s.Command, s.Size, s.Unit, s.X[i], s.Y[i]); err != nil {
			return err
		}
	}
	return nil
}

// Read reads series from tab-separated lines and returns them in the order of
// their first lines. Its errors give the number of a malformed line.
func Read(r io.Reader) ([]*Series, error) {
	var out []*Series
	byName := map[string]*Series{}
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		parts := strings.Split(lines.Text(), "\t")
		if len(parts) != fieldsPerLine {
			return nil, errors.Errorf("line %d: got %d tab-separated fields, want %d", n, len(parts), fieldsPerLine)
		}
		x, errX := strconv.ParseFloat(parts[4], 64)
		y, errY := strconv.ParseFloat(parts[5], 64)
		if errX != nil || errY != nil {
			return nil, errors.Errorf("line %d: size or cost is not a number", n)
		}
		s := byName[parts[0]]
		if s == nil {
			s = &Series{Name: parts[0], Command: parts[1], Size: parts[2], Unit: parts[3]}
			byName[parts[0]] = s
			out = append(out, s)
		}
		s.Add(x, y)
	}
	return out, lines.Err()
}

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// Plot writes the measurements and the fitted line to a file whose extension
// selects the format, such as .svg.
func (s *Series) Plot(file string) error {
	p := plot.New()
	p.Title.Text = s.Name
	p.X.Label.Text, p.Y.Label.Text = s.Size, s.Unit
	points := make(plotter.XYs, len(s.X))
	line := s.Fit()
	fitted := make(plotter.XYs, len(s.X))
	for i := range s.X {
		points[i] = plotter.XY{X: s.X[i], Y: s.Y[i]}
		fitted[i] = plotter.XY{X: s.X[i], Y: line.At(s.X[i])}
	}
	if err := plotutil.AddScatters(p, "measured", points); err != nil {
		return errors.Wrap(err, s.Name)
	}
	if err := plotutil.AddLines(p, "fitted", fitted); err != nil {
		return errors.Wrap(err, s.Name)
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), s.Name)
}

// Table writes the series and their fitted lines as a Markdown table.
func Table(w io.Writer, series []*Series) error {
	var b strings.Builder
	b.WriteString("| cost | measured at | figures | slope | at size 0 | R² | command |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, s := range series {
		l := s.Fit()
		fmt.Fprintf(&b, "| [%s](capacity/%s.svg), %s | %s %s | %s | %.4g per %s | %.4g | %.3f | `%s` |\n",
			s.Name, s.Name, s.Unit, join(s.X), s.Size, join(s.Y), l.Slope, strings.TrimSuffix(s.Size, "s"), l.Base, l.R2, s.Command)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func join(values []float64) string {
	out := make([]string, len(values))
	for i, v := range values {
		out[i] = strconv.FormatFloat(v, 'g', 4, 64)
	}
	return strings.Join(out, ", ")
}
