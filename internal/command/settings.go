package command

import (
	"fmt"
	"os"
	"strings"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/settings"
)

const settingsHelp = `Settings form a tree: estate, region, pool, service. Each level inherits from its parent unless it overrides.

Examples:
  egretpitch settings check estate.yaml
  egretpitch settings diff estate.yaml --against-server
  egretpitch settings apply estate.yaml --wait
  egretpitch settings show --effective --pool kano-ordering`

const checkHelp = `Checks a tree and prints every error with its line, column and path, and what is allowed there. It needs no server.

Examples:
  egretpitch settings check estate.yaml
  egretpitch --output json settings check estate.yaml`

const diffHelp = `Shows the effects of a change from one tree to another: hosts, pools, services and teams that are added, removed or moved, and changed values with the number of pools and services that each affects.

Examples:
  egretpitch settings diff old.yaml new.yaml
  egretpitch settings diff new.yaml --against-server`

// readTree reads and checks a settings tree. It also returns the text of the
// file.
func readTree(file string) (*settings.Tree, []byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, operr.Wrap(err, "command: read tree", "")
	}
	tree, err := settings.Parse(file, data)
	if err != nil {
		return nil, nil, err
	}
	return tree, data, nil
}

// checkCommand is `settings check`.
type checkCommand struct {
	app  *app
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// checkResult holds the number of objects in an accepted tree.
type checkResult struct {
	Estate   string `json:"estate"`
	Pools    int    `json:"pools"`
	Services int    `json:"services"`
	Hosts    int    `json:"hosts"`
	Teams    int    `json:"teams"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	tree, _, err := readTree(c.Args.File)
	if err != nil {
		return err
	}
	e, err := tree.Effective()
	if err != nil {
		return err
	}
	result := checkResult{e.Estate, len(e.Pools), len(e.Services), len(e.HomePool), len(e.Teams)}
	if c.app.json() {
		return c.app.printJSON(result)
	}
	return c.app.printf("%s: accepted: estate %s with %d pools, %d services, %d hosts, %d teams\n",
		c.Args.File, result.Estate, result.Pools, result.Services, result.Hosts, result.Teams)
}

// diffCommand is `settings diff`.
type diffCommand struct {
	app           *app
	AgainstServer bool `long:"against-server" description:"compare with the tree in force"`
	Args          struct {
		Files []string `positional-arg-name:"FILE" required:"1-2"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	if c.AgainstServer == (len(c.Args.Files) == 2) {
		return &usageError{"give OLD and NEW, or NEW and --against-server"}
	}
	before, err := c.before()
	if err != nil {
		return err
	}
	after, _, err := readTree(c.Args.Files[len(c.Args.Files)-1])
	if err != nil {
		return err
	}
	changes, err := settings.Diff(before, after)
	if err != nil {
		return err
	}
	if c.app.json() {
		return c.app.printJSON(struct {
			Changes []settings.Change `json:"changes"`
		}{changes})
	}
	return c.app.printChanges(changes)
}

// before returns the old tree of the comparison: the tree in force with
// --against-server, or else that of the first file.
func (c *diffCommand) before() (*settings.Tree, error) {
	if c.AgainstServer {
		tree, _, err := c.app.serverTree()
		return tree, err
	}
	tree, _, err := readTree(c.Args.Files[0])
	return tree, err
}

// serverTree returns the tree in force, parsed and as the server returned it.
func (a *app) serverTree() (*settings.Tree, *adminapi.Settings, error) {
	client, err := a.client()
	if err != nil {
		return nil, nil, err
	}
	now, err := client.Settings(a.ctx)
	if err != nil {
		return nil, nil, err
	}
	tree, err := settings.Parse(fmt.Sprintf("version %d", now.Version), []byte(now.YAML))
	return tree, now, err
}

// printChanges writes one line for each change.
func (a *app) printChanges(changes []settings.Change) error {
	if len(changes) == 0 {
		return a.printf("no change\n")
	}
	t := &table{header: []string{"PATH", "OLD", "NEW", "CHANGES"}}
	for _, ch := range changes {
		t.add(ch.Path, orDash(ch.Old), orDash(ch.New), affectedCounts(ch))
	}
	return a.printTable(t)
}

// affectedCounts returns the text for the number of pools and services whose
// effective settings a change affects, "-" for none.
func affectedCounts(ch settings.Change) string {
	var parts []string
	if ch.Pools > 0 {
		parts = append(parts, fmt.Sprintf("%d pools", ch.Pools))
	}
	if ch.Services > 0 {
		parts = append(parts, fmt.Sprintf("%d services", ch.Services))
	}
	return orDash(strings.Join(parts, ", "))
}
