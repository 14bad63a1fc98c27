package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMax               = int64(24 * time.Hour)
	histogramSignificantDigits = 3
)

// Distribution summarizes measured times.
type Distribution struct {
	Name  string        `json:"name"`
	Count int64         `json:"count"`
	Mean  time.Duration `json:"mean-ns"`
	P50   time.Duration `json:"p50-ns"`
	P99   time.Duration `json:"p99-ns"`
	Max   time.Duration `json:"max-ns"`
}

// histogram records times with three significant digits.
type histogram struct {
	hdr *hdrhistogram.Histogram
}

func newHistogram() histogram {
	return histogram{hdr: hdrhistogram.New(1, histogramMax, histogramSignificantDigits)}
}

func (h histogram) record(d time.Duration) {
	_ = h.hdr.RecordValue(min(max(int64(d), 1), histogramMax)) // The value is clamped to the histogram's range.
}

func (h histogram) distribution(name string) Distribution {
	return Distribution{
		Name:  name,
		Count: h.hdr.TotalCount(),
		Mean:  time.Duration(h.hdr.Mean()),
		P50:   time.Duration(h.hdr.ValueAtQuantile(50)),
		P99:   time.Duration(h.hdr.ValueAtQuantile(99)),
		Max:   time.Duration(h.hdr.Max()),
	}
}
