package client

import (
	"fmt"
	"net/http"

	"cyclamendyke"
)

type tablesWaitInForceOptions struct {
	client *Client
	Args   struct {
		Revision uint64 `positional-arg-name:"REVISION"`
	} `positional-args:"yes" required:"yes"`
}

// Execute waits until the revision is in force in every daemon.
func (o *tablesWaitInForceOptions) Execute([]string) error {
	return o.client.runTablesWaitInForce(o)
}

func (c *Client) runTablesWaitInForce(o *tablesWaitInForceOptions) error {
	revision := cyclamendyke.Revision(o.Args.Revision)
	members, err := c.waitInForce("tables wait-in-force", "tables", revision, tablesRevisionOf)
	if err != nil {
		return err
	}
	body := struct {
		Revision  cyclamendyke.Revision `json:"revision"`
		Processes int                   `json:"processes"`
	}{revision, len(members.Members)}
	return c.print(body, func() [][]string {
		return [][]string{{fmt.Sprintf("revision %d is in force in all %d processes", revision, len(members.Members))}}
	})
}

func tablesRevisionOf(state cyclamendyke.MemberState) cyclamendyke.Revision {
	return state.TablesRevision
}

func keysRevisionOf(state cyclamendyke.MemberState) cyclamendyke.Revision {
	return state.KeysRevision
}

// memberList is the response to a request for the members, which are the daemons of the cell.
type memberList struct {
	Members     []cyclamendyke.MemberState `json:"members"`
	Unreachable []cyclamendyke.Member      `json:"unreachable"`
}

// waitInForce waits until every member is reachable and reports at least the revision; after a timeout
// the error names the members that do not.
func (c *Client) waitInForce(op, noun string, revision cyclamendyke.Revision, revisionOf func(cyclamendyke.MemberState) cyclamendyke.Revision) (memberList, error) {
	var (
		members  memberList
		outdated []cyclamendyke.MemberName
	)
	call := c.operatorCall(op, http.MethodGet, "/v1/members", nil)
	err := c.poll(call, func(response cyclamendyke.EntryResponse) (bool, error) {
		members = memberList{}
		err := decodeReply(call, response, &members)
		outdated = findOutdated(members, revision, revisionOf)
		return len(outdated) == 0 && len(members.Members) > 0, err
	})
	if exitCodeOf(err) == ExitTimeout {
		return members, &Error{
			Op:     op,
			Exit:   ExitTimeout,
			Detail: fmt.Sprintf("revision %d of the %s is not known to be in force in %v: see 'cyclamendyke nodes members'", revision, noun, outdated),
			Err:    err,
		}
	}
	return members, err
}

// findOutdated returns the members that report an older revision or could not be reached.
func findOutdated(members memberList, revision cyclamendyke.Revision, revisionOf func(cyclamendyke.MemberState) cyclamendyke.Revision) []cyclamendyke.MemberName {
	var outdated []cyclamendyke.MemberName
	for _, state := range members.Members {
		if revisionOf(state) < revision {
			outdated = append(outdated, state.Member.Name)
		}
	}
	for _, member := range members.Unreachable {
		outdated = append(outdated, member.Name)
	}
	return outdated
}
