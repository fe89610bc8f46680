package settings

// levelKey is the path of a level and the names that lead to it. Names that
// are empty stand for every region, pool or service.
type levelKey struct {
	path                  string
	region, pool, service string
}

// values compares what each level sets itself. A level that is in one tree
// only shows up as listed or gone instead.
func (d *differ) values(before, after *Tree) {
	old, next := levelsOf(before), levelsOf(after)
	impact := &impact{before: mergeAll(before), after: mergeAll(after)}
	for at, b := range next {
		a, ok := old[at]
		if !ok || *a == *b {
			continue
		}
		for i := range fields {
			f := &fields[i]
			oldText, _ := f.text(a)
			newText, _ := f.text(b)
			if oldText == newText {
				continue
			}
			pools, services := impact.count(f, at)
			d.changes = append(d.changes, Change{
				Path: at.path + "settings." + f.name, Old: oldText, New: newText,
				Pools: pools, Services: services,
			})
		}
	}
}

// levelsOf returns what every level of a tree sets.
func levelsOf(t *Tree) map[levelKey]*Values {
	levels := map[levelKey]*Values{{}: &t.Settings}
	for i := range t.Regions {
		r := &t.Regions[i]
		at := levelKey{path: "regions[" + r.Name + "].", region: r.Name}
		levels[at] = &r.Settings
		for j := range r.Pools {
			p := &r.Pools[j]
			inPool := levelKey{path: at.path + "pools[" + p.Name + "].", region: r.Name, pool: p.Name}
			levels[inPool] = &p.Settings
			for k := range p.Services {
				s := &p.Services[k]
				inService := inPool
				inService.path += "services[" + s.Name + "]."
				inService.service = s.Name
				levels[inService] = &s.Settings
			}
		}
	}
	return levels
}

// mergedValues is a pool or service with its merged values.
type mergedValues struct {
	region, pool string
	values       *Values
}

// mergedIndex holds the merged values of all pools and services.
type mergedIndex struct {
	pools, services map[string]mergedValues
}

// mergeAll merges the values of every pool and service.
func mergeAll(t *Tree) mergedIndex {
	out := mergedIndex{pools: map[string]mergedValues{}, services: map[string]mergedValues{}}
	defaults := Defaults()
	estate := inherit(&defaults, &t.Settings)
	for i := range t.Regions {
		r := &t.Regions[i]
		region := inherit(estate, &r.Settings)
		for j := range r.Pools {
			p := &r.Pools[j]
			pool := inherit(region, &p.Settings)
			out.pools[p.Name] = mergedValues{r.Name, p.Name, pool}
			for k := range p.Services {
				s := &p.Services[k]
				out.services[s.Name] = mergedValues{r.Name, p.Name, inherit(pool, &s.Settings)}
			}
		}
	}
	return out
}

// impact counts what a changed setting changes.
type impact struct {
	before, after mergedIndex
}

// count returns how many pools and services below a level have another
// effective value of the field.
func (m *impact) count(f *field, at levelKey) (pools, services int) {
	if f.scope == ScopePool {
		return countChanged(f, at, m.before.pools, m.after.pools), 0
	}
	return 0, countChanged(f, at, m.before.services, m.after.services)
}

// countChanged counts the entries below a level whose value of the field differs.
func countChanged(f *field, at levelKey, before, after map[string]mergedValues) int {
	n := 0
	for name, b := range after {
		a, ok := before[name]
		below := (at.region == "" || at.region == b.region) &&
			(at.pool == "" || at.pool == b.pool) &&
			(at.service == "" || at.service == name)
		if !ok || !below {
			continue
		}
		oldText, _ := f.text(a.values)
		newText, _ := f.text(b.values)
		if oldText != newText {
			n++
		}
	}
	return n
}
