package standin

import (
	"fmt"

	"cyclamendyke"
)

// Topology describes the zones and worker pools of a fleet.
type Topology struct {
	Zones []cyclamendyke.ZoneName
	Pools []Pool
}

// Pool describes one pool of identical workers.
type Pool struct {
	Name    cyclamendyke.PoolName
	Shape   cyclamendyke.Resources // Capacity of each worker.
	Workers int                    // Total over all zones.
	PerRack int                    // Workers in each rack; 0 means 1.
}

// VMs returns one live VM for each worker, assigned to the zones round-robin; all have the same address.
func (t Topology) VMs(address string) []cyclamendyke.VM {
	var vms []cyclamendyke.VM
	for _, pool := range t.Pools {
		for i := range pool.Workers {
			zone := t.Zones[i%len(t.Zones)]
			indexInZone := i / len(t.Zones)
			vms = append(vms, cyclamendyke.VM{
				Name:     cyclamendyke.WorkerName(fmt.Sprintf("%s-%s-%03d", zone, pool.Name, indexInZone)),
				Zone:     zone,
				Pool:     pool.Name,
				Rack:     fmt.Sprintf("%s-%s-rack-%02d", zone, pool.Name, indexInZone/max(pool.PerRack, 1)),
				Address:  address,
				Capacity: pool.Shape,
				State:    cyclamendyke.VMLive,
			})
		}
	}
	return vms
}
