// Package admission decides at an entry whether a job can still be of use when it is
// submitted to a full pool. The owner publishes a State with its heartbeat, and each
// entry keeps a Gate. The package does no I/O and reads no clock.
//
// It handles a queue that asks for several times the capacity of its pool for some
// seconds. Jobs that end after LateFactor times their objective are of no use to
// their callers. The scheduler serves jobs that can meet their objective first, then
// late ones, and in each class those of better rank. So a waiting job is ahead of a
// new one only while it stays in the class of the new one or in a better class: of
// jobs with equal objectives the older ones become late, and useless, first. A job is
// refused only if the work that stays ahead of it takes the whole capacity of the
// pool until its last timely start, and until its last useful start. Only steps that can
// start count, since a new job may start while others wait. So whether a job is
// refused does not depend on others of its kind, and refusals do not feed back on
// themselves. A wrong refusal
// costs a caller its job, a wrong acceptance only some waiting. What is uncertain
// counts for the job: capacity that may come back, tasks that take less time than
// estimated, work of other teams, whose shares are not known here, and jobs that will
// be submitted later.
package admission

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// LateFactor times the objective is the age from which a job that has ended is of
	// no use.
	LateFactor = 3
	// certainShare is the share of the limit that published work alone must reach
	// for a refusal. What this entry has admitted since, scaled by the number of
	// entries, is an estimate and makes up for the rest at most.
	certainShare = 0.75
	// maxRetryAfter bounds the time after which a refused caller is to return.
	maxRetryAfter = 30 * time.Second
)

// Job is what the decision needs of a submitted job.
type Job struct {
	Pool, Team string
	// Rank is the rank of the job, see Rank.
	Rank int64
	// Work is the work of the job in core-seconds, CriticalPath the time that it
	// takes in an empty pool, and Objective the age at which it should end.
	Work         float64
	CriticalPath time.Duration
	Objective    time.Duration
	// Quota is the number of cores that the job's team may use at once, 0 for no
	// bound.
	Quota float64
}

// Decision is the decision about a job, with the inputs that led to it.
type Decision struct {
	Refused bool
	// RetryAfter is when a retry of a refused job is worthwhile.
	RetryAfter time.Duration
	// Age is the age of the published state.
	Age time.Duration
	// AheadTimely is the work that stays ahead of the job until its last timely start,
	// and Ahead that until its last useful start, in core-seconds. Admitted is the
	// part of Ahead that was admitted since the state was published.
	AheadTimely, Ahead, Admitted float64
	// Capacity is the work that the pool does a second, in core-seconds. Timely and
	// Useful are the times until the last timely and the last useful start of the job.
	Capacity       float64
	Timely, Useful time.Duration
}

// Gate decides at one entry. It keeps what the entry has admitted since the last
// state, and when the callers that it has refused return. It is not safe for
// concurrent use.
type Gate struct {
	version  int64
	admitted []admission
	// lines holds, by pool and team, when the capacity is free that the last refused
	// caller waits for.
	lines map[[2]string]time.Duration
}

type admission struct {
	at  time.Duration
	job Job
}

// NewGate returns a gate that has admitted nothing.
func NewGate() *Gate { return &Gate{lines: map[[2]string]time.Duration{}} }

// View is a published state as an entry has read it.
type View struct {
	*State
	// Version differs between states.
	Version int64
	// AsOf is the time up to which the state covers accepted jobs.
	AsOf time.Duration
}

// Decide decides about a job that is submitted at the given time. A job that is
// admitted counts as accepted.
func (g *Gate) Decide(v View, j Job, now time.Duration) Decision {
	g.forget(v, now)
	d := Decision{Age: now - v.AsOf, Timely: j.Objective - j.CriticalPath, Useful: LateFactor*j.Objective - j.CriticalPath}
	p := v.pool(j.Pool)
	if p == nil || d.Age < 0 || d.Age > MaxAge || d.Useful <= 0 {
		return g.admit(d, j, now)
	}
	d.Capacity = p.Capacity()
	if j.Quota > 0 {
		d.Capacity = min(d.Capacity, j.Quota)
	}
	if d.Capacity <= 0 {
		return g.admit(d, j, now)
	}
	timely, useful := p.ahead(&j, d.Timely, d.Useful, d.Age)
	sinceTimely, sinceUseful := g.since(&j, d.Timely, d.Useful, now)
	entries := float64(max(v.Entries, 1))
	served := d.Capacity * d.Age.Seconds()
	d.AheadTimely = timely + entries*sinceTimely - served
	d.Admitted = entries * sinceUseful
	d.Ahead = useful + d.Admitted - served
	limit, limitTimely := d.Capacity*d.Useful.Seconds(), d.Capacity*d.Timely.Seconds()
	if useful-served < certainShare*limit || d.Ahead <= limit || d.AheadTimely <= limitTimely {
		return g.admit(d, j, now)
	}
	d.Refused = true
	line := [2]string{j.Pool, j.Team}
	free := max(now+seconds(min(d.Ahead-limit, d.AheadTimely-limitTimely)/d.Capacity), g.lines[line])
	g.lines[line] = min(free+seconds(entries*j.Work/d.Capacity), now+maxRetryAfter)
	d.RetryAfter = min(max(free-now, time.Second), maxRetryAfter)
	return d
}

// Preview returns what Decide would, and leaves the gate as it is.
func (g *Gate) Preview(v View, j Job, now time.Duration) Decision {
	c := &Gate{version: g.version, admitted: slices.Clone(g.admitted), lines: maps.Clone(g.lines)}
	return c.Decide(v, j, now)
}

// forget drops what a state covers, and lines that have ended.
func (g *Gate) forget(v View, now time.Duration) {
	if v.Version == g.version {
		return
	}
	g.version = v.Version
	kept := g.admitted[:0]
	for _, a := range g.admitted {
		if a.at >= v.AsOf {
			kept = append(kept, a)
		}
	}
	g.admitted = kept
	for key, free := range g.lines {
		if free <= now {
			delete(g.lines, key)
		}
	}
}

// maxAdmitted bounds the admissions that a gate keeps while no new state comes. The
// oldest ones are dropped: fewer jobs are refused then.
const maxAdmitted = 1000

func (g *Gate) admit(d Decision, j Job, now time.Duration) Decision {
	if len(g.admitted) >= maxAdmitted {
		g.admitted = g.admitted[:copy(g.admitted, g.admitted[maxAdmitted/2:])]
	}
	g.admitted = append(g.admitted, admission{now, j})
	return d
}

// Withdraw undoes the admission of a job that was not stored, which was decided at the
// given time.
func (g *Gate) Withdraw(j Job, at time.Duration) {
	if i := slices.Index(g.admitted, admission{at, j}); i >= 0 {
		g.admitted = slices.Delete(g.admitted, i, i+1)
	}
}

// since returns the work that this entry has admitted since the state and that stays
// ahead of a job until its last timely and its last useful start, in core-seconds.
func (g *Gate) since(j *Job, timely, useful, now time.Duration) (untilTimely, untilUseful float64) {
	for i := range g.admitted {
		a := &g.admitted[i]
		if a.job.Pool != j.Pool || a.job.Team != j.Team || a.job.Rank >= j.Rank {
			continue
		}
		left := a.at - now - a.job.CriticalPath
		if a.job.Objective+left >= timely {
			untilTimely += a.job.Work
		}
		if LateFactor*a.job.Objective+left >= useful {
			untilUseful += a.job.Work
		}
	}
	return untilTimely, untilUseful
}

func (s *State) pool(name string) *Pool {
	for i := range s.Pools {
		if s.Pools[i].Name == name {
			return &s.Pools[i]
		}
	}
	return nil
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, math.MaxInt32) * float64(time.Second))
}
