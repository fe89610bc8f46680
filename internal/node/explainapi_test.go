package node

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/labstack/echo/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/admission"
	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/ownership"
	"github.com/egretpitch/egretpitch/internal/scheduler"
	"github.com/egretpitch/egretpitch/internal/standin"
)

// explainAt asks a process for an explanation and returns status, answer and body.
func explainAt(t *testing.T, n *Node, req adminapi.ExplainRequest) (int, adminapi.Explanation, string) {
	t.Helper()
	e := echo.New()
	NewExplainAPI(n).Register(e)
	body, err := json.Marshal(req)
	if err != nil {
		t.Fatal(err)
	}
	code, text := requestWithType(e, http.MethodPost, adminapi.PathExplain, string(body), "application/json")
	var x adminapi.Explanation
	if err := json.Unmarshal([]byte(text), &x); err != nil {
		t.Fatal(err, text)
	}
	return code, x, text
}

func digestText(key string) string {
	digest := estate.DigestOf(key)
	return hex.EncodeToString(digest[:])
}

// Guards against an explanation that a request is served which is refused, since a higher version with teams is recorded.
func TestMissedVersionIsExplained(t *testing.T) {
	n, _, e := testNode(t)
	n.floor.version.Store(5)
	_, x, _ := explainAt(t, n, adminapi.ExplainRequest{Host: "h", Path: "/q/1"})
	if got := answerTo(e, http.MethodGet, "/q/", noKey); got != http.StatusServiceUnavailable || x.Refused != refusalReasons[refusedUnconfirmed] {
		t.Errorf("explained as %q, answered %d; want %q and 503", x.Refused, got, refusalReasons[refusedUnconfirmed])
	}
}

func TestRouteIsExplainedWithTeamAndReasons(t *testing.T) {
	n, rows, _ := teamNode(t)
	n.view.Store(&ownership.View{Record: ownership.Record{Owner: "front-2", Address: "10.0.0.2:80"}})
	for _, c := range []struct {
		host, path, key        string
		queue, refused, reason string
		team                   string
	}{
		{"h", "/q/1", "ka", "q", "", "", "a"},
		{"H:80", "/q/1", "", "q", "key is missing", "", ""},
		{"h", "/q/1", "unknown", "q", "key is not known", "", ""},
		{"h", "/open/1", "", "open", "", "", ""},
		{"h", "/other", "", "", "", "the queues of the host have other path prefixes: /open/, /q/", ""},
		{"g", "/q/1", "", "", "", "no queue has the host g", ""},
	} {
		req := adminapi.ExplainRequest{Host: c.host, Path: c.path}
		if c.key != "" {
			req.KeyDigest = digestText(c.key)
		}
		code, x, body := explainAt(t, n, req)
		if code != http.StatusOK || x.Queue != c.queue || x.Refused != c.refused || x.NoQueue != c.reason || x.Team != c.team || x.Version != 2 || x.AgeMS != -1 {
			t.Errorf("%+v: %d %s", c, code, body)
		}
		if x.Owner != "front-2" || x.OwnerAddress != "10.0.0.2:80" || x.Owned || (c.queue != "" && (x.Workers != nil || x.NoWorkers == "")) {
			t.Errorf("%+v: the owner is not named: %s", c, body)
		}
	}
	if got := rows.Load().RowsWrote; got != 0 {
		t.Errorf("%d rows were written", got)
	}
	if got := n.metrics.refusals.String(); got != "{}" {
		t.Errorf("refusals are counted: %s", got)
	}
}

// The digest is as good as the key where keys are compared by digest.
func TestNoAnswerOrLogShowsKeyOrDigest(t *testing.T) {
	n, _, _ := teamNode(t)
	core, logs := observer.New(zapcore.DebugLevel)
	n.Log = zap.New(core)
	digest := digestText("ka")
	for _, req := range []adminapi.ExplainRequest{
		{Host: "h", Path: "/q/", KeyDigest: digest}, {Host: "h", Path: "/no", KeyDigest: digest}, {KeyDigest: digest + "0"}, {KeyDigest: digest[:62] + "xy"},
		{Job: &adminapi.JobSpec{Queue: "none"}, KeyDigest: digest},
	} {
		if _, _, body := explainAt(t, n, req); strings.Contains(body, digest[8:20]) {
			t.Errorf("%+v: the answer has the digest: %s", req, body)
		}
	}
	if _, x, _ := explainAt(t, n, adminapi.ExplainRequest{Host: "h", Path: "/q/", KeyDigest: digest}); x.Fingerprint != digest[:8] {
		t.Errorf("fingerprint %q", x.Fingerprint)
	}
	e := echo.New()
	NewExplainAPI(n).Register(e)
	if code, body := requestWithType(e, http.MethodPost, adminapi.PathExplain, `{"key_digest": "`+digest+`", "host": 1}`, "application/json"); code != http.StatusBadRequest || strings.Contains(body, digest[8:20]) {
		t.Errorf("malformed request: %d %s", code, body)
	}
	for _, line := range logs.All() {
		t.Errorf("logged: %v %v", line.Message, line.ContextMap())
	}
}

func TestExplainedAdmissionDecidesAsTheEntryAndChangesNothing(t *testing.T) {
	n, _, e := testNode(t)
	n.catalog.Store(estate.NewCatalog(1, []*estate.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", Stretch: 2, LatencyTarget: time.Second}},
		[]*estate.Pool{{Name: "p"}}, estate.Limits{}))
	job := adminapi.ExplainRequest{Job: &adminapi.JobSpec{Queue: "q", Steps: []adminapi.JobStep{{Count: 1, Processors: 1, RunMS: 1000}}}}
	decision := func(req adminapi.ExplainRequest) string {
		_, x, body := explainAt(t, n, req)
		if x.Admission == nil {
			t.Fatal(body)
		}
		return x.Admission.Decision
	}
	if got := decision(job); got != adminapi.AdmissionAdmitted {
		t.Errorf("%s without teams and pressure", got)
	}
	n.Pressure = true
	showFullPool(n, 3*time.Second)
	if got := decision(job); got != adminapi.AdmissionAdmitted {
		t.Errorf("%s by old data", got)
	}
	showFullPool(n, 0)
	if got := decision(adminapi.ExplainRequest{Host: "h", Path: "/q/"}); got != adminapi.AdmissionDepends {
		t.Errorf("%s without a job", got)
	}
	var retry []int64
	for range 3 {
		_, x, _ := explainAt(t, n, job)
		if x.Admission.Decision != adminapi.AdmissionRefused || x.Admission.Capacity != 1 || x.Admission.Ahead == 0 {
			t.Errorf("admission %+v, want a refusal", x.Admission)
		}
		retry = append(retry, x.Admission.RetryAfterMS)
	}
	if before := fmt.Sprintf("%+v", n.admission.gate); before != fmt.Sprintf("%+v", admission.NewGate()) {
		t.Errorf("the gate has changed: %s, retries after %v ms", before, retry)
	}
	if code, _ := submitSized(e, "00000000000000a2"); code != http.StatusTooManyRequests {
		t.Errorf("answer %d to the job, want 429", code)
	}
}

func TestOwnerExplainsItsWorkers(t *testing.T) {
	o := testOwner(t, standin.NewRows(), 1)
	n := o.node
	n.catalog.Store(testCatalog(1, "/q/"))
	o.engine = scheduler.New(scheduler.Options{Token: 1, Epoch: 1, MaxLease: 6 * time.Second, Log: zap.NewNop()})
	o.engine.SetCatalog(n.catalog.Load())
	o.engine.WorkerListed(testWorker, 0)
	n.owner.Store(o)
	req := adminapi.ExplainRequest{Job: &adminapi.JobSpec{Queue: "q", Steps: []adminapi.JobStep{{Count: 1, Processors: 1, RunMS: 1000}}}}
	if _, x, _ := explainAt(t, n, req); !x.Owned || x.Workers != nil || x.NoWorkers == "" {
		t.Errorf("before the state is loaded: %+v", x)
	}
	o.deciding.Store(true)
	go func() { o.handleEvents(<-o.events) }()
	_, x, body := explainAt(t, n, req)
	want := []adminapi.ExplainedStep{{Reasons: []adminapi.ExplainedReason{{Reason: "not fenced", Count: 1, Workers: []string{"w"}}}}}
	if x.Workers == nil || x.Workers.Total != 1 || !cmp.Equal(x.Workers.Steps, want) {
		t.Errorf("answer %s", body)
	}
	if _, x, _ := explainAt(t, n, req); x.NoWorkers != "the engine did not answer in time" {
		t.Errorf("an engine that does not answer: %+v", x)
	}
}
