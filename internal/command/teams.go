package command

import (
	"strconv"
	"strings"
	"time"

	"github.com/egretpitch/egretpitch/internal/adminapi"
)

const teamsHelp = `Lists the teams of the configuration that is in force at a process of egretpitch-node: weight, quota and the fingerprints of their keys. A fingerprint is the first 8 hexadecimal digits of a key's SHA-256 digest.

Examples:
  egretpitch --server 127.0.0.1:8103 teams
  egretpitch teams --output json
  printf %s KEY | sha256sum | cut -c1-8`

// teamsCommand is `teams`.
type teamsCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *teamsCommand) Execute([]string) error {
	client, err := c.app.client()
	if err != nil {
		return err
	}
	all, err := client.Teams(c.app.ctx)
	if err != nil {
		return err
	}
	if c.app.json() {
		return c.app.printJSON(all)
	}
	if err := c.app.printf("%s\n", teamsSummary(all)); err != nil {
		return err
	}
	t := &table{header: []string{"TEAM", "WEIGHT", "PROCESSORS", "MEMORY_MB", "ACCELERATORS", "KEYS"}}
	for _, team := range all.Teams {
		t.add(team.Name, number(team.Weight), boundText(team.Processors), boundText(float64(team.MemoryMB)),
			boundText(float64(team.Accelerators)), orDash(strings.Join(team.Keys, ",")))
	}
	return c.app.printTable(t)
}

// teamsSummary returns the text above the list of teams.
func teamsSummary(all *adminapi.Teams) string {
	keys := "no keys required"
	if all.KeysRequired {
		keys = "keys required, public queues: " + orDash(strings.Join(all.PublicQueues, ", "))
	}
	lines := []string{configurationText(all.Version, all.AgeMS) + ", " + keys}
	for _, p := range all.Problems {
		lines = append(lines, "problem: "+p)
	}
	return strings.Join(append(lines, ""), "\n")
}

// configurationText returns the text for a version of the configuration that was last
// known to be the newest ageMS milliseconds ago, -1 for never.
func configurationText(version, ageMS int64) string {
	age := "never known to be the newest"
	if ageMS >= 0 {
		age = "known to be the newest " + msText(ageMS) + " ago"
	}
	return "configuration version " + strconv.FormatInt(version, 10) + ", " + age
}

// msText returns the text for a number of milliseconds.
func msText(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }

// boundText returns the text for a bound, a dash for none.
func boundText(bound float64) string {
	if bound == 0 {
		return "-"
	}
	return number(bound)
}

func number(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }
