package client

import (
	"cmp"
	"fmt"
	"net/http"
	"net/url"

	"cyclamendyke"
	"cyclamendyke/core/inifile"
)

type accountOptions struct {
	client  *Client
	Request string `long:"request" value-name:"REQUEST" description:"only this request"`
	Team    string `long:"team" value-name:"NAME" description:"only this team"`
	Zone    string `long:"zone" value-name:"NAME" description:"only this zone"`
}

// Execute lists the account records, which say what ran and what was refused.
func (o *accountOptions) Execute([]string) error {
	return o.client.runAccount(o)
}

func (c *Client) runAccount(o *accountOptions) error {
	query := url.Values{}
	for _, filter := range [][2]string{{"request", o.Request}, {"team", o.Team}, {"zone", o.Zone}} {
		if filter[1] != "" {
			query.Set(filter[0], filter[1])
		}
	}
	var reply struct {
		Records []cyclamendyke.AccountRecord `json:"records"`
	}
	if err := c.fetch(c.operatorCall("account", http.MethodGet, "/v1/account?"+query.Encode(), nil), &reply); err != nil {
		return err
	}
	return c.print(reply, func() [][]string {
		header := []string{"AT", "ZONE", "REQUEST", "TEAM", "ROUTE", "VERDICT", "REASON", "COUNT", "TASKS", "CORE SECONDS", "WORKERS"}
		return tableRows(header, reply.Records, accountRow)
	})
}

func accountRow(record cyclamendyke.AccountRecord) []string {
	return []string{
		formatTime(record.At),
		formatText(record.Zone),
		formatText(record.Request),
		formatText(record.Team),
		formatText(record.Route),
		formatText(record.Verdict),
		formatText(record.Reason),
		fmt.Sprint(record.Count),
		fmt.Sprint(record.Tasks),
		fmt.Sprintf("%.1f", record.CoreSeconds),
		cmp.Or(inifile.Join(record.Workers), "-"),
	}
}
