package settings

// levelKey identifies a level by its path and the names on it. An empty name
// matches every region, pool or service.
type levelKey struct {
	path                  string
	region, pool, service string
}

// values compares the settings of each level that is in both trees. A level
// that is in only one of them is reported as added or removed instead.
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

// levelsOf returns the settings of every level of a tree, without the inherited
// ones.
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

// mergedValues holds the effective values of a pool or service, and where it
// is.
type mergedValues struct {
	region, pool string
	values       *Values
}

// mergedIndex holds the effective values of all pools and services by name.
type mergedIndex struct {
	pools, services map[string]mergedValues
}

// mergeAll merges the values of every pool and service with those of the levels
// above.
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

// impact counts the pools and services that a changed setting affects.
type impact struct {
	before, after mergedIndex
}

// count returns how many pools and services at or below a level have another
// effective value of the field.
func (m *impact) count(f *field, at levelKey) (pools, services int) {
	if f.scope == ScopePool {
		return countChanged(f, at, m.before.pools, m.after.pools), 0
	}
	return 0, countChanged(f, at, m.before.services, m.after.services)
}

// countChanged counts the entries at or below a level whose effective value of
// the field differs.
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
