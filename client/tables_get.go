package client

import (
	"fmt"
	"os"

	"cyclamendyke"
)

// tableFileMode makes the files readable by everyone and writable by their owner only.
const tableFileMode = 0o644

type tablesGetOptions struct {
	client *Client
	Routes string `long:"routes" value-name:"FILE" description:"write the table of routes to this file"`
	Pools  string `long:"pools" value-name:"FILE" description:"write the table of pools to this file"`
}

// Execute prints the tables in force or writes them to files.
func (o *tablesGetOptions) Execute([]string) error {
	return o.client.runTablesGet(o)
}

func (c *Client) runTablesGet(o *tablesGetOptions) error {
	state, err := c.fetchTables("tables get")
	if err != nil {
		return err
	}
	if o.Routes == "" && o.Pools == "" {
		return c.print(state, func() [][]string {
			return [][]string{{fmt.Sprintf("# revision %d, table of routes\n%s\n# revision %d, table of pools\n%s", state.Revision, state.Routes, state.Revision, state.Pools)}}
		})
	}
	if err := writeTable(o.Routes, state.Routes); err != nil {
		return err
	}
	if err := writeTable(o.Pools, state.Pools); err != nil {
		return err
	}
	return c.printRevision(state.Revision)
}

func writeTable(path, text string) error {
	if path == "" {
		return nil
	}
	if err := os.WriteFile(path, []byte(text), tableFileMode); err != nil {
		return &Error{Op: "tables get", Kind: cyclamendyke.KindInvalid, Detail: "cannot write a table file", Err: err}
	}
	return nil
}

func (c *Client) printRevision(revision cyclamendyke.Revision) error {
	body := struct {
		Revision cyclamendyke.Revision `json:"revision"`
	}{revision}
	return c.print(body, func() [][]string {
		return [][]string{{"revision", fmt.Sprint(revision)}}
	})
}
