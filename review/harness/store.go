package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/egretpitch/egretpitch/internal/platform"
)

const (
	// storeLatency is how long the store takes for an answer, and
	// transactionLatency for a transaction.
	storeLatency       = 4 * time.Millisecond
	transactionLatency = 8 * time.Millisecond
	// entryTimeout is after how much silence the entry of a worker is removed:
	// three heartbeat intervals.
	entryTimeout = 3 * heartbeatInterval
)

type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"schema_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r wireRow) key() platform.RowKey {
	return platform.RowKey{Table: r.Table, Part: r.Part, Key: r.Key}
}

// storeHandler serves the platform's store.
func (w *world) storeHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", w.commit)
	mux.HandleFunc("GET /api/rows-get", func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		q := r.URL.Query()
		rows, stamp, err := w.rows.ReadRows(r.Context(), q.Get("table"), q.Get("part"), q.Get("start_key"), q.Get("to"))
		replyRows(rw, rows, stamp, err)
	})
	mux.HandleFunc("GET /api/rows-feed", func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		q := r.URL.Query()
		after, err := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, waitErr := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
		if err != nil || waitErr != nil {
			reply(rw, http.StatusBadRequest, map[string]any{})
			return
		}
		rows, stamp, err := w.rows.Changes(r.Context(), q.Get("table"), after, time.Duration(wait)*time.Millisecond)
		replyRows(rw, rows, stamp, err)
	})
	return mux
}

func (w *world) commit(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Conditions []wireRow `json:"expected_revision"`
		Writes     []wireRow `json:"writes"`
		Remove     []wireRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(rw, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	time.Sleep(transactionLatency)
	txn := platform.RowTxn{}
	for _, c := range body.Conditions {
		txn.Conditions = append(txn.Conditions, platform.RowCondition{RowKey: c.key(), Version: c.Version})
	}
	for _, x := range body.Writes {
		txn.Writes = append(txn.Writes, platform.RowWrite{RowKey: x.key(), Value: x.Value})
		if x.Table == "servers" {
			w.mu.Lock()
			w.beats[x.Key] = time.Now()
			w.mu.Unlock()
		}
		if x.Table == "status" {
			w.note("status", "%s = %s", x.Key, x.Value)
		}
	}
	for _, x := range body.Remove {
		txn.Deletes = append(txn.Deletes, x.key())
	}
	stamp, err := w.rows.CommitRows(context.Background(), txn)
	var conflict *platform.RowConflict
	if errors.As(err, &conflict) {
		reply(rw, http.StatusPreconditionFailed, map[string]any{"schema_version": stamp.Version, "now_ms": stamp.NowMS, "rows": wireRows(conflict.Rows)})
		return
	}
	replyRows(rw, nil, stamp, err)
}

func wireRows(rows []platform.PartRow) []wireRow {
	list := make([]wireRow, len(rows))
	for i, r := range rows {
		list[i] = wireRow{Table: r.Table, Part: r.Part, Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted}
	}
	return list
}

func replyRows(rw http.ResponseWriter, rows []platform.PartRow, stamp platform.Stamp, err error) {
	if err != nil {
		reply(rw, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	reply(rw, http.StatusOK, map[string]any{"schema_version": stamp.Version, "now_ms": stamp.NowMS, "has_more": false, "rows": wireRows(rows)})
}

func reply(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // the peer may have left
}

// write stores a row as the operator or the platform does.
func (w *world) write(table, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = w.rows.CommitRows(context.Background(), platform.RowTxn{Writes: []platform.RowWrite{{RowKey: platform.RowKey{Table: table, Key: key}, Value: data}}})
	return err
}

// remove removes the entry of a worker.
func (w *world) remove(id string) {
	w.mu.Lock()
	delete(w.beats, id)
	w.mu.Unlock()
	_, _ = w.rows.CommitRows(context.Background(), platform.RowTxn{Deletes: []platform.RowKey{{Table: "servers", Key: id}}}) // fails never
}

// dropSilentEntries removes the entries of workers that no longer write them.
func (w *world) dropSilentEntries() {
	for range time.Tick(100 * time.Millisecond) {
		var silent []string
		w.mu.Lock()
		for id, at := range w.beats {
			if time.Since(at) > entryTimeout {
				silent = append(silent, id)
			}
		}
		w.mu.Unlock()
		for _, id := range silent {
			w.remove(id)
		}
	}
}

// queue is a queue of the configuration; its host is queue.example.
type queue struct {
	prefix, service string
}

// configure writes the operator's configuration.
func (w *world) configure(queues []queue, services map[string]bool) error {
	w.configV += 3
	routes, list := []map[string]any{}, []map[string]any{}
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": "r-" + strings.Trim(q.prefix, "/"), "host": queueHost, "path_prefix": q.prefix, "service": q.service, "max_attempts": 4,
			"stretch": 1.6, "latency_target_ms": 600, "timeout_ms": 3000, "priority": 0,
		})
	}
	for name, standby := range services {
		list = append(list, map[string]any{"name": name, "rejects_overload": true, "standby": standby, "max_connections": 64})
	}
	return w.write("op", "config", map[string]any{
		"version": w.configV, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

const queueHost = "queue.example"
