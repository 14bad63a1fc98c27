package bench

// runningMean accumulates an arithmetic mean.
type runningMean struct {
	sum   float64
	count int
}

func (m *runningMean) add(x float64) {
	m.sum += x
	m.count++
}

func (m *runningMean) value() float64 {
	return m.sum / float64(max(m.count, 1))
}
