package client

import (
	"cmp"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"cyclamendyke"
	"cyclamendyke/core/timeline"
)

const (
	timelineTimeout      = 5 * time.Second // For the call to one member.
	maxParallelTimelines = 16              // Concurrent calls to members.
)

type timelineOptions struct {
	client  *Client
	Request string `long:"request" value-name:"REQUEST" description:"only events of this request"`
	Worker  string `long:"worker" value-name:"NAME" description:"only events of this worker"`
	Team    string `long:"team" value-name:"NAME" description:"only events of this team"`
	Kind    string `long:"kind" value-name:"KIND" description:"only events of this kind, such as role-taken"`
}

// Execute shows the merged timeline of all members.
func (o *timelineOptions) Execute([]string) error {
	return o.client.runTimeline(o)
}

// unreachableMember names a member whose events are missing from the merged timeline.
type unreachableMember struct {
	Member cyclamendyke.MemberName `json:"member"`
	HTTP   string                  `json:"http"`
	Reason string                  `json:"reason"`
}

// memberTimeline holds the events of a member, or the error that prevented reading them.
type memberTimeline struct {
	events []cyclamendyke.TimelineEvent
	err    error
}

func (c *Client) runTimeline(o *timelineOptions) error {
	var list memberList
	if err := c.fetch(c.operatorCall("timeline", http.MethodGet, "/v1/members", nil), &list); err != nil {
		return err
	}
	members := listMembers(list)
	timelines := c.fetchTimelines(members, o.path())
	body := struct {
		Events      []cyclamendyke.TimelineEvent `json:"events"`
		Unreachable []unreachableMember          `json:"unreachable"`
	}{[]cyclamendyke.TimelineEvent{}, []unreachableMember{}}
	for i, result := range timelines {
		if result.err != nil {
			body.Unreachable = append(body.Unreachable, unreachableMember{Member: members[i].Name, HTTP: members[i].HTTP, Reason: result.err.Error()})
			continue
		}
		body.Events = timeline.Merge(body.Events, result.events)
	}
	for _, missing := range body.Unreachable {
		fmt.Fprintf(c.Stderr, "timeline: the events of %s are missing: %s\n", missing.Member, missing.Reason)
	}
	return c.print(body, func() [][]string {
		header := []string{"AT", "MEMBER", "EVENT", "REQUEST", "TASK", "WORKER", "TEAM", "EPOCH", "DETAIL"}
		return tableRows(header, body.Events, eventRow)
	})
}

func (o *timelineOptions) path() string {
	query := url.Values{}
	for _, filter := range [][2]string{{"request", o.Request}, {"worker", o.Worker}, {"team", o.Team}, {"kind", o.Kind}} {
		if filter[1] != "" {
			query.Set(filter[0], filter[1])
		}
	}
	return "/v1/timeline?" + query.Encode()
}

// listMembers returns all members, including those that the entry VM could not reach, sorted by name
// and without duplicates.
func listMembers(list memberList) []cyclamendyke.Member {
	members := slices.Clone(list.Unreachable)
	for _, state := range list.Members {
		members = append(members, state.Member)
	}
	slices.SortFunc(members, func(a, b cyclamendyke.Member) int { return cmp.Compare(a.Name, b.Name) })
	return slices.CompactFunc(members, func(a, b cyclamendyke.Member) bool { return a.Name == b.Name })
}

// fetchTimelines reads the timeline of each member from its own HTTP address; the results are in the
// order of members.
func (c *Client) fetchTimelines(members []cyclamendyke.Member, path string) []memberTimeline {
	timelines := make([]memberTimeline, len(members))
	var group errgroup.Group
	group.SetLimit(maxParallelTimelines)
	for i, member := range members {
		group.Go(func() error {
			timelines[i] = c.fetchTimeline(member, path)
			return nil
		})
	}
	_ = group.Wait() // The errors are in the results.
	return timelines
}

func (c *Client) fetchTimeline(member cyclamendyke.Member, path string) memberTimeline {
	ctx, cancel := c.withTimeout(timelineTimeout)
	defer cancel()
	response, err := c.Entry.Do(ctx, cyclamendyke.EntryRequest{
		Address: member.HTTP,
		Method:  http.MethodGet,
		Path:    path,
		Key:     c.options.OperatorKey,
	})
	if err != nil {
		return memberTimeline{err: err}
	}
	var reply struct {
		Member cyclamendyke.MemberName      `json:"member"`
		Events []cyclamendyke.TimelineEvent `json:"events"`
	}
	if err := decodeReply(apiCall{op: "timeline"}, response, &reply); err != nil {
		return memberTimeline{err: err}
	}
	if reply.Member != member.Name {
		return memberTimeline{err: &Error{Op: "timeline", Kind: cyclamendyke.KindNotFound, Detail: fmt.Sprintf("%s is now the address of %s", member.HTTP, reply.Member)}}
	}
	return memberTimeline{events: reply.Events}
}

func eventRow(event cyclamendyke.TimelineEvent) []string {
	task := "-"
	if event.Worker != "" && event.Request != "" {
		task = fmt.Sprint(event.Task)
	}
	return []string{
		formatTime(event.At.Wall),
		string(event.Member),
		string(event.Kind),
		formatText(event.Request),
		task,
		formatText(event.Worker),
		formatText(event.Team),
		formatEpoch(event.Epoch),
		formatText(event.Detail),
	}
}
