package retry

import (
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretpitch/egretpitch/internal/outcome"
	_ "github.com/egretpitch/egretpitch/internal/testkit"
)

// drawState draws any state. In half of the states only the outcome can
// prevent a retry: time, tries and hosts are left.
func drawState(t *rapid.T) State {
	s := State{
		Outcome:    rapid.SampledFrom([]outcome.Outcome{outcome.Unknown, outcome.NotRun, outcome.Ran}).Draw(t, "outcome"),
		MayRepeat:  rapid.Bool().Draw(t, "mayRepeat"),
		Remaining:  time.Duration(rapid.Int64Range(-10, 100).Draw(t, "remaining")),
		MinTryTime: time.Duration(rapid.Int64Range(0, 50).Draw(t, "least")),
		Tries:      rapid.IntRange(1, 5).Draw(t, "tries"),
		MaxTries:   rapid.IntRange(1, 5).Draw(t, "maxTries"),
		Untried:    rapid.IntRange(0, 3).Draw(t, "untried"),
	}
	if rapid.Bool().Draw(t, "ample") {
		s.Remaining, s.MinTryTime, s.Tries, s.MaxTries, s.Untried = 100, 0, 1, 2, 1
	}
	return s
}

func TestRequestThatMayHaveRunIsNotSentAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawState(t)
		d := Decide(s)
		if d.Again && !s.MayRepeat && s.Outcome != outcome.NotRun {
			t.Errorf("%+v may have run and is retried", s)
		}
		if d.Again && (s.Outcome == outcome.Ran || s.Remaining <= 0 || s.Untried == 0 || s.Tries >= s.MaxTries) {
			t.Errorf("%+v is retried although it ran, or without time, tries or hosts left", s)
		}
		s.Outcome, s.MinTryTime, s.Remaining, s.Untried, s.Tries, s.MaxTries = outcome.NotRun, 1, 2, 1, 1, 2
		if d := Decide(s); !d.Again {
			t.Errorf("%+v did not run and is not retried: %v", s, d.Reason)
		}
	})
}

func TestRequestIsNotRunOnlyIfNoTryRan(t *testing.T) {
	all := []outcome.Outcome{outcome.Unknown, outcome.NotRun, outcome.Ran}
	for _, earlier := range all {
		for _, last := range all {
			got := Overall(earlier, last)
			if notRun := earlier == outcome.NotRun && last == outcome.NotRun; (got == outcome.NotRun) != notRun {
				t.Errorf("%v, then %v, is %v", earlier, last, got)
			}
		}
	}
}

func TestRetriesStayWithinTheBudgetOfAFailingPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		burst := rapid.IntRange(0, 10).Draw(t, "burst")
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		b := NewBudget(burst)
		requests, retries := 0, 0
		for _, takes := range rapid.SliceOf(rapid.IntRange(0, 4)).Draw(t, "takes") {
			requests++
			b.Deposit(share)
			for range takes {
				left := b.Available()
				if b.Withdraw() {
					retries++
				} else if left {
					t.Error("Withdraw failed although a token was available")
				}
			}
		}
		const rounding = 1e-6
		if float64(retries) > share*float64(requests)+float64(burst)+rounding {
			t.Errorf("%d requests at share %v with burst %d were retried %d times", requests, share, burst, retries)
		}
	})
}

func TestBudgetAllowsRetriesUpToTheShare(t *testing.T) {
	b := NewBudget(DefaultBurst)
	taken := 0
	for range 1000 {
		b.Deposit(0.25)
		if b.Withdraw() {
			taken++
		}
	}
	if taken < 250 {
		t.Errorf("%d of 1000 requests were retried, want 250", taken)
	}
}

func FuzzParseDeadline(f *testing.F) {
	for _, seed := range []string{"", "0", "250", "-1", "+5", "1e3", "86400001", "99999999999999999999", " 7"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		d, err := ParseDeadline(value)
		if err != nil {
			return
		}
		if d < 0 || d > maxDeadline {
			t.Fatalf("%q gave %v", value, d)
		}
		h := http.Header{}
		SetDeadline(h, d)
		if again, err := ParseDeadline(h.Get(DeadlineHeader)); err != nil || again != d {
			t.Errorf("%q gave %v; after SetDeadline it is %v, error %v", value, d, again, err)
		}
	})
}
