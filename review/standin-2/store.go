package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pageRows and pageBytes bound one page of rows.
	pageRows  = 500
	pageBytes = 1 << 20
	// feedTick is how often a feed that waits looks for changes.
	feedTick = 3 * time.Millisecond
	// retention is how long the store keeps its history.
	retention = 20 * time.Second
)

// rowKey names a row of the table service.
type rowKey struct{ Table, Part, Key string }

// row is a row, a write or a condition of a transaction.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"schema_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) key() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// store is the platform's table service.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []change
	// forgotten is the version of the latest change that the history lacks.
	forgotten int64
	version   int64
	began     time.Time
	// latency is how long an answer takes, in nanoseconds.
	latency atomic.Int64
}

// change is a row as of a version.
type change struct {
	row
	at time.Time
}

// usualLatency is how long an answer of the store takes.
const usualLatency = 4 * time.Millisecond

func newStore() *store {
	s := &store{rows: map[rowKey]row{}, began: time.Now()}
	s.latency.Store(int64(usualLatency))
	return s
}

// apply carries out writes and removals as one transaction. The caller holds mu.
func (s *store) apply(writes, removals []row) {
	s.version++
	now := time.Now()
	for _, w := range writes {
		w.Version = s.version
		s.rows[w.key()] = w
		s.history = append(s.history, change{w, now})
	}
	for _, r := range removals {
		if _, ok := s.rows[r.key()]; ok {
			delete(s.rows, r.key())
			s.history = append(s.history, change{row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true}, now})
		}
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > retention {
		s.forgotten, s.history = s.history[0].Version, s.history[1:]
	}
}

// put writes a row as the operator or a worker does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: data}}, nil)
}

// drop removes a row.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []row{{Table: table, Key: key}})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	mux.HandleFunc("GET /api/rows-parts", s.parts)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(s.latency.Load()))
		mux.ServeHTTP(w, r)
	})
}

// answer writes a response about rows.
func (s *store) answer(w http.ResponseWriter, status int, rows []row, version int64, more bool) {
	if rows == nil {
		rows = []row{}
	}
	reply(w, status, map[string]any{
		"rows": rows, "has_more": more, "schema_version": version, "now_ms": time.Since(s.began).Milliseconds() + 1,
	})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Conditions []row `json:"expected_revision"`
		Writes     []row `json:"writes"`
		Removals   []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil || len(txn.Conditions)+len(txn.Writes)+len(txn.Removals) > 100 {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	for _, x := range append(txn.Writes[:len(txn.Writes):len(txn.Writes)], txn.Removals...) {
		if x.Table == "op" || x.Table == "servers" {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	s.mu.Lock()
	holds := true
	var current []row
	for _, c := range txn.Conditions {
		now, ok := s.rows[c.key()]
		if !ok {
			now = row{Table: c.Table, Part: c.Part, Key: c.Key}
		}
		holds = holds && now.Version == c.Version
		current = append(current, now)
	}
	if holds {
		s.apply(txn.Writes, txn.Removals)
	}
	version := s.version
	s.mu.Unlock()
	if holds {
		s.answer(w, http.StatusOK, nil, version, false)
		return
	}
	s.answer(w, http.StatusPreconditionFailed, current, version, false)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	var list []row
	for k, x := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("start_key") && (q.Get("to") == "" || k.Key < q.Get("to")) {
			list = append(list, x)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	size, n := 0, 0
	for n < len(list) && n < limit && (n == 0 || size+len(list[n].Value) <= pageBytes) {
		size += len(list[n].Value)
		n++
	}
	s.answer(w, http.StatusOK, list[:n], version, n < len(list))
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || waitErr != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	until := time.Now().Add(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		gone := s.forgotten > after
		newest := map[rowKey]row{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Version > after; i-- {
			if x := s.history[i].row; x.Table == q.Get("table") {
				if _, ok := newest[x.key()]; !ok {
					newest[x.key()] = x
				}
			}
		}
		version := s.version
		s.mu.Unlock()
		if gone {
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		if len(newest) > 0 || !time.Now().Before(until) {
			list := make([]row, 0, len(newest))
			for _, x := range newest {
				list = append(list, x)
			}
			sort.Slice(list, func(i, j int) bool { return list[i].Version < list[j].Version })
			s.answer(w, http.StatusOK, list, version, false)
			return
		}
		select {
		case <-time.After(feedTick):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found := map[string]bool{}
	for k := range s.rows {
		if k.Table == r.URL.Query().Get("table") && k.Part > r.URL.Query().Get("after") {
			found[k.Part] = true
		}
	}
	s.mu.Unlock()
	list := make([]string, 0, len(found))
	for p := range found {
		list = append(list, p)
	}
	sort.Strings(list)
	reply(w, http.StatusOK, map[string]any{"parts": list[:min(len(list), 1000)]})
}

// reply writes a JSON response.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails if the caller has closed the connection
}
