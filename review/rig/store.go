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

// item is one key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
}

// event is one change of a key.
type event struct {
	item
	deleted bool
}

// MarshalJSON writes a deletion without the fields of an item.
func (e event) MarshalJSON() ([]byte, error) {
	if e.deleted {
		return json.Marshal(map[string]any{"key": e.Key, "revision": e.Revision, "deleted": true})
	}
	return json.Marshal(e.item)
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []event
	revision int64
	leases   map[int64]*storeLease
	lastID   int64
	changed  chan struct{} // Closed and replaced at each change.
}

// storeLease is a lease with its end.
type storeLease struct {
	ttl time.Duration
	end time.Time
}

func newStore() *store {
	s := &store{items: map[string]item{}, revision: 1, leases: map[int64]*storeLease{}, lastID: 1000, changed: make(chan struct{})}
	go s.expireLeases()
	return s
}

// serve answers the store's calls at a listener; each entry VM has one of its own.
func (s *store) serve(listener net.Listener, fault *storeFault) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.getKey)
	mux.HandleFunc("GET /v1/kv-range", s.getRange)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.endLease)
	go func() { _ = http.Serve(listener, fault.wrap(mux)) }()
}

// storeFault is how the store treats one entry VM.
type storeFault struct {
	delay atomic.Int64 // Of each answer, as a time.Duration.
}

func (f *storeFault) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(f.delay.Load()))
		next.ServeHTTP(w, r)
	})
}

func reply(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, 404, map[string]any{"store_revision": revision})
		return
	}
	reply(w, 200, struct {
		item
		StoreRevision int64 `json:"store_revision"`
	}{found, revision})
}

const pageItems = 500

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more, bytes := false, 0
	for i, it := range found {
		if bytes += len(it.Value); i >= pageItems || i > 0 && bytes > 1<<20 {
			found, more = found[:i], true
			break
		}
	}
	reply(w, 200, map[string]any{"items": found, "has_more": more, "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, e := range s.history[first:] {
			if strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, 200, map[string]any{"events": events, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

type revisionRow struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

type putRow struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease"`
}

const (
	maxTxnEntries = 32
	maxValueBytes = 1 << 20
)

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		If      []revisionRow `json:"if_revision"`
		Puts    []putRow      `json:"puts"`
		Deletes []string      `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.If)+len(body.Puts)+len(body.Deletes) > maxTxnEntries {
		reply(w, 400, map[string]any{})
		return
	}
	for _, put := range body.Puts {
		if len(put.Value) > maxValueBytes || len(put.Key) > 200 {
			reply(w, 400, map[string]any{"reason": "too large"})
			return
		}
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			reply(w, 403, map[string]any{})
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, row := range body.If {
		it, ok := s.items[row.Key]
		if ok {
			current = append(current, it)
		}
		holds = holds && it.Revision == row.Revision
	}
	if !holds {
		reply(w, 412, map[string]any{"items": current, "store_revision": s.revision})
		return
	}
	for _, put := range body.Puts {
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			reply(w, 404, map[string]any{})
			return
		}
	}
	s.apply(body.Puts, body.Deletes)
	reply(w, 200, map[string]any{"revision": s.revision})
}

// apply changes keys at one new revision; the caller holds the lock.
func (s *store) apply(puts []putRow, deletes []string) {
	s.revision++
	for _, put := range puts {
		created := s.revision
		if old, ok := s.items[put.Key]; ok {
			created = old.Created
		}
		it := item{put.Key, put.Value, s.revision, created, put.Lease}
		s.items[put.Key] = it
		s.history = append(s.history, event{item: it})
	}
	for _, key := range deletes {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.history = append(s.history, event{item: item{Key: key, Revision: s.revision}, deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes one key as the operator or a minion does.
func (s *store) put(key string, value any) {
	text, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]putRow{{Key: key, Value: text}}, nil)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []string{key})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl := time.Duration(max(body.TTL, 1000)) * time.Millisecond
	s.mu.Lock()
	s.lastID++
	id := s.lastID
	s.leases[id] = &storeLease{ttl, time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, 200, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	found := s.leases[id]
	if found != nil {
		found.end = time.Now().Add(found.ttl)
	}
	s.mu.Unlock()
	if found == nil {
		reply(w, 404, map[string]any{})
		return
	}
	reply(w, 200, map[string]any{"ttl_ms": found.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.dropLease(id)
	s.mu.Unlock()
	reply(w, 200, map[string]any{})
}

// dropLease ends a lease and removes its keys; the caller holds the lock.
func (s *store) dropLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, it := range s.items {
		if it.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.apply(nil, keys)
	}
}

func (s *store) expireLeases() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.end) {
				s.dropLease(id)
			}
		}
		s.mu.Unlock()
	}
}
