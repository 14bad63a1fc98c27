package client

import (
	"net/http"

	"cyclamendyke"
)

type keysListOptions struct {
	client *Client
	Team   string `long:"team" value-name:"NAME" description:"only keys of this team"`
}

// Execute lists the keys.
func (o *keysListOptions) Execute([]string) error {
	return o.client.runKeysList(o)
}

func (c *Client) runKeysList(o *keysListOptions) error {
	var reply struct {
		Keys []cyclamendyke.KeyRecord `json:"keys"`
	}
	if err := c.fetch(c.operatorCall("keys list", http.MethodGet, "/v1/keys", nil), &reply); err != nil {
		return err
	}
	keys := []cyclamendyke.KeyRecord{}
	for _, key := range reply.Keys {
		if o.Team == "" || string(key.Team) == o.Team {
			keys = append(keys, key)
		}
	}
	reply.Keys = keys
	return c.print(reply, func() [][]string {
		return tableRows([]string{"ID", "TEAM", "GRANTED", "WITHDRAWN"}, keys, keyRow)
	})
}

func keyRow(key cyclamendyke.KeyRecord) []string {
	return []string{key.ID, string(key.Team), formatTime(key.GrantedAt), formatTime(key.WithdrawnAt)}
}
