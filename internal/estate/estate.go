// Package estate holds the objects of the world that egretpitch manages, as
// the platform reports them: queues and pools from the operator, workers from
// discovery, hosts and maintenance waves from the fleet service.
package estate

import (
	"sort"
	"strings"
	"time"

	"github.com/egretpitch/egretpitch/internal/placement"
)

// Catalog is one version of the operator's configuration. It is never changed
// after it was built, so any goroutine may read it.
type Catalog struct {
	// Version rises with every change, in uneven steps.
	Version int64
	Queues  map[string]*Queue
	Pools   map[string]*Pool
	Limits  Limits

	// byHost holds the queues of each lower-case host name, longest prefix
	// first.
	byHost map[string][]*Queue
}

// Queue is a stream of jobs that one pool serves.
type Queue struct {
	Name string
	// Host and PathPrefix select the queue for a caller's request.
	Host       string
	PathPrefix string
	// Pool names the pool whose workers run the queue's tasks.
	Pool string
	// Priority orders queues of a pool; 0 comes first.
	Priority int
	// MaxAttempts is how many runs of a task may fail before its job fails.
	MaxAttempts int
	// Stretch times a job's longest chain of work plus LatencyTarget is the
	// time in which it should complete.
	Stretch       float64
	LatencyTarget time.Duration
	// Timeout bounds one request.
	Timeout time.Duration
	// Recommendation says that each start needs a ticket of the
	// recommendation service, nil if none is needed.
	Recommendation *Recommendation
}

// Recommendation describes the recommendation service as a queue uses it.
type Recommendation struct {
	// Decision and PerWorker are how long an answer takes: once, and for each
	// worker named.
	Decision  time.Duration
	PerWorker time.Duration
	// Validity is how long a ticket may be used.
	Validity time.Duration
}

// Pool is a set of workers that serve the same queues.
type Pool struct {
	Name string
	// RejectsOverload says that its workers refuse what exceeds their
	// capacity. Others start whatever they are told to.
	RejectsOverload bool
	// Standby pools hold hosts that are off and cost nothing.
	Standby bool
	// MaxConnections is the most connections that a worker takes from all.
	MaxConnections int
}

// Limits bound callers' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// NewCatalog indexes queues and pools.
func NewCatalog(version int64, queues []*Queue, pools []*Pool, limits Limits) *Catalog {
	c := &Catalog{
		Version: version, Limits: limits,
		Queues: make(map[string]*Queue, len(queues)), Pools: make(map[string]*Pool, len(pools)),
		byHost: map[string][]*Queue{},
	}
	for _, q := range queues {
		c.Queues[q.Name] = q
		host := strings.ToLower(q.Host)
		c.byHost[host] = append(c.byHost[host], q)
	}
	for _, list := range c.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	for _, p := range pools {
		c.Pools[p.Name] = p
	}
	return c
}

// Route returns the queue with the longest prefix of path on the host, and the
// rest of the path, or nil.
func (c *Catalog) Route(host, path string) (*Queue, string) {
	for _, q := range c.byHost[strings.ToLower(host)] {
		if rest, ok := strings.CutPrefix(path, q.PathPrefix); ok {
			return q, rest
		}
	}
	return nil, ""
}

// Worker is one life of a host as a member of a pool.
type Worker struct {
	ID         string
	Pool       string
	Address    string
	DataCentre string
	// Draining workers leave soon and take no new tasks.
	Draining bool
	// Remaining is the least time that a draining worker stays, zero if it did
	// not say.
	Remaining time.Duration
	// StartedMS is the Unix time in milliseconds at which this incarnation began.
	StartedMS int64
	// ClockMS is the worker's own steady clock when it wrote its entry.
	ClockMS  int64
	Labels   []string
	Capacity placement.Resources
}

// Rack returns the label that names the worker's rack, the last one; empty for
// a worker without labels.
func (w *Worker) Rack() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

// HostState is what the fleet service says of a host.
type HostState string

const (
	HostUp          HostState = "up"
	HostMoving      HostState = "moving"
	HostMaintenance HostState = "maintenance"
	HostDown        HostState = "down"
)

// Host is a machine that is a member of one pool at a time.
type Host struct {
	Name       string
	Pool       string
	State      HostState
	DataCentre string
	Labels     []string
	Capacity   placement.Resources
	// WorkerID is the id of the worker that the host runs, empty for none.
	WorkerID string
}

// Wave asks for maintenance of hosts within a time.
type Wave struct {
	Number   int64
	Hosts    []string
	Duration time.Duration
	// MaxDown is how many of the wave's hosts may be down at once.
	MaxDown int
}
