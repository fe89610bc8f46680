package claim

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/egretpitch/egretpitch/internal/contract"
	"github.com/egretpitch/egretpitch/internal/outcome"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/standin"
)

// inBubble runs a test in virtual time with n managers that share one table.
func inBubble(t *testing.T, n int, opts Options, test func(t *testing.T, table *delayedTable, managers []*Manager)) {
	synctest.Test(t, func(t *testing.T) {
		table := &delayedTable{Table: standin.NewTable()}
		ctx, cancel := context.WithCancel(t.Context())
		var runs sync.WaitGroup
		var managers []*Manager
		for range n {
			o := opts
			o.Entry, o.Table = "entry", table // as after a restart with the same name
			m := New(o)
			runs.Go(func() { m.Run(ctx) })
			managers = append(managers, m)
		}
		test(t, table, managers)
		cancel()
		runs.Wait()
	})
}

// check compares the verdict and the refusal of a claim.
func check(t *testing.T, c *Claim, verdict Verdict, reason string, o outcome.Outcome) {
	t.Helper()
	if c.Verdict != verdict {
		t.Errorf("verdict is %d (%v), want %d", c.Verdict, c.Refusal, verdict)
	} else if verdict == Refuse && (c.Refusal.Reason != reason || c.Refusal.Outcome != o) {
		t.Errorf("refusal is %v, want %s, %v", c.Refusal, reason, o)
	}
}

func TestRepeatedKeyGetsItsOwnOutcome(t *testing.T) {
	inBubble(t, 2, Options{}, func(t *testing.T, _ *delayedTable, m []*Manager) {
		claimKey := func(entry int, key, body string) *Claim {
			return m[entry].Claim(t.Context(), request(key, body, contract.OutageRefuse))
		}
		first := claimKey(0, "k", "order")
		check(t, first, Forward, "", 0)
		check(t, claimKey(1, "k", "order"), Refuse, "key-in-progress", outcome.Unknown)
		check(t, claimKey(1, "k", "other"), Refuse, "key-reused", outcome.NotRun)
		answer := &Stored{Status: http.StatusCreated, Header: http.Header{"X-Order": {"7"}}, Body: []byte("whole")}
		m[0].Done(first, answer)
		time.Sleep(time.Second)
		again := claimKey(1, "k", "order")
		check(t, again, Replay, "", 0)
		if diff := cmp.Diff(answer, again.Stored); diff != "" {
			t.Error(diff)
		}
		for _, long := range []*Stored{nil, {Status: 200, Body: make([]byte, DefaultStoredAnswerBytes+1)}} {
			key := fmt.Sprint("long", long == nil)
			m[0].Done(claimKey(0, key, "order"), long)
			time.Sleep(time.Second)
			check(t, claimKey(1, key, "order"), Refuse, "key-done", outcome.Ran)
		}
		released := claimKey(0, "free", "order")
		m[0].Release(released)
		time.Sleep(time.Second)
		check(t, claimKey(1, "free", "order"), Forward, "", 0)
	})
}

func TestTableOutageFollowsTheContract(t *testing.T) {
	for name, faults := range map[string]standin.Faults{"down": {Down: true}, "slow": {Latency: time.Minute}} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 1, Options{}, func(t *testing.T, table *delayedTable, m []*Manager) {
				table.SetFaults(faults)
				c := m[0].Claim(t.Context(), request("a", "order", contract.OutageRefuse))
				check(t, c, Refuse, "claim-unavailable", outcome.NotRun)
				c = m[0].Claim(t.Context(), request("b", "order", contract.OutageRun))
				check(t, c, ForwardUnclaimed, "", 0)
			})
		})
	}
}

func TestKeyRefusedAsNotRunIsFreeAgain(t *testing.T) {
	for name, faults := range map[string]standin.Faults{
		// The commit takes effect only after the table was down for the
		// read-back.
		"late": {Down: true},
		// The commit is answered after the request stopped waiting.
		"slow": {Latency: DefaultClaimTimeout + 100*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 2, Options{}, func(t *testing.T, table *delayedTable, m []*Manager) {
				if faults.Down {
					table.late = []time.Duration{3 * time.Second}
				}
				table.SetFaults(faults)
				c := m[0].Claim(t.Context(), request("k", "order", contract.OutageRefuse))
				check(t, c, Refuse, "claim-unavailable", outcome.NotRun)
				table.SetFaults(standin.Faults{})
				time.Sleep(10 * time.Second)
				check(t, m[1].Claim(t.Context(), request("k", "order", contract.OutageRefuse)), Forward, "", 0)
			})
		})
	}
}

func TestLostAnswerOfTheTableIsSettledByReadingBack(t *testing.T) {
	for name, faults := range map[string]standin.Faults{"lost": {LoseAnswers: 2}, "dropped": {DropCommits: 2}} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 2, Options{}, func(t *testing.T, table *delayedTable, m []*Manager) {
				table.SetFaults(faults)
				c := m[0].Claim(t.Context(), request("k", "order", contract.OutageRefuse))
				check(t, c, Forward, "", 0)
				table.SetFaults(faults)
				m[0].Done(c, &Stored{Status: 200})
				time.Sleep(time.Second)
				check(t, m[1].Claim(t.Context(), request("k", "order", contract.OutageRefuse)), Replay, "", 0)
			})
		})
	}
}

func TestConflictDoesNotFailItsNeighbours(t *testing.T) {
	inBubble(t, 2, Options{}, func(t *testing.T, table *delayedTable, m []*Manager) {
		check(t, m[0].Claim(t.Context(), request("3", "order", contract.OutageRefuse)), Forward, "", 0)
		m[1].Claim(t.Context(), request("first", "order", contract.OutageRefuse)) // so that the next ones share a batch
		before := table.Load()
		claims := make([]*Claim, 20)
		var callers sync.WaitGroup
		for i := range claims {
			callers.Go(func() {
				claims[i] = m[1].Claim(t.Context(), request(fmt.Sprint(i), "order", contract.OutageRefuse))
			})
		}
		callers.Wait()
		for i, c := range claims {
			if i == 3 {
				check(t, c, Refuse, "key-in-progress", outcome.Unknown)
			} else {
				check(t, c, Forward, "", 0)
			}
		}
		if got := table.Load(); got.Commits-before.Commits > 2 || got.Reads-before.Reads > 1 {
			t.Errorf("20 claims with a conflict took %+v after %+v, want 2 commits and 1 read", got, before)
		}
	})
}

func TestOldClaimsAreRemovedAndYoungOnesKept(t *testing.T) {
	opts := Options{SweepPeriod: 10 * time.Millisecond, Retention: time.Minute}
	inBubble(t, 2, opts, func(t *testing.T, table *delayedTable, m []*Manager) {
		for i := range 30 {
			m[i%2].Claim(t.Context(), request(fmt.Sprint("old", i), "order", contract.OutageRefuse))
		}
		time.Sleep(50 * time.Second)
		m[0].Claim(t.Context(), request("young", "order", contract.OutageRefuse))
		time.Sleep(40 * time.Second)
		rows, err := table.Scan(t.Context(), keyPrefix, 0)
		if err != nil || len(rows) != 1 || rows[0].Key != rowKey("orders", "young") {
			t.Errorf("%d rows are left, %v", len(rows), err)
		}
	})
}

// TestClaimsStayWithinTheTablesWriteRate guards against too many transactions
// for the table. It runs the keyed requests of one deployment for ten seconds:
// nine entries, together 400 requests a second.
func TestClaimsStayWithinTheTablesWriteRate(t *testing.T) {
	const entries, perEntry, interval, maxCommitsPerSecond = 9, 445, 22500 * time.Microsecond, 300
	inBubble(t, entries, Options{}, func(t *testing.T, table *delayedTable, m []*Manager) {
		table.SetFaults(standin.Faults{Latency: 3 * time.Millisecond})
		begin := time.Now()
		var callers sync.WaitGroup
		var mu sync.Mutex
		var longest time.Duration
		for e := range entries {
			for i := range perEntry {
				callers.Go(func() {
					time.Sleep(time.Duration(i) * interval)
					claimStart := time.Now()
					c := m[e].Claim(t.Context(), request(fmt.Sprint(e, "/", i), "order", contract.OutageRefuse))
					mu.Lock()
					longest = max(longest, time.Since(claimStart))
					mu.Unlock()
					check(t, c, Forward, "", 0)
					m[e].Done(c, &Stored{Status: 200})
				})
			}
		}
		callers.Wait()
		seconds := time.Since(begin).Seconds()
		load := table.Load()
		commits, rows := float64(load.Commits)/seconds, float64(load.RowsWrote)/seconds
		t.Logf("%.0f transactions and %.0f rows a second, longest wait %v of virtual time", commits, rows, longest)
		if commits > maxCommitsPerSecond {
			t.Errorf("%.0f transactions a second, want at most %d", commits, maxCommitsPerSecond)
		}
		if longest > DefaultClaimTimeout {
			t.Errorf("a claim waited for %v, longer than the claim timeout", longest)
		}
	})
}

func FuzzParseKey(f *testing.F) {
	for _, seed := range []string{"", "k", "a b", "\x00", strings.Repeat("k", MaxKeyBytes+1), "ключ"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		key, err := ParseKey(http.Header{Header: {value}})
		if err != nil {
			return
		}
		if string(key) != value || len(key) > MaxKeyBytes {
			t.Fatalf("header %q parsed to the key %q", value, key)
		}
		row := rowKey("orders", key)
		if !strings.HasPrefix(row, servicePrefix("orders")) || strings.ContainsAny(row, " \x00") {
			t.Errorf("key %q has the row key %q", value, row)
		}
		if _, err := decode(platform.Row{Key: row, Value: []byte(value)}); err == nil && value[0] != '{' && value != "null" {
			t.Errorf("value %q was decoded as a record", value)
		}
	})
}
