package bench

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// print writes the report as text tables.
func (r *Report) print(out io.Writer) {
	fmt.Fprintf(out, "%s (seed %d, load %.1f on %d processors)\n  %s\n", r.Experiment, r.Seed, r.Load, r.CPUs, r.Command)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if len(r.Series) > 0 {
		fmt.Fprintln(table, "SERIES\tSLOPE\tINTERCEPT\tRESIDUAL\tR2\tUNIT\tPOINTS")
	}
	for _, series := range r.Series {
		fmt.Fprintf(table, "%s\t%.4g\t%.4g\t%.3g\t%.4f\t%s per %s\t%s\n",
			series.Name, series.Fit.Slope, series.Fit.Intercept, series.Fit.Residual, series.Fit.RSquared,
			series.Unit, series.Per, formatPoints(series.Points))
	}
	if len(r.Distributions) > 0 {
		fmt.Fprintln(table, "TIMES\tCOUNT\tMEAN\tP50\tP99\tMAX")
	}
	for _, d := range r.Distributions {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\n", d.Name, d.Count, d.Mean, d.P50, d.P99, d.Max)
	}
	if len(r.Values) > 0 {
		fmt.Fprintln(table, "VALUE\t\tUNIT")
	}
	for _, value := range r.Values {
		fmt.Fprintf(table, "%s\t%.4g\t%s\n", value.Name, value.Value, value.Unit)
	}
	_ = table.Flush()
}

func formatPoints(points []Point) string {
	text := ""
	for _, point := range points {
		text += fmt.Sprintf("%g:%.4g ", point.Size, point.Value)
	}
	return text
}
