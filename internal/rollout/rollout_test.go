package rollout

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/standin"
	_ "github.com/egretpitch/egretpitch/internal/testkit"
)

// faultyTable is the table as one operator reaches it: slow, and losing
// commits, answers and reads. A commit may take effect after its caller has
// given up waiting.
type faultyTable struct {
	*standin.Table
	rng *rand.Rand
}

func (n *faultyTable) delay() { time.Sleep(time.Duration(n.rng.IntN(1e8))) }

func (n *faultyTable) Commit(ctx context.Context, t platform.Txn) (int64, error) {
	n.delay()
	fault := n.rng.IntN(6)
	if fault == 0 { // arrives later, or after everything
		late := time.Duration(n.rng.IntN(1e9))
		go func() {
			time.Sleep(late)
			n.Table.Commit(context.Background(), t)
		}()
	}
	if fault > 1 {
		version, err := n.Table.Commit(ctx, t)
		if fault > 2 {
			return version, err
		}
	}
	n.delay()
	return 0, operr.Wrap(platform.ErrUnknown, "table: commit", "network")
}

func (n *faultyTable) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	n.delay()
	defer n.delay()
	if n.rng.IntN(5) == 0 {
		return nil, operr.Wrap(platform.ErrUnavailable, "table: read", "network")
	}
	return n.Table.Read(ctx, keys...)
}

// request and response are the input and output of one call of Accept.
type request struct {
	id       string
	expected uint64
}

type response struct {
	version  uint64
	conflict uint64
	unknown  bool
	refused  bool // definitely without effect
}

// register is the sequential specification: the state is the list of accepted
// change IDs, in order.
var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		var ids []string
		if state != "" {
			ids = strings.Split(state.(string), " ")
		}
		req, resp := input.(request), output.(response)
		accepted := strings.TrimSpace(state.(string) + " " + req.id)
		known := slices.Index(ids, req.id)
		fits := known < 0 && req.expected == uint64(len(ids))
		switch {
		case resp.refused:
			return []any{state}
		case resp.unknown && fits:
			return []any{state, accepted}
		case resp.unknown:
			return []any{state}
		case resp.conflict != 0 && known < 0 && !fits && resp.conflict == uint64(len(ids)):
			return []any{state}
		case resp.version != 0 && known >= 0 && resp.version == uint64(known+1):
			return []any{state}
		case resp.version != 0 && fits && resp.version == req.expected+1:
			return []any{accepted}
		}
		return nil
	},
}

// TestRacingOperatorsSeeOneRegister guards against lost, repeated or
// misreported changes. Operators race to change the settings through faulty
// tables and repeat calls with unknown outcomes; the history of calls must be
// linearizable.
func TestRacingOperatorsSeeOneRegister(t *testing.T) {
	const operators, changes = 4, 6
	outcomes := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		var history []porcupine.Operation
		synctest.Test(t, func(t *testing.T) {
			var mu sync.Mutex
			table := standin.NewTable()
			start := time.Now()
			var all sync.WaitGroup
			for o := range operators {
				all.Go(func() {
					rng := rand.New(rand.NewPCG(seed, uint64(o)))
					store := NewStore(&faultyTable{Table: table, rng: rng}, nil, nil)
					var expected uint64
					for c := range changes {
						req := request{id: fmt.Sprint(o, "-", c), expected: expected}
						for range 3 {
							call := time.Since(start)
							resp := accept(store, req)
							end := time.Since(start)
							if resp.unknown {
								end = 1 << 62
							}
							mu.Lock()
							outcomes[fmt.Sprintf("version %t conflict %t unknown %t", resp.version > 0, resp.conflict > 0, resp.unknown)]++
							history = append(history, porcupine.Operation{ClientId: o, Input: req, Call: int64(call), Output: resp, Return: int64(end)})
							mu.Unlock()
							expected = max(expected, resp.version, resp.conflict)
							if !resp.unknown && !resp.refused {
								break
							}
						}
					}
				})
			}
			all.Wait()
			time.Sleep(2 * time.Second)
		})
		// An operation without a known end overlaps later ones of its operator,
		// so each gets its own client ID.
		for i := range history {
			history[i].ClientId = i
		}
		if !porcupine.CheckOperations(register.ToModel(), history) {
			rt.Fatalf("the history of %d calls is not linearizable", len(history))
		}
	})
	t.Logf("outcomes: %v", outcomes)
}

func accept(s *Store, req request) response {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	version, err := s.Accept(ctx, []byte(req.id), req.expected, req.id)
	var conflict *ConflictError
	switch {
	case err == nil:
		return response{version: version}
	case errors.As(err, &conflict):
		return response{conflict: conflict.Current}
	case errors.Is(err, platform.ErrUnknown):
		return response{unknown: true}
	}
	return response{refused: true}
}

// TestVersionInForceNeverFalls guards against a process that falls back to
// older settings. Processes poll, receive versions from each other, restart
// and lose the table in any order. The version in force in a process must not
// decrease, even over restarts.
func TestVersionInForceNeverFalls(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := standin.NewTable()
		cfg := AdopterConfig[string]{Table: table, Parse: parse}
		processes := []*Adopter[string]{NewAdopter(cfg), NewAdopter(cfg), NewAdopter(cfg)}
		highest := make([]uint64, len(processes))
		var accepted uint64
		for step := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			i := rapid.IntRange(0, 2).Draw(rt, "process")
			switch rapid.IntRange(0, 5).Draw(rt, "action") {
			case 0:
				version, err := NewStore(table, nil, nil).Accept(t.Context(), fmt.Append(nil, "tree", step), accepted, fmt.Sprint(step))
				if err == nil {
					accepted = version
				}
			case 1:
				table.SetFaults(standin.Faults{Down: rapid.Bool().Draw(rt, "down")})
			case 2:
				processes[i] = NewAdopter(cfg)
			case 3:
				if c := processes[rapid.IntRange(0, 2).Draw(rt, "peer")].Current(); c != nil {
					processes[i].Offer(c.Version, c.YAML, FromPeer)
				}
			default:
				processes[i].Poll(t.Context())
			}
			for j, p := range processes {
				if c := p.Current(); c != nil && c.Version < highest[j] {
					rt.Fatalf("process %d fell from version %d to %d", j, highest[j], c.Version)
				}
				highest[j] = max(highest[j], processes[j].Version())
			}
		}
		table.SetFaults(standin.Faults{})
		for j, p := range processes {
			if p.Poll(t.Context()); p.Version() != accepted {
				rt.Fatalf("process %d has version %d in the end, accepted is %d", j, p.Version(), accepted)
			}
		}
	})
}

func parse(tree []byte) (string, error) {
	if strings.Contains(string(tree), "bad") {
		return "", errors.New("bad tree")
	}
	return string(tree), nil
}

// TestTreeThatDoesNotParseIsNotAdopted guards against invalid settings coming
// into force in a running process.
func TestTreeThatDoesNotParseIsNotAdopted(t *testing.T) {
	table := standin.NewTable()
	store := NewStore(table, nil, nil)
	a := NewAdopter(AdopterConfig[string]{Table: table, Parse: parse})
	for i, tree := range []string{"good", "bad", "better"} {
		if _, err := store.Accept(t.Context(), []byte(tree), uint64(i), tree); err != nil {
			t.Fatal(err)
		}
		err := a.Poll(t.Context())
		if bad := tree == "bad"; bad != (err != nil) || a.Current().Value == "bad" {
			t.Errorf("%s: polled with %v, in force is %s", tree, err, a.Current().Value)
		}
	}
}

// objects is an object store in memory.
type objects map[string][]byte

func (o objects) Put(_ context.Context, name string, data []byte) error { o[name] = data; return nil }
func (o objects) Get(_ context.Context, name string) ([]byte, error)    { return o[name], nil }
func (o objects) List(context.Context, string) ([]string, error)        { return nil, nil }

// TestLargeTreeGoesThroughTheObjectStore guards against the loss of a tree
// that is too large for the row, and against the adoption of a corrupted
// object.
func TestLargeTreeGoesThroughTheObjectStore(t *testing.T) {
	table, store := standin.NewTable(), objects{}
	tree := strings.Repeat("x", maxRowBytes+1)
	if _, err := NewStore(table, store, nil).Accept(t.Context(), []byte(tree), 0, "id"); err != nil {
		t.Fatal(err)
	}
	cfg := AdopterConfig[string]{Table: table, Objects: store, Parse: parse}
	if a := NewAdopter(cfg); a.Poll(t.Context()) != nil || a.Current().Value != tree {
		t.Error("the adopted tree differs from the accepted one")
	}
	for name := range store {
		store[name] = []byte("other")
	}
	if a := NewAdopter(cfg); a.Poll(t.Context()) == nil || a.Current() != nil {
		t.Error("a corrupted tree was adopted")
	}
}

// TestTrackerListsInstancesThatHaveNotAcknowledged guards against wrong
// pending instances and durations, for one rollout over three instances.
func TestTrackerListsInstancesThatHaveNotAcknowledged(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	tracker := NewTracker()
	for _, name := range []string{"a", "b", "c"} {
		tracker.Observe(at(0), name, 1)
	}
	tracker.Accepted(2, at(1))
	tracker.Observe(at(2), "a", 2)
	got, _ := tracker.Status(at(3), 2)
	if diff := cmp.Diff(Rollout{Version: 2, Pending: []string{"b", "c"}, Elapsed: 2 * time.Second}, got); diff != "" {
		t.Errorf("under way (-want +got):\n%s", diff)
	}
	tracker.Observe(at(4), "b", 3)
	tracker.Remove(at(5), "c")
	if diff := cmp.Diff([]Rollout{{Version: 2, Done: true, Elapsed: 4 * time.Second}}, tracker.Completed()); diff != "" {
		t.Errorf("done (-want +got):\n%s", diff)
	}
}
