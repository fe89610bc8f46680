package settings

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/egretpitch/egretpitch/internal/datacentre"
)

// Change is a difference between two trees.
type Change struct {
	// Path identifies what changed, such as "hosts[kano-10].pool" or
	// "regions[lagos].settings.deadline".
	Path string `json:"path"`
	// Old and New are the two values; empty means absent or not set.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
	// Pools and Services count the pools and services whose effective value
	// changes with the setting at Path.
	Pools    int `json:"pools,omitempty"`
	Services int `json:"services,omitempty"`
}

// listed is the value of an item that exists in only one of the trees.
const listed = "listed"

// Diff returns the differences between two accepted trees: hosts, pools,
// services and teams that are added, removed or moved, and settings with
// another value at each level, with the number of pools and services that each
// affects. Changes are sorted by path.
func Diff(before, after *Tree) ([]Change, error) {
	old, err := before.Effective()
	if err != nil {
		return nil, err
	}
	next, err := after.Effective()
	if err != nil {
		return nil, err
	}
	d := &differ{}
	d.compare("estate", old.Estate, next.Estate)
	d.teams(old.Teams, next.Teams)
	d.hosts(old, next)
	d.pools(old.Pools, next.Pools)
	d.services(old, next)
	d.values(before, after)
	slices.SortStableFunc(d.changes, func(a, b Change) int { return cmp.Compare(a.Path, b.Path) })
	return d.changes, nil
}

// differ collects changes.
type differ struct {
	changes []Change
}

// compare records a change if the values differ.
func (d *differ) compare(path, old, next string) {
	if old != next {
		d.changes = append(d.changes, Change{Path: path, Old: old, New: next})
	}
}

// listedIf returns listed for an item that a tree has, and "" otherwise.
func listedIf(has bool) string {
	if has {
		return listed
	}
	return ""
}

// bothKeys returns the keys of either map, sorted.
func bothKeys[V any](a, b map[string]V) []string {
	all := slices.Collect(maps.Keys(a))
	for k := range b {
		if _, ok := a[k]; !ok {
			all = append(all, k)
		}
	}
	slices.Sort(all)
	return all
}

// teams compares teams and their quotas.
func (d *differ) teams(old, next map[string]Team) {
	for _, name := range bothKeys(old, next) {
		a, hadIt := old[name]
		b, hasIt := next[name]
		path := "teams[" + name + "]"
		d.compare(path, listedIf(hadIt), listedIf(hasIt))
		if hadIt && hasIt {
			d.compare(path+".processors", strconv.Itoa(a.Processors), strconv.Itoa(b.Processors))
			d.compare(path+".memory_mb", strconv.Itoa(a.MemoryMB), strconv.Itoa(b.MemoryMB))
			d.compare(path+".accelerators", strconv.Itoa(a.Accelerators), strconv.Itoa(b.Accelerators))
		}
	}
}

// hosts compares the pool and the place of each host.
func (d *differ) hosts(old, next *Effective) {
	for _, name := range bothKeys(old.HomePool, next.HomePool) {
		path := "hosts[" + name + "]"
		d.compare(path+".pool", old.HomePool[name], next.HomePool[name])
		_, hadIt := old.HomePool[name]
		_, hasIt := next.HomePool[name]
		if hadIt && hasIt {
			d.compare(path+".place", placeText(old.Places[name]), placeText(next.Places[name]))
		}
	}
}

// placeText formats a place as region/datacentre/rack.
func placeText(p datacentre.Place) string {
	return p.Region + "/" + p.DataCentre + "/" + p.Rack
}

// pools compares which pools exist, their regions and which one is spare.
func (d *differ) pools(old, next map[string]*PoolValues) {
	for _, name := range bothKeys(old, next) {
		a, b := old[name], next[name]
		path := "pools[" + name + "]"
		d.compare(path, listedIf(a != nil), listedIf(b != nil))
		if a != nil && b != nil {
			d.compare(path+".region", a.Region, b.Region)
			d.compare(path+".spare", strconv.FormatBool(a.Spare), strconv.FormatBool(b.Spare))
		}
	}
}

// services compares which services exist, and their pools and teams.
func (d *differ) services(old, next *Effective) {
	for _, name := range bothKeys(old.Services, next.Services) {
		a, b := old.Services[name], next.Services[name]
		path := "services[" + name + "]"
		d.compare(path, listedIf(a != nil), listedIf(b != nil))
		if a != nil && b != nil {
			d.compare(path+".pool", a.Pool, b.Pool)
			d.compare(path+".team", a.Team, b.Team)
		}
	}
}
