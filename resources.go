package cyclamendyke

// MilliCores counts processor capacity in thousandths of a core.
type MilliCores int64

// MiB counts memory in mebibytes.
type MiB int64

// Resources is a vector with one component for each resource that a worker can run out of.
type Resources struct {
	Cores        MilliCores `json:"milli-cores"`
	Memory       MiB        `json:"memory-mib"`
	Accelerators int64      `json:"accelerators,omitempty"`
	Slots        int64      `json:"slots,omitempty"`
	Connections  int64      `json:"connections,omitempty"`
}

// Add returns the component-wise sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		Cores:        r.Cores + o.Cores,
		Memory:       r.Memory + o.Memory,
		Accelerators: r.Accelerators + o.Accelerators,
		Slots:        r.Slots + o.Slots,
		Connections:  r.Connections + o.Connections,
	}
}

// Sub returns the component-wise difference, which may be negative.
func (r Resources) Sub(o Resources) Resources {
	return r.Add(o.Scale(-1))
}

// Scale returns the vector multiplied by n.
func (r Resources) Scale(n int64) Resources {
	return Resources{
		Cores:        r.Cores * MilliCores(n),
		Memory:       r.Memory * MiB(n),
		Accelerators: r.Accelerators * n,
		Slots:        r.Slots * n,
		Connections:  r.Connections * n,
	}
}

// Min returns the component-wise minimum.
func (r Resources) Min(o Resources) Resources {
	return Resources{
		Cores:        min(r.Cores, o.Cores),
		Memory:       min(r.Memory, o.Memory),
		Accelerators: min(r.Accelerators, o.Accelerators),
		Slots:        min(r.Slots, o.Slots),
		Connections:  min(r.Connections, o.Connections),
	}
}

// Max returns the component-wise maximum.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		Cores:        max(r.Cores, o.Cores),
		Memory:       max(r.Memory, o.Memory),
		Accelerators: max(r.Accelerators, o.Accelerators),
		Slots:        max(r.Slots, o.Slots),
		Connections:  max(r.Connections, o.Connections),
	}
}

// FitsIn reports whether no component of r exceeds that of o.
func (r Resources) FitsIn(o Resources) bool {
	return r.Cores <= o.Cores &&
		r.Memory <= o.Memory &&
		r.Accelerators <= o.Accelerators &&
		r.Slots <= o.Slots &&
		r.Connections <= o.Connections
}

// IsZero reports whether every component is zero.
func (r Resources) IsZero() bool {
	return r == Resources{}
}

// IsNegative reports whether any component is below zero.
func (r Resources) IsNegative() bool {
	return r.Cores < 0 || r.Memory < 0 || r.Accelerators < 0 || r.Slots < 0 || r.Connections < 0
}

// DominantShare returns the largest fraction that r takes of any non-zero component of total.
func (r Resources) DominantShare(total Resources) float64 {
	share := 0.0
	for _, pair := range [...][2]int64{
		{int64(r.Cores), int64(total.Cores)},
		{int64(r.Memory), int64(total.Memory)},
		{r.Accelerators, total.Accelerators},
		{r.Slots, total.Slots},
		{r.Connections, total.Connections},
	} {
		if pair[1] > 0 {
			share = max(share, float64(pair[0])/float64(pair[1]))
		}
	}
	return share
}
