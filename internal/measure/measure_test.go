package measure

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/egretpitch/egretpitch/internal/settings"
)

func TestFitFindsLineAndItsError(t *testing.T) {
	exact := fitLine([]float64{1, 2, 4}, []float64{5, 7, 11})
	want := Fit{Base: 3, Slope: 2, R2: 1}
	near := cmp.Comparer(func(a, b float64) bool { return math.Abs(a-b) < 1e-9 })
	if diff := cmp.Diff(want, exact, near); diff != "" {
		t.Error(diff)
	}
	// The residuals are -1, 2 and -1 with a sum of squares of 6. There is 1
	// degree of freedom, and the squared deviations of x sum to 2.
	noisy := fitLine([]float64{1, 2, 3}, []float64{0, 4, 2})
	if math.Abs(noisy.Slope-1) > 1e-9 || math.Abs(noisy.SlopeError-math.Sqrt(3)) > 1e-9 {
		t.Errorf("got %+v, want slope 1 and error sqrt(3)", noisy)
	}
}

// A fit needs three points, and a size whose tree is refused fails only after
// the series has started.
func TestEverySeriesHasThreeSizesAndValidTrees(t *testing.T) {
	for _, s := range AllSeries() {
		if len(s.sizes) < 3 {
			t.Errorf("%s has %d sizes", s.Name, len(s.sizes))
		}
		for _, size := range s.sizes {
			scenario := s.base
			s.set(&scenario, size)
			data, err := settings.Encode(scenario.Tree())
			if err != nil {
				t.Fatal(err)
			}
			if _, err := settings.ParseEffective(data); err != nil {
				t.Errorf("%s at %d: %v", s.Name, size, err)
			}
		}
	}
}

func TestInvalidScenariosAreRefused(t *testing.T) {
	for _, text := range []string{"role=entry pool=3", "role=entry", "role=idle", "role=other", "pools=0"} {
		if _, err := parseScenarios([]string{text}); err == nil {
			t.Errorf("%q: no error", text)
		}
	}
}
