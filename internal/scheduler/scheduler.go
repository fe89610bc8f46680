// Package scheduler decides what runs where: it takes in jobs, workers and the
// answers to orders, and returns orders. It has no clock and does no I/O, so a
// test can play any history. One goroutine uses an Engine.
//
// What must outlive the owner is little: jobs, cancellations, finished tasks
// and failed runs. Starts are not recorded. A new owner fences every worker
// that its predecessor may have used and reads there what runs; a task that it
// finds nowhere is started only when no such worker is left unread (see
// recover.go).
package scheduler

import (
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// Options are the terms under which an Engine works.
type Options struct {
	// Token is higher than that of every owner before.
	Token int64
	// Epoch counts the owners, from 1.
	Epoch int64
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// StopGrace is the longest time a stop takes.
	StopGrace time.Duration
	// Parts is the number of parts that the records of jobs are spread over,
	// and PartOf tells a job's.
	Parts  int
	PartOf func(job string) int
	// UnixMS converts the engine's time to a Unix time in milliseconds.
	UnixMS func(now time.Duration) int64
	Log    *zap.Logger
}

const (
	// leaseFraction is the part of the longest lease that is asked for. A
	// shorter lease frees the tasks of a lost worker sooner; it must outlast a
	// look's wait and a change of owner.
	leaseFraction = 0.75
	// pollWait is how long a worker may hold a look while nothing ends; the
	// platform's bound is 2 s. It is short of the lease by more than a change of
	// owner takes.
	pollWait = 1100 * time.Millisecond
	// startWindow is how long after it was sent a start may be carried out. It
	// covers the error of the estimate of the worker's clock.
	startWindow = 1500 * time.Millisecond
	// clockDrift is the share by which a worker's clock may be slow; the
	// platform's bound is 2 %.
	clockDrift = 0.03
	// maxOrderDelay is the longest time after which an order without an answer is
	// carried out, as the platform's list of disruptions has it.
	maxOrderDelay = 12 * time.Second
	// leaseSlack is added to a lease before its runs are given up.
	leaseSlack = 200 * time.Millisecond
	// runsPerEpoch spaces the run numbers of successive owners, so that an
	// owner that recorded no start still numbers above its predecessors.
	runsPerEpoch = 1000
	// sweepInterval is the time between two looks at all workers and runs for
	// what depends on time alone. Decisions are made thousands of times a second
	// at 340 workers.
	sweepInterval = 20 * time.Millisecond
	// maxCommitJobs is how many records one transaction writes: each takes a
	// condition and a write of the platform's 100 entries, beside the fence.
	maxCommitJobs = 45
	// maxCommitDelay is how long a change that nobody waits for may stay unwritten.
	maxCommitDelay = 400 * time.Millisecond
)

// OwnershipState is how sure an owner is that it still is one.
type OwnershipState int

const (
	// OwnershipValid owners give all orders.
	OwnershipValid OwnershipState = iota
	// OwnershipExpiring owners are about to lose their proof, perhaps since the table
	// service is away: they give all orders and extend leases as far as they
	// can, so that what runs outlasts the outage.
	OwnershipExpiring
	// OwnershipExpired owners may have a successor: they start nothing and let leases
	// run out.
	OwnershipExpired
)

// lease is how far a look extends the lease of a worker, 0 for not at all.
func (e *Engine) lease() time.Duration {
	switch e.ownership {
	case OwnershipValid:
		return time.Duration(float64(e.opts.MaxLease) * leaseFraction)
	case OwnershipExpiring:
		return e.opts.MaxLease
	}
	return 0
}

// Engine is the state of the jobs and workers of an owner.
type Engine struct {
	opts    Options
	catalog *estate.Catalog
	jobs    map[string]*job
	// nextSweep is when what depends on time alone is looked at next.
	nextSweep time.Duration
	// knownJobs are all jobs that were ever handed over: one that is over and
	// forgotten may be told again by a feed.
	knownJobs map[string]struct{}
	workers   map[string]*worker
	pools     map[string]*pool
	stats     Stats

	// orders are those that the next Decide returns: events between two
	// decisions give rise to some.
	orders []Order

	dirty      map[*job]struct{}
	dirtySince time.Duration
	// committing and retryAt are by part.
	committing []*Commit
	seq        uint64
	retryAt    []time.Duration

	// recoveryDeadline is when runs of former owners that were not found are given up.
	recoveryDeadline time.Duration
	// requesting counts the recommendations that are asked for.
	requesting int
	recovering bool
	ownership  OwnershipState
	// superseded says that a worker has seen a higher token.
	superseded bool
}

// Stats count decisions since the engine was made.
type Stats struct {
	Starts, Stops, Looks, Commits int64
	// Done and FailedRuns count ends, LostRuns those that were not seen.
	Done, FailedRuns, LostRuns                int64
	JobsCompleted, JobsFailed, JobsCancelled  int64
	UncertainStarts, RefusedNoRoom            int64
	WorkersSetAside, StuckRuns, Copies, Paces int64
	Recommendations, TicketsRefused           int64
	// OrphansStopped counts runs that were found and not wanted.
	OrphansStopped int64
}

// pool is a pool with what waits and runs in it.
type pool struct {
	name    string
	workers []*worker
	ready   map[*step]struct{}
	// needsPass says that a pass may find something to do.
	needsPass bool
	// nextPass asks for a pass at a time, zero for none.
	nextPass time.Duration
	// nextCopySearch is when tasks that lag behind are searched next.
	nextCopySearch time.Duration
	queues         map[string]*queueStats
	// unpolled counts the workers of former owners that were not looked at yet.
	unpolled int
	// arrived is the work in core-seconds that was accepted so far, in
	// arrivedJobs jobs.
	arrived     float64
	arrivedJobs int
}

// queueStats is what past jobs of a queue were like.
type queueStats struct {
	// work is the mean work of a job in core-seconds.
	work  float64
	count float64
}

// New returns an engine without jobs and workers.
func New(opts Options) *Engine {
	return &Engine{
		opts: opts, jobs: map[string]*job{}, knownJobs: map[string]struct{}{}, workers: map[string]*worker{}, pools: map[string]*pool{},
		dirty: map[*job]struct{}{}, committing: make([]*Commit, opts.Parts), retryAt: make([]time.Duration, opts.Parts),
	}
}

// SetCatalog puts a configuration in force.
func (e *Engine) SetCatalog(c *estate.Catalog) {
	if e.catalog != nil && c.Version <= e.catalog.Version {
		return
	}
	e.catalog = c
	for _, p := range e.pools {
		p.needsPass = true
	}
}

// Superseded reports whether a worker has seen the token of a later owner.
func (e *Engine) Superseded() bool { return e.superseded }

// Recovering reports whether runs of former owners may still be undiscovered.
func (e *Engine) Recovering() bool { return e.recovering }

// Stats returns the counters.
func (e *Engine) Stats() Stats { return e.stats }

func (e *Engine) pool(name string) *pool {
	p := e.pools[name]
	if p == nil {
		p = &pool{name: name, ready: map[*step]struct{}{}, queues: map[string]*queueStats{}}
		e.pools[name] = p
	}
	return p
}

// Order is something to be carried out. The concrete types are *StartOrder,
// *StopOrder, *ThrottleOrder, *PollOrder, *Commit and *RecommendOrder.
type Order interface{ order() }

// StartOrder tells a worker to run a task. Its answer goes to Started.
type StartOrder struct {
	Worker estate.Worker
	platform.Start
	run *run
}

// StopOrder tells a worker to end a run. Its answer goes to Stopped.
type StopOrder struct {
	Worker estate.Worker
	Task   workload.TaskID
	Run    int
	Token  int64
	worker *worker
}

// ThrottleOrder tells a worker to let a run work at a share. Its answer goes to
// Throttled.
type ThrottleOrder struct {
	Worker  estate.Worker
	Task    workload.TaskID
	Run     int
	Percent int
	Token   int64
	run     *run
}

// PollOrder extends a worker's lease and reads what it runs. Its answer goes
// to Polled.
type PollOrder struct {
	Worker estate.Worker
	platform.Poll
	worker *worker
	sentAt time.Duration
	probe  bool
}

// Commit records the progress of jobs. Its outcome goes to Committed.
type Commit struct {
	// Part is the one that all of its jobs are in.
	Part    int
	Records []Record
}

// Record is the progress of one job to be written.
type Record struct {
	Job string
	// Version is the version of the row that is replaced.
	Version  int64
	Progress workload.Progress
	seq      uint64
	job      *job
}

// RecommendOrder asks which workers may run a step. Its answer goes to
// Recommended.
type RecommendOrder struct {
	Step    string
	Workers []string
	step    *step
}

func (*StartOrder) order()     {}
func (*StopOrder) order()      {}
func (*ThrottleOrder) order()  {}
func (*PollOrder) order()      {}
func (*Commit) order()         {}
func (*RecommendOrder) order() {}

// Decide returns what is to be done now.
func (e *Engine) Decide(now time.Duration, ownership OwnershipState) []Order {
	e.ownership = ownership
	sweep := now >= e.nextSweep
	if sweep {
		e.nextSweep = now + sweepInterval
		e.createDueOccurrences(now)
		e.expireLeases(now)
		e.finishRecovery(now)
		e.checkRuns(now)
		e.stopStalledRuns(now)
	}
	if ownership != OwnershipExpired {
		for _, p := range e.pools {
			if p.needsPass || (p.nextPass > 0 && now >= p.nextPass) {
				e.pass(p, now)
			}
		}
	}
	e.pollWorkers(now, sweep)
	e.commit(now)
	orders := e.orders
	e.orders = nil
	return orders
}

func (e *Engine) emit(o Order) { e.orders = append(e.orders, o) }
