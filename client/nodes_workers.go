package client

import (
	"fmt"
	"net/http"
	"net/url"
	"time"

	"cyclamendyke"
)

type nodesWorkersOptions struct {
	client *Client
	Zone   string `long:"zone" value-name:"NAME" description:"zone of the workers (default: that of the entry VM)"`
}

// Execute lists the workers of a zone.
func (o *nodesWorkersOptions) Execute([]string) error {
	return o.client.runNodesWorkers(o)
}

func (c *Client) runNodesWorkers(o *nodesWorkersOptions) error {
	path := "/v1/workers"
	if o.Zone != "" {
		path += "?zone=" + url.QueryEscape(o.Zone)
	}
	var reply struct {
		Zone    cyclamendyke.ZoneName      `json:"zone"`
		Workers []cyclamendyke.WorkerState `json:"workers"`
	}
	if err := c.fetch(c.operatorCall("nodes workers", http.MethodGet, path, nil), &reply); err != nil {
		return err
	}
	return c.print(reply, func() [][]string {
		header := []string{"WORKER", "ZONE", "POOL", "RACK", "STATE", "TASKS", "RESERVED", "CAPACITY"}
		return tableRows(header, reply.Workers, workerRow)
	})
}

func workerRow(worker cyclamendyke.WorkerState) []string {
	return []string{
		string(worker.VM.Name),
		string(worker.VM.Zone),
		string(worker.VM.Pool),
		worker.VM.Rack,
		workerStateText(worker),
		fmt.Sprint(worker.Tasks),
		formatResources(worker.Reserved),
		formatResources(worker.VM.Capacity),
	}
}

func workerStateText(worker cyclamendyke.WorkerState) string {
	switch {
	case worker.VM.State == cyclamendyke.VMLeaving:
		return "leaving"
	case worker.BackOff > 0:
		return "back-off " + worker.BackOff.Round(time.Second).String()
	case !worker.Claimed:
		return "not claimed"
	case !worker.Healthy:
		return "silent"
	default:
		return "ready"
	}
}
