package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/standin"
)

const (
	// pageRows and pageBytes bound one response about rows.
	pageRows  = 500
	pageBytes = 700 << 10
	// transactionTime and readTime are those of a small deployment's store.
	transactionTime = 8 * time.Millisecond
	readTime        = 4 * time.Millisecond
)

// wireRow is a row of a request or a response.
type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"schema_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (w *wireRow) key() platform.RowKey {
	return platform.RowKey{Table: w.Table, Part: w.Part, Key: w.Key}
}

// store serves the table service in pages.
type store struct{ rows *standin.Rows }

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.commit)
	mux.HandleFunc("GET /api/rows-get", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(readTime)
		q := r.URL.Query()
		rows, stamp, err := s.rows.ReadRows(r.Context(), q.Get("table"), q.Get("part"), q.Get("start_key"), q.Get("to"))
		answerRows(w, rows, stamp, err, false)
	})
	mux.HandleFunc("GET /api/rows-feed", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(readTime)
		q := r.URL.Query()
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
		rows, stamp, err := s.rows.Changes(r.Context(), q.Get("table"), after, time.Duration(wait)*time.Millisecond)
		answerRows(w, rows, stamp, err, true)
	})
	return mux
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	time.Sleep(transactionTime)
	var in struct {
		Conditions []wireRow `json:"expected_revision"`
		Writes     []wireRow `json:"writes"`
		Deletes    []wireRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	var txn platform.RowTxn
	for i := range in.Conditions {
		txn.Conditions = append(txn.Conditions, platform.RowCondition{RowKey: in.Conditions[i].key(), Version: in.Conditions[i].Version})
	}
	for i := range in.Writes {
		if t := in.Writes[i].Table; t == "op" || t == "servers" {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
		txn.Writes = append(txn.Writes, platform.RowWrite{RowKey: in.Writes[i].key(), Value: in.Writes[i].Value})
	}
	for i := range in.Deletes {
		txn.Deletes = append(txn.Deletes, in.Deletes[i].key())
	}
	stamp, err := s.rows.CommitRows(r.Context(), txn)
	answerRows(w, nil, stamp, err, false)
}

// answerRows writes one page of rows.
func answerRows(w http.ResponseWriter, rows []platform.PartRow, stamp platform.Stamp, err error, feed bool) {
	status := http.StatusOK
	var conflict *platform.RowConflict
	switch {
	case errors.As(err, &conflict):
		status, rows = http.StatusPreconditionFailed, conflict.Rows
	case errors.Is(err, platform.ErrHistoryGone):
		status = http.StatusGone
	case err != nil:
		status = http.StatusServiceUnavailable
	}
	list, size := make([]wireRow, 0, min(len(rows), pageRows)), 0
	for _, r := range rows {
		if size += len(r.Value); len(list) == pageRows || (size > pageBytes && len(list) > 0) {
			break
		}
		list = append(list, wireRow{r.Table, r.Part, r.Key, r.Value, r.Version, r.Deleted})
	}
	more := len(list) < len(rows)
	if feed && more {
		stamp.Version = list[len(list)-1].Version
	}
	reply(w, status, map[string]any{"rows": list, "has_more": more, "schema_version": stamp.Version, "now_ms": stamp.NowMS})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails if the caller is gone
}

// put writes a row of the operator or of a worker.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	txn := platform.RowTxn{Writes: []platform.RowWrite{{RowKey: platform.RowKey{Table: table, Key: key}, Value: data}}}
	_, _ = s.rows.CommitRows(context.Background(), txn)
}

func (s *store) remove(table, key string) {
	_, _ = s.rows.CommitRows(context.Background(), platform.RowTxn{Deletes: []platform.RowKey{{Table: table, Key: key}}})
}
