package client

import (
	"net/http"
	"os"
	"strings"

	"cyclamendyke"
	"cyclamendyke/core/tables"
)

type tablesOptions struct {
	Get         tablesGetOptions         `command:"get" description:"Print the tables in force, or write them to files"`
	Check       tablesCheckOptions       `command:"check" description:"Check table files without putting them into force"`
	Edit        tablesEditOptions        `command:"edit" description:"Put tables from files into force"`
	WaitInForce tablesWaitInForceOptions `command:"wait-in-force" description:"Wait until a revision is in force in every daemon"`
}

func newTablesOptions(c *Client) *tablesOptions {
	return &tablesOptions{
		Get:         tablesGetOptions{client: c},
		Check:       tablesCheckOptions{client: c},
		Edit:        tablesEditOptions{client: c},
		WaitInForce: tablesWaitInForceOptions{client: c},
	}
}

// tablesState is the response to a read of the tables.
type tablesState struct {
	Revision cyclamendyke.Revision `json:"revision"`
	cyclamendyke.TablesText
}

func (c *Client) fetchTables(op string) (tablesState, error) {
	var state tablesState
	err := c.fetch(c.operatorCall(op, http.MethodGet, "/v1/tables", nil), &state)
	return state, err
}

// readTables reads the table files; a table whose path is empty is taken from current.
func readTables(op, routes, pools string, current cyclamendyke.TablesText) (cyclamendyke.TablesText, error) {
	text := current
	for _, table := range []struct {
		path string
		text *string
	}{
		{routes, &text.Routes},
		{pools, &text.Pools},
	} {
		if table.path == "" {
			continue
		}
		data, err := os.ReadFile(table.path)
		if err != nil {
			return text, &Error{Op: op, Kind: cyclamendyke.KindInvalid, Detail: "cannot read a table file", Err: err}
		}
		*table.text = string(data)
	}
	return text, nil
}

// reportFaults returns an error that lists the faults under the paths of the files, or nil if there are
// none; with --output json it also prints them.
func (c *Client) reportFaults(op, routes, pools string, faults []cyclamendyke.Fault) error {
	if len(faults) == 0 {
		return nil
	}
	if c.options.Output == outputJSON {
		body := struct {
			Faults []cyclamendyke.Fault `json:"faults"`
		}{faults}
		if err := c.print(body, nil); err != nil {
			return err
		}
	}
	var lines []string
	for _, fault := range faults {
		if path := map[string]string{tables.RoutesFile: routes, tables.PoolsFile: pools}[fault.File]; path != "" {
			fault.File = path
		}
		lines = append(lines, fault.String())
	}
	return &Error{Op: op, Kind: cyclamendyke.KindInvalid, Detail: "the tables are invalid, nothing was changed; fix these lines:\n" + strings.Join(lines, "\n")}
}
