package samples

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/egretpitch/egretpitch/internal/report"
	"github.com/egretpitch/egretpitch/internal/standin"
)

// TestSamplesCoverWholeIntervalsOnly starts to read a pool in the middle of an
// interval and pauses during another. The store must hold exactly the intervals
// that were read without a gap: a partial one would distort the report.
func TestSamplesCoverWholeIntervalsOnly(t *testing.T) {
	start := time.Date(2026, 12, 4, 10, 59, 35, 0, time.UTC)
	store := NewStore(standin.NewObjects())
	recorder := NewRecorder("kano-ordering")
	for second := range 60 {
		if second >= 42 && second < 52 {
			continue // 11:00:17 to 11:00:26: the process was paused
		}
		now := start.Add(time.Duration(second) * time.Second)
		reading := Reading{Serving: 9, Busy: 3, Services: map[string]Totals{"orders": {Answered: int64(second)}}}
		if done := recorder.Observe(now, reading); done != nil {
			if err := store.PutPool(t.Context(), done[0].At, "kano-ordering", 1, done); err != nil {
				t.Fatal(err)
			}
		}
	}
	got, err := store.Read(t.Context(), start, start.Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	var want []report.PoolSample
	for _, offset := range []time.Duration{5, 15, 25} {
		want = append(want, report.PoolSample{
			Pool: "kano-ordering", At: start.Add(offset * time.Second), Serving: 9, Busy: 3,
			Services: []report.ServiceSample{{Service: "orders", Answered: 10}},
		})
	}
	if diff := cmp.Diff(want, got.Pools); diff != "" {
		t.Errorf("samples differ (-want +got):\n%s", diff)
	}
}
