package client_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/tables"
	"cyclamendyke/core/timeline"
)

// fakeEntry is a fake entry VM. A script can inject behaviors, each of which applies to one call.
type fakeEntry struct {
	*httptest.Server
	name        cyclamendyke.MemberName
	reachable   []cyclamendyke.Member // Other members that /v1/members lists as reachable.
	unreachable []cyclamendyke.Member // Members that /v1/members lists as unreachable.
	mu          sync.Mutex
	behaviors   map[string]int // Number of calls that each injected behavior still applies to.
	revision    cyclamendyke.Revision
	tablesText  cyclamendyke.TablesText
	keys        []cyclamendyke.KeyRecord
	events      []cyclamendyke.TimelineEvent
	calls       []string
}

func newFakeEntry(name string) *fakeEntry {
	f := &fakeEntry{name: cyclamendyke.MemberName(name), behaviors: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/jobs", f.submit)
	mux.HandleFunc("GET /v1/jobs/{request}", f.status)
	mux.HandleFunc("DELETE /v1/jobs/{request}", f.status)
	mux.HandleFunc("GET /v1/tables", f.getTables)
	mux.HandleFunc("PUT /v1/tables", f.putTables)
	mux.HandleFunc("POST /v1/tables/check", f.checkTables)
	mux.HandleFunc("GET /v1/members", f.members)
	mux.HandleFunc("POST /v1/keys", f.grantKey)
	mux.HandleFunc("GET /v1/keys", f.listKeys)
	mux.HandleFunc("DELETE /v1/keys/{id}", f.withdrawKey)
	mux.HandleFunc("GET /v1/workers", f.workers)
	mux.HandleFunc("GET /v1/allotments", f.allotments)
	mux.HandleFunc("GET /v1/timeline", f.timeline)
	mux.HandleFunc("GET /v1/account", f.account)
	f.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.calls = append(f.calls, r.Method+" "+r.URL.Path)
		needsOperatorKey := !strings.HasPrefix(r.URL.Path, "/v1/jobs")
		if needsOperatorKey && r.Header.Get("Authorization") != "Bearer operator" {
			writeResponse(w, http.StatusUnauthorized, map[string]string{"reason": "bad-key", "detail": "the key is wrong"})
			return
		}
		isPut := r.Method == http.MethodPut
		if f.consume("lose-before") || isPut && f.consume("lose-put-before") {
			closeConnection(w)
			return
		}
		if f.consume("lose-after") || isPut && f.consume("lose-put-after") {
			mux.ServeHTTP(httptest.NewRecorder(), r)
			closeConnection(w)
			return
		}
		mux.ServeHTTP(w, r)
	}))
	return f
}

func (f *fakeEntry) address() string {
	return f.Listener.Addr().String()
}

// consume reports whether a behavior is injected, and uses up one call of it.
func (f *fakeEntry) consume(name string) bool {
	if f.behaviors[name] == 0 {
		return false
	}
	f.behaviors[name]--
	return true
}

func writeResponse(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		panic(err)
	}
}

// closeConnection closes the connection without sending a response.
func closeConnection(w http.ResponseWriter) {
	if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
		conn.Close()
	}
}

var fakeTime = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// submit answers that the work ran, unless the key is wrong or a behavior is injected. Tasks of the
// route "fails" exit with 3.
func (f *fakeEntry) submit(w http.ResponseWriter, r *http.Request) {
	var submission cyclamendyke.Submission
	if err := json.NewDecoder(r.Body).Decode(&submission); err != nil {
		panic(err)
	}
	outcome := cyclamendyke.Outcome{Request: "zone-1-01", Verdict: cyclamendyke.VerdictNotRun}
	switch {
	case r.Header.Get("Authorization") != "Bearer cyk-1-good":
		outcome.Reason = cyclamendyke.ReasonBadKey
		writeResponse(w, http.StatusUnauthorized, outcome)
	case f.consume("full"):
		outcome.Reason = cyclamendyke.ReasonQueueFull
		outcome.Detail = "the queue of the team is full"
		outcome.RetryAfter = time.Millisecond
		writeResponse(w, http.StatusTooManyRequests, outcome)
	case f.consume("stopping"):
		outcome.Reason = cyclamendyke.ReasonStopping
		writeResponse(w, http.StatusServiceUnavailable, outcome)
	case f.consume("balancer-fails"):
		writeResponse(w, http.StatusBadGateway, "<html>")
	case submission.Detach:
		outcome.Verdict = cyclamendyke.VerdictPending
		writeResponse(w, http.StatusAccepted, outcome)
	default:
		outcome.Verdict = cyclamendyke.VerdictRan
		for i := range submission.Tasks {
			outcome.Results = append(outcome.Results, f.result(submission, i))
		}
		writeResponse(w, http.StatusOK, outcome)
	}
}

func (f *fakeEntry) result(submission cyclamendyke.Submission, index int) cyclamendyke.TaskResult {
	result := cyclamendyke.TaskResult{
		Task:     cyclamendyke.TaskID{Request: "zone-1-01", Index: index},
		Worker:   "w-1",
		Output:   fmt.Sprintf("%s %v", submission.Payload, submission.PerTask),
		Started:  fakeTime,
		Finished: fakeTime.Add(time.Second),
	}
	if submission.Route == "fails" {
		result.ExitCode = 3
	}
	return result
}

// status reports that the request ran, or that it is pending while the behavior "pending" is injected.
func (f *fakeEntry) status(w http.ResponseWriter, r *http.Request) {
	request := cyclamendyke.RequestID(r.PathValue("request"))
	if request == "zone-1-00" {
		writeResponse(w, http.StatusNotFound, cyclamendyke.Outcome{Request: request, Reason: cyclamendyke.ReasonNotFound, Detail: "no such request"})
		return
	}
	status := cyclamendyke.JobStatus{
		Job:     cyclamendyke.Job{Request: request, Team: "a", Route: "ran", Tasks: 2, AcceptedAt: fakeTime},
		Done:    2,
		Outcome: cyclamendyke.Outcome{Request: request, Verdict: cyclamendyke.VerdictRan},
	}
	if f.consume("pending") {
		status.Done, status.Running = 0, 2
		status.Outcome.Verdict = cyclamendyke.VerdictPending
	}
	writeResponse(w, http.StatusOK, status)
}

func (f *fakeEntry) getTables(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, http.StatusOK, map[string]any{"revision": f.revision, "routes": f.tablesText.Routes, "pools": f.tablesText.Pools})
}

// putTables replaces the tables; the behavior "race" lets another operator change them first.
func (f *fakeEntry) putTables(w http.ResponseWriter, r *http.Request) {
	var edit struct {
		Expected cyclamendyke.Revision
		cyclamendyke.TablesText
	}
	if err := json.NewDecoder(r.Body).Decode(&edit); err != nil {
		panic(err)
	}
	if f.consume("race") {
		f.revision++
		f.tablesText.Routes = "# another operator's\n" + f.tablesText.Routes
	}
	if edit.Expected != f.revision {
		writeResponse(w, http.StatusConflict, map[string]any{"revision": f.revision, "detail": "another operator was first"})
		return
	}
	f.revision++
	f.tablesText = edit.TablesText
	writeResponse(w, http.StatusOK, map[string]any{"revision": f.revision})
}

func (f *fakeEntry) checkTables(w http.ResponseWriter, r *http.Request) {
	var text cyclamendyke.TablesText
	if err := json.NewDecoder(r.Body).Decode(&text); err != nil {
		panic(err)
	}
	_, faults := tables.Parse(text, 0)
	writeResponse(w, http.StatusOK, map[string]any{"faults": faults})
}

// members lists this fake and the other members; with the behavior "behind" this fake reports the
// previous revision.
func (f *fakeEntry) members(w http.ResponseWriter, _ *http.Request) {
	revision := f.revision
	if f.consume("behind") {
		revision--
	}
	states := make([]cyclamendyke.MemberState, 0, 1+len(f.reachable))
	states = append(states, cyclamendyke.MemberState{
		Member:         cyclamendyke.Member{Name: f.name, Zone: "zone-1", HTTP: f.address()},
		Scheduling:     true,
		Epoch:          cyclamendyke.Epoch{Term: 3, Owner: f.name},
		TablesRevision: revision,
		KeysRevision:   revision,
		StoreAge:       250 * time.Millisecond,
	})
	for _, member := range f.reachable {
		states = append(states, cyclamendyke.MemberState{Member: member, TablesRevision: f.revision, KeysRevision: f.revision})
	}
	writeResponse(w, http.StatusOK, map[string]any{"members": states, "unreachable": f.unreachable})
}

func (f *fakeEntry) grantKey(w http.ResponseWriter, r *http.Request) {
	var grant struct{ Team cyclamendyke.TeamName }
	if err := json.NewDecoder(r.Body).Decode(&grant); err != nil {
		panic(err)
	}
	f.revision++
	id := fmt.Sprintf("k%d", len(f.keys)+1)
	f.keys = append(f.keys, cyclamendyke.KeyRecord{ID: id, Team: grant.Team, GrantedAt: fakeTime})
	writeResponse(w, http.StatusOK, map[string]string{"id": id, "key": "cyk-" + id + "-secret"})
}

func (f *fakeEntry) listKeys(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, http.StatusOK, map[string]any{"keys": f.keys})
}

func (f *fakeEntry) withdrawKey(w http.ResponseWriter, r *http.Request) {
	for i := range f.keys {
		if f.keys[i].ID == r.PathValue("id") {
			f.revision++
			f.keys[i].WithdrawnAt = fakeTime.Add(time.Hour)
			writeResponse(w, http.StatusOK, map[string]any{"revision": f.revision})
			return
		}
	}
	writeResponse(w, http.StatusNotFound, map[string]string{"reason": "not-found", "detail": "no such key"})
}

func (f *fakeEntry) workers(w http.ResponseWriter, r *http.Request) {
	vm := cyclamendyke.VM{Name: "w-1", Zone: "zone-1", Pool: "search", Rack: "r1", Capacity: cyclamendyke.Resources{Cores: 64000, Memory: 131072, Slots: 8}}
	leaving := vm
	leaving.Name, leaving.State = "w-2", cyclamendyke.VMLeaving
	writeResponse(w, http.StatusOK, map[string]any{"zone": r.FormValue("zone"), "workers": []cyclamendyke.WorkerState{
		{VM: vm, Claimed: true, Healthy: true, Reserved: cyclamendyke.Resources{Cores: 1500}, Tasks: 1},
		{VM: leaving},
	}})
}

func (f *fakeEntry) allotments(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, http.StatusOK, map[string]any{"revision": 4, "teams": map[string]cyclamendyke.TeamAllotments{
		"b": {Limit: cyclamendyke.Resources{Cores: 2000}, Zones: map[cyclamendyke.ZoneName]cyclamendyke.Allotment{"zone-2": {Held: cyclamendyke.Resources{Cores: 500}}, "zone-1": {}}},
		"a": {Zones: map[cyclamendyke.ZoneName]cyclamendyke.Allotment{"zone-1": {}}},
	}})
}

func (f *fakeEntry) timeline(w http.ResponseWriter, r *http.Request) {
	filter := cyclamendyke.TimelineFilter{Kind: cyclamendyke.EventKind(r.FormValue("kind"))}
	var events []cyclamendyke.TimelineEvent
	for _, event := range f.events {
		if timeline.Matches(filter, event) {
			events = append(events, event)
		}
	}
	writeResponse(w, http.StatusOK, map[string]any{"member": f.name, "events": events})
}

func (f *fakeEntry) account(w http.ResponseWriter, r *http.Request) {
	writeResponse(w, http.StatusOK, map[string]any{"records": []cyclamendyke.AccountRecord{
		{At: fakeTime, Zone: "zone-1", Request: cyclamendyke.RequestID(r.FormValue("request")), Team: "a", Route: "ran", Verdict: cyclamendyke.VerdictRan, Tasks: 2, Count: 1, CoreSeconds: 3, Workers: []cyclamendyke.WorkerName{"w-1", "w-2"}},
		{At: fakeTime, Zone: "zone-1", Verdict: cyclamendyke.VerdictNotRun, Reason: cyclamendyke.ReasonQueueFull, Count: 40},
	}})
}

// closedAddress returns an address on which nothing listens.
func closedAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
