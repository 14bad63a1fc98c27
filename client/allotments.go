package client

import (
	"maps"
	"net/http"
	"slices"

	"cyclamendyke"
)

type allotmentsOptions struct {
	client *Client
}

// Execute shows how the limits of teams are divided among the zones.
func (o *allotmentsOptions) Execute([]string) error {
	return o.client.runAllotments()
}

func (c *Client) runAllotments() error {
	var reply struct {
		Revision cyclamendyke.Revision                                 `json:"revision"`
		Teams    map[cyclamendyke.TeamName]cyclamendyke.TeamAllotments `json:"teams"`
	}
	if err := c.fetch(c.operatorCall("allotments", http.MethodGet, "/v1/allotments", nil), &reply); err != nil {
		return err
	}
	return c.print(reply, func() [][]string {
		rows := [][]string{{"TEAM", "ZONE", "HELD", "WANT", "LIMIT OF THE TEAM"}}
		for _, team := range slices.Sorted(maps.Keys(reply.Teams)) {
			allotments := reply.Teams[team]
			for _, zone := range slices.Sorted(maps.Keys(allotments.Zones)) {
				allotment := allotments.Zones[zone]
				rows = append(rows, []string{string(team), string(zone), formatResources(allotment.Held), formatResources(allotment.Want), formatResources(allotments.Limit)})
			}
		}
		return rows
	})
}
