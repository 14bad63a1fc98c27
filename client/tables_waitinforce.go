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

// Execute waits until every process has the revision in force.
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

// memberList is the answer to a question for the system's processes.
type memberList struct {
	Members     []cyclamendyke.MemberState `json:"members"`
	Unreachable []cyclamendyke.Member      `json:"unreachable"`
}

// waitInForce waits until every process can be reached and reports at least the revision; an error names those that do not.
func (c *Client) waitInForce(op, what string, revision cyclamendyke.Revision, revisionOf func(cyclamendyke.MemberState) cyclamendyke.Revision) (memberList, error) {
	var (
		members memberList
		behind  []cyclamendyke.MemberName
	)
	call := c.operatorCall(op, http.MethodGet, "/v1/members", nil)
	err := c.poll(call, func(response cyclamendyke.EntryResponse) (bool, error) {
		members = memberList{}
		err := decodeReply(call, response, &members)
		behind = findBehind(members, revision, revisionOf)
		return len(behind) == 0 && len(members.Members) > 0, err
	})
	if exitCodeOf(err) == ExitWaitedOut {
		return members, &Error{
			Op:     op,
			Exit:   ExitWaitedOut,
			Detail: fmt.Sprintf("revision %d of the %s is not known to be in force in %v: see 'cyclamendyke nodes members'", revision, what, behind),
			Err:    err,
		}
	}
	return members, err
}

func findBehind(members memberList, revision cyclamendyke.Revision, revisionOf func(cyclamendyke.MemberState) cyclamendyke.Revision) []cyclamendyke.MemberName {
	var behind []cyclamendyke.MemberName
	for _, state := range members.Members {
		if revisionOf(state) < revision {
			behind = append(behind, state.Member.Name)
		}
	}
	for _, member := range members.Unreachable {
		behind = append(behind, member.Name)
	}
	return behind
}
