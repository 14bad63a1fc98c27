package bench

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestFitLine(t *testing.T) {
	for _, test := range []struct {
		name     string
		points   []Point
		slope    float64
		at100    float64
		residual float64
	}{
		{"exact", []Point{{1, 5}, {2, 7}, {3, 9}, {4, 11}}, 2, 203, 0},
		{"flat", []Point{{1, 5}, {2, 5}, {3, 5}, {4, 5}}, 0, 5, 0},
		{"scattered", []Point{{0, 1}, {1, -1}, {2, -1}, {3, 1}}, 0, 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fit := fitLine(test.points)
			is.True(math.Abs(fit.Slope-test.slope) < 1e-9)
			is.True(math.Abs(fit.valueAt(100)-test.at100) < 1e-9)
			is.True(math.Abs(fit.Residual-test.residual) < 1e-9)
			is.True(fit.RSquared >= 0 && fit.RSquared <= 1)
		})
	}
}

func TestFormatDuration(t *testing.T) {
	for d, want := range map[time.Duration]string{
		1_234 * time.Nanosecond:      "1.23µs",
		61_049 * time.Microsecond:    "61ms",
		4_018_765 * time.Microsecond: "4.02s",
		312 * time.Second:            "5m12s",
	} {
		is.New(t).Equal(formatDuration(d), want)
	}
}
