package admission

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	_ "github.com/egretpitch/egretpitch/internal/testkit"
)

// fullPool returns a pool of 100 cores with waiting work of rank 400, whose jobs can
// meet their objective for 9 s and are of use for 40 s.
func fullPool(work int64) *State {
	return &State{Entries: 42, Pools: []Pool{{Name: "p", Cores: 100, Teams: []Team{{Ahead: []Work{{400, 90, 400, work}}}}}}}
}

// testJob is a job whose last timely start is after 5 s and its last useful one after 25 s.
func testJob() Job {
	return Job{Pool: "p", Rank: 500, Work: 10, CriticalPath: 5 * time.Second, Objective: 10 * time.Second}
}

func TestOnlyHopelessJobsAreRefused(t *testing.T) {
	with := func(change func(*Job)) Job {
		j := testJob()
		change(&j)
		return j
	}
	changed := func(change func(*Pool)) *State {
		s := fullPool(4000)
		change(&s.Pools[0])
		return s
	}
	for _, c := range []struct {
		name  string
		state *State
		age   time.Duration
		job   Job
		want  bool
	}{
		{"work for 40 s", fullPool(4000), time.Second, testJob(), true},
		{"work for 25 s", fullPool(2500), 0, testJob(), false},
		{"old state", fullPool(4000), MaxAge + 1, testJob(), false},
		{"other pool", &State{}, 0, testJob(), false},
		{"equal rank", fullPool(4000), 0, with(func(j *Job) { j.Rank = 400 }), false},
		{"work of other teams", fullPool(4000), 0, with(func(j *Job) { j.Team = "other" }), false},
		{"no objective", fullPool(4000), 0, with(func(j *Job) { j.Objective = 0 }), false},
		{"small quota", fullPool(2500), 0, with(func(j *Job) { j.Quota = 50 }), true},
		{"work becomes useless first", changed(func(p *Pool) { p.Teams[0].Ahead[0].Useful = 249 }), 0, testJob(), false},
		{"work becomes late first", changed(func(p *Pool) { p.Teams[0].Ahead[0].Timely = 49 }), 0, testJob(), false},
		{"capacity comes back", changed(func(p *Pool) { p.Due = 100 }), 0, testJob(), false},
		{"tasks take less time than estimated", changed(func(p *Pool) { p.Rate = 200 }), 0, testJob(), false},
	} {
		d := NewGate().Decide(View{c.state, 1, 10 * time.Second}, c.job, 10*time.Second+c.age)
		if d.Refused != c.want {
			t.Errorf("%s: %+v, want refused %v", c.name, d, c.want)
		}
	}
}

// TestEntriesTogetherKeepToTheCapacity has 42 entries decide by one state while work
// ahead comes in. It guards against entries that refuse too late, since they know
// only their own admissions, too early, or in turns.
func TestEntriesTogetherKeepToTheCapacity(t *testing.T) {
	const free = 42 * 3 * 4
	ahead := testJob()
	ahead.Rank, ahead.Work, ahead.Objective = 400, 4, 20*time.Second
	gates := make([]*Gate, 42)
	for i := range gates {
		gates[i] = NewGate()
	}
	last := 0
	for n := 1; n <= 6; n++ {
		refused := 0
		for _, g := range gates {
			if d := g.Decide(View{fullPool(2500 - free), 1, 0}, ahead, 0); d.Refused {
				t.Fatalf("the work ahead is refused: %+v", d)
			}
			if g.Decide(View{fullPool(2500 - free), 1, 0}, testJob(), 0).Refused {
				refused++
			}
		}
		if admitted := 42 * 4 * n; admitted <= free && refused > 0 || admitted > free && refused < 42 || refused < last {
			t.Errorf("%d core-seconds are admitted and %d were free: %d of 42 entries refuse, %d before", admitted, free, refused, last)
		}
		last = refused
	}
}

// TestRefusedCallersReturnInOrder guards against callers that return all at once, or before those refused earlier.
func TestRefusedCallersReturnInOrder(t *testing.T) {
	g := NewGate()
	var after []time.Duration
	for i := range 4 {
		d := g.Decide(View{fullPool(2600), 1, 0}, testJob(), time.Duration(i)*time.Millisecond)
		if !d.Refused || i > 0 && d.RetryAfter <= after[i-1] {
			t.Fatalf("caller %d: %+v, want refused for more than %v", i, d, after)
		}
		after = append(after, d.RetryAfter)
	}
	// The work of 42 entries with one such job each takes 4.2 s.
	if took := after[3] - after[0]; took < 12*time.Second || took > 13*time.Second {
		t.Errorf("the callers return after %v, want them spread over 12.6 s", after)
	}
	retry, first := g.Decide(View{fullPool(2500), 2, 0}, testJob(), 0), NewGate().Decide(View{fullPool(2500), 2, 0}, testJob(), 0)
	if retry.Refused != first.Refused {
		t.Errorf("a retry is refused %v, a first attempt %v", retry.Refused, first.Refused)
	}
}

func TestStateIsBounded(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, teams := range []int{20, 1000} {
		s := &State{Entries: 42}
		for q := range 8 {
			var b Builder
			for team := range teams {
				for range 30 {
					useful := time.Duration(random.Int64N(int64(time.Minute)))
					b.Add(fmt.Sprintf("team-%011d", team), 400+random.Int64N(200), useful/4, useful, 1000+1e5*random.Float64())
				}
			}
			name := fmt.Sprintf("queue-%010d", q)
			s.Pools = append(s.Pools, Pool{Name: name, Cores: 1234.5, Due: 10, Rate: 1234.5678, MeanWork: map[string]float64{name: 63.456789}, Teams: b.Teams()})
		}
		s.Bound()
		data, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		var decoded State
		if err := json.Unmarshal(data, &decoded); err != nil {
			t.Fatal(err)
		}
		t.Logf("8 queues, %d teams: %d bytes", teams, len(data))
		if len(data) > 9<<10 {
			t.Errorf("8 queues and %d teams take %d bytes, want at most 9 KB", teams, len(data))
		}
	}
}
