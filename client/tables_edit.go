package client

import (
	"errors"
	"fmt"
	"net/http"

	"cyclamendyke"
	"cyclamendyke/core/tables"
)

type tablesEditOptions struct {
	client   *Client
	Routes   string  `long:"routes" value-name:"FILE" description:"new table of routes; if not given, the table is not changed"`
	Pools    string  `long:"pools" value-name:"FILE" description:"new table of pools; if not given, the table is not changed"`
	Expected *uint64 `long:"expected" value-name:"N" description:"revision that the files are based on, as printed by 'tables get'; 0 for a cell without tables"`
	Wait     bool    `long:"wait" description:"wait until the new revision is in force in every daemon"`
}

// Execute puts tables from files into force.
func (o *tablesEditOptions) Execute([]string) error {
	return o.client.runTablesEdit(o)
}

func (c *Client) runTablesEdit(o *tablesEditOptions) error {
	const op = "tables edit"
	if o.Routes == "" && o.Pools == "" {
		return &Error{Op: op, Kind: cyclamendyke.KindInvalid, Detail: "give --routes, --pools or both"}
	}
	current, err := c.fetchTables(op)
	if err != nil {
		return err
	}
	expected := current.Revision
	if o.Expected != nil {
		expected = cyclamendyke.Revision(*o.Expected)
	}
	text, err := readTables(op, o.Routes, o.Pools, current.TablesText)
	if err != nil {
		return err
	}
	if _, faults := tables.Parse(text, expected); len(faults) > 0 {
		return c.reportFaults(op, o.Routes, o.Pools, faults)
	}
	revision, err := c.editTables(op, o, expected, current, text)
	if err != nil {
		return err
	}
	if o.Wait {
		if _, err := c.waitInForce(op, "tables", revision, tablesRevisionOf); err != nil {
			return err
		}
	}
	return c.printRevision(revision)
}

// editTables puts the tables into force if the current revision is the expected one. If it is not, the
// edit succeeds only if its text is in force already, as when a command is repeated.
func (c *Client) editTables(op string, o *tablesEditOptions, expected cyclamendyke.Revision, current tablesState, text cyclamendyke.TablesText) (cyclamendyke.Revision, error) {
	switch {
	case expected == current.Revision:
		return c.putTables(op, o, expected, text)
	case text == current.TablesText:
		return current.Revision, nil
	default:
		return 0, conflictError(op, expected, current.Revision)
	}
}

// putTables replaces the tables if their revision is the expected one, so the call is safe to repeat.
func (c *Client) putTables(op string, o *tablesEditOptions, expected cyclamendyke.Revision, text cyclamendyke.TablesText) (cyclamendyke.Revision, error) {
	body := struct {
		Expected cyclamendyke.Revision `json:"expected"`
		cyclamendyke.TablesText
	}{expected, text}
	call := c.operatorCall(op, http.MethodPut, "/v1/tables", body)
	call.conclusiveStatus = http.StatusConflict
	response, err := c.send(call)
	if err == nil && response.Status >= http.StatusBadRequest {
		err = newResponseError(op, response)
	}
	if err == nil {
		return decodeErrorBody(response).Revision, nil
	}
	if faults := decodeErrorBody(response).Faults; len(faults) > 0 {
		return 0, c.reportFaults(op, o.Routes, o.Pools, faults)
	}
	if errors.Is(err, cyclamendyke.KindConflict) || errors.Is(err, cyclamendyke.KindUnknown) {
		return c.verifyEdit(op, expected, text, err)
	}
	return 0, err
}

// verifyEdit reads the tables after a conflict or a lost answer, to find out whether this edit, one of
// another operator or none is in force.
func (c *Client) verifyEdit(op string, expected cyclamendyke.Revision, text cyclamendyke.TablesText, cause error) (cyclamendyke.Revision, error) {
	current, err := c.fetchTables(op)
	switch {
	case err != nil:
		return 0, errors.Join(cause, err)
	case current.TablesText == text:
		return current.Revision, nil
	case current.Revision != expected:
		return 0, conflictError(op, expected, current.Revision)
	default:
		return 0, &Error{
			Op:     op,
			Kind:   cyclamendyke.KindUnknown,
			Detail: fmt.Sprintf("the edit is not in force yet but may still take effect; it is safe to repeat it with --expected %d", expected),
			Err:    cause,
		}
	}
}

func conflictError(op string, expected, current cyclamendyke.Revision) error {
	return &Error{
		Op:     op,
		Kind:   cyclamendyke.KindConflict,
		Reason: cyclamendyke.ReasonConflict,
		Detail: fmt.Sprintf("another operator was first: the tables are at revision %d, your files were made from %d, and your edit was not applied. "+
			"Run 'cyclamendyke tables get', make your change again in its output, then run 'tables edit --expected %d'", current, expected, current),
	}
}
