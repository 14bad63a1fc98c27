package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the platform's store, as it goes over the wire.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// change is the body of a transaction.
type change struct {
	If []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"if_revision"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

func (c *change) puts(key string) bool {
	for _, p := range c.Puts {
		if p.Key == key {
			return true
		}
	}
	return false
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the platform's metadata store: one revision counter, leases and a history for watches.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*storeLease
	changed  chan struct{}

	// late, if set, says for how long a transaction is held back: it gets no answer then, and is carried out
	// after that time if its conditions still hold. Zero stands for a usual call.
	late func(c *change) time.Duration
	log  func(format string, args ...any)
}

func newStore(log func(string, ...any)) *store {
	s := &store{revision: 100, items: map[string]item{}, leases: map[int64]*storeLease{}, changed: make(chan struct{}), log: log}
	go s.expireLeases()
	return s
}

func (s *store) expireLeases() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
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
	if len(keys) == 0 {
		return
	}
	s.revision++
	for _, key := range keys {
		s.remove(key)
	}
	s.wake()
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) write(key string, value []byte, lease int64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key for the operator or a minion.
func (s *store) put(key string, value any) {
	text, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, text, 0)
	s.wake()
}

func (s *store) del(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.wake()
}

func (s *store) get(key string) (item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return it, ok
}

// commit carries out a transaction and returns the status and the body of its answer.
func (s *store) commit(c *change) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isMet := true
	var current []item
	for _, cond := range c.If {
		it, ok := s.items[cond.Key]
		if !ok {
			it = item{Key: cond.Key}
		}
		isMet = isMet && it.Revision == cond.Revision
		current = append(current, it)
	}
	if !isMet {
		return http.StatusPreconditionFailed, map[string]any{"items": current, "store_revision": s.revision}
	}
	for _, p := range c.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, map[string]any{}
		}
	}
	s.revision++
	for _, p := range c.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range c.Deletes {
		s.remove(key)
	}
	s.wake()
	return http.StatusOK, map[string]any{"revision": s.revision, "store_revision": s.revision}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// serve serves the store on a loopback port and returns its address.
func (s *store) serve() string {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		it, ok := s.items[r.FormValue("key")]
		s.mu.Unlock()
		if !ok {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
		answer(w, http.StatusOK, it)
	})
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", func(w http.ResponseWriter, r *http.Request) {
		c := &change{}
		if json.NewDecoder(r.Body).Decode(c) != nil {
			answer(w, http.StatusBadRequest, map[string]any{})
			return
		}
		if s.late != nil {
			if d := s.late(c); d > 0 {
				time.AfterFunc(d, func() {
					status, _ := s.commit(c)
					s.log("store: the write that had no answer is carried out %v later: %d", d, status)
				})
				<-r.Context().Done() // Its answer is lost: nothing follows on this connection.
				panic(http.ErrAbortHandler)
			}
		}
		status, body := s.commit(c)
		answer(w, status, body)
	})
	mux.HandleFunc("POST /v1/kv-lease", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		s.mu.Lock()
		s.revision++
		id, ttl := s.revision, time.Duration(body.TTL)*time.Millisecond
		s.leases[id] = &storeLease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": body.TTL})
	})
	mux.HandleFunc("POST /v1/kv-keep/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		l := s.leases[id]
		if l != nil {
			l.expires = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
		answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	})
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{})
	})
	return listenAndServe(mux)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []item
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			all = append(all, it)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	more := len(all) > 500
	if more {
		all = all[:500]
	}
	if all == nil {
		all = []item{}
	}
	answer(w, http.StatusOK, map[string]any{"items": all, "has_more": more, "store_revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after }); i < len(s.history); i++ {
			if strings.HasPrefix(s.history[i].Key, r.FormValue("prefix")) {
				events = append(events, s.history[i])
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// listenAndServe serves a handler on a free loopback port and returns its address.
func listenAndServe(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(fmt.Sprint(err))
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}
