package node

import (
	"bytes"
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/standin"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// teams lists the keys of each team.
type teams map[string][]string

// teamCatalog returns a configuration with a private queue at /q/ and another one at
// /open/, which is public if open is set.
func teamCatalog(version int64, keys teams, open bool) *estate.Catalog {
	c := estate.NewCatalog(version, []*estate.Queue{
		{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p"}, {Name: "open", Host: "h", PathPrefix: "/open/", Pool: "p", Public: open},
	}, []*estate.Pool{{Name: "p"}}, estate.Limits{MaxBodyBytes: 1000})
	var list []*estate.Team
	for _, name := range slices.Sorted(maps.Keys(keys)) {
		t := &estate.Team{Name: name}
		for _, key := range keys[name] {
			t.Keys = append(t.Keys, estate.DigestOf(key))
		}
		list = append(list, t)
	}
	c.SetTeams(list)
	return c
}

const noKey = "(none)"

// answerTo sends a request with a key and returns the status.
func answerTo(e *echo.Echo, method, path, key string) int {
	header := http.Header{"Key": {key}}
	if key == noKey {
		header = http.Header{}
	}
	return requestWith(e, method, path, testBody, header).Code
}

// teamNode returns a node whose configuration has the teams a and b, with the keys
// ka and kb, and a public queue.
func teamNode(t *testing.T) (*Node, *standin.Rows, *echo.Echo) {
	n, rows, e := testNode(t)
	n.adopt(platform.OperatorChanges{Catalog: teamCatalog(2, teams{"a": {"ka"}, "b": {"kb"}}, true)})
	return n, rows, e
}

func TestQueueThatIsNotPublicNeedsAKey(t *testing.T) {
	n, rows, e := teamNode(t)
	for _, path := range []string{"/q/" + testID, "/q/"} {
		for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
			for _, key := range []string{noKey, "", "unknown"} {
				if got := answerTo(e, method, path, key); got != http.StatusUnauthorized {
					t.Errorf("%s %s with key %q: %d, want 401", method, path, key, got)
				}
			}
		}
	}
	if w := requestWith(e, http.MethodGet, "/q/", "", http.Header{}); w.Header().Get(echo.HeaderWWWAuthenticate) != "Scheme" {
		t.Errorf("headers %v, want a challenge", w.Header())
	}
	if got := answerTo(e, http.MethodGet, "/nowhere/", noKey); got != http.StatusNotFound {
		t.Errorf("%d for a queue that does not exist, want 404", got)
	}
	if got := rows.Load().RowsWrote; got != 0 {
		t.Errorf("%d rows were written for refused requests", got)
	}
	if got := n.metrics.refusals.String(); !strings.Contains(got, `"key_malformed": 6`) || !strings.Contains(got, `"key_missing": 7`) || !strings.Contains(got, `"key_unknown": 6`) {
		t.Errorf("refusals %s", got)
	}
	if got := answerTo(e, http.MethodGet, "/q/", "kb"); got != http.StatusOK {
		t.Errorf("%d for the count of pending jobs, want 200 for any team", got)
	}
	n.catalog.Store(nil)
	if got := answerTo(e, http.MethodPost, "/q/"+testID, noKey); got != http.StatusServiceUnavailable {
		t.Errorf("%d without a configuration, want 503", got)
	}
}

// storedTeamOf returns the team in the rows of a job.
func storedTeamOf(t *testing.T, n *Node, id string) string {
	t.Helper()
	p, err := n.readProgress(t.Context(), id)
	rows, _, rowsErr := n.Rows.ReadRows(t.Context(), jobTable, partName(partOf(id)), id, id+"\x00")
	if err != nil || p == nil || rowsErr != nil || len(rows) != 1 {
		t.Fatalf("job %s: progress %v, %v, rows %v, %v", id, p, err, rows, rowsErr)
	}
	job, err := workload.DecodeJob(rows[0].Value)
	if err != nil || job.Team != p.Team {
		t.Fatalf("job %s is of team %q by its row and %q by its progress, %v", id, job.Team, p.Team, err)
	}
	return p.Team
}

// Jobs are numbered; each case says who submits one by which queue, and who asks for it.
func TestJobIsReachedByItsTeamOnly(t *testing.T) {
	n, _, e := teamNode(t)
	for i, c := range []struct {
		queue, key, team string
		asks, by         string
		want             int
	}{
		{"/q/", "ka", "a", "/q/", "ka", 200},
		{"/q/", "ka", "a", "/q/", "kb", 403},
		{"/q/", "ka", "a", "/open/", "kb", 403},
		{"/q/", "ka", "a", "/open/", noKey, 401},
		{"/q/", "ka", "a", "/open/", "unknown", 401},
		{"/open/", "ka", "a", "/open/", "ka", 200},
		{"/open/", "ka", "a", "/open/", "kb", 403},
		{"/open/", "ka", "a", "/open/", noKey, 200},
		{"/open/", noKey, "", "/open/", noKey, 200},
		{"/open/", noKey, "", "/open/", "kb", 200},
		{"/open/", "unknown", "", "/open/", "unknown", 200},
	} {
		id := fmt.Sprintf("%016x", i)
		if got := answerTo(e, http.MethodPost, c.queue+id, c.key); got != http.StatusOK {
			t.Fatalf("case %d: submission answered %d", i, got)
		}
		if got := storedTeamOf(t, n, id); got != c.team {
			t.Errorf("case %d: team %q, want %q", i, got, c.team)
		}
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
			if got := answerTo(e, method, c.asks+id, c.by); got != c.want {
				t.Errorf("case %d: %s answered %d, want %d", i, method, got, c.want)
			}
		}
		cancels, _, err := n.Rows.ReadRows(t.Context(), cancelTable, partName(partOf(id)), id, id+"\x00")
		if err != nil || (len(cancels) == 1) != (c.want == 200) {
			t.Errorf("case %d: cancellations %v, %v", i, cancels, err)
		}
	}
}

// connectionTo returns a function that sends requests over one connection.
func connectionTo(t *testing.T, e *echo.Echo) func(method, path, key string) int {
	server := httptest.NewUnstartedServer(e)
	var opened atomic.Int64
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return func(method, path, key string) int {
		t.Helper()
		r, err := http.NewRequest(method, server.URL+path, strings.NewReader(testBody))
		if err != nil {
			t.Fatal(err)
		}
		r.Host = "h"
		if key != noKey {
			r.Header.Set("Key", key)
		}
		answer, err := server.Client().Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer answer.Body.Close()
		if _, err := io.Copy(io.Discard, answer.Body); err != nil || opened.Load() != 1 {
			t.Fatalf("%d connections, error %v; want one", opened.Load(), err)
		}
		return answer.StatusCode
	}
}

func TestKeysFollowTheVersionsOfTheConfiguration(t *testing.T) {
	n, _, e := testNode(t)
	answerTo := connectionTo(t, e)
	const job = "/q/" + testID
	type want map[string]int // by key
	for _, c := range []struct {
		catalog *estate.Catalog
		want    want
	}{
		{teamCatalog(2, teams{"a": {"k1"}}, false), want{"k1": 200, "k2": 401}},
		{teamCatalog(3, teams{"a": {"k1", "k2"}, "b": {"kb"}}, false), want{"k1": 200, "k2": 200, "kb": 403}},
		{teamCatalog(4, teams{"a": {"k2"}, "b": {"kb"}}, false), want{"k1": 401, "k2": 200, "kb": 403}},
		{teamCatalog(3, teams{"a": {"k1", "k2"}}, false), want{"k1": 401, "k2": 200}}, // delivered again
		{teamCatalog(5, teams{"a": nil, "b": {"kb"}}, false), want{"k1": 401, "k2": 401, "kb": 403}},
		{teamCatalog(6, nil, false), want{"k1": 401, "kb": 401}},
		{teamCatalog(7, teams{"a": {"k1"}}, false), want{"k1": 200, "k2": 401}},
		{testCatalog(8, "/q/"), want{"k1": 200, "k2": 200, noKey: 200}},
		{teamCatalog(9, teams{"a": {"k3"}}, false), want{"k1": 401, "k3": 200}},
	} {
		n.adopt(platform.OperatorChanges{Catalog: c.catalog})
		for _, key := range slices.Sorted(maps.Keys(c.want)) {
			if got := answerTo(http.MethodPost, job, key); got != c.want[key] {
				t.Errorf("version %d: POST with key %s answered %d, want %d", c.catalog.Version, key, got, c.want[key])
			}
			if got := answerTo(http.MethodGet, job, key); got != c.want[key] {
				t.Errorf("version %d: GET with key %s answered %d, want %d", c.catalog.Version, key, got, c.want[key])
			}
		}
	}
	if got := storedTeamOf(t, n, testID); got != "a" {
		t.Errorf("team %q at the end, want a", got)
	}
}

func TestQueueBecomesPublicAndPrivateAgain(t *testing.T) {
	n, _, e := testNode(t)
	for i, want := range []int{http.StatusUnauthorized, http.StatusOK, http.StatusUnauthorized} {
		n.adopt(platform.OperatorChanges{Catalog: teamCatalog(int64(2+i), teams{"a": {"ka"}}, want == http.StatusOK)})
		if got := answerTo(e, http.MethodPost, "/open/"+testID, noKey); got != want {
			t.Errorf("version %d: %d without a key, want %d", 2+i, got, want)
		}
	}
	if got := answerTo(e, http.MethodGet, "/open/"+testID, "ka"); got != http.StatusOK {
		t.Errorf("%d for the job without a team once a key is needed, want 200 with any valid one", got)
	}
}

// Submissions of one batch share the outcome of their id.
func TestConcurrentSubmissionsOfTwoTeamsAreNotOne(t *testing.T) {
	n, _, _ := testNode(t)
	var batch []*submission
	for _, team := range []string{"a", "b", "a"} {
		s, err := newSubmission(&workload.Job{ID: testID, Queue: "q", Team: team}, time.Now().Add(time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		batch = append(batch, s)
	}
	for rest := batch; len(rest) > 0; {
		rest = n.acceptor.storeByTeam(context.Background(), rest)
	}
	for i, stored := range []bool{false, true, false} {
		if outcome := <-batch[i].outcome; outcome != submitStored || (batch[i].existing != nil) != stored {
			t.Errorf("submission %d: outcome %d, existing row %v; want an existing row: %v", i, outcome, batch[i].existing, stored)
		}
	}
}

// The cancellation comes before the submission, or while it is on its way.
func TestCancellationOfAnUnknownJobHoldsForItsTeamOnly(t *testing.T) {
	n, rows, e := teamNode(t)
	if got := answerTo(e, http.MethodDelete, "/q/"+testID, "kb"); got != http.StatusGone {
		t.Fatalf("cancellation of an unknown job answered %d, want 410", got)
	}
	for _, c := range []struct {
		key  string
		want int
	}{{"kb", http.StatusGone}, {"ka", http.StatusOK}} {
		if got := answerTo(e, http.MethodPost, "/q/"+testID, c.key); got != c.want {
			t.Errorf("submission with key %s answered %d, want %d", c.key, got, c.want)
		}
	}
	for i, c := range []struct {
		key     string
		want    int
		cancels int // rows
	}{{"kb", http.StatusForbidden, 2}, {"ka", http.StatusOK, 3}} {
		id := fmt.Sprintf("%016x", i)
		n.Rows = &storedAfterRead{Rows: rows, id: id, store: func() { answerTo(e, http.MethodPost, "/q/"+id, "ka") }}
		if got := answerTo(e, http.MethodDelete, "/q/"+id, c.key); got != c.want {
			t.Errorf("key %s: the cancellation of a job that is stored meanwhile answered %d, want %d", c.key, got, c.want)
		}
		if cancels, _, err := rows.ReadRows(t.Context(), cancelTable, partName(partOf(id)), id, id+"~"); err != nil || len(cancels) != c.cancels {
			t.Errorf("key %s: cancellations %v, %v; want %d", c.key, cancels, err, c.cancels)
		}
	}
}

// The submission reaches a process that does not know its key yet, or had none.
func TestCancellationByATeamHoldsForASubmissionWithoutTeam(t *testing.T) {
	n, _, e := teamNode(t)
	if got := answerTo(e, http.MethodDelete, "/open/"+testID, "ka"); got != http.StatusGone {
		t.Fatalf("cancellation of an unknown job answered %d, want 410", got)
	}
	for _, c := range []struct {
		key  string
		want int
	}{{noKey, http.StatusGone}, {"kx", http.StatusGone}, {"ka", http.StatusGone}, {"kb", http.StatusOK}} {
		if got := answerTo(e, http.MethodPost, "/open/"+testID, c.key); got != c.want {
			t.Errorf("submission with key %s answered %d, want %d", c.key, got, c.want)
		}
	}
	var batch []*submission
	for i := range maxAcceptBatch {
		s, err := newSubmission(&workload.Job{ID: fmt.Sprintf("%016x", i), Terms: n.catalog.Load().Queues["open"]}, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		batch = append(batch, s)
	}
	if first, later := splitTeams(batch); len(first) != 20 || len(later) != 5 {
		t.Errorf("%d now and %d later, want 20 of 5 entries each and 5", len(first), len(later))
	}
}

// Guards against a job that runs after its cancellation was answered 410, because it was submitted without a team.
func TestCancellationByAPrivateQueueHoldsForASubmissionWithoutTeam(t *testing.T) {
	for _, c := range []struct {
		name, queue string
		// by puts a configuration in force in the process that takes the submission.
		by func(*Node)
	}{
		{"administration", "open", func(n *Node) {
			n.adopt(platform.OperatorChanges{Catalog: teamCatalog(2, teams{"a": {"ka"}}, false)})
		}},
		{"queue was public", "open", func(n *Node) {
			n.adopt(platform.OperatorChanges{Catalog: teamCatalog(2, teams{"a": {"ka"}}, true)})
		}},
		{"no teams any more", "q", func(n *Node) {
			n.adopt(platform.OperatorChanges{Catalog: teamCatalog(2, nil, false)})
			n.floor.version.Store(2)
			n.adopt(platform.OperatorChanges{Catalog: testCatalog(3, "/open/")})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, rows, e := testNode(t)
			n.adopt(platform.OperatorChanges{Catalog: teamCatalog(4, teams{"a": {"ka"}}, false)})
			if got := answerTo(e, http.MethodDelete, "/open/"+testID, "ka"); got != http.StatusGone {
				t.Fatalf("cancellation of an unknown job answered %d, want 410", got)
			}
			other := New(Options{Name: "entry-2", Rows: rows, Log: zap.NewNop()})
			c.by(other)
			go func() { _ = other.acceptor.run(t.Context()) }()
			job := &workload.Job{ID: testID, Queue: c.queue, Pool: "p", Terms: other.catalog.Load().Queues[c.queue]}
			if got := other.acceptor.submit(t.Context(), job, time.Now().Add(time.Second)); got != submitCancelled {
				t.Errorf("submission: %v, want %v", got, submitCancelled)
			}
		})
	}
}

// refusedCommits is a table service that refuses transactions. The first one is
// unanswered if lost is set.
type refusedCommits struct {
	platform.Rows
	lost atomic.Bool
}

func (s *refusedCommits) CommitRows(context.Context, platform.RowTxn) (platform.Stamp, error) {
	if s.lost.Swap(false) {
		return platform.Stamp{}, platform.ErrUnknown
	}
	return platform.Stamp{}, platform.ErrUnavailable
}

// Guards against 504 for a cancellation that is certainly not recorded, and against 503 for one that may be.
func TestCancellationThatIsNotRecordedIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, rows, e := teamNode(t)
		answerTo(e, http.MethodPost, "/q/"+testID, "ka")
		for _, id := range []string{testID, "00000000000000ab"} { // the second is not stored
			for lost, want := range map[bool]int{false: http.StatusServiceUnavailable, true: http.StatusGatewayTimeout} {
				service := &refusedCommits{Rows: rows}
				service.lost.Store(lost)
				n.Rows = service
				w := requestWith(e, http.MethodDelete, "/q/"+id, "", http.Header{"Key": {"ka"}})
				if refused := w.Header().Get("Retry-After") != ""; w.Code != want || refused == lost {
					t.Errorf("cancellation of job %s, first answer lost: %v: answer %d, Retry-After %v; want %d", id, lost, w.Code, refused, want)
				}
			}
		}
	})
}

// storedAfterRead stores a job once its progress has been read for the first time.
type storedAfterRead struct {
	platform.Rows
	id    string
	store func()
	once  sync.Once
}

func (s *storedAfterRead) ReadRows(ctx context.Context, table, part, from, to string) ([]platform.PartRow, platform.Stamp, error) {
	rows, stamp, err := s.Rows.ReadRows(ctx, table, part, from, to)
	if table == progressTable && from == s.id {
		s.once.Do(s.store)
	}
	return rows, stamp, err
}

func TestBatchOfATeamFitsOneTransaction(t *testing.T) {
	var batch []*submission
	for i := range maxAcceptBatch {
		s, err := newSubmission(&workload.Job{ID: fmt.Sprintf("%016x", i), Team: "a"}, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		batch = append(batch, s)
	}
	if first, later := splitTeams(batch); len(first) != 20 || len(later) != 5 {
		t.Errorf("%d now and %d later, want 20 of 5 entries each and 5", len(first), len(later))
	}
}

// The conflict of the store's answer may hold no values.
func TestTeamOfAStoredJobIsReadIfTheConflictLacksIt(t *testing.T) {
	n, rows, e := teamNode(t)
	answerTo(e, http.MethodPost, "/q/"+testID, "ka")
	n.Rows = withoutValues{rows}
	for key, want := range map[string]int{"ka": http.StatusOK, "kb": http.StatusForbidden} {
		if got := answerTo(e, http.MethodPost, "/q/"+testID, key); got != want {
			t.Errorf("key %s: %d, want %d", key, got, want)
		}
	}
}

// withoutValues is a table service whose conflicts hold no values.
type withoutValues struct{ platform.Rows }

func (s withoutValues) CommitRows(ctx context.Context, txn platform.RowTxn) (platform.Stamp, error) {
	stamp, err := s.Rows.CommitRows(ctx, txn)
	if conflict := (&platform.RowConflict{}); errors.As(err, &conflict) {
		for i := range conflict.Rows {
			conflict.Rows[i].Value = nil
		}
	}
	return stamp, err
}

func TestKeysAreNeverLogged(t *testing.T) {
	n, _, e := testNode(t)
	var log bytes.Buffer
	n.Log = zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.Lock(zapcore.AddSync(&log)), zapcore.DebugLevel))
	keys := []string{"secret-a", "secret-shared", "secret-unknown"}
	n.adopt(platform.OperatorChanges{Catalog: teamCatalog(2, teams{"a": {"secret-a", "secret-shared"}, "b": {"secret-shared"}}, true)})
	var answers strings.Builder
	for _, key := range keys {
		for _, path := range []string{"/q/" + testID, "/open/" + testID, "/q/"} {
			for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
				w := requestWith(e, method, path, testBody, http.Header{"Key": {key}})
				fmt.Fprint(&answers, w.Header(), w.Body.String())
			}
		}
	}
	stored, _, err := n.readJobParts(t.Context(), jobTable)
	if err != nil {
		t.Fatal(err)
	}
	shown := fmt.Sprint(log.String(), answers.String(), n.metrics.refusals, n.configurationMetrics(), n.catalog.Load().Teams["a"])
	for _, r := range stored {
		shown += string(r.Value)
	}
	for _, key := range keys {
		digest := estate.DigestOf(key)
		if whole := hex.EncodeToString(digest[:]); strings.Contains(shown, key) || strings.Contains(shown, whole[:12]) {
			t.Errorf("the key %s or its digest is in what is logged, answered, stored or measured: %s", key, shown)
		}
	}
	unknown := estate.DigestOf("secret-unknown")
	if !strings.Contains(log.String(), `"fingerprint":"`+unknown.Fingerprint()) || !strings.Contains(log.String(), `"event":970`) {
		t.Errorf("log %s, want the fingerprint of the refused key and the key of two teams", log.String())
	}
}
