// Package scheduler places the tasks of jobs on workers. An Engine receives
// events (jobs, workers and answers to orders) and returns orders. It has no
// clock and does no I/O, so that a test can simulate any history. An Engine is
// not safe for concurrent use.
//
// Only jobs, cancellations, finished tasks and failed runs are stored; starts
// are not. A new owner therefore fences every worker that a previous owner may
// have used and reads which runs it has. A task without a known run is started
// only when no such worker is left unpolled (see recover.go).
package scheduler

import (
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/quota"
)

// Options configure an Engine.
type Options struct {
	// Token is the owner's fencing token, higher than that of every previous
	// owner.
	Token int64
	// Epoch is the number of this ownership, counted from 1.
	Epoch int64
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// StopGrace is the longest time that a worker takes to stop a run.
	StopGrace time.Duration
	// CancelWithin is the time after the acknowledgement of a job's cancellation
	// within which its tasks may still start. It bounds the age of the known
	// cancellations that a start relies on; 0 is no bound.
	CancelWithin time.Duration
	// DrainWithin is the time after the storing of an entry that says that its
	// worker drains within which tasks may still start there. It bounds the age of
	// the known entries that a start relies on; 0 is no bound.
	DrainWithin time.Duration
	// CapacityValidity is how long after a worker wrote its entry tasks may be
	// started by the capacity in it, if the worker does not reject overload. 0 is
	// no limit.
	CapacityValidity time.Duration
	// Parts is the number of parts that the records of jobs are spread over,
	// and PartOf returns the part of a job.
	Parts  int
	PartOf func(job string) int
	// LearnPerformance enables learning from the progress and the tail latencies of
	// runs how images slow each other and how fast workers are, and deciding by it.
	LearnPerformance bool
	// CancelledRunsEnded, if set, is called when the last run of a cancelled job has
	// ended.
	CancelledRunsEnded func(CancelledRunsEnd)
	// UnixMS converts the engine's time to a Unix time in milliseconds.
	UnixMS func(now time.Duration) int64
	Log    *zap.Logger
}

const (
	// leaseFraction is the requested lease as a fraction of MaxLease. A shorter
	// lease frees the tasks of a lost worker sooner, but it must outlast the
	// wait of a long poll and a change of owner.
	leaseFraction = 0.75
	// pollWait is how long a worker holds a long poll while no run ends. The
	// platform allows at most 2 s. The lease must exceed it by more than a
	// change of owner takes.
	pollWait = 1100 * time.Millisecond
	// startWindow is how long a worker may take to carry out a start, counted
	// from its sending. It covers the error of the estimate of the worker's
	// clock.
	startWindow = 1500 * time.Millisecond
	// minStartWindow is the least time that must be left for a start to reach its
	// worker when it is decided.
	minStartWindow = 300 * time.Millisecond
	// clockDrift is the fraction by which a worker's clock may be slow; the
	// platform's bound is 2 %.
	clockDrift = 0.03
	// maxOrderDelay is the longest time after which a worker may still carry
	// out an order without an answer, according to the platform's list of
	// disruptions.
	maxOrderDelay = 12 * time.Second
	// leaseSlack is added to a lease before its runs are given up.
	leaseSlack = 200 * time.Millisecond
	// incarnationBits is the number of low bits of a fencing token that number
	// the incarnations of workers under one owner. The rest is Options.Token,
	// which leaves 29 bits of the 53 that a JSON number holds exactly.
	incarnationBits = 24
	// runsPerEpoch is the distance between the run numbers of successive
	// owners. Starts are not recorded, so an owner does not know which numbers
	// previous owners used and has to start above them.
	runsPerEpoch = 1000
	// sweepInterval is the time between two checks of all workers and runs for
	// conditions that depend on time alone. With 340 workers Decide runs
	// thousands of times a second, too often to check them each time.
	sweepInterval = 20 * time.Millisecond
	// maxCommitJobs is the number of records in one transaction. Each takes a
	// condition and a write of the 100 entries that the platform allows, in
	// addition to the fence.
	maxCommitJobs = 45
	// maxCommitBytes bounds the records of one transaction, so that the whole call,
	// encoded in base64, stays below the platform's limit of 1 MB.
	maxCommitBytes = 600 << 10
	// maxCommitDelay is how long a change that is not urgent may stay
	// unwritten.
	maxCommitDelay = 400 * time.Millisecond
)

// OwnershipState is the state of the ownership lease.
type OwnershipState int

const (
	// OwnershipValid owners give all orders.
	OwnershipValid OwnershipState = iota
	// OwnershipExpiring owners have an ownership lease near expiry, perhaps
	// because the table service is unavailable. They give all orders and extend
	// worker leases to MaxLease, so that runs outlast the outage.
	OwnershipExpiring
	// OwnershipExpired owners may have a successor: they start nothing and let
	// worker leases expire.
	OwnershipExpired
)

// lease returns how far a poll extends the lease of a worker, 0 for not at all.
func (e *Engine) lease() time.Duration {
	switch e.ownership {
	case OwnershipValid:
		return time.Duration(float64(e.opts.MaxLease) * leaseFraction)
	case OwnershipExpiring:
		return e.opts.MaxLease
	}
	return 0
}

// Engine holds the jobs and workers of an owner and decides what runs where.
type Engine struct {
	opts    Options
	catalog *estate.Catalog
	jobs    map[string]*job
	// promptSentAt is when the latest probe was sent whose answer was read
	// within promptAnswer.
	promptSentAt time.Duration
	// answeredAt is when a worker last answered a poll.
	answeredAt time.Duration
	// nextProbeOfAnother is the earliest time of the next probeAnother, and
	// lastProbeOfAnother the id of the worker that the last one went to.
	nextProbeOfAnother time.Duration
	lastProbeOfAnother string
	// nextSweep is the time of the next sweep, and nextOutageCheck that of the
	// next check for outages of long-running tasks.
	nextSweep, nextOutageCheck time.Duration
	// nextOverdueCheck is the time of the next check for runs that should have been
	// stopped long ago.
	nextOverdueCheck time.Duration
	// knownJobs holds the teams of all jobs that were ever added, by id: a feed may
	// repeat a job that has ended and was dropped.
	knownJobs map[string]*team
	// jobsVersion is the version up to which all jobs were added. cancelledFirst
	// holds, by job, the versions of later cancellations that were read before the
	// job.
	jobsVersion    int64
	cancelledFirst map[string]int64
	workers        map[string]*worker
	// added counts the incarnations of workers that were added.
	added       int64
	pools       map[string]*pool
	poolsByName []*pool
	stats       Stats
	// teams holds the teams of jobs by name, and quotas what they hold. passes
	// numbers the passes.
	teams  map[string]*team
	quotas *quota.Tracker
	passes uint64
	// rounds counts the calls of passPools that chose the pool to pass first.
	rounds uint64
	// submissions are the jobs of teams that classifySubmissions has not seen yet.
	submissions []submission
	// teamStats are the teams at the last report, and nextTeamsReport is the time of
	// the next one.
	teamStats       []TeamStats
	nextTeamsReport time.Duration

	// orders are returned by the next Decide. Events between two decisions add
	// to them.
	orders []Order

	dirty map[*job]struct{}
	// dirtySince is when the first unwritten change was made, or when a commit
	// was last applied.
	dirtySince time.Duration
	// presumed holds the crashes of silent workers whose fate is unknown, by id.
	presumed map[string][]presumedCrash
	// committing and retryAt are indexed by part.
	committing []*Commit
	seq        uint64
	retryAt    []time.Duration

	// recoverAt is when the ownership started.
	recoverAt time.Duration
	// firstPollsEnd is until when workers of previous owners may answer a first
	// poll, even if their leases have expired. givenUp counts those that answered
	// none in time.
	firstPollsEnd time.Duration
	givenUp       int
	// requesting counts the recommendation requests in flight.
	requesting int
	recovering bool
	ownership  OwnershipState
	// cancelsAsOf is the time up to which all stored cancellations are known, and
	// cancelsWaited how long the last answer about them had waited. startsHeld is
	// set while either is too old for starts, since heldSince.
	cancelsAsOf, cancelsWaited time.Duration
	// entriesAsOf is the time up to which all stored entries of workers are known.
	entriesAsOf time.Duration
	startsHeld  bool
	heldSince   time.Duration
	// handingOver is set once the ownership is about to be released.
	handingOver bool
	// superseded is set once a worker has seen a higher token.
	superseded bool
	performance
}

// New returns an engine without jobs and workers.
func New(opts Options) *Engine {
	return &Engine{
		opts: opts, jobs: map[string]*job{}, knownJobs: map[string]*team{}, teams: map[string]*team{}, quotas: quota.New(), cancelledFirst: map[string]int64{}, workers: map[string]*worker{}, pools: map[string]*pool{},
		dirty: map[*job]struct{}{}, presumed: map[string][]presumedCrash{}, committing: make([]*Commit, opts.Parts), retryAt: make([]time.Duration, opts.Parts),
	}
}

// SetCatalog applies a configuration. One that is not newer than the current
// one is ignored.
func (e *Engine) SetCatalog(c *estate.Catalog) {
	if e.catalog != nil && c.Version <= e.catalog.Version {
		return
	}
	e.catalog = c
	e.quotas.SetTeams(c.Teams)
	for _, j := range e.jobs {
		e.updateQueue(j)
	}
	for _, p := range e.pools {
		p.needsPass = true
		p.overcommits, p.capacityValidity = e.overcommits(p.name), e.capacityValidity(p.name)
	}
}

// Superseded reports whether a worker has seen the token of a later owner.
func (e *Engine) Superseded() bool { return e.superseded }

// Recovering reports whether runs of previous owners may still be undiscovered.
func (e *Engine) Recovering() bool { return e.recovering }

// Stats returns the counters.
func (e *Engine) Stats() Stats { return e.stats }

// Decide returns the orders to carry out now. Nothing is started while
// ownership is OwnershipExpired.
func (e *Engine) Decide(now time.Duration, ownership OwnershipState) []Order {
	e.ownership = ownership
	e.classifySubmissions()
	sweep := now >= e.nextSweep
	if sweep {
		e.nextSweep = now + sweepInterval
		e.createDueOccurrences(now)
		e.expireLeases(now)
		e.confirmPresumed(now)
		e.finishRecovery(now)
		e.checkRuns(now)
		e.stopStalledRuns(now)
		e.reportOutages(now)
		e.reportOverdueStops(now)
		e.reportPerformance(now)
		e.reportTeams(now)
		e.stats.CancelsAgeMS, e.stats.EntriesAgeMS = e.cancelsAge(now).Milliseconds(), e.EntriesAge(now).Milliseconds()
		if e.catalog != nil && ownership != OwnershipExpired && e.mayStart(now) {
			e.evacuate(now)
		}
	}
	if e.mayStart(now) && ownership != OwnershipExpired {
		e.passPools(now)
	}
	e.pollWorkers(now, sweep)
	e.commit(now)
	orders := e.orders
	e.orders = nil
	return orders
}

func (e *Engine) emit(o Order) { e.orders = append(e.orders, o) }
