package report

import (
	"bytes"
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "github.com/egretpitch/egretpitch/internal/testkit"
)

var testFrom = time.Unix(1_800_000_000, 0).UTC()

// drawInput draws samples, some of which are missing, duplicated, out of range
// or of an unknown pool.
func drawInput(t *rapid.T) Input {
	in := Input{
		Estate: "e", From: testFrom, To: testFrom.Add(10 * time.Minute), Step: time.Minute,
		Terms: []Terms{{Pool: "a", BufferWeight: 2, MoveWeight: 3, Availability: map[string]float64{"s": 0.99}}},
	}
	for range rapid.IntRange(0, 20).Draw(t, "samples") {
		in.Samples = append(in.Samples, PoolSample{
			Pool:     rapid.SampledFrom([]string{"a", "a", "a", "x"}).Draw(t, "pool"),
			At:       testFrom.Add(time.Duration(rapid.IntRange(-2, 12).Draw(t, "minute")) * time.Minute),
			Serving:  float64(rapid.IntRange(1, 9).Draw(t, "serving")),
			Busy:     float64(rapid.IntRange(0, 9).Draw(t, "busy")),
			Moves:    rapid.IntRange(0, 3).Draw(t, "moves"),
			Failures: rapid.IntRange(0, 1).Draw(t, "failures"),
			Services: []ServiceSample{{Service: "s", Answered: rapid.Int64Range(0, 100).Draw(t, "answered"), Refused: rapid.Int64Range(0, 2).Draw(t, "refused")}},
		})
	}
	return in
}

// TestSumsMatchTheSamplesAndMissingIntervalsAreShown compares the report with
// sums computed independently, and checks that text, JSON and HTML show every
// missing interval. A gap that is filled in or left out would make the costs
// look complete.
func TestSumsMatchTheSamplesAndMissingIntervalsAreShown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		r := Build(in)
		seen := map[time.Time]bool{}
		var spare float64
		var moves, ignored int
		var asked, answered int64
		for _, s := range in.Samples {
			if s.Pool != "a" || s.At.Before(in.From) || !s.At.Before(in.To) || seen[s.At] {
				ignored++
				continue
			}
			seen[s.At] = true
			spare += max(0, s.Serving-s.Busy) / 60
			moves += s.Moves
			asked += s.Services[0].Answered + s.Services[0].Refused
			answered += s.Services[0].Answered
		}
		p := r.Pools[0]
		if math.Abs(p.SpareHours-spare) > 1e-9 || math.Abs(p.BufferCost-2*spare) > 1e-9 || p.Moves != moves || r.Ignored != ignored {
			t.Fatalf("%+v, want %v host-hours, %d moves, %d ignored", p, spare, moves, ignored)
		}
		s := p.Services[0]
		if s.Asked != asked || s.Answered != answered || s.BudgetKnown != (asked > 0) || s.AnsweredBySpare > float64(answered) {
			t.Fatalf("%+v, want %d asked, %d answered", s, asked, answered)
		}
		missing := time.Duration(0)
		for _, g := range p.Missing {
			missing += g.To.Sub(g.From)
		}
		if want := time.Duration(10-len(seen)) * time.Minute; missing != want || p.Measured != len(seen) {
			t.Fatalf("%v missing, want %v", missing, want)
		}
		checkForms(t, r)
	})
}

// checkForms checks that each format shows what is missing, that JSON decodes
// to an equal report, and that the page refers to no external resource.
func checkForms(t *rapid.T, r Report) {
	var text, page, doc bytes.Buffer
	if err := WriteText(&text, r); err != nil {
		t.Fatal(err)
	}
	if err := WriteHTML(&page, r); err != nil {
		t.Fatal(err)
	}
	if err := WriteJSON(&doc, r); err != nil {
		t.Fatal(err)
	}
	var back Report
	if err := json.Unmarshal(doc.Bytes(), &back); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(r, back); diff != "" {
		t.Fatal(diff)
	}
	p := r.Pools[0]
	for _, g := range p.Missing {
		if !strings.Contains(text.String(), stamp(g.From)+" to "+stamp(g.To)) || !strings.Contains(page.String(), stamp(g.To)) {
			t.Fatalf("gap %v is not shown", g)
		}
	}
	legend := 1
	if got, want := strings.Count(page.String(), `class="missing"`)-legend, p.Intervals-p.Measured; got != want {
		t.Fatalf("%d missing bars, want %d", got, want)
	}
	for _, externalReference := range []string{"<script", "http://", "https://", "url(", "src="} {
		if strings.Contains(page.String(), externalReference) {
			t.Fatalf("the page contains %q", externalReference)
		}
	}
}

// TestSpareHostsAreCreditedWithRequestsBeyondMeanDemand has one interval in
// four with four times the load of the others. The requests beyond what the
// hosts of the mean demand answer count as answered by spare hosts. A failure
// counts as absorbed in each interval without refused requests, the surge
// included.
func TestSpareHostsAreCreditedWithRequestsBeyondMeanDemand(t *testing.T) {
	in := Input{From: testFrom, To: testFrom.Add(4 * time.Minute), Step: time.Minute, Terms: []Terms{{Pool: "a"}},
		Rollouts: []Rollout{{Version: 1, Accepted: testFrom, Complete: testFrom.Add(2 * time.Second)}, {Version: 2, Accepted: testFrom}}}
	for i, busy := range []float64{2, 2, 8, 2} {
		in.Samples = append(in.Samples, PoolSample{
			Pool: "a", At: testFrom.Add(time.Duration(i) * time.Minute), Serving: 10, Busy: busy, Failures: 1,
			Services: []ServiceSample{{Service: "s", Answered: int64(100 * busy), Refused: int64(i / 3)}},
		})
	}
	r := Build(in)
	p := r.Pools[0]
	if p.Services[0].AnsweredBySpare != 400 || p.Absorbed != 3 || p.Failures != 4 {
		t.Errorf("answered by spare %v, absorbed %d of %d, want 400 and 3 of 4", p.Services[0].AnsweredBySpare, p.Absorbed, p.Failures)
	}
	if r.Rollouts[0].Took() != "2.0 s" || r.Rollouts[1].Took() != "not complete" {
		t.Errorf("roll-outs %+v", r.Rollouts)
	}
}
