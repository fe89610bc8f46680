package admission

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// State is what the owner publishes of the pools that are full. All others are left
// out: they refuse nothing.
type State struct {
	// Entries is the number of processes that accept jobs, 0 if unknown.
	Entries int `json:"entries,omitempty"`
	// Pools holds the full pools.
	Pools []Pool `json:"pools,omitempty"`
}

// Pool is the load of a full pool. Capacity is in cores, work in core-seconds.
type Pool struct {
	Name string `json:"pool"`
	// Cores is the capacity that tasks may use now, Due that of the pool's other
	// hosts, which may be back soon.
	Cores float64 `json:"cores"`
	Due   float64 `json:"due,omitempty"`
	// Rate is the estimated work of the tasks that ended each second lately. It is
	// above Cores if tasks take less time than estimated.
	Rate float64 `json:"rate,omitempty"`
	// MeanWork is the mean work of a job, by queue.
	MeanWork map[string]float64 `json:"mean,omitempty"`
	// Teams holds the waiting work by team.
	Teams []Team `json:"teams,omitempty"`
}

// Team is the work of a team's jobs that waits in a pool and can still be of use.
type Team struct {
	// Name is empty for jobs without a team.
	Name string `json:"team,omitempty"`
	// Ahead is the work by rank and slack.
	Ahead []Work `json:"ahead"`
}

// Work is the waiting work of jobs with about the same rank and slack, in whole
// core-seconds.
type Work struct {
	Rank int64
	// Timely is the time until the last start with which the jobs meet their objective,
	// negative for late ones, and Useful until that with which they are of use. Both
	// are in tenths of a second and rounded down.
	Timely, Useful int64
	Work           int64
}

// MarshalJSON encodes w as a list of its fields.
func (w Work) MarshalJSON() ([]byte, error) {
	return json.Marshal([4]int64{w.Rank, w.Timely, w.Useful, w.Work})
}

// UnmarshalJSON decodes what MarshalJSON has encoded.
func (w *Work) UnmarshalJSON(data []byte) error {
	var list [4]int64
	err := json.Unmarshal(data, &list)
	*w = Work{list[0], list[1], list[2], list[3]}
	return errors.Wrap(err, "decode work")
}

// Capacity returns the most work that the pool does a second, in core-seconds.
func (p *Pool) Capacity() float64 { return max(p.Cores+p.Due, p.Rate) }

const (
	// ranksPerOctave is the number of ranks between two values of which one is twice
	// the other.
	ranksPerOctave = 8
	// ranksPerPriority bounds the ranks of a priority.
	ranksPerPriority = 1 << 10
)

// Rank returns the rank of a job among those of its class of timeliness, by the
// priority of its queue and its value, the weight of the job per core-second of its
// remaining work. Lower ranks are served first.
func Rank(priority int, value float64) int64 {
	r := ranksPerPriority/2 - ranksPerOctave*math.Log2(value)
	return int64(priority)*ranksPerPriority + int64(min(max(r, 0), ranksPerPriority-1))
}

// maxWorks bounds the elements of Ahead over all teams. With names of 16 bytes a
// State has at most 9 KB.
const maxWorks = 128

// Bound drops the smallest amounts of work until the size of s is bounded, and pools
// and teams without any. Fewer jobs are refused then.
func (s *State) Bound() {
	var sizes []int64
	for _, p := range s.Pools {
		for _, t := range p.Teams {
			for _, w := range t.Ahead {
				sizes = append(sizes, w.Work)
			}
		}
	}
	least := int64(1)
	if len(sizes) > maxWorks {
		slices.Sort(sizes)
		least = sizes[len(sizes)-maxWorks] + 1
	}
	for i := range s.Pools {
		p := &s.Pools[i]
		for j := range p.Teams {
			p.Teams[j].Ahead = slices.DeleteFunc(p.Teams[j].Ahead, func(w Work) bool { return w.Work < least })
		}
		p.Teams = slices.DeleteFunc(p.Teams, func(t Team) bool { return len(t.Ahead) == 0 })
	}
	s.Pools = slices.DeleteFunc(s.Pools, func(p Pool) bool { return len(p.Teams) == 0 })
}

// ahead returns the work that is served before a job whose last starts are after
// timely and useful: until timely, and until useful. age is the age of p.
func (p *Pool) ahead(j *Job, timely, useful, age time.Duration) (untilTimely, untilUseful float64) {
	for i := range p.Teams {
		if p.Teams[i].Name != j.Team {
			continue
		}
		for _, w := range p.Teams[i].Ahead {
			if w.Rank >= j.Rank {
				continue
			}
			if time.Duration(w.Timely)*tenth-age >= timely {
				untilTimely += float64(w.Work)
			}
			if time.Duration(w.Useful)*tenth-age >= useful {
				untilUseful += float64(w.Work)
			}
		}
	}
	return untilTimely, untilUseful
}

const tenth = 100 * time.Millisecond

// Builder collects the waiting work of a pool. The zero value is empty.
type Builder struct{ teams map[string]map[Work]int64 }

// Add adds the waiting work of a job in core-seconds, with the times until its last
// timely and its last useful start.
func (b *Builder) Add(team string, rank int64, timely, useful time.Duration, work float64) {
	if b.teams == nil {
		b.teams = map[string]map[Work]int64{}
	}
	if b.teams[team] == nil {
		b.teams[team] = map[Work]int64{}
	}
	b.teams[team][Work{Rank: rank, Timely: roundSlack(timely), Useful: roundSlack(useful)}] += int64(work)
}

// roundSlack rounds down to whole seconds below 16 s, and by less than an eighth above.
func roundSlack(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	step := int64(10)
	for n := int64(d / tenth); n >= 16*step; {
		step *= 2
	}
	return int64(d/tenth) / step * step
}

// Teams returns the collected work by team, with the largest amounts first.
func (b *Builder) Teams() []Team {
	teams := make([]Team, 0, len(b.teams))
	for name, works := range b.teams {
		t := Team{Name: name}
		for w, work := range works {
			w.Work = work
			t.Ahead = append(t.Ahead, w)
		}
		slices.SortFunc(t.Ahead, func(a, b Work) int {
			return cmp.Or(-cmp.Compare(a.Work, b.Work), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Useful, b.Useful), cmp.Compare(a.Timely, b.Timely))
		})
		teams = append(teams, t)
	}
	slices.SortFunc(teams, func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })
	return teams
}

// MaxAge is how old a state is at most by which an entry refuses.
const MaxAge = 2 * time.Second
