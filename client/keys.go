package client

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
