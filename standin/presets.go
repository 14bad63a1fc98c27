package standin

import "cyclamendyke"

// Slots and connections of each worker; they are the same in all pools.
const (
	WorkerSlots       = 8
	WorkerConnections = 64
)

const mibPerGiB = 1024

// Hakata returns the topology of Hakata Kiroku Archive Services.
func Hakata() Topology {
	return Topology{
		Zones: []cyclamendyke.ZoneName{"hakata1", "hakata2", "hakata3", "hakata4"},
		Pools: []Pool{
			{Name: "search", Shape: Shape(64, 128, 0), Workers: 35, PerRack: 4},
			{Name: "reader", Shape: Shape(128, 256, 8), Workers: 13, PerRack: 3},
		},
	}
}

// Hsinchu returns the topology of Hsinchu Shed Works Cooperative.
func Hsinchu() Topology {
	return Topology{
		Zones: []cyclamendyke.ZoneName{"shed1", "shed2", "shed3", "shed4"},
		Pools: []Pool{
			{Name: "bench", Shape: Shape(32, 64, 0), Workers: 35, PerRack: 4},
			{Name: "design", Shape: Shape(64, 128, 8), Workers: 13, PerRack: 3},
		},
	}
}

// Large returns a topology of 720 workers in six zones.
func Large() Topology {
	return Topology{
		Zones: []cyclamendyke.ZoneName{"a1", "a2", "a3", "b1", "b2", "b3"},
		Pools: []Pool{
			{Name: "search", Shape: Shape(64, 128, 0), Workers: 540, PerRack: 4},
			{Name: "reader", Shape: Shape(128, 256, 8), Workers: 180, PerRack: 3},
		},
	}
}

// Shape returns the capacity of a worker with the given cores, memory and accelerators.
func Shape(cores, memoryGiB, accelerators int64) cyclamendyke.Resources {
	return cyclamendyke.Resources{
		Cores:        cyclamendyke.MilliCores(cores * 1000),
		Memory:       cyclamendyke.MiB(memoryGiB * mibPerGiB),
		Accelerators: accelerators,
		Slots:        WorkerSlots,
		Connections:  WorkerConnections,
	}
}
