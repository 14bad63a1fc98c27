package client

import (
	"net/http"
	"net/url"

	"cyclamendyke"
)

type keysOptions struct {
	Grant    keysGrantOptions    `command:"grant" description:"Grant a key to a team; the key is shown only once"`
	Withdraw keysWithdrawOptions `command:"withdraw" description:"Withdraw a key"`
	List     keysListOptions     `command:"list" description:"List the keys without their secrets"`
}

func newKeysOptions(c *Client) *keysOptions {
	return &keysOptions{
		Grant:    keysGrantOptions{client: c},
		Withdraw: keysWithdrawOptions{client: c},
		List:     keysListOptions{client: c},
	}
}

type keysGrantOptions struct {
	client *Client
	Args   struct {
		Team string `positional-arg-name:"TEAM"`
	} `positional-args:"yes" required:"yes"`
}

// Execute grants a key and prints it.
func (o *keysGrantOptions) Execute([]string) error {
	return o.client.runKeysGrant(o)
}

func (c *Client) runKeysGrant(o *keysGrantOptions) error {
	body := struct {
		Team string `json:"team"`
	}{o.Args.Team}
	call := c.operatorCall("keys grant", http.MethodPost, "/v1/keys", body)
	call.repeatable = false
	var reply struct {
		ID  string `json:"id"`
		Key string `json:"key"`
	}
	if err := c.fetch(call, &reply); err != nil {
		return err
	}
	return c.print(reply, func() [][]string {
		return [][]string{{"id", reply.ID}, {"key", reply.Key}}
	})
}

type keysWithdrawOptions struct {
	client *Client
	Wait   bool `long:"wait" description:"wait until every daemon refuses the key"`
	Args   struct {
		ID string `positional-arg-name:"ID"`
	} `positional-args:"yes" required:"yes"`
}

// Execute withdraws a key.
func (o *keysWithdrawOptions) Execute([]string) error {
	return o.client.runKeysWithdraw(o)
}

func (c *Client) runKeysWithdraw(o *keysWithdrawOptions) error {
	const op = "keys withdraw"
	var reply struct {
		Revision cyclamendyke.Revision `json:"revision"`
	}
	call := c.operatorCall(op, http.MethodDelete, "/v1/keys/"+url.PathEscape(o.Args.ID), nil)
	if err := c.fetch(call, &reply); err != nil {
		return err
	}
	if o.Wait {
		if _, err := c.waitInForce(op, "keys", reply.Revision, keysRevisionOf); err != nil {
			return err
		}
	}
	return c.printRevision(reply.Revision)
}

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
