package client

import (
	"net/http"
	"net/url"

	"cyclamendyke"
)

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
