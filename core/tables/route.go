package tables

import (
	"slices"

	"cyclamendyke"
	"cyclamendyke/core/inifile"
)

const (
	defaultMaxQueue = 1_000 // In jobs.
	maxQueueLimit   = 100_000
)

func (p *parser) parseRoute(section *inifile.Section) cyclamendyke.Route {
	file := p.routes
	route := cyclamendyke.Route{
		Name:     cyclamendyke.RouteName(section.Name),
		Kind:     inifile.OneOf(file, section, "kind", "", cyclamendyke.KindService, cyclamendyke.KindBatch, cyclamendyke.KindGang),
		Pools:    inifile.List[cyclamendyke.PoolName](file, section, "pools"),
		Teams:    inifile.List[cyclamendyke.TeamName](file, section, "teams"),
		Open:     file.Bool(section, "open", false),
		Urgent:   file.Bool(section, "urgent", false),
		MaxQueue: file.Int(section, "max-queue", defaultMaxQueue, 1, maxQueueLimit),
		ZoneLoss: inifile.OneOf(file, section, "zone-loss", cyclamendyke.ZoneLossStay, cyclamendyke.ZoneLossStay),
	}
	p.checkPools(section, route)
	p.checkTeams(section, route)
	file.CheckUnknownKeys(section)
	return route
}

func (p *parser) checkPools(section *inifile.Section, route cyclamendyke.Route) {
	if len(route.Pools) == 0 {
		p.routes.AddKeyFault(section, "pools", "the route needs at least one pool")
	}
	for _, name := range route.Pools {
		pool, found := p.tables.Pools[name]
		switch {
		case !found:
			p.routes.AddKeyFault(section, "pools", "the table of pools holds no pool %q", name)
		case isValidKind(route.Kind) && !slices.Contains(pool.Kinds, route.Kind):
			p.routes.AddKeyFault(section, "pools", "the pool %q holds no work of kind %s", name, route.Kind)
		}
	}
}

func (p *parser) checkTeams(section *inifile.Section, route cyclamendyke.Route) {
	if route.Open && len(route.Teams) > 0 {
		p.routes.AddKeyFault(section, "teams", "the route is open to all, so it takes no teams")
	}
	if !route.Open && len(route.Teams) == 0 {
		p.routes.AddKeyFault(section, "teams", "the route needs teams, or open = true")
	}
	for _, name := range route.Teams {
		if _, found := p.tables.Teams[name]; !found {
			p.routes.AddKeyFault(section, "teams", "the table of routes holds no team %q", name)
		}
	}
}
