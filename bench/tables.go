package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// readReport reads the report of an experiment from dir.
func readReport(dir, experiment string) (*Report, error) {
	text, err := os.ReadFile(filepath.Join(dir, experiment+".json"))
	if err != nil {
		return nil, err
	}
	report := &Report{}
	return report, json.Unmarshal(text, report)
}

// printTimeTables prints the results of the policy and decide experiments as Markdown tables for the
// capacity page.
func printTimeTables(dir string, out io.Writer) error {
	for _, experiment := range []string{"policy", "decide"} {
		report, err := readReport(dir, experiment)
		if err != nil {
			return err
		}
		report.printTimeTable(out)
	}
	return nil
}

func (r *Report) printTimeTable(out io.Writer) {
	fmt.Fprintf(out, "\n| %s | mean | p50 | p99 | longest |\n|---|---|---|---|---|\n", r.Experiment)
	for _, d := range r.Distributions {
		fmt.Fprintf(out, "| %s | %s | %s | %s | %s |\n", d.Name, formatDuration(d.Mean), formatDuration(d.P50), formatDuration(d.P99), formatDuration(d.Max))
	}
	for _, value := range r.Values {
		if !strings.HasSuffix(value.Name, "refused") {
			fmt.Fprintf(out, "| %s | %.3g %s | | | |\n", value.Name, value.Value, value.Unit)
		}
	}
}

// formatDuration returns d rounded to three significant digits.
func formatDuration(d time.Duration) string {
	unit := time.Nanosecond
	for d/unit >= 1000 {
		unit *= 10
	}
	return d.Round(unit).String()
}
