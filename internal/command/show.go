package command

import (
	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/settings"
)

const showHelp = `Shows the tree in force, or with --effective the effective values, each with the level that sets it.

Examples:
  egretpitch settings show
  egretpitch settings show --effective --pool kano-ordering
  egretpitch settings show --effective --service kano-orders
  egretpitch settings show --effective --file estate.yaml`

// showCommand is `settings show`.
type showCommand struct {
	app       *app
	Effective bool   `long:"effective" description:"show every effective value and its level"`
	Pool      string `long:"pool" value-name:"NAME" description:"only this pool"`
	Service   string `long:"service" value-name:"NAME" description:"only this service"`
	File      string `long:"file" value-name:"FILE" description:"show a file instead of the tree in force"`
}

// effectiveValues holds the effective values of a pool, or of a service if one is
// named.
type effectiveValues struct {
	Pool    string            `json:"pool"`
	Service string            `json:"service,omitempty"`
	Values  []settings.Origin `json:"values"`
}

// showResult is the JSON output of the command.
type showResult struct {
	// Version is the settings version in force, 0 for a file.
	Version   uint64            `json:"version,omitempty"`
	Tree      *settings.Tree    `json:"-"`
	YAML      string            `json:"yaml,omitempty"`
	Effective []effectiveValues `json:"effective,omitempty"`
}

// Execute implements flags.Commander.
func (c *showCommand) Execute([]string) error {
	if !c.Effective && (c.Pool != "" || c.Service != "") {
		return &usageError{"--pool and --service go with --effective"}
	}
	if c.Pool != "" && c.Service != "" {
		return &usageError{"give --pool or --service, not both"}
	}
	result, err := c.load()
	if err != nil {
		return err
	}
	if !c.Effective {
		return c.showTree(result)
	}
	if result.Effective, err = c.explain(result.Tree); err != nil {
		return err
	}
	if c.app.json() {
		result.YAML = ""
		return c.app.printJSON(result)
	}
	return c.showEffective(result.Effective)
}

// load returns the tree of --file, or else the tree in force at the server.
func (c *showCommand) load() (*showResult, error) {
	result := &showResult{}
	if c.File != "" {
		tree, data, err := readTree(c.File)
		result.Tree, result.YAML = tree, string(data)
		return result, err
	}
	tree, now, err := c.app.serverTree()
	if err != nil {
		return nil, err
	}
	result.Tree, result.YAML, result.Version = tree, now.YAML, now.Version
	return result, nil
}

// showTree prints the text of the tree as the operator wrote it.
func (c *showCommand) showTree(result *showResult) error {
	if c.app.json() {
		return c.app.printJSON(result)
	}
	return c.app.printf("%s", result.YAML)
}

// explain returns the effective values of the pool or service that the flags
// select, or those of all.
func (c *showCommand) explain(tree *settings.Tree) ([]effectiveValues, error) {
	if c.Service != "" {
		pool := tree.PoolOf(c.Service)
		if pool == "" {
			return nil, operr.Errorf("command: show settings", "", "no service %q in estate %q", c.Service, tree.Estate)
		}
		values, err := tree.Explain(pool, c.Service)
		return []effectiveValues{{pool, c.Service, values}}, err
	}
	if c.Pool != "" {
		values, err := tree.Explain(c.Pool, "")
		return []effectiveValues{{Pool: c.Pool, Values: values}}, err
	}
	return explainAll(tree)
}

// explainAll returns the effective values of every pool and service.
func explainAll(tree *settings.Tree) ([]effectiveValues, error) {
	var all []effectiveValues
	for _, region := range tree.Regions {
		for _, p := range region.Pools {
			names := []string{""}
			for _, s := range p.Services {
				names = append(names, s.Name)
			}
			for _, service := range names {
				values, err := tree.Explain(p.Name, service)
				if err != nil {
					return nil, err
				}
				all = append(all, effectiveValues{p.Name, service, values})
			}
		}
	}
	return all, nil
}

// showEffective prints the values as a table.
func (c *showCommand) showEffective(all []effectiveValues) error {
	t := &table{header: []string{"POOL", "SERVICE", "SETTING", "VALUE", "LEVEL", "SET BY"}}
	for _, s := range all {
		for _, o := range s.Values {
			t.add(s.Pool, orDash(s.Service), o.Name, o.Value, string(o.Level), orDash(o.Owner))
		}
	}
	return c.app.printTable(t)
}
