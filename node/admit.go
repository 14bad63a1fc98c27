package node

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"cyclamendyke"
)

// admittedRequest is a request whose queue was found and whose key was accepted.
type admittedRequest struct {
	queue        *cyclamendyke.Queue
	team         cyclamendyke.TeamName
	id           cyclamendyke.WorkflowID // Empty if the path names only a queue.
	maxBodyBytes int64
}

// admit finds the queue of a request and checks its key. The result is empty if the request is admitted.
func (n *Node) admit(call cyclamendyke.IntakeCall) (admittedRequest, cyclamendyke.IntakeResult) {
	n.refreshBeforeUse()
	fleet := n.fleetConfig.Load()
	if fleet == nil || n.operatorsOutdated() {
		return admittedRequest{}, cyclamendyke.IntakeUnavailable
	}
	var queue *cyclamendyke.Queue
	for i := range fleet.Queues {
		q := &fleet.Queues[i]
		if q.Host == call.Host && strings.HasPrefix(call.Path, q.Prefix) && (queue == nil || len(q.Prefix) > len(queue.Prefix)) {
			queue = q
		}
	}
	if queue == nil {
		return admittedRequest{}, cyclamendyke.IntakeNoQueue
	}
	request := admittedRequest{queue: queue, team: teamOf(fleet, call.Key), maxBodyBytes: fleet.Limits.BodyBytes}
	if request.maxBodyBytes == 0 {
		request.maxBodyBytes = defaultMaxBodyBytes
	}
	if request.team == "" {
		if !queue.Open {
			return admittedRequest{}, cyclamendyke.IntakeBadKey
		}
		request.team = cyclamendyke.OpenTeam
	}
	request.id = cyclamendyke.WorkflowID(call.Path[len(queue.Prefix):])
	if request.id != "" && !validID(request.id) {
		return admittedRequest{}, cyclamendyke.IntakeNoQueue
	}
	return request, ""
}

// teamOf returns the team that owns a key, or an empty name if the key is unknown.
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

// validID reports whether a workflow identifier consists of idLength hexadecimal digits.
func validID(id cyclamendyke.WorkflowID) bool {
	if len(id) != idLength {
		return false
	}
	return strings.Trim(string(id), "0123456789abcdefABCDEF") == ""
}

// withAnswerDeadline bounds the work for a call so that its answer arrives within the caller's deadline.
func withAnswerDeadline(ctx context.Context, call cyclamendyke.IntakeCall) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, max(answerMargin, call.Timeout-answerMargin))
}

// refuse returns the reply to a refused request, with a retry delay if the cause may be temporary. The delay
// is random, so that callers who were refused together do not come back together.
func refuse(result cyclamendyke.IntakeResult) cyclamendyke.IntakeReply {
	reply := cyclamendyke.IntakeReply{Result: result}
	if result == cyclamendyke.IntakeUnavailable || result == cyclamendyke.IntakeLimited {
		reply.RetryAfter = retryAfter/2 + rand.N(retryAfter)
	}
	return reply
}

// logRequest counts a request and logs its outcome.
func (n *Node) logRequest(op string, call cyclamendyke.IntakeCall, request admittedRequest, reply cyclamendyke.IntakeReply, err error) {
	n.cfg.Metrics.Requests.WithLabelValues(op, string(reply.Result)).Inc()
	fields := []any{"request", call.Request, "workflow", request.id, "team", request.team, "result", reply.Result}
	if request.queue != nil {
		fields = append(fields, "queue", request.queue.Name)
	}
	if fleet := n.fleetConfig.Load(); fleet != nil {
		fields = append(fields, "version", fleet.Version, "config-age", n.operatorsAge())
	}
	if err != nil {
		fields = append(fields, "store-age", (bootTime() - n.session.lastStoreAnswer()).Round(time.Millisecond), "err", err)
	}
	n.cfg.RequestLog.Info(op, fields...)
}
