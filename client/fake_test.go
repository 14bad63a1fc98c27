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

// fakeEntry answers like an entry VM; its switches, each good for one call, make it behave otherwise.
type fakeEntry struct {
	*httptest.Server
	name     cyclamendyke.MemberName
	others   []cyclamendyke.Member // Listed by /v1/members as reachable.
	lost     []cyclamendyke.Member // Listed as unreachable.
	mu       sync.Mutex
	switches map[string]int
	revision cyclamendyke.Revision
	text     cyclamendyke.TablesText
	keys     []cyclamendyke.KeyRecord
	events   []cyclamendyke.TimelineEvent
	calls    []string
}

func newFakeEntry(name string) *fakeEntry {
	f := &fakeEntry{name: cyclamendyke.MemberName(name), switches: map[string]int{}}
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
		operator := !strings.HasPrefix(r.URL.Path, "/v1/jobs")
		if operator && r.Header.Get("Authorization") != "Bearer operator" {
			answer(w, http.StatusUnauthorized, map[string]string{"reason": "bad-key", "detail": "the key is wrong"})
			return
		}
		isPut := r.Method == http.MethodPut
		if f.take("lose-before") || isPut && f.take("lose-put-before") {
			hangUp(w)
			return
		}
		if f.take("lose-after") || isPut && f.take("lose-put-after") {
			mux.ServeHTTP(httptest.NewRecorder(), r)
			hangUp(w)
			return
		}
		mux.ServeHTTP(w, r)
	}))
	return f
}

func (f *fakeEntry) address() string {
	return f.Listener.Addr().String()
}

func (f *fakeEntry) take(name string) bool {
	if f.switches[name] == 0 {
		return false
	}
	f.switches[name]--
	return true
}

func answer(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		panic(err)
	}
}

// hangUp closes the connection without an answer.
func hangUp(w http.ResponseWriter) {
	if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
		conn.Close()
	}
}

var fakeTime = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// submit answers by the name of the route.
func (f *fakeEntry) submit(w http.ResponseWriter, r *http.Request) {
	var submission cyclamendyke.Submission
	if err := json.NewDecoder(r.Body).Decode(&submission); err != nil {
		panic(err)
	}
	outcome := cyclamendyke.Outcome{Request: "zone-1-01", Verdict: cyclamendyke.VerdictNotRun}
	switch {
	case r.Header.Get("Authorization") != "Bearer cyk-1-good":
		outcome.Reason = cyclamendyke.ReasonBadKey
		answer(w, http.StatusUnauthorized, outcome)
	case f.take("full"):
		outcome.Reason = cyclamendyke.ReasonQueueFull
		outcome.Detail = "the queue of the team is full"
		outcome.RetryAfter = time.Millisecond
		answer(w, http.StatusTooManyRequests, outcome)
	case f.take("stopping"):
		outcome.Reason = cyclamendyke.ReasonStopping
		answer(w, http.StatusServiceUnavailable, outcome)
	case f.take("balancer-fails"):
		answer(w, http.StatusBadGateway, "<html>")
	case submission.Detach:
		outcome.Verdict = cyclamendyke.VerdictPending
		answer(w, http.StatusAccepted, outcome)
	default:
		outcome.Verdict = cyclamendyke.VerdictRan
		for i := range submission.Tasks {
			outcome.Results = append(outcome.Results, f.result(submission, i))
		}
		answer(w, http.StatusOK, outcome)
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

// status answers pending once for each switch "pending", then that the request ran.
func (f *fakeEntry) status(w http.ResponseWriter, r *http.Request) {
	request := cyclamendyke.RequestID(r.PathValue("request"))
	if request == "zone-1-00" {
		answer(w, http.StatusNotFound, cyclamendyke.Outcome{Request: request, Reason: cyclamendyke.ReasonNotFound, Detail: "no such request"})
		return
	}
	status := cyclamendyke.JobStatus{
		Job:     cyclamendyke.Job{Request: request, Team: "a", Route: "ran", Tasks: 2, Accepted: fakeTime},
		Done:    2,
		Outcome: cyclamendyke.Outcome{Request: request, Verdict: cyclamendyke.VerdictRan},
	}
	if f.take("pending") {
		status.Done, status.Running = 0, 2
		status.Outcome.Verdict = cyclamendyke.VerdictPending
	}
	answer(w, http.StatusOK, status)
}

func (f *fakeEntry) getTables(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, map[string]any{"revision": f.revision, "routes": f.text.Routes, "pools": f.text.Pools})
}

// putTables swaps the tables; the switch "race" lets another operator in before.
func (f *fakeEntry) putTables(w http.ResponseWriter, r *http.Request) {
	var edit struct {
		Expected cyclamendyke.Revision
		cyclamendyke.TablesText
	}
	if err := json.NewDecoder(r.Body).Decode(&edit); err != nil {
		panic(err)
	}
	if f.take("race") {
		f.revision++
		f.text.Routes = "# another operator's\n" + f.text.Routes
	}
	if edit.Expected != f.revision {
		answer(w, http.StatusConflict, map[string]any{"revision": f.revision, "detail": "another operator was first"})
		return
	}
	f.revision++
	f.text = edit.TablesText
	answer(w, http.StatusOK, map[string]any{"revision": f.revision})
}

func (f *fakeEntry) checkTables(w http.ResponseWriter, r *http.Request) {
	var text cyclamendyke.TablesText
	if err := json.NewDecoder(r.Body).Decode(&text); err != nil {
		panic(err)
	}
	_, faults := tables.Parse(text, 0)
	answer(w, http.StatusOK, map[string]any{"faults": faults})
}

// members reports this process, behind by one revision for each switch "behind", and the others.
func (f *fakeEntry) members(w http.ResponseWriter, _ *http.Request) {
	revision := f.revision
	if f.take("behind") {
		revision--
	}
	states := make([]cyclamendyke.MemberState, 0, 1+len(f.others))
	states = append(states, cyclamendyke.MemberState{
		Member:         cyclamendyke.Member{Name: f.name, Zone: "zone-1", HTTP: f.address()},
		Scheduling:     true,
		Epoch:          cyclamendyke.Epoch{Term: 3, Owner: f.name},
		TablesRevision: revision,
		KeysRevision:   revision,
		StoreAge:       250 * time.Millisecond,
	})
	for _, other := range f.others {
		states = append(states, cyclamendyke.MemberState{Member: other, TablesRevision: f.revision, KeysRevision: f.revision})
	}
	answer(w, http.StatusOK, map[string]any{"members": states, "unreachable": f.lost})
}

func (f *fakeEntry) grantKey(w http.ResponseWriter, r *http.Request) {
	var grant struct{ Team cyclamendyke.TeamName }
	if err := json.NewDecoder(r.Body).Decode(&grant); err != nil {
		panic(err)
	}
	f.revision++
	id := fmt.Sprintf("k%d", len(f.keys)+1)
	f.keys = append(f.keys, cyclamendyke.KeyRecord{ID: id, Team: grant.Team, Granted: fakeTime})
	answer(w, http.StatusOK, map[string]string{"id": id, "key": "cyk-" + id + "-secret"})
}

func (f *fakeEntry) listKeys(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, map[string]any{"keys": f.keys})
}

func (f *fakeEntry) withdrawKey(w http.ResponseWriter, r *http.Request) {
	for i := range f.keys {
		if f.keys[i].ID == r.PathValue("id") {
			f.revision++
			f.keys[i].Withdrawn = fakeTime.Add(time.Hour)
			answer(w, http.StatusOK, map[string]any{"revision": f.revision})
			return
		}
	}
	answer(w, http.StatusNotFound, map[string]string{"reason": "not-found", "detail": "no such key"})
}

func (f *fakeEntry) workers(w http.ResponseWriter, r *http.Request) {
	vm := cyclamendyke.VM{Name: "w-1", Zone: "zone-1", Pool: "search", Rack: "r1", Capacity: cyclamendyke.Resources{Cores: 64000, Memory: 131072, Slots: 8}}
	leaving := vm
	leaving.Name, leaving.State = "w-2", cyclamendyke.VMLeaving
	answer(w, http.StatusOK, map[string]any{"zone": r.FormValue("zone"), "workers": []cyclamendyke.WorkerState{
		{VM: vm, Claimed: true, Healthy: true, Reserved: cyclamendyke.Resources{Cores: 1500}, Tasks: 1},
		{VM: leaving},
	}})
}

func (f *fakeEntry) allotments(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, map[string]any{"revision": 4, "teams": map[string]cyclamendyke.TeamAllotments{
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
	answer(w, http.StatusOK, map[string]any{"member": f.name, "events": events})
}

func (f *fakeEntry) account(w http.ResponseWriter, r *http.Request) {
	answer(w, http.StatusOK, map[string]any{"records": []cyclamendyke.AccountRecord{
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
