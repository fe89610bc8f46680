package settings

import (
	"github.com/egretpitch/egretpitch/internal/operr"
)

// Origin is an effective value and the level that sets it.
type Origin struct {
	// Name is the key of the value.
	Name string `json:"name"`
	// Value is the effective value in its YAML form.
	Value string `json:"value"`
	// Level is the level that set the value.
	Level Level `json:"level"`
	// Owner names the estate, region, pool or service that sets the value; it
	// is empty for a default.
	Owner string `json:"owner,omitempty"`
}

// layer holds the values that one level sets.
type layer struct {
	level  Level
	owner  string
	values *Values
}

// Explain returns the effective values of a pool, or of one of its services if
// service is not empty, each with the level that sets it. It fails for an
// unknown pool or service.
func (t *Tree) Explain(pool, service string) ([]Origin, error) {
	layers, err := t.layers(pool, service)
	if err != nil {
		return nil, err
	}
	var origins []Origin
	for i := range fields {
		f := &fields[i]
		if service != "" && f.scope == ScopePool {
			continue
		}
		origins = append(origins, f.origin(layers))
	}
	return origins, nil
}

// origin returns the value of the lowest layer that sets the field.
func (f *field) origin(layers []layer) Origin {
	var o Origin
	for _, l := range layers {
		if text, set := f.text(l.values); set {
			o = Origin{Name: f.name, Value: text, Level: l.level, Owner: l.owner}
		}
	}
	return o
}

// layers returns the layers that apply to a pool or service, from the defaults
// down.
func (t *Tree) layers(pool, service string) ([]layer, error) {
	region, p := t.findPool(pool)
	if p == nil {
		return nil, operr.Errorf("settings: explain", "", "no pool %q in estate %q", pool, t.Estate)
	}
	defaults := Defaults()
	layers := []layer{
		{LevelDefault, "", &defaults},
		{LevelEstate, t.Estate, &t.Settings},
		{LevelRegion, region.Name, &region.Settings},
		{LevelPool, p.Name, &p.Settings},
	}
	if service == "" {
		return layers, nil
	}
	for i := range p.Services {
		if s := &p.Services[i]; s.Name == service {
			return append(layers, layer{LevelService, s.Name, &s.Settings}), nil
		}
	}
	return nil, operr.Errorf("settings: explain", "", "no service %q in pool %q", service, pool)
}

// findPool returns a pool and its region, or nil for both.
func (t *Tree) findPool(name string) (*Region, *Pool) {
	for i := range t.Regions {
		for j := range t.Regions[i].Pools {
			if p := &t.Regions[i].Pools[j]; p.Name == name {
				return &t.Regions[i], p
			}
		}
	}
	return nil, nil
}

// PoolOf returns the name of the pool of a service, or "" for an unknown one.
func (t *Tree) PoolOf(service string) string {
	for i := range t.Regions {
		for j := range t.Regions[i].Pools {
			p := &t.Regions[i].Pools[j]
			for k := range p.Services {
				if p.Services[k].Name == service {
					return p.Name
				}
			}
		}
	}
	return ""
}
