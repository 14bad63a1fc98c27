package tables

import (
	"encoding/json"
	"slices"

	"cyclamendyke"
	"cyclamendyke/core/inifile"
)

// File names of the two tables in faults.
const (
	RoutesFile = "routes"
	PoolsFile  = "pools"
)

// MaxBytes limits the size of both tables together in their stored form.
const MaxBytes = 1_000_000

// Parse parses and validates both tables together; it returns either the tables or all
// faults, sorted by file and line.
func Parse(text cyclamendyke.TablesText, revision cyclamendyke.Revision) (*cyclamendyke.Tables, []cyclamendyke.Fault) {
	if fault, tooLarge := checkSize(text); tooLarge {
		return nil, []cyclamendyke.Fault{fault}
	}
	p := &parser{
		routes: inifile.Parse(RoutesFile, text.Routes),
		pools:  inifile.Parse(PoolsFile, text.Pools),
		tables: &cyclamendyke.Tables{
			Revision: revision,
			Routes:   map[cyclamendyke.RouteName]cyclamendyke.Route{},
			Teams:    map[cyclamendyke.TeamName]cyclamendyke.Team{},
			Pools:    map[cyclamendyke.PoolName]cyclamendyke.Pool{},
		},
	}
	if faults := p.faults(); len(faults) > 0 {
		return nil, faults
	}
	p.parse()
	if faults := p.faults(); len(faults) > 0 {
		return nil, faults
	}
	return p.tables, nil
}

// Encode returns the stored form of both tables.
func Encode(text cyclamendyke.TablesText) ([]byte, error) {
	return json.Marshal(text)
}

func checkSize(text cyclamendyke.TablesText) (cyclamendyke.Fault, bool) {
	value, err := Encode(text)
	if err == nil && len(value) <= MaxBytes {
		return cyclamendyke.Fault{}, false
	}
	return cyclamendyke.Fault{File: RoutesFile, Line: 1, Reason: "both tables together are larger than 1 MB"}, true
}

type parser struct {
	routes *inifile.File
	pools  *inifile.File
	tables *cyclamendyke.Tables
}

func (p *parser) faults() []cyclamendyke.Fault {
	return slices.Concat(p.pools.Faults(), p.routes.Faults())
}

// parse reads pools and teams first, because routes refer to them.
func (p *parser) parse() {
	for _, section := range p.pools.Sections {
		if p.checkSection(p.pools, section, "pool") {
			pool := parsePool(p.pools, section)
			p.tables.Pools[pool.Name] = pool
		}
	}
	for _, section := range p.routes.Sections {
		if p.checkSection(p.routes, section, "route", "team") && section.Kind == "team" {
			team := parseTeam(p.routes, section)
			p.tables.Teams[team.Name] = team
		}
	}
	for _, section := range p.routes.Sections {
		if section.Kind == "route" {
			route := p.parseRoute(section)
			p.tables.Routes[route.Name] = route
		}
	}
	p.addOpenTeam()
	if len(p.tables.Pools) == 0 {
		p.pools.AddFault(1, "", "the table holds no pool")
	}
	if len(p.tables.Routes) == 0 {
		p.routes.AddFault(1, "", "the table holds no route")
	}
}

// addOpenTeam adds the team that open routes are charged to, without a limit, unless the table defines it.
func (p *parser) addOpenTeam() {
	if _, defined := p.tables.Teams[cyclamendyke.OpenTeam]; defined {
		return
	}
	for _, route := range p.tables.Routes {
		if route.Open {
			p.tables.Teams[cyclamendyke.OpenTeam] = cyclamendyke.Team{Name: cyclamendyke.OpenTeam, Share: 1}
			return
		}
	}
}

// checkSection reports whether the section has one of the given kinds, and adds a
// fault for a wrong kind or name.
func (p *parser) checkSection(file *inifile.File, section *inifile.Section, kinds ...string) bool {
	if !slices.Contains(kinds, section.Kind) {
		file.AddFault(section.Line, section.Header(), "the table knows no such section, only %s", inifile.Join(kinds))
		return false
	}
	if !inifile.IsName(section.Name) {
		file.AddFault(section.Line, section.Header(), "a row needs a name in kebab-case of at most 63 characters, between quotation marks")
	}
	return true
}
