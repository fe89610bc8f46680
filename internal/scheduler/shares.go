package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretpitch/egretpitch/internal/fairshare"
	"github.com/egretpitch/egretpitch/internal/placement"
)

// submission is a job of a team whose place in the team's entitlement is not known
// yet. job is nil if it has ended.
type submission struct {
	team     *team
	id       string
	accepted time.Duration
	job      *job
}

// submitted records a job of a team and what it shares in its pool, for j unless it
// has ended.
func (e *Engine) submitted(t *team, id string, accepted time.Duration, j *job) {
	if t == nil {
		return
	}
	if j != nil {
		j.share = e.pool(j.Pool).shares.Member(t.name)
	}
	e.submissions = append(e.submissions, submission{team: t, id: id, accepted: accepted, job: j})
}

// classifySubmissions sets which of the jobs added since the last call are beyond
// the weight of their team. A successor adds all jobs at once, in any order.
func (e *Engine) classifySubmissions() {
	if len(e.submissions) == 0 || e.catalog == nil {
		return
	}
	slices.SortFunc(e.submissions, func(a, b submission) int { return cmp.Or(cmp.Compare(a.accepted, b.accepted), cmp.Compare(a.id, b.id)) })
	for _, s := range e.submissions {
		within := s.team.entitlement.Take(e.weightOf(s.team), s.accepted)
		if s.job != nil {
			s.job.excess = !within
		}
		if !within {
			s.team.beyond++
		}
	}
	e.submissions = nil
}

// weightOf returns the weight of a team, 0 if the configuration does not have it.
func (e *Engine) weightOf(t *team) float64 {
	if e.catalog == nil || e.catalog.Teams[t.name] == nil {
		return 0
	}
	return e.catalog.Teams[t.name].Weight
}

// order gives the candidates of a pass in the order in which they are to be placed.
type order struct {
	// list holds the candidates by rank and next the index of the next one, if teams
	// do not share the pool. Otherwise teams holds the lines of the teams and without
	// that of the candidates without a team.
	list    []candidate
	next    int
	teams   lineHeap
	without *line
	// last is the line of the latest candidate, which had idle tasks to start.
	last *line
	idle int
}

// inOrder returns the order of the candidates of a pass. Without teams, and as long
// as there is capacity for all, that is the order of their ranks. Otherwise the
// teams share the pool.
func (e *Engine) inOrder(p *pool, list []candidate, open []*worker, now time.Duration) order {
	if len(e.catalog.Teams) > 0 {
		p.shares.Advance(now)
		if len(list) > 0 && p.isFull(list, open) {
			p.shares.SetCapacity(p.capacity())
			return e.byShares(list)
		}
	}
	slices.SortFunc(list, candidate.compare)
	return order{list: list}
}

// capacity returns the capacity of the listed workers of the pool.
func (p *pool) capacity() placement.Resources {
	var sum placement.Resources
	for _, w := range p.workers {
		if w.listed {
			sum = sum.Add(w.Capacity)
		}
	}
	return sum
}

// isFull reports whether tasks wait because of capacity: a step was left out of the
// candidates, or these request more than is free.
func (p *pool) isFull(list []candidate, open []*worker) bool {
	if len(list) < len(p.ready) {
		return true
	}
	var wanted, free placement.Resources
	for _, c := range list {
		wanted = wanted.Add(times(c.idle, c.Requests()))
	}
	for _, w := range open {
		free = free.Add(w.free())
	}
	return !wanted.Fits(free)
}

// line holds the candidates of one team, or those without a team, by rank.
type line struct {
	list []candidate
	// count is the length of list, and next the index of the next candidate.
	count, next int

	member *fairshare.Member
	weight float64
	// weighted is the share of the team for each unit of its weight.
	weighted float64
	// entitled holds, by class, how many of the next candidates are within the weight
	// of the team.
	entitled [2 * classes]int
}

// classes is the number of classes of timeliness.
const classes = int(tooLate) + 1

// class numbers the classes that compareClass orders.
func (r rank) class() int {
	if r.longRunning {
		return int(r.timeliness)
	}
	return classes + int(r.timeliness)
}

func (l *line) head() *candidate { return &l.list[l.next] }

// take returns the next candidate and goes on to the one after it.
func (l *line) take() *candidate {
	c := l.head()
	l.entitled[c.rank.class()]--
	l.next++
	return c
}

// headExcess reports whether the next candidate is beyond the weight of its team.
// The order within a team stays that of ranks: as many of its candidates as are of
// jobs beyond its weight go last in each class.
func (l *line) headExcess() bool { return l.entitled[l.head().rank.class()] <= 0 }

// exchange passes the place within the weight of the team to a job that has started
// instead of the last one in its class that had one.
func (l *line) exchange(started *candidate) {
	for _, c := range slices.Backward(l.list[l.next:]) {
		if !c.job.excess && c.rank.class() == started.rank.class() {
			started.job.excess, c.job.excess = false, true
			return
		}
	}
}

// byShares returns the order of candidates if the teams share the pool: in each
// class of timeliness, jobs within the weight of their team come first. Among jobs
// that can still meet their objective, the team with the lowest share for its weight
// is next. Others get no advantage from the share of their team. Candidates without
// a team are merged with those of the teams by rank.
func (e *Engine) byShares(list []candidate) order {
	lines, without := e.lines(list)
	o := order{teams: lines, without: without}
	o.teams.init()
	return o
}

// take returns the next candidate, and false after the last one. Those that do not
// fit any more when their turn comes may be left out.
func (o *order) take(mayFit func(*step) bool) (candidate, bool) {
	if o.without == nil {
		if o.next == len(o.list) {
			return candidate{}, false
		}
		o.next++
		return o.list[o.next-1], true
	}
	o.settle(mayFit)
	o.last = o.without
	switch {
	case len(o.teams) > 0 && (o.without.next == len(o.without.list) || o.teams[0].before(o.without.head())):
		o.last = o.teams[0]
	case o.without.next == len(o.without.list):
		return candidate{}, false
	}
	c := o.last.take()
	o.idle = c.idle
	return *c, true
}

// settle brings the line of the latest candidate up to date with what has started.
func (o *order) settle(mayFit func(*step) bool) {
	l := o.last
	if l == nil {
		return
	}
	c := &l.list[l.next-1]
	if c.idle < o.idle && l != o.without {
		if c.job.excess && l.entitled[c.rank.class()] >= 0 {
			l.exchange(c)
		}
		l.weighted = l.member.Weighted(l.weight)
	}
	for l.next < len(l.list) && !mayFit(l.head().step) {
		l.take()
	}
	if l != o.without {
		o.teams.fixFirst()
	}
}

// lines groups candidates by team, and those without a team, each by rank.
func (e *Engine) lines(list []candidate) (lines []*line, without *line) {
	without = &line{}
	of := func(c candidate) *line {
		if t := c.job.team; t != nil {
			return t.line
		}
		return without
	}
	for _, c := range list {
		if t := c.job.team; t != nil && t.line == nil {
			t.line = &line{member: c.job.share, weight: e.weightOf(t)}
			t.line.weighted = t.line.member.Weighted(t.line.weight)
			lines = append(lines, t.line)
		}
		of(c).count++
	}
	grouped := make([]candidate, len(list))
	for _, l := range append(lines, without) {
		l.list, grouped = grouped[:0:l.count], grouped[l.count:]
	}
	for _, c := range list {
		l := of(c)
		l.list = append(l.list, c)
		if !c.job.excess {
			l.entitled[c.rank.class()]++
		}
	}
	for _, l := range append(lines, without) {
		slices.SortFunc(l.list, candidate.compare)
	}
	for _, l := range lines {
		l.list[0].job.team.line = nil
	}
	return lines, without
}

// compare orders teams by whose next candidate is to be placed first.
func (l *line) compare(o *line) int {
	a, b := l.head(), o.head()
	if by := a.rank.compareClass(b.rank); by != 0 {
		return by
	}
	if x, y := l.headExcess(), o.headExcess(); x != y {
		if x {
			return 1
		}
		return -1
	}
	if a.rank.timeliness == onTime {
		if by := cmp.Compare(l.weighted, o.weighted); by != 0 {
			return by
		}
	}
	return a.compare(*b)
}

// before reports whether the next candidate of a team comes before one without a
// team.
func (l *line) before(without *candidate) bool {
	if l.head().rank.compareClass(without.rank) == 0 && l.headExcess() {
		return false
	}
	return l.head().compare(*without) < 0
}

// lineHeap is a heap of lines, the one with the first candidate at the root.
type lineHeap []*line

func (h lineHeap) init() {
	for i := len(h)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
}

// fixFirst restores the order after the first line has changed, and removes it if
// it is empty.
func (h *lineHeap) fixFirst() {
	if l := (*h)[0]; l.next == len(l.list) {
		last := len(*h) - 1
		(*h)[0] = (*h)[last]
		*h = (*h)[:last]
	}
	h.down(0)
}

func (h lineHeap) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h) {
			return
		}
		if child+1 < len(h) && h[child+1].compare(h[child]) < 0 {
			child++
		}
		if h[i].compare(h[child]) <= 0 {
			return
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
}
