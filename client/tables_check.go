package client

import (
	"fmt"
	"net/http"

	"cyclamendyke"
	"cyclamendyke/core/tables"
)

type tablesCheckOptions struct {
	client *Client
	Routes string `long:"routes" value-name:"FILE" required:"yes" description:"table of routes"`
	Pools  string `long:"pools" value-name:"FILE" required:"yes" description:"table of pools"`
	Remote bool   `long:"remote" description:"check them on an entry VM instead of in this client"`
}

// Execute checks table files.
func (o *tablesCheckOptions) Execute([]string) error {
	return o.client.runTablesCheck(o)
}

func (c *Client) runTablesCheck(o *tablesCheckOptions) error {
	const op = "tables check"
	text, err := readTables(op, o.Routes, o.Pools, cyclamendyke.TablesText{})
	if err != nil {
		return err
	}
	faults, err := c.checkTables(op, text, o.Remote)
	if err != nil {
		return err
	}
	if err := c.reportFaults(op, o.Routes, o.Pools, faults); err != nil {
		return err
	}
	body := struct {
		Faults []cyclamendyke.Fault `json:"faults"`
	}{[]cyclamendyke.Fault{}}
	return c.print(body, func() [][]string {
		return [][]string{{fmt.Sprintf("%s and %s can be put in force", o.Routes, o.Pools)}}
	})
}

func (c *Client) checkTables(op string, text cyclamendyke.TablesText, remote bool) ([]cyclamendyke.Fault, error) {
	if !remote {
		_, faults := tables.Parse(text, 0)
		return faults, nil
	}
	var reply struct {
		Faults []cyclamendyke.Fault `json:"faults"`
	}
	err := c.fetch(c.operatorCall(op, http.MethodPost, "/v1/tables/check", text), &reply)
	return reply.Faults, err
}
