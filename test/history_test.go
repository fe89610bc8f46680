package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/egretpitch/egretpitch/internal/standin"
)

// attempt is one request of a caller. Attempts with the same key are for the
// same order.
type attempt struct {
	key, id        string
	started, ended time.Time
	answer         answer
	// failed is true if the caller received no complete answer.
	failed bool
}

// orderInput is the input of an operation on one key: an execution on a worker,
// or else a caller's attempt.
type orderInput struct {
	execution bool
	key, id   string
}

// orderState is the model's state of the order of one key.
type orderState struct {
	// executed is the ID of the attempt that ran, empty if none did.
	executed string
	// refused holds the IDs of the attempts that were answered "not run", each in
	// angle brackets.
	refused string
}

// orderModel is the specification: an order runs at most once, an attempt that
// was answered "not run" never runs, and every other answer is complete and that
// of the execution of the same key.
var orderModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(orderInput).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return orderState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in := state.(orderState), input.(orderInput)
		if in.execution {
			legal := s.executed == "" && !strings.Contains(s.refused, "<"+in.id+">")
			s.executed = in.id
			return legal, s
		}
		return endOfAttempt(s, in, output.(attempt))
	},
	DescribeOperation: func(input, output any) string {
		in := input.(orderInput)
		if in.execution {
			return "execute " + in.id
		}
		a := output.(attempt)
		return fmt.Sprintf("%s: %s %s %v", in.id, a.answer.outcome, a.answer.reason, a.failed)
	},
}

// endOfAttempt steps the model by the end of a caller's attempt.
func endOfAttempt(s orderState, in orderInput, a attempt) (bool, any) {
	switch {
	case a.failed || a.answer.outcome == "unknown":
		return true, s
	case a.answer.outcome == "not-run":
		legal := s.executed != in.id
		s.refused += "<" + in.id + ">"
		return legal, s
	}
	return s.executed != "" && a.answer.body == orderAnswer(in.key, s.executed), s
}

// orderBody returns the request body of the order of a key.
func orderBody(key string) string { return "order " + key }

// orderPath returns the request path of the order of a key.
func orderPath(key string) string { return "/orders/" + key }

// orderAnswer returns the complete answer to the attempt id at the order of a
// key.
func orderAnswer(key, id string) string {
	return standin.Answer(http.MethodPost, orderPath(key), id, []byte(orderBody(key)))
}

// load sends orders from concurrent callers and records their attempts.
type load struct {
	f        *fleet
	callers  int
	orders   int
	timeout  time.Duration
	mu       sync.Mutex
	attempts []attempt
	// finished receives the number of finished attempts after each attempt.
	finished chan int
}

// run sends the orders of all callers, one at a time for each caller, and closes
// finished.
func (l *load) run(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	for c := range l.callers {
		random := rand.New(rand.NewPCG(seed, uint64(c)))
		wg.Go(func() {
			for o := range l.orders {
				l.order(ctx, random, fmt.Sprintf("c%d-o%d", c, o))
			}
		})
	}
	wg.Wait()
	close(l.finished)
}

// order sends one order to the entries in turn until it is answered as run, at
// most three times. One order in four is also sent to both entries at once.
func (l *load) order(ctx context.Context, random *rand.Rand, key string) {
	first := random.IntN(len(l.f.entryURLs))
	var duplicate sync.WaitGroup
	defer duplicate.Wait()
	if random.IntN(4) == 0 {
		duplicate.Go(func() { l.attempt(ctx, key, key+"-twin", l.f.entryURLs[1-first]) })
	}
	for try := range 3 {
		base := l.f.entryURLs[(first+try)%len(l.f.entryURLs)]
		a := l.attempt(ctx, key, fmt.Sprintf("%s-%d", key, try), base)
		if !a.failed && a.answer.outcome == "ran" {
			return
		}
	}
}

// attempt sends an order once and records the attempt.
func (l *load) attempt(ctx context.Context, key, id, base string) attempt {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	a := attempt{key: key, id: id, started: time.Now()}
	var err error
	a.answer, err = call(ctx, base, http.MethodPost, orderPath(key), id, key, orderBody(key))
	a.failed = err != nil
	a.ended = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
	l.finished <- len(l.attempts)
	return a
}

// history returns the callers' attempts and the workers' executions as the
// operations to check.
func (l *load) history() []porcupine.Operation {
	var ops []porcupine.Operation
	started := map[string]attempt{}
	for i, a := range l.attempts {
		started[a.id] = a
		ops = append(ops, porcupine.Operation{
			ClientId: i, Input: orderInput{key: a.key, id: a.id}, Output: a,
			Call: a.started.UnixNano(), Return: a.ended.UnixNano(),
		})
	}
	for i, e := range l.f.executions() {
		a, known := started[e.RequestID]
		if !known {
			continue
		}
		ops = append(ops, porcupine.Operation{
			ClientId: len(l.attempts) + i, Input: orderInput{execution: true, key: a.key, id: a.id},
			Output: attempt{}, Call: a.started.UnixNano(), Return: e.Start.UnixNano(),
		})
	}
	return ops
}

// minAnsweredShare is the smallest share of orders that must be answered for the
// test to be meaningful. It is not an availability target.
const minAnsweredShare = 0.1

// check fails the test if the history violates orderModel, or if fewer orders
// than minAnsweredShare were answered.
func (l *load) check(t *testing.T) {
	t.Helper()
	ran := map[string]bool{}
	counts := map[string]int{}
	for _, a := range l.attempts {
		name := a.answer.outcome + " " + a.answer.reason
		if a.failed {
			name = "no answer"
		}
		counts[name]++
		if !a.failed && a.answer.outcome == "ran" {
			ran[a.key] = true
		}
	}
	t.Logf("%d attempts: %v", len(l.attempts), counts)
	history := l.history()
	if !porcupine.CheckOperations(orderModel, history) {
		for _, part := range orderModel.Partition(history) {
			if porcupine.CheckOperations(orderModel, part) {
				continue
			}
			for _, op := range part {
				t.Errorf("%d..%d %s", op.Call, op.Return, orderModel.DescribeOperation(op.Input, op.Output))
			}
		}
	}
	if share := float64(len(ran)) / float64(l.callers*l.orders); share < minAnsweredShare {
		t.Errorf("a share of %.2f of the orders was answered, too few for a meaningful test", share)
	}
}
