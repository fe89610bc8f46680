package limit

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretpitch/egretpitch/internal/outcome"
)

func TestGateSettlesEveryConcurrentRequestOnceAndInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, callers = 5, 400
		g := NewGate(time.Now)
		g.SetLimit(limit)
		var (
			mu                         sync.Mutex
			running, admitted, refused int
			wg                         sync.WaitGroup
		)
		add := func(counter *int, n int) {
			mu.Lock()
			defer mu.Unlock()
			*counter += n
			if running > limit {
				t.Errorf("%d running with a limit of %d", running, limit)
			}
		}
		for i := range callers {
			rng := rand.New(rand.NewPCG(uint64(i), 1))
			wg.Go(func() {
				time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
				timeout := time.Duration(1+rng.IntN(400)) * time.Millisecond
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rng.IntN(800))*time.Millisecond)
				defer cancel()
				deadline := time.Now().Add(timeout)
				release, refusal := g.Acquire(ctx, rng.IntN(3), deadline)
				if !time.Now().Before(deadline) {
					t.Error("Acquire returned after the deadline")
				}
				if refusal != nil {
					add(&refused, 1)
					if refusal.Outcome != outcome.NotRun || refusal.Status != http.StatusServiceUnavailable {
						t.Errorf("refused as %v with status %d", refusal.Outcome, refusal.Status)
					}
					return
				}
				add(&admitted, 1)
				add(&running, 1)
				time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
				add(&running, -1)
				release()
				release()
			})
		}
		wg.Wait()
		s := g.Stats()
		if admitted+refused != callers || s.Running != 0 || s.Queued != 0 {
			t.Errorf("%d admitted and %d refused of %d; left over: %+v", admitted, refused, callers, s)
		}
		if counted := s.Deadline + s.Displaced + s.Full + s.Cancelled; int(s.Admitted) != admitted || int(counted) != refused {
			t.Errorf("counted %+v; callers saw %d admitted, %d refused", s, admitted, refused)
		}
		if s.Deadline == 0 || s.Cancelled == 0 || s.Displaced == 0 {
			t.Errorf("the load did not cause every kind of refusal: %+v", s)
		}
	})
}
