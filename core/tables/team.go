package tables

import (
	"cyclamendyke"
	"cyclamendyke/core/inifile"
)

// Upper bounds of a team's share and limits.
const (
	maxShare             = 1_000_000
	maxLimitCores        = cyclamendyke.MilliCores(10_000_000 * 1000)
	maxLimitMemory       = cyclamendyke.MiB(1 << 34)
	maxLimitAccelerators = 1_000_000
	maxLimitSlots        = 10_000_000
	maxLimitConnections  = 100_000_000
)

func parseTeam(file *inifile.File, section *inifile.Section) cyclamendyke.Team {
	team := cyclamendyke.Team{
		Name:  cyclamendyke.TeamName(section.Name),
		Share: file.Int(section, "share", 0, 1, maxShare),
		Limit: cyclamendyke.Resources{
			Cores:        parseCores(file, section, "limit-cores", 0, maxLimitCores),
			Memory:       parseMemory(file, section, "limit-memory", 0, maxLimitMemory),
			Accelerators: int64(file.Int(section, "limit-accelerators", 0, 0, maxLimitAccelerators)),
			Slots:        int64(file.Int(section, "limit-slots", 0, 0, maxLimitSlots)),
			Connections:  int64(file.Int(section, "limit-connections", 0, 0, maxLimitConnections)),
		},
	}
	file.CheckUnknownKeys(section)
	return team
}
