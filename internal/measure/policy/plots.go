package policy

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plots.go draws one bar chart for each measure: cases on the x axis, one bar for each policy.

const (
	plotWidth   = 34 * vg.Centimeter
	plotHeight  = 12 * vg.Centimeter
	barWidth    = 9
	permissions = 0o755
)

func plotAll(report Report, directory string) (err error) {
	defer func() { err = errors.WithMessage(err, "plot") }()
	if err := os.MkdirAll(directory, permissions); err != nil {
		return err
	}
	for _, m := range measures() {
		if err := plotMeasure(report, m, filepath.Join(directory, m.file+".png")); err != nil {
			return err
		}
	}
	return nil
}

func plotMeasure(report Report, m measure, file string) (err error) {
	p := plot.New()
	p.Title.Text = m.name
	p.Y.Min = 0
	p.Legend.Top = true
	var names []string
	for _, load := range Cases() {
		names = append(names, load.Name)
	}
	p.NominalX(names...)
	for i, v := range variants() {
		bars, err := plotter.NewBarChart(values(report, m, v.name), vg.Points(barWidth))
		if err != nil {
			return err
		}
		bars.LineStyle.Width = 0
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(barWidth) * vg.Length(i-len(variants())/2)
		p.Add(bars)
		p.Legend.Add(v.name, bars)
	}
	return p.Save(plotWidth, plotHeight, file)
}

func values(report Report, m measure, policy string) (list plotter.Values) {
	for _, load := range Cases() {
		list = append(list, m.value(report.find(load.Name, policy)))
	}
	return list
}
