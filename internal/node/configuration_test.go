package node

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/ctxtime"
	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/standin"
)

// operatorRow is an operator that answers a call for changes once there is one.
type operatorRow struct {
	platform.Operator
	changes chan platform.OperatorChanges
	current platform.OperatorChanges
	// gone is set if the history of the next change is gone.
	gone atomic.Bool
}

func (o *operatorRow) ReadOperator(context.Context) (platform.OperatorChanges, error) {
	return o.current, nil
}

func (o *operatorRow) WatchOperator(ctx context.Context, _ int64, _ time.Duration) (platform.OperatorChanges, error) {
	select {
	case c := <-o.changes:
		if o.gone.Swap(false) {
			return c, platform.ErrHistoryGone
		}
		return c, nil
	case <-ctx.Done():
		return platform.OperatorChanges{}, ctx.Err()
	}
}

// watching returns a node that follows an operator until the test ends.
func watching(t *testing.T, rows platform.Rows, o *operatorRow) *Node {
	n := New(Options{Name: "n", Rows: rows, Operator: o, Log: zap.NewNop()})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = n.watchOperator(ctx) }()
	go func() { _ = n.keepFloor(ctx) }()
	return n
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 5 s: %s", what)
		}
	}
}

// The old version is delivered to a process that has not seen the withdrawal itself.
func TestWithdrawnKeyStaysInvalidAfterARestart(t *testing.T) {
	_, rows, _ := testNode(t)
	old := teamCatalog(4, teams{"a": {"k1"}}, false)
	first := watching(t, rows, &operatorRow{current: platform.OperatorChanges{Catalog: teamCatalog(5, teams{"a": {"k2"}}, false)}})
	second := watching(t, rows, &operatorRow{current: platform.OperatorChanges{Catalog: teamCatalog(5, teams{"a": {"k2"}}, false)}})
	for _, n := range []*Node{first, second} {
		eventually(t, "version 5 is recorded", func() bool { return n.floor.version.Load() == 5 })
	}
	o := &operatorRow{current: platform.OperatorChanges{Catalog: old}, changes: make(chan platform.OperatorChanges)}
	restarted := watching(t, rows, o)
	o.changes <- platform.OperatorChanges{Catalog: old}
	o.changes <- platform.OperatorChanges{}
	if c := restarted.catalog.Load(); c != nil || restarted.Ready() {
		t.Fatalf("version %d is in force, want none", c.Version)
	}
	o.changes <- platform.OperatorChanges{Catalog: teamCatalog(6, teams{"a": {"k1"}}, false)}
	eventually(t, "version 6 is in force", func() bool { return catalogVersion(restarted.catalog.Load()) == 6 })
	eventually(t, "version 6 is recorded", func() bool { return restarted.floor.version.Load() == 6 })
}

func TestVersionsWithoutTeamsAreNotRecorded(t *testing.T) {
	_, rows, _ := testNode(t)
	n := watching(t, rows, &operatorRow{current: platform.OperatorChanges{Catalog: testCatalog(5, "/q/")}})
	eventually(t, "version 5 is in force", func() bool { return n.catalog.Load() != nil })
	time.Sleep(floorDelay + 100*time.Millisecond)
	if got := rows.Load().RowsWrote; got != 0 {
		t.Errorf("%d rows were written", got)
	}
}

// Guards against a higher version that goes unnoticed because its record takes seconds where calls take 0.96 s.
func TestRecordOfASlowTableServiceIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := standin.NewRows()
		rows.SetFaults(standin.Faults{Latency: 960 * time.Millisecond})
		n, other := New(Options{Name: "n", Rows: rows, Log: zap.NewNop()}), New(Options{Name: "other", Rows: rows, Log: zap.NewNop()})
		for _, n := range []*Node{n, other} {
			go func() { _ = n.keepFloor(t.Context()) }()
		}
		for version := int64(2); version <= 20; version += 2 {
			other.adopt(platform.OperatorChanges{Catalog: teamCatalog(version+1, nil, false)})
			n.adopt(platform.OperatorChanges{Catalog: testCatalog(version, "/q/")})
			time.Sleep(12 * time.Second)
			if got := n.floor.version.Load(); got != version+1 {
				t.Errorf("the process takes %d for the recorded version, want %d", got, version+1)
			}
		}
	})
}

// Guards against a write by each process for each version.
func TestFewProcessesRecordAVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := standin.NewRows()
		rows.SetFaults(standin.Faults{Latency: 10 * time.Millisecond})
		var nodes []*Node
		for range 42 {
			n := New(Options{Name: "n", Rows: rows, Log: zap.NewNop()})
			go func() { _ = n.keepFloor(t.Context()) }()
			nodes = append(nodes, n)
		}
		for version := int64(2); version <= 4; version++ {
			before := rows.Load().Commits
			for _, n := range nodes {
				n.adopt(platform.OperatorChanges{Catalog: teamCatalog(version, nil, false)})
			}
			time.Sleep(5 * time.Second)
			if commits := rows.Load().Commits - before; commits < 1 || commits > 6 {
				t.Errorf("version %d: %d transactions, want those of processes that read the record within 10 ms of its first write", version, commits)
			}
			for _, n := range nodes {
				if got := n.floor.version.Load(); got != version {
					t.Fatalf("a process takes %d for the recorded version, want %d", got, version)
				}
			}
		}
	})
}

func TestWhatAProcessServesWithoutTheTableService(t *testing.T) {
	const within, revoke = 3 * time.Second, 5 * time.Second
	for _, c := range []struct {
		name                string
		strict, unreachable bool
		// age is how long ago the configuration was known, unreadable since when one is
		// stored that cannot be decoded.
		age, unreadable      time.Duration
		valid, unknown, none int
	}{
		{"up to date", false, false, time.Second, 0, 200, 401, 404},
		{"unreachable for a second", false, true, time.Second, 0, 200, 401, 404},
		{"unreachable", false, true, time.Minute, 0, 200, 503, 503},
		{"the feed alone is silent", false, false, time.Minute, 0, 503, 503, 503},
		{"unreadable", false, false, time.Second, time.Minute, 200, 401, 404},
		{"strict, up to date", true, false, time.Second, 0, 200, 401, 404},
		{"strict, unreachable for less than the bound", true, true, 4 * time.Second, 0, 200, 503, 503},
		{"strict, unreachable", true, true, 6 * time.Second, 0, 503, 503, 503},
		{"strict, the feed alone is silent", true, false, 6 * time.Second, 0, 503, 503, 503},
		{"strict, unreadable", true, false, time.Second, 6 * time.Second, 503, 503, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, _, e := teamNode(t)
			n.ConfigWithin, n.StrictRevocation, n.RevokeWithin = within, c.strict, revoke
			now := n.Clock.Now()
			n.confirmed.at.Store(int64(now - c.age))
			if c.unreadable > 0 {
				n.confirmed.unreadableSince.Store(int64(now - c.unreadable))
			}
			if c.unreachable {
				n.reachability.failingSince.Store(time.Now().Add(-c.age).UnixNano())
			}
			if want := !c.unreachable && c.valid == http.StatusOK; n.Ready() != want {
				t.Errorf("ready %v, want %v", !want, want)
			}
			for path, want := range map[string]map[string]int{"/q/": {"ka": c.valid, "unknown": c.unknown}, "/nowhere/": {"ka": c.none}} {
				for key, want := range want {
					if got := answerTo(e, http.MethodGet, path, key); got != want {
						t.Errorf("GET %s with key %s: %d, want %d", path, key, got, want)
					}
				}
			}
		})
	}
}

// A process that was paused finds requests and the answer of the feed at the same time.
func TestRequestAfterAPauseWaitsForTheConfiguration(t *testing.T) {
	n, _, e := teamNode(t)
	n.ConfigWithin = 3 * time.Second
	n.confirmed.at.Store(int64(n.Clock.Now() - time.Minute))
	go func() {
		time.Sleep(50 * time.Millisecond)
		n.adopt(platform.OperatorChanges{Catalog: teamCatalog(3, teams{"a": {"k2"}}, false)})
		n.confirmed.observe(platform.OperatorChanges{}, n.Clock.Now(), n.Clock.Now())
	}()
	if got := answerTo(e, http.MethodPost, "/q/"+testID, "ka"); got != http.StatusUnauthorized {
		t.Errorf("%d for a key that was withdrawn during the pause, want 401", got)
	}
}

func TestOnlyAnAnswerThatLeavesNothingToReadConfirmsTheConfiguration(t *testing.T) {
	var c confirmation
	age := func() time.Duration {
		age, _ := c.age(100 * time.Second)
		return age
	}
	if _, known := c.age(time.Second); known {
		t.Error("known before the first answer")
	}
	c.observe(platform.OperatorChanges{}, 90*time.Second, 95*time.Second)
	c.observe(platform.OperatorChanges{MayHaveMore: true}, 97*time.Second, 98*time.Second)
	c.observe(platform.OperatorChanges{}, 80*time.Second, 99*time.Second) // a late answer
	if got := age(); got != 10*time.Second {
		t.Errorf("age %v, want 10 s: since the sending of the newest call with all changes", got)
	}
	c.observe(platform.OperatorChanges{Unreadable: true}, 92*time.Second, 93*time.Second)
	c.observe(platform.OperatorChanges{}, 99*time.Second, 100*time.Second)
	if strict, _ := c.strictAge(100 * time.Second); age() != time.Second || strict != 7*time.Second {
		t.Errorf("age %v, strict %v; want 1 s, and 7 s since the unreadable one", age(), strict)
	}
	c.observe(platform.OperatorChanges{Catalog: testCatalog(1, "/")}, 99*time.Second, 100*time.Second)
	if strict, _ := c.strictAge(100 * time.Second); strict != time.Second {
		t.Errorf("strict age %v after a readable one, want 1 s", strict)
	}
}

// The connection of the feed is open and its calls are not answered.
func TestConnectedButSilentFeedDoesNotConfirm(t *testing.T) {
	_, rows, _ := testNode(t)
	o := &operatorRow{current: platform.OperatorChanges{Catalog: teamCatalog(5, nil, false)}, changes: make(chan platform.OperatorChanges)}
	n := watching(t, rows, o)
	eventually(t, "a configuration is in force", func() bool { return n.catalog.Load() != nil })
	n.reachability.observe(nil) // other calls are answered
	time.Sleep(100 * time.Millisecond)
	if age, known := n.confirmed.age(n.Clock.Now()); !known || age < 100*time.Millisecond {
		t.Errorf("age %v, known %v; want at least the time without an answer", age, known)
	}
	before := n.Clock.Now()
	o.changes <- platform.OperatorChanges{}
	o.changes <- platform.OperatorChanges{} // to a call that was sent after the first answer
	eventually(t, "an answer confirms", func() bool { return n.confirmed.at.Load() >= int64(before) })
}

// changingOperator answers each call for changes with one that may not be the last.
type changingOperator struct{ operatorRow }

func (o *changingOperator) WatchOperator(ctx context.Context, after int64, _ time.Duration) (platform.OperatorChanges, error) {
	select {
	case <-time.After(50 * time.Millisecond):
		return platform.OperatorChanges{Stamp: platform.Stamp{Version: after + 1}, MayHaveMore: true}, nil
	case <-ctx.Done():
		return platform.OperatorChanges{}, ctx.Err()
	}
}

// An operator that changes something before each long poll ends would keep all requests refused.
func TestConfigurationIsConfirmedWhileTheOperatorKeepsChangingIt(t *testing.T) {
	_, rows, _ := testNode(t)
	o := &changingOperator{operatorRow{current: platform.OperatorChanges{Catalog: teamCatalog(5, nil, false)}}}
	n := New(Options{Name: "n", Rows: rows, Operator: o, Log: zap.NewNop()})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = n.watchOperator(ctx) }()
	eventually(t, "a configuration is in force", func() bool { return n.catalog.Load() != nil })
	before := n.confirmed.at.Load()
	time.Sleep(2 * time.Second)
	if age, _ := n.confirmed.age(n.Clock.Now()); n.confirmed.at.Load() == before || age > 1500*time.Millisecond {
		t.Errorf("the configuration was last known %v ago, want at most 1.5 s", age)
	}
}

// slowOperator answers each call for changes that much later than its wait has ended.
type slowOperator struct {
	operatorRow
	late time.Duration
}

func (o *slowOperator) WatchOperator(ctx context.Context, after int64, wait time.Duration) (platform.OperatorChanges, error) {
	select {
	case <-time.After(wait + o.late):
		return platform.OperatorChanges{Stamp: platform.Stamp{Version: after}}, nil
	case <-ctx.Done():
		return platform.OperatorChanges{}, ctx.Err()
	}
}

// Two long polls of a slow table service take longer than the bound on the age of the configuration.
func TestConfigurationIsConfirmedInTimeByASlowTableService(t *testing.T) {
	_, rows, _ := testNode(t)
	o := &slowOperator{operatorRow{current: platform.OperatorChanges{Catalog: teamCatalog(5, nil, false)}}, 900 * time.Millisecond}
	n := New(Options{Name: "n", Rows: rows, Operator: o, ConfigWithin: 3 * time.Second, Log: zap.NewNop()})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = n.watchOperator(ctx) }()
	eventually(t, "a configuration is in force", func() bool { return n.catalog.Load() != nil })
	var oldest time.Duration
	for range 700 {
		age, _ := n.confirmed.age(n.Clock.Now())
		oldest = max(oldest, age)
		time.Sleep(10 * time.Millisecond)
	}
	if oldest > n.ConfigWithin {
		t.Errorf("the configuration was last known %v ago, want at most %v", oldest, n.ConfigWithin)
	}
}

// The feed shows the newest row only: a process may miss a version that others put in force before an older one was written again.
func TestOlderVersionThatHidesAWithdrawalIsNotServed(t *testing.T) {
	_, rows, _ := testNode(t)
	newest := &operatorRow{current: platform.OperatorChanges{Catalog: teamCatalog(5, teams{"a": {"k2"}}, false)}}
	missed := &operatorRow{current: platform.OperatorChanges{Catalog: teamCatalog(4, teams{"a": {"k1"}}, false)}, changes: make(chan platform.OperatorChanges)}
	n := watching(t, rows, missed)
	eventually(t, "version 4 is in force", func() bool { return n.catalog.Load() != nil })
	other := watching(t, rows, newest)
	eventually(t, "version 5 is recorded", func() bool { return other.floor.row.Load() != platform.NoVersion && other.floor.version.Load() == 5 })
	missed.changes <- platform.OperatorChanges{Catalog: teamCatalog(4, teams{"a": {"k1"}}, false)}
	eventually(t, "version 4 is not used", func() bool { return n.configurationUse() == configurationUnconfirmed })
	missed.changes <- platform.OperatorChanges{Catalog: teamCatalog(6, teams{"a": {"k2"}}, false)}
	eventually(t, "version 6 is used", func() bool { return n.configurationUse() == configurationCurrent })
}

// The bound on the age of the configuration holds where the service answers this process, also that it makes too many calls.
func TestProcessThatTheServiceLimitsDoesNotKeepItsLastConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(Options{Name: "n", ConfigWithin: 3 * time.Second, Log: zap.NewNop()})
		n.adopt(platform.OperatorChanges{Catalog: teamCatalog(2, teams{"a": {"ka"}}, false)})
		n.confirmed.at.Store(int64(n.Clock.Now() - 4*time.Second))
		for range 15 {
			n.reachability.observe(platform.ErrLimited)
			time.Sleep(100 * time.Millisecond)
		}
		if use := n.configurationUse(); use != configurationUnconfirmed || n.reachability.unreachable() {
			t.Errorf("use %d, unreachable %v; want unconfirmed (%d) and reachable", use, n.reachability.unreachable(), configurationUnconfirmed)
		}
		n.adopt(platform.OperatorChanges{Catalog: testCatalog(3, "/q/")})
		if n.Ready() {
			t.Error("a process whose calls were all refused for 1.5 s is ready, want that callers are sent to others")
		}
		n.reachability.observe(nil)
		if !n.Ready() {
			t.Error("not ready after a call that was carried out")
		}
	})
}

// Guards against requests without a key, or with a withdrawn one, by a version that is lower than the recorded one, which this process has missed.
func TestMissedVersionIsNoticedByTheRecordedOne(t *testing.T) {
	for _, c := range []struct {
		name           string
		first, then    *estate.Catalog
		paused, failed bool
	}{
		{"without teams, after a pause", testCatalog(3, "/q/"), testCatalog(4, "/q/"), true, false},
		{"without teams, after a pause, all is read again", testCatalog(3, "/q/"), testCatalog(4, "/q/"), true, true},
		{"without teams, delivered again after a pause", testCatalog(3, "/q/"), testCatalog(3, "/q/"), true, false},
		{"without teams", testCatalog(3, "/q/"), testCatalog(4, "/q/"), false, false},
		{"without teams, delivered again", testCatalog(3, "/q/"), testCatalog(3, "/q/"), false, false},
		{"teams, after a pause", teamCatalog(3, teams{"a": {"k1"}}, false), teamCatalog(4, teams{"a": {"k1"}}, false), true, false},
		{"teams", teamCatalog(3, teams{"a": {"k1"}}, false), teamCatalog(4, teams{"a": {"k1"}}, false), false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			n, rows, e := testNode(t)
			missed := &operatorRow{current: platform.OperatorChanges{Catalog: c.first}, changes: make(chan platform.OperatorChanges)}
			n.Operator = missed
			go func() { _ = n.watchOperator(t.Context()) }()
			go func() { _ = n.keepFloor(t.Context()) }()
			eventually(t, "version 3 is in force", func() bool { return catalogVersion(n.catalog.Load()) == 3 })
			time.Sleep(floorRereadDelay + floorSecondDelay + 100*time.Millisecond) // no read that version 3 caused is outstanding
			other := watching(t, rows, &operatorRow{current: platform.OperatorChanges{Catalog: teamCatalog(5, teams{"a": {"k2"}}, false)}})
			eventually(t, "version 5 is recorded", func() bool { return other.floor.row.Load() != platform.NoVersion && other.floor.version.Load() == 5 })
			if got := answerTo(e, http.MethodPost, "/q/"+testID, "k1"); got != http.StatusOK {
				t.Fatalf("POST answered %d before anything is delivered, want 200", got)
			}
			known := int64(n.Clock.Now())
			if c.paused {
				known -= int64(time.Minute)
			}
			n.confirmed.at.Store(known)
			missed.current = platform.OperatorChanges{Catalog: c.then}
			if c.failed {
				missed.gone.Store(true)
				missed.changes <- platform.OperatorChanges{}
			} else {
				missed.changes <- missed.current
			}
			if c.paused {
				eventually(t, "the answer is handled", func() bool { return n.confirmed.at.Load() != known })
			} else {
				eventually(t, "version 5 is known", func() bool { return n.floor.version.Load() == 5 })
			}
			if got := answerTo(e, http.MethodPost, "/q/"+testID, "k1"); got != http.StatusServiceUnavailable || n.Ready() {
				t.Errorf("POST answered %d by version %d, ready %v; want 503 and not ready", got, catalogVersion(n.catalog.Load()), n.Ready())
			}
		})
	}
}

// A configuration without teams may be followed by one with teams where there were teams before; elsewhere its age does not matter.
func TestConfigurationWithoutTeamsIsConfirmedWhereThereWereTeams(t *testing.T) {
	for _, c := range []struct {
		recorded int64
		want     int
	}{{0, http.StatusOK}, {1, http.StatusServiceUnavailable}} {
		n, _, e := testNode(t)
		n.ConfigWithin = 3 * time.Second
		n.floor.version.Store(c.recorded)
		n.confirmed.at.Store(int64(n.Clock.Now() - time.Minute))
		if got := answerTo(e, http.MethodPost, "/q/"+testID, noKey); got != c.want || n.Ready() != (c.want == http.StatusOK) {
			t.Errorf("recorded version %d: POST without a key after a pause answered %d, ready %v; want %d", c.recorded, got, n.Ready(), c.want)
		}
	}
}

// Guards against a configuration that is not put in force because the recorded version cannot be read, where there were never teams.
func TestVersionsWithoutTeamsDoNotDependOnTheRecordedOne(t *testing.T) {
	_, rows, _ := testNode(t)
	o := &operatorRow{current: platform.OperatorChanges{Catalog: testCatalog(3, "/q/")}, changes: make(chan platform.OperatorChanges)}
	silent := &silentConfigTable{Rows: rows}
	n := watching(t, silent, o)
	eventually(t, "version 3 is in force", func() bool { return n.catalog.Load() != nil })
	silent.silent.Store(true)
	n.confirmed.at.Store(int64(n.Clock.Now() - time.Minute))
	begin := time.Now()
	o.changes <- platform.OperatorChanges{Catalog: testCatalog(4, "/q/")}
	eventually(t, "version 4 is in force", func() bool { return catalogVersion(n.catalog.Load()) == 4 })
	if took := time.Since(begin); took > 2*time.Second {
		t.Errorf("version 4 is in force after %v, want 2 s at most", took)
	}
}

// silentConfigTable is a table service that may not answer reads of the recorded version.
type silentConfigTable struct {
	platform.Rows
	silent atomic.Bool
}

func (s *silentConfigTable) ReadRows(ctx context.Context, table, part, from, to string) ([]platform.PartRow, platform.Stamp, error) {
	if table == configTable && s.silent.Load() {
		<-ctx.Done()
		return nil, platform.Stamp{}, platform.ErrUnknown
	}
	return s.Rows.ReadRows(ctx, table, part, from, to)
}

// After a pause, a failure from before it shows nothing, nor does a call that ran out of time meanwhile.
func TestServiceIsNotUnreachableRightAfterAPause(t *testing.T) {
	n, _, e := teamNode(t)
	n.ConfigWithin = 3 * time.Second
	n.confirmed.at.Store(int64(n.Clock.Now() - 10*time.Second))
	n.reachability.observe(platform.ErrUnknown)
	ago := time.Now().Add(-9 * time.Second).UnixNano()
	n.reachability.failingSince.Store(ago)
	n.reachability.lastFailure.Store(ago)
	for range 2 {
		if n.reachability.unreachable() || n.configurationUse() != configurationUnconfirmed {
			t.Errorf("unreachable is %v, want the configuration unconfirmed", n.reachability.unreachable())
		}
		n.reachability.observe(platform.ErrUnknown)
	}
	if got := answerTo(e, http.MethodGet, "/q/"+testID, "ka"); got != http.StatusServiceUnavailable {
		t.Errorf("GET with a key that may have been withdrawn: %d, want 503", got)
	}
	for range 8 {
		time.Sleep(100 * time.Millisecond)
		n.reachability.observe(platform.ErrUnknown)
	}
	if !n.reachability.unreachable() {
		t.Error("the service counts as reachable after 0.8 s of failures")
	}
}

// storedOperator answers each call after a time, with what is stored when the call arrives or its wait ends.
type storedOperator struct {
	platform.Operator
	latency time.Duration
	stored  atomic.Pointer[estate.Catalog]
}

func (o *storedOperator) ReadOperator(ctx context.Context) (platform.OperatorChanges, error) {
	c := o.stored.Load()
	return platform.OperatorChanges{Catalog: c, Stamp: platform.Stamp{Version: c.Version}}, ctxtime.Sleep(ctx, o.latency)
}

func (o *storedOperator) WatchOperator(ctx context.Context, after int64, wait time.Duration) (platform.OperatorChanges, error) {
	for until := time.Now().Add(wait); o.stored.Load().Version <= after && time.Now().Before(until); {
		if err := ctxtime.Sleep(ctx, 10*time.Millisecond); err != nil {
			return platform.OperatorChanges{}, err
		}
	}
	c := o.stored.Load()
	if err := ctxtime.Sleep(ctx, o.latency); err != nil {
		return platform.OperatorChanges{}, err
	}
	if c.Version <= after {
		return platform.OperatorChanges{Stamp: platform.Stamp{Version: c.Version}}, nil
	}
	return platform.OperatorChanges{Catalog: c, Stamp: platform.Stamp{Version: c.Version}, MayHaveMore: true}, nil
}

// Guards against a configuration that is adopted too late, and requests that are refused meanwhile, because the record is read first.
func TestVersionsOfASlowTableServiceAreInForceInTime(t *testing.T) {
	const within = 3 * time.Second
	for _, latency := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 960 * time.Millisecond} {
		for _, refused := range []bool{false, true} {
			t.Run(fmt.Sprintf("calls of %v, record refused once: %v", latency, refused), func(t *testing.T) {
				t.Parallel()
				rows := standin.NewRows()
				rows.SetFaults(standin.Faults{Latency: latency})
				table := &refusingConfigTable{Rows: rows}
				o := &storedOperator{latency: latency}
				o.stored.Store(teamCatalog(1, teams{"a": {"ka"}}, false))
				n := New(Options{Name: "n", Rows: table, Operator: o, ConfigWithin: within, Log: zap.NewNop()})
				go func() { _ = n.watchOperator(t.Context()) }()
				eventually(t, "version 1 is in force", func() bool { return catalogVersion(n.catalog.Load()) == 1 })
				time.Sleep(2 * time.Second)
				for version := int64(2); version <= 3; version++ {
					table.refuses.Store(refused)
					o.stored.Store(teamCatalog(version, teams{"a": {"ka"}}, false))
					var adopted, oldest time.Duration
					for committed := time.Now(); time.Since(committed) < 5*time.Second; time.Sleep(10 * time.Millisecond) {
						if catalogVersion(n.catalog.Load()) == version && adopted == 0 {
							adopted = time.Since(committed)
						}
						age, _ := n.confirmed.age(n.Clock.Now())
						oldest = max(oldest, age)
					}
					if adopted == 0 || adopted > within || oldest > within {
						t.Errorf("version %d is adopted after %v, the configuration was %v old; want %v at most", version, adopted, oldest, within)
					}
				}
			})
		}
	}
}

// refusingConfigTable is a table service that refuses the next read of the recorded version if refuses is set.
type refusingConfigTable struct {
	platform.Rows
	refuses atomic.Bool
}

func (s *refusingConfigTable) ReadRows(ctx context.Context, table, part, from, to string) ([]platform.PartRow, platform.Stamp, error) {
	if table == configTable && s.refuses.Swap(false) {
		return nil, platform.Stamp{}, platform.ErrUnavailable
	}
	return s.Rows.ReadRows(ctx, table, part, from, to)
}
