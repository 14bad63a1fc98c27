package client

import (
	"fmt"
	"net/http"
	"time"

	"cyclamendyke"
)

type nodesMembersOptions struct {
	client *Client
}

// Execute lists the daemons.
func (o *nodesMembersOptions) Execute([]string) error {
	return o.client.runNodesMembers()
}

func (c *Client) runNodesMembers() error {
	var reply memberList
	if err := c.fetch(c.operatorCall("nodes members", http.MethodGet, "/v1/members", nil), &reply); err != nil {
		return err
	}
	return c.print(reply, func() [][]string {
		header := []string{"MEMBER", "ZONE", "HTTP", "ROLE", "EPOCH", "TABLES", "KEYS", "STORE SEEN"}
		rows := tableRows(header, reply.Members, memberRow)
		for _, member := range reply.Unreachable {
			rows = append(rows, []string{string(member.Name), string(member.Zone), member.HTTP, "unreachable"})
		}
		return rows
	})
}

func memberRow(state cyclamendyke.MemberState) []string {
	role := "standby"
	if state.Scheduling {
		role = "scheduler"
	}
	if state.Stopping {
		role += ", stopping"
	}
	return []string{
		string(state.Member.Name),
		string(state.Member.Zone),
		state.Member.HTTP,
		role,
		formatEpoch(state.Epoch),
		fmt.Sprint(state.TablesRevision),
		fmt.Sprint(state.KeysRevision),
		state.StoreAge.Round(time.Millisecond).String() + " ago",
	}
}
