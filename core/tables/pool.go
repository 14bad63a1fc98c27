package tables

import (
	"cyclamendyke"
	"cyclamendyke/core/inifile"
	"cyclamendyke/core/size"
)

// Upper bounds of a pool; larger values are rejected as typing errors.
const (
	maxCores        = cyclamendyke.MilliCores(4096 * 1000)
	maxMemory       = cyclamendyke.MiB(64 << 20)
	maxAccelerators = 64
	maxSlots        = 10_000
	maxConnections  = 100_000
	maxHeadroom     = 50 // Percent.
)

func parsePool(file *inifile.File, section *inifile.Section) cyclamendyke.Pool {
	pool := cyclamendyke.Pool{
		Name: cyclamendyke.PoolName(section.Name),
		Shape: cyclamendyke.Resources{
			Cores:        parseCores(file, section, "cores", 1, maxCores),
			Memory:       parseMemory(file, section, "memory", 1, maxMemory),
			Accelerators: int64(file.Int(section, "accelerators", 0, 0, maxAccelerators)),
			Slots:        int64(file.Int(section, "slots", 0, 1, maxSlots)),
			Connections:  int64(file.Int(section, "connections", 0, 1, maxConnections)),
		},
		Zones:    inifile.List[cyclamendyke.ZoneName](file, section, "zones"),
		Kinds:    parseKinds(file, section),
		Headroom: file.Int(section, "headroom", 0, 0, maxHeadroom),
	}
	if len(pool.Zones) == 0 {
		file.AddKeyFault(section, "zones", "the pool needs at least one zone")
	}
	for _, zone := range pool.Zones {
		if !inifile.IsName(string(zone)) {
			file.AddKeyFault(section, "zones", "%q is no name in kebab-case", zone)
		}
	}
	file.CheckUnknownKeys(section)
	return pool
}

func parseKinds(file *inifile.File, section *inifile.Section) []cyclamendyke.JobKind {
	kinds := inifile.List[cyclamendyke.JobKind](file, section, "kinds")
	if len(kinds) == 0 {
		file.AddKeyFault(section, "kinds", "the pool needs at least one of service, batch, gang")
	}
	for _, kind := range kinds {
		if !isValidKind(kind) {
			file.AddKeyFault(section, "kinds", "%q is none of service, batch, gang", kind)
		}
	}
	return kinds
}

func isValidKind(kind cyclamendyke.JobKind) bool {
	return kind == cyclamendyke.KindService || kind == cyclamendyke.KindBatch || kind == cyclamendyke.KindGang
}

func parseCores(file *inifile.File, section *inifile.Section, key string, lower, upper cyclamendyke.MilliCores) cyclamendyke.MilliCores {
	cores, err := size.Cores(file.Text(section, key, "0"))
	switch {
	case err != nil:
		file.AddKeyFault(section, key, "%v", err)
	case cores < lower:
		file.AddKeyFault(section, key, "the section [%s] needs cores", section.Header())
	case cores > upper:
		file.AddKeyFault(section, key, "more than %d cores", upper/1000)
	}
	return cores
}

func parseMemory(file *inifile.File, section *inifile.Section, key string, lower, upper cyclamendyke.MiB) cyclamendyke.MiB {
	memory, err := size.MemoryFloor(file.Text(section, key, "0MiB"))
	switch {
	case err != nil:
		file.AddKeyFault(section, key, "%v", err)
	case memory < lower:
		file.AddKeyFault(section, key, "the section [%s] needs memory", section.Header())
	case memory > upper:
		file.AddKeyFault(section, key, "more than %d GiB", upper/1024)
	}
	return memory
}
