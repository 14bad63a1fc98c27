package bench

import (
	"encoding/json"
	"os"
	"path/filepath"
)

// Report holds all results of one experiment and how to reproduce them.
type Report struct {
	Experiment    string         `json:"experiment"`
	Command       string         `json:"command"` // The command line that reproduces the experiment.
	Seed          uint64         `json:"seed"`
	Go            string         `json:"go"`
	CPUs          int            `json:"cpus"`
	Load          float64        `json:"load"` // The machine's load average when the experiment ended.
	Series        []Series       `json:"series,omitempty"`
	Distributions []Distribution `json:"distributions,omitempty"`
	Values        []Value        `json:"values,omitempty"`
}

// Series is one quantity measured at several sizes, and the line fitted to it.
type Series struct {
	Name   string  `json:"name"`
	Unit   string  `json:"unit"` // Unit of the values.
	Per    string  `json:"per"`  // What the size counts.
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
}

// Point is the value measured at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Value is a quantity measured at one size only.
type Value struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

func (r *Report) addSeries(name, unit, per string, points []Point) {
	r.Series = append(r.Series, Series{Name: name, Unit: unit, Per: per, Points: points, Fit: fitLine(points)})
}

func (r *Report) addValue(name string, value float64, unit string) {
	r.Values = append(r.Values, Value{Name: name, Value: value, Unit: unit})
}

// save writes the report to dir as a JSON file named after the experiment.
func (r *Report) save(dir string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, r.Experiment+".json"), append(text, '\n'), 0o644)
}
