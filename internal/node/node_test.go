package node

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/ownership"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/scheduler"
	"github.com/egretpitch/egretpitch/internal/standin"
	"github.com/egretpitch/egretpitch/internal/workload"
)

const testID = "00000000000000aa"

// testNode returns a process with one queue, its stand-in table service and a
// server of its callers' API.
func testNode(t *testing.T) (*Node, *standin.Rows, *echo.Echo) {
	t.Helper()
	rows := standin.NewRows()
	n := New(Options{Name: "entry-1", Rows: rows, Log: zap.NewNop()})
	n.adopt(platform.OperatorChanges{Catalog: testCatalog(1, "/q/")})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = n.acceptor.run(ctx) }()
	go func() { _ = n.probeStore(ctx) }()
	e := echo.New()
	NewQueueAPI(n, Codec{
		DecodeJob: func(id, queue, pool string, body []byte) (*workload.Job, error) {
			j := &workload.Job{ID: id, Queue: queue, Pool: pool}
			return j, json.Unmarshal(body, &j.Steps)
		},
		EncodeState:    func(s workload.State) map[string]string { return map[string]string{"state": string(s)} },
		EncodePending:  func(n int) map[string]int { return map[string]int{"pending": n} },
		DeadlineHeader: "Deadline",
		CallerKey:      func(h http.Header) (string, bool) { return h.Get("Key"), len(h["Key"]) > 0 },
		Challenge:      "Scheme",
	}).Register(e)
	return n, rows, e
}

func testCatalog(version int64, prefix string) *estate.Catalog {
	return testCatalogWithBody(version, prefix, 1000)
}

func testCatalogWithBody(version int64, prefix string, maxBody int) *estate.Catalog {
	return estate.NewCatalog(version, []*estate.Queue{{Name: "q", Host: "h", PathPrefix: prefix, Pool: "p"}},
		[]*estate.Pool{{Name: "p"}}, estate.Limits{MaxBodyBytes: maxBody})
}

// request sends a request and returns status and body of the answer.
func request(e *echo.Echo, method, path, body string) (int, string) {
	return requestWithType(e, method, path, body, "")
}

// requestWithType is request with a content type, empty for none.
func requestWithType(e *echo.Echo, method, path, body, media string) (int, string) {
	header := http.Header{}
	if media != "" {
		header.Set("Content-Type", media)
	}
	w := requestWith(e, method, path, body, header)
	return w.Code, w.Body.String()
}

// requestWith sends a request with headers and returns the answer.
func requestWith(e *echo.Echo, method, path, body string, header http.Header) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "http://h"+path, strings.NewReader(body))
	r.Header = header.Clone()
	r.Header.Set("Deadline", "3000")
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)
	return w
}

const testBody = `[{"Count":1}]`

func TestSubmittedJobIsStoredOnceUnderItsID(t *testing.T) {
	_, rows, e := testNode(t)
	for range 2 {
		if code, body := request(e, http.MethodPost, "/q/"+testID, testBody); code != http.StatusOK {
			t.Fatalf("answer %d %s, want 200", code, body)
		}
	}
	if got := rows.Load().RowsWrote; got != 2 {
		t.Errorf("%d rows were written, want one for the job and one for its progress", got)
	}
	if code, body := request(e, http.MethodGet, "/q/"+testID, ""); code != http.StatusOK || !strings.Contains(body, "queued") {
		t.Errorf("answer %d %s, want 200 and queued", code, body)
	}
}

func TestStoredJobKeepsTheTermsOfItsQueue(t *testing.T) {
	n, rows, e := testNode(t)
	request(e, http.MethodPost, "/q/"+testID, testBody)
	stored, _, err := rows.ReadRows(context.Background(), jobTable, jobRow(jobTable, testID).Part, "", "")
	if err != nil || len(stored) != 1 {
		t.Fatalf("rows %v, error %v, want the row of the job", stored, err)
	}
	job, err := workload.DecodeJob(stored[0].Value)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(n.catalog.Load().Queues["q"], job.Terms); diff != "" {
		t.Error(diff)
	}
}

// TestLostAnswerIsNotTakenForARefusal loses the store's answer to a transaction
// that was applied. The caller must be answered that the job is stored.
func TestLostAnswerIsNotTakenForARefusal(t *testing.T) {
	_, rows, e := testNode(t)
	rows.SetFaults(standin.Faults{LoseAnswers: 1})
	if code, body := request(e, http.MethodPost, "/q/"+testID, testBody); code != http.StatusOK {
		t.Errorf("answer %d %s, want 200", code, body)
	}
}

// TestSubmissionWithUnknownOutcomeIsNotRefused lets one attempt go unanswered
// and then takes the store down. The attempt may have been applied, so the job
// must not be reported as not stored.
func TestSubmissionWithUnknownOutcomeIsNotRefused(t *testing.T) {
	n, rows, _ := testNode(t)
	rows.SetFaults(standin.Faults{DropCommits: 1})
	go func() {
		time.Sleep(20 * time.Millisecond)
		rows.SetFaults(standin.Faults{Down: true})
	}()
	job := &workload.Job{ID: testID, Queue: "q", Pool: "p"}
	if got := n.acceptor.submit(context.Background(), job, time.Now().Add(600*time.Millisecond)); got != submitUnknown {
		t.Errorf("outcome %d, want unknown", got)
	}
}

// TestCallersAreSentElsewhereWhileTheStoreIsAway runs a process that has not
// reached the table service for a while, as other processes may. Its callers
// must be refused at once and the process must not be ready, until the next
// successful answer of the service.
func TestCallersAreSentElsewhereWhileTheStoreIsAway(t *testing.T) {
	n, _, e := testNode(t)
	n.reachability.observe(platform.ErrUnknown)
	n.reachability.failingSince.Store(time.Now().Add(-2 * unreadyAfter).UnixNano())
	begin := time.Now()
	code, _ := request(e, http.MethodPost, "/q/"+testID, testBody)
	if took := time.Since(begin); code != http.StatusServiceUnavailable || took > 50*time.Millisecond || n.Ready() {
		t.Errorf("answer %d after %v, ready %v; want 503 at once and not ready", code, took, n.Ready())
	}
	n.reachability.observe(nil)
	if code, _ := request(e, http.MethodPost, "/q/"+testID, testBody); code != http.StatusOK || !n.Ready() {
		t.Errorf("answer %d, ready %v once the service answers; want 200 and ready", code, n.Ready())
	}
}

// TestSubmissionWithoutAnAnswerIsTriedUntilItsDeadline drops every commit without an
// answer for 1.5 s. The caller, which waits for 2.85 s, must be answered that the job
// is stored once the store is back.
func TestSubmissionWithoutAnAnswerIsTriedUntilItsDeadline(t *testing.T) {
	_, rows, e := testNode(t)
	rows.SetFaults(standin.Faults{DropCommits: 1000})
	begin := time.Now()
	time.AfterFunc(1500*time.Millisecond, func() { rows.SetFaults(standin.Faults{}) })
	code, _ := request(e, http.MethodPost, "/q/"+testID, testBody)
	if took := time.Since(begin); code != http.StatusOK || took < 1500*time.Millisecond {
		t.Errorf("answer %d after %v, want 200 after 1.5 s", code, took)
	}
	if got := rows.Load().RowsWrote; got != 2 {
		t.Errorf("%d rows were written, want one for the job and one for its progress", got)
	}
}

// TestSubmissionIsRefusedSoonWhileTheStoreIsAway takes the store down. The
// submission must be refused well before the caller's deadline, with a
// Retry-After header, and the job must not be stored later.
func TestSubmissionIsRefusedSoonWhileTheStoreIsAway(t *testing.T) {
	_, rows, e := testNode(t)
	rows.SetFaults(standin.Faults{Down: true})
	begin := time.Now()
	r := httptest.NewRequest(http.MethodPost, "http://h/q/"+testID, strings.NewReader(testBody))
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
		t.Errorf("answer %d, Retry-After %q; want 503 and a time", w.Code, w.Header().Get("Retry-After"))
	}
	if took := time.Since(begin); took > time.Second {
		t.Errorf("the refusal took %v", took)
	}
	rows.SetFaults(standin.Faults{})
	time.Sleep(2 * acceptRetryDelay)
	if got := rows.Load().RowsWrote; got != 0 {
		t.Errorf("%d rows of a refused job were written", got)
	}
}

func TestAnswersToBadRequests(t *testing.T) {
	_, _, e := testNode(t)
	for _, c := range []struct {
		method, path, body string
		want               int
	}{
		{http.MethodPost, "/other/" + testID, testBody, http.StatusNotFound},
		{http.MethodPost, "/q/xyz", testBody, http.StatusNotFound},
		{http.MethodPost, "/q/" + testID, "{", http.StatusBadRequest},
		{http.MethodPost, "/q/" + testID, strings.Repeat(" ", 2000), http.StatusRequestEntityTooLarge},
		{http.MethodGet, "/q/" + testID, "", http.StatusGone},
		{http.MethodDelete, "/q/" + testID, "", http.StatusGone},
		{http.MethodGet, "/q/", "", http.StatusOK},
	} {
		if code, body := request(e, c.method, c.path, c.body); code != c.want {
			t.Errorf("%s %s: answer %d %s, want %d", c.method, c.path, code, body, c.want)
		}
	}
}

func TestRequestBeforeTheFirstConfigurationIsRefused(t *testing.T) {
	n, _, e := testNode(t)
	n.catalog.Store(nil)
	if code, _ := request(e, http.MethodGet, "/q/", ""); code != http.StatusServiceUnavailable || n.Ready() {
		t.Errorf("answer %d, ready %v; want 503 and false", code, n.Ready())
	}
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	n, _, e := testNode(t)
	n.adopt(platform.OperatorChanges{Catalog: testCatalog(7, "/new/")})
	n.adopt(platform.OperatorChanges{Catalog: testCatalog(3, "/q/")})
	if code, _ := request(e, http.MethodGet, "/new/", ""); code != http.StatusOK {
		t.Errorf("answer %d for a queue of version 7 after version 3 came late, want 200", code)
	}
}

// TestPendingIsCountedFromTheRowsUntilTheOwnerHasCounted runs a new owner whose
// heartbeats do not carry pending counts yet. Missing counts must not be
// answered as zero.
func TestPendingIsCountedFromTheRowsUntilTheOwnerHasCounted(t *testing.T) {
	n, _, e := testNode(t)
	request(e, http.MethodPost, "/q/"+testID, testBody)
	setHeartbeat := func(b ownership.Heartbeat) {
		b.Incarnation = 5
		view := ownership.View{Record: ownership.Record{Incarnation: 5}, Heartbeat: b, HeartbeatVersion: 9, HeartbeatSeen: n.Clock.Now()}
		n.view.Store(&view)
	}
	setHeartbeat(ownership.Heartbeat{})
	if _, body := request(e, http.MethodGet, "/q/", ""); !strings.Contains(body, `"pending":1`) {
		t.Errorf("answer %s before the owner has counted, want 1 pending", body)
	}
	setHeartbeat(ownership.Heartbeat{PendingKnown: true, Pending: map[string]int{"q": 4}})
	if _, body := request(e, http.MethodGet, "/q/", ""); !strings.Contains(body, `"pending":4`) {
		t.Errorf("answer %s, want the owner's 4", body)
	}
}

// TestPendingCountsJobsThatTheOwnerHasNotRead guards against an owner that sends heartbeats but handles no new jobs.
func TestPendingCountsJobsThatTheOwnerHasNotRead(t *testing.T) {
	n, rows, e := testNode(t)
	o := testOwner(t, rows, 1)
	o.engine = scheduler.New(scheduler.Options{
		Token: 1, Epoch: 1, MaxLease: time.Second, Parts: 1, PartOf: func(string) int { return 0 }, Log: zap.NewNop(),
	})
	o.engine.SetCatalog(testCatalog(1, "/q/"))
	o.fleetController = newFleetController(o, nil, scheduler.WorkerHosts{}, 0)
	o.node.adopt(platform.OperatorChanges{Catalog: testCatalog(1, "/q/")})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go o.watchJobs(ctx, 0)
	pendingAfterHeartbeat := func() string {
		t.Helper()
		o.sendHeartbeat(ctx, o.node.Clock.Now())
		control, _, err := rows.ReadRows(ctx, controlTable, controlPart, "", "")
		if err == nil {
			err = n.observeControl(control, n.Clock.Now())
		}
		if err != nil {
			t.Fatal(err)
		}
		view := *n.view.Load()
		view.Record.Incarnation = o.node.incarnation
		n.view.Store(&view)
		_, body := request(e, http.MethodGet, "/q/", "")
		return strings.TrimSpace(body)
	}
	for i, id := range []string{"00000000000000a1", "00000000000000a2", "00000000000000a3"} {
		if code, body := request(e, http.MethodPost, "/q/"+id, testBody); code != http.StatusOK {
			t.Fatalf("answer %d %s, want 200", code, body)
		}
		if i == 0 {
			for len(o.engine.Pending()) == 0 {
				(<-o.events)(o.node.Clock.Now())
			}
			o.updateHeartbeat()
		}
	}
	if got := pendingAfterHeartbeat(); got != `{"pending":1}` {
		t.Errorf("answer %s at first, want the owner's count of 1", got)
	}
	time.Sleep(2200 * time.Millisecond)
	if got := pendingAfterHeartbeat(); got != `{"pending":3}` {
		t.Errorf("answer %s after 2.2 s without a new count by the owner, want 3", got)
	}
}

// testOwner stores a new owner record and returns its ownership.
func testOwner(t *testing.T, rows *standin.Rows, epoch int64) *owner {
	t.Helper()
	n := New(Options{Name: "entry", Rows: rows, Log: zap.NewNop()})
	existing, _, err := rows.ReadRows(context.Background(), controlTable, controlPart, "owner", "")
	if err != nil {
		t.Fatal(err)
	}
	condition := platform.RowCondition{RowKey: ownerRow}
	if len(existing) > 0 {
		condition.Version = existing[0].Version
	}
	stamp, err := rows.CommitRows(context.Background(), platform.RowTxn{
		Conditions: []platform.RowCondition{condition}, Writes: []platform.RowWrite{{RowKey: ownerRow, Value: []byte("{}")}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return &owner{
		node: n, token: stamp.Version, record: ownership.Record{Epoch: epoch}, cancel: func() {},
		events: make(chan func(time.Duration), 10),
	}
}

// TestFormerOwnersCommitsAreRefused checks that a previous owner can no longer
// write in any part once its successor has fenced them, even if the answers to
// some of the successor's fence writes were lost.
func TestFormerOwnersCommitsAreRefused(t *testing.T) {
	rows := standin.NewRows()
	ctx := context.Background()
	previous := testOwner(t, rows, 1)
	if err := previous.fenceParts(ctx); err != nil {
		t.Fatal(err)
	}
	next := testOwner(t, rows, 2)
	rows.SetFaults(standin.Faults{LoseAnswers: 2}) // the answers to two fence writes are lost
	if err := next.fenceParts(ctx); err != nil {
		t.Fatal(err)
	}
	check := func(key platform.RowKey, previous, next platform.RowCondition) {
		write := platform.RowTxn{Writes: []platform.RowWrite{{RowKey: key, Value: []byte("{}")}}}
		write.Conditions = []platform.RowCondition{previous}
		if _, err := rows.CommitRows(ctx, write); !errors.Is(err, platform.ErrConflict) {
			t.Errorf("part %s: the previous owner's commit returned %v, want a conflict", key.Part, err)
		}
		write.Conditions = []platform.RowCondition{next}
		if _, err := rows.CommitRows(ctx, write); err != nil {
			t.Errorf("part %s: the owner's commit returned %v", key.Part, err)
		}
	}
	check(recordsRow(waveTable, "1"), previous.recordsFence, next.recordsFence)
	for part := range jobParts {
		check(platform.RowKey{Table: progressTable, Part: partName(part), Key: testID}, previous.fences[part], next.fences[part])
	}
	if err := previous.fenceParts(ctx); err == nil {
		t.Error("a previous owner fenced the parts again")
	}
}

// TestUsedWorkersFitTheirRows checks that a long list is split into several
// rows and that the rows left over from an earlier, longer list are emptied.
func TestUsedWorkersFitTheirRows(t *testing.T) {
	used := make([]usedWorker, 250)
	writes, err := usedWorkerRows(used, 0)
	if err != nil || len(writes) != 3 {
		t.Fatalf("%d rows, %v; want 3", len(writes), err)
	}
	writes, err = usedWorkerRows(used[:10], 3)
	if err != nil || len(writes) != 3 || string(writes[2].Value) != "[]" {
		t.Errorf("%d rows, %v; want 3, the last two empty", len(writes), err)
	}
}

// TestJobsToldAgainAreNotRunAgain adds a job twice, as a feed may after it has
// read the whole table again, the second time after the job has ended. The job
// must not become pending again.
func TestJobsToldAgainAreNotRunAgain(t *testing.T) {
	e := scheduler.New(scheduler.Options{
		Token: 1, Epoch: 1, MaxLease: time.Second, Parts: 1, PartOf: func(string) int { return 0 }, Log: zap.NewNop(),
	})
	e.SetCatalog(testCatalog(1, "/q/"))
	job := &workload.Job{ID: testID, Queue: "q", Pool: "p", Steps: []workload.Step{{Count: 1, Size: placement.Resources{Processors: 1}}}}
	add := func() { e.AddJob(job, &workload.Progress{Queue: "q", State: workload.Queued}, 1, 0, false, 0) }
	add()
	e.Cancel(testID, 1, 0)
	for _, o := range e.Decide(time.Second, scheduler.OwnershipValid) {
		if c, ok := o.(*scheduler.Commit); ok {
			e.Committed(c, 2, time.Second)
		}
	}
	add()
	if got := e.Pending(); len(got) != 0 {
		t.Errorf("pending %v after the job was added again, want none", got)
	}
}

// TestLateRecordOfWorkersDoesNotReplaceANewerOne applies a write of the record
// whose answer was lost after a later write of the record. If the late write
// succeeded, a successor would not know the worker that the later one added.
func TestLateRecordOfWorkersDoesNotReplaceANewerOne(t *testing.T) {
	rows := standin.NewRows()
	o := testOwner(t, rows, 1)
	o.fleetController = &fleetController{}
	o.engine = scheduler.New(scheduler.Options{Log: zap.NewNop()})
	ctx := context.Background()
	older, err := o.usedWorkersTxn([]usedWorker{{ID: "w1"}})
	if err != nil {
		t.Fatal(err)
	}
	o.usedWorkersRecorded(nil, len(older.Writes), 0, platform.ErrUnknown)
	list := []usedWorker{{ID: "w1"}, {ID: "w2"}}
	newer, err := o.usedWorkersTxn(list)
	if err != nil {
		t.Fatal(err)
	}
	stamp, err := rows.CommitRows(ctx, newer)
	if err != nil {
		t.Fatal(err)
	}
	o.usedWorkersRecorded(list, len(newer.Writes), stamp.Version, nil)
	if _, err := rows.CommitRows(ctx, older); !errors.Is(err, platform.ErrConflict) {
		t.Errorf("the late write returned %v, want a conflict", err)
	}
	if next, err := o.usedWorkersTxn(list); err != nil {
		t.Error(err)
	} else if _, err := rows.CommitRows(ctx, next); err != nil {
		t.Errorf("the next write returned %v", err)
	}
}

// The owner has read no host list of its own yet.
func TestRecordOfWorkersKeepsTheirHosts(t *testing.T) {
	o := testOwner(t, standin.NewRows(), 1)
	inherited := usedWorker{ID: "w1", Pool: "p", Host: "h1"}
	o.engine = scheduler.New(scheduler.Options{Log: zap.NewNop()})
	o.engine.Recover(workersOf([]usedWorker{inherited, {ID: "w2", Pool: "p"}}, &o.node.Clock, o.record.Epoch), o.previousLeasesEnd(), 0)
	o.fleetController = newFleetController(o, nil, workerHostsOf([]usedWorker{inherited}), 0)
	used := o.withHosts(o.engine.InUse(o.node.Clock.Now()))
	if !slices.Contains(used, inherited) {
		t.Errorf("recorded are %+v, want %+v among them", used, inherited)
	}
	o.usedWorkersRecorded(used, 1, 1, nil)
	if !o.usedWorkersUpToDate(o.node.Clock.Now()) {
		t.Error("the record is to be written again, want it up to date")
	}
	o.fleetController.setHosts([]estate.Host{{Name: "h1", Pool: "p", WorkerID: "w1"}, {Name: "h2", Pool: "p", WorkerID: "w2"}}, 1, 1)
	if o.usedWorkersUpToDate(o.node.Clock.Now()) {
		t.Error("the record is up to date without the host of a worker")
	}
}

// TestOrdersOfTwoHoldersAreApart checks when a new owner may give its first
// order about a host: not before HolderLease has passed since the previous
// owner's last possible order.
func TestOrdersOfTwoHoldersAreApart(t *testing.T) {
	const lease = 3 * time.Second
	for _, c := range []struct {
		name     string
		previous ownership.Record
		least    time.Duration
	}{
		{"nobody before", ownership.Record{}, 0},
		{"the same host", ownership.Record{Owner: "me", HostOrderHolder: "me"}, 0},
		{"released", ownership.Record{HostOrderHolder: "other"}, 20*time.Second + lease},
		{"died", ownership.Record{Owner: "other", HostOrderHolder: "other"}, 17*time.Second + ownership.LeaseDuration + lease},
	} {
		n := &Node{Options: Options{Name: "me", HolderLease: lease}}
		o := &owner{node: n, previous: c.previous, acquiredAt: 20 * time.Second, previousHeartbeat: 17 * time.Second}
		got := o.firstHostOrder()
		if got < c.least || (c.least > 0 && got == c.least) || got > c.least+time.Second {
			t.Errorf("%s: first order at %v, want a little after %v", c.name, got, c.least)
		}
	}
}
