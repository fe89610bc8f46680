// Package httpapi is the platform adapter for JSON over HTTP. Its client
// implements the interfaces of package platform; Register serves the same
// protocol from any platform.Platform.
package httpapi

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/platform"
)

// Paths of the protocol.
const (
	pathCommit  = "/v1/table/commit"
	pathRead    = "/v1/table/read"
	pathScan    = "/v1/table/scan"
	pathObjects = "/v1/objects/"
	pathHosts   = "/v1/hosts"
	pathWorkers = "/v1/workers/"
)

// callTimeout bounds one call. The connection of a call that timed out is closed,
// so a connection that stopped responding fails one call only.
const callTimeout = 2 * time.Second

type commitReply struct {
	Version int64 `json:"version"`
}

type readRequest struct {
	Keys []string `json:"keys"`
}

type scanRequest struct {
	Prefix string `json:"prefix"`
	After  int64  `json:"after"`
}

type rowsReply struct {
	Rows []platform.Row `json:"rows"`
}

type errorReply struct {
	Error string `json:"error"`
}

// workerRequest is the request body of every call to a worker. Each call uses some
// of the fields.
type workerRequest struct {
	ID    string         `json:"id,omitempty"`
	IDs   []string       `json:"ids,omitempty"`
	Share float64        `json:"share,omitempty"`
	Task  *platform.Task `json:"task,omitempty"`
}
