package client

type nodesOptions struct {
	Members nodesMembersOptions `command:"members" description:"Show the daemons and the revisions in force in them"`
	Workers nodesWorkersOptions `command:"workers" description:"Show the workers of one zone"`
}

func newNodesOptions(c *Client) *nodesOptions {
	return &nodesOptions{
		Members: nodesMembersOptions{client: c},
		Workers: nodesWorkersOptions{client: c},
	}
}
