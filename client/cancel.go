package client

import (
	"net/http"

	"cyclamendyke"
)

type cancelOptions struct {
	client *Client
	Args   requestArgs `positional-args:"yes" required:"yes"`
}

// Execute cancels a request.
func (o *cancelOptions) Execute([]string) error {
	return o.client.runCancel(o)
}

func (c *Client) runCancel(o *cancelOptions) error {
	var status cyclamendyke.JobStatus
	if err := c.fetch(c.jobCall("cancel", http.MethodDelete, o.Args.Request), &status); err != nil {
		return err
	}
	if err := c.printStatus(status); err != nil {
		return err
	}
	c.exitCode = ExitOK // The cancellation succeeded; printStatus set the exit code of the request's outcome.
	return nil
}
