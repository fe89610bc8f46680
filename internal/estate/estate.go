// Package estate holds the objects that egretpitch manages, as the platform
// reports them: queues and pools from the operator, workers from discovery,
// hosts and maintenance waves from the fleet service.
package estate

import (
	"sort"
	"strings"
	"time"

	"github.com/egretpitch/egretpitch/internal/placement"
)

// Catalog is one version of the operator's configuration. It is immutable, so
// it may be read concurrently.
type Catalog struct {
	// Version increases with every change, not necessarily by one.
	Version int64
	Queues  map[string]*Queue
	Pools   map[string]*Pool
	// Teams holds the teams by name. It is empty where the configuration has none:
	// then there are no quotas and shares.
	Teams map[string]*Team
	// RequiresKeys is set if callers need a key of a team, except for public queues.
	// It is set wherever the configuration has a list of teams, even an empty one.
	RequiresKeys bool
	Limits       Limits
	// Problems are contradictions in the configuration that do not keep it from
	// being used.
	Problems []string

	// byHost maps each lower-case host name to its queues, those with the
	// longest path prefix first.
	byHost map[string][]*Queue
	// teamOfKey maps the digest of each valid key to its team.
	teamOfKey map[KeyDigest]*Team
}

// Queue is a stream of jobs that one pool serves.
type Queue struct {
	Name string
	// Host and PathPrefix select the queue for a caller's request. Host is
	// compared without regard to case.
	Host       string
	PathPrefix string
	// Pool names the pool whose workers run the queue's tasks.
	Pool string
	// Priority orders the queues of a pool; 0 is the highest.
	Priority int
	// MaxAttempts is the number of failed runs of one task after which its job
	// fails.
	MaxAttempts int
	// A job should complete within Stretch times the estimated time of its
	// longest chain of dependent steps, plus LatencyTarget.
	Stretch       float64
	LatencyTarget time.Duration
	// Timeout is the maximum duration of one request.
	Timeout time.Duration
	// Recommendation is set if each start of a task needs a ticket of the
	// recommendation service, nil if not.
	Recommendation *Recommendation
	// Public is set if callers need no key. The jobs of such a queue may have no
	// team. Jobs store the settings of their queue, and a row of a queue that is not
	// public is as it was before there were public ones.
	Public bool `json:",omitempty"`
}

// Recommendation describes the recommendation service that a queue uses.
type Recommendation struct {
	// The service takes Decision to answer a request, plus PerWorker for each
	// worker that the request names.
	Decision  time.Duration
	PerWorker time.Duration
	// Validity is how long a ticket is valid.
	Validity time.Duration
}

// Pool is a set of workers that serve the same queues.
type Pool struct {
	Name string
	// RejectsOverload is set if the pool's workers refuse tasks that exceed
	// their capacity. Workers of other pools start every task that they are
	// sent.
	RejectsOverload bool
	// Standby is set for a pool of hosts that are switched off and cost
	// nothing.
	Standby bool
	// MaxConnections is the maximum number of connections that a worker accepts
	// from all clients together.
	MaxConnections int
}

// Limits are the limits on callers' requests and connections.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// NewCatalog returns a catalog with its queues and pools indexed by name, and
// its queues by host name.
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

// Route returns the queue with the longest path prefix that matches path on the
// host, and the rest of the path. It returns nil if no queue matches.
func (c *Catalog) Route(host, path string) (*Queue, string) {
	for _, q := range c.byHost[strings.ToLower(host)] {
		if rest, ok := strings.CutPrefix(path, q.PathPrefix); ok {
			return q, rest
		}
	}
	return nil, ""
}

// Worker is one incarnation of a host as a member of a pool.
type Worker struct {
	ID         string
	Pool       string
	Address    string
	DataCentre string
	// Draining is set if the worker leaves soon and takes no new tasks.
	Draining bool
	// Remaining is the minimum time that a draining worker still stays, zero if
	// it did not report one.
	Remaining time.Duration
	// StartedMS is the start of this incarnation, as a Unix time in
	// milliseconds.
	StartedMS int64
	// ClockMS is the time at which the worker wrote its entry, in milliseconds
	// on its own monotonic clock.
	ClockMS  int64
	Labels   []string
	Capacity placement.Resources
}

// Rack returns the label that names the worker's rack, which is the last one.
// It is empty for a worker without labels.
func (w *Worker) Rack() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

// HostState is the state of a host as the fleet service reports it.
type HostState string

const (
	HostUp          HostState = "up"
	HostMoving      HostState = "moving"
	HostMaintenance HostState = "maintenance"
	HostDown        HostState = "down"
)

// Host is a machine. It belongs to one pool at a time.
type Host struct {
	Name       string
	Pool       string
	State      HostState
	DataCentre string
	Labels     []string
	Capacity   placement.Resources
	// WorkerID is the id of the worker that runs on the host, empty for none.
	WorkerID string
}

// Wave is a request to maintain a set of hosts within a time.
type Wave struct {
	Number   int64
	Hosts    []string
	Duration time.Duration
	// MaxDown is the maximum number of the wave's hosts that may be down at
	// once.
	MaxDown int
}
