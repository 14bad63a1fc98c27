package quota

import "cyclamendyke"

// componentCount is the number of components of cyclamendyke.Resources.
const componentCount = 5

// vector holds the components of cyclamendyke.Resources in the order of its fields, which ledgers depend on.
type vector [componentCount]int64

func toVector(r cyclamendyke.Resources) vector {
	return vector{int64(r.Cores), int64(r.Memory), r.Accelerators, r.Slots, r.Connections}
}

func (v vector) resources() cyclamendyke.Resources {
	return cyclamendyke.Resources{
		Cores:        cyclamendyke.MilliCores(v[0]),
		Memory:       cyclamendyke.MiB(v[1]),
		Accelerators: v[2],
		Slots:        v[3],
		Connections:  v[4],
	}
}

func encodeVector(r cyclamendyke.Resources) []int64 {
	v := toVector(r)
	length := componentCount
	for length > 0 && v[length-1] == 0 {
		length--
	}
	return v[:length]
}

func decodeVector(stored []int64) vector {
	var v vector
	copy(v[:], stored)
	return v
}
