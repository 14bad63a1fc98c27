package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// item is an entry of the store, or the deletion of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in for the platform's metadata store. It keeps its whole history and loses nothing.
type store struct {
	delay atomic.Int64 // Time that an answer takes, as a time.Duration.

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	changed  chan struct{} // Closed at the next change.
}

// maxPageItems is the largest number of items in an answer to a range.
const maxPageItems = 500

func newStore(delay time.Duration) *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	s.delay.Store(int64(delay))
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expireLeases()
		}
	}()
	return s
}

// serve serves the store on a listener until the program ends.
func (s *store) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.handleGet)
	mux.HandleFunc("GET /v1/kv-range", s.handleRange)
	mux.HandleFunc("GET /v1/kv-watch", s.handleWatch)
	mux.HandleFunc("POST /v1/kv-txn", s.handleTxn)
	mux.HandleFunc("POST /v1/kv-lease", s.handleGrant)
	mux.HandleFunc("POST /v1/kv-keep/{lease}", s.handleKeep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{lease}", s.handleEnd)
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Duration(s.delay.Load()))
			mux.ServeHTTP(w, r)
		}))
	}()
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// put writes a key as the operator or a minion does, who need no condition.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change([]item{{Key: key, Value: text}}, nil)
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(nil, []string{key})
}

// get returns the value of a key, or nil.
func (s *store) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// change applies puts and deletes at one revision; the caller holds the lock.
func (s *store) change(puts []item, deletes []string) int64 {
	s.revision++
	for _, p := range puts {
		p.Revision, p.Created = s.revision, s.revision
		if old, ok := s.items[p.Key]; ok {
			p.Created = old.Created
		}
		s.items[p.Key] = p
		s.history = append(s.history, p)
	}
	for _, key := range deletes {
		if _, ok := s.items[key]; !ok {
			continue
		}
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

func (s *store) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, it := range s.items {
		if it.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.change(nil, keys)
	}
}

func (s *store) handleGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.FormValue("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"store_revision": s.revision})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		StoreRevision int64 `json:"store_revision"`
	}{it, s.revision})
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > maxPageItems
	answer(w, http.StatusOK, map[string]any{"items": found[:min(len(found), maxPageItems)], "has_more": more, "store_revision": s.revision})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, errWait := strconv.Atoi(r.FormValue("wait_ms"))
	if err != nil || errWait != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := s.since(r.FormValue("prefix"), after)
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": []item{}, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) since(prefix string, after int64) []item {
	events := []item{}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
	for _, it := range s.history[first:] {
		if strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events
}

func (s *store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		If []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"if_revision"`
		Puts    []item   `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	current := []item{}
	for _, c := range body.If {
		it, ok := s.items[c.Key]
		if !ok {
			it = item{Key: c.Key}
		}
		holds = holds && it.Revision == c.Revision
		current = append(current, it)
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range body.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.change(body.Puts, body.Deletes)})
}

func (s *store) handleGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	l := &lease{ttl: time.Duration(body.TTL) * time.Millisecond}
	l.ends = time.Now().Add(l.ttl)
	s.leases[s.revision] = l
	answer(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": body.TTL})
}

func (s *store) handleKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("lease"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	l.ends = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) handleEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("lease"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	s.endLease(id)
	answer(w, http.StatusOK, struct{}{})
}
