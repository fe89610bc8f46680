package settings

import (
	"fmt"

	"github.com/egretpitch/egretpitch/internal/contract"
	"github.com/egretpitch/egretpitch/internal/datacentre"
	"github.com/egretpitch/egretpitch/internal/naming"
	"github.com/egretpitch/egretpitch/internal/strictyaml"
)

// Effective returns the settings of the tree after inheritance. Its error is of
// type Errors and holds every error, without positions.
func (t *Tree) Effective() (*Effective, error) {
	r := newResolver(t)
	r.resolve()
	var errs Errors
	for _, p := range r.problems {
		var unpositioned *strictyaml.Document
		errs = append(errs, unpositioned.Errorf(p.path, "%s", p.text))
	}
	if err := errs.Err(); err != nil {
		return nil, err
	}
	return r.out, nil
}

// problem is an error whose position in the file is not resolved yet.
type problem struct {
	path *strictyaml.Path
	text string
}

// resolver walks a tree once: it merges inherited values, checks them and
// builds the effective settings.
type resolver struct {
	tree     *Tree
	out      *Effective
	problems []problem
	// contracts is the backing array of all contracts, allocated once.
	contracts []contract.Contract
	regions   map[string]bool
	racks     map[string]bool
	// sparePools counts the pools marked as spare; exactly one is allowed.
	sparePools int
}

// newResolver returns a resolver with capacity for all services of the tree.
func newResolver(t *Tree) *resolver {
	pools, services := 0, 0
	for i := range t.Regions {
		pools += len(t.Regions[i].Pools)
		for j := range t.Regions[i].Pools {
			services += len(t.Regions[i].Pools[j].Services)
		}
	}
	return &resolver{
		tree:      t,
		contracts: make([]contract.Contract, 0, services),
		regions:   make(map[string]bool, len(t.Regions)),
		racks:     map[string]bool{},
		out: &Effective{
			Estate:   t.Estate,
			Services: make(map[string]*contract.Contract, services),
			Pools:    make(map[string]*PoolValues, pools),
			Teams:    make(map[string]Team, len(t.Teams)),
			HomePool: map[string]string{},
			Places:   map[string]datacentre.Place{},
		},
	}
}

// errorf records an error at a path.
func (r *resolver) errorf(path *strictyaml.Path, format string, args ...any) {
	r.problems = append(r.problems, problem{path: path, text: fmt.Sprintf(format, args...)})
}

// resolve sets out and problems.
func (r *resolver) resolve() {
	var root *strictyaml.Path
	r.checkName(root.Key("estate"), r.tree.Estate)
	defaults := Defaults()
	estate := r.mergeLevel(&defaults, &r.tree.Settings, ScopePool, root)
	r.resolveTeams(root.Key("teams"))
	for i := range r.tree.Regions {
		r.regions[r.tree.Regions[i].Name] = true
	}
	r.resolveDataCentres(root.Key("datacentres"))
	r.resolveRegions(root.Key("regions"), estate)
	r.checkHomePools(root.Key("datacentres"))
	if r.sparePools != 1 && len(r.out.Pools) > 0 {
		r.errorf(root.Key("regions"), "%d pools have spare: true; exactly one pool of the estate must", r.sparePools)
	}
}

// mergeLevel returns the effective values of the level at path, and checks
// those that the level sets itself.
func (r *resolver) mergeLevel(parent, own *Values, scope Scope, path *strictyaml.Path) *Values {
	if *own == (Values{}) {
		return parent
	}
	for i := range fields {
		f := &fields[i]
		text, set := f.text(own)
		if !set {
			continue
		}
		at := path.Key("settings").Key(f.name)
		if !f.valid(own) {
			r.errorf(at, "%s is out of range; allowed: %s", text, f.allowed)
		}
		if scope == ScopeService && f.scope == ScopePool {
			r.errorf(at, "may not be set for a service; allowed at: %s", f.scope)
		}
	}
	return inherit(parent, own)
}

// checkName checks that a name follows naming.Rule.
func (r *resolver) checkName(path *strictyaml.Path, name string) {
	if !naming.Valid(name) {
		r.errorf(path, "name %q is not allowed; allowed: %s", name, naming.Rule)
	}
}

// resolveTeams checks and indexes the teams.
func (r *resolver) resolveTeams(path *strictyaml.Path) {
	for i, team := range r.tree.Teams {
		at := path.Item(i)
		r.checkName(at.Key("name"), team.Name)
		if _, taken := r.out.Teams[team.Name]; taken {
			r.errorf(at.Key("name"), "team %q is listed twice; names of teams are unique", team.Name)
		}
		if team.Processors < 0 || team.MemoryMB < 0 || team.Accelerators < 0 {
			r.errorf(at, "a quota is negative; allowed: 0 (no limit) and above")
		}
		r.out.Teams[team.Name] = team
	}
}

// resolveRegions resolves all regions.
func (r *resolver) resolveRegions(path *strictyaml.Path, estate *Values) {
	if len(r.tree.Regions) == 0 {
		r.errorf(path, "no region; at least one with a pool must be listed")
	}
	seen := make(map[string]bool, len(r.tree.Regions))
	for i := range r.tree.Regions {
		region, at := &r.tree.Regions[i], path.Item(i)
		r.checkName(at.Key("name"), region.Name)
		if seen[region.Name] {
			r.errorf(at.Key("name"), "region %q is listed twice; names of regions are unique", region.Name)
		}
		seen[region.Name] = true
		values := r.mergeLevel(estate, &region.Settings, ScopePool, at)
		if len(region.Pools) == 0 {
			r.errorf(at.Key("pools"), "region without a pool; at least one must be listed")
		}
		for j := range region.Pools {
			r.resolvePool(at.Key("pools").Item(j), region.Name, &region.Pools[j], values)
		}
	}
}

// resolvePool resolves one pool and its services.
func (r *resolver) resolvePool(path *strictyaml.Path, region string, p *Pool, parent *Values) {
	r.checkName(path.Key("name"), p.Name)
	if _, taken := r.out.Pools[p.Name]; taken {
		r.errorf(path.Key("name"), "pool %q is listed twice; names of pools are unique in the estate", p.Name)
	}
	if p.Spare {
		r.sparePools++
		r.out.Spare = p.Name
	}
	before := len(r.problems)
	values := r.mergeLevel(parent, &p.Settings, ScopePool, path)
	pool := newPoolValues(p, region, values)
	pool.Hosts = r.resolvePoolHosts(path.Key("hosts"), p)
	r.out.Pools[p.Name] = pool
	r.resolveServices(path.Key("services"), p, pool, values)
	if len(r.problems) == before {
		r.checkCapacity(path, pool, len(p.Services) > 0)
	}
}

// newPoolValues returns the effective settings of a pool, without its hosts.
func newPoolValues(p *Pool, region string, v *Values) *PoolValues {
	return &PoolValues{
		Pool:              p.Name,
		Region:            region,
		Spare:             p.Spare,
		BufferWeight:      *v.BufferWeight,
		MoveWeight:        *v.MoveWeight,
		MinStay:           *v.MinStay,
		MinHosts:          *v.MinHosts,
		MaxUnavailable:    *v.MaxUnavailable,
		MaintenancePeriod: *v.MaintenancePeriod,
		DrainTimeout:      *v.DrainTimeout,
		ReturnTimeout:     *v.ReturnTimeout,
		RoutingLogSample:  *v.RoutingLogSample,
		Availability:      *v.Availability,
	}
}

// resolveServices resolves the services of a pool. The pool takes the highest
// availability among them.
func (r *resolver) resolveServices(path *strictyaml.Path, p *Pool, pool *PoolValues, parent *Values) {
	for i := range p.Services {
		s := &p.Services[i]
		if !naming.Valid(s.Name) {
			r.checkName(path.Item(i).Key("name"), s.Name)
		}
		if other, taken := r.out.Services[s.Name]; taken {
			r.errorf(path.Item(i).Key("name"), "service %q is also in pool %q; names of services are unique in the estate", s.Name, other.Pool)
			continue
		}
		if _, known := r.out.Teams[s.Team]; s.Team != "" && !known {
			r.errorf(path.Item(i).Key("team"), "unknown team %q; allowed: one listed under teams", s.Team)
		}
		values := parent
		if s.Settings != (Values{}) {
			values = r.mergeLevel(parent, &s.Settings, ScopeService, path.Item(i))
		}
		r.contracts = append(r.contracts, newContract(s, p.Name, values))
		c := &r.contracts[len(r.contracts)-1]
		r.out.Services[s.Name] = c
		if i == 0 || c.Availability > pool.Availability {
			pool.Availability = c.Availability
		}
	}
}

// newContract returns the contract of a service.
func newContract(s *Service, pool string, v *Values) contract.Contract {
	return contract.Contract{
		Service:         s.Name,
		Pool:            pool,
		Team:            s.Team,
		Availability:    *v.Availability,
		Deadline:        *v.Deadline,
		Priority:        *v.Priority,
		Idempotent:      *v.Idempotent,
		Outage:          *v.KeyOutage,
		RetryBudget:     *v.RetryBudget,
		MaxBodyBytes:    *v.MaxBodyBytes,
		HeldAnswerBytes: *v.HeldAnswerBytes,
	}
}
