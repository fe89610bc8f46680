package node

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/ctxtime"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// testFeed returns a feed at version 1 whose calls answer gives the delay of, by
// number from 1. An answer carries the version 1 plus the number of its call.
func testFeed(delay func(call int64) time.Duration) (f *feed, calls *atomic.Int64) {
	calls = new(atomic.Int64)
	return &feed{
		name: "test", log: zap.NewNop(), version: 1, wait: 100 * time.Millisecond,
		readChanges: func(ctx context.Context, _ int64) (handleAnswer, error) {
			call := calls.Add(1)
			if err := ctxtime.Sleep(ctx, delay(call)); err != nil {
				return nil, err
			}
			return func() (int64, error) { return 1 + call, nil }, nil
		},
	}, calls
}

// The service accepts the connection of the first call and never answers.
func TestSilentCallOfAFeedIsFollowedByAnother(t *testing.T) {
	f, _ := testFeed(func(call int64) time.Duration {
		if call == 1 {
			return time.Hour
		}
		return 0
	})
	begin := time.Now()
	var outcomes []error
	err := f.step(t.Context(), func(err error) { outcomes = append(outcomes, err) })
	if took := time.Since(begin); err != nil || f.version != 3 || took > 2*time.Second {
		t.Errorf("version %d, error %v after %v; want the answer to the second call in under 2 s", f.version, err, took)
	}
	if len(outcomes) != 2 || !errors.Is(outcomes[0], errFeedOverdue) || outcomes[1] != nil {
		t.Errorf("outcomes %v, want overdue and none", outcomes)
	}
}

// This process is late to read all answers.
func TestLateAnswerOfAFeedCounts(t *testing.T) {
	const late = 2 * time.Second
	f, calls := testFeed(func(int64) time.Duration { return late })
	begin := time.Now()
	err := f.step(t.Context(), func(error) {})
	if took := time.Since(begin); err != nil || f.version != 2 || took > late+300*time.Millisecond {
		t.Errorf("version %d, error %v after %v; want the answer to the first call", f.version, err, took)
	}
	if n := calls.Load(); n > maxFeedCalls {
		t.Errorf("%d calls, want %d at most", n, maxFeedCalls)
	}
}

// No call is answered, and then the service refuses calls.
func TestFeedWithoutAnswersEndsItsCalls(t *testing.T) {
	f, calls := testFeed(func(int64) time.Duration { return time.Hour })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := f.step(ctx, func(error) {}); err == nil || f.version != 1 {
		t.Errorf("version %d, error %v; want an error", f.version, err)
	}
	if n := calls.Load(); n != maxFeedCalls {
		t.Errorf("%d concurrent calls, want %d", n, maxFeedCalls)
	}
}

// The first connection is silent, and the store has discarded its history.
func TestMissingHistoryOfAFeedIsNoticedBesideASilentCall(t *testing.T) {
	calls := make(chan struct{}, 16)
	f := &feed{
		name: "test", log: zap.NewNop(), version: 1, wait: feedLongPollWait,
		readChanges: func(ctx context.Context, _ int64) (handleAnswer, error) {
			calls <- struct{}{}
			if len(calls) == 1 {
				if err := ctxtime.Sleep(ctx, time.Hour); err != nil {
					return nil, err
				}
			}
			return nil, platform.ErrHistoryGone
		},
	}
	begin := time.Now()
	err := f.step(t.Context(), func(error) {})
	if took := time.Since(begin); !errors.Is(err, platform.ErrHistoryGone) || took > 2*time.Second {
		t.Errorf("%v after %v, want that the history is gone in under 2 s", err, took)
	}
}

// The first connection is silent. The service refuses one call and then answers.
func TestRefusedCallOfAFeedIsRepeatedBesideASilentCall(t *testing.T) {
	f, _ := testFeed(func(call int64) time.Duration {
		if call == 1 {
			return time.Hour
		}
		return 0
	})
	f.wait = feedLongPollWait
	answered := f.readChanges
	var sent atomic.Int64
	f.readChanges = func(ctx context.Context, version int64) (handleAnswer, error) {
		if sent.Add(1) == 2 {
			return nil, platform.ErrUnavailable
		}
		return answered(ctx, version)
	}
	begin := time.Now()
	for f.version == 1 && t.Context().Err() == nil {
		_ = f.step(t.Context(), func(error) {})
	}
	if took := time.Since(begin); took > 2*time.Second {
		t.Errorf("answer read after %v, want under 2 s", took)
	}
}
