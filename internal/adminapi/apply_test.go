package adminapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
)

// server is a fake settings server whose connections lose requests and answers.
type server struct {
	current Settings
	// keepsHistory is set for a server whose history holds every change, so
	// that it marks conflicts as settled.
	keepsHistory bool
	// faults are injected into the next apply requests, in order.
	faults []fault
}

// fault is a failure injected into one request.
type fault int

const (
	noFault fault = iota
	// requestLost drops the request before it reaches the server.
	requestLost
	// answerLost commits the change and loses the answer.
	answerLost
	// answerLostThenReplaced commits the change, loses the answer, and another
	// operator's change replaces it at once.
	answerLostThenReplaced
	// requestLostAfterOther commits another operator's change and drops the
	// request.
	requestLostAfterOther
	// conflictAfterCommit commits an earlier attempt of the same change, which
	// makes this one fail with a version conflict.
	conflictAfterCommit
)

var errConnection = errors.New("connection reset")

// RoundTrip implements http.RoundTripper.
func (s *server) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodGet {
		return answer(http.StatusOK, s.current), nil
	}
	var req ApplyRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		return nil, err
	}
	f := noFault
	if len(s.faults) > 0 {
		f, s.faults = s.faults[0], s.faults[1:]
	}
	switch f {
	case requestLost:
		return nil, errConnection
	case requestLostAfterOther:
		s.applyOther()
		return nil, errConnection
	}
	reply := s.apply(req)
	switch f {
	case answerLost:
		return answer(http.StatusGatewayTimeout, Problem{Message: "outcome unknown"}), nil
	case answerLostThenReplaced:
		s.applyOther()
		return nil, errConnection
	case conflictAfterCommit:
		return answer(http.StatusConflict, Problem{Message: "version moved", CurrentVersion: s.current.Version}), nil
	}
	return reply, nil
}

// apply commits a change with the version check of the real server.
func (s *server) apply(req ApplyRequest) *http.Response {
	if req.ChangeID != s.current.ChangeID {
		if req.ExpectedVersion != s.current.Version {
			return answer(http.StatusConflict, Problem{
				Message: "version moved", CurrentVersion: s.current.Version, Settled: s.keepsHistory,
			})
		}
		s.current = Settings{Version: s.current.Version + 1, ChangeID: req.ChangeID, YAML: req.YAML}
	}
	return answer(http.StatusOK, ApplyReply{Version: s.current.Version})
}

// applyOther commits another operator's change.
func (s *server) applyOther() {
	s.current = Settings{Version: s.current.Version + 1, ChangeID: "other"}
}

// answer returns a response with a JSON body.
func answer(status int, body any) *http.Response {
	data, _ := json.Marshal(body)
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(data))}
}

// Apply must neither report a committed change as refused nor a refused one as
// committed, whichever requests and answers are lost.
func TestUnknownOutcomeOfApplyIsSettledByItsChangeID(t *testing.T) {
	for _, c := range []struct {
		name          string
		faults        []fault
		history       bool   // the server's history holds every change
		version       uint64 // returned by Apply, 0 for an error
		status        int    // status of the wrapped *StatusError, 0 for none
		unknown       bool   // the error wraps ErrOutcomeUnknown
		serverVersion uint64 // version in force afterwards
	}{
		{name: "no fault", version: 5, serverVersion: 5},
		{name: "request lost", faults: []fault{requestLost, requestLost}, version: 5, serverVersion: 5},
		{name: "answer lost", faults: []fault{answerLost}, version: 5, serverVersion: 5},
		{name: "answers lost twice", faults: []fault{answerLost, answerLost}, version: 5, serverVersion: 5},
		{name: "first attempt commits during the second", faults: []fault{requestLost, conflictAfterCommit}, version: 5, serverVersion: 5},
		{name: "another change was first", faults: []fault{requestLostAfterOther}, status: http.StatusConflict, serverVersion: 5},
		{name: "answer lost and change replaced", faults: []fault{answerLostThenReplaced}, unknown: true, serverVersion: 6},
		{name: "two other changes were first", faults: []fault{requestLostAfterOther, requestLostAfterOther}, unknown: true, serverVersion: 6},
		{name: "two other changes were first, server with history", faults: []fault{requestLostAfterOther, requestLostAfterOther}, history: true, status: http.StatusConflict, serverVersion: 6},
		{name: "all requests lost", faults: []fault{requestLost, requestLost, requestLost, requestLost, requestLost}, unknown: true, serverVersion: 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &server{current: Settings{Version: 4, ChangeID: "before"}, faults: c.faults, keepsHistory: c.history}
				client := NewClient("127.0.0.1:1")
				client.http.Transport = s
				version, err := client.Apply(t.Context(), ApplyRequest{YAML: "tree", ExpectedVersion: 4})
				if version != c.version || s.current.Version != c.serverVersion {
					t.Errorf("got version %d, server at version %d (%v)", version, s.current.Version, err)
				}
				var refusal *StatusError
				if errors.As(err, &refusal); c.status != 0 && (refusal == nil || refusal.Status != c.status) {
					t.Errorf("got error %v, want status %d", err, c.status)
				}
				if errors.Is(err, ErrOutcomeUnknown) != c.unknown {
					t.Errorf("got error %v, want ErrOutcomeUnknown: %v", err, c.unknown)
				}
			})
		})
	}
}
