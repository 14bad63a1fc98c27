package node

import (
	"context"
	"strings"
	"time"

	"cyclamendyke"
)

// admitted is a request whose queue and key are known.
type admitted struct {
	queue *cyclamendyke.Queue
	team  cyclamendyke.TeamName
	id    cyclamendyke.WorkflowID // Empty if the path names the queue alone.
	limit int64
}

// admit finds the queue of a request and checks its key.
func (n *Node) admit(call cyclamendyke.IntakeCall) (admitted, cyclamendyke.IntakeResult) {
	fleet := n.fleet.Load()
	if fleet == nil {
		return admitted{}, cyclamendyke.IntakeUnavailable
	}
	var found *cyclamendyke.Queue
	for i := range fleet.Queues {
		q := &fleet.Queues[i]
		if q.Host == call.Host && strings.HasPrefix(call.Path, q.Prefix) && (found == nil || len(q.Prefix) > len(found.Prefix)) {
			found = q
		}
	}
	if found == nil {
		return admitted{}, cyclamendyke.IntakeNoQueue
	}
	out := admitted{queue: found, team: teamOf(fleet, call.Key), limit: fleet.Limits.BodyBytes}
	if out.limit == 0 {
		out.limit = defaultMaxBody
	}
	if out.team == "" {
		if !found.Open {
			return admitted{}, cyclamendyke.IntakeBadKey
		}
		out.team = cyclamendyke.OpenTeam
	}
	out.id = cyclamendyke.WorkflowID(call.Path[len(found.Prefix):])
	if out.id != "" && !validID(out.id) {
		return admitted{}, cyclamendyke.IntakeNoQueue
	}
	return out, ""
}

func teamOf(fleet *cyclamendyke.FleetConfig, key string) cyclamendyke.TeamName {
	if key == "" {
		return ""
	}
	for _, team := range fleet.Teams {
		for _, k := range team.Keys {
			if k == key {
				return team.Team
			}
		}
	}
	return ""
}

const idLength = 16

// validID reports whether a caller's identifier has its form.
func validID(id cyclamendyke.WorkflowID) bool {
	if len(id) != idLength {
		return false
	}
	return strings.Trim(string(id), "0123456789abcdefABCDEF") == ""
}

// untilAnswer bounds what is done for a caller, so that the answer arrives within its deadline.
func untilAnswer(ctx context.Context, call cyclamendyke.IntakeCall) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, max(answerMargin, call.Deadline-answerMargin))
}

func refuse(result cyclamendyke.IntakeResult) cyclamendyke.IntakeReply {
	reply := cyclamendyke.IntakeReply{Result: result}
	if result == cyclamendyke.IntakeUnavailable || result == cyclamendyke.IntakeLimited {
		reply.RetryAfter = comeBackSoon
	}
	return reply
}

// logRequest notes a request's outcome.
func (n *Node) logRequest(op string, call cyclamendyke.IntakeCall, a admitted, reply cyclamendyke.IntakeReply, err error) {
	n.cfg.Metrics.Requests.WithLabelValues(op, string(reply.Result)).Inc()
	fields := []any{"request", call.Request, "workflow", a.id, "team", a.team, "result", reply.Result}
	if a.queue != nil {
		fields = append(fields, "queue", a.queue.Name)
	}
	if fleet := n.fleet.Load(); fleet != nil {
		fields = append(fields, "version", fleet.Version)
	}
	if err != nil {
		fields = append(fields, "store-age", (bootTime() - n.session.reached()).Round(time.Millisecond), "err", err)
	}
	n.cfg.Requests.Info(op, fields...)
}
