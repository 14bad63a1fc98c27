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
	Routes   string  `long:"routes" value-name:"FILE" description:"new table of routes; without it the table stays"`
	Pools    string  `long:"pools" value-name:"FILE" description:"new table of pools; without it the table stays"`
	Expected *uint64 `long:"expected" value-name:"N" description:"revision that the files were made from, as 'tables get' printed it; 0 for a cell without tables"`
	Wait     bool    `long:"wait" description:"wait until every process has the new revision in force"`
}

// Execute puts tables in force.
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
	revision, err := c.swapTables(op, o, expected, current, text)
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

// swapTables puts the tables in force unless another operator was first; an edit that is repeated finds that it is in force already.
func (c *Client) swapTables(op string, o *tablesEditOptions, expected cyclamendyke.Revision, current tablesState, text cyclamendyke.TablesText) (cyclamendyke.Revision, error) {
	switch {
	case expected == current.Revision:
		return c.putTables(op, o, expected, text)
	case text == current.TablesText:
		return current.Revision, nil
	default:
		return 0, conflictError(op, expected, current.Revision)
	}
}

// putTables writes the tables over the expected revision, which makes the call safe to repeat.
func (c *Client) putTables(op string, o *tablesEditOptions, expected cyclamendyke.Revision, text cyclamendyke.TablesText) (cyclamendyke.Revision, error) {
	body := struct {
		Expected cyclamendyke.Revision `json:"expected"`
		cyclamendyke.TablesText
	}{expected, text}
	call := c.operatorCall(op, http.MethodPut, "/v1/tables", body)
	call.settles = http.StatusConflict
	response, err := c.send(call)
	if err == nil && response.Status >= http.StatusBadRequest {
		err = refusalError(op, response)
	}
	if err == nil {
		return decodeRefusal(response).Revision, nil
	}
	if faults := decodeRefusal(response).Faults; len(faults) > 0 {
		return 0, c.reportFaults(op, o.Routes, o.Pools, faults)
	}
	if errors.Is(err, cyclamendyke.KindConflict) || errors.Is(err, cyclamendyke.KindUnknown) {
		return c.readBack(op, expected, text, err)
	}
	return 0, err
}

// readBack tells an edit of this command whose answer was lost from one of another operator and from none.
func (c *Client) readBack(op string, expected cyclamendyke.Revision, text cyclamendyke.TablesText, cause error) (cyclamendyke.Revision, error) {
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
			Detail: fmt.Sprintf("the edit is not in force yet and may still come; it is safe to repeat it with --expected %d", expected),
			Err:    cause,
		}
	}
}

func conflictError(op string, expected, current cyclamendyke.Revision) error {
	return &Error{
		Op:     op,
		Kind:   cyclamendyke.KindConflict,
		Reason: cyclamendyke.ReasonConflict,
		Detail: fmt.Sprintf("another operator was first: the tables are at revision %d, your files were made from %d, and nothing of yours was applied. "+
			"Run 'cyclamendyke tables get', make your change again on top of it, then 'tables edit --expected %d'", current, expected, current),
	}
}
