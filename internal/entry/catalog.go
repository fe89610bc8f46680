package entry

import (
	"sort"

	"github.com/egretpitch/egretpitch/internal/contract"
	"github.com/egretpitch/egretpitch/internal/settings"
)

// service is a service's settings and counters as request handling reads them.
type service struct {
	contract *contract.Contract
	pool     *pool
	// index is the service's position within its pool.
	index   int
	demand  *demand
	latency *latency
	// logSample is the fraction of routing decisions to log (0..1).
	logSample float64
}

// catalog is an immutable snapshot of the settings for request handling.
type catalog struct {
	version  uint64
	services map[string]*service
	// byPool lists the services of each pool, by their index.
	byPool map[string][]*service
}

// newCatalog builds the catalog of the settings. Existing pools and the
// counters of existing services are reused.
func (e *Entry) newCatalog(version uint64, effective *settings.Effective) *catalog {
	next := &catalog{version: version, services: map[string]*service{}, byPool: map[string][]*service{}}
	names := make([]string, 0, len(effective.Services))
	for name := range effective.Services {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		c := effective.Services[name]
		svc := &service{
			contract:  c,
			pool:      e.pool(c.Pool),
			index:     len(next.byPool[c.Pool]),
			demand:    e.demandOf(name),
			latency:   latencies.get(name),
			logSample: effective.Pools[c.Pool].RoutingLogSample,
		}
		next.services[name] = svc
		next.byPool[c.Pool] = append(next.byPool[c.Pool], svc)
	}
	return next
}

// pool returns the pool with the name and creates it if it does not exist.
// Only the control goroutine calls it.
func (e *Entry) pool(name string) *pool {
	p := e.pools[name]
	if p == nil {
		p = newPool(name, e.incarnation, e.registration.Permit(name), e.log)
		e.pools[name] = p
	}
	return p
}

// demandOf returns the counters of a service and creates them if they do not
// exist. Only the control goroutine calls it.
func (e *Entry) demandOf(name string) *demand {
	d := e.demands[name]
	if d == nil {
		d = &demand{}
		e.demands[name] = d
	}
	return d
}
