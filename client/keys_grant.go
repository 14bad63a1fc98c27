package client

import "net/http"

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
