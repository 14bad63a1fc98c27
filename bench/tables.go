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

// printTimes prints the times of the experiments that compare policies and decisions, for the page on capacity.
func printTimes(dir string, out io.Writer) error {
	for _, experiment := range []string{"policy", "decide"} {
		report, err := readReport(dir, experiment)
		if err != nil {
			return err
		}
		report.printTimes(out)
	}
	return nil
}

func (r *Report) printTimes(out io.Writer) {
	fmt.Fprintf(out, "\n| %s | mean | p50 | p99 | longest |\n|---|---|---|---|---|\n", r.Experiment)
	for _, d := range r.Distributions {
		fmt.Fprintf(out, "| %s | %s | %s | %s | %s |\n", d.Name, short(d.Mean), short(d.P50), short(d.P99), short(d.Max))
	}
	for _, value := range r.Values {
		if !strings.HasSuffix(value.Name, "refused") {
			fmt.Fprintf(out, "| %s | %.3g %s | | | |\n", value.Name, value.Value, value.Unit)
		}
	}
}

// short returns a time with three digits.
func short(d time.Duration) string {
	unit := time.Nanosecond
	for d/unit >= 1000 {
		unit *= 10
	}
	return d.Round(unit).String()
}
