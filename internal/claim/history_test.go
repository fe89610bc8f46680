package claim

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/egretpitch/egretpitch/internal/contract"
	"github.com/egretpitch/egretpitch/internal/outcome"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/standin"
	_ "github.com/egretpitch/egretpitch/internal/testkit"
)

// delayedTable applies some commits long after they returned an unknown outcome.
type delayedTable struct {
	*standin.Table
	mu sync.Mutex
	// late holds the delay of each commit in turn, 0 for none.
	late []time.Duration
}

func (t *delayedTable) Commit(ctx context.Context, txn platform.Txn) (int64, error) {
	t.mu.Lock()
	var late time.Duration
	if len(t.late) > 0 {
		late, t.late = t.late[0], t.late[1:]
	}
	t.mu.Unlock()
	if late == 0 {
		return t.Table.Commit(ctx, txn)
	}
	go func() {
		time.Sleep(late)
		t.Table.Commit(context.WithoutCancel(ctx), txn)
	}()
	return 0, platform.ErrUnknown
}

// action is how a caller in a test ends a claim that it may forward.
type action string

const (
	ran     action = "ran"
	lost    action = "lost"
	notSent action = "not sent"
)

// call is one call of a script.
type call struct {
	Entry, Key int
	Action     action
	// Pause is the time before the call, Work that between its claim and its
	// end.
	Pause, Work time.Duration
}

// script is a drawn history to be run.
type script struct {
	Callers [][]call
	Faults  []standin.Faults
	Late    []time.Duration
}

// drawScript draws callers of few keys at two entries, and faults of the table.
func drawScript(t *rapid.T) script {
	ms := func(most int) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.IntRange(0, most), func(n int) time.Duration { return time.Duration(n) * time.Millisecond })
	}
	calls := rapid.Custom(func(t *rapid.T) call {
		return call{
			Entry: rapid.IntRange(0, 1).Draw(t, "entry"), Key: rapid.IntRange(0, 2).Draw(t, "key"),
			Action: rapid.SampledFrom([]action{ran, lost, notSent}).Draw(t, "action"),
			Pause:  ms(300).Draw(t, "pause"), Work: ms(300).Draw(t, "work"),
		}
	})
	faults := rapid.Custom(func(t *rapid.T) standin.Faults {
		return standin.Faults{
			Down: rapid.IntRange(0, 4).Draw(t, "down") == 4, Latency: ms(700).Draw(t, "latency"),
			LoseAnswers: rapid.IntRange(0, 2).Draw(t, "lose"), DropCommits: rapid.IntRange(0, 2).Draw(t, "drop"),
		}
	})
	return script{
		Callers: rapid.SliceOfN(rapid.SliceOfN(calls, 1, 5), 2, 6).Draw(t, "callers"),
		Faults:  rapid.SliceOfN(faults, 0, 6).Draw(t, "faults"),
		Late:    rapid.SliceOfN(rapid.SampledFrom([]time.Duration{0, 0, 0, 50 * time.Millisecond, time.Second}), 0, 12).Draw(t, "late"),
	}
}

// operation is the input of one operation in the history.
type operation struct {
	Key    int
	Action action // empty for a claim
	Body   string
}

// history records operations with the times of a logical clock.
type history struct {
	clock atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (h *history) add(client int, in operation, called int64, c *Claim, returned int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: called, Output: c, Return: returned})
}

// run makes a caller's calls.
func (h *history) run(client int, calls []call, managers []*Manager) {
	for i, c := range calls {
		time.Sleep(c.Pause)
		m, called := managers[c.Entry], h.clock.Add(1)
		got := m.Claim(context.Background(), request(fmt.Sprint(c.Key), "order", contract.OutageRefuse))
		h.add(client, operation{Key: c.Key}, called, got, h.clock.Add(1))
		if got.Verdict != Forward {
			continue
		}
		time.Sleep(c.Work)
		body := fmt.Sprintf("answer %d of %d", i, client)
		// The row changes at any time after this, or never.
		const never = int64(1) << 60
		h.add(1000+client*100+i, operation{Key: c.Key, Action: c.Action, Body: body}, h.clock.Add(1), nil, never)
		switch c.Action {
		case ran:
			m.Done(got, &Stored{Status: http.StatusOK, Body: []byte(body)})
		case lost:
			m.Lost(got)
		case notSent:
			m.Release(got)
		}
	}
}

// request returns a request to the service of the tests.
func request(key, body string, outage contract.OutagePolicy) Request {
	return Request{Service: "orders", Key: Key(key), Digest: NewDigest("POST", "/orders", []byte(body)), Outage: outage}
}

// keyState is the state of one key in the model: free, held, or ended by an
// action.
type keyState struct {
	held bool
	end  action
	body string
}

// model is the specification of one key: it is forwarded once, unless the request
// was not sent, and only the answer of that one run is ever replayed.
var model = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[int][]porcupine.Operation{}
		for _, op := range ops {
			key := op.Input.(operation).Key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return keyState{} },
	Step: func(s, in, out any) (bool, any) {
		state, i := s.(keyState), in.(operation)
		switch i.Action {
		case ran, lost:
			return state.held, keyState{end: i.Action, body: i.Body}
		case notSent:
			return state.held, keyState{}
		}
		c := out.(*Claim)
		switch {
		case c.Verdict == Forward:
			return !state.held && state.end == "", keyState{held: true}
		case c.Verdict == Replay:
			return state.end == ran && string(c.Stored.Body) == state.body, state
		case c.Refusal.Reason == "key-lost":
			return state.end == lost, state
		}
		// "In progress" is allowed in every state. So is "not run", since that
		// request was not forwarded.
		return c.Refusal.Outcome != outcome.Ran, state
	},
	DescribeOperation: func(in, out any) string {
		c, _ := out.(*Claim)
		return fmt.Sprintf("%+v -> %+v", in, c)
	},
}

// runScript runs the script in virtual time and returns its history.
func runScript(t *testing.T, s script) []porcupine.Operation {
	h := &history{}
	synctest.Test(t, func(t *testing.T) {
		table := &delayedTable{Table: standin.NewTable(), late: s.Late}
		ctx, cancel := context.WithCancel(context.Background())
		managers := make([]*Manager, 2)
		var runs, callers sync.WaitGroup
		for i := range managers {
			managers[i] = New(Options{Entry: "entry", Table: table})
			runs.Go(func() { managers[i].Run(ctx) })
		}
		for i, calls := range s.Callers {
			callers.Go(func() { h.run(i, calls, managers) })
		}
		for _, f := range s.Faults {
			table.SetFaults(f)
			time.Sleep(250 * time.Millisecond)
		}
		table.SetFaults(standin.Faults{})
		callers.Wait()
		cancel()
		runs.Wait()
		time.Sleep(2 * time.Second) // longer than the delay of any late commit
	})
	return h.ops
}

func TestKeyRunsAtMostOnceOverEntriesAndTableFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ops := runScript(t, drawScript(rt))
		result, info := porcupine.CheckOperationsVerbose(model, ops, time.Minute)
		if result != porcupine.Ok {
			rt.Fatalf("history is %v: %+v", result, info.PartialLinearizations())
		}
	})
}
